//! The state of the cluster as one daemon sees it.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The state of the cluster as one daemon sees it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ClusterStatus {
    /// The daemon that replied.
    pub daemon: DaemonState,
    /// The progress of applying the configuration.
    pub config: ConfigProgress,
    /// The state of the log.
    pub log: LogState,
    /// The other daemons.
    pub peers: Vec<PeerState>,
    /// The shards.
    pub shards: Vec<ShardState>,
    /// The services.
    pub services: Vec<ServiceState>,
    /// The batch jobs.
    pub jobs: Vec<JobState>,
    /// The tasks of the daemon's own shards that are waiting, are failing or need an operator.
    pub tasks: Vec<TaskState>,
}

/// The state of a daemon.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonState {
    /// The id.
    pub id: SmolStr,
    /// The region.
    pub region: SmolStr,
    /// The availability zone.
    pub zone: SmolStr,
    /// The incarnation.
    pub incarnation: u64,
    /// `catching-up`, `serving` or `stopping`.
    pub phase: SmolStr,
    /// The version of the program.
    pub version: SmolStr,
    /// The time since the daemon's start, in milliseconds.
    pub uptime_ms: u64,
}

/// The progress of applying the configuration on all daemons.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigProgress {
    /// The offset after the last entry that this daemon has applied.
    pub applied: u64,
    /// The lowest such offset among all live daemons.
    pub lowest_applied: u64,
    /// Whether all live daemons have applied at least the entries that this one has.
    pub in_force_everywhere: bool,
    /// The daemons that lag behind this one or can't be reached.
    pub lagging: Vec<SmolStr>,
    /// The records that are kept as text, since their schema is unknown, as `kind/name`.
    pub held: Vec<SmolStr>,
}

/// The state of the log as the daemon sees it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogState {
    /// Whether the last call succeeded.
    pub reachable: bool,
    /// The time since the last call that succeeded, in milliseconds.
    pub silent_ms: u64,
    /// The number of entries that this daemon has appended.
    pub appends: u64,
    /// The total size of those entries, in bytes.
    pub append_bytes: u64,
}

/// The state of another daemon.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerState {
    /// The id.
    pub id: SmolStr,
    /// The address of its peer interface.
    pub address: SmolStr,
    /// The availability zone.
    pub zone: SmolStr,
    /// `live`, `suspected` or `leaving`.
    pub phase: SmolStr,
    /// The offset after the last entry of the `config` stream that it has applied.
    pub applied: u64,
    /// The time since its last heartbeat, in milliseconds.
    pub silent_ms: u64,
}

/// The state of a shard.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardState {
    /// The number of the shard.
    pub shard: u16,
    /// The daemon that owns the shard, or empty if none does.
    pub owner: SmolStr,
    /// The owner's term.
    pub term: u64,
    /// The number of workers that the owner has taken over; zero if another daemon owns the shard.
    pub workers: u32,
    /// The number of running tasks.
    pub running: u32,
    /// The number of tasks that are waiting for a worker.
    pub waiting: u32,
    /// The number of tasks for which it is unknown whether they ran.
    pub unknown: u32,
    /// The number of tasks that fit on no worker.
    pub infeasible: u32,
}

/// The state of a service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceState {
    /// The name of the record.
    pub name: SmolStr,
    /// The generation of the record.
    pub generation: u64,
    /// The number of replicas that the record specifies.
    pub replicas: u32,
    /// The number of endpoints that accept requests.
    pub ready: u32,
    /// The number of endpoints that are finishing their last requests.
    pub leaving: u32,
    /// The names by which callers reach the service.
    pub bindings: Vec<SmolStr>,
    /// Whether an operator has stopped the service.
    pub stopped: bool,
}

/// The state of a batch job.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobState {
    /// The name of the record.
    pub name: SmolStr,
    /// The generation of the record.
    pub generation: u64,
    /// The number of tasks in the job.
    pub tasks: u32,
    /// The number of completed tasks.
    pub completed: u32,
    /// The number of tasks that failed permanently or were cancelled.
    pub failed: u32,
    /// Whether an operator has cancelled the job.
    pub cancelled: bool,
}

/// The state of a task.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskState {
    /// The id of the task.
    pub task: SmolStr,
    /// `waiting`, `running`, `unknown`, `infeasible` or `failed`.
    pub state: SmolStr,
    /// Why the task is in this state.
    pub reason: SmolStr,
    /// The worker that the task is placed on, or empty if there is none.
    pub worker: SmolStr,
    /// What an operator can do about it.
    pub hint: SmolStr,
}

/// The value of one metric.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MetricValue {
    /// The name of the metric.
    pub name: SmolStr,
    /// The value.
    pub value: f64,
}
