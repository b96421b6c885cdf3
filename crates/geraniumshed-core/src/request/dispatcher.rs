//! The dispatcher of one service: admission, queueing, sending, and what follows a failed attempt.

use std::collections::BTreeMap;
use std::time::Duration;

use geraniumshed_model::prelude::{ErrorKind, RequestId, RunOutcome, TimePoint, UrgencyClass};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use super::budget::TrafficBudget;
use super::event::{
    AttemptResult, AttemptReturn, DispatchAction, DispatchEvent, EndpointIndex, QueuedRequest,
};
use super::latency::LatencyEstimate;
use super::policy::{DispatchPolicy, RouteRule};
use super::queue::RequestQueue;
use super::router::{EndpointRouter, RouteView};

/// The latency that is assumed before the first answer.
const FIRST_LATENCY: Duration = Duration::from_millis(20);

/// The time that a request probably loses when a borrowed slot turns out to be taken.
const BORROW_PRICE: Duration = Duration::from_millis(1);

/// The weight of one borrowed slot in the estimate of how many turn out to be taken.
const REFUSAL_WEIGHT: f64 = 1.0 / 16.0;

/// The most that the estimate may be, so that borrowing is tried again now and then.
const REFUSAL_LIMIT: f64 = 0.95;

/// The time for which a queue may hold requests before the latency goal limits it.
const BURST_LENGTH: Duration = Duration::from_millis(500);

/// The shortest time after which a caller is told to come back.
const LEAST_RETRY: Duration = Duration::from_millis(100);

/// A request that waits or is in flight.
#[derive(Debug, Clone)]
struct ActiveRequest {
    request: QueuedRequest,
    tried: Vec<EndpointIndex>,
    attempts: usize,
    in_flight: usize,
    hedged: bool,
    touched: bool,
    borrowed: Option<EndpointIndex>,
    bounced: bool,
}

/// An endpoint with a free slot.
#[derive(Debug, Clone, Copy)]
struct FoundEndpoint {
    index: EndpointIndex,
    is_borrowed: bool,
}

