//! Dispatch of one request: waits for the dispatcher's actions, runs attempts at endpoints and
//! returns the answer.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt as _;
use futures::stream::FuturesUnordered;
use geraniumshed_core::request::{
    AttemptResult, AttemptReturn, DispatchAction, DispatchEvent, EndpointIndex, QueuedRequest,
};
use geraniumshed_model::prelude::{ErrorKind, TimePoint};
use http::header::CONTENT_LENGTH;
use http::{HeaderMap, Method};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::sync::oneshot;
use tokio::time::Sleep;

use super::answer::{EntryAnswer, EntryError};
use super::attempt::{AttemptReport, AttemptRequest, run_attempt, streamed_body};
use super::body::RequestBody;
use super::header;
use super::pool::EndpointPool;
use super::shared::EntryShared;
use super::shared_dispatcher::SharedDispatcher;
use super::status::add_one;
use super::target::ServiceTarget;
use crate::telemetry::{HopName, HopSpan};

/// The minimum time without an answer after which an attempt counts as stalled.
const MIN_STALL_TIME: Duration = Duration::from_millis(250);

/// One request that is queued in the dispatcher or in flight at an endpoint.
#[derive(Debug)]
pub struct RequestDispatch {
    /// The state that all requests of the daemon share.
    shared: Arc<EntryShared>,
    dispatcher: Arc<SharedDispatcher>,
    /// The request as the dispatcher sees it.
    queued: QueuedRequest,
    /// The request as it is sent to endpoints, without its body.
    request: AttemptRequest,
    body: RequestBody,
    /// Resolves when the caller has closed its connection.
    disconnect: oneshot::Receiver<()>,
    span: Option<HopSpan>,
    /// The span of the wait in the queue, which ends at the first attempt.
    queue_span: Option<HopSpan>,
}

/// A request that is ready to be dispatched.
#[derive(Debug)]
pub struct ReadyRequest {
    /// The method.
    pub method: Method,
    /// The path and query within the service, with a leading slash.
    pub target: String,
    /// The headers as the caller sent them.
    pub headers: HeaderMap,
    /// The body.
    pub body: RequestBody,
    /// The time by which the request has to be answered.
    pub deadline: TimePoint,
    /// The trace span of the request, if tracing is enabled.
    pub span: Option<HopSpan>,
}

/// A timer that is not always running.
type DispatchTimer = Option<Pin<Box<Sleep>>>;

/// The timers of a request.
#[derive(Default)]
struct DispatchTimers {
    /// Ends the wait in the queue.
    wait_timeout: DispatchTimer,
    /// Lets the dispatcher start a second (hedged) attempt beside a slow one.
    hedge: DispatchTimer,
    /// Replaces the connections of endpoints that do not answer.
    stall: DispatchTimer,
}

/// The endpoint of a finished attempt, with the report.
type FinishedAttempt = (EndpointIndex, AttemptReport);

impl RequestDispatch {
    /// Prepares a request for the dispatcher of its service.
    pub fn new(
        shared: &Arc<EntryShared>,
        service: &ServiceTarget,
        ready: ReadyRequest,
        disconnect: oneshot::Receiver<()>,
    ) -> Self {
        let id = shared.next_id();
        let replayable = matches!(ready.body, RequestBody::Buffered(_));
        let mut headers = ready.headers;
        header::remove_hop_headers(&mut headers);
        header::remove_own_headers(&mut headers);
        if replayable {
            headers.remove(CONTENT_LENGTH);
        }
        let queued = QueuedRequest {
            id,
            urgency: service.urgency,
            arrived: shared.now(),
            deadline: ready.deadline,
            idempotent: service.spec.idempotent || ready.method.is_safe(),
            replayable,
        };
        Self {
            dispatcher: shared.dispatcher(&service.service, &service.spec),
            shared: Arc::clone(shared),
            queued,
            request: AttemptRequest {
                id,
                method: ready.method,
                target: ready.target,
                headers,
                open_ended: service.spec.listener,
            },
            body: ready.body,
            disconnect,
            queue_span: ready.span.as_ref().map(|span| span.child(HopName::Queue)),
            span: ready.span,
        }
    }

    /// Dispatches the request and returns its answer.
    pub async fn run(mut self) -> EntryAnswer {
        let (sender, actions) = unbounded_channel();
        let id = self.queued.id;
        let event = DispatchEvent::Arrived(self.queued.clone());
        self.dispatcher
            .add_request(self.shared.now(), id, event, sender);
        let answer = self.process_actions(actions).await;
        self.dispatcher.remove_request(id);
        answer
    }

