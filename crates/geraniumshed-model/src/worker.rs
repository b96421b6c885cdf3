//! What daemons and workers tell each other.
//!
//! A worker obeys one owner at a time. Seizing makes a term the worker's own; every later call
//! names that term and the worker's boot, and is refused if either has passed. One lease covers all
//! of a worker's tasks: when it lapses, the worker stops its batch tasks.

use std::net::SocketAddr;

use smol_str::SmolStr;

use crate::id::{AttemptNumber, BootId, CheckpointId, ShardId, ShardTerm, TaskId};
use crate::resource::ResourceSize;
use crate::task::{EndedAttempt, TaskSpec};
use crate::time::TimeSpan;

/// A request to obey a new owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SeizeRequest {
    /// The shard that the worker belongs to.
    pub shard: ShardId,
    /// The owner's term, which has to be at least the one that the worker holds.
    pub term: ShardTerm,
}

/// The inventory of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SeizeReply {
    /// The worker's present boot.
    pub boot: BootId,
    /// The worker's size.
    pub size: ResourceSize,
    /// The attempts that run.
    pub running: Vec<RunningAttempt>,
    /// The attempts that ended and were not acknowledged.
    pub ended: Vec<EndedReport>,
}

/// The state of an attempt that a worker runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AttemptPhase {
    /// The attempt runs, and its endpoint, if it has one, does not take requests yet.
    Starting,
    /// The attempt runs.
    Running,
    /// The attempt finishes its requests or writes its checkpoint.
    Stopping,
}

/// An attempt that a worker runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningAttempt {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// The state of the attempt.
    pub phase: AttemptPhase,
    /// The size that the worker holds for the attempt.
    pub size: ResourceSize,
    /// The address at which the attempt takes requests, for replicas of services.
    pub endpoint: Option<SocketAddr>,
}

/// An attempt that ended and that the worker keeps until its end is acknowledged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedReport {
    /// The attempt and how it ended.
    pub ended: EndedAttempt,
    /// The time for which the attempt ran.
    pub run_time: TimeSpan,
}

/// A command to a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkerCommand {
    /// Start an attempt; a repeat for a known attempt changes nothing.
    Start {
        /// What to run.
        spec: TaskSpec,
        /// The attempt.
        attempt: AttemptNumber,
        /// The size to hold for the attempt, which may differ from the declared one.
        size: ResourceSize,
        /// The checkpoint to resume from.
        checkpoint: Option<CheckpointId>,
    },
    /// Stop an attempt gracefully: finish its requests, or write a checkpoint.
    Stop {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
        /// The time after which the attempt is stopped without waiting further.
        grace: TimeSpan,
    },
    /// Limit an attempt to a share of its processors, in percent.
    Throttle {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
        /// The share, in percent; 100 lifts the limit.
        percent: u32,
    },
    /// Forget an ended attempt, since its end is in the log.
    Forget {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
    },
}

/// Commands to a worker, with the renewal of its lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExchangeRequest {
    /// The owner's term.
    pub term: ShardTerm,
    /// The boot that the owner knows.
    pub boot: BootId,
    /// The number of the exchange within its term, counted from 1; a worker rejects an exchange
    /// whose number is not higher than the last, so that a delayed one can't start anything.
    pub sequence: u64,
    /// The length of the lease from the time of receipt, or `None` to leave it as it is.
    pub lease: Option<TimeSpan>,
    /// The commands, in order.
    pub commands: Vec<WorkerCommand>,
    /// Whether the reply should list usage.
    pub with_usage: bool,
}

/// What came of a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommandResult {
    /// The worker obeys, or had obeyed before.
    Done,
    /// The worker does not obey, and nothing changed.
    Refused {
        /// Why the worker does not obey.
        reason: SmolStr,
    },
}

/// The reply to an exchange.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExchangeReply {
    /// What came of each command, in order.
    pub results: Vec<CommandResult>,
    /// The attempts whose state changed since the last exchange of this term.
    pub changed: Vec<RunningAttempt>,
    /// The attempts that ended and were not acknowledged.
    pub ended: Vec<EndedReport>,
    /// What the tasks used, if it was asked for; it lags.
    pub usage: Option<UsageReport>,
}

/// What a worker's tasks used some time ago.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UsageReport {
    /// How long ago the usage was measured.
    pub age: TimeSpan,
    /// The usage, task by task.
    pub tasks: Vec<TaskUsage>,
}

/// What one attempt used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskUsage {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// The resources that the attempt used.
    pub used: ResourceSize,
    /// The 99th percentile of the latency that a service's replica saw, or the progress rate of a
    /// batch task in thousandths of its rate alone.
    pub signal: TaskSignal,
}

/// How an attempt fares beside its neighbours.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskSignal {
    /// The 99th percentile of the latency of a service's replica.
    Latency(TimeSpan),
    /// The work done a second by a batch task, in thousandths of the work it does alone.
    Progress(u32),
}
