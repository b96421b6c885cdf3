//! A deterministic simulation that runs the real dispatchers against simulated endpoints.
//!
//! The dispatch decisions are those of the daemon; time, network delays and service times are
//! simulated. No connections are made, so the results show the policy without any I/O overhead.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use geraniumshed_core::request::router::RouteView;
use geraniumshed_core::request::{
    AttemptResult, AttemptReturn, DispatchAction, DispatchEvent, DispatchPolicy, EndpointIndex,
    QueuedRequest, RouteRule, ServiceDispatcher,
};
use geraniumshed_model::prelude::{
    AttemptNumber, EndpointEntry, EndpointId, EndpointPhase, RecordGeneration, RequestId,
    RunOutcome, SlotCount, TaskId, TimePoint, UrgencyClass, VmId, ZoneName,
};

use super::profile::{LoadProfile, LoadRequest};

/// The policy and the faults of one simulation run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ModelOptions {
    /// The rule by which endpoints are chosen.
    pub rule: RouteRule,
    /// Whether requests that can't be served in time are refused on arrival.
    pub shedding: bool,
    /// Whether idempotent requests are hedged.
    pub hedging: bool,
    /// The number of endpoints that are slow by a factor of ten.
    pub slow_endpoints: usize,
    /// Whether full endpoints refuse requests without running them instead of queueing them.
    pub refuse_when_full: bool,
    /// Whether endpoints report their number of requests in flight with each answer.
    pub reports_in_flight: bool,
}

/// The outcome of a request for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestEnd {
    /// The caller got an answer after this latency.
    Answered(Duration),
    /// The request was refused without running.
    Refused,
    /// The caller was told after this latency that it is unknown whether the request ran.
    Unknown(Duration),
}

/// The results of a simulation run.
#[derive(Debug, Clone)]
pub struct ModelReport {
    /// The outcome of each request, or `None` if it got none.
    pub ends: Vec<Option<RequestEnd>>,
    /// The number of times that each request ran at an endpoint.
    pub runs: Vec<u32>,
    /// The highest number of requests in flight at one endpoint.
    pub peak: u32,
}

/// The factor by which slow endpoints take longer.
const SLOW_FACTOR: u32 = 10;

/// An attempt of a request that is sent to an endpoint and has not returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ModelAttempt {
    request: usize,
    daemon: usize,
    endpoint: usize,
    index: EndpointIndex,
    /// Whether another attempt of the request was in flight when this one was sent.
    is_hedge: bool,
}

/// An event of the simulation, with what it concerns: a request, an attempt or a daemon.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum ModelEvent {
    RequestArrived(usize),
    AttemptArrived(ModelAttempt),
    AttemptServed(ModelAttempt),
    AttemptReturned(ModelAttempt, Option<u32>, bool),
    HedgeDue(usize),
    WaitExpired(usize),
    DeadlineReached(usize),
    Tick(usize),
}

/// A simulated endpoint that serves as many attempts as it has slots and queues the others.
#[derive(Debug, Default)]
struct ModelEndpoint {
    busy: u32,
    queue: VecDeque<ModelAttempt>,
}

/// The state of a simulation run.
struct ModelRun<'a> {
    profile: &'a LoadProfile,
    requests: &'a [LoadRequest],
    options: ModelOptions,
    daemons: Vec<ServiceDispatcher>,
    endpoints: Vec<ModelEndpoint>,
    /// The attempts in flight, by request and endpoint.
    in_flight_attempts: BTreeMap<(usize, usize), ModelAttempt>,
    /// The scheduled events, by time, then in the order in which they were scheduled.
    events: BinaryHeap<Reverse<(Duration, u64, ModelEvent)>>,
    sequence: u64,
    report: ModelReport,
}

/// Simulates a load, with one dispatcher per daemon.
pub fn run_model(
    profile: &LoadProfile,
    requests: &[LoadRequest],
    options: ModelOptions,
    seed: u64,
) -> ModelReport {
    let mut run = ModelRun::open(profile, requests, options, seed);
    while let Some(Reverse((now, _, event))) = run.events.pop() {
        run.handle_event(now, event);
    }
    run.report
}

