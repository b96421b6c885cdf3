//! The circuit breaker of one endpoint.

use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;

/// The consecutive failures that open a breaker.
const FAILURE_LIMIT: u32 = 3;

/// The time that a breaker stays open after its first trip; it doubles with each further one.
const INITIAL_OPEN_TIME: Duration = Duration::from_millis(500);

/// The maximum time that a breaker stays open.
const MAX_OPEN_TIME: Duration = Duration::from_secs(8);

/// Blocks requests to an endpoint that keeps failing, and probes it with single requests.
///
/// Once the open time is over, one request at a time is let through (half-open state), until an
/// attempt succeeds and closes the breaker.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CircuitBreaker {
    failures: u32,
    trips: u32,
    open_until: Option<TimePoint>,
    probing: bool,
}

impl CircuitBreaker {
    /// Returns whether a request may be sent now.
    pub fn allows(&self, now: TimePoint) -> bool {
        match self.open_until {
            None => true,
            Some(until) => now >= until && !self.probing,
        }
    }

    /// Returns the time until the open time is over, or zero.
    pub fn breaker_delay(&self, now: TimePoint) -> Duration {
        self.open_until
            .map_or(Duration::ZERO, |until| until.since(now))
    }

    /// Records that a request was sent, which is the probe if the breaker is open.
    pub fn on_sent(&mut self) {
        if self.open_until.is_some() {
            self.probing = true;
        }
    }

    /// Records an attempt whose result says nothing about the endpoint's health.
    pub fn on_neutral(&mut self) {
        self.probing = false;
    }

    /// Records an answer of the endpoint, which closes the breaker.
    pub fn on_success(&mut self) {
        *self = Self::default();
    }

    /// Records a failure of the endpoint, and opens the breaker at the failure limit.
    pub fn on_failure(&mut self, now: TimePoint) {
        self.failures = self.failures.saturating_add(1);
        self.probing = false;
        if self.failures < FAILURE_LIMIT {
            return;
        }
        let open_time = INITIAL_OPEN_TIME.saturating_mul(1 << self.trips.min(8));
        self.open_until = Some(now + open_time.min(MAX_OPEN_TIME));
        self.trips = self.trips.saturating_add(1);
    }
}
