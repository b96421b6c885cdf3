//! Tasks: what a worker runs and how a run ended.

use std::fmt::{self, Display, Formatter};

use smol_str::SmolStr;

use crate::id::{AttemptNumber, CheckpointId, ClassName, TaskId, TeamName};
use crate::resource::{ResourceSize, SlotCount};

/// The kind of work that a task does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TaskClass {
    /// A batch task, which ends by itself and may be evicted.
    Batch,
    /// A replica of a service that answers short requests.
    Service,
    /// A replica of a service whose requests stay open for hours; moved last.
    Listener,
}

impl TaskClass {
    /// Tells whether tasks of this class serve callers.
    pub fn is_latency_critical(self) -> bool {
        matches!(self, Self::Service | Self::Listener)
    }
}

/// How soon work has to start; a later class goes first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum UrgencyClass {
    /// Work that fills idle capacity.
    Background,
    /// Ordinary work.
    #[default]
    Normal,
    /// Work that may preempt batch work of a lower class.
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

/// Everything that a worker and the scheduler need to know of a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskSpec {
    /// The id of the task.
    pub task: TaskId,
    /// The team whose quota the task uses.
    pub team: TeamName,
    /// The kind of work.
    pub class: TaskClass,
    /// The name under which interference of like tasks is learned.
    pub group: ClassName,
    /// How soon the task has to start.
    pub urgency: UrgencyClass,
    /// The declared size.
    pub size: ResourceSize,
    /// The command that the worker runs.
    pub command: SmolStr,
    /// Whether a second run does no harm.
    pub idempotent: bool,
    /// The number of attempts that may fail before the task counts as failed.
    pub failure_limit: u32,
    /// The slots of the task's endpoint, or zero for a batch task.
    pub slots: SlotCount,
    /// The connections that the task's endpoint takes, or zero for a batch task.
    pub connections: u32,
}

/// How one attempt of a task ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum TaskOutcome {
    /// The task did all of its work.
    Completed,
    /// The task ended by itself with an error.
    Failed {
        /// What the worker reported.
        reason: SmolStr,
    },
    /// The task was stopped; it resumes from the checkpoint or, without one, from its beginning.
    Stopped {
        /// The checkpoint that holds the work done, if one was taken.
        checkpoint: Option<CheckpointId>,
    },
    /// The worker never started the attempt and never will.
    NotStarted {
        /// What the worker reported.
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
    /// How it ended.
    pub outcome: TaskOutcome,
}
