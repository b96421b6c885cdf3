//! The backoff before a failed call is retried.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Exponential backoff, with jitter so that daemons don't retry at the same time.
#[derive(Debug, Clone)]
pub struct RetryDelay {
    floor: Duration,
    ceiling: Duration,
    next: Duration,
    rng: ChaCha8Rng,
}

impl RetryDelay {
    /// Creates a backoff that doubles from `floor` to `ceiling`, with jitter derived from a seed.
    pub fn new(floor: Duration, ceiling: Duration, seed: u64) -> Self {
        Self {
            floor,
            ceiling,
            next: floor,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns the delay after another failure.
    pub fn after_failure(&mut self) -> Duration {
        let delay = self.next.mul_f64(self.rng.random_range(0.5..1.0));
        self.next = (self.next * 2).min(self.ceiling);
        delay
    }

    /// Resets the backoff after a success.
    pub fn reset(&mut self) {
        self.next = self.floor;
    }
}
