//! The life of one request in this daemon, from its arrival at the dispatcher to its answer.

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
use super::attempt::{AttemptEnd, AttemptRequest, parts_body, run_attempt};
use super::body::RequestBody;
use super::gate::ServiceGate;
use super::header;
use super::pool::EndpointPool;
use super::shared::EntryShared;
use super::status::add_one;
use super::target::ServiceTarget;
use crate::telemetry::{HopName, HopSpan};

/// The shortest time after which an attempt without an answer looks stalled.
const LEAST_STALL: Duration = Duration::from_millis(250);

/// One request on its way through the dispatcher to an endpoint and back.
#[derive(Debug)]
pub struct RequestFlight {
    /// The parts of the daemon that all requests share.
    shared: Arc<EntryShared>,
    gate: Arc<ServiceGate>,
    queued: QueuedRequest,
    request: AttemptRequest,
    body: RequestBody,
    caller: oneshot::Receiver<()>,
    span: Option<HopSpan>,
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
    /// The time until which an answer is of use.
    pub deadline: TimePoint,
    /// The span of the request, if spans are created.
    pub span: Option<HopSpan>,
}

/// A timer that is armed now and then.
type FlightTimer = Option<Pin<Box<Sleep>>>;

/// The timers of a request.
#[derive(Default)]
struct FlightTimers {
    give_up: FlightTimer,
    hedge: FlightTimer,
    stall: FlightTimer,
}

/// An attempt that ended, with its endpoint.
type EndedAttempt = (EndpointIndex, AttemptEnd);