impl<'a> ModelRun<'a> {
    fn open(
        profile: &'a LoadProfile,
        requests: &'a [LoadRequest],
        options: ModelOptions,
        seed: u64,
    ) -> Self {
        let daemons = (0..profile.daemons)
            .map(|daemon| open_dispatcher(profile, options, daemon, seed))
            .collect();
        let mut run = Self {
            profile,
            requests,
            options,
            daemons,
            endpoints: (0..profile.endpoints)
                .map(|_| ModelEndpoint::default())
                .collect(),
            in_flight_attempts: BTreeMap::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            report: ModelReport {
                ends: vec![None; requests.len()],
                runs: vec![0; requests.len()],
                peak: 0,
            },
        };
        for (index, request) in requests.iter().enumerate() {
            run.schedule(
                request.sent + profile.caller_delay,
                ModelEvent::RequestArrived(index),
            );
        }
        for daemon in 0..profile.daemons {
            run.schedule(Duration::ZERO, ModelEvent::Tick(daemon));
        }
        run
    }

    /// Schedules an event; events of the same time are handled in the order of scheduling.
    fn schedule(&mut self, at: Duration, event: ModelEvent) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn handle_event(&mut self, now: Duration, event: ModelEvent) {
        match event {
            ModelEvent::RequestArrived(request) => self.request_arrived(now, request),
            ModelEvent::AttemptArrived(attempt) => self.attempt_arrived(now, attempt),
            ModelEvent::AttemptServed(attempt) => self.attempt_served(now, attempt),
            ModelEvent::AttemptReturned(attempt, in_flight, ran) => {
                self.attempt_returned(now, attempt, in_flight, ran);
            }
            ModelEvent::HedgeDue(request) => {
                self.dispatch(now, request, DispatchEvent::HedgeDue(request_id(request)));
            }
            ModelEvent::WaitExpired(request) => {
                self.dispatch(
                    now,
                    request,
                    DispatchEvent::WaitExpired(request_id(request)),
                );
            }
            ModelEvent::DeadlineReached(request) => self.deadline_reached(now, request),
            ModelEvent::Tick(daemon) => self.tick(now, daemon),
        }
    }

    fn request_arrived(&mut self, now: Duration, request: usize) {
        let deadline = now + self.profile.deadline;
        let queued = QueuedRequest {
            id: request_id(request),
            urgency: UrgencyClass::Normal,
            arrived: time_point(now),
            deadline: time_point(deadline),
            idempotent: self.profile.idempotent,
            replayable: true,
        };
        self.schedule(deadline, ModelEvent::DeadlineReached(request));
        self.dispatch(now, request, DispatchEvent::Arrived(queued));
    }

    /// Passes an event of a request to the dispatcher of its daemon.
    fn dispatch(&mut self, now: Duration, request: usize, event: DispatchEvent) {
        let daemon = self.requests[request].daemon;
        let actions = self.daemons[daemon].handle(time_point(now), event);
        self.perform(now, daemon, actions);
    }

    fn tick(&mut self, now: Duration, daemon: usize) {
        let actions = self.daemons[daemon].handle(time_point(now), DispatchEvent::Tick);
        self.perform(now, daemon, actions);
        if self.report.ends.iter().rev().any(Option::is_none) {
            self.schedule(now + Duration::from_millis(5), ModelEvent::Tick(daemon));
        }
    }

