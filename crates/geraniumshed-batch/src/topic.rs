//! The topics of the store and the keys of their records.

use geraniumshed_core::job::{JobId, QueueName};
use smol_str::{SmolStr, ToSmolStr, format_smolstr};

use crate::store::TopicName;

/// The submitted jobs, by job ID. Every node appends to it; the leader removes old jobs.
pub const REQUESTS: TopicName = TopicName("keyed.geraniumshed.requests");
/// The progress of jobs, by job ID, the crashes under their tasks, learned interference, the leases of
/// silent workers, the waits of long-running tasks with the runs without progress, and the policies of
/// queues with open jobs. Only the leader appends to it.
pub const PROGRESS: TopicName = TopicName("keyed.geraniumshed.progress");
/// The claims to lead. The newest one names the leader, and the offset after it is the term.
pub const LEADERS: TopicName = TopicName("keyed.geraniumshed.leaders");

/// The key of the record that names the leader.
pub const LEADER_KEY: SmolStr = SmolStr::new_static("leader");

/// The key of the record in [`PROGRESS`] that holds the learned interference between images.
pub const INTERFERENCE_KEY: SmolStr = SmolStr::new_static("interference");

/// The key of the record in [`PROGRESS`] that holds the leases of silent workers.
pub const LEASES_KEY: SmolStr = SmolStr::new_static("leases");

/// The key of the record in [`PROGRESS`] that holds the waits of long-running tasks and the runs
/// without progress.
pub const WAITS_KEY: SmolStr = SmolStr::new_static("waits");

/// The key of the record in [`PROGRESS`] that holds the bad track records of workers. Earlier releases
/// ignore it.
pub const TRACKS_KEY: SmolStr = SmolStr::new_static("tracks");

/// The key of the record that a new leader appends to [`PROGRESS`] before it reads the topic. What it reads
/// has to include this record.
pub const TAKEOVER_KEY: SmolStr = SmolStr::new_static("takeover");

/// What precedes the name of a queue in the key of the record in [`PROGRESS`] that holds its policy.
const QUEUE_PREFIX: &str = "queue/";

/// What follows the job ID in the key of the record in [`PROGRESS`] that holds the crashes under a job's
/// tasks.
const CRASHES_SUFFIX: &str = ".crashes";

/// Returns the key of a job's records.
pub fn job_key(id: JobId) -> SmolStr {
    id.to_smolstr()
}

/// Returns the job of a record with this key, or `None` for keys of other records.
pub fn parse_job_key(key: &str) -> Option<JobId> {
    key.parse().ok()
}

/// Returns the key of the record of the crashes under a job's tasks.
pub fn crashes_key(id: JobId) -> SmolStr {
    format_smolstr!("{id}{CRASHES_SUFFIX}")
}

/// Returns the job of a record of crashes with this key, or `None` for keys of other records.
pub fn parse_crashes_key(key: &str) -> Option<JobId> {
    key.strip_suffix(CRASHES_SUFFIX).and_then(parse_job_key)
}

/// Returns the key of the record of a queue's policy.
pub fn queue_key(queue: &QueueName) -> SmolStr {
    format_smolstr!("{QUEUE_PREFIX}{queue}")
}

/// Returns the queue of a record of a policy with this key, or `None` for keys of other records.
pub fn parse_queue_key(key: &str) -> Option<QueueName> {
    key.strip_prefix(QUEUE_PREFIX).map(QueueName::from)
}
