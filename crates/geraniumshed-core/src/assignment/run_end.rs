//! Handling of ended runs.

use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;
use smol_str::SmolStr;

use super::action::PlannerTime;
use super::event::{LostRun, PlannerEvent};
use super::planner::JobPlanner;
use super::worker_loss::{LossCause, WorkerRunLoss};
use crate::job::{JobId, JobPhase, TaskKey, TaskPhase, WorkerId};
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
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return unstored;
        };
        let is_final = job.phase.is_final();
        let step = job.request.steps.get(key.step as usize)?.clone();
        let task = job.task_mut(key)?;
        if task.run != run || task.phase != TaskPhase::Placed(worker.clone()) {
            return unstored;
        }
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
        let failures = task.failures;
        if is_final {
            return unstored;
        }
        self.jobs_to_place.insert(key.job);
        let loss_reason = match outcome {
            RunEndCause::Ended(EndKind::Done) => None,
            RunEndCause::Ended(EndKind::Failed) => Some("failed"),
            RunEndCause::Ended(EndKind::Stopped) => Some("stopped"),
            RunEndCause::Ended(EndKind::Lapsed) => Some("lapsed"),
            RunEndCause::Ended(EndKind::Broken) => Some("broken"),
            RunEndCause::Ended(EndKind::Alone) => Some("alone"),
            RunEndCause::Lost(reason) => Some(reason),
            RunEndCause::LostWithWorker(cause, _) => Some(cause.name()),
        };
        let loss = match outcome {
            RunEndCause::LostWithWorker(_, loss) => Some(loss),
            RunEndCause::Ended(_) | RunEndCause::Lost(_) => None,
        };
        if let Some(reason) = loss_reason {
            job.diagnostics.record_lost_run(reason);
            self.emit(PlannerEvent::RunLost(LostRun {
                task: key,
                run,
                worker: worker.clone(),
                reason,
                loss,
            }));
        }
        self.end_if_finished(now, key, failures);
        Some(self.change_tracker.mark_changed(key.job))
    }

    /// Ends a job that is complete or whose task has reached the limit of failures.
    fn end_if_finished(&mut self, now: PlannerTime, key: TaskKey, failures: u32) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
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
        let entry = self.workers.get_mut(worker);
        if entry.is_some_and(|entry| entry.quarantine.record_failure(job, now)) {
            self.emit(PlannerEvent::WorkerQuarantined(worker.clone()));
        }
    }
}
