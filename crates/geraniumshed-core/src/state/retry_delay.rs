//! How long to wait before a call is tried again.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A delay that doubles with each failure, with jitter so that daemons don't retry in step.
#[derive(Debug, Clone)]
pub struct RetryDelay {
    floor: Duration,
    ceiling: Duration,
    next: Duration,
    rng: ChaCha8Rng,
}

impl RetryDelay {
    /// Creates a delay between a floor and a ceiling, drawing its jitter from a seed.
    pub fn new(floor: Duration, ceiling: Duration, seed: u64) -> Self {
        Self {
            floor,
            ceiling,
            next: floor,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns the delay after one more failure.
    pub fn after_failure(&mut self) -> Duration {
        let delay = self.next.mul_f64(self.rng.random_range(0.5..1.0));
        self.next = (self.next * 2).min(self.ceiling);
        delay
    }

    /// Starts over after a success.
    pub fn reset(&mut self) {
        self.next = self.floor;
    }
}
