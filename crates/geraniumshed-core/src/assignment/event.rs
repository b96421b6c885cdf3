//! Events about the planner's decisions, for logs and metrics.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use smol_str::SmolStr;

use super::locality_wait::LocalityOutcome;
use super::placement_query::PlacementRefusal;
use super::rank::StepClass;
use super::worker_loss::WorkerRunLoss;
use crate::job::{
    CrashHistory, JobId, JobPhase, QueueName, QueuePolicy, ServiceName, TaskKey, WorkerId,
};
use crate::worker::{EndKind, FenceToken, WorkerIncarnation, WorkerStanding, WorkerTime};

/// A decision of the planner, with the inputs that led to it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlannerEvent {
    /// Tasks of a step were placed on workers.
    StepPlaced(PlacementSummary),
    /// Tasks of a step began to wait because no worker can take them. Counts the workers by the
    /// reason why they can't.
    StepWaiting(PlacementSummary, BTreeMap<PlacementRefusal, u32>),
    /// Tasks of a step wait for near places although others are free.
    LocalityWaitBegan(LocalityWait),
    /// They wait no longer.
    LocalityWaitEnded(EndedLocalityWait),
    /// Tasks of a service and a priority wait for capacity, which is divided among them from now on.
    PressureBegan(PressureGroup),
    /// Tasks of a service and a priority no longer wait for capacity.
    PressureEnded(EndedPressure),
    /// A worker confirmed the start of a run.
    RunStarted(StartDelay),
    /// A renewal was sent to a worker with runs, this long after the answer to the previous one. Ends
    /// of runs aren't learned in between.
    RenewalSent(Duration),
    /// A run ended without success.
    RunLost(LostRun),
    /// A worker lists a run, or the end of a run, that is not the newest run of its task there.
    RunUnexpected(UnexpectedRun),
    /// A job ended.
    JobEnded(JobSummary),
    /// A worker is in quarantine and gets no new tasks for a while.
    WorkerQuarantined(WorkerId),
    /// A worker is slow, and gets new tasks only if others have no capacity.
    WorkerSlow(SlowWorker),
    /// A worker isn't known to be slow any longer.
    WorkerUsual(UsualWorker),
    /// A run is being stopped, so that its task is placed on another worker.
    RunMoved(MovedRun),
    /// A worker with runs left a call unanswered for the first time since its last answer.
    WorkerSilent(SilentWorker),
    /// A worker that was silent answered a renewal.
    WorkerAnswering(AnsweringWorker),
    /// A worker with runs is draining, or isn't registered.
    WorkerDeparting(DepartingWorker),
    /// A worker's runs were given up because its lease expired or another worker replaced it.
    WorkerLost(LostWorker),
    /// A worker restarted and lost its runs.
    WorkerRestarted(NewProcess),
    /// A worker was seen to have a later process than the known one.
    RestartSeen(RestartedWorker),
    /// A worker's answer leaves out some run ends, unlike the one before.
    EndsUnlisted(UnlistedEnds),
    /// A worker's process has dropped run ends that this planner never learned of.
    EndsSkipped(SkippedEnds),
    /// A worker's answer lacks runs that it has to show, so that they are given up.
    RunsMissing(MissingRuns),
    /// A worker has answered this planner for the first time.
    WorkerAdopted(AdoptedWorker),
    /// A run was placed as a trial, since workers crashed under earlier runs of its task.
    TrialBegun(TaskTrial),
    /// A task is given up with its job, since workers crash under its runs.
    TaskGivenUp(TaskTrial),
    /// A long-running run is stopped in an evacuated zone, and a worker elsewhere is held for its task.
    ZoneMoveBegun(ZoneMove),
    /// A zone is evacuated that has no registered worker.
    ZoneUnknown(SmolStr),
}

/// The move of a long-running task out of an evacuated zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneMove {
    /// The task.
    pub task: TaskKey,
    /// The worker in the evacuated zone.
    pub worker: WorkerId,
    /// The worker that is held for the task.
    pub target: WorkerId,
}

/// The outcome of placing the startable tasks of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementSummary {
    /// The job.
    pub job: JobId,
    /// The number of the job's occurrence.
    pub occurrence: u32,
    /// The number of the step.
    pub step: u32,
    /// The number of tasks that were placed on workers.
    pub placed: usize,
    /// The number of tasks that still wait for a worker.
    pub waiting: usize,
    /// The priority of the job's queue.
    pub priority: u32,
    /// The class in which the step was placed.
    pub class: StepClass,
    /// The time since the step could first start.
    pub ready_for: Duration,
    /// The time since the job was submitted.
    pub age: Duration,
    /// The time until the latest start of the step with which the job meets its objective, in
    /// milliseconds. Negative if that start has passed.
    pub slack_ms: i64,
}

/// A step that begins to wait for places near its data, or for a rack with room for all its tasks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocalityWait {
    /// The job.
    pub job: JobId,
    /// The number of the job's occurrence.
    pub occurrence: u32,
    /// The number of the step.
    pub step: u32,
    /// The rack of its data; `None` if any rack will do that has room for all tasks.
    pub rack: Option<SmolStr>,
    /// The expected wait.
    pub expected: Duration,
    /// The run time that a near place saves.
    pub saved: Duration,
}

