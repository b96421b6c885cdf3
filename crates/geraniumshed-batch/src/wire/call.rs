//! The serialized form of clients' calls that nodes forward to each other.

use geraniumshed_core::job::JobPhase;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::request::JobRequestWire;

/// A client's call that a node forwards.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobCallWire {
    /// Stores a job.
    Submit(u64, JobRequestWire),
    /// Returns the phase of a job.
    Status(u64),
    /// Cancels a job.
    Cancel(u64),
    /// Counts the jobs of a queue of which no task has started.
    Pending(SmolStr),
}

/// The answer to a forwarded call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobAnswerWire {
    /// The job is stored.
    Accepted,
    /// The phase of the job.
    Status(JobPhaseWire),
    /// The cancellation is stored.
    Cancelled,
    /// There is no such job.
    Unknown,
    /// The number of jobs of the queue of which no task has started.
    Pending(u64),
    /// The call had no effect.
    Unavailable,
    /// The call may have taken effect.
    Undecided,
}

/// The phase of a job that clients see.
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
