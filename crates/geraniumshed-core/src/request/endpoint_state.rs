//! What one daemon knows of one endpoint.

use std::time::Duration;

use geraniumshed_model::prelude::{EndpointEntry, EndpointPhase, RequestId, TimePoint};

use super::breaker::CircuitBreaker;
use super::concurrency::ConcurrencyLimit;
use super::event::{AttemptResult, AttemptReturn};
use super::latency::LatencyEstimate;

/// The time over which a new endpoint comes up to its whole share.
const SLOW_START: Duration = Duration::from_secs(5);

/// The time for which an endpoint's report of its requests in flight is of use.
const REPORT_AGE: Duration = Duration::from_millis(100);

/// The time for which an endpoint that said it is full gets nothing new.
const BUSY_PAUSE: Duration = Duration::from_millis(5);

/// The time for which an endpoint's own word that it is leaving counts without any other.
const LEAVING_PAUSE: Duration = Duration::from_secs(30);

/// The share of its distance to the service's mean that an unused estimate loses in a second.
const FORGET_RATE: f64 = 0.2;

/// One request in flight at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct FlightEntry {
    request: RequestId,
    sent: TimePoint,
}

/// What one daemon knows of one endpoint.
#[derive(Debug, Clone)]
pub struct EndpointState {
    entry: EndpointEntry,
    owned: u32,
    connection_share: u32,
    local: bool,
    flights: Vec<FlightEntry>,
    breaker: CircuitBreaker,
    limit: ConcurrencyLimit,
    latency: LatencyEstimate,
    heard: TimePoint,
    others: Option<(u32, TimePoint)>,
    added: Option<TimePoint>,
    busy_until: TimePoint,
    leaving_until: TimePoint,
    vm_leaving: bool,
}

impl EndpointState {
    /// Creates the state of an endpoint; `added` starts its slow start, if it needs one.
    pub fn new(entry: EndpointEntry, local: bool, added: Option<TimePoint>) -> Self {
        let limit = ConcurrencyLimit::new(entry.slots.0);
        Self {
            entry,
            owned: 0,
            connection_share: u32::MAX,
            local,
            flights: Vec::new(),
            breaker: CircuitBreaker::default(),
            limit,
            latency: LatencyEstimate::default(),
            heard: TimePoint::default(),
            others: None,
            added,
            busy_until: TimePoint::default(),
            leaving_until: TimePoint::default(),
            vm_leaving: false,
        }
    }

    /// Takes over what the directory, the plan and the VM list say now.
    pub fn update(&mut self, entry: EndpointEntry, owned: u32, daemons: u32, vm_leaving: bool) {
        self.limit.set_most(entry.slots.0);
        self.owned = owned;
        self.connection_share = (entry.connections / daemons.max(1))
            .saturating_sub(1)
            .max(1);
        self.vm_leaving = vm_leaving;
        self.entry = entry;
    }

    /// Returns the directory's entry.
    pub fn entry(&self) -> &EndpointEntry {
        &self.entry
    }

    /// Tells whether the endpoint is in the daemon's availability zone.
    pub fn is_local(&self) -> bool {
        self.local
    }

    /// Returns the requests that this daemon has in flight here.
    pub fn in_flight(&self) -> u32 {
        u32::try_from(self.flights.len()).unwrap_or(u32::MAX)
    }

    /// Returns the requests in flight per slot.
    pub fn load(&self) -> f64 {
        f64::from(self.in_flight()) / f64::from(self.entry.slots.0.max(1))
    }

    /// Tells whether new requests may come here at all.
    pub fn is_usable(&self, now: TimePoint) -> bool {
        !self.is_leaving(now) && self.breaker.allows(now)
    }

    /// Tells whether the endpoint is leaving, by anybody's word.
    pub fn is_leaving(&self, now: TimePoint) -> bool {
        self.vm_leaving || self.entry.phase == EndpointPhase::Leaving || now < self.leaving_until
    }

    /// Returns the time until the breaker lets a request through.
    pub fn pause(&self, now: TimePoint) -> Duration {
        self.breaker.pause(now)
    }

    /// Returns the slots that are this daemon's own and in use at present.
    pub fn own_capacity(&self, now: TimePoint) -> u32 {
        self.owned.min(self.cap(now))
    }

    /// Tells whether one of the daemon's own slots is free.
    pub fn has_own_slot(&self, now: TimePoint) -> bool {
        self.is_usable(now) && now >= self.busy_until && self.in_flight() < self.own_capacity(now)
    }

