//! The calls to workers that a leader passes to couriers.

use std::net::SocketAddr;
use std::time::Duration;

use geraniumshed_core::job::WorkerId;
use geraniumshed_core::worker::{
    EndKind, FenceToken, PaceOrder, RenewReply, RenewRequest, RunEnd, RunReport, StartAnswer,
    StartOrder, StartReply, StopOrder, WorkerCall, WorkerFailure, WorkerIncarnation, WorkerTime,
};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::task::TaskKeyWire;
use crate::courier::{CourierOrder, CourierReply};
use crate::site::RenewOutcome;

/// Calls to workers that the callee makes, and what it needs to tell whether they are outdated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CourierRequestWire {
    /// The random number of the leader's session with the callee.
    pub session: u64,
    /// When the request was sent, on the leader's monotonic clock, in milliseconds.
    pub sent_ms: u64,
    /// The same on its system clock, in milliseconds of Unix time.
    pub sent_unix_ms: u64,
    /// The calls, each with its number in the session.
    pub calls: Vec<(u64, CourierCallWire)>,
}

/// The answers to calls to workers that are known by now, each with the number of its call.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CourierReplyBatchWire {
    /// The answers.
    pub replies: Vec<(u64, CourierReplyWire)>,
}

/// A call to a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CourierCallWire {
    worker: SmolStr,
    address: SocketAddr,
    /// The only process that may carry the call out, by its start time in milliseconds of Unix time.
    process: Option<u64>,
    token: u64,
    order: OrderWire,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum OrderWire {
    Start {
        task: TaskKeyWire,
        run: u32,
        payload: SmolStr,
        deadline_ms: u64,
        checkpoint: Option<SmolStr>,
        ticket: Option<SmolStr>,
    },
    Stop {
        task: TaskKeyWire,
        run: u32,
    },
    Pace {
        task: TaskKeyWire,
        run: u32,
        percent: u32,
    },
    Renew {
        last_stored_end: u64,
        deadline_ms: Option<u64>,
        wait: Duration,
    },
}

/// The answer to a call to a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CourierReplyWire {
    /// The answer to the start of a task.
    Started(Result<StartAnswerWire, FailureWire>),
    /// The answer to the stop of a run, or to a change of its speed.
    Done(Result<(), FailureWire>),
    /// The answer to the renewal of a lease.
    Renewed(RenewOutcomeWire),
}

/// A worker's answer to the order to start a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartAnswerWire {
    reply: StartReplyWire,
    /// The start time of the worker's process, in milliseconds of Unix time.
    process: Option<u64>,
}

/// A worker's reply to the order to start a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartReplyWire {
    /// The run has started.
    Started,
    /// The worker has seen a higher fencing token.
    Fenced,
    /// This run or a later one has already ended.
    Outdated,
    /// The lease deadline had passed.
    Late,
    /// The worker lacks free resources.
    NoRoom,
    /// The ticket is missing or has expired.
    NoTicket,
    /// The worker is unhealthy.
    Unhealthy,
    /// The order is for an earlier process of the worker.
    OtherLife,
    /// The worker can't execute the order.
    Rejected,
}

/// Why a call to a worker has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum FailureWire {
    /// Nothing was sent.
    NotSent,
    /// No answer came.
    Unanswered,
}

/// The outcome of renewing a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RenewOutcomeWire {
    /// The worker answered.
    Answered {
        /// The reading of the worker's clock, in milliseconds.
        clock_ms: u64,
        /// The start time of the worker's process, in milliseconds of Unix time.
        incarnation: Option<u64>,
        /// The runs in progress.
        running: Vec<RunningWire>,
        /// The ends of runs that the worker hasn't dropped yet.
        ended: Vec<EndedWire>,
        /// Whether these are all such ends.
        has_all_ends: bool,
    },
    /// The process at the address is another worker.
    OtherWorker,
    /// The worker rejected the fencing token.
    Fenced,
    /// There is no usable answer.
    Failed(FailureWire),
}

/// A run in progress.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningWire {
    task: TaskKeyWire,
    run: u32,
    checkpoint: Option<SmolStr>,
    percent: u32,
    tail_latency: Duration,
}

/// The end of a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedWire {
    number: u64,
    task: TaskKeyWire,
    run: u32,
    kind: EndKindWire,
    checkpoint: Option<SmolStr>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
enum EndKindWire {
    Done,
    Failed,
    Stopped,
    Lapsed,
    Broken,
    Alone,
}

