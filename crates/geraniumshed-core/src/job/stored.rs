//! The stored form of a job's progress.

use smol_str::SmolStr;

use super::entry::JobPhase;
use super::id::WorkerId;

/// The stored progress of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredJob {
    /// The state that is reported to clients.
    pub phase: JobPhase,
    /// When the job ended, in milliseconds of Unix time, or 0 if it hasn't ended.
    pub ended_unix_ms: u64,
    /// The occurrences in progress; empty once the job has ended.
    pub occurrences: Vec<StoredOccurrence>,
    /// The number of occurrences that have ended.
    pub ended_occurrences: u32,
}

impl StoredJob {
    /// Creates the stored form of a job that was cancelled before any of its tasks started.
    pub fn cancelled(ended_unix_ms: u64) -> Self {
        Self {
            phase: JobPhase::Cancelled,
            ended_unix_ms,
            occurrences: Vec::new(),
            ended_occurrences: 0,
        }
    }
}

/// The stored progress of one occurrence.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredOccurrence {
    /// The number of the occurrence.
    pub number: u32,
    /// The tasks of all steps, ordered by step and index.
    pub tasks: Vec<StoredTask>,
}

/// The stored progress of one task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredTask {
    /// The phase of the task.
    pub stage: TaskStage,
    /// The number of the newest run, or 0 before the first.
    pub run: u32,
    /// The number of runs that failed.
    pub failures: u32,
    /// The newest checkpoint that a run saved.
    pub checkpoint: Option<SmolStr>,
}

/// The phase of a stored task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TaskStage {
    /// The task isn't placed on any worker.
    Waiting,
    /// The newest run was placed on this worker.
    Placed(WorkerId),
    /// The task has succeeded.
    Done,
}