/// A step that no longer waits for near places.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedLocalityWait {
    /// The job.
    pub job: JobId,
    /// The number of the job's occurrence.
    pub occurrence: u32,
    /// The number of the step.
    pub step: u32,
    /// The rack of its data; `None` if any rack will do that has room for all tasks.
    pub rack: Option<SmolStr>,
    /// How long the step has waited.
    pub waited: Duration,
    /// Why it waits no longer.
    pub outcome: LocalityOutcome,
}

/// A service and a priority whose tasks compete for the same capacity.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct PressureGroup {
    /// The priority of the queues.
    pub priority: u32,
    /// The service of the queues.
    pub service: ServiceName,
}

impl PressureGroup {
    /// Returns the group of a queue.
    pub(super) fn of(policy: &QueuePolicy) -> Self {
        Self {
            priority: policy.priority,
            service: policy.service.clone(),
        }
    }

    /// Returns whether a queue is part of the group.
    pub(super) fn is_of(&self, policy: &QueuePolicy) -> bool {
        self.priority == policy.priority && self.service == policy.service
    }
}

/// A wait for capacity that is over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedPressure {
    /// The service and the priority of the tasks.
    pub group: PressureGroup,
    /// How long tasks waited.
    pub lasted: Duration,
}

/// How long the stages of a run's start took.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartDelay {
    /// The priority of the job's queue.
    pub priority: u32,
    /// The time from the placement until it was stored and the order was sent.
    pub stored: Duration,
    /// The time from then until the worker's confirmation was handled.
    pub confirmed: Duration,
}

/// A worker whose runs are slow compared with their peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlowWorker {
    /// The worker.
    pub worker: WorkerId,
    /// Its speed relative to the peers of its runs, in percent.
    pub speed_percent: u32,
    /// The number of its runs.
    pub runs: usize,
}

/// A worker that isn't known to be slow any longer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UsualWorker {
    /// The worker.
    pub worker: WorkerId,
    /// The time for which it counted as slow.
    pub slow_for: Duration,
    /// The number of its runs.
    pub runs: usize,
}

/// Why a run is moved to another worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum MoveCause {
    /// Its worker is slow.
    Slow,
    /// Its worker leaves before the run can end.
    Leaving,
}

impl MoveCause {
    /// Returns the name of the cause in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Slow => "slow",
            Self::Leaving => "leaving",
        }
    }
}

/// A run that is being stopped, so that its task is placed on another worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MovedRun {
    /// The task.
    pub task: TaskKey,
    /// The number of the run.
    pub run: u32,
    /// The worker of the run.
    pub worker: WorkerId,
    /// The worker that had room for the task.
    pub target: Option<WorkerId>,
    /// Why the run is moved.
    pub cause: MoveCause,
    /// The progress of the run, in percent.
    pub percent: u32,
    /// The speed of the run relative to its peers, in percent, if it was observed.
    pub speed_percent: Option<u32>,
    /// The time that the run would still take.
    pub here: Duration,
    /// The time that the task takes elsewhere, with the stop.
    pub elsewhere: Duration,
}

/// How a worker was seen to have a later process than the known one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RestartSign {
    /// Its registration names the process.
    Registration,
    /// The process has confirmed a start.
    StartAnswer,
}

/// A worker that was seen to have a later process than the known one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RestartedWorker {
    /// The worker.
    pub worker: WorkerId,
    /// How that was seen.
    pub sign: RestartSign,
    /// The number of runs that may be those of either process.
    pub runs: usize,
    /// The time until the leases of both processes have certainly expired.
    pub lease_remaining: Duration,
}

/// The later process of a worker, which has answered a renewal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NewProcess {
    /// The worker.
    pub worker: WorkerId,
    /// The process before, as far as this planner knew it.
    pub before: Option<WorkerIncarnation>,
    /// The process that has answered.
    pub process: Option<WorkerIncarnation>,
    /// What its clock showed.
    pub clock: WorkerTime,
    /// The fencing token of the renewal.
    pub token: FenceToken,
    /// The number of runs that may be those of the new process.
    pub kept: usize,
    /// The time until the process's lease has certainly expired, as it is counted now.
    pub lease_remaining: Duration,
}

/// Run ends that a worker's process has dropped although nobody told this planner of them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SkippedEnds {
    /// The worker.
    pub worker: WorkerId,
    /// The process that has answered.
    pub process: Option<WorkerIncarnation>,
    /// The number of the newest end that was processed.
    pub processed: u64,
    /// The number of the first end in the answer.
    pub listed: u64,
}

/// A worker whose answer leaves out some run ends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnlistedEnds {
    /// The worker.
    pub worker: WorkerId,
    /// The number of ends in the answer.
    pub listed: usize,
    /// The number of runs that are in progress or have ended without being listed.
    pub runs: usize,
}

