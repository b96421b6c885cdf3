//! The topics of the store and the keys of their records.

use geraniumshed_core::job::JobId;
use smol_str::{SmolStr, ToSmolStr};

use crate::store::TopicName;

/// What clients handed in and cancelled; every node appends to it.
pub const REQUESTS: TopicName = TopicName("keyed.geraniumshed.requests");
/// How far jobs are; only the leader appends to it.
pub const PROGRESS: TopicName = TopicName("keyed.geraniumshed.progress");
/// Who leads.
pub const LEADERS: TopicName = TopicName("keyed.geraniumshed.leaders");

/// The key of the record that names the leader.
pub const LEADER_KEY: SmolStr = SmolStr::new_static("leader");

/// The key of the record, beside those of jobs, that tells what was learned of interference.
pub const INTERFERENCE_KEY: SmolStr = SmolStr::new_static("interference");

/// Returns the key of a job's records.
pub fn job_key(id: JobId) -> SmolStr {
    id.to_smolstr()
}

/// Returns the job whose record has this key.
pub fn parse_job_key(key: &str) -> Option<JobId> {
    key.parse().ok()
}
