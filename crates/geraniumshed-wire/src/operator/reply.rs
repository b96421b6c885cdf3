//! Requests and replies about records and tasks.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::record::RecordDocument;

/// The reply to an accepted record or withdrawal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishReply {
    /// The kind of the record.
    pub kind: SmolStr,
    /// The name of the record.
    pub name: SmolStr,
    /// The generation that is in force now.
    pub generation: u64,
    /// The offset up to which a daemon has to have applied the configuration.
    pub offset: u64,
}

/// The records in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RecordList {
    /// The records, by kind and name.
    pub records: Vec<RecordDocument>,
}

/// A record that a check found to be right.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CheckedRecord {
    /// The kind of the record.
    pub kind: SmolStr,
    /// The name of the record.
    pub name: SmolStr,
    /// The schema of the record.
    pub schema: u16,
    /// The generation in force now, or zero if there is none.
    pub current: u64,
}

/// The reply to a check.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CheckReply {
    /// The records.
    pub records: Vec<CheckedRecord>,
}

/// One publication of a record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// The offset of the log's entry.
    pub offset: u64,
    /// What the operator did: `publish` or `withdraw`.
    pub action: SmolStr,
    /// The schema, or zero for a withdrawal.
    pub schema: u16,
    /// The generation that the operator meant to replace.
    pub replaces: u64,
    /// What became of it: `accepted`, `held`, `conflict`, or `unknown` once the log dropped entries.
    pub verdict: SmolStr,
    /// The latest generation afterwards, or zero if it is unknown.
    pub generation: u64,
}

/// All publications of a record that the log still keeps.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryReply {
    /// The publications, in log order.
    pub entries: Vec<HistoryEntry>,
}

/// A change of the level of log lines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LevelRequest {
    /// The level, which may differ by module, as in `info, geraniumshed_core=debug`.
    pub level: SmolStr,
}

/// What an operator decides about a task of which nobody can tell whether it ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskDecision {
    /// The task runs again.
    Rerun,
    /// The task counts as completed.
    Completed,
}

/// An operator's decision about a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ResolveRequest {
    /// The decision.
    pub decision: TaskDecision,
}
