//! The dispatcher of one service: admission, queueing, sending, retries and hedging.

use std::collections::BTreeMap;
use std::time::Duration;

use geraniumshed_model::prelude::{ErrorKind, RequestId, RunOutcome, TimePoint, UrgencyClass};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use super::budget::AttemptBudget;
use super::event::{
    AttemptResult, AttemptReturn, DispatchAction, DispatchEvent, EndpointIndex, QueuedRequest,
};
use super::latency::LatencyEstimate;
use super::policy::{DispatchPolicy, RouteRule};
use super::queue::RequestQueue;
use super::router::{EndpointRouter, RouteView};

/// The assumed latency before the first answer.
const INITIAL_LATENCY: Duration = Duration::from_millis(20);

/// The expected delay of a request whose borrowed slot turns out to be in use.
const BORROW_COST: Duration = Duration::from_millis(1);

/// The weight of one sample in the moving mean of the rate at which borrowed slots are in use.
const BORROW_REJECTION_WEIGHT: f64 = 1.0 / 16.0;

/// The maximum of that rate, which keeps the cost finite so that borrowing is still tried at times.
const BORROW_REJECTION_LIMIT: f64 = 0.95;

/// The time for which the queue may be non-empty before the latency goal limits the waiting time.
const BURST_TOLERANCE: Duration = Duration::from_millis(500);

/// The minimum time after which a caller is asked to send a request again.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// A request that is waiting or in flight.
#[derive(Debug, Clone)]
struct ActiveRequest {
    request: QueuedRequest,
    /// The endpoints that got an attempt, except those that rejected it as busy.
    tried: Vec<EndpointIndex>,
    /// The attempts so far, except those that were rejected as busy.
    attempts: usize,
    in_flight: usize,
    hedged: bool,
    /// Whether an attempt ended in a way that doesn't rule out that the request ran.
    may_have_run: bool,
    /// The last endpoint at which the request borrowed a slot.
    borrowed: Option<EndpointIndex>,
    /// Whether an endpoint rejected an attempt as busy.
    was_rejected: bool,
}

/// An endpoint with a free slot.
#[derive(Debug, Clone, Copy)]
struct FoundEndpoint {
    index: EndpointIndex,
    is_borrowed: bool,
}

/// Decides where and when the requests of one service are sent.
#[derive(Debug, Clone)]
pub struct ServiceDispatcher {
    policy: DispatchPolicy,
    router: EndpointRouter,
    queue: RequestQueue,
    active: BTreeMap<RequestId, ActiveRequest>,
    latency: LatencyEstimate,
    retry_budget: AttemptBudget,
    hedge_budget: AttemptBudget,
    /// The time since which the queue has not been empty.
    queued_since: Option<TimePoint>,
    /// The estimated share of borrowed slots that turn out to be in use.
    borrow_rejection_rate: f64,
    rng: ChaCha8Rng,
}

impl ServiceDispatcher {
    /// Creates a dispatcher without endpoints.
    pub fn new(policy: DispatchPolicy, seed: u64) -> Self {
        Self {
            router: EndpointRouter::new(),
            queue: RequestQueue::new(policy.queue_limit),
            active: BTreeMap::new(),
            latency: LatencyEstimate::default(),
            retry_budget: AttemptBudget::new(policy.retry_share),
            hedge_budget: AttemptBudget::new(policy.hedge_share),
            queued_since: None,
            borrow_rejection_rate: 0.0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            policy,
        }
    }

    /// Changes the policy.
    pub fn set_policy(&mut self, policy: DispatchPolicy) {
        self.queue.set_limit(policy.queue_limit);
        self.policy = policy;
    }

    /// Updates the router to a new view of the cluster, and sends what now can be sent.
    pub fn update(&mut self, now: TimePoint, view: &RouteView) -> Vec<DispatchAction> {
        self.router.update(now, &self.policy, view);
        let mut actions = Vec::new();
        self.send_waiting(now, &mut actions);
        actions
    }

