//! A snapshot of the records in force, which stands for the entries that the log drops.

use smol_str::SmolStr;

use crate::id::{LogOffset, RecordGeneration, RecordName, ShardId};
use crate::record::{OperatorRecord, RecordKey, RecordKind, SchemaVersion};

/// A snapshot of the records in force.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ConfigSnapshot {
    /// The offset after the last entry that the snapshot stands for.
    pub applied: LogOffset,
    /// The names that have a record.
    pub names: Vec<NameSnapshot>,
    /// The highest generation of a name that was dropped, for each kind.
    pub floors: Vec<(RecordKind, RecordGeneration)>,
    /// How far the jobs in force have come.
    pub jobs: Vec<JobSnapshot>,
    /// The last jobs that finished, the oldest first.
    pub finished: Vec<FinishedSnapshot>,
}

/// What is known of one name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NameSnapshot {
    /// The kind and the name.
    pub key: RecordKey,
    /// The generation that the next publication replaces.
    pub latest: RecordGeneration,
    /// The record in force.
    pub record: Option<OperatorRecord>,
    /// The schema and the text of the latest record, if its schema is unknown.
    pub held: Option<(SchemaVersion, SmolStr)>,
}

/// How far one job has come.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobSnapshot {
    /// The name of the job.
    pub name: RecordName,
    /// The generation.
    pub generation: RecordGeneration,
    /// The tasks that completed and those that failed, for each shard.
    pub shards: Vec<(ShardId, u32, u32)>,
}

/// A job that has finished.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FinishedSnapshot {
    /// The name of the job.
    pub name: RecordName,
    /// The generation.
    pub generation: RecordGeneration,
    /// The tasks that completed.
    pub completed: u32,
    /// The tasks that failed.
    pub failed: u32,
}