    /// Carries out the dispatcher's actions until the request has an answer.
    async fn process_actions(
        &mut self,
        mut actions: UnboundedReceiver<DispatchAction>,
    ) -> EntryAnswer {
        let mut attempts = FuturesUnordered::new();
        let mut open_attempts: Vec<(EndpointIndex, Arc<EndpointPool>)> = Vec::new();
        let mut timers = DispatchTimers::default();
        let mut caller_gone = false;
        loop {
            tokio::select! {
                biased;
                action = actions.recv() => match action {
                    Some(DispatchAction::Send { endpoint, hedge_after, .. }) => {
                        let (pool, stall_time) = self.dispatcher.pool_and_stall_time(endpoint);
                        timers.hedge = hedge_after.map(start_timer);
                        timers.stall = stall_time.map(|time| start_timer(time.max(MIN_STALL_TIME)));
                        if let Some(pool) = &pool {
                            open_attempts.push((endpoint, Arc::clone(pool)));
                        }
                        attempts.push(self.attempt(endpoint, pool));
                    }
                    Some(DispatchAction::Wait { until, .. }) => {
                        let delay = until.since(self.shared.now());
                        timers.wait_timeout = Some(start_timer(delay));
                    }
                    Some(DispatchAction::Fail { kind, retry_after, .. }) => {
                        return failure_answer(kind, retry_after);
                    }
                    None => return failure_answer(ErrorKind::Internal, Duration::ZERO),
                },
                Some((endpoint, report)) = attempts.next(), if !attempts.is_empty() => {
                    open_attempts.retain(|(index, _)| *index != endpoint);
                    if let Some(answer) = self.report_attempt(endpoint, report) {
                        self.abandon_attempts(&open_attempts);
                        return answer;
                    }
                }
                () = timer_elapsed(&mut timers.hedge), if !open_attempts.is_empty() => {
                    timers.hedge = None;
                    self.report_event(DispatchEvent::HedgeDue(self.queued.id));
                }
                () = timer_elapsed(&mut timers.stall), if !open_attempts.is_empty() => {
                    timers.stall = None;
                    self.replace_pools(&open_attempts);
                }
                () = timer_elapsed(&mut timers.wait_timeout), if open_attempts.is_empty() => {
                    timers.wait_timeout = None;
                    self.report_event(DispatchEvent::WaitExpired(self.queued.id));
                }
                _ = &mut self.disconnect, if !caller_gone => {
                    caller_gone = true;
                    if attempts.is_empty() {
                        self.report_event(DispatchEvent::Cancelled(self.queued.id));
                        add_one(&self.shared.counters.hung_up);
                        return failure_answer(ErrorKind::DeadlineInQueue, Duration::ZERO);
                    }
                }
            }
        }
    }

    /// Starts an attempt at an endpoint.
    fn attempt(
        &mut self,
        endpoint: EndpointIndex,
        pool: Option<Arc<EndpointPool>>,
    ) -> impl Future<Output = FinishedAttempt> + use<> {
        self.queue_span = None;
        let body = self.next_body();
        let mut request = self.request.clone();
        let span = self.span.as_ref().map(|span| span.child(HopName::Attempt));
        if let Some(span) = &span {
            span.inject(&mut request.headers);
        }
        let shared = Arc::clone(&self.shared);
        let remaining = self.queued.deadline.since(shared.now());
        add_one(&shared.counters.attempts);
        async move {
            let (Some(pool), Some(body)) = (pool, body) else {
                return (endpoint, AttemptReport::refused());
            };
            let report = run_attempt(&pool, request, body, remaining, &shared.settings).await;
            if let Some(span) = &span {
                span.set("endpoint", pool.address().to_string());
                if report.result.is_failure() {
                    span.fail(format!("{:?}", report.result));
                }
            }
            (endpoint, report)
        }
    }

    /// Returns the body for the next attempt, or `None` if a streamed body was already sent.
    fn next_body(&mut self) -> Option<reqwest::Body> {
        match &mut self.body {
            RequestBody::Buffered(bytes) => Some(Bytes::clone(bytes).into()),
            RequestBody::Streamed(_) => {
                let consumed = RequestBody::Consumed;
                match std::mem::replace(&mut self.body, consumed) {
                    RequestBody::Streamed(chunks) => Some(streamed_body(chunks)),
                    RequestBody::Buffered(_) | RequestBody::Consumed => None,
                }
            }
            RequestBody::Consumed => None,
        }
    }

