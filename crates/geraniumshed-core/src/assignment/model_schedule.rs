//! The times at which the interference model is stored.

use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;

/// The delay of the first write. Until then, a planner has hardly more than what it restored.
const FIRST_DELAY: Duration = Duration::from_secs(1);
/// The shortest interval between two writes.
const MIN_INTERVAL: Duration = Duration::from_millis(250);
/// The longest interval between two writes.
const MAX_INTERVAL: Duration = Duration::from_secs(3);
/// The part of a planner's time so far that the interval between two writes takes.
const INTERVAL_DIVISOR: u32 = 4;

/// Decides when the interference model is stored.
///
/// The intervals grow with the planner's time, so that planners that follow each other soon each
/// store most of what they learned.
#[derive(Debug, Default)]
pub(super) struct ModelSchedule {
    /// When the planner began, once it has.
    began_at: Option<TimePoint>,
    /// When the next write is due.
    next: TimePoint,
}

impl ModelSchedule {
    /// Records that the planner is active. Only the first call has an effect.
    pub(super) fn begin(&mut self, now: TimePoint) {
        if self.began_at.is_none() {
            self.began_at = Some(now);
            self.next = now + FIRST_DELAY;
        }
    }

    /// Returns whether a write is due, and schedules the next one if it is.
    pub(super) fn take_due(&mut self, now: TimePoint) -> bool {
        let Some(began_at) = self.began_at.filter(|_| self.next <= now) else {
            return false;
        };
        let interval = now.since(began_at) / INTERVAL_DIVISOR;
        self.next = now + interval.clamp(MIN_INTERVAL, MAX_INTERVAL);
        true
    }
}
