//! The observed progress of a run.

use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;

use super::clock::WorkerTime;

/// The progress of a run at one time, from which the next observation of its speed begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProgressMark {
    /// The progress, in percent.
    pub percent: u32,
    /// The time at the scheduler.
    pub at: TimePoint,
    /// The time on the worker's clock, if it is known.
    pub clock: Option<WorkerTime>,
}

impl ProgressMark {
    /// Returns the time since the mark. A late answer doesn't prolong it, since the worker's clock was
    /// read with the progress.
    pub fn span(&self, now: TimePoint, clock: WorkerTime) -> Duration {
        let span = now.since(self.at);
        match self.clock {
            Some(earlier) => {
                let by_clock = Duration::from_millis(clock.0.saturating_sub(earlier.0));
                span.min(by_clock)
            }
            None => span,
        }
    }
}

/// The speed of a run, as far as it was observed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunSpeed {
    /// The progress per second, as a fraction of the whole task.
    pub rate: f64,
    /// The speed relative to the peers of the run, where 1 is the usual one.
    pub relative: f64,
}

/// The observed progress of a run.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RunProgress {
    /// Where the next observation begins.
    pub mark: Option<ProgressMark>,
    /// The speed in the newest observation.
    pub speed: Option<RunSpeed>,
}