    /// Returns the router.
    pub fn router(&self) -> &EndpointRouter {
        &self.router
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the latency estimate of the service's attempts.
    pub fn latency(&self) -> &LatencyEstimate {
        &self.latency
    }

    /// Handles an event. Returns the actions to take.
    pub fn handle(&mut self, now: TimePoint, event: DispatchEvent) -> Vec<DispatchAction> {
        let mut actions = Vec::new();
        match event {
            DispatchEvent::Arrived(request) => self.on_arrived(now, request, &mut actions),
            DispatchEvent::Cancelled(id) => self.on_cancelled(id),
            DispatchEvent::WaitExpired(id) => self.on_wait_expired(now, id, &mut actions),
            DispatchEvent::Returned(ended) => self.on_returned(now, &ended, &mut actions),
            DispatchEvent::HedgeDue(id) => self.on_hedge_due(now, id, &mut actions),
            DispatchEvent::Tick => self.send_waiting(now, &mut actions),
        }
        actions
    }

    fn on_arrived(
        &mut self,
        now: TimePoint,
        request: QueuedRequest,
        actions: &mut Vec<DispatchAction>,
    ) {
        self.retry_budget.on_request();
        self.hedge_budget.on_request();
        if let Some((kind, retry_after)) = self.admission_error(now, &request) {
            actions.push(fail(request.id, kind, retry_after));
            return;
        }
        let id = request.id;
        let evicted = self.queue.push(request.clone());
        self.active.insert(id, ActiveRequest::new(request));
        if let Some(evicted) = evicted {
            self.active.remove(&evicted.id);
            let wait = self.expected_wait(now, evicted.urgency);
            actions.push(fail(evicted.id, ErrorKind::Overloaded, wait));
        }
        self.send_waiting(now, actions);
        self.report_wait(id, actions);
    }

    fn on_cancelled(&mut self, id: RequestId) {
        if self.queue.remove(id).is_some() {
            self.active.remove(&id);
        }
    }

    fn on_wait_expired(
        &mut self,
        now: TimePoint,
        id: RequestId,
        actions: &mut Vec<DispatchAction>,
    ) {
        let Some(request) = self.queue.remove(id) else {
            return;
        };
        let wait = self.expected_wait(now, request.urgency);
        let was_rejected = self
            .active
            .get(&id)
            .is_some_and(|active| active.was_rejected);
        let kind = if was_rejected {
            ErrorKind::Overloaded
        } else {
            ErrorKind::DeadlineInQueue
        };
        self.fail_active(id, kind, wait, actions);
    }

    fn on_returned(
        &mut self,
        now: TimePoint,
        ended: &AttemptReturn,
        actions: &mut Vec<DispatchAction>,
    ) {
        let mean = self.mean_latency();
        let duration = self.router.on_returned(now, ended, mean);
        if let (Some(duration), AttemptResult::Answered) = (duration, ended.result) {
            self.latency.record(now, duration);
        }
        self.finish_attempt(now, ended, actions);
        self.send_waiting(now, actions);
        self.report_wait(ended.request, actions);
    }

    /// Records the end of an attempt, then finishes the request, requeues it or lets it fail.
    fn finish_attempt(
        &mut self,
        now: TimePoint,
        ended: &AttemptReturn,
        actions: &mut Vec<DispatchAction>,
    ) {
        let Some(active) = self.active.get_mut(&ended.request) else {
            return;
        };
        active.in_flight = active.in_flight.saturating_sub(1);
        active.may_have_run |= !ended.result.is_not_run();
        let was_busy = ended.result == AttemptResult::Busy;
        if active.borrowed == Some(ended.endpoint) {
            let rejected = f64::from(u8::from(was_busy));
            let rate = self.borrow_rejection_rate
                + (rejected - self.borrow_rejection_rate) * BORROW_REJECTION_WEIGHT;
            self.borrow_rejection_rate = rate.min(BORROW_REJECTION_LIMIT);
        }
        if was_busy {
            // A busy endpoint may be tried again later, when it may have finished other requests.
            active.tried.retain(|index| *index != ended.endpoint);
            active.attempts = active.attempts.saturating_sub(1);
            active.was_rejected = true;
        }
        if ended.result.is_final() {
            self.active.remove(&ended.request);
            return;
        }
        if active.in_flight > 0 {
            return;
        }
        if self.may_retry(now, ended) {
            self.requeue(ended.request);
            return;
        }
        let wait = self.retry_after(now, ended.result);
        self.fail_active(ended.request, ended.result.error_kind(), wait, actions);
    }

    /// Returns whether a request may get another attempt.
    ///
    /// A retry is free if the request certainly did not run. Otherwise, it has to be idempotent and
    /// takes a token of the retry budget.
    fn may_retry(&mut self, now: TimePoint, ended: &AttemptReturn) -> bool {
        let Some(active) = self.active.get(&ended.request) else {
            return false;
        };
        let request = &active.request;
        if active.attempts >= self.policy.attempt_limit
            || !request.replayable
            || !self
                .router
                .has_untried(now, &active.tried, request.deadline)
        {
            return false;
        }
        if ended.result.is_not_run() && !active.may_have_run {
            return true;
        }
        request.idempotent && self.retry_budget.try_take()
    }

    fn requeue(&mut self, id: RequestId) {
        if let Some(active) = self.active.get(&id) {
            self.queue.requeue(active.request.clone());
        }
    }

    fn on_hedge_due(&mut self, now: TimePoint, id: RequestId, actions: &mut Vec<DispatchAction>) {
        let Some(active) = self.active.get(&id) else {
            return;
        };
        let is_eligible = active.request.idempotent
            && active.request.replayable
            && !active.hedged
            && active.in_flight == 1
            && self.queue.is_empty();
        if !is_eligible || !self.hedge_budget.try_take() {
            return;
        }
        let tried = active.tried.clone();
        if let Some(endpoint) = self.find_endpoint(now, &tried, true) {
            if let Some(active) = self.active.get_mut(&id) {
                active.hedged = true;
            }
            self.send(now, id, endpoint, actions);
        }
    }

    /// Returns the error for a new request that can't be admitted, with the time until a retry.
    fn admission_error(
        &self,
        now: TimePoint,
        request: &QueuedRequest,
    ) -> Option<(ErrorKind, Duration)> {
        let Some(breaker_delay) = self.router.breaker_delay(now) else {
            return Some((ErrorKind::NoEndpoint, Duration::from_secs(1)));
        };
        if !breaker_delay.is_zero() && now + breaker_delay >= request.deadline {
            return Some((ErrorKind::EndpointRefused, breaker_delay));
        }
        if !self.policy.shedding {
            return None;
        }
        let wait = self.expected_wait(now, request.urgency);
        let max_wait = self.max_wait(now, request);
        (wait > max_wait).then_some((ErrorKind::Overloaded, wait.saturating_sub(max_wait)))
    }

    /// Returns the longest time that a request may wait and still be answered in time.
    ///
    /// While the queue has not been empty for longer than the tolerated burst, the waiting time is
    /// also limited by the latency goal.
    fn max_wait(&self, now: TimePoint, request: &QueuedRequest) -> Duration {
        let time_left = request.deadline.since(now);
        let service_time = self.latency.p99().unwrap_or(INITIAL_LATENCY);
        let max_wait = time_left.saturating_sub(service_time.min(time_left / 2));
        let is_overloaded = self
            .queued_since
            .is_some_and(|since| now.since(since) > BURST_TOLERANCE);
        if !is_overloaded {
            return max_wait;
        }
        let goal = self.policy.latency_goal;
        max_wait.min(goal.saturating_sub(service_time.min(goal / 2)))
    }

    /// Returns the expected waiting time of a new request of a class.
    fn expected_wait(&self, now: TimePoint, urgency: UrgencyClass) -> Duration {
        let ahead = self.queue.count_ahead(urgency);
        if ahead == 0 {
            return Duration::ZERO;
        }
        let capacity = self.router.own_capacity(now).max(1);
        self.mean_latency()
            .mul_f64(ahead as f64 / f64::from(capacity))
    }

    fn retry_after(&self, now: TimePoint, result: AttemptResult) -> Duration {
        let breaker_delay = self
            .router
            .breaker_delay(now)
            .unwrap_or(Duration::from_secs(1));
        match result {
            AttemptResult::Busy => self.mean_latency(),
            _ => breaker_delay,
        }
    }

    /// Sends waiting requests until there is no free slot for the next one.
    fn send_waiting(&mut self, now: TimePoint, actions: &mut Vec<DispatchAction>) {
        while let Some(next) = self.queue.peek() {
            let id = next.id;
            let Some(active) = self.active.get(&id) else {
                self.queue.pop();
                continue;
            };
            let tried = active.tried.clone();
            let may_borrow = !active.was_rejected && self.should_borrow(now);
            let Some(endpoint) = self.find_endpoint(now, &tried, may_borrow) else {
                break;
            };
            self.queue.pop();
            self.send(now, id, endpoint, actions);
        }
        if self.queue.is_empty() {
            self.queued_since = None;
        } else {
            self.queued_since.get_or_insert(now);
        }
    }

    /// Returns whether waiting for an own slot probably takes longer than borrowing one.
    fn should_borrow(&self, now: TimePoint) -> bool {
        if self.policy.rule != RouteRule::Planned {
            return false;
        }
        let capacity = self.router.own_capacity(now);
        if capacity == 0 {
            return true;
        }
        let waiting = self.queue.len() as f64;
        let cost = BORROW_COST.div_f64(1.0 - self.borrow_rejection_rate);
        self.mean_latency().mul_f64(waiting / f64::from(capacity)) > cost
    }

    /// Finds an endpoint with a free slot, which is borrowed if there is no own one.
    fn find_endpoint(
        &mut self,
        now: TimePoint,
        tried: &[EndpointIndex],
        may_borrow: bool,
    ) -> Option<FoundEndpoint> {
        let mean = self.mean_latency();
        let policy = &self.policy;
        let own = self.router.choose(now, policy, mean, tried, &mut self.rng);
        if let Some(index) = own {
            return Some(FoundEndpoint {
                index,
                is_borrowed: false,
            });
        }
        if !may_borrow {
            return None;
        }
        let index = self
            .router
            .choose_borrowed(now, policy, mean, tried, &mut self.rng)?;
        Some(FoundEndpoint {
            index,
            is_borrowed: true,
        })
    }

    fn send(
        &mut self,
        now: TimePoint,
        id: RequestId,
        found: FoundEndpoint,
        actions: &mut Vec<DispatchAction>,
    ) {
        let endpoint = found.index;
        let Some(active) = self.active.get_mut(&id) else {
            return;
        };
        if found.is_borrowed {
            active.borrowed = Some(endpoint);
        }
        active.tried.push(endpoint);
        active.attempts += 1;
        active.in_flight += 1;
        let is_hedgeable = active.request.idempotent && active.request.replayable && !active.hedged;
        self.router.on_sent(now, endpoint, id);
        let may_hedge = is_hedgeable && self.policy.hedge_share > 0.0;
        actions.push(DispatchAction::Send {
            request: id,
            endpoint,
            hedge_after: if may_hedge { self.latency.p95() } else { None },
        });
    }

    /// Reports until when a request waits, unless it is in flight.
    fn report_wait(&self, id: RequestId, actions: &mut Vec<DispatchAction>) {
        let Some(active) = self.active.get(&id) else {
            return;
        };
        if active.in_flight > 0 {
            return;
        }
        let request = &active.request;
        let total_time = request.deadline.since(request.arrived);
        let until = request.deadline - self.mean_latency().min(total_time / 2);
        actions.push(DispatchAction::Wait { request: id, until });
    }

    fn fail_active(
        &mut self,
        id: RequestId,
        kind: ErrorKind,
        retry_after: Duration,
        actions: &mut Vec<DispatchAction>,
    ) {
        let may_have_run = self.active.remove(&id).is_some_and(|a| a.may_have_run);
        let says_not_run = kind.answer().outcome == RunOutcome::NotRun;
        // An earlier attempt may have run, so the error must not say that the request didn't run.
        let kind = if may_have_run && says_not_run {
            ErrorKind::EndpointLost
        } else {
            kind
        };
        actions.push(fail(id, kind, retry_after));
    }

    fn mean_latency(&self) -> Duration {
        let mean = self.latency.mean();
        if mean.is_zero() {
            INITIAL_LATENCY
        } else {
            mean
        }
    }
}

impl ActiveRequest {
    fn new(request: QueuedRequest) -> Self {
        Self {
            request,
            tried: Vec::new(),
            attempts: 0,
            in_flight: 0,
            hedged: false,
            may_have_run: false,
            borrowed: None,
            was_rejected: false,
        }
    }
}

fn fail(request: RequestId, kind: ErrorKind, retry_after: Duration) -> DispatchAction {
    DispatchAction::Fail {
        request,
        kind,
        retry_after: retry_after.max(MIN_RETRY_AFTER),
    }
}
