//! The rate limit for the appends of one daemon to all streams of the log.

use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;

/// Delays appends so that their rate stays within a limit, with an allowance for bursts.
///
/// At a low rate each append is sent immediately. Under load appends are delayed, and the events
/// that a writer collects during the delay are sent in the same entry.
#[derive(Debug, Clone)]
pub struct AppendBudget {
    interval: Duration,
    burst: Duration,
    next: TimePoint,
}

impl AppendBudget {
    /// Creates a budget of `rate` appends per second, of which `burst` may be sent at once.
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

    /// Reserves the next append and returns how long it must be delayed.
    pub fn reserve(&mut self, now: TimePoint) -> Duration {
        let slot = self.next.max(now);
        self.next = slot + self.interval;
        (slot - self.burst).since(now)
    }
}
