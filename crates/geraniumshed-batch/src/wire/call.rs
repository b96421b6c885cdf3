//! Clients' calls as nodes pass them on.

use geraniumshed_core::job::JobPhase;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::request::JobRequestWire;

/// A client's call that a node passes on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobCallWire {
    /// Stores a job.
    Submit(u64, JobRequestWire),
    /// Asks how far a job is.
    Status(u64),
    /// Cancels a job.
    Cancel(u64),
    /// Counts the jobs of a queue of which no task has started.
    Pending(SmolStr),
}

/// The answer to a call that was passed on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobAnswerWire {
    /// The job is stored.
    Accepted,
    /// How far the job is.
    Status(JobPhaseWire),
    /// The cancellation is stored.
    Cancelled,
    /// There is no such job.
    Unknown,
    /// The number of jobs.
    Pending(u64),
    /// Nothing was done.
    Unavailable,
    /// The call may have taken effect.
    Undecided,
}

/// What clients are told of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobPhaseWire {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks have ended with success.
    Completed,
    /// A task failed too often.
    Failed,
    /// The client cancelled it.
    Cancelled,
}

impl From<JobPhase> for JobPhaseWire {
    fn from(phase: JobPhase) -> Self {
        match phase {
            JobPhase::Queued => Self::Queued,
            JobPhase::Running => Self::Running,
            JobPhase::Completed => Self::Completed,
            JobPhase::Failed => Self::Failed,
            JobPhase::Cancelled => Self::Cancelled,
        }
    }
}

impl From<JobPhaseWire> for JobPhase {
    fn from(wire: JobPhaseWire) -> Self {
        match wire {
            JobPhaseWire::Queued => Self::Queued,
            JobPhaseWire::Running => Self::Running,
            JobPhaseWire::Completed => Self::Completed,
            JobPhaseWire::Failed => Self::Failed,
            JobPhaseWire::Cancelled => Self::Cancelled,
        }
    }
}
