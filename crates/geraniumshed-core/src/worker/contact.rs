//! Contact with a worker.

use geraniumshed_model::prelude::TimePoint;

/// How a worker is registered.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum WorkerStanding {
    /// The worker is registered and may get tasks.
    #[default]
    Registered,
    /// The worker is registered and has announced that it will exit.
    Draining,
    /// The worker's registration was removed.
    Removed,
    /// The worker is only known from stored placements.
    Unregistered,
}

/// When a worker was heard and went silent, and what was reported about it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WorkerContact {
    /// When the worker became known.
    pub known_since: TimePoint,
    /// When the worker last answered a renewal.
    pub heard_at: Option<TimePoint>,
    /// When the worker was reported as silent, if it hasn't answered since.
    pub silent_since: Option<TimePoint>,
    /// When the last call was sent that could extend the worker's lease.
    pub extended_at: Option<TimePoint>,
    /// The standing that was last reported.
    pub standing: WorkerStanding,
}