/// A worker's answer that lacks runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MissingRuns {
    /// The worker.
    pub worker: WorkerId,
    /// The process that has answered.
    pub process: Option<WorkerIncarnation>,
    /// What its clock showed.
    pub clock: WorkerTime,
    /// The fencing token of the renewal.
    pub token: FenceToken,
    /// The time since the renewal was sent.
    pub asked: Duration,
    /// The number of runs and of ends in the answer.
    pub listed: usize,
    /// The number of runs that are missing.
    pub missing: usize,
}

/// A worker that has answered a planner for the first time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdoptedWorker {
    /// The worker.
    pub worker: WorkerId,
    /// The process that has answered.
    pub process: Option<WorkerIncarnation>,
    /// What its clock showed.
    pub clock: WorkerTime,
    /// The fencing token of the call.
    pub token: FenceToken,
    /// The time until its lease has certainly expired, as it is counted now.
    pub lease_remaining: Duration,
    /// The number of runs that were expected.
    pub expected: usize,
    /// The number of runs in the answer.
    pub running: usize,
    /// The number of ends in the answer.
    pub ended: usize,
}

/// A run that ended without success.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LostRun {
    /// The task.
    pub task: TaskKey,
    /// The number of the run.
    pub run: u32,
    /// The worker on which it was placed.
    pub worker: WorkerId,
    /// The reason for its end.
    pub reason: &'static str,
    /// How it was lost, if it was lost with its worker.
    pub loss: Option<WorkerRunLoss>,
}

/// A run of an open job that its worker lists, but that is not the newest run of its task there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnexpectedRun {
    /// The task.
    pub task: TaskKey,
    /// The number of the listed run.
    pub run: u32,
    /// The worker that lists it.
    pub worker: WorkerId,
    /// How it ended, or `None` if it is in progress.
    pub end: Option<EndKind>,
    /// The number of the task's newest known run, or 0 if there is none.
    pub known_run: u32,
    /// The worker on which the newest known run is placed, if it is.
    pub placed_on: Option<WorkerId>,
    /// Whether the task is known to have succeeded.
    pub is_done: bool,
}

/// A task under which workers have crashed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskTrial {
    /// The task.
    pub task: TaskKey,
    /// The worker of the run that is on trial, or of the last one that was lost.
    pub worker: WorkerId,
    /// The crashes under the task's runs so far.
    pub crashes: CrashHistory,
}

/// A worker with runs that left a call unanswered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SilentWorker {
    /// The worker.
    pub worker: WorkerId,
    /// The number of its runs.
    pub runs: usize,
    /// The time since it last answered a renewal, or `None` if it never answered this planner.
    pub last_heard: Option<Duration>,
    /// The time until its lease has certainly expired.
    pub lease_remaining: Duration,
    /// Whether the end of the lease is the one assumed at the takeover, because the worker hasn't
    /// answered this planner yet.
    pub is_lease_inherited: bool,
}

/// A worker that answered a renewal after it was silent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnsweringWorker {
    /// The worker.
    pub worker: WorkerId,
    /// The number of its runs.
    pub runs: usize,
    /// The time since it was reported as silent.
    pub silent: Duration,
}

/// A worker with runs that is draining or isn't registered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DepartingWorker {
    /// The worker.
    pub worker: WorkerId,
    /// How it is registered.
    pub standing: WorkerStanding,
    /// The number of its runs.
    pub runs: usize,
    /// The time until its lease has certainly expired, unless it is renewed.
    pub lease_remaining: Duration,
    /// Whether the end of the lease is the one assumed at the takeover, because the worker hasn't
    /// answered this planner yet.
    pub is_lease_inherited: bool,
}

/// A worker whose runs were given up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LostWorker {
    /// The worker.
    pub worker: WorkerId,
    /// The reason.
    pub reason: &'static str,
    /// How it was registered.
    pub standing: WorkerStanding,
    /// The number of its runs.
    pub runs: usize,
    /// The time since it last answered a renewal, or `None` if it never answered this planner.
    pub last_heard: Option<Duration>,
    /// The time since this planner learned of it.
    pub known: Duration,
    /// Whether the end of its lease was the one assumed at the takeover.
    pub is_lease_inherited: bool,
    /// The address at which it was called.
    pub address: SocketAddr,
    /// The known process, if it has answered this planner.
    pub process: Option<WorkerIncarnation>,
    /// The fencing token of the newest call.
    pub token: FenceToken,
    /// The time since the last call that could extend its lease, or `None` if this planner made none.
    pub last_extension: Option<Duration>,
}

impl LostWorker {
    /// Returns how long its runs waited: the time since its last answer, or else since this planner
    /// learned of it.
    pub fn waited(&self) -> Duration {
        self.last_heard.unwrap_or(self.known)
    }
}

/// The result of a job that ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobSummary {
    /// The job.
    pub job: JobId,
    /// Its queue.
    pub queue: QueueName,
    /// Its final phase.
    pub phase: JobPhase,
    /// The time from its submission to its end.
    pub age: Duration,
    /// The time that it may take to meet its objective, if its queue is known.
    pub allowed: Option<Duration>,
    /// The time from its submission to its first placement, if this planner made that placement.
    pub first_placed: Option<Duration>,
    /// The number of runs under this planner that ended without success, by reason.
    pub lost_runs: BTreeMap<&'static str, u32>,
}