/// Decides where and when the requests of one service go.
#[derive(Debug, Clone)]
pub struct ServiceDispatcher {
    policy: DispatchPolicy,
    router: EndpointRouter,
    queue: RequestQueue,
    active: BTreeMap<RequestId, ActiveRequest>,
    latency: LatencyEstimate,
    retries: TrafficBudget,
    hedges: TrafficBudget,
    full_since: Option<TimePoint>,
    refusal_share: f64,
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
            retries: TrafficBudget::new(policy.retry_share),
            hedges: TrafficBudget::new(policy.hedge_share),
            full_since: None,
            refusal_share: 0.0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            policy,
        }
    }

    /// Takes over a changed policy.
    pub fn set_policy(&mut self, policy: DispatchPolicy) {
        self.queue.set_limit(policy.queue_limit);
        self.policy = policy;
    }

    /// Takes over a new view of the cluster, and sends what can be sent now.
    pub fn update(&mut self, now: TimePoint, view: &RouteView) -> Vec<DispatchAction> {
        self.router.update(now, &self.policy, view);
        let mut actions = Vec::new();
        self.send_waiting(now, &mut actions);
        actions
    }

    /// Returns the router, for reading.
    pub fn router(&self) -> &EndpointRouter {
        &self.router
    }

    /// Returns the number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the estimate of an attempt's latency.
    pub fn latency(&self) -> &LatencyEstimate {
        &self.latency
    }

    /// Takes an event and returns what has to be done.
    pub fn handle(&mut self, now: TimePoint, event: DispatchEvent) -> Vec<DispatchAction> {
        let mut actions = Vec::new();
        match event {
            DispatchEvent::Arrived(request) => self.on_arrived(now, request, &mut actions),
            DispatchEvent::Withdrawn(id) => self.on_withdrawn(id),
            DispatchEvent::WaitedOut(id) => self.on_waited_out(now, id, &mut actions),
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
        self.retries.on_request();
        self.hedges.on_request();
        if let Some((kind, retry_after)) = self.refusal(now, &request) {
            actions.push(fail(request.id, kind, retry_after));
            return;
        }
        let id = request.id;
        let displaced = self.queue.push(request.clone());
        self.active.insert(id, ActiveRequest::new(request));
        if let Some(displaced) = displaced {
            self.active.remove(&displaced.id);
            let wait = self.expected_wait(now, displaced.urgency);
            actions.push(fail(displaced.id, ErrorKind::Overloaded, wait));
        }
        self.send_waiting(now, actions);
        self.report_wait(id, actions);
    }

    fn on_withdrawn(&mut self, id: RequestId) {
        if self.queue.remove(id).is_some() {
            self.active.remove(&id);
        }
    }

    fn on_waited_out(&mut self, now: TimePoint, id: RequestId, actions: &mut Vec<DispatchAction>) {
        let Some(request) = self.queue.remove(id) else {
            return;
        };
        let wait = self.expected_wait(now, request.urgency);
        let bounced = self.active.get(&id).is_some_and(|active| active.bounced);
        let kind = if bounced {
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
        let took = self.router.on_returned(now, ended, mean);
        if let (Some(took), AttemptResult::Answered) = (took, ended.result) {
            self.latency.record(now, took);
        }
        self.settle(now, ended, actions);
        self.send_waiting(now, actions);
        self.report_wait(ended.request, actions);
    }

    /// Decides what becomes of a request after one of its attempts ended.
    fn settle(&mut self, now: TimePoint, ended: &AttemptReturn, actions: &mut Vec<DispatchAction>) {
        let Some(active) = self.active.get_mut(&ended.request) else {
            return;
        };
        active.in_flight = active.in_flight.saturating_sub(1);
        active.touched |= !ended.result.is_unrun();
        let was_busy = ended.result == AttemptResult::Busy;
        if active.borrowed == Some(ended.endpoint) {
            let refused = f64::from(u8::from(was_busy));
            let share = self.refusal_share + (refused - self.refusal_share) * REFUSAL_WEIGHT;
            self.refusal_share = share.min(REFUSAL_LIMIT);
        }
        if was_busy {
            // A full endpoint may be asked again once it had time to finish something.
            active.tried.retain(|index| *index != ended.endpoint);
            active.attempts = active.attempts.saturating_sub(1);
            active.bounced = true;
        }
        if ended.result.is_final() {
            self.active.remove(&ended.request);
            return;
        }
        if active.in_flight > 0 {
            return;
        }
        if self.may_try_again(now, ended) {
            self.requeue(ended.request);
            return;
        }
        let wait = self.retry_after(now, ended.result);
        self.fail_active(ended.request, ended.result.error_kind(), wait, actions);
    }

    fn may_try_again(&mut self, now: TimePoint, ended: &AttemptReturn) -> bool {
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
        if ended.result.is_unrun() && !active.touched {
            return true;
        }
        request.idempotent && self.retries.take()
    }

    fn requeue(&mut self, id: RequestId) {
        if let Some(active) = self.active.get(&id) {
            self.queue.push_again(active.request.clone());
        }
    }

    fn on_hedge_due(&mut self, now: TimePoint, id: RequestId, actions: &mut Vec<DispatchAction>) {
        let Some(active) = self.active.get(&id) else {
            return;
        };
        let eligible = active.request.idempotent
            && active.request.replayable
            && !active.hedged
            && active.in_flight == 1
            && self.queue.is_empty();
        if !eligible || !self.hedges.take() {
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

    /// Returns why a new request can't be taken, if it can't.
    fn refusal(&self, now: TimePoint, request: &QueuedRequest) -> Option<(ErrorKind, Duration)> {
        let Some(pause) = self.router.pause(now) else {
            return Some((ErrorKind::NoEndpoint, Duration::from_secs(1)));
        };
        if !pause.is_zero() && now + pause >= request.deadline {
            return Some((ErrorKind::EndpointRefused, pause));
        }
        if !self.policy.shedding {
            return None;
        }
        let wait = self.expected_wait(now, request.urgency);
        let budget = self.wait_budget(now, request);
        (wait > budget).then_some((ErrorKind::Overloaded, wait.saturating_sub(budget)))
    }

    /// Returns the time that a request may wait and still be answered in time.
    fn wait_budget(&self, now: TimePoint, request: &QueuedRequest) -> Duration {
        let whole = request.deadline.since(now);
        let service = self.latency.p99().unwrap_or(FIRST_LATENCY);
        let budget = whole.saturating_sub(service.min(whole / 2));
        let overloaded = self
            .full_since
            .is_some_and(|since| now.since(since) > BURST_LENGTH);
        if !overloaded {
            return budget;
        }
        let goal = self.policy.latency_goal;
        budget.min(goal.saturating_sub(service.min(goal / 2)))
    }

    /// Returns the time that a new request of a class would probably wait.
    fn expected_wait(&self, now: TimePoint, urgency: UrgencyClass) -> Duration {
        let ahead = self.queue.ahead_of(urgency);
        if ahead == 0 {
            return Duration::ZERO;
        }
        let capacity = self.router.own_capacity(now).max(1);
        self.mean_latency()
            .mul_f64(ahead as f64 / f64::from(capacity))
    }

    fn retry_after(&self, now: TimePoint, result: AttemptResult) -> Duration {
        let pause = self.router.pause(now).unwrap_or(Duration::from_secs(1));
        match result {
            AttemptResult::Busy => self.mean_latency(),
            _ => pause,
        }
    }

    /// Sends waiting requests for as long as there is room.
    fn send_waiting(&mut self, now: TimePoint, actions: &mut Vec<DispatchAction>) {
        while let Some(next) = self.queue.peek() {
            let id = next.id;
            let Some(active) = self.active.get(&id) else {
                self.queue.pop();
                continue;
            };
            let tried = active.tried.clone();
            let may_borrow = !active.bounced && self.is_borrowing_worth_it(now);
            let Some(endpoint) = self.find_endpoint(now, &tried, may_borrow) else {
                break;
            };
            self.queue.pop();
            self.send(now, id, endpoint, actions);
        }
        if self.queue.is_empty() {
            self.full_since = None;
        } else {
            self.full_since.get_or_insert(now);
        }
    }

    /// Tells whether waiting for an own slot takes longer than using another daemon's.
    fn is_borrowing_worth_it(&self, now: TimePoint) -> bool {
        if self.policy.rule != RouteRule::Planned {
            return false;
        }
        let capacity = self.router.own_capacity(now);
        if capacity == 0 {
            return true;
        }
        let waiting = self.queue.len() as f64;
        let price = BORROW_PRICE.div_f64(1.0 - self.refusal_share);
        self.mean_latency().mul_f64(waiting / f64::from(capacity)) > price
    }

    /// Finds an endpoint with a free slot, which may be borrowed.
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
            .borrow(now, policy, mean, tried, &mut self.rng)?;
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
        let hedgeable = active.request.idempotent && active.request.replayable && !active.hedged;
        self.router.on_sent(now, endpoint, id);
        let hedging = hedgeable && self.policy.hedge_share > 0.0;
        actions.push(DispatchAction::Send {
            request: id,
            endpoint,
            hedge_after: if hedging { self.latency.p95() } else { None },
        });
    }

    /// Reports that a request still waits, with the time at which it is given up.
    fn report_wait(&self, id: RequestId, actions: &mut Vec<DispatchAction>) {
        let Some(active) = self.active.get(&id) else {
            return;
        };
        if active.in_flight > 0 {
            return;
        }
        let request = &active.request;
        let whole = request.deadline.since(request.arrived);
        let until = request.deadline - self.mean_latency().min(whole / 2);
        actions.push(DispatchAction::Wait { request: id, until });
    }

    fn fail_active(
        &mut self,
        id: RequestId,
        kind: ErrorKind,
        retry_after: Duration,
        actions: &mut Vec<DispatchAction>,
    ) {
        let touched = self.active.remove(&id).is_some_and(|a| a.touched);
        let unrun = kind.answer().outcome == RunOutcome::NotRun;
        // An earlier attempt may have run, so the last one's refusal doesn't speak for the request.
        let kind = if touched && unrun {
            ErrorKind::EndpointLost
        } else {
            kind
        };
        actions.push(fail(id, kind, retry_after));
    }

    fn mean_latency(&self) -> Duration {
        let mean = self.latency.mean();
        if mean.is_zero() { FIRST_LATENCY } else { mean }
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
            touched: false,
            borrowed: None,
            bounced: false,
        }
    }
}

fn fail(request: RequestId, kind: ErrorKind, retry_after: Duration) -> DispatchAction {
    DispatchAction::Fail {
        request,
        kind,
        retry_after: retry_after.max(LEAST_RETRY),
    }
}
