//! The JSON types of the HTTP interface for operators.

pub mod problem;
pub mod reply;
pub mod status;

pub use self::problem::{PROBLEM_TYPE_BASE, ProblemDocument};
pub use self::reply::{
    CheckReply, CheckedRecord, HistoryEntry, HistoryReply, LevelRequest, PublishReply, RecordList,
    ResolveRequest, TaskDecision,
};
pub use self::status::{
    ClusterStatus, ConfigProgress, DaemonState, JobState, LogState, MetricValue, PeerState,
    ServiceState, ShardState, TaskState,
};