impl RequestFlight {
    /// Prepares a request for its service's dispatcher.
    pub fn new(
        shared: &Arc<EntryShared>,
        service: &ServiceTarget,
        ready: ReadyRequest,
        caller: oneshot::Receiver<()>,
    ) -> Self {
        let id = shared.next_id();
        let replayable = matches!(ready.body, RequestBody::Whole(_));
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
            gate: shared.gate(&service.service, &service.spec),
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
            caller,
            queue_span: ready.span.as_ref().map(|span| span.child(HopName::Queue)),
            span: ready.span,
        }
    }

    /// Runs the request to its answer.
    pub async fn run(mut self) -> EntryAnswer {
        let (sender, actions) = unbounded_channel();
        let id = self.queued.id;
        let event = DispatchEvent::Arrived(self.queued.clone());
        self.gate.arrive(self.shared.now(), id, event, sender);
        let answer = self.drive(actions).await;
        self.gate.leave(id);
        answer
    }

    async fn drive(&mut self, mut actions: UnboundedReceiver<DispatchAction>) -> EntryAnswer {
        let mut attempts = FuturesUnordered::new();
        let mut flying: Vec<(EndpointIndex, Arc<EndpointPool>)> = Vec::new();
        let mut timers = FlightTimers::default();
        let mut caller_gone = false;
        loop {
            tokio::select! {
                biased;
                action = actions.recv() => match action {
                    Some(DispatchAction::Send { endpoint, hedge_after, .. }) => {
                        let (pool, stall_time) = self.gate.way_to(endpoint);
                        timers.hedge = hedge_after.map(armed);
                        timers.stall = stall_time.map(|time| armed(time.max(LEAST_STALL)));
                        if let Some(pool) = &pool {
                            flying.push((endpoint, Arc::clone(pool)));
                        }
                        attempts.push(self.attempt(endpoint, pool));
                    }
                    Some(DispatchAction::Wait { until, .. }) => {
                        let delay = until.since(self.shared.now());
                        timers.give_up = Some(armed(delay));
                    }
                    Some(DispatchAction::Fail { kind, retry_after, .. }) => {
                        return failure(kind, retry_after);
                    }
                    None => return failure(ErrorKind::Internal, Duration::ZERO),
                },
                Some((endpoint, end)) = attempts.next(), if !attempts.is_empty() => {
                    flying.retain(|(index, _)| *index != endpoint);
                    if let Some(answer) = self.settle(endpoint, end) {
                        self.abandon(&flying);
                        return answer;
                    }
                }
                () = due(&mut timers.hedge), if !flying.is_empty() => {
                    timers.hedge = None;
                    self.tell(DispatchEvent::HedgeDue(self.queued.id));
                }
                () = due(&mut timers.stall), if !flying.is_empty() => {
                    timers.stall = None;
                    self.replace_pools(&flying);
                }
                () = due(&mut timers.give_up), if flying.is_empty() => {
                    timers.give_up = None;
                    self.tell(DispatchEvent::WaitExpired(self.queued.id));
                }
                _ = &mut self.caller, if !caller_gone => {
                    caller_gone = true;
                    if attempts.is_empty() {
                        self.tell(DispatchEvent::Cancelled(self.queued.id));
                        add_one(&self.shared.counters.hung_up);
                        return failure(ErrorKind::DeadlineInQueue, Duration::ZERO);
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
    ) -> impl Future<Output = EndedAttempt> + use<> {
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
                return (endpoint, AttemptEnd::refused());
            };
            let end = run_attempt(&pool, request, body, remaining, &shared.settings).await;
            if let Some(span) = &span {
                span.set("endpoint", pool.address().to_string());
                if end.result.is_failure() {
                    span.fail(format!("{:?}", end.result));
                }
            }
            (endpoint, end)
        }
    }

    /// Returns the body for the next attempt; a streamed one is at hand only once.
    fn next_body(&mut self) -> Option<reqwest::Body> {
        match &mut self.body {
            RequestBody::Whole(bytes) => Some(Bytes::clone(bytes).into()),
            RequestBody::Parts(_) => {
                let empty = RequestBody::Spent;
                match std::mem::replace(&mut self.body, empty) {
                    RequestBody::Parts(parts) => Some(parts_body(parts)),
                    RequestBody::Whole(_) | RequestBody::Spent => None,
                }
            }
            RequestBody::Spent => None,
        }
    }

    /// Reports an attempt's end, and returns the answer if there is one to pass on.
    fn settle(&self, endpoint: EndpointIndex, end: AttemptEnd) -> Option<EntryAnswer> {
        let ended = AttemptReturn {
            request: self.queued.id,
            endpoint,
            result: end.result,
            in_flight: end.in_flight,
        };
        if matches!(end.result, AttemptResult::TimedOut | AttemptResult::Lost) {
            self.replace_pool(endpoint);
        }
        let Some(rest) = end.rest else {
            self.tell(DispatchEvent::Returned(ended));
            return end.answer;
        };
        let gate = Arc::clone(&self.gate);
        let shared = Arc::clone(&self.shared);
        let open_ended = self.request.open_ended;
        tokio::spawn(async move {
            let progress = (!open_ended).then_some(shared.settings.progress_timeout);
            let patience = Some(shared.settings.body_timeout);
            shared.counters.active.fetch_add(1, Ordering::Relaxed);
            let result = rest.pass_on(progress, patience).await;
            shared.counters.active.fetch_sub(1, Ordering::Relaxed);
            let ended = AttemptReturn { result, ..ended };
            gate.handle(shared.now(), DispatchEvent::Returned(ended));
        });
        end.answer
    }

    /// Gives up the attempts that another one made superfluous.
    fn abandon(&self, flying: &[(EndpointIndex, Arc<EndpointPool>)]) {
        for (endpoint, _) in flying {
            self.tell(DispatchEvent::Returned(AttemptReturn {
                request: self.queued.id,
                endpoint: *endpoint,
                result: AttemptResult::Abandoned,
                in_flight: None,
            }));
        }
    }

    fn replace_pools(&self, flying: &[(EndpointIndex, Arc<EndpointPool>)]) {
        for (endpoint, _) in flying {
            self.replace_pool(*endpoint);
        }
    }

    fn replace_pool(&self, endpoint: EndpointIndex) {
        let (Some(pool), _) = self.gate.way_to(endpoint) else {
            return;
        };
        if pool.replace(self.shared.now(), &self.shared.settings) {
            add_one(&self.shared.counters.pools_replaced);
        }
    }

    fn tell(&self, event: DispatchEvent) {
        self.gate.handle(self.shared.now(), event);
    }
}

/// Creates an armed timer.
fn armed(delay: Duration) -> Pin<Box<Sleep>> {
    Box::pin(tokio::time::sleep(delay))
}

/// Waits for a timer; one that is not armed never ends.
async fn due(timer: &mut FlightTimer) {
    match timer {
        Some(sleep) => sleep.as_mut().await,
        None => std::future::pending().await,
    }
}

/// Returns the answer to a request that failed.
fn failure(kind: ErrorKind, retry_after: Duration) -> EntryAnswer {
    let (detail, hint) = failure_text(kind);
    EntryError::new(kind, detail, hint)
        .after(retry_after)
        .into()
}

/// Returns what is wrong and what can be done, for the errors of the dispatcher.
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
            "find out whether the request ran before you send it again without a key",
        ),
        _ => (
            "the endpoint's answer did not arrive whole",
            "find out whether the request ran before you send it again without a key",
        ),
    }
}

/// Returns the deadline of a request.
pub fn deadline_of(now: TimePoint, service: Duration, asked: Option<Duration>) -> TimePoint {
    now + asked.map_or(service, |asked| asked.min(service))
}
