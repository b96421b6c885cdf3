//! The parts of the planner's work that are timed.

use std::time::{Duration, Instant};

/// A part of the planner's work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PlannerPart {
    /// Accepting jobs.
    Submit,
    /// Placing tasks, renewing leases and watching runs.
    Plan,
    /// Collecting changes, and sending the starts whose placements are stored.
    Store,
    /// Handling the answers to starts.
    Start,
    /// Handling the answers to renewals, with the ends of runs.
    Renew,
}

impl PlannerPart {
    /// All parts.
    pub(super) const ALL: [Self; 5] = [
        Self::Submit,
        Self::Plan,
        Self::Store,
        Self::Start,
        Self::Renew,
    ];

    /// Returns the name in reports.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Submit => "submit",
            Self::Plan => "plan",
            Self::Store => "store",
            Self::Start => "start",
            Self::Renew => "renew",
        }
    }
}

/// The time that each part has taken.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct PartTimes([Duration; PlannerPart::ALL.len()]);

impl PartTimes {
    /// Runs a closure and adds its time to a part.
    pub(super) fn time<T>(&mut self, part: PlannerPart, run: impl FnOnce() -> T) -> T {
        let begun = Instant::now();
        let result = run();
        self.0[part as usize] += begun.elapsed();
        result
    }

    /// Returns the time of a part.
    pub(super) fn of(&self, part: PlannerPart) -> Duration {
        self.0[part as usize]
    }
}
