//! Requests and replies for records, tasks and log levels.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::record::RecordDocument;

/// The reply to an accepted publication or withdrawal of a record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishReply {
    /// The kind of the record.
    pub kind: SmolStr,
    /// The name of the record.
    pub name: SmolStr,
    /// The generation that is in force now.
    pub generation: u64,
    /// The offset that a daemon's applied configuration has to reach to include the change.
    pub offset: u64,
}

/// The records in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RecordList {
    /// The records, sorted by kind and name.
    pub records: Vec<RecordDocument>,
}

/// A record that passed a check.
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

/// A publication or withdrawal of a record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// The offset of the log entry.
    pub offset: u64,
    /// The operator's action: `publish` or `withdraw`.
    pub action: SmolStr,
    /// The schema, or zero for a withdrawal.
    pub schema: u16,
    /// The generation that the operator intended to replace.
    pub replaces: u64,
    /// The result: `accepted`, `held` (kept as text, since the schema is unknown), `conflict`, or
    /// `unknown` if the log has dropped earlier entries.
    pub verdict: SmolStr,
    /// The latest generation afterwards, or zero if it is unknown.
    pub generation: u64,
}

/// All publications and withdrawals of a record that the log still retains.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryReply {
    /// The publications and withdrawals, in log order.
    pub entries: Vec<HistoryEntry>,
}

/// A request to change the log level.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LevelRequest {
    /// The level, optionally with levels per module, such as `info, geraniumshed_core=debug`.
    pub level: SmolStr,
}

/// A decision about a task when it is unknown whether the task ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskDecision {
    /// Run the task again.
    Rerun,
    /// Treat the task as completed.
    Completed,
}

/// A request to resolve a task with an unknown outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ResolveRequest {
    /// The decision.
    pub decision: TaskDecision,
}
