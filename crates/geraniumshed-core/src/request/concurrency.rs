//! The adaptive limit of the requests in flight at one endpoint.

use std::time::Duration;

/// The latency, in multiples of the service's mean, above which an endpoint counts as slow.
const SLOW_RATIO: f64 = 2.0;

/// The factor by which the limit falls on each observation of a slow endpoint.
const DECREASE_FACTOR: f64 = 0.9;

/// An additive-increase, multiplicative-decrease (AIMD) limit.
///
/// The limit falls by a factor on each observation while the endpoint is slow. Otherwise, it grows
/// by about one per `limit` observations.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ConcurrencyLimit {
    limit: f64,
    ceiling: f64,
}

impl ConcurrencyLimit {
    /// Creates a limit that starts at its ceiling.
    pub fn new(ceiling: u32) -> Self {
        let ceiling = f64::from(ceiling.max(1));
        Self {
            limit: ceiling,
            ceiling,
        }
    }

    /// Changes the ceiling; a limit that is at the old ceiling moves to the new one.
    pub fn set_ceiling(&mut self, ceiling: u32) {
        let ceiling = f64::from(ceiling.max(1));
        if self.limit >= self.ceiling {
            self.limit = ceiling;
        }
        self.ceiling = ceiling;
        self.limit = self.limit.min(ceiling);
    }

    /// Returns the number of requests that may be in flight at once.
    #[expect(
        clippy::cast_possible_truncation,
        reason = "the limit is a small count"
    )]
    #[expect(clippy::cast_sign_loss, reason = "the limit is at least one")]
    pub fn get(&self) -> u32 {
        self.limit as u32
    }

    /// Adjusts the limit by the endpoint's mean latency, compared with its service's.
    pub fn observe(&mut self, endpoint_mean: Duration, service_mean: Duration) {
        if endpoint_mean.as_secs_f64() > service_mean.as_secs_f64() * SLOW_RATIO {
            self.limit = (self.limit * DECREASE_FACTOR).max(1.0);
        } else {
            self.limit = (self.limit + 1.0 / self.limit).min(self.ceiling);
        }
    }
}
