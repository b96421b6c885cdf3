//! What a shard's scheduler is told and what it wants done.

use std::net::SocketAddr;
use std::sync::Arc;

use geraniumshed_model::prelude::{
    BootId, ConfigEvent, EndpointEvent, ExchangeReply, ExchangeRequest, LogBatch, LogOffset,
    SeizeReply, SeizeRequest, ShardEvent, ShardId, ShardTerm, TaskId, VmId,
};

use super::snapshot::ShardSnapshot;
use crate::state::{ConfigState, VmTable};

/// What became of a call to a worker that brought no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerFault {
    /// The call certainly took no effect.
    NoEffect,
    /// The call may have taken effect.
    AnswerLost,
    /// The worker obeys a higher term.
    StaleTerm(ShardTerm),
    /// The worker was restarted.
    WrongBoot(BootId),
}

/// What a shard's scheduler is told.
#[derive(Debug, Clone)]
pub enum ShardInput {
    /// The records in force changed.
    Config(Arc<ConfigState>),
    /// The platform's list of VMs changed or was read again.
    Vms(Arc<VmTable>),
    /// The stream starts with a snapshot.
    Restored(ShardSnapshot),
    /// An entry of the shard's stream was read, in the order of the offsets.
    Read {
        /// The offset of the entry.
        offset: LogOffset,
        /// The entry.
        batch: LogBatch<ShardEvent>,
    },
    /// The log dropped entries of the shard's stream before they were read.
    Lost,
    /// Events were not confirmed by the log; they may show up all the same.
    AppendFailed(Vec<ShardEvent>),
    /// A worker replied to a seizure.
    Seized {
        /// The worker.
        worker: VmId,
        /// The inventory, or what went wrong.
        outcome: Result<SeizeReply, WorkerFault>,
    },
    /// A worker replied to an exchange.
    Exchanged {
        /// The worker.
        worker: VmId,
        /// The number of the exchange.
        sequence: u64,
        /// The reply, or what went wrong.
        outcome: Result<ExchangeReply, WorkerFault>,
    },
    /// Events for the `endpoints` stream were not appended.
    PublishFailed,
    /// Reports of jobs' progress were not appended.
    ReportFailed,
    /// A task was not handed to another shard.
    MoveFailed(TaskId),
    /// An operator decided about a task whose outcome is unknown.
    Resolve {
        /// The task.
        task: TaskId,
        /// Whether the task runs again; otherwise it counts as completed.
        rerun: bool,
    },
    /// Time went by.
    Tick,
}

/// What a shard's scheduler wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum ShardAction {
    /// Append events to the shard's stream in one entry.
    Append(Vec<ShardEvent>),
    /// Seize a worker.
    Seize {
        /// The worker.
        worker: VmId,
        /// The address of its control interface.
        address: SocketAddr,
        /// The request.
        request: SeizeRequest,
    },
    /// Exchange commands and news with a worker.
    Exchange {
        /// The worker.
        worker: VmId,
        /// The address of its control interface.
        address: SocketAddr,
        /// The request.
        request: ExchangeRequest,
    },
    /// Append events to the `endpoints` stream.
    Publish(Vec<EndpointEvent>),
    /// Append reports of jobs' progress to the `config` stream.
    Report(Vec<ConfigEvent>),
    /// Append a task's arrival to another shard's stream, under term 0.
    Move {
        /// The shard that takes the task.
        to: ShardId,
        /// The arrival.
        event: ShardEvent,
    },
    /// A newer owner holds the shard; nothing more is to be done under this term.
    Superseded,
}