    fn perform(&mut self, now: Duration, daemon: usize, actions: Vec<DispatchAction>) {
        for action in actions {
            match action {
                DispatchAction::Send {
                    request,
                    endpoint,
                    hedge_after,
                } => self.send(now, daemon, request, endpoint, hedge_after),
                DispatchAction::Wait { request, until } => {
                    let until = Duration::from_micros(until.0).max(now);
                    self.schedule(until, ModelEvent::WaitExpired(request_index(request)));
                }
                DispatchAction::Fail { request, kind, .. } => {
                    let index = request_index(request);
                    let sent = self.requests[index].sent;
                    let end = if kind.answer().outcome == RunOutcome::NotRun {
                        RequestEnd::Refused
                    } else {
                        RequestEnd::Unknown((now + self.profile.caller_delay).saturating_sub(sent))
                    };
                    self.report.ends[index].get_or_insert(end);
                }
            }
        }
    }

    fn send(
        &mut self,
        now: Duration,
        daemon: usize,
        request: RequestId,
        index: EndpointIndex,
        hedge_after: Option<Duration>,
    ) {
        let request = request_index(request);
        let endpoint = index.0 as usize;
        let attempt = ModelAttempt {
            request,
            daemon,
            endpoint,
            index,
            is_hedge: self
                .in_flight_attempts
                .range((request, 0)..(request + 1, 0))
                .next()
                .is_some(),
        };
        self.in_flight_attempts.insert((request, endpoint), attempt);
        let delay = self.network_delay(attempt);
        self.schedule(now + delay, ModelEvent::AttemptArrived(attempt));
        if let Some(hedge_delay) = hedge_after {
            self.schedule(now + hedge_delay, ModelEvent::HedgeDue(request));
        }
    }

    fn attempt_arrived(&mut self, now: Duration, attempt: ModelAttempt) {
        let slots = self.profile.slots;
        let endpoint = &mut self.endpoints[attempt.endpoint];
        if endpoint.busy >= slots && self.options.refuse_when_full {
            let in_flight = endpoint.busy;
            self.answer(now, attempt, in_flight, false);
            return;
        }
        endpoint.queue.push_back(attempt);
        let held = endpoint.busy + u32::try_from(endpoint.queue.len()).unwrap_or(u32::MAX);
        self.report.peak = self.report.peak.max(held);
        self.start_queued(now, attempt.endpoint);
    }

    /// Starts queued attempts of an endpoint in its free slots.
    fn start_queued(&mut self, now: Duration, endpoint: usize) {
        while self.endpoints[endpoint].busy < self.profile.slots {
            let Some(attempt) = self.endpoints[endpoint].queue.pop_front() else {
                return;
            };
            self.endpoints[endpoint].busy += 1;
            self.report.runs[attempt.request] += 1;
            let request = &self.requests[attempt.request];
            let time = if attempt.is_hedge {
                request.hedge_service
            } else {
                request.service
            };
            let factor = if endpoint < self.options.slow_endpoints {
                SLOW_FACTOR
            } else {
                1
            };
            self.schedule(now + time * factor, ModelEvent::AttemptServed(attempt));
        }
    }

    fn attempt_served(&mut self, now: Duration, attempt: ModelAttempt) {
        let endpoint = &mut self.endpoints[attempt.endpoint];
        endpoint.busy -= 1;
        let queued = u32::try_from(endpoint.queue.len()).unwrap_or(u32::MAX);
        let in_flight = endpoint.busy + queued;
        self.answer(now, attempt, in_flight, true);
        self.start_queued(now, attempt.endpoint);
    }

    fn answer(&mut self, now: Duration, attempt: ModelAttempt, in_flight: u32, ran: bool) {
        let in_flight = self.options.reports_in_flight.then_some(in_flight);
        let delay = self.network_delay(attempt);
        self.schedule(
            now + delay,
            ModelEvent::AttemptReturned(attempt, in_flight, ran),
        );
    }

    fn attempt_returned(
        &mut self,
        now: Duration,
        attempt: ModelAttempt,
        in_flight: Option<u32>,
        ran: bool,
    ) {
        if self
            .in_flight_attempts
            .remove(&(attempt.request, attempt.endpoint))
            .is_none()
        {
            return;
        }
        let result = if ran {
            AttemptResult::Answered
        } else {
            AttemptResult::Busy
        };
        if ran {
            let sent = self.requests[attempt.request].sent;
            let latency = (now + self.profile.caller_delay).saturating_sub(sent);
            self.report.ends[attempt.request].get_or_insert(RequestEnd::Answered(latency));
        }
        self.end_attempt(now, attempt, result, in_flight);
        if ran {
            self.end_attempts(now, attempt.request, AttemptResult::Abandoned);
        }
    }

