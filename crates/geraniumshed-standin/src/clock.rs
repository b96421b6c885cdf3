//! The clock of the truth record.

use std::time::{Duration, Instant};

use geraniumshed_model::prelude::TimePoint;

/// The clock that all stand-ins of one set share.
#[derive(Debug, Clone, Copy)]
pub struct TruthClock {
    start: Instant,
}

impl TruthClock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the present point of time.
    pub fn now(&self) -> TimePoint {
        TimePoint(micros(self.start.elapsed()))
    }

    /// Returns the instant of a point of time.
    pub fn instant(&self, point: TimePoint) -> Instant {
        self.start + Duration::from_micros(point.0)
    }
}

/// Converts a duration to whole microseconds.
pub fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
