//! What the store keeps of a job's progress.

use smol_str::SmolStr;

use super::entry::JobPhase;
use super::id::WorkerId;

/// How far a job is, as it is stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobImage {
    /// What clients are told of the job.
    pub phase: JobPhase,
    /// When the job ended, in milliseconds of Unix time, or 0 before.
    pub ended_unix_ms: u64,
    /// The occurrences that have begun, with the number of each.
    pub occurrences: Vec<OccurrenceImage>,
    /// The number of occurrences that have ended.
    pub ended_occurrences: u32,
}

impl JobImage {
    /// Describes a job that was cancelled before anything of it was done.
    pub fn cancelled(ended_unix_ms: u64) -> Self {
        Self {
            phase: JobPhase::Cancelled,
            ended_unix_ms,
            occurrences: Vec::new(),
            ended_occurrences: 0,
        }
    }
}

/// How far one occurrence is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OccurrenceImage {
    /// The number of the occurrence.
    pub number: u32,
    /// The tasks of all steps, in order.
    pub tasks: Vec<TaskImage>,
}

/// How far one task is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskImage {
    /// Where the task stands.
    pub stage: TaskStage,
    /// The number of the newest run.
    pub run: u32,
    /// The number of runs that failed.
    pub failures: u32,
    /// The newest saved progress.
    pub checkpoint: Option<SmolStr>,
}

/// Where a stored task stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TaskStage {
    /// It runs nowhere.
    Waiting,
    /// Its newest run was given to a worker.
    Placed(WorkerId),
    /// It has ended with success.
    Done,
}
