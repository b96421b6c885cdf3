//! A deterministic driver of the real dispatchers over endpoints that are arithmetic.
//!
//! The decisions are the daemon's own; only time, ways and service times are computed. No
//! connection is made, so the figures show the policy and not the driver's overhead.

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

/// The policy and the faults of one run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ModelOptions {
    /// How endpoints are chosen.
    pub rule: RouteRule,
    /// Whether requests that can't be served in time are refused at arrival.
    pub shedding: bool,
    /// Whether idempotent requests are hedged.
    pub hedging: bool,
    /// The endpoints that are slow by a factor of ten.
    pub slow: usize,
    /// Whether full endpoints refuse requests unrun rather than queue them.
    pub refuse_when_full: bool,
    /// Whether endpoints report their requests in flight.
    pub reports: bool,
}

/// What became of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestEnd {
    /// The caller got its answer after a time.
    Answered(Duration),
    /// The caller was refused unrun.
    Refused,
    /// The caller was told after a time that nobody knows.
    Unknown(Duration),
}

/// What came of a run.
#[derive(Debug, Clone)]
pub struct ModelReport {
    /// The ends of the requests, in their order.
    pub ends: Vec<Option<RequestEnd>>,
    /// The runs of each request at endpoints.
    pub runs: Vec<u32>,
    /// The highest number of requests in flight at one endpoint.
    pub peak: u32,
}

/// The factor of a slow endpoint.
const SLOW_FACTOR: u32 = 10;

/// An attempt on its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ModelAttempt {
    request: usize,
    daemon: usize,
    endpoint: usize,
    index: EndpointIndex,
    second: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum ModelEvent {
    Arrive(usize),
    Reach(ModelAttempt),
    Serve(ModelAttempt),
    Return(ModelAttempt, Option<u32>, bool),
    Hedge(usize),
    GiveUp(usize),
    Deadline(usize),
    Tick(usize),
}

/// An endpoint that serves up to its slots and queues the rest.
#[derive(Debug, Default)]
struct ModelEndpoint {
    busy: u32,
    queue: VecDeque<ModelAttempt>,
}

/// The state of a run.
struct ModelRun<'a> {
    profile: &'a LoadProfile,
    requests: &'a [LoadRequest],
    options: ModelOptions,
    daemons: Vec<ServiceDispatcher>,
    endpoints: Vec<ModelEndpoint>,
    flying: BTreeMap<(usize, usize), ModelAttempt>,
    events: BinaryHeap<Reverse<(Duration, u64, ModelEvent)>>,
    sequence: u64,
    report: ModelReport,
}

