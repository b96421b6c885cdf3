//! The inputs and outputs of the planner.

use geraniumshed_model::prelude::TimePoint;

use super::event::PlannerEvent;
use super::interference::InterferenceSnapshot;
use super::lease_ledger::LeaseSnapshot;
use super::track_ledger::TrackSnapshot;
use super::wait_ledger::WaitSnapshot;
use crate::job::{JobId, JobPhase, QueueName, QueuePolicy, StoredJob, TaskCrashes};
use crate::worker::{
    AdviceRequest, PaceOrder, RenewRequest, SentRenewal, StartOrder, StopOrder, WorkerCall,
};

/// The time of an event on the monotonic clock and on the system clock.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlannerTime {
    /// The time on the monotonic clock.
    pub point: TimePoint,
    /// The time on the system clock, in milliseconds of Unix time.
    pub unix_ms: u64,
}

/// An action that the planner's owner has to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum PlannerAction {
    /// Starts a task.
    Start(WorkerCall<StartOrder>),
    /// Stops a run.
    Stop(WorkerCall<StopOrder>),
    /// Changes the speed of a run.
    Pace(WorkerCall<PaceOrder>),
    /// Renews a worker's lease and reads the state of its runs.
    Renew(WorkerCall<RenewRequest>, SentRenewal),
    /// Asks which workers may run a step.
    Advise(AdviceRequest),
    /// Reports a decision for logs and metrics.
    Event(PlannerEvent),
}

/// A change to the stored state.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreChange {
    /// The new state of a job.
    Progress(JobId, StoredJob),
    /// The job is removed.
    Forget(JobId),
    /// The new state of the interference model.
    Interference(InterferenceSnapshot),
    /// The leases of silent workers.
    Leases(LeaseSnapshot),
    /// The waits of long-running tasks and the runs without progress.
    Waits(WaitSnapshot),
    /// The bad track records of workers.
    Tracks(TrackSnapshot),
    /// The crashes under a job's tasks. The record is removed if there are none.
    Crashes(JobId, Vec<TaskCrashes>),
    /// The policy of a queue with open jobs. The record is removed if there is none.
    Queue(QueueName, Option<QueuePolicy>),
}

/// Changes that are stored together.
#[derive(Debug, Clone, PartialEq)]
pub struct StoreBatch {
    /// The number of the batch. Batches are stored in the order of their numbers.
    pub number: u64,
    /// The changes.
    pub changes: Vec<StoreChange>,
}

/// The outcome of a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelOutcome {
    /// There is no such job, and an earlier cancellation of it is stored.
    Unknown,
    /// There is no such job. Once the batch with this number is stored, a job that arrives later
    /// under this id is cancelled.
    WithdrawnBy(u64),
    /// The job had already ended.
    AlreadyEnded,
    /// The cancellation takes effect once the batch with this number is stored.
    StoredBy(u64),
}

/// The status of a job that clients may see.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobStatus {
    /// There is no such job.
    Unknown,
    /// The job exists and is in this phase.
    Known(JobPhase),
}
