//! The adaptive limit of the requests that one endpoint is given at once.

use std::time::Duration;

/// The latency, in multiples of the service's mean, above which an endpoint counts as slowed down.
const SLOW_RATIO: f64 = 2.0;

/// The factor by which the limit falls when the endpoint is slowed down.
const DECREASE: f64 = 0.9;

/// A limit that falls by a factor while an endpoint is slow and grows by one otherwise.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ConcurrencyLimit {
    limit: f64,
    most: f64,
}

impl ConcurrencyLimit {
    /// Creates a limit that starts at its most.
    pub fn new(most: u32) -> Self {
        let most = f64::from(most.max(1));
        Self { limit: most, most }
    }

    /// Changes the most that the limit may be.
    pub fn set_most(&mut self, most: u32) {
        let most = f64::from(most.max(1));
        if self.limit >= self.most {
            self.limit = most;
        }
        self.most = most;
        self.limit = self.limit.min(most);
    }

    /// Returns the requests that may be in flight at once.
    #[expect(
        clippy::cast_possible_truncation,
        reason = "the limit is a small count"
    )]
    #[expect(clippy::cast_sign_loss, reason = "the limit is at least one")]
    pub fn get(&self) -> u32 {
        self.limit as u32
    }

    /// Takes the endpoint's mean latency against that of its service.
    pub fn observe(&mut self, endpoint: Duration, service: Duration) {
        if endpoint.as_secs_f64() > service.as_secs_f64() * SLOW_RATIO {
            self.limit = (self.limit * DECREASE).max(1.0);
        } else {
            self.limit = (self.limit + 1.0 / self.limit).min(self.most);
        }
    }
}
