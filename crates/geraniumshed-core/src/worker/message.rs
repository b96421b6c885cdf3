//! Calls from the scheduler to workers, and their replies.

use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;
use std::time::Duration;

use smol_str::SmolStr;

use super::clock::WorkerTime;
use super::listing::WorkerIncarnation;
use crate::job::{StepKey, TaskKey, WorkerId};

/// A fencing token. A worker refuses orders with a lower token than the highest one that it has
/// seen, and thus those of an earlier scheduler.
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
    /// The worker that is called.
    pub worker: WorkerId,
    /// The address at which the worker accepts calls.
    pub address: SocketAddr,
    /// The only process of the worker that may carry the call out, or `None` if any may, which holds for calls
    /// without an effect that outlasts the answer.
    ///
    /// A later process would take the deadline for one on its own clock and the number of a stored end for one
    /// of its own, and it knows no fencing token.
    pub process: Option<WorkerIncarnation>,
    /// The fencing token of the call.
    pub token: FenceToken,
    /// The order or request.
    pub body: T,
}

impl<T> WorkerCall<T> {
    /// Returns the call with another order or request.
    pub fn with_body<U>(self, body: U) -> WorkerCall<U> {
        WorkerCall {
            worker: self.worker,
            address: self.address,
            process: self.process,
            token: self.token,
            body,
        }
    }

    /// Returns the call without its order or request, and that.
    pub fn split(self) -> (WorkerCall<()>, T) {
        let call = WorkerCall {
            worker: self.worker,
            address: self.address,
            process: self.process,
            token: self.token,
            body: (),
        };
        (call, self.body)
    }
}

/// The order to start a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartOrder {
    /// The task.
    pub task: TaskKey,
    /// The number of the run.
    pub run: u32,
    /// The client's opaque text, taken from the job.
    pub payload: SmolStr,
    /// The lease deadline on the worker's clock, after which the worker stops all of its runs.
    pub deadline: WorkerTime,
    /// The checkpoint to resume from.
    pub checkpoint: Option<SmolStr>,
    /// The ticket that permits the start on this worker, if the queue requires advice.
    pub ticket: Option<SmolStr>,
}

/// A request for the workers that may run a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdviceRequest {
    /// The step to place.
    pub step: StepKey,
    /// The candidate workers.
    pub workers: Vec<WorkerId>,
}

/// The workers that may run a step, as an answer to `AdviceRequest`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdviceReply {
    /// The permitted workers, each with the ticket that a start there has to carry.
    pub tickets: Vec<(WorkerId, SmolStr)>,
    /// The time for which the tickets are valid.
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

/// The order to change the speed of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PaceOrder {
    /// The task.
    pub task: TaskKey,
    /// The number of the run.
    pub run: u32,
    /// The speed at which the run continues, in percent of full speed, 0 to 100.
    pub percent: u32,
}

/// The renewal of a worker's lease, which also requests a report of the worker's runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RenewRequest {
    /// The number of the newest run end that is stored. The worker drops it and all earlier ends.
    pub last_stored_end: u64,
    /// The new lease deadline on the worker's clock, or `None` to leave the lease as it is.
    pub deadline: Option<WorkerTime>,
    /// The maximum time that the worker may delay its answer until a run ends (long poll).
    pub wait: Duration,
}

impl RenewRequest {
    /// Returns whether the renewal changes anything at the worker but its fencing token.
    pub fn has_effect(&self) -> bool {
        self.deadline.is_some() || self.last_stored_end > 0
    }

    /// Returns a request that only asks for the worker's process and runs.
    pub fn reading() -> Self {
        Self {
            last_stored_end: 0,
            deadline: None,
            wait: Duration::ZERO,
        }
    }
}

/// The worker's reply to the order to start a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartReply {
    /// The run has started, or had been started by an earlier copy of the order.
    Started,
    /// The worker has seen a higher fencing token.
    Fenced,
    /// This run or a later one of the task has already ended on the worker.
    Outdated,
    /// The lease deadline had passed when the order arrived.
    Late,
    /// The worker lacks free resources.
    NoRoom,
    /// The ticket is missing or has expired.
    NoTicket,
    /// The worker is unhealthy and hasn't started the run.
    Unhealthy,
    /// The order is for an earlier process of the worker.
    OtherLife,
    /// The worker can't execute the order.
    Rejected,
}

/// The worker's answer to the order to start a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartAnswer {
    /// The reply.
    pub reply: StartReply,
    /// The process that has answered, if that is known.
    pub process: Option<WorkerIncarnation>,
}

impl From<StartReply> for StartAnswer {
    fn from(reply: StartReply) -> Self {
        Self {
            reply,
            process: None,
        }
    }
}

/// The reason why a call to a worker got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerFailure {
    /// No connection could be made, so that nothing was sent.
    NotSent,
    /// No answer came; the worker may have executed the call or may still do so.
    Unanswered,
}

/// The worker's answer to a renewal.
#[derive(Debug, Clone, PartialEq)]
pub struct RenewReply {
    /// The reading of the worker's clock.
    pub clock: WorkerTime,
    /// The worker process, if the answer contains its start time.
    pub incarnation: Option<WorkerIncarnation>,
    /// The runs in progress.
    pub running: Vec<RunReport>,
    /// The run ends that the worker hasn't dropped yet, oldest first.
    pub ended: Vec<RunEnd>,
    /// Whether these are all such ends. A worker lists a limited number at a time, and later ones only
    /// when it has dropped those.
    pub has_all_ends: bool,
}

impl RenewReply {
    /// Returns whether the worker reports a run of a task as in progress.
    pub fn lists(&self, task: TaskKey, run: u32) -> bool {
        let mut reports = self.running.iter();
        reports.any(|one| one.task == task && one.run == run)
    }

    /// Returns whether the worker reports the end of a run of a task.
    pub fn lists_end(&self, task: TaskKey, run: u32) -> bool {
        let mut ends = self.ended.iter();
        ends.any(|one| one.task == task && one.run == run)
    }

    /// Returns the number of the newest end in the answer, or 0 if there is none.
    pub fn last_end(&self) -> u64 {
        let numbers = self.ended.iter().map(|end| end.number);
        numbers.max().unwrap_or(0)
    }
}

/// A run in progress, as its worker reports it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunReport {
    /// The task.
    pub task: TaskKey,
    /// The number of the run.
    pub run: u32,
    /// The newest checkpoint that the run saved.
    pub checkpoint: Option<SmolStr>,
    /// The progress of the task in percent, 0 to 100.
    pub percent: u32,
    /// The tail latency of a task with a latency target, over the last half second.
    pub tail_latency: Duration,
}

/// A run that has ended, as its worker reports it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunEnd {
    /// The sequence number of the end within the worker process, counted from 1.
    pub number: u64,
    /// The task.
    pub task: TaskKey,
    /// The number of the run.
    pub run: u32,
    /// How the run ended.
    pub kind: EndKind,
    /// The newest checkpoint that the run saved.
    pub checkpoint: Option<SmolStr>,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndKind {
    /// The run succeeded.
    Done,
    /// The run failed, by its own fault or the worker's.
    Failed,
    /// The scheduler ordered the stop.
    Stopped,
    /// The worker's lease expired.
    Lapsed,
    /// Another member of the gang ended.
    Broken,
    /// The other members of the gang didn't start in time.
    Alone,
}
