//! The service times of requests.

use std::collections::VecDeque;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::command::SimulateCommand;
use crate::seed::seeded_rng;

/// The number of recent latencies that the percentile covers.
const WINDOW_REQUESTS: usize = 256;

/// Returns the service times that an endpoint draws for its first `count` requests, for comparing
/// measured latencies with an ideal schedule.
pub fn draw_service_times(
    seed: u64,
    name: &str,
    command: &SimulateCommand,
    count: usize,
) -> Vec<Duration> {
    let mut times = ServiceTimes::new(seed, name, command);
    (0..count).map(|_| times.draw(None)).collect()
}

/// Draws the service time of each request and keeps recent latencies.
#[derive(Debug)]
pub(super) struct ServiceTimes {
    rng: ChaCha8Rng,
    mean: Duration,
    spread: f64,
    latencies: VecDeque<Duration>,
}

impl ServiceTimes {
    /// Creates the generator of an endpoint, seeded by its name.
    pub(super) fn new(seed: u64, name: &str, command: &SimulateCommand) -> Self {
        Self {
            rng: seeded_rng(seed, &["service-time", name]),
            mean: command.serve.unwrap_or_default(),
            spread: command.spread,
            latencies: VecDeque::new(),
        }
    }

    /// Draws the next service time, as the sum of a fixed and an exponentially distributed part.
    pub(super) fn draw(&mut self, mean: Option<Duration>) -> Duration {
        let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        let exponential = -uniform.ln();
        let factor = 1.0 - self.spread + self.spread * exponential;
        mean.unwrap_or(self.mean).mul_f64(factor)
    }

    /// Adds the latency of a request, which includes its wait for a slot.
    pub(super) fn add_latency(&mut self, latency: Duration) {
        if self.latencies.len() == WINDOW_REQUESTS {
            self.latencies.pop_front();
        }
        self.latencies.push_back(latency);
    }

    /// Returns the 99th percentile of recent latencies, or the mean service time without any.
    pub(super) fn p99_latency(&self) -> Duration {
        let mut sorted: Vec<_> = self.latencies.iter().copied().collect();
        sorted.sort_unstable();
        let index = (sorted.len() * 99).div_ceil(100).saturating_sub(1);
        sorted.get(index).copied().unwrap_or(self.mean)
    }
}
