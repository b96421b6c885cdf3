//! The state of one task.

use geraniumshed_model::prelude::TimePoint;
use smol_str::SmolStr;

use super::crash::{CrashHistory, RunSuspicion};
use super::id::WorkerId;

/// The maximum number of workers that a task avoids after failures there.
const AVOIDED_LIMIT: usize = 6;

/// The phase of a task.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum TaskPhase {
    /// The task isn't placed on any worker and may start once its step is due.
    #[default]
    Waiting,
    /// The newest run was placed on this worker and may be running there.
    Placed(WorkerId),
    /// The task has succeeded.
    Done,
}

/// A task with the history that affects its next placement.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TaskEntry {
    /// The phase of the task.
    pub phase: TaskPhase,
    /// The number of the newest run, or 0 before the first.
    pub run: u32,
    /// The number of runs that failed.
    pub failures: u32,
    /// The newest checkpoint that a run saved.
    pub checkpoint: Option<SmolStr>,
    /// The workers on which runs failed or stalled, newest last. The task is placed there only if
    /// no other worker takes it.
    pub avoided: Vec<WorkerId>,
    /// The earliest time of the next start, which delays a retry after a failure.
    pub not_before: TimePoint,
    /// The crashes of workers under runs of the task.
    pub crashes: CrashHistory,
    /// What speaks against the newest run, if its worker is silent.
    pub suspicion: Option<RunSuspicion>,
}

impl TaskEntry {
    /// Adds a worker to those that later placements avoid, and drops the oldest above the limit.
    pub fn avoid(&mut self, worker: WorkerId) {
        self.avoided.push(worker);
        if self.avoided.len() > AVOIDED_LIMIT {
            self.avoided.remove(0);
        }
    }

    /// Returns what speaks against a run, if that was assessed.
    pub fn suspicion_of(&self, run: u32) -> Option<RunSuspicion> {
        self.suspicion.filter(|suspicion| suspicion.run == run)
    }

    /// Returns whether the task has succeeded.
    pub fn is_done(&self) -> bool {
        self.phase == TaskPhase::Done
    }

    /// Returns whether the task is waiting and its retry delay is over.
    pub fn is_startable(&self, now: TimePoint) -> bool {
        self.phase == TaskPhase::Waiting && self.not_before <= now
    }
}
