//! Tasks, which run on workers, and the outcomes of their attempts.

use std::fmt::{self, Display, Formatter};

use smol_str::SmolStr;

use crate::id::{AttemptNumber, CheckpointId, GroupName, TaskId, TeamName};
use crate::resource::{ResourceSize, SlotCount};

/// The kind of workload of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TaskClass {
    /// A batch task, which runs to completion and may be evicted.
    Batch,
    /// A replica of a service with short requests.
    Service,
    /// A replica of a service whose requests stay open for hours, so it is the last to be moved.
    Listener,
}

impl TaskClass {
    /// Returns whether tasks of this class serve callers' requests.
    pub fn is_latency_critical(self) -> bool {
        matches!(self, Self::Service | Self::Listener)
    }
}

/// The priority of work, in ascending order: work of a later class goes first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum UrgencyClass {
    /// Work that only uses idle capacity.
    Background,
    /// Work with the default priority.
    #[default]
    Normal,
    /// Work that may preempt batch tasks of a lower class.
    Urgent,
}

impl Display for UrgencyClass {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Background => "background",
            Self::Normal => "normal",
            Self::Urgent => "urgent",
        })
    }
}

/// The properties of a task that the scheduler and the workers need.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskSpec {
    /// The id of the task.
    pub task: TaskId,
    /// The team whose quota the task consumes.
    pub team: TeamName,
    /// The kind of workload.
    pub class: TaskClass,
    /// The group whose interference estimate the task shares.
    pub group: GroupName,
    /// The priority of the task.
    pub urgency: UrgencyClass,
    /// The declared size.
    pub size: ResourceSize,
    /// The command with which a worker starts the task.
    pub command: SmolStr,
    /// Whether the task may safely run twice.
    pub idempotent: bool,
    /// The number of failed attempts after which the task counts as failed, if it is idempotent.
    pub failure_limit: u32,
    /// The number of slots of the task's endpoint, or zero for a batch task.
    pub slots: SlotCount,
    /// The maximum number of connections to the task's endpoint, or zero for a batch task.
    pub connections: u32,
}

/// The outcome of one attempt of a task.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum TaskOutcome {
    /// The task completed its work.
    Completed,
    /// The task failed with an error.
    Failed {
        /// The reason that the worker reported.
        reason: SmolStr,
    },
    /// The task was stopped. It resumes from the checkpoint, or starts over without one.
    Stopped {
        /// The checkpoint with the work done so far, if one was written.
        checkpoint: Option<CheckpointId>,
    },
    /// The worker never started the attempt and never will.
    NotStarted {
        /// The reason that the worker reported.
        reason: SmolStr,
    },
}

/// An attempt that has ended on a worker.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct EndedAttempt {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// The outcome of the attempt.
    pub outcome: TaskOutcome,
}
