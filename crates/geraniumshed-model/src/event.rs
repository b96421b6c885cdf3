//! The events that the log carries, stream by stream.

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
    /// Who owns which shard.
    Claims,
    /// The endpoints of all services.
    Endpoints,
    /// The placements and ends of one shard's tasks.
    Shard(ShardId),
    /// The idempotency keys that callers chose and that fall to one shard.
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

/// One entry of the log: events that one writer appended together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogBatch<E> {
    /// The mark by which readers recognise a repeated append.
    pub mark: WriterMark,
    /// The term under which the writer acts, or zero in streams that need none.
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
    /// An owner repeats its claim, so that it outlives the log's retention.
    Hold {
        /// The shard.
        shard: ShardId,
        /// The daemon.
        daemon: DaemonId,
        /// The incarnation of the daemon.
        incarnation: DaemonIncarnation,
        /// The term of the claim that is repeated.
        term: ShardTerm,
    },
    /// An owner gives its shard up.
    Release {
        /// The shard.
        shard: ShardId,
        /// The term of the claim that ends.
        term: ShardTerm,
    },
}

/// What a published record says, as far as this program can read it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordBody {
    /// The schema is known.
    Known(RecordSpec),
    /// The schema is unknown; the text is held as it was published.
    Held(SmolStr),
}

/// An event of the `config` stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigEvent {
    /// An operator publishes a record.
    Publish {
        /// What identifies the record.
        key: RecordKey,
        /// The schema in which it was written.
        schema: SchemaVersion,
        /// The generation that it replaces, or zero if there is none.
        replaces: RecordGeneration,
        /// What it says.
        body: RecordBody,
    },
    /// An operator withdraws a record.
    Withdraw {
        /// What identifies the record.
        key: RecordKey,
        /// The generation that is withdrawn.
        replaces: RecordGeneration,
    },
    /// A shard's owner reports how many of a job's tasks have ended in its shard, in all.
    Progress {
        /// The shard.
        shard: ShardId,
        /// The job.
        job: RecordKey,
        /// The generation of the job.
        generation: RecordGeneration,
        /// The tasks that completed.
        completed: u32,
        /// The tasks that failed for good or were cancelled.
        failed: u32,
    },
    /// A part of a snapshot of the stream's state.
    Snapshot(SnapshotPart),
}

/// An event of the `endpoints` stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndpointEvent {
    /// The shard's endpoints are these and no others.
    Full {
        /// The shard.
        shard: ShardId,
        /// All endpoints of the shard.
        entries: Vec<EndpointEntry>,
    },
    /// An endpoint appears or changes.
    Changed {
        /// The shard.
        shard: ShardId,
        /// The endpoint.
        entry: EndpointEntry,
    },
    /// An endpoint is gone.
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
    /// The barrier of a new owner: later entries of lower terms are void.
    Opened,
    /// A task is to run on a worker; counts only once its writer has read it back.
    Placed {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
        /// The worker.
        worker: VmId,
        /// The boot of the worker on which alone the attempt may start.
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
    /// Nobody can tell whether an attempt of a non-idempotent task ran; an operator decides.
    Unknown {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// An operator decided about an unknown attempt.
    Resolved {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
        /// Whether the task runs again; otherwise it counts as completed.
        rerun: bool,
    },
    /// The tasks of one generation of a job that are not ended are cancelled for good.
    Cancelled {
        /// The job.
        job: RecordName,
        /// The generation of the job.
        generation: RecordGeneration,
    },
    /// A task that cannot run in this shard goes to another one.
    MovedOut {
        /// The task.
        task: TaskId,
        /// The shard that takes the task.
        to: ShardId,
        /// The number of this move, counted from 1 over the task's life.
        hop: u32,
        /// The attempts taken so far.
        attempt: AttemptNumber,
        /// The checkpoint from which the task resumes.
        checkpoint: Option<CheckpointId>,
    },
    /// A task that another shard could not run is taken.
    ///
    /// The giving shard's owner appends it under term 0, which no barrier voids. A repeat is known
    /// by its `hop`, which is no higher than the one that the shard has seen for the task.
    MovedIn {
        /// The task.
        task: TaskId,
        /// The shard that gave the task away.
        from: ShardId,
        /// The number of this move, counted from 1 over the task's life.
        hop: u32,
        /// The attempts taken so far.
        attempt: AttemptNumber,
        /// The checkpoint from which the task resumes.
        checkpoint: Option<CheckpointId>,
    },
    /// A part of a snapshot of the stream's state.
    Snapshot(SnapshotPart),
}

/// An event of a shard's stream of idempotency keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyEvent {
    /// The barrier of a new owner: later entries of lower terms are void.
    Opened,
    /// A key is used up; its request may be dispatched once its writer has read this back.
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
    /// The number of the snapshot, unique within its writer.
    pub snapshot: u64,
    /// The index of the part, counted from 0.
    pub index: u32,
    /// The number of parts.
    pub count: u32,
    /// The encoded bytes of the part.
    pub bytes: Vec<u8>,
}
