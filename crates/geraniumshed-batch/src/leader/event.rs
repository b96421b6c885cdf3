//! What reaches the leader's task.

use std::collections::BTreeMap;

use geraniumshed_core::assignment::{CancelOutcome, JobStatus};
use geraniumshed_core::job::{JobId, JobRequest, QueueName, QueuePolicy, TaskKey, WorkerId};
use geraniumshed_core::worker::{
    AdviceReply, AdviceRequest, RenewMark, StartReply, WorkerChange, WorkerFailure, WorkerListing,
};
use tokio::sync::{mpsc, oneshot};

use crate::site::RenewOutcome;

/// Something that happened.
#[derive(Debug)]
pub(super) enum LeaderEvent {
    /// Jobs were handed in.
    Submitted(Vec<(JobId, JobRequest)>),
    /// The registered workers were read.
    Listed(Vec<WorkerListing>),
    /// Registrations have changed.
    WorkersChanged(Vec<WorkerChange>),
    /// The order to start a task was answered.
    StartAnswered(WorkerId, TaskKey, u32, Result<StartReply, WorkerFailure>),
    /// The order to stop a run was answered.
    StopAnswered(WorkerId, Result<(), WorkerFailure>),
    /// A renewal was answered.
    RenewAnswered(WorkerId, RenewMark, RenewOutcome),
    /// A call for advice was answered, or got no answer.
    Advised(AdviceRequest, Option<AdviceReply>),
    /// All batches up to a number are stored.
    Stored(u64),
    /// A later leader has taken over.
    Deposed,
    /// The store has been silent for too long, and another node reaches it.
    Outpaced,
    /// The queues in force have changed.
    Queues(BTreeMap<QueueName, QueuePolicy>),
    /// A client asks.
    Query(LeaderQuery),
    /// The process is to stop.
    Resign,
}

/// What a client asks of the leader.
#[derive(Debug)]
pub(crate) enum LeaderQuery {
    /// How far a job is.
    Status(JobId, oneshot::Sender<JobStatus>),
    /// To cancel a job; answered once that is stored.
    Cancel(JobId, oneshot::Sender<CancelOutcome>),
    /// How many jobs of a queue wait for their first task.
    Pending(QueueName, oneshot::Sender<usize>),
}

/// Reaches the leader's task from this process.
#[derive(Debug, Clone)]
pub struct LeaderHandle {
    sender: mpsc::UnboundedSender<LeaderEvent>,
}

impl LeaderHandle {
    /// Creates a handle and the end at which its events arrive.
    pub(super) fn open() -> (Self, mpsc::UnboundedReceiver<LeaderEvent>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Self { sender }, receiver)
    }

    /// Sends an event and returns whether the leader's task still runs.
    pub(super) fn send(&self, event: LeaderEvent) -> bool {
        self.sender.send(event).is_ok()
    }

    /// Asks on behalf of a client; a leader that has ended drops the query, which its sender sees.
    pub(crate) fn query(&self, query: LeaderQuery) {
        if !self.send(LeaderEvent::Query(query)) {
            log::debug!("a query came after the leader's task had ended");
        }
    }

    /// Passes on the queues in force.
    pub(crate) fn replace_queues(&self, queues: BTreeMap<QueueName, QueuePolicy>) {
        if !self.send(LeaderEvent::Queues(queues)) {
            log::debug!("a configuration came after the leader's task had ended");
        }
    }

    /// Asks the leader to end its work and name a successor.
    pub(crate) fn resign(&self) {
        if !self.send(LeaderEvent::Resign) {
            log::debug!("the leader's task had ended before it was told to");
        }
    }

    /// Tells whether the leader's task has ended.
    pub(super) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}
