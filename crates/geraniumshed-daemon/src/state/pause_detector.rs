//! Detects pauses of the process.

use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;

use crate::clock::ProcessClock;

/// The interval at which the clock has to be checked.
pub const PAUSE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The time between two checks above which the process counts as paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);

/// Detects that the process was paused, by the time between two checks of the clock.
#[derive(Debug)]
pub struct PauseDetector {
    clock: ProcessClock,
    last: TimePoint,
}

impl PauseDetector {
    /// Creates a detector that counts from now.
    pub fn start(clock: ProcessClock) -> Self {
        Self {
            clock,
            last: clock.now(),
        }
    }

    /// Returns the current time if the process was paused since the last check.
    pub fn check(&mut self) -> Option<TimePoint> {
        let now = self.clock.now();
        let gap = now.since(self.last);
        self.last = now;
        (gap > PAUSE_THRESHOLD).then_some(now)
    }
}