impl From<WorkerCall<CourierOrder>> for CourierCallWire {
    fn from(call: WorkerCall<CourierOrder>) -> Self {
        Self {
            worker: call.worker.0,
            address: call.address,
            process: call.process.map(|process| process.0),
            token: call.token.0,
            order: call.body.into(),
        }
    }
}

impl From<CourierCallWire> for WorkerCall<CourierOrder> {
    fn from(wire: CourierCallWire) -> Self {
        Self {
            worker: WorkerId(wire.worker),
            address: wire.address,
            process: wire.process.map(WorkerIncarnation),
            token: FenceToken(wire.token),
            body: wire.order.into(),
        }
    }
}

impl From<CourierOrder> for OrderWire {
    fn from(order: CourierOrder) -> Self {
        match order {
            CourierOrder::Start(start) => Self::Start {
                task: start.task.into(),
                run: start.run,
                payload: start.payload,
                deadline_ms: start.deadline.0,
                checkpoint: start.checkpoint,
                ticket: start.ticket,
            },
            CourierOrder::Stop(stop) => Self::Stop {
                task: stop.task.into(),
                run: stop.run,
            },
            CourierOrder::Pace(pace) => Self::Pace {
                task: pace.task.into(),
                run: pace.run,
                percent: pace.percent,
            },
            CourierOrder::Renew(renew) => Self::Renew {
                last_stored_end: renew.last_stored_end,
                deadline_ms: renew.deadline.map(|deadline| deadline.0),
                wait: renew.wait,
            },
        }
    }
}

impl From<OrderWire> for CourierOrder {
    fn from(wire: OrderWire) -> Self {
        match wire {
            OrderWire::Start {
                task,
                run,
                payload,
                deadline_ms,
                checkpoint,
                ticket,
            } => Self::Start(StartOrder {
                task: task.into(),
                run,
                payload,
                deadline: WorkerTime(deadline_ms),
                checkpoint,
                ticket,
            }),
            OrderWire::Stop { task, run } => Self::Stop(StopOrder {
                task: task.into(),
                run,
            }),
            OrderWire::Pace { task, run, percent } => Self::Pace(PaceOrder {
                task: task.into(),
                run,
                percent,
            }),
            OrderWire::Renew {
                last_stored_end,
                deadline_ms,
                wait,
            } => Self::Renew(RenewRequest {
                last_stored_end,
                deadline: deadline_ms.map(WorkerTime),
                wait,
            }),
        }
    }
}

impl From<CourierReply> for CourierReplyWire {
    fn from(reply: CourierReply) -> Self {
        match reply {
            CourierReply::Started(reply) => {
                Self::Started(reply.map(Into::into).map_err(Into::into))
            }
            CourierReply::Done(reply) => Self::Done(reply.map_err(Into::into)),
            CourierReply::Renewed(outcome) => Self::Renewed(outcome.into()),
        }
    }
}

impl From<CourierReplyWire> for CourierReply {
    fn from(wire: CourierReplyWire) -> Self {
        match wire {
            CourierReplyWire::Started(reply) => {
                Self::Started(reply.map(Into::into).map_err(Into::into))
            }
            CourierReplyWire::Done(reply) => Self::Done(reply.map_err(Into::into)),
            CourierReplyWire::Renewed(outcome) => Self::Renewed(outcome.into()),
        }
    }
}

impl From<RenewOutcome> for RenewOutcomeWire {
    fn from(outcome: RenewOutcome) -> Self {
        match outcome {
            RenewOutcome::Answered(reply) => Self::Answered {
                clock_ms: reply.clock.0,
                incarnation: reply.incarnation.map(|incarnation| incarnation.0),
                running: reply.running.into_iter().map(Into::into).collect(),
                ended: reply.ended.into_iter().map(Into::into).collect(),
                has_all_ends: reply.has_all_ends,
            },
            RenewOutcome::OtherWorker => Self::OtherWorker,
            RenewOutcome::Fenced => Self::Fenced,
            RenewOutcome::Failed(failure) => Self::Failed(failure.into()),
        }
    }
}

impl From<RenewOutcomeWire> for RenewOutcome {
    fn from(wire: RenewOutcomeWire) -> Self {
        match wire {
            RenewOutcomeWire::Answered {
                clock_ms,
                incarnation,
                running,
                ended,
                has_all_ends,
            } => Self::Answered(RenewReply {
                clock: WorkerTime(clock_ms),
                incarnation: incarnation.map(WorkerIncarnation),
                running: running.into_iter().map(Into::into).collect(),
                ended: ended.into_iter().map(Into::into).collect(),
                has_all_ends,
            }),
            RenewOutcomeWire::OtherWorker => Self::OtherWorker,
            RenewOutcomeWire::Fenced => Self::Fenced,
            RenewOutcomeWire::Failed(failure) => Self::Failed(failure.into()),
        }
    }
}

