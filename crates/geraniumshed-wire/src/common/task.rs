//! Tasks on the wire.

use geraniumshed_model::prelude::{
    AttemptNumber, EndedAttempt, RecordGeneration, SlotCount, TaskClass, TaskId, TaskOutcome,
    TaskSpec, UrgencyClass,
};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::{ResourceSizeWire, WireError};

/// A [`TaskId`] on the wire.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskIdWire {
    /// The name of the record.
    pub record: SmolStr,
    /// The generation of the record.
    pub generation: u64,
    /// The index of the task.
    pub index: u32,
}

impl From<&TaskId> for TaskIdWire {
    fn from(task: &TaskId) -> Self {
        Self {
            record: task.record.as_str().into(),
            generation: task.generation.0,
            index: task.index,
        }
    }
}

impl TryFrom<TaskIdWire> for TaskId {
    type Error = WireError;

    fn try_from(wire: TaskIdWire) -> Result<Self, WireError> {
        Ok(Self {
            record: wire.record.parse()?,
            generation: RecordGeneration(wire.generation),
            index: wire.index,
        })
    }
}

/// A [`TaskClass`] on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskClassWire {
    /// [`TaskClass::Batch`].
    Batch,
    /// [`TaskClass::Service`].
    Service,
    /// [`TaskClass::Listener`].
    Listener,
}

impl From<TaskClass> for TaskClassWire {
    fn from(class: TaskClass) -> Self {
        match class {
            TaskClass::Batch => Self::Batch,
            TaskClass::Service => Self::Service,
            TaskClass::Listener => Self::Listener,
        }
    }
}

impl From<TaskClassWire> for TaskClass {
    fn from(wire: TaskClassWire) -> Self {
        match wire {
            TaskClassWire::Batch => Self::Batch,
            TaskClassWire::Service => Self::Service,
            TaskClassWire::Listener => Self::Listener,
        }
    }
}

/// An [`UrgencyClass`] on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UrgencyClassWire {
    /// [`UrgencyClass::Background`].
    Background,
    /// [`UrgencyClass::Normal`].
    Normal,
    /// [`UrgencyClass::Urgent`].
    Urgent,
}

impl From<UrgencyClass> for UrgencyClassWire {
    fn from(class: UrgencyClass) -> Self {
        match class {
            UrgencyClass::Background => Self::Background,
            UrgencyClass::Normal => Self::Normal,
            UrgencyClass::Urgent => Self::Urgent,
        }
    }
}

impl From<UrgencyClassWire> for UrgencyClass {
    fn from(wire: UrgencyClassWire) -> Self {
        match wire {
            UrgencyClassWire::Background => Self::Background,
            UrgencyClassWire::Normal => Self::Normal,
            UrgencyClassWire::Urgent => Self::Urgent,
        }
    }
}

/// A [`TaskSpec`] on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskSpecWire {
    /// The id of the task.
    pub task: TaskIdWire,
    /// The team.
    pub team: SmolStr,
    /// The kind of workload.
    pub class: TaskClassWire,
    /// The group whose interference estimate the task shares.
    pub group: SmolStr,
    /// The priority of the task.
    pub urgency: UrgencyClassWire,
    /// The declared size.
    pub size: ResourceSizeWire,
    /// The command with which a worker starts the task.
    pub command: SmolStr,
    /// Whether the task may safely run twice.
    pub idempotent: bool,
    /// The number of failed attempts after which the task counts as failed, if it is idempotent.
    pub failure_limit: u32,
    /// The number of slots of the endpoint.
    pub slots: u32,
    /// The maximum number of connections to the endpoint.
    pub connections: u32,
}

impl From<&TaskSpec> for TaskSpecWire {
    fn from(spec: &TaskSpec) -> Self {
        Self {
            task: (&spec.task).into(),
            team: spec.team.as_str().into(),
            class: spec.class.into(),
            group: spec.group.as_str().into(),
            urgency: spec.urgency.into(),
            size: spec.size.into(),
            command: spec.command.clone(),
            idempotent: spec.idempotent,
            failure_limit: spec.failure_limit,
            slots: spec.slots.0,
            connections: spec.connections,
        }
    }
}

impl TryFrom<TaskSpecWire> for TaskSpec {
    type Error = WireError;

    fn try_from(wire: TaskSpecWire) -> Result<Self, WireError> {
        Ok(Self {
            task: wire.task.try_into()?,
            team: wire.team.parse()?,
            class: wire.class.into(),
            group: wire.group.parse()?,
            urgency: wire.urgency.into(),
            size: wire.size.into(),
            command: wire.command,
            idempotent: wire.idempotent,
            failure_limit: wire.failure_limit,
            slots: SlotCount(wire.slots),
            connections: wire.connections,
        })
    }
}

/// A [`TaskOutcome`] on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskOutcomeWire {
    /// [`TaskOutcome::Completed`].
    Completed,
    /// [`TaskOutcome::Failed`].
    Failed {
        /// The reason that the worker reported.
        reason: SmolStr,
    },
    /// [`TaskOutcome::Stopped`].
    Stopped {
        /// The checkpoint, if one was written.
        checkpoint: Option<SmolStr>,
    },
    /// [`TaskOutcome::NotStarted`].
    NotStarted {
        /// The reason that the worker reported.
        reason: SmolStr,
    },
}

impl From<&TaskOutcome> for TaskOutcomeWire {
    fn from(outcome: &TaskOutcome) -> Self {
        match outcome {
            TaskOutcome::Completed => Self::Completed,
            TaskOutcome::Failed { reason } => Self::Failed {
                reason: reason.clone(),
            },
            TaskOutcome::Stopped { checkpoint } => Self::Stopped {
                checkpoint: checkpoint.as_ref().map(|id| id.as_str().into()),
            },
            TaskOutcome::NotStarted { reason } => Self::NotStarted {
                reason: reason.clone(),
            },
        }
    }
}

impl TryFrom<TaskOutcomeWire> for TaskOutcome {
    type Error = WireError;

    fn try_from(wire: TaskOutcomeWire) -> Result<Self, WireError> {
        Ok(match wire {
            TaskOutcomeWire::Completed => Self::Completed,
            TaskOutcomeWire::Failed { reason } => Self::Failed { reason },
            TaskOutcomeWire::Stopped { checkpoint } => Self::Stopped {
                checkpoint: checkpoint.map(|id| id.parse()).transpose()?,
            },
            TaskOutcomeWire::NotStarted { reason } => Self::NotStarted { reason },
        })
    }
}

/// An [`EndedAttempt`] on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedAttemptWire {
    /// The task.
    pub task: TaskIdWire,
    /// The attempt.
    pub attempt: u32,
    /// The outcome of the attempt.
    pub outcome: TaskOutcomeWire,
}

impl From<&EndedAttempt> for EndedAttemptWire {
    fn from(ended: &EndedAttempt) -> Self {
        Self {
            task: (&ended.task).into(),
            attempt: ended.attempt.0,
            outcome: (&ended.outcome).into(),
        }
    }
}

impl TryFrom<EndedAttemptWire> for EndedAttempt {
    type Error = WireError;

    fn try_from(wire: EndedAttemptWire) -> Result<Self, WireError> {
        Ok(Self {
            task: wire.task.try_into()?,
            attempt: AttemptNumber(wire.attempt),
            outcome: wire.outcome.try_into()?,
        })
    }
}