    /// Tells whether a slot of another daemon's seems free.
    pub fn has_borrowed_slot(&self, now: TimePoint) -> bool {
        self.is_usable(now)
            && now >= self.busy_until
            && self.in_flight() < self.cap(now)
            && self.in_flight() + self.others_in_flight(now) < self.entry.slots.0
    }

    /// Tells whether the endpoint takes one more request as far as its slots and connections go.
    pub fn has_any_slot(&self, now: TimePoint) -> bool {
        self.is_usable(now) && self.in_flight() < self.cap(now)
    }

    /// Returns the time that a request sent now probably takes here, without the way there.
    pub fn expected_latency(&self, now: TimePoint, service: Duration) -> Duration {
        let idle = now.since(self.heard).as_secs_f64();
        let share = (idle * FORGET_RATE).min(1.0);
        let mut estimate = self.latency;
        if estimate.mean().is_zero() {
            estimate.record(now, service);
        }
        estimate.decay_towards(service, share);
        estimate.mean().max(self.mean_age(now))
    }

    /// Notes that a request was sent here.
    pub fn on_sent(&mut self, now: TimePoint, request: RequestId) {
        self.flights.push(FlightEntry { request, sent: now });
        self.breaker.on_sent();
    }

    /// Notes that an attempt ended. Returns the time that it took, if it was sent from here.
    pub fn on_returned(
        &mut self,
        now: TimePoint,
        ended: &AttemptReturn,
        service: Duration,
    ) -> Option<Duration> {
        let position = self
            .flights
            .iter()
            .position(|flight| flight.request == ended.request)?;
        let flight = self.flights.swap_remove(position);
        let took = now.since(flight.sent);
        if let Some(total) = ended.in_flight {
            self.others = Some((total.saturating_sub(self.in_flight()), now));
        }
        self.note_result(now, ended.result, took, service);
        Some(took)
    }

    fn note_result(
        &mut self,
        now: TimePoint,
        result: AttemptResult,
        took: Duration,
        service: Duration,
    ) {
        match result {
            AttemptResult::Answered => {
                self.breaker.on_success();
                self.latency.record(now, took);
                self.heard = now;
                self.limit.observe(self.latency.mean(), service);
            }
            AttemptResult::Busy => {
                self.breaker.on_neutral();
                self.busy_until = now + BUSY_PAUSE;
                self.others = Some((self.entry.slots.0, now));
            }
            AttemptResult::Leaving => {
                self.breaker.on_neutral();
                self.leaving_until = now + LEAVING_PAUSE;
            }
            AttemptResult::Abandoned => {
                self.breaker.on_neutral();
                self.latency.record(now, took);
                self.heard = now;
            }
            AttemptResult::TimedOut => {
                self.breaker.on_failure(now);
                self.latency.record(now, took);
                self.heard = now;
                self.limit.observe(self.latency.mean(), service);
            }
            AttemptResult::Refused
            | AttemptResult::Lost
            | AttemptResult::Truncated
            | AttemptResult::Mismatched
            | AttemptResult::StreamLost => self.breaker.on_failure(now),
            AttemptResult::Streamed => self.breaker.on_success(),
        }
    }

    /// Returns the requests of other daemons in flight here, as far as known.
    fn others_in_flight(&self, now: TimePoint) -> u32 {
        match self.others {
            Some((others, told)) if now.since(told) < REPORT_AGE => others,
            // Owners fill most of their own slots under load; two are taken to be free.
            _ => self.entry.slots.0.saturating_sub(self.owned + 2),
        }
    }

    /// Returns the mean age of the requests in flight, which bounds the latency from below.
    fn mean_age(&self, now: TimePoint) -> Duration {
        let count = self.in_flight();
        if count == 0 {
            return Duration::ZERO;
        }
        let total: Duration = self.flights.iter().map(|f| now.since(f.sent)).sum();
        total / count
    }

    /// Returns the requests that this daemon may have in flight here at present.
    fn cap(&self, now: TimePoint) -> u32 {
        let slots = self.entry.slots.0.min(self.connection_share);
        slots.min(self.limit.get()).min(self.slow_start_cap(now))
    }

    #[expect(clippy::cast_possible_truncation, reason = "the cap is a small count")]
    #[expect(clippy::cast_sign_loss, reason = "the cap is at least one")]
    fn slow_start_cap(&self, now: TimePoint) -> u32 {
        let Some(added) = self.added else {
            return u32::MAX;
        };
        let age = now.since(added);
        if age >= SLOW_START {
            return u32::MAX;
        }
        let share = age.as_secs_f64() / SLOW_START.as_secs_f64();
        1 + (f64::from(self.entry.slots.0) * share) as u32
    }
}
