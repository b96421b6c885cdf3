//! What the planner tells of its decisions.

use std::collections::BTreeMap;
use std::time::Duration;

use super::placement::PlacementRefusal;
use crate::job::{JobId, JobPhase, QueueName, TaskKey, WorkerId};

/// A decision that changes what the planner believes, with the inputs that decided.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlannerNote {
    /// Tasks of a step got workers.
    StepPlaced(PlacementNote),
    /// Tasks of a step began to wait, since no worker takes them: the workers by their reasons.
    StepWaits(PlacementNote, BTreeMap<PlacementRefusal, u32>),
    /// A run ended in another way than with success.
    RunLost(LostRun),
    /// A job came to its end.
    JobEnded(JobSummary),
    /// A worker gets no new tasks for a while.
    WorkerPaused(WorkerId),
    /// A worker's lease ran out without an answer.
    WorkerLapsed(WorkerId),
    /// A worker started another life.
    WorkerReborn(WorkerId),
}

/// What became of the tasks of a step that could start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementNote {
    /// The job.
    pub job: JobId,
    /// The number of the occurrence.
    pub occurrence: u32,
    /// The number of the step.
    pub step: u32,
    /// The tasks that got workers.
    pub placed: usize,
    /// The tasks that wait.
    pub waiting: usize,
    /// The time since the job was handed in.
    pub age: Duration,
    /// The time until the step has to start for the job to be in time, in milliseconds; below zero
    /// if that is over.
    pub slack_ms: i64,
}

/// A run that ended in another way than with success.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LostRun {
    /// The task.
    pub task: TaskKey,
    /// The number of the run.
    pub run: u32,
    /// Where it was placed.
    pub worker: WorkerId,
    /// Why it ended.
    pub reason: &'static str,
}

/// How a job came to its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobSummary {
    /// The job.
    pub job: JobId,
    /// Its queue.
    pub queue: QueueName,
    /// Its last phase.
    pub phase: JobPhase,
    /// The time since it was handed in.
    pub age: Duration,
    /// The time that it may take to be in time, as long as its queue is known.
    pub allowed: Option<Duration>,
    /// The time until its first task got a worker, if that was under this planner.
    pub first_placed: Option<Duration>,
    /// The runs under this planner that ended without success, by reason.
    pub lost_runs: BTreeMap<&'static str, u32>,
}
