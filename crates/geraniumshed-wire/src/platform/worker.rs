//! Calls to workers on the wire.

use std::net::SocketAddr;

use geraniumshed_model::prelude::{
    AttemptNumber, AttemptPhase, BootId, CommandResult, EndedReport, ExchangeReply,
    ExchangeRequest, RunningAttempt, SeizeReply, SeizeRequest, ShardId, ShardTerm, TaskSignal,
    TaskUsage, UsageReport, WorkerCommand,
};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::common::{
    EndedAttemptWire, ResourceSizeWire, TaskIdWire, TaskSpecWire, WireError, span_from_micros,
    span_to_micros,
};

/// A [`SeizeRequest`] on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeizeRequestWire {
    /// The shard.
    pub shard: u16,
    /// The term.
    pub term: u64,
}

impl From<&SeizeRequest> for SeizeRequestWire {
    fn from(request: &SeizeRequest) -> Self {
        Self {
            shard: request.shard.0,
            term: request.term.0,
        }
    }
}

impl From<SeizeRequestWire> for SeizeRequest {
    fn from(wire: SeizeRequestWire) -> Self {
        Self {
            shard: ShardId(wire.shard),
            term: ShardTerm(wire.term),
        }
    }
}

/// A [`SeizeReply`] on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeizeReplyWire {
    /// The current boot.
    pub boot: u64,
    /// The size.
    pub size: ResourceSizeWire,
    /// The attempts that are running.
    pub running: Vec<RunningAttemptWire>,
    /// The ended attempts that have not been acknowledged.
    pub ended: Vec<EndedReportWire>,
}

impl From<&SeizeReply> for SeizeReplyWire {
    fn from(reply: &SeizeReply) -> Self {
        Self {
            boot: reply.boot.0,
            size: reply.size.into(),
            running: reply.running.iter().map(Into::into).collect(),
            ended: reply.ended.iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<SeizeReplyWire> for SeizeReply {
    type Error = WireError;

    fn try_from(wire: SeizeReplyWire) -> Result<Self, WireError> {
        Ok(Self {
            boot: BootId(wire.boot),
            size: wire.size.into(),
            running: convert_all(wire.running)?,
            ended: convert_all(wire.ended)?,
        })
    }
}

/// An [`AttemptPhase`] on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptPhaseWire {
    /// [`AttemptPhase::Starting`].
    Starting,
    /// [`AttemptPhase::Running`].
    Running,
    /// [`AttemptPhase::Stopping`].
    Stopping,
}

impl From<AttemptPhase> for AttemptPhaseWire {
    fn from(phase: AttemptPhase) -> Self {
        match phase {
            AttemptPhase::Starting => Self::Starting,
            AttemptPhase::Running => Self::Running,
            AttemptPhase::Stopping => Self::Stopping,
        }
    }
}

impl From<AttemptPhaseWire> for AttemptPhase {
    fn from(wire: AttemptPhaseWire) -> Self {
        match wire {
            AttemptPhaseWire::Starting => Self::Starting,
            AttemptPhaseWire::Running => Self::Running,
            AttemptPhaseWire::Stopping => Self::Stopping,
        }
    }
}

/// A [`RunningAttempt`] on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningAttemptWire {
    /// The task.
    pub task: TaskIdWire,
    /// The attempt.
    pub attempt: u32,
    /// The state.
    pub phase: AttemptPhaseWire,
    /// The size that is reserved.
    pub size: ResourceSizeWire,
    /// The address of the endpoint.
    pub endpoint: Option<SocketAddr>,
}

impl From<&RunningAttempt> for RunningAttemptWire {
    fn from(attempt: &RunningAttempt) -> Self {
        Self {
            task: (&attempt.task).into(),
            attempt: attempt.attempt.0,
            phase: attempt.phase.into(),
            size: attempt.size.into(),
            endpoint: attempt.endpoint,
        }
    }
}

impl TryFrom<RunningAttemptWire> for RunningAttempt {
    type Error = WireError;

    fn try_from(wire: RunningAttemptWire) -> Result<Self, WireError> {
        Ok(Self {
            task: wire.task.try_into()?,
            attempt: AttemptNumber(wire.attempt),
            phase: wire.phase.into(),
            size: wire.size.into(),
            endpoint: wire.endpoint,
        })
    }
}

/// An [`EndedReport`] on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedReportWire {
    /// The attempt and how it ended.
    pub ended: EndedAttemptWire,
    /// The run time of the attempt, in microseconds.
    pub run_time_micros: u64,
}

impl From<&EndedReport> for EndedReportWire {
    fn from(report: &EndedReport) -> Self {
        Self {
            ended: (&report.ended).into(),
            run_time_micros: span_to_micros(report.run_time),
        }
    }
}

