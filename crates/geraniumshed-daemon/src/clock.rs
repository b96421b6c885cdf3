//! The process's monotonic clock.

use geraniumshed_model::prelude::TimePoint;
use tokio::time::Instant;

/// The monotonic clock that all modules of one daemon read.
#[derive(Debug, Clone, Copy)]
pub struct ProcessClock {
    start: Instant,
}

impl ProcessClock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the time since the start of the clock.
    pub fn now(&self) -> TimePoint {
        TimePoint(u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX))
    }
}
