//! The state of one endpoint from the view of one daemon.

use std::time::Duration;

use geraniumshed_model::prelude::{EndpointEntry, EndpointPhase, RequestId, TimePoint};

use super::breaker::CircuitBreaker;
use super::concurrency::ConcurrencyLimit;
use super::event::{AttemptResult, AttemptReturn};
use super::latency::LatencyEstimate;

/// The time over which a new endpoint's limit rises to all its slots.
const SLOW_START_TIME: Duration = Duration::from_secs(5);

/// The time for which an endpoint's report of its requests in flight is used.
const LOAD_REPORT_LIFETIME: Duration = Duration::from_millis(100);

/// The time for which an endpoint gets no new requests after it rejected one as busy.
const BUSY_BACKOFF: Duration = Duration::from_millis(5);

/// The time for which an endpoint counts as leaving after it rejected a request for that reason.
///
/// Afterwards, it counts as leaving only if the directory or the VM list says so.
const LEAVING_NOTICE_LIFETIME: Duration = Duration::from_secs(30);

/// The rate at which an endpoint's latency estimate moves to the service's mean without samples.
///
/// A share of the difference per second.
const LATENCY_DECAY_PER_SECOND: f64 = 0.2;

/// An attempt in flight at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct SentAttempt {
    request: RequestId,
    sent: TimePoint,
}

/// The state of one endpoint from the view of one daemon.
#[derive(Debug, Clone)]
pub struct EndpointState {
    entry: EndpointEntry,
    /// The endpoint's slots that the slot plan assigns to this daemon.
    owned_slots: u32,
    /// The connections to the endpoint that this daemon may use.
    connection_share: u32,
    is_local: bool,
    attempts: Vec<SentAttempt>,
    breaker: CircuitBreaker,
    limit: ConcurrencyLimit,
    latency: LatencyEstimate,
    /// The time of the last latency sample.
    last_sample: TimePoint,
    /// The other daemons' requests in flight, and the time of the report.
    reported_others: Option<(u32, TimePoint)>,
    /// The time at which the endpoint was added, if it gets a slow start.
    added: Option<TimePoint>,
    busy_until: TimePoint,
    leaving_until: TimePoint,
    is_vm_leaving: bool,
}

impl EndpointState {
    /// Creates the state of an endpoint; its slow start begins at `added`, if there is one.
    pub fn new(entry: EndpointEntry, is_local: bool, added: Option<TimePoint>) -> Self {
        let limit = ConcurrencyLimit::new(entry.slots.0);
        Self {
            entry,
            owned_slots: 0,
            connection_share: u32::MAX,
            is_local,
            attempts: Vec::new(),
            breaker: CircuitBreaker::default(),
            limit,
            latency: LatencyEstimate::default(),
            last_sample: TimePoint::default(),
            reported_others: None,
            added,
            busy_until: TimePoint::default(),
            leaving_until: TimePoint::default(),
            is_vm_leaving: false,
        }
    }

    /// Updates the state from the directory, the slot plan and the VM list.
    pub fn update(
        &mut self,
        entry: EndpointEntry,
        owned_slots: u32,
        daemons: u32,
        is_vm_leaving: bool,
    ) {
        self.limit.set_ceiling(entry.slots.0);
        self.owned_slots = owned_slots;
        self.connection_share = (entry.connections / daemons.max(1))
            .saturating_sub(1)
            .max(1);
        self.is_vm_leaving = is_vm_leaving;
        self.entry = entry;
    }

    /// Returns the directory's entry.
    pub fn entry(&self) -> &EndpointEntry {
        &self.entry
    }

    /// Returns whether the endpoint is in the daemon's availability zone.
    pub fn is_local(&self) -> bool {
        self.is_local
    }

    /// Returns the number of requests that this daemon has in flight at the endpoint.
    pub fn in_flight(&self) -> u32 {
        u32::try_from(self.attempts.len()).unwrap_or(u32::MAX)
    }

    /// Returns the number of this daemon's requests in flight per slot of the endpoint.
    pub fn load(&self) -> f64 {
        f64::from(self.in_flight()) / f64::from(self.entry.slots.0.max(1))
    }

    /// Returns whether the endpoint is not leaving and its breaker lets requests through.
    pub fn is_usable(&self, now: TimePoint) -> bool {
        !self.is_leaving(now) && self.breaker.allows(now)
    }

    /// Returns whether the endpoint is leaving according to the VM list, the directory or itself.
    pub fn is_leaving(&self, now: TimePoint) -> bool {
        self.is_vm_leaving || self.entry.phase == EndpointPhase::Leaving || now < self.leaving_until
    }

    /// Returns the time until the breaker lets a request through.
    pub fn breaker_delay(&self, now: TimePoint) -> Duration {
        self.breaker.breaker_delay(now)
    }

    /// Returns the number of this daemon's own slots that the current limits let it use.
    pub fn own_capacity(&self, now: TimePoint) -> u32 {
        self.owned_slots.min(self.in_flight_limit(now))
    }

    /// Returns whether one of the daemon's own slots is free.
    pub fn has_own_slot(&self, now: TimePoint) -> bool {
        self.is_usable(now) && now >= self.busy_until && self.in_flight() < self.own_capacity(now)
    }