impl TryFrom<EndedReportWire> for EndedReport {
    type Error = WireError;

    fn try_from(wire: EndedReportWire) -> Result<Self, WireError> {
        Ok(Self {
            ended: wire.ended.try_into()?,
            run_time: span_from_micros(wire.run_time_micros),
        })
    }
}

/// A [`WorkerCommand`] on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkerCommandWire {
    /// [`WorkerCommand::Start`].
    Start {
        /// The task to run.
        spec: TaskSpecWire,
        /// The attempt.
        attempt: u32,
        /// The size to reserve.
        size: ResourceSizeWire,
        /// The checkpoint to resume from.
        checkpoint: Option<SmolStr>,
    },
    /// [`WorkerCommand::Stop`].
    Stop {
        /// The task.
        task: TaskIdWire,
        /// The attempt.
        attempt: u32,
        /// The time after which the attempt is killed, in microseconds.
        grace_micros: u64,
    },
    /// [`WorkerCommand::Throttle`].
    Throttle {
        /// The task.
        task: TaskIdWire,
        /// The attempt.
        attempt: u32,
        /// The share, in percent.
        percent: u32,
    },
    /// [`WorkerCommand::Forget`].
    Forget {
        /// The task.
        task: TaskIdWire,
        /// The attempt.
        attempt: u32,
    },
}

impl From<&WorkerCommand> for WorkerCommandWire {
    fn from(command: &WorkerCommand) -> Self {
        match command {
            WorkerCommand::Start {
                spec,
                attempt,
                size,
                checkpoint,
            } => Self::Start {
                spec: spec.into(),
                attempt: attempt.0,
                size: (*size).into(),
                checkpoint: checkpoint.as_ref().map(|id| id.as_str().into()),
            },
            WorkerCommand::Stop {
                task,
                attempt,
                grace,
            } => Self::Stop {
                task: task.into(),
                attempt: attempt.0,
                grace_micros: span_to_micros(*grace),
            },
            WorkerCommand::Throttle {
                task,
                attempt,
                percent,
            } => Self::Throttle {
                task: task.into(),
                attempt: attempt.0,
                percent: *percent,
            },
            WorkerCommand::Forget { task, attempt } => Self::Forget {
                task: task.into(),
                attempt: attempt.0,
            },
        }
    }
}

impl TryFrom<WorkerCommandWire> for WorkerCommand {
    type Error = WireError;

    fn try_from(wire: WorkerCommandWire) -> Result<Self, WireError> {
        Ok(match wire {
            WorkerCommandWire::Start {
                spec,
                attempt,
                size,
                checkpoint,
            } => Self::Start {
                spec: spec.try_into()?,
                attempt: AttemptNumber(attempt),
                size: size.into(),
                checkpoint: checkpoint.map(|id| id.parse()).transpose()?,
            },
            WorkerCommandWire::Stop {
                task,
                attempt,
                grace_micros,
            } => Self::Stop {
                task: task.try_into()?,
                attempt: AttemptNumber(attempt),
                grace: span_from_micros(grace_micros),
            },
            WorkerCommandWire::Throttle {
                task,
                attempt,
                percent,
            } => Self::Throttle {
                task: task.try_into()?,
                attempt: AttemptNumber(attempt),
                percent,
            },
            WorkerCommandWire::Forget { task, attempt } => Self::Forget {
                task: task.try_into()?,
                attempt: AttemptNumber(attempt),
            },
        })
    }
}

/// An [`ExchangeRequest`] on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExchangeRequestWire {
    /// The owner's term.
    pub term: u64,
    /// The boot of the worker as known to the owner.
    pub boot: u64,
    /// The sequence number of the exchange within its term.
    pub sequence: u64,
    /// The duration of the lease, in microseconds, or `None` to leave the lease unchanged.
    pub lease_micros: Option<u64>,
    /// The commands, in order.
    pub commands: Vec<WorkerCommandWire>,
    /// Whether the reply should include resource usage.
    pub with_usage: bool,
}

impl From<&ExchangeRequest> for ExchangeRequestWire {
    fn from(request: &ExchangeRequest) -> Self {
        Self {
            term: request.term.0,
            boot: request.boot.0,
            sequence: request.sequence,
            lease_micros: request.lease.map(span_to_micros),
            commands: request.commands.iter().map(Into::into).collect(),
            with_usage: request.with_usage,
        }
    }
}

impl TryFrom<ExchangeRequestWire> for ExchangeRequest {
    type Error = WireError;

    fn try_from(wire: ExchangeRequestWire) -> Result<Self, WireError> {
        Ok(Self {
            term: ShardTerm(wire.term),
            boot: BootId(wire.boot),
            sequence: wire.sequence,
            lease: wire.lease_micros.map(span_from_micros),
            commands: convert_all(wire.commands)?,
            with_usage: wire.with_usage,
        })
    }
}

