//! What the planner takes and hands out.

use geraniumshed_model::prelude::TimePoint;

use super::interference::InterferenceImage;
use super::note::PlannerNote;
use crate::job::{JobId, JobImage, JobPhase};
use crate::worker::{
    AdviceRequest, PaceOrder, RenewMark, RenewRequest, StartOrder, StopOrder, WorkerCall,
};

/// The time of an event by both clocks.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlannerMoment {
    /// The point of the monotonic clock.
    pub point: TimePoint,
    /// The time of day, in milliseconds of Unix time.
    pub unix_ms: u64,
}

/// A call to a worker that is due.
#[derive(Debug, Clone, PartialEq)]
pub enum PlannerAction {
    /// Starts a task.
    Start(WorkerCall<StartOrder>),
    /// Stops a run.
    Stop(WorkerCall<StopOrder>),
    /// Changes the speed of a run.
    Pace(WorkerCall<PaceOrder>),
    /// Renews a lease and reads the worker's runs.
    Renew(WorkerCall<RenewRequest>, RenewMark),
    /// Asks which workers may run a step.
    Advise(AdviceRequest),
    /// Tells of a decision that the log should explain.
    Note(PlannerNote),
}

/// A change of what the store keeps.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreChange {
    /// How far a job is.
    Progress(JobId, JobImage),
    /// The job is forgotten.
    Forget(JobId),
    /// What was learned of interference.
    Interference(InterferenceImage),
}

/// Changes that are stored together.
#[derive(Debug, Clone, PartialEq)]
pub struct StoreBatch {
    /// The number of the batch; batches are stored in order.
    pub number: u64,
    /// The changes.
    pub changes: Vec<StoreChange>,
}

/// What became of a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelOutcome {
    /// There is no such job.
    Unknown,
    /// There is no such job; one that arrives later stays cancelled once the batch with this number
    /// is stored.
    WithdrawnBy(u64),
    /// The job has ended before.
    AlreadyEnded,
    /// The cancellation holds once the batch with this number is stored.
    StoredBy(u64),
}

/// What a client may be told of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobStatus {
    /// There is no such job.
    Unknown,
    /// The job is known.
    Known(JobPhase),
}
