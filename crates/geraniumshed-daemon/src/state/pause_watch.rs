//! Notices that the process was paused.

use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;

use crate::clock::ProcessClock;

/// The time between two looks at the clock.
pub const PAUSE_TICK: Duration = Duration::from_millis(250);

/// The time without a look at the clock that counts as a pause.
const PAUSE_LIMIT: Duration = Duration::from_secs(2);

/// Notices that the process was paused, by the gap between two looks at the clock.
#[derive(Debug)]
pub struct PauseWatch {
    clock: ProcessClock,
    last: TimePoint,
}

impl PauseWatch {
    /// Starts to watch.
    pub fn start(clock: ProcessClock) -> Self {
        Self {
            clock,
            last: clock.now(),
        }
    }

    /// Returns the present point of time if the process was paused since the last look.
    pub fn look(&mut self) -> Option<TimePoint> {
        let now = self.clock.now();
        let gap = now.since(self.last);
        self.last = now;
        (gap > PAUSE_LIMIT).then_some(now)
    }
}
