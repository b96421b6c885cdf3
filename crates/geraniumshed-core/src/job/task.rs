//! How far one task is.

use geraniumshed_model::prelude::TimePoint;
use smol_str::SmolStr;

use super::id::WorkerId;

/// The number of workers that a task keeps away from after failures.
const AVOIDED_LIMIT: usize = 6;

/// Where a task stands.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum TaskPhase {
    /// It runs nowhere and may be started once its step's turn has come.
    #[default]
    Waiting,
    /// Its newest run was given to a worker and may be running there.
    Placed(WorkerId),
    /// It has ended with success.
    Done,
}

/// A task with the history that decides about its next run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TaskEntry {
    /// Where the task stands.
    pub phase: TaskPhase,
    /// The number of the newest run, or 0 before the first.
    pub run: u32,
    /// The number of runs that failed.
    pub failures: u32,
    /// The newest saved progress.
    pub checkpoint: Option<SmolStr>,
    /// The workers on which runs failed or stalled, newest last.
    pub avoided: Vec<WorkerId>,
    /// The time before which the task isn't started again.
    pub not_before: TimePoint,
}

impl TaskEntry {
    /// Keeps the task away from a worker, and forgets the oldest of too many.
    pub fn avoid(&mut self, worker: WorkerId) {
        self.avoided.push(worker);
        if self.avoided.len() > AVOIDED_LIMIT {
            self.avoided.remove(0);
        }
    }

    /// Tells whether the task has ended with success.
    pub fn is_done(&self) -> bool {
        self.phase == TaskPhase::Done
    }

    /// Tells whether the task may be started as far as its own history goes.
    pub fn is_startable(&self, now: TimePoint) -> bool {
        self.phase == TaskPhase::Waiting && self.not_before <= now
    }
}