/// A [`CommandResult`] on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandResultWire {
    /// [`CommandResult::Done`].
    Done,
    /// [`CommandResult::Refused`].
    Refused {
        /// Why the worker refused the command.
        reason: SmolStr,
    },
}

impl From<&CommandResult> for CommandResultWire {
    fn from(result: &CommandResult) -> Self {
        match result {
            CommandResult::Done => Self::Done,
            CommandResult::Refused { reason } => Self::Refused {
                reason: reason.clone(),
            },
        }
    }
}

impl From<CommandResultWire> for CommandResult {
    fn from(wire: CommandResultWire) -> Self {
        match wire {
            CommandResultWire::Done => Self::Done,
            CommandResultWire::Refused { reason } => Self::Refused { reason },
        }
    }
}

/// A [`TaskSignal`] on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskSignalWire {
    /// [`TaskSignal::Latency`], in microseconds.
    Latency(u64),
    /// [`TaskSignal::Progress`].
    Progress(u32),
}

/// A [`TaskUsage`] on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskUsageWire {
    /// The task.
    pub task: TaskIdWire,
    /// The attempt.
    pub attempt: u32,
    /// The resources that the attempt used.
    pub used: ResourceSizeWire,
    /// The performance of the attempt.
    pub signal: TaskSignalWire,
}

impl From<&TaskUsage> for TaskUsageWire {
    fn from(usage: &TaskUsage) -> Self {
        Self {
            task: (&usage.task).into(),
            attempt: usage.attempt.0,
            used: usage.used.into(),
            signal: match usage.signal {
                TaskSignal::Latency(span) => TaskSignalWire::Latency(span_to_micros(span)),
                TaskSignal::Progress(rate) => TaskSignalWire::Progress(rate),
            },
        }
    }
}

impl TryFrom<TaskUsageWire> for TaskUsage {
    type Error = WireError;

    fn try_from(wire: TaskUsageWire) -> Result<Self, WireError> {
        Ok(Self {
            task: wire.task.try_into()?,
            attempt: AttemptNumber(wire.attempt),
            used: wire.used.into(),
            signal: match wire.signal {
                TaskSignalWire::Latency(micros) => TaskSignal::Latency(span_from_micros(micros)),
                TaskSignalWire::Progress(rate) => TaskSignal::Progress(rate),
            },
        })
    }
}

/// A [`UsageReport`] on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReportWire {
    /// The age of the measurement, in microseconds.
    pub age_micros: u64,
    /// The usage of each task.
    pub tasks: Vec<TaskUsageWire>,
}

impl From<&UsageReport> for UsageReportWire {
    fn from(report: &UsageReport) -> Self {
        Self {
            age_micros: span_to_micros(report.age),
            tasks: report.tasks.iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<UsageReportWire> for UsageReport {
    type Error = WireError;

    fn try_from(wire: UsageReportWire) -> Result<Self, WireError> {
        Ok(Self {
            age: span_from_micros(wire.age_micros),
            tasks: convert_all(wire.tasks)?,
        })
    }
}

/// An [`ExchangeReply`] on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExchangeReplyWire {
    /// The result of each command, in order.
    pub results: Vec<CommandResultWire>,
    /// The attempts whose state changed.
    pub changed: Vec<RunningAttemptWire>,
    /// The ended attempts that have not been acknowledged.
    pub ended: Vec<EndedReportWire>,
    /// The resource usage of the tasks, if requested.
    pub usage: Option<UsageReportWire>,
}

impl From<&ExchangeReply> for ExchangeReplyWire {
    fn from(reply: &ExchangeReply) -> Self {
        Self {
            results: reply.results.iter().map(Into::into).collect(),
            changed: reply.changed.iter().map(Into::into).collect(),
            ended: reply.ended.iter().map(Into::into).collect(),
            usage: reply.usage.as_ref().map(Into::into),
        }
    }
}

impl TryFrom<ExchangeReplyWire> for ExchangeReply {
    type Error = WireError;

    fn try_from(wire: ExchangeReplyWire) -> Result<Self, WireError> {
        Ok(Self {
            results: wire.results.into_iter().map(Into::into).collect(),
            changed: convert_all(wire.changed)?,
            ended: convert_all(wire.ended)?,
            usage: wire.usage.map(TryInto::try_into).transpose()?,
        })
    }
}

/// Converts each value of a list, stopping at the first error.
fn convert_all<W, M>(wires: Vec<W>) -> Result<Vec<M>, WireError>
where
    M: TryFrom<W, Error = WireError>,
{
    wires.into_iter().map(TryInto::try_into).collect()
}
