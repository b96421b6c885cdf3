//! Handling of ended runs.

use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;
use smol_str::SmolStr;

use super::action::PlannerTime;
use super::event::{LostRun, PlannerEvent, TaskTrial};
use super::planner::JobPlanner;
use super::worker_loss::{LossCause, WorkerRunLoss};
use crate::job::{CrashEvidence, JobId, JobPhase, TaskKey, TaskPhase, WorkerId};
use crate::worker::EndKind;

/// The delay before a task is started again after a failed run.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// How a run ended: reported by its worker, or lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RunEndCause {
    /// The worker reported the end of the run.
    Ended(EndKind),
    /// The run never started, for this reason.
    Lost(&'static str),
    /// The run was lost with its worker.
    LostWithWorker(LossCause, WorkerRunLoss),
}

impl RunEndCause {
    /// Returns why the run had no success, or `None` if it had.
    fn loss_reason(self) -> Option<&'static str> {
        match self {
            Self::Ended(EndKind::Done) => None,
            Self::Ended(EndKind::Failed) => Some("failed"),
            Self::Ended(EndKind::Stopped) => Some("stopped"),
            Self::Ended(EndKind::Lapsed) => Some("lapsed"),
            Self::Ended(EndKind::Broken) => Some("broken"),
            Self::Ended(EndKind::Alone) => Some("alone"),
            Self::Lost(reason) => Some(reason),
            Self::LostWithWorker(cause, _) => Some(cause.name()),
        }
    }

    /// Returns how the run was lost with its worker, if it was.
    fn worker_loss(self) -> Option<WorkerRunLoss> {
        match self {
            Self::LostWithWorker(_, loss) => Some(loss),
            Self::Ended(_) | Self::Lost(_) => None,
        }
    }
}

impl JobPlanner {
    /// Applies the end of a run to its task. Returns the batch that has to be stored before the end
    /// may be acknowledged to the worker: the one with the effect of the end, or with the change
    /// that made the end irrelevant. Returns `None` if no such change is unstored.
    pub(super) fn finish_run(
        &mut self,
        now: PlannerTime,
        worker: &WorkerId,
        key: TaskKey,
        run: u32,
        outcome: RunEndCause,
        checkpoint: Option<SmolStr>,
    ) -> Option<u64> {
        self.is_placement_due = true;
        self.update_quarantine(now.point, worker, key, outcome);
        let unstored = self.change_tracker.unstored_batch(key.job);
        if !self.is_newest_run(worker, key, run)
            && !self.apply_unexpected_end(now, worker, key, run, outcome)
        {
            return unstored;
        }
        let job = self.jobs.get_mut(&key.job)?;
        let is_final = job.phase.is_final();
        let step = job.request.steps.get(key.step as usize)?.clone();
        let task = job.task_mut(key)?;
        if checkpoint.is_some() && step.has_checkpoints {
            task.checkpoint = checkpoint;
        }
        task.phase = TaskPhase::Waiting;
        match outcome {
            RunEndCause::Ended(EndKind::Done) if !step.is_long_running => {
                task.phase = TaskPhase::Done;
            }
            RunEndCause::Ended(EndKind::Failed) => {
                task.failures += u32::from(!step.is_long_running);
                task.not_before = now.point + RETRY_DELAY;
                task.avoid(worker.clone());
            }
            RunEndCause::Ended(_) | RunEndCause::Lost(_) | RunEndCause::LostWithWorker(..) => {}
        }
        if task.suspicion.take().is_some() {
            self.change_tracker.mark_crashes_changed(key.job);
        }
        let failures = task.failures;
        let is_gang_done = step.is_gang && task.is_done();
        if is_final {
            return unstored;
        }
        if is_gang_done {
            self.finish_gang(now.point, key, run);
        }
        let job = self.jobs.get_mut(&key.job)?;
        self.jobs_to_place.insert(key.job);
        if let Some(reason) = outcome.loss_reason() {
            job.diagnostics.record_lost_run(reason);
            self.emit(PlannerEvent::RunLost(LostRun {
                task: key,
                run,
                worker: worker.clone(),
                reason,
                loss: outcome.worker_loss(),
            }));
        }
        if let Some(loss) = outcome.worker_loss() {
            self.count_crash(now, worker, key, loss);
        }
        self.end_if_finished(now, key, failures);
        Some(self.change_tracker.mark_changed(key.job))
    }

