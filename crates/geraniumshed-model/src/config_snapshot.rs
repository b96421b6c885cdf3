//! A snapshot of the records in force, which replaces the entries that the log drops.

use smol_str::SmolStr;

use crate::id::{LogOffset, RecordGeneration, RecordName, ShardId};
use crate::record::{OperatorRecord, RecordKey, RecordKind, SchemaVersion};

/// A snapshot of the records in force.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ConfigSnapshot {
    /// The offset after the last entry that the snapshot covers.
    pub applied: LogOffset,
    /// The state of each record key.
    pub names: Vec<NameSnapshot>,
    /// The highest generation among the dropped names, for each kind.
    pub floors: Vec<(RecordKind, RecordGeneration)>,
    /// The progress of the jobs in force.
    pub jobs: Vec<JobSnapshot>,
    /// The most recently finished jobs, oldest first.
    pub finished: Vec<FinishedSnapshot>,
}

/// The state of one record key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NameSnapshot {
    /// The kind and name of the record.
    pub key: RecordKey,
    /// The generation that the next publication has to replace.
    pub latest: RecordGeneration,
    /// The record in force, if any.
    pub record: Option<OperatorRecord>,
    /// The schema and the text of the latest record, if its schema is unknown.
    pub held: Option<(SchemaVersion, SmolStr)>,
}

/// The progress of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobSnapshot {
    /// The name of the job.
    pub name: RecordName,
    /// The generation of the job.
    pub generation: RecordGeneration,
    /// The numbers of completed and failed tasks, for each shard.
    pub shards: Vec<(ShardId, u32, u32)>,
}

/// The result of a finished job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FinishedSnapshot {
    /// The name of the job.
    pub name: RecordName,
    /// The generation of the job.
    pub generation: RecordGeneration,
    /// The number of completed tasks.
    pub completed: u32,
    /// The number of failed tasks.
    pub failed: u32,
}
