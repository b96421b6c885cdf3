//! How long requests take.

use std::collections::VecDeque;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::command::SimulateCommand;
use crate::seed::seeded_rng;

/// The latencies of which the percentile is taken.
const WINDOW_REQUESTS: usize = 256;

/// Draws the times of an endpoint's first requests, as callers that compare with an ideal need them.
pub fn draw_times(seed: u64, name: &str, command: &SimulateCommand, count: usize) -> Vec<Duration> {
    let mut times = ServiceTimes::new(seed, name, command);
    (0..count).map(|_| times.draw(None)).collect()
}

/// Draws the time that each request takes and keeps the latest latencies.
#[derive(Debug)]
pub(super) struct ServiceTimes {
    rng: ChaCha8Rng,
    mean: Duration,
    spread: f64,
    latencies: VecDeque<Duration>,
}

impl ServiceTimes {
    /// Creates the draws of one endpoint.
    pub(super) fn new(seed: u64, name: &str, command: &SimulateCommand) -> Self {
        Self {
            rng: seeded_rng(seed, &["service-time", name]),
            mean: command.serve.unwrap_or_default(),
            spread: command.spread,
            latencies: VecDeque::new(),
        }
    }

    /// Draws the time of the next request: a fixed part and an exponential one.
    pub(super) fn draw(&mut self, mean: Option<Duration>) -> Duration {
        let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        let exponential = -uniform.ln();
        let factor = 1.0 - self.spread + self.spread * exponential;
        mean.unwrap_or(self.mean).mul_f64(factor)
    }

    /// Notes how long a request took, with its wait for a slot.
    pub(super) fn note(&mut self, latency: Duration) {
        if self.latencies.len() == WINDOW_REQUESTS {
            self.latencies.pop_front();
        }
        self.latencies.push_back(latency);
    }

    /// Returns the 99th percentile of the latest latencies, or the mean without any.
    pub(super) fn percentile_99(&self) -> Duration {
        let mut sorted: Vec<_> = self.latencies.iter().copied().collect();
        sorted.sort_unstable();
        let index = (sorted.len() * 99).div_ceil(100).saturating_sub(1);
        sorted.get(index).copied().unwrap_or(self.mean)
    }
}
