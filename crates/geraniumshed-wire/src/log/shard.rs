//! Events of a shard's stream on the wire.

use geraniumshed_model::prelude::{
    AttemptNumber, BootId, CheckpointId, RecordGeneration, ShardEvent, ShardId,
};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::codec::DecodeError;
use super::name::{name_text, parse_name};
use super::snapshot::SnapshotPartWire;
use crate::common::{TaskIdWire, TaskOutcomeWire};

/// A [`ShardEvent`] on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ShardEventWire {
    /// The first entry of a new owner.
    Opened,
    /// A task is placed on a worker.
    Placed {
        /// The task.
        task: TaskIdWire,
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
        task: TaskIdWire,
        /// The attempt.
        attempt: u32,
        /// The outcome of the attempt.
        outcome: TaskOutcomeWire,
    },
    /// It is unknown whether an attempt ran.
    Unknown {
        /// The task.
        task: TaskIdWire,
        /// The attempt.
        attempt: u32,
    },
    /// An operator resolved an attempt with an unknown outcome.
    Resolved {
        /// The task.
        task: TaskIdWire,
        /// The attempt.
        attempt: u32,
        /// Whether to run the task again.
        rerun: bool,
    },
    /// All unfinished tasks of a job are cancelled.
    Cancelled {
        /// The name of the job.
        job: SmolStr,
        /// The generation of the job.
        generation: u64,
    },
    /// A task is transferred to another shard.
    MovedOut {
        /// The task.
        task: TaskIdWire,
        /// The shard that receives the task.
        to: u16,
        /// The number of this transfer.
        hop: u32,
        /// The number of attempts made so far.
        attempt: u32,
        /// The checkpoint to resume from.
        checkpoint: Option<SmolStr>,
    },
    /// A task is received from another shard.
    MovedIn {
        /// The task.
        task: TaskIdWire,
        /// The shard that sent the task.
        from: u16,
        /// The number of this transfer.
        hop: u32,
        /// The number of attempts made so far.
        attempt: u32,
        /// The checkpoint to resume from.
        checkpoint: Option<SmolStr>,
    },
    /// A part of a snapshot.
    Snapshot(SnapshotPartWire),
}

impl From<ShardEvent> for ShardEventWire {
    fn from(event: ShardEvent) -> Self {
        match event {
            ShardEvent::Opened => Self::Opened,
            ShardEvent::Placed {
                task,
                attempt,
                worker,
                boot,
            } => Self::Placed {
                task: (&task).into(),
                attempt: attempt.0,
                worker: name_text(&worker),
                boot: boot.0,
            },
            ShardEvent::Ended {
                task,
                attempt,
                outcome,
            } => Self::Ended {
                task: (&task).into(),
                attempt: attempt.0,
                outcome: (&outcome).into(),
            },
            ShardEvent::Unknown { task, attempt } => Self::Unknown {
                task: (&task).into(),
                attempt: attempt.0,
            },
            ShardEvent::Resolved {
                task,
                attempt,
                rerun,
            } => Self::Resolved {
                task: (&task).into(),
                attempt: attempt.0,
                rerun,
            },
            ShardEvent::Cancelled { job, generation } => Self::Cancelled {
                job: name_text(&job),
                generation: generation.0,
            },
            ShardEvent::MovedOut {
                task,
                to,
                hop,
                attempt,
                checkpoint,
            } => Self::MovedOut {
                task: (&task).into(),
                to: to.0,
                hop,
                attempt: attempt.0,
                checkpoint: checkpoint.as_ref().map(name_text),
            },
            ShardEvent::MovedIn {
                task,
                from,
                hop,
                attempt,
                checkpoint,
            } => Self::MovedIn {
                task: (&task).into(),
                from: from.0,
                hop,
                attempt: attempt.0,
                checkpoint: checkpoint.as_ref().map(name_text),
            },
            ShardEvent::Snapshot(part) => Self::Snapshot(part.into()),
        }
    }
}

impl TryFrom<ShardEventWire> for ShardEvent {
    type Error = DecodeError;

    fn try_from(wire: ShardEventWire) -> Result<Self, Self::Error> {
        Ok(match wire {
            ShardEventWire::Opened => Self::Opened,
            ShardEventWire::Placed {
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
            ShardEventWire::Ended {
                task,
                attempt,
                outcome,
            } => Self::Ended {
                task: task.try_into()?,
                attempt: AttemptNumber(attempt),
                outcome: outcome.try_into()?,
            },
            ShardEventWire::Unknown { task, attempt } => Self::Unknown {
                task: task.try_into()?,
                attempt: AttemptNumber(attempt),
            },
            ShardEventWire::Resolved {
                task,
                attempt,
                rerun,
            } => Self::Resolved {
                task: task.try_into()?,
                attempt: AttemptNumber(attempt),
                rerun,
            },
            ShardEventWire::Cancelled { job, generation } => Self::Cancelled {
                job: parse_name(&job)?,
                generation: RecordGeneration(generation),
            },
            ShardEventWire::MovedOut {
                task,
                to,
                hop,
                attempt,
                checkpoint,
            } => Self::MovedOut {
                task: task.try_into()?,
                to: ShardId(to),
                hop,
                attempt: AttemptNumber(attempt),
                checkpoint: parse_checkpoint(checkpoint)?,
            },
            ShardEventWire::MovedIn {
                task,
                from,
                hop,
                attempt,
                checkpoint,
            } => Self::MovedIn {
                task: task.try_into()?,
                from: ShardId(from),
                hop,
                attempt: AttemptNumber(attempt),
                checkpoint: parse_checkpoint(checkpoint)?,
            },
            ShardEventWire::Snapshot(part) => Self::Snapshot(part.into()),
        })
    }
}

fn parse_checkpoint(text: Option<SmolStr>) -> Result<Option<CheckpointId>, DecodeError> {
    text.as_ref().map(parse_name).transpose()
}
