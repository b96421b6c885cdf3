//! The clocks of a process.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use geraniumshed_core::assignment::PlannerTime;
use geraniumshed_model::prelude::{TimePoint, whole_millis};

/// Reads the monotonic and the system clock. Clones share the starting point.
#[derive(Debug, Clone, Copy)]
pub struct NodeClock {
    start: Instant,
}

impl NodeClock {
    /// Creates a clock whose monotonic time starts now.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the monotonic time since this clock was created.
    pub fn now(&self) -> TimePoint {
        TimePoint::default() + self.start.elapsed()
    }

    /// Returns the monotonic time and the Unix time.
    pub fn planner_time(&self) -> PlannerTime {
        PlannerTime {
            point: self.now(),
            unix_ms: unix_millis(),
        }
    }
}

/// A moment whose age also counts the time for which the process was suspended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ReadMark {
    monotonic: Instant,
    unix_ms: u64,
}

impl ReadMark {
    /// Returns the present moment.
    pub(crate) fn now() -> Self {
        Self {
            monotonic: Instant::now(),
            unix_ms: unix_millis(),
        }
    }

    /// Returns the time since this moment, at least by one of the clocks. The monotonic clock may
    /// stand still while the VM is suspended, and the system clock may be set back.
    pub(crate) fn age(self) -> Duration {
        let by_system = unix_millis().saturating_sub(self.unix_ms);
        self.monotonic
            .elapsed()
            .max(Duration::from_millis(by_system))
    }
}

/// Returns the system time in milliseconds of Unix time.
///
/// Returns 0 if the system clock is set before 1970.
pub fn unix_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    let elapsed = elapsed.unwrap_or(Duration::ZERO);
    whole_millis(elapsed)
}