    /// Returns whether a slot of another daemon is probably free.
    pub fn has_borrowable_slot(&self, now: TimePoint) -> bool {
        self.is_usable(now)
            && now >= self.busy_until
            && self.in_flight() < self.in_flight_limit(now)
            && self.in_flight() + self.others_in_flight(now) < self.entry.slots.0
    }

    /// Returns whether the endpoint is usable and below the current in-flight limit.
    pub fn has_any_slot(&self, now: TimePoint) -> bool {
        self.is_usable(now) && self.in_flight() < self.in_flight_limit(now)
    }

    /// Returns the expected latency of a request that is sent now.
    ///
    /// Doesn't add the round-trip time to the endpoint's availability zone.
    ///
    /// `service_mean` is the mean latency of the service.
    pub fn expected_latency(&self, now: TimePoint, service_mean: Duration) -> Duration {
        let idle = now.since(self.last_sample).as_secs_f64();
        let share = (idle * LATENCY_DECAY_PER_SECOND).min(1.0);
        let mut estimate = self.latency;
        if estimate.mean().is_zero() {
            estimate.record(now, service_mean);
        }
        estimate.decay_towards(service_mean, share);
        estimate.mean().max(self.mean_age(now))
    }

    /// Records that a request was sent to the endpoint.
    pub fn on_sent(&mut self, now: TimePoint, request: RequestId) {
        self.attempts.push(SentAttempt { request, sent: now });
        self.breaker.on_sent();
    }

    /// Records the end of an attempt. Returns its duration, or `None` if it is not known here.
    pub fn on_returned(
        &mut self,
        now: TimePoint,
        ended: &AttemptReturn,
        service_mean: Duration,
    ) -> Option<Duration> {
        let position = self
            .attempts
            .iter()
            .position(|attempt| attempt.request == ended.request)?;
        let attempt = self.attempts.swap_remove(position);
        let duration = now.since(attempt.sent);
        if let Some(total) = ended.in_flight {
            self.reported_others = Some((total.saturating_sub(self.in_flight()), now));
        }
        self.apply_result(now, ended.result, duration, service_mean);
        Some(duration)
    }

    fn apply_result(
        &mut self,
        now: TimePoint,
        result: AttemptResult,
        duration: Duration,
        service_mean: Duration,
    ) {
        match result {
            AttemptResult::Answered => {
                self.breaker.on_success();
                self.latency.record(now, duration);
                self.last_sample = now;
                self.limit.observe(self.latency.mean(), service_mean);
            }
            AttemptResult::Busy => {
                self.breaker.on_neutral();
                self.busy_until = now + BUSY_BACKOFF;
                self.reported_others = Some((self.entry.slots.0, now));
            }
            AttemptResult::Leaving => {
                self.breaker.on_neutral();
                self.leaving_until = now + LEAVING_NOTICE_LIFETIME;
            }
            AttemptResult::Abandoned => {
                self.breaker.on_neutral();
                self.latency.record(now, duration);
                self.last_sample = now;
            }
            AttemptResult::TimedOut => {
                self.breaker.on_failure(now);
                self.latency.record(now, duration);
                self.last_sample = now;
                self.limit.observe(self.latency.mean(), service_mean);
            }
            AttemptResult::Refused
            | AttemptResult::Lost
            | AttemptResult::Truncated
            | AttemptResult::Mismatched
            | AttemptResult::StreamLost => self.breaker.on_failure(now),
            AttemptResult::Streamed => self.breaker.on_success(),
        }
    }

    /// Returns the requests of other daemons in flight at the endpoint, estimated without a report.
    fn others_in_flight(&self, now: TimePoint) -> u32 {
        match self.reported_others {
            Some((others, reported)) if now.since(reported) < LOAD_REPORT_LIFETIME => others,
            // Under load, the other daemons use most of their slots; assumes that two are free.
            _ => self.entry.slots.0.saturating_sub(self.owned_slots + 2),
        }
    }

    /// Returns the mean age of the attempts in flight, which is a lower bound of the latency.
    fn mean_age(&self, now: TimePoint) -> Duration {
        let count = self.in_flight();
        if count == 0 {
            return Duration::ZERO;
        }
        let total: Duration = self.attempts.iter().map(|f| now.since(f.sent)).sum();
        total / count
    }

    /// Returns the number of requests that this daemon may have in flight at the endpoint now.
    fn in_flight_limit(&self, now: TimePoint) -> u32 {
        let slots = self.entry.slots.0.min(self.connection_share);
        slots.min(self.limit.get()).min(self.slow_start_limit(now))
    }

    /// Returns the limit of a new endpoint, which rises linearly to all its slots.
    #[expect(
        clippy::cast_possible_truncation,
        reason = "the limit is a small count"
    )]
    #[expect(clippy::cast_sign_loss, reason = "the limit is at least one")]
    fn slow_start_limit(&self, now: TimePoint) -> u32 {
        let Some(added) = self.added else {
            return u32::MAX;
        };
        let age = now.since(added);
        if age >= SLOW_START_TIME {
            return u32::MAX;
        }
        let share = age.as_secs_f64() / SLOW_START_TIME.as_secs_f64();
        1 + (f64::from(self.entry.slots.0) * share) as u32
    }
}