    /// Reports the result of an attempt to the dispatcher and returns the answer for the caller, if
    /// there is one. Streams the rest of the answer in a background task.
    fn report_attempt(
        &self,
        endpoint: EndpointIndex,
        report: AttemptReport,
    ) -> Option<EntryAnswer> {
        let attempt_return = AttemptReturn {
            request: self.queued.id,
            endpoint,
            result: report.result,
            in_flight: report.in_flight,
        };
        if matches!(report.result, AttemptResult::TimedOut | AttemptResult::Lost) {
            self.replace_pool(endpoint);
        }
        let Some(relay) = report.relay else {
            self.report_event(DispatchEvent::Returned(attempt_return));
            return report.answer;
        };
        let dispatcher = Arc::clone(&self.dispatcher);
        let shared = Arc::clone(&self.shared);
        let open_ended = self.request.open_ended;
        tokio::spawn(async move {
            let endpoint_timeout = (!open_ended).then_some(shared.settings.progress_timeout);
            let caller_timeout = Some(shared.settings.body_timeout);
            shared.counters.active.fetch_add(1, Ordering::Relaxed);
            let result = relay.run(endpoint_timeout, caller_timeout).await;
            shared.counters.active.fetch_sub(1, Ordering::Relaxed);
            let attempt_return = AttemptReturn {
                result,
                ..attempt_return
            };
            dispatcher.handle(shared.now(), DispatchEvent::Returned(attempt_return));
        });
        report.answer
    }

    /// Reports the other attempts as abandoned once one has produced the answer.
    fn abandon_attempts(&self, open_attempts: &[(EndpointIndex, Arc<EndpointPool>)]) {
        for (endpoint, _) in open_attempts {
            self.report_event(DispatchEvent::Returned(AttemptReturn {
                request: self.queued.id,
                endpoint: *endpoint,
                result: AttemptResult::Abandoned,
                in_flight: None,
            }));
        }
    }

    fn replace_pools(&self, open_attempts: &[(EndpointIndex, Arc<EndpointPool>)]) {
        for (endpoint, _) in open_attempts {
            self.replace_pool(*endpoint);
        }
    }

    fn replace_pool(&self, endpoint: EndpointIndex) {
        let (Some(pool), _) = self.dispatcher.pool_and_stall_time(endpoint) else {
            return;
        };
        if pool.replace(self.shared.now(), &self.shared.settings) {
            add_one(&self.shared.counters.pools_replaced);
        }
    }

    fn report_event(&self, event: DispatchEvent) {
        self.dispatcher.handle(self.shared.now(), event);
    }
}

/// Starts a timer.
fn start_timer(delay: Duration) -> Pin<Box<Sleep>> {
    Box::pin(tokio::time::sleep(delay))
}

/// Waits until a timer elapses, or forever if it is not running.
async fn timer_elapsed(timer: &mut DispatchTimer) {
    match timer {
        Some(sleep) => sleep.as_mut().await,
        None => std::future::pending().await,
    }
}

/// Returns the answer to a request that the dispatcher failed.
fn failure_answer(kind: ErrorKind, retry_after: Duration) -> EntryAnswer {
    let (detail, hint) = failure_text(kind);
    EntryError::new(kind, detail, hint)
        .with_retry_after(retry_after)
        .into()
}

/// Returns the detail and the hint for an error of the dispatcher.
fn failure_text(kind: ErrorKind) -> (&'static str, &'static str) {
    match kind {
        ErrorKind::Overloaded => (
            "the service can't answer the request in time",
            "send the request again after the time in Retry-After",
        ),
        ErrorKind::NoEndpoint => (
            "the service has no endpoint that takes requests",
            "ask an operator whether the service has replicas running",
        ),
        ErrorKind::EndpointRefused => (
            "no endpoint of the service accepts connections",
            "send the request again after the time in Retry-After",
        ),
        ErrorKind::DeadlineInQueue => (
            "the request waited until it could no longer be answered in time",
            "send the request again after the time in Retry-After",
        ),
        ErrorKind::DeadlineAtEndpoint => (
            "the endpoint did not answer before the deadline",
            "check whether the request ran before you send it again without a key",
        ),
        _ => (
            "the endpoint's answer did not arrive completely",
            "check whether the request ran before you send it again without a key",
        ),
    }
}

/// Returns the deadline of a request: the service's, or the caller's if that is earlier.
pub fn effective_deadline(
    now: TimePoint,
    service: Duration,
    requested: Option<Duration>,
) -> TimePoint {
    now + requested.map_or(service, |requested| requested.min(service))
}
