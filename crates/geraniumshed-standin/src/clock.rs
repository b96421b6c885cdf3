//! The clock that timestamps the history.

use std::time::{Duration, Instant};

use geraniumshed_model::prelude::TimePoint;

/// The clock that all stand-ins of one cluster share.
#[derive(Debug, Clone, Copy)]
pub struct StandinClock {
    start: Instant,
}

impl StandinClock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> TimePoint {
        TimePoint(micros(self.start.elapsed()))
    }

    /// Converts a time of this clock to an instant.
    pub fn instant(&self, point: TimePoint) -> Instant {
        self.start + Duration::from_micros(point.0)
    }
}

/// Converts a duration to whole microseconds.
pub fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
