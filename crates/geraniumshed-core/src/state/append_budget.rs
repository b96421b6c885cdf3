//! The appends that one daemon may send to the log, over all its streams.

use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;

/// Spaces appends so that their rate stays within a limit, letting a few go at once.
///
/// While appends are rare each one goes at once. Under load each waits its turn, and what its
/// writer collects meanwhile goes along in the same entry.
#[derive(Debug, Clone)]
pub struct AppendBudget {
    interval: Duration,
    burst: Duration,
    next: TimePoint,
}

impl AppendBudget {
    /// Creates a budget of `rate` appends a second, of which `burst` may go at once.
    ///
    /// # Panics
    ///
    /// Panics if the rate is zero.
    pub fn new(rate: u32, burst: u32) -> Self {
        assert!(rate > 0, "a budget allows at least one append a second");
        let interval = Duration::from_secs(1) / rate;
        Self {
            interval,
            burst: interval * burst.saturating_sub(1),
            next: TimePoint::default(),
        }
    }

    /// Takes the next turn and returns how long its append has to wait.
    pub fn reserve(&mut self, now: TimePoint) -> Duration {
        let turn = self.next.max(now);
        self.next = turn + self.interval;
        (turn - self.burst).since(now)
    }
}
