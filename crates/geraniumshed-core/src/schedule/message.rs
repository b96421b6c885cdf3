//! The inputs and actions of a shard's scheduler.

use std::net::SocketAddr;
use std::sync::Arc;

use geraniumshed_model::prelude::{
    BootId, ConfigEvent, EndpointEvent, ExchangeReply, ExchangeRequest, LogBatch, LogOffset,
    SeizeReply, SeizeRequest, ShardEvent, ShardId, ShardTerm, TaskId, VmId,
};

use super::snapshot::ShardSnapshot;
use crate::state::{ConfigState, VmTable};

/// Why a call to a worker failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerFault {
    /// The call certainly had no effect.
    NoEffect,
    /// The reply was lost, so the call may have taken effect.
    AnswerLost,
    /// The worker has accepted a higher term.
    StaleTerm(ShardTerm),
    /// The worker was restarted.
    WrongBoot(BootId),
}

/// An input of a shard's scheduler.
#[derive(Debug, Clone)]
pub enum ShardInput {
    /// The records in force changed.
    Config(Arc<ConfigState>),
    /// The platform's list of VMs changed or was read again.
    Vms(Arc<VmTable>),
    /// A snapshot was read, which replaces the entries before it.
    Restored(ShardSnapshot),
    /// An entry of the shard's stream was read; entries arrive in the order of their offsets.
    Read {
        /// The offset of the entry.
        offset: LogOffset,
        /// The entry.
        batch: LogBatch<ShardEvent>,
    },
    /// The log dropped entries of the shard's stream before they were read.
    EntriesLost,
    /// The log did not confirm an append; its events may still appear in the stream.
    AppendFailed(Vec<ShardEvent>),
    /// A seizure of a worker returned.
    Seized {
        /// The worker.
        worker: VmId,
        /// The worker's inventory, or why the call failed.
        outcome: Result<SeizeReply, WorkerFault>,
    },
    /// An exchange with a worker returned.
    Exchanged {
        /// The worker.
        worker: VmId,
        /// The sequence number of the exchange.
        sequence: u64,
        /// The reply, or why the call failed.
        outcome: Result<ExchangeReply, WorkerFault>,
    },
    /// An append to the `endpoints` stream was not confirmed.
    PublishFailed,
    /// An append of job progress to the `config` stream was not confirmed.
    ReportFailed,
    /// An append of a moved task to another shard's stream was not confirmed.
    MoveFailed(TaskId),
    /// An operator resolves a task whose outcome is unknown.
    Resolve {
        /// The task.
        task: TaskId,
        /// Whether the task runs again; otherwise it counts as completed.
        rerun: bool,
    },
    /// The scheduler's timer fired.
    Tick,
}

/// An action that a shard's scheduler requests.
#[derive(Debug, Clone, PartialEq)]
pub enum ShardAction {
    /// Append events to the shard's stream in one entry.
    Append(Vec<ShardEvent>),
    /// Seize a worker: claim it under the owner's term and read its inventory.
    Seize {
        /// The worker.
        worker: VmId,
        /// The address of its control interface.
        address: SocketAddr,
        /// The request.
        request: SeizeRequest,
    },
    /// Send commands to a worker, renew its lease and read what changed there.
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
    /// Append the progress of jobs to the `config` stream.
    Report(Vec<ConfigEvent>),
    /// Append a moved task to the stream of its new shard, under term 0.
    Move {
        /// The new shard.
        to: ShardId,
        /// The event that moves the task in.
        event: ShardEvent,
    },
    /// Stop the scheduler: a newer owner may have claimed the shard.
    Superseded,
}
