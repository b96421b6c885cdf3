//! The messages between daemons and workers.
//!
//! A worker accepts commands from one owner at a time. A new owner takes the worker over by a seize
//! call with its term, which fences off the owners of lower terms. Every later call carries that
//! term and the worker's boot id, and is rejected if either is stale. One lease covers all tasks of
//! a worker: when it expires, the worker stops its batch tasks.

use std::net::SocketAddr;

use smol_str::SmolStr;

use crate::id::{AttemptNumber, BootId, CheckpointId, ShardId, ShardTerm, TaskId};
use crate::resource::ResourceSize;
use crate::task::{EndedAttempt, TaskSpec};
use crate::time::TimeSpan;

/// A request to accept a new owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SeizeRequest {
    /// The shard that the worker belongs to.
    pub shard: ShardId,
    /// The owner's term, which must not be lower than the term that the worker has accepted.
    pub term: ShardTerm,
}

/// The inventory of a worker, sent to its new owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SeizeReply {
    /// The worker's current boot.
    pub boot: BootId,
    /// The worker's size.
    pub size: ResourceSize,
    /// The attempts that are running.
    pub running: Vec<RunningAttempt>,
    /// The ended attempts that have not been acknowledged.
    pub ended: Vec<EndedReport>,
}

/// The state of an attempt that a worker runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AttemptPhase {
    /// The attempt is starting; its endpoint, if it has one, does not accept requests yet.
    Starting,
    /// The attempt is running.
    Running,
    /// The attempt is finishing its requests or writing its checkpoint.
    Stopping,
}

/// An attempt that is running on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningAttempt {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// The state of the attempt.
    pub phase: AttemptPhase,
    /// The size that the worker reserves for the attempt.
    pub size: ResourceSize,
    /// The address at which the attempt accepts requests, if it is a replica of a service.
    pub endpoint: Option<SocketAddr>,
}

/// An ended attempt, which the worker keeps until it is acknowledged by a `Forget` command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedReport {
    /// The attempt and how it ended.
    pub ended: EndedAttempt,
    /// The run time of the attempt.
    pub run_time: TimeSpan,
}

/// A command to a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkerCommand {
    /// Start an attempt. Does nothing if the worker already knows the attempt.
    Start {
        /// The task to run.
        spec: TaskSpec,
        /// The attempt.
        attempt: AttemptNumber,
        /// The size to reserve for the attempt, which may differ from the declared one.
        size: ResourceSize,
        /// The checkpoint to resume from.
        checkpoint: Option<CheckpointId>,
    },
    /// Stop an attempt gracefully: let it finish its requests or write a checkpoint.
    Stop {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
        /// The time after which the attempt is killed.
        grace: TimeSpan,
    },
    /// Limit an attempt to a share of its processors.
    Throttle {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
        /// The share, in percent; 100 removes the limit.
        percent: u32,
    },
    /// Forget an ended attempt, since its outcome has been written to the log.
    Forget {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
    },
}

/// A batch of commands to a worker, which may also renew its lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExchangeRequest {
    /// The owner's term.
    pub term: ShardTerm,
    /// The boot of the worker as known to the owner.
    pub boot: BootId,
    /// The sequence number of the exchange within its term, counted from 1. A worker rejects an
    /// exchange whose number is not higher than the last, so that a delayed one has no effect.
    pub sequence: u64,
    /// The duration of the lease from the time of receipt, or `None` to leave the lease unchanged.
    pub lease: Option<TimeSpan>,
    /// The commands, in order.
    pub commands: Vec<WorkerCommand>,
    /// Whether the reply should include resource usage.
    pub with_usage: bool,
}

/// The result of a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommandResult {
    /// The worker has executed the command, now or earlier.
    Done,
    /// The worker has refused the command, and nothing changed.
    Refused {
        /// Why the worker refused the command.
        reason: SmolStr,
    },
}

/// The reply to an exchange.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExchangeReply {
    /// The result of each command, in order.
    pub results: Vec<CommandResult>,
    /// The attempts whose state changed since the last exchange of this term.
    pub changed: Vec<RunningAttempt>,
    /// The ended attempts that have not been acknowledged.
    pub ended: Vec<EndedReport>,
    /// The resource usage of the tasks, if requested; it is measured with a delay.
    pub usage: Option<UsageReport>,
}

/// The resource usage of a worker's tasks at an earlier time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UsageReport {
    /// The age of the measurement.
    pub age: TimeSpan,
    /// The usage of each task.
    pub tasks: Vec<TaskUsage>,
}

/// The resource usage and performance of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskUsage {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// The resources that the attempt used.
    pub used: ResourceSize,
    /// The performance of the attempt.
    pub signal: TaskSignal,
}

/// The performance of an attempt, from which the interference of co-located tasks is estimated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskSignal {
    /// The 99th percentile of the latency of a service's replica.
    Latency(TimeSpan),
    /// The progress rate of a batch task, in thousandths of its rate without co-located tasks.
    Progress(u32),
}
