//! The circuit breaker of one endpoint.

use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;

/// The failures in a row that open a breaker.
const FAILURE_LIMIT: u32 = 3;

/// The time for which a breaker opens first.
const FIRST_PAUSE: Duration = Duration::from_millis(500);

/// The longest time for which a breaker opens.
const LONGEST_PAUSE: Duration = Duration::from_secs(8);

/// Leaves out an endpoint that keeps failing, and probes it with single requests.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CircuitBreaker {
    failures: u32,
    trips: u32,
    open_until: Option<TimePoint>,
    probing: bool,
}

impl CircuitBreaker {
    /// Tells whether a request may be sent now.
    pub fn allows(&self, now: TimePoint) -> bool {
        match self.open_until {
            None => true,
            Some(until) => now >= until && !self.probing,
        }
    }

    /// Returns the time until a request may be sent.
    pub fn pause(&self, now: TimePoint) -> Duration {
        self.open_until
            .map_or(Duration::ZERO, |until| until.since(now))
    }

    /// Notes that a request was sent.
    pub fn on_sent(&mut self) {
        if self.open_until.is_some() {
            self.probing = true;
        }
    }

    /// Notes that an attempt ended without telling anything of the endpoint's health.
    pub fn on_neutral(&mut self) {
        self.probing = false;
    }

    /// Notes that the endpoint answered.
    pub fn on_success(&mut self) {
        *self = Self::default();
    }

    /// Notes that the endpoint failed.
    pub fn on_failure(&mut self, now: TimePoint) {
        self.failures = self.failures.saturating_add(1);
        self.probing = false;
        if self.failures < FAILURE_LIMIT {
            return;
        }
        let pause = FIRST_PAUSE.saturating_mul(1 << self.trips.min(8));
        self.open_until = Some(now + pause.min(LONGEST_PAUSE));
        self.trips = self.trips.saturating_add(1);
    }
}