/// Runs the load through one dispatcher for each daemon.
pub fn run_model(
    profile: &LoadProfile,
    requests: &[LoadRequest],
    options: ModelOptions,
    seed: u64,
) -> ModelReport {
    let mut run = ModelRun::open(profile, requests, options, seed);
    while let Some(Reverse((now, _, event))) = run.events.pop() {
        run.take(now, event);
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
            flying: BTreeMap::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            report: ModelReport {
                ends: vec![None; requests.len()],
                runs: vec![0; requests.len()],
                peak: 0,
            },
        };
        for (index, request) in requests.iter().enumerate() {
            run.push(
                request.sent + profile.caller_delay,
                ModelEvent::Arrive(index),
            );
        }
        for daemon in 0..profile.daemons {
            run.push(Duration::ZERO, ModelEvent::Tick(daemon));
        }
        run
    }

    fn push(&mut self, at: Duration, event: ModelEvent) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn take(&mut self, now: Duration, event: ModelEvent) {
        match event {
            ModelEvent::Arrive(request) => self.arrive(now, request),
            ModelEvent::Reach(attempt) => self.reach(now, attempt),
            ModelEvent::Serve(attempt) => self.served(now, attempt),
            ModelEvent::Return(attempt, in_flight, ran) => {
                self.returned(now, attempt, in_flight, ran);
            }
            ModelEvent::Hedge(request) => {
                self.tell(now, request, DispatchEvent::HedgeDue(request_id(request)));
            }
            ModelEvent::GiveUp(request) => {
                self.tell(
                    now,
                    request,
                    DispatchEvent::WaitExpired(request_id(request)),
                );
            }
            ModelEvent::Deadline(request) => self.deadline(now, request),
            ModelEvent::Tick(daemon) => self.tick(now, daemon),
        }
    }

    fn arrive(&mut self, now: Duration, request: usize) {
        let deadline = now + self.profile.deadline;
        let queued = QueuedRequest {
            id: request_id(request),
            urgency: UrgencyClass::Normal,
            arrived: point(now),
            deadline: point(deadline),
            idempotent: self.profile.idempotent,
            replayable: true,
        };
        self.push(deadline, ModelEvent::Deadline(request));
        self.tell(now, request, DispatchEvent::Arrived(queued));
    }

    fn tell(&mut self, now: Duration, request: usize, event: DispatchEvent) {
        let daemon = self.requests[request].daemon;
        let actions = self.daemons[daemon].handle(point(now), event);
        self.act(now, daemon, actions);
    }

    fn tick(&mut self, now: Duration, daemon: usize) {
        let actions = self.daemons[daemon].handle(point(now), DispatchEvent::Tick);
        self.act(now, daemon, actions);
        if self.report.ends.iter().rev().any(Option::is_none) {
            self.push(now + Duration::from_millis(5), ModelEvent::Tick(daemon));
        }
    }

    fn act(&mut self, now: Duration, daemon: usize, actions: Vec<DispatchAction>) {
        for action in actions {
            match action {
                DispatchAction::Send {
                    request,
                    endpoint,
                    hedge_after,
                } => self.send(now, daemon, request, endpoint, hedge_after),
                DispatchAction::Wait { request, until } => {
                    let until = Duration::from_micros(until.0).max(now);
                    self.push(until, ModelEvent::GiveUp(request_index(request)));
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
            second: self
                .flying
                .range((request, 0)..(request + 1, 0))
                .next()
                .is_some(),
        };
        self.flying.insert((request, endpoint), attempt);
        let way = self.way(attempt);
        self.push(now + way, ModelEvent::Reach(attempt));
        if let Some(delay) = hedge_after {
            self.push(now + delay, ModelEvent::Hedge(request));
        }
    }

    fn reach(&mut self, now: Duration, attempt: ModelAttempt) {
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
        self.begin(now, attempt.endpoint);
    }

    /// Begins what the endpoint's free slots allow.
    fn begin(&mut self, now: Duration, endpoint: usize) {
        while self.endpoints[endpoint].busy < self.profile.slots {
            let Some(attempt) = self.endpoints[endpoint].queue.pop_front() else {
                return;
            };
            self.endpoints[endpoint].busy += 1;
            self.report.runs[attempt.request] += 1;
            let request = &self.requests[attempt.request];
            let time = if attempt.second {
                request.second_service
            } else {
                request.service
            };
            let factor = if endpoint < self.options.slow {
                SLOW_FACTOR
            } else {
                1
            };
            self.push(now + time * factor, ModelEvent::Serve(attempt));
        }
    }

    fn served(&mut self, now: Duration, attempt: ModelAttempt) {
        let endpoint = &mut self.endpoints[attempt.endpoint];
        endpoint.busy -= 1;
        let queued = u32::try_from(endpoint.queue.len()).unwrap_or(u32::MAX);
        let in_flight = endpoint.busy + queued;
        self.answer(now, attempt, in_flight, true);
        self.begin(now, attempt.endpoint);
    }

    fn answer(&mut self, now: Duration, attempt: ModelAttempt, in_flight: u32, ran: bool) {
        let in_flight = self.options.reports.then_some(in_flight);
        let way = self.way(attempt);
        self.push(now + way, ModelEvent::Return(attempt, in_flight, ran));
    }

    fn returned(
        &mut self,
        now: Duration,
        attempt: ModelAttempt,
        in_flight: Option<u32>,
        ran: bool,
    ) {
        if self
            .flying
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
            self.end_all(now, attempt.request, AttemptResult::Abandoned);
        }
    }

    fn deadline(&mut self, now: Duration, request: usize) {
        self.end_all(now, request, AttemptResult::TimedOut);
    }

    fn end_all(&mut self, now: Duration, request: usize, result: AttemptResult) {
        let all: Vec<_> = self
            .flying
            .range((request, 0)..(request + 1, 0))
            .map(|(_, attempt)| *attempt)
            .collect();
        for attempt in all {
            self.flying.remove(&(attempt.request, attempt.endpoint));
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
        self.tell(now, attempt.request, DispatchEvent::Returned(ended));
    }

    fn way(&self, attempt: ModelAttempt) -> Duration {
        let from = LoadProfile::zone_of(attempt.daemon);
        let to = LoadProfile::zone_of(attempt.endpoint);
        self.profile.way(from, to)
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
            .map(|index| entry(profile, index))
            .collect(),
        vms: BTreeMap::new(),
    };
    let mut dispatcher = ServiceDispatcher::new(policy, seed + daemon as u64);
    dispatcher.update(TimePoint(0), &view);
    dispatcher
}

fn entry(profile: &LoadProfile, index: usize) -> EndpointEntry {
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

fn point(at: Duration) -> TimePoint {
    TimePoint(u64::try_from(at.as_micros()).unwrap_or(u64::MAX))
}
