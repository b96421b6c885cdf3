//! What becomes of a task when its run has ended.

use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;
use smol_str::SmolStr;

use super::action::PlannerMoment;
use super::note::{LostRun, PlannerNote};
use super::planner::JobPlanner;
use crate::job::{JobId, JobPhase, TaskKey, TaskPhase, WorkerId};
use crate::worker::EndKind;

/// The pause before a task whose run failed starts again.
const FAILURE_PAUSE: Duration = Duration::from_millis(20);

/// How a run came to its end, as far as its task is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RunFate {
    /// The worker reported an end.
    Ended(EndKind),
    /// The run never started or was lost with its worker.
    Lost(&'static str),
}

impl JobPlanner {
    /// Takes note that a run has ended, and returns the batch with which the end may be forgotten:
    /// the one that stores its effect, or what has made it pointless.
    pub(super) fn finish_run(
        &mut self,
        now: PlannerMoment,
        worker: &WorkerId,
        key: TaskKey,
        run: u32,
        fate: RunFate,
        checkpoint: Option<SmolStr>,
    ) -> Option<u64> {
        self.is_placing_due = true;
        self.judge_worker(now.point, worker, key, fate);
        let unstored = self.ledger.unstored_batch(key.job);
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
        match fate {
            RunFate::Ended(EndKind::Done) if !step.is_long_running => task.phase = TaskPhase::Done,
            RunFate::Ended(EndKind::Failed) => {
                task.failures += u32::from(!step.is_long_running);
                task.not_before = now.point + FAILURE_PAUSE;
                task.avoid(worker.clone());
            }
            RunFate::Ended(_) | RunFate::Lost(_) => {}
        }
        let failures = task.failures;
        if is_final {
            return unstored;
        }
        let note = match fate {
            RunFate::Ended(EndKind::Done) => None,
            RunFate::Ended(EndKind::Failed) => Some("failed"),
            RunFate::Ended(EndKind::Stopped) => Some("stopped"),
            RunFate::Ended(EndKind::Lapsed) => Some("lapsed"),
            RunFate::Ended(EndKind::Broken) => Some("broken"),
            RunFate::Ended(EndKind::Alone) => Some("alone"),
            RunFate::Lost(reason) => Some(reason),
        };
        if let Some(reason) = note {
            job.story.lost_run(reason);
            self.note(PlannerNote::RunLost(LostRun {
                task: key,
                run,
                worker: worker.clone(),
                reason,
            }));
        }
        self.settle_job(now, key, failures);
        Some(self.ledger.change(key.job))
    }

    /// Ends a job that is complete or has failed too often.
    fn settle_job(&mut self, now: PlannerMoment, key: TaskKey, failures: u32) {
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

    /// Counts the end of a run for or against its worker.
    fn judge_worker(&mut self, now: TimePoint, worker: &WorkerId, key: TaskKey, fate: RunFate) {
        match fate {
            RunFate::Ended(EndKind::Done) => {
                if let Some(entry) = self.workers.get_mut(worker) {
                    entry.trust.succeeded();
                }
            }
            RunFate::Ended(EndKind::Failed) => self.distrust(now, worker, key.job),
            RunFate::Ended(_) | RunFate::Lost(_) => {}
        }
    }

    /// Counts a run that failed or stalled against its worker.
    pub(super) fn distrust(&mut self, now: TimePoint, worker: &WorkerId, job: JobId) {
        let entry = self.workers.get_mut(worker);
        if entry.is_some_and(|entry| entry.trust.failed(job, now)) {
            self.note(PlannerNote::WorkerPaused(worker.clone()));
        }
    }
}
