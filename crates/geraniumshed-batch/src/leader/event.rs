//! The events and queries that the leader task handles.

use std::collections::BTreeMap;

use geraniumshed_core::assignment::{CancelOutcome, JobStatus};
use geraniumshed_core::job::{JobId, JobRequest, QueueName, QueuePolicy, TaskKey, WorkerId};
use geraniumshed_core::site::ZoneEvacuations;
use geraniumshed_core::worker::{
    AdviceReply, AdviceRequest, SentRenewal, StartAnswer, WorkerChange, WorkerFailure,
    WorkerListing,
};
use geraniumshed_model::prelude::TimePoint;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::clock::ReadMark;
use crate::site::RenewOutcome;

/// An event that the leader task handles.
#[derive(Debug)]
pub(super) enum LeaderEvent {
    /// Jobs were submitted.
    Submitted(Vec<(JobId, JobRequest)>),
    /// All jobs that were stored before this moment have been passed on.
    RequestsRead(ReadMark),
    /// All registered workers were read.
    WorkersListed(Vec<WorkerListing>),
    /// Registrations of workers have changed.
    WorkersChanged(Vec<WorkerChange>),
    /// The order to start a task was answered.
    StartAnswered(WorkerId, TaskKey, u32, Result<StartAnswer, WorkerFailure>),
    /// The order to stop a run was answered.
    StopAnswered(WorkerId, Result<(), WorkerFailure>),
    /// A renewal was answered.
    RenewAnswered(WorkerId, SentRenewal, RenewOutcome),
    /// A request for advice was answered, or got no answer.
    AdviceAnswered(AdviceRequest, Option<AdviceReply>),
    /// All batches up to this number are stored.
    BatchStored(u64),
    /// A later leader has taken over.
    Deposed,
    /// Another node is better placed to lead: it reaches the store while this one doesn't, or it
    /// runs on a much larger VM.
    Yield,
    /// No successor had taken over at this time.
    Unreplaced(TimePoint),
    /// The queues in force have changed.
    QueuesChanged(BTreeMap<QueueName, QueuePolicy>),
    /// The evacuated zones were read at a later offset.
    EvacuationsChanged(ZoneEvacuations),
    /// A client asks for something.
    Query(LeaderQuery),
    /// The process is about to stop.
    Resign,
}

/// An event with the moment at which it was sent.
#[derive(Debug)]
pub(super) struct QueuedEvent {
    pub(super) event: LeaderEvent,
    pub(super) sent_at: Instant,
}

/// A client's call that the leader answers.
#[derive(Debug)]
pub(crate) enum LeaderQuery {
    /// Returns the phase of a job.
    Status(JobId, oneshot::Sender<JobStatus>),
    /// Cancels a job; answered once the cancellation is stored.
    Cancel(JobId, oneshot::Sender<CancelOutcome>),
    /// Counts the jobs of a queue of which no task has started.
    Pending(QueueName, oneshot::Sender<usize>),
}

/// Sends events to the leader task of this process.
#[derive(Debug, Clone)]
pub struct LeaderHandle {
    sender: mpsc::UnboundedSender<QueuedEvent>,
}

impl LeaderHandle {
    /// Creates a handle and the receiver of its events.
    pub(super) fn open() -> (Self, mpsc::UnboundedReceiver<QueuedEvent>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Self { sender }, receiver)
    }

    /// Sends an event and returns whether the leader task still runs.
    pub(super) fn send(&self, event: LeaderEvent) -> bool {
        let sent_at = Instant::now();
        self.sender.send(QueuedEvent { event, sent_at }).is_ok()
    }

    /// Sends a client's query. If the leader task has ended, the query and its reply channel are
    /// dropped.
    pub(crate) fn query(&self, query: LeaderQuery) {
        if !self.send(LeaderEvent::Query(query)) {
            log::debug!("dropped a query, since the leader task has ended");
        }
    }

    /// Replaces the queues that the planner has in force.
    pub(crate) fn replace_queues(&self, queues: BTreeMap<QueueName, QueuePolicy>) {
        if !self.send(LeaderEvent::QueuesChanged(queues)) {
            log::debug!("dropped a configuration, since the leader task has ended");
        }
    }

    /// Replaces the evacuated zones that the planner knows, unless they were read earlier.
    pub(crate) fn replace_evacuations(&self, evacuations: ZoneEvacuations) {
        if !self.send(LeaderEvent::EvacuationsChanged(evacuations)) {
            log::debug!("dropped the evacuated zones, since the leader task has ended");
        }
    }

    /// Asks the leader task to end, so that a successor is elected.
    pub(crate) fn resign(&self) {
        if !self.send(LeaderEvent::Resign) {
            log::debug!("the leader task ended before it was asked to resign");
        }
    }

    /// Returns whether the leader task has ended.
    pub(super) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}