impl From<RunReport> for RunningWire {
    fn from(report: RunReport) -> Self {
        Self {
            task: report.task.into(),
            run: report.run,
            checkpoint: report.checkpoint,
            percent: report.percent,
            tail_latency: report.tail_latency,
        }
    }
}

impl From<RunningWire> for RunReport {
    fn from(wire: RunningWire) -> Self {
        Self {
            task: wire.task.into(),
            run: wire.run,
            checkpoint: wire.checkpoint,
            percent: wire.percent,
            tail_latency: wire.tail_latency,
        }
    }
}

impl From<RunEnd> for EndedWire {
    fn from(end: RunEnd) -> Self {
        Self {
            number: end.number,
            task: end.task.into(),
            run: end.run,
            kind: end.kind.into(),
            checkpoint: end.checkpoint,
        }
    }
}

impl From<EndedWire> for RunEnd {
    fn from(wire: EndedWire) -> Self {
        Self {
            number: wire.number,
            task: wire.task.into(),
            run: wire.run,
            kind: wire.kind.into(),
            checkpoint: wire.checkpoint,
        }
    }
}

impl From<StartAnswer> for StartAnswerWire {
    fn from(answer: StartAnswer) -> Self {
        Self {
            reply: answer.reply.into(),
            process: answer.process.map(|process| process.0),
        }
    }
}

impl From<StartAnswerWire> for StartAnswer {
    fn from(wire: StartAnswerWire) -> Self {
        Self {
            reply: wire.reply.into(),
            process: wire.process.map(WorkerIncarnation),
        }
    }
}

impl From<StartReply> for StartReplyWire {
    fn from(reply: StartReply) -> Self {
        match reply {
            StartReply::Started => Self::Started,
            StartReply::Fenced => Self::Fenced,
            StartReply::Outdated => Self::Outdated,
            StartReply::Late => Self::Late,
            StartReply::NoRoom => Self::NoRoom,
            StartReply::NoTicket => Self::NoTicket,
            StartReply::Unhealthy => Self::Unhealthy,
            StartReply::OtherLife => Self::OtherLife,
            StartReply::Rejected => Self::Rejected,
        }
    }
}

impl From<StartReplyWire> for StartReply {
    fn from(wire: StartReplyWire) -> Self {
        match wire {
            StartReplyWire::Started => Self::Started,
            StartReplyWire::Fenced => Self::Fenced,
            StartReplyWire::Outdated => Self::Outdated,
            StartReplyWire::Late => Self::Late,
            StartReplyWire::NoRoom => Self::NoRoom,
            StartReplyWire::NoTicket => Self::NoTicket,
            StartReplyWire::Unhealthy => Self::Unhealthy,
            StartReplyWire::OtherLife => Self::OtherLife,
            StartReplyWire::Rejected => Self::Rejected,
        }
    }
}

impl From<WorkerFailure> for FailureWire {
    fn from(failure: WorkerFailure) -> Self {
        match failure {
            WorkerFailure::NotSent => Self::NotSent,
            WorkerFailure::Unanswered => Self::Unanswered,
        }
    }
}

impl From<FailureWire> for WorkerFailure {
    fn from(wire: FailureWire) -> Self {
        match wire {
            FailureWire::NotSent => Self::NotSent,
            FailureWire::Unanswered => Self::Unanswered,
        }
    }
}

impl From<EndKind> for EndKindWire {
    fn from(kind: EndKind) -> Self {
        match kind {
            EndKind::Done => Self::Done,
            EndKind::Failed => Self::Failed,
            EndKind::Stopped => Self::Stopped,
            EndKind::Lapsed => Self::Lapsed,
            EndKind::Broken => Self::Broken,
            EndKind::Alone => Self::Alone,
        }
    }
}

impl From<EndKindWire> for EndKind {
    fn from(wire: EndKindWire) -> Self {
        match wire {
            EndKindWire::Done => Self::Done,
            EndKindWire::Failed => Self::Failed,
            EndKindWire::Stopped => Self::Stopped,
            EndKindWire::Lapsed => Self::Lapsed,
            EndKindWire::Broken => Self::Broken,
            EndKindWire::Alone => Self::Alone,
        }
    }
}
