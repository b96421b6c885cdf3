//! The events of each stream of the log.

use std::fmt::{self, Display, Formatter};

use smol_str::SmolStr;

use crate::endpoint::{EndpointEntry, EndpointId};
use crate::id::{
    AttemptNumber, BootId, CheckpointId, DaemonId, DaemonIncarnation, KeyDigest, RecordGeneration,
    RecordName, RequestDigest, ShardId, ShardTerm, TaskId, VmId, WriterMark,
};
use crate::record::{RecordKey, RecordSpec, SchemaVersion};
use crate::task::TaskOutcome;

/// A stream of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LogStream {
    /// The records that operators publish.
    Config,
    /// The owners of the shards.
    Claims,
    /// The endpoints of all services.
    Endpoints,
    /// The placements and results of one shard's tasks.
    Shard(ShardId),
    /// The idempotency keys of callers' requests that are mapped to one shard.
    Keys(ShardId),
}

impl Display for LogStream {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Config => f.write_str("config"),
            Self::Claims => f.write_str("claims"),
            Self::Endpoints => f.write_str("endpoints"),
            Self::Shard(shard) => write!(f, "shard-{shard}"),
            Self::Keys(shard) => write!(f, "keys-{shard}"),
        }
    }
}

/// One entry of the log: a batch of events that one writer appended together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogBatch<E> {
    /// The writer and sequence number, by which readers drop a repeated append.
    pub mark: WriterMark,
    /// The writer's term, or zero in streams without an owner.
    pub term: ShardTerm,
    /// The events, in order.
    pub events: Vec<E>,
}

/// An event of the `claims` stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimEvent {
    /// A daemon becomes the owner of a shard; the entry's offset is its term.
    Claim {
        /// The shard.
        shard: ShardId,
        /// The daemon.
        daemon: DaemonId,
        /// The incarnation of the daemon.
        incarnation: DaemonIncarnation,
    },
    /// An owner repeats its claim, so that the claim is kept when the log drops old entries.
    Hold {
        /// The shard.
        shard: ShardId,
        /// The daemon.
        daemon: DaemonId,
        /// The incarnation of the daemon.
        incarnation: DaemonIncarnation,
        /// The term of the original claim.
        term: ShardTerm,
    },
    /// An owner gives up its shard.
    Release {
        /// The shard.
        shard: ShardId,
        /// The term of the claim that ends.
        term: ShardTerm,
    },
}

/// The content of a published record, decoded if its schema is known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordBody {
    /// The schema is known.
    Known(RecordSpec),
    /// The schema is unknown, so the record is kept as the published text and not in force.
    Held(SmolStr),
}

/// An event of the `config` stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigEvent {
    /// An operator publishes a record.
    Publish {
        /// The key of the record.
        key: RecordKey,
        /// The schema that it was written in.
        schema: SchemaVersion,
        /// The generation that it replaces, or zero if the record is new.
        replaces: RecordGeneration,
        /// The content of the record.
        body: RecordBody,
    },
    /// An operator withdraws a record.
    Withdraw {
        /// The key of the record.
        key: RecordKey,
        /// The generation that is withdrawn.
        replaces: RecordGeneration,
    },
    /// A shard's owner reports the total number of a job's tasks that have ended in its shard.
    Progress {
        /// The shard.
        shard: ShardId,
        /// The job.
        job: RecordKey,
        /// The generation of the job.
        generation: RecordGeneration,
        /// The number of completed tasks.
        completed: u32,
        /// The number of tasks that failed permanently or were cancelled.
        failed: u32,
    },
    /// A part of a snapshot of the stream's state.
    Snapshot(SnapshotPart),
}

/// An event of the `endpoints` stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndpointEvent {
    /// The complete list of a shard's endpoints, which replaces all earlier entries.
    Full {
        /// The shard.
        shard: ShardId,
        /// All endpoints of the shard.
        entries: Vec<EndpointEntry>,
    },
    /// An endpoint was added or changed.
    Changed {
        /// The shard.
        shard: ShardId,
        /// The endpoint.
        entry: EndpointEntry,
    },
    /// An endpoint was removed.
    Removed {
        /// The shard.
        shard: ShardId,
        /// The endpoint.
        endpoint: EndpointId,
    },
}

/// An event of a shard's stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ShardEvent {
    /// The first entry of a new owner; readers ignore later entries with a lower term.
    Opened,
    /// A task is placed on a worker. The placement takes effect only once its writer has read the
    /// entry back from the log.
    Placed {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
        /// The worker.
        worker: VmId,
        /// The boot of the worker; the attempt must not start after a restart.
        boot: BootId,
    },
    /// An attempt ended.
    Ended {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
        /// How it ended.
        outcome: TaskOutcome,
    },
    /// It is unknown whether an attempt of a non-idempotent task ran; an operator has to decide.
    Unknown {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// An operator resolved an attempt with an unknown outcome.
    Resolved {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
        /// Whether to run the task again; otherwise the task counts as completed.
        rerun: bool,
    },
    /// All unfinished tasks of one generation of a job are cancelled permanently.
    Cancelled {
        /// The job.
        job: RecordName,
        /// The generation of the job.
        generation: RecordGeneration,
    },
    /// A task that cannot run in this shard is transferred to another one.
    MovedOut {
        /// The task.
        task: TaskId,
        /// The shard that receives the task.
        to: ShardId,
        /// The number of this transfer, counted from 1 over the task's lifetime.
        hop: u32,
        /// The number of attempts made so far.
        attempt: AttemptNumber,
        /// The checkpoint to resume from.
        checkpoint: Option<CheckpointId>,
    },
    /// A task is received from a shard that could not run it.
    ///
    /// The owner of the sending shard appends this event with term 0, which is never ignored as
    /// stale. A repeated event is detected by its `hop`, which is not higher than the last one that
    /// the shard has seen for the task.
    MovedIn {
        /// The task.
        task: TaskId,
        /// The shard that sent the task.
        from: ShardId,
        /// The number of this transfer, counted from 1 over the task's lifetime.
        hop: u32,
        /// The number of attempts made so far.
        attempt: AttemptNumber,
        /// The checkpoint to resume from.
        checkpoint: Option<CheckpointId>,
    },
    /// A part of a snapshot of the stream's state.
    Snapshot(SnapshotPart),
}

/// An event of a shard's idempotency key stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyEvent {
    /// The first entry of a new owner; readers ignore later entries with a lower term.
    Opened,
    /// A key is claimed. Its request may be dispatched once the writer has read the entry back from
    /// the log.
    Claimed {
        /// The digest of the service's name and the key.
        key: KeyDigest,
        /// The digest of the request that came with the key.
        request: RequestDigest,
    },
}

/// A part of an encoded snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SnapshotPart {
    /// The number of the snapshot, unique per writer.
    pub snapshot: u64,
    /// The index of the part, counted from 0.
    pub index: u32,
    /// The number of parts.
    pub count: u32,
    /// The encoded bytes of the part.
    pub bytes: Vec<u8>,
}
