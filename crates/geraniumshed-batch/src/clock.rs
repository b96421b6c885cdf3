//! The clocks of a process.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use geraniumshed_core::assignment::PlannerMoment;
use geraniumshed_model::prelude::{TimePoint, whole_millis};

/// Reads the clocks of a process; its clones agree with each other.
#[derive(Debug, Clone, Copy)]
pub struct NodeClock {
    start: Instant,
}

impl NodeClock {
    /// Starts a clock.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the point of the monotonic clock.
    pub fn now(&self) -> TimePoint {
        TimePoint::default() + self.start.elapsed()
    }

    /// Returns the time by both clocks.
    pub fn moment(&self) -> PlannerMoment {
        PlannerMoment {
            point: self.now(),
            unix_ms: unix_millis(),
        }
    }
}

/// Returns the time of day in milliseconds of Unix time.
///
/// A clock before 1970 counts as 1970.
pub fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let since = since.unwrap_or(Duration::ZERO);
    whole_millis(since)
}