    /// Marks all members of a gang as done, which succeed together, and stops later runs of them.
    fn finish_gang(&mut self, now: TimePoint, key: TaskKey, run: u32) {
        let job = self.jobs.get_mut(&key.job);
        let repeated = job.map(|job| job.finish_gang(key, run));
        for (member, worker) in repeated.unwrap_or_default() {
            self.stop_run(now, &worker, member);
        }
    }

    /// Returns whether a run is the newest one of its task, and is placed on the worker.
    fn is_newest_run(&self, worker: &WorkerId, key: TaskKey, run: u32) -> bool {
        let task = self.jobs.get(&key.job).and_then(|job| job.task(key));
        task.is_some_and(|task| task.run == run && task.phase == TaskPhase::Placed(worker.clone()))
    }

    /// Makes a run that has ended the newest one of its task, if its end settles the task. Returns whether
    /// it does.
    fn apply_unexpected_end(
        &mut self,
        now: PlannerTime,
        worker: &WorkerId,
        key: TaskKey,
        run: u32,
        outcome: RunEndCause,
    ) -> bool {
        let RunEndCause::Ended(kind) = outcome else {
            return false;
        };
        self.report_unexpected_run(worker, key, run, Some(kind));
        self.adopt_end(now, worker, key, run, kind)
    }

    /// Counts the loss of a worker under a run of a task, if the worker has crashed, and gives the task
    /// and its job up if it has crashed too many workers.
    pub(super) fn count_crash(
        &mut self,
        now: PlannerTime,
        worker: &WorkerId,
        key: TaskKey,
        loss: WorkerRunLoss,
    ) {
        let open = self
            .jobs
            .get_mut(&key.job)
            .filter(|job| !job.phase.is_final());
        let task = open.and_then(|job| job.task_mut(key));
        let Some(task) = task.filter(|task| !task.is_done()) else {
            return;
        };
        if !loss.is_crash || loss.evidence == CrashEvidence::None {
            return;
        }
        task.crashes.record(loss.evidence);
        task.avoid(worker.clone());
        self.change_tracker.mark_crashes_changed(key.job);
        let crashes = task.crashes;
        if crashes.is_at_limit(loss.was_trial) {
            self.emit(PlannerEvent::TaskGivenUp(TaskTrial {
                task: key,
                worker: worker.clone(),
                crashes,
            }));
            self.end_job(now, key.job, JobPhase::Failed);
        }
    }

    /// Ends a job that is complete or whose task has reached the limit of failures.
    fn end_if_finished(&mut self, now: PlannerTime, key: TaskKey, failures: u32) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        if job.phase.is_final() {
            return;
        }
        let policy = self.queues.policy(&job.request.queue);
        let limit = policy.map_or(u32::MAX, |policy| policy.attempt_limit.max(1));
        if failures >= limit {
            self.end_job(now, key.job, JobPhase::Failed);
        } else if job.end_done() {
            self.end_job(now, key.job, JobPhase::Completed);
        }
    }

    /// Updates the quarantine of a worker by the outcome of a run.
    fn update_quarantine(
        &mut self,
        now: TimePoint,
        worker: &WorkerId,
        key: TaskKey,
        outcome: RunEndCause,
    ) {
        match outcome {
            RunEndCause::Ended(EndKind::Done) => {
                if let Some(entry) = self.workers.get_mut(worker) {
                    entry.quarantine.record_success();
                }
            }
            RunEndCause::Ended(EndKind::Failed) => self.record_worker_failure(now, worker, key.job),
            RunEndCause::Ended(_) | RunEndCause::Lost(_) | RunEndCause::LostWithWorker(..) => {}
        }
    }

    /// Records a failed or stalled run of a worker, which may put the worker into quarantine.
    pub(super) fn record_worker_failure(&mut self, now: TimePoint, worker: &WorkerId, job: JobId) {
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        entry.track.record_failure(now, job);
        if entry.quarantine.record_failure(job, now) {
            self.emit(PlannerEvent::WorkerQuarantined(worker.clone()));
        }
    }
}
