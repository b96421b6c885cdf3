//! Events of a shard's stream on the wire.

use geraniumshed_model::prelude::{
    AttemptNumber, BootId, CheckpointId, RecordGeneration, ShardEvent, ShardId, TaskId, TaskOutcome,
};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::codec::DecodeError;
use super::name::{name_text, parse_name};
use super::snapshot::WirePart;

/// The twin of [`TaskId`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireTask {
    record: SmolStr,
    generation: u64,
    index: u32,
}

impl From<TaskId> for WireTask {
    fn from(task: TaskId) -> Self {
        Self {
            record: name_text(&task.record),
            generation: task.generation.0,
            index: task.index,
        }
    }
}

impl TryFrom<WireTask> for TaskId {
    type Error = DecodeError;

    fn try_from(wire: WireTask) -> Result<Self, Self::Error> {
        Ok(Self {
            record: parse_name(&wire.record)?,
            generation: RecordGeneration(wire.generation),
            index: wire.index,
        })
    }
}

/// The twin of [`TaskOutcome`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum WireOutcome {
    /// The task did all of its work.
    Completed,
    /// The task ended with an error.
    Failed(SmolStr),
    /// The task was stopped.
    Stopped(Option<SmolStr>),
    /// The attempt never started.
    NotStarted(SmolStr),
}

impl From<TaskOutcome> for WireOutcome {
    fn from(outcome: TaskOutcome) -> Self {
        match outcome {
            TaskOutcome::Completed => Self::Completed,
            TaskOutcome::Failed { reason } => Self::Failed(reason),
            TaskOutcome::Stopped { checkpoint } => {
                Self::Stopped(checkpoint.as_ref().map(name_text))
            }
            TaskOutcome::NotStarted { reason } => Self::NotStarted(reason),
        }
    }
}

impl TryFrom<WireOutcome> for TaskOutcome {
    type Error = DecodeError;

    fn try_from(wire: WireOutcome) -> Result<Self, Self::Error> {
        Ok(match wire {
            WireOutcome::Completed => Self::Completed,
            WireOutcome::Failed(reason) => Self::Failed { reason },
            WireOutcome::Stopped(checkpoint) => Self::Stopped {
                checkpoint: parse_checkpoint(checkpoint)?,
            },
            WireOutcome::NotStarted(reason) => Self::NotStarted { reason },
        })
    }
}

/// The twin of [`ShardEvent`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum WireShardEvent {
    /// The barrier of a new owner.
    Opened,
    /// A task is to run on a worker.
    Placed {
        /// The task.
        task: WireTask,
        /// The attempt.
        attempt: u32,
        /// The worker.
        worker: SmolStr,
        /// The boot of the worker.
        boot: u64,
    },
    /// An attempt ended.
    Ended {
        /// The task.
        task: WireTask,
        /// The attempt.
        attempt: u32,
        /// How it ended.
        outcome: WireOutcome,
    },
    /// Nobody can tell whether an attempt ran.
    Unknown {
        /// The task.
        task: WireTask,
        /// The attempt.
        attempt: u32,
    },
    /// An operator decided about an unknown attempt.
    Resolved {
        /// The task.
        task: WireTask,
        /// The attempt.
        attempt: u32,
        /// Whether the task runs again.
        rerun: bool,
    },
    /// A task goes to another shard.
    MovedOut {
        /// The task.
        task: WireTask,
        /// The shard that takes the task.
        to: u16,
        /// The attempts taken so far.
        attempt: u32,
        /// The checkpoint.
        checkpoint: Option<SmolStr>,
    },
    /// A task of another shard is taken.
    MovedIn {
        /// The task.
        task: WireTask,
        /// The shard that gave the task away.
        from: u16,
        /// The attempts taken so far.
        attempt: u32,
        /// The checkpoint.
        checkpoint: Option<SmolStr>,
    },
    /// A part of a snapshot.
    Snapshot(WirePart),
}

impl From<ShardEvent> for WireShardEvent {
    fn from(event: ShardEvent) -> Self {
        match event {
            ShardEvent::Opened => Self::Opened,
            ShardEvent::Placed {
                task,
                attempt,
                worker,
                boot,
            } => Self::Placed {
                task: task.into(),
                attempt: attempt.0,
                worker: name_text(&worker),
                boot: boot.0,
            },
            ShardEvent::Ended {
                task,
                attempt,
                outcome,
            } => Self::Ended {
                task: task.into(),
                attempt: attempt.0,
                outcome: outcome.into(),
            },
            ShardEvent::Unknown { task, attempt } => Self::Unknown {
                task: task.into(),
                attempt: attempt.0,
            },
            ShardEvent::Resolved {
                task,
                attempt,
                rerun,
            } => Self::Resolved {
                task: task.into(),
                attempt: attempt.0,
                rerun,
            },
            ShardEvent::MovedOut {
                task,
                to,
                attempt,
                checkpoint,
            } => Self::MovedOut {
                task: task.into(),
                to: to.0,
                attempt: attempt.0,
                checkpoint: checkpoint.as_ref().map(name_text),
            },
            ShardEvent::MovedIn {
                task,
                from,
                attempt,
                checkpoint,
            } => Self::MovedIn {
                task: task.into(),
                from: from.0,
                attempt: attempt.0,
                checkpoint: checkpoint.as_ref().map(name_text),
            },
            ShardEvent::Snapshot(part) => Self::Snapshot(part.into()),
        }
    }
}

impl TryFrom<WireShardEvent> for ShardEvent {
    type Error = DecodeError;

    fn try_from(wire: WireShardEvent) -> Result<Self, Self::Error> {
        Ok(match wire {
            WireShardEvent::Opened => Self::Opened,
            WireShardEvent::Placed {
                task,
                attempt,
                worker,
                boot,
            } => Self::Placed {
                task: task.try_into()?,
                attempt: AttemptNumber(attempt),
                worker: parse_name(&worker)?,
                boot: BootId(boot),
            },
            WireShardEvent::Ended {
                task,
                attempt,
                outcome,
            } => Self::Ended {
                task: task.try_into()?,
                attempt: AttemptNumber(attempt),
                outcome: outcome.try_into()?,
            },
            WireShardEvent::Unknown { task, attempt } => Self::Unknown {
                task: task.try_into()?,
                attempt: AttemptNumber(attempt),
            },
            WireShardEvent::Resolved {
                task,
                attempt,
                rerun,
            } => Self::Resolved {
                task: task.try_into()?,
                attempt: AttemptNumber(attempt),
                rerun,
            },
            WireShardEvent::MovedOut {
                task,
                to,
                attempt,
                checkpoint,
            } => Self::MovedOut {
                task: task.try_into()?,
                to: ShardId(to),
                attempt: AttemptNumber(attempt),
                checkpoint: parse_checkpoint(checkpoint)?,
            },
            WireShardEvent::MovedIn {
                task,
                from,
                attempt,
                checkpoint,
            } => Self::MovedIn {
                task: task.try_into()?,
                from: ShardId(from),
                attempt: AttemptNumber(attempt),
                checkpoint: parse_checkpoint(checkpoint)?,
            },
            WireShardEvent::Snapshot(part) => Self::Snapshot(part.into()),
        })
    }
}

fn parse_checkpoint(text: Option<SmolStr>) -> Result<Option<CheckpointId>, DecodeError> {
    text.as_ref().map(parse_name).transpose()
}