    fn deadline_reached(&mut self, now: Duration, request: usize) {
        self.end_attempts(now, request, AttemptResult::TimedOut);
    }

    /// Ends all attempts of a request that are in flight.
    fn end_attempts(&mut self, now: Duration, request: usize, result: AttemptResult) {
        let all: Vec<_> = self
            .in_flight_attempts
            .range((request, 0)..(request + 1, 0))
            .map(|(_, attempt)| *attempt)
            .collect();
        for attempt in all {
            self.in_flight_attempts
                .remove(&(attempt.request, attempt.endpoint));
            self.end_attempt(now, attempt, result, None);
        }
    }

    fn end_attempt(
        &mut self,
        now: Duration,
        attempt: ModelAttempt,
        result: AttemptResult,
        in_flight: Option<u32>,
    ) {
        let ended = AttemptReturn {
            request: request_id(attempt.request),
            endpoint: attempt.index,
            result,
            in_flight,
        };
        self.dispatch(now, attempt.request, DispatchEvent::Returned(ended));
    }

    fn network_delay(&self, attempt: ModelAttempt) -> Duration {
        let from = LoadProfile::zone_of(attempt.daemon);
        let to = LoadProfile::zone_of(attempt.endpoint);
        self.profile.network_delay(from, to)
    }
}

fn open_dispatcher(
    profile: &LoadProfile,
    options: ModelOptions,
    daemon: usize,
    seed: u64,
) -> ServiceDispatcher {
    let zone = zone_name(LoadProfile::zone_of(daemon));
    let policy = DispatchPolicy {
        rule: options.rule,
        shedding: options.shedding,
        hedge_share: if options.hedging { 0.02 } else { 0.0 },
        zone_distance: profile.zone_delay * 2,
        ..DispatchPolicy::new(zone, 1000, profile.goal)
    };
    let view = RouteView {
        own: vm_name("d", daemon),
        daemons: (0..profile.daemons)
            .map(|index| (vm_name("d", index), zone_name(LoadProfile::zone_of(index))))
            .collect(),
        endpoints: (0..profile.endpoints)
            .map(|index| endpoint_entry(profile, index))
            .collect(),
        vms: BTreeMap::new(),
    };
    let mut dispatcher = ServiceDispatcher::new(policy, seed + daemon as u64);
    dispatcher.update(TimePoint(0), &view);
    dispatcher
}

fn endpoint_entry(profile: &LoadProfile, index: usize) -> EndpointEntry {
    let number = u32::try_from(index).unwrap_or(u32::MAX);
    EndpointEntry {
        endpoint: EndpointId {
            task: TaskId {
                record: "booking".parse().expect("a valid name"),
                generation: RecordGeneration(0),
                index: number,
            },
            attempt: AttemptNumber(1),
        },
        service: "booking".parse().expect("a valid name"),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        vm: vm_name("w", index),
        zone: zone_name(LoadProfile::zone_of(index)),
        slots: SlotCount(profile.slots),
        connections: profile.connections,
        phase: EndpointPhase::Ready,
    }
}

fn vm_name(kind: &str, index: usize) -> VmId {
    format!("{kind}{index}").parse().expect("a valid name")
}

fn zone_name(index: usize) -> ZoneName {
    format!("z{index}").parse().expect("a valid name")
}

fn request_id(index: usize) -> RequestId {
    RequestId(index as u128)
}

fn request_index(id: RequestId) -> usize {
    usize::try_from(id.0).unwrap_or(usize::MAX)
}

fn time_point(at: Duration) -> TimePoint {
    TimePoint(u64::try_from(at.as_micros()).unwrap_or(u64::MAX))
}
