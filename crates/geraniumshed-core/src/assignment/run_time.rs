//! How long runs take, compared with their estimates.

use std::time::Duration;

/// The weight of the newest run. Runs of a queue differ by their workers, and a burst has hundreds.
const NEWEST_WEIGHT: f64 = 0.03;
/// The longest run that counts, relative to its estimate. Single runs on failing workers take longer
/// and say nothing about others.
const MAX_FACTOR: f64 = 4.0;

/// How long the runs of a queue take, relative to their estimates. Slow workers and throttled runs make
/// it more than 1.
#[derive(Debug, Clone, Copy)]
pub(super) struct RunTimeFactor {
    factor: f64,
    run_count: u32,
}

impl Default for RunTimeFactor {
    fn default() -> Self {
        Self {
            factor: 1.0,
            run_count: 0,
        }
    }
}

impl RunTimeFactor {
    /// Records the time of a run that has ended.
    pub(super) fn record(&mut self, elapsed: Duration, estimate: Duration) {
        if estimate.is_zero() {
            return;
        }
        self.run_count = self.run_count.saturating_add(1);
        // The first runs that a planner sees count more, so that a takeover costs little.
        let weight = (1.0 / f64::from(self.run_count)).max(NEWEST_WEIGHT);
        let newest = elapsed.as_secs_f64() / estimate.as_secs_f64();
        self.factor += (newest.clamp(1.0, MAX_FACTOR) - self.factor) * weight;
    }

    /// Returns the factor.
    pub(super) fn get(self) -> f64 {
        self.factor
    }
}
