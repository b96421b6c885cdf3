//! What the scheduler and workers say to each other.

use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;
use std::time::Duration;

use smol_str::SmolStr;

use super::clock::WorkerTime;
use super::listing::WorkerLife;
use crate::job::{StepKey, TaskKey, WorkerId};

/// The token by which a worker refuses the orders of an earlier scheduler.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FenceToken(pub u64);

impl Display for FenceToken {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        Display::fmt(&self.0, f)
    }
}

/// A call to one worker.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerCall<T> {
    /// The worker.
    pub worker: WorkerId,
    /// Where the worker takes calls.
    pub address: SocketAddr,
    /// The token of the call.
    pub token: FenceToken,
    /// What the call says.
    pub body: T,
}

/// The order to start a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartOrder {
    /// The task.
    pub task: TaskKey,
    /// The number of the run.
    pub run: u32,
    /// The client's text.
    pub payload: SmolStr,
    /// The point of the worker's clock until which its tasks may run.
    pub deadline: WorkerTime,
    /// The progress to resume from.
    pub checkpoint: Option<SmolStr>,
    /// The leave to start there, where the queue asks for one.
    pub ticket: Option<SmolStr>,
}

/// The question which workers may run a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdviceRequest {
    /// The step.
    pub step: StepKey,
    /// The workers that are asked about.
    pub workers: Vec<WorkerId>,
}

/// The workers that may run a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdviceReply {
    /// The workers, with the ticket that each asks for.
    pub tickets: Vec<(WorkerId, SmolStr)>,
    /// The time for which the tickets hold.
    pub validity: Duration,
}

/// The order to stop a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopOrder {
    /// The task.
    pub task: TaskKey,
    /// The number of the run.
    pub run: u32,
}

/// The order to slow a run down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PaceOrder {
    /// The task.
    pub task: TaskKey,
    /// The number of the run.
    pub run: u32,
    /// The share of its speed at which the run goes on, 0 to 100.
    pub percent: u32,
}

/// The renewal of a worker's lease, which reads the worker's runs as well.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RenewRequest {
    /// The newest end that is stored; the worker forgets it and those before it.
    pub last_stored_end: u64,
    /// The point of the worker's clock until which its tasks may run, if it is known.
    pub deadline: Option<WorkerTime>,
    /// How long the worker may wait for a run to end.
    pub wait: Duration,
}

/// What became of the order to start a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartReply {
    /// The run is there.
    Started,
    /// The worker has seen a higher token.
    Fenced,
    /// The worker has already ended this run or a later one.
    Outdated,
    /// The deadline had passed when the order arrived.
    Late,
    /// The worker has no room.
    NoRoom,
    /// The ticket is missing or doesn't hold any more.
    NoTicket,
    /// The worker is unhealthy and has done nothing.
    Unhealthy,
    /// The order is for another life of the worker.
    OtherLife,
    /// The worker can't do what the order says.
    Rejected,
}

/// Why a call to a worker has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerFailure {
    /// No connection could be made, so that nothing was sent.
    NotSent,
    /// The call may have been carried out, or may still be.
    Unanswered,
}

/// The answer to a renewal.
#[derive(Debug, Clone, PartialEq)]
pub struct RenewReply {
    /// The worker's clock.
    pub clock: WorkerTime,
    /// The worker's life, where the answer names it.
    pub life: Option<WorkerLife>,
    /// What runs.
    pub running: Vec<RunReport>,
    /// The ends that weren't forgotten yet, oldest first.
    pub ended: Vec<RunEnd>,
}

/// A run that is at work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunReport {
    /// The task.
    pub task: TaskKey,
    /// The number of the run.
    pub run: u32,
    /// The newest saved progress.
    pub checkpoint: Option<SmolStr>,
    /// How much of the task is done, 0 to 100.
    pub percent: u32,
    /// The tail latency of a task with a latency target, over the last half second.
    pub tail_latency: Duration,
}

/// A run that has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunEnd {
    /// The number of the end within the worker's life, counted from 1.
    pub number: u64,
    /// The task.
    pub task: TaskKey,
    /// The number of the run.
    pub run: u32,
    /// How the run ended.
    pub kind: EndKind,
    /// The newest saved progress.
    pub checkpoint: Option<SmolStr>,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndKind {
    /// With success.
    Done,
    /// Through its own fault or the worker's.
    Failed,
    /// By an order.
    Stopped,
    /// Since the lease ran out.
    Lapsed,
    /// Since another member of its gang ended.
    Broken,
    /// Since the other members of its gang didn't come.
    Alone,
}
