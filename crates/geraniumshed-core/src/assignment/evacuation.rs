//! Evacuation of long-running tasks from workers that are about to leave.
//!
//! A leaving worker exits with all its runs and reports no ends, so that the tasks would wait until
//! its lease has expired. A run is therefore stopped as soon as another worker takes its task. That
//! worker is held until the end of the run was reported and the task is placed anew.

use std::cell::OnceCell;
use std::collections::VecDeque;
use std::sync::Arc;

use super::action::PlannerTime;
use super::placement_pass::PlacementPass;
use super::planner::JobPlanner;
use super::rank::{ReadyStep, step_rank};
use super::step_placement::StartableStep;
use super::supervision::WHOLE_PERCENT;
use crate::job::{TaskKey, TaskPhase, WorkerId};
use crate::worker::{RunEntry, RunPhase, WorkerEntry};

/// The number of a worker's runs that may be evacuated at the same time. For each of them, another
/// worker is held and takes no other tasks.
const PARALLEL_LIMIT: usize = 4;

/// A long-running run that has to leave its worker. Ordered by the rank of its step.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct DueEvacuation {
    /// The step of the task.
    pub(super) step: ReadyStep,
    /// The task.
    pub(super) task: TaskKey,
    /// The worker that the run has to leave.
    pub(super) worker: WorkerId,
}

impl JobPlanner {
    /// Returns the runs that have to leave their workers, in the order of their ranks.
    pub(super) fn due_evacuations(&self, now: PlannerTime) -> VecDeque<DueEvacuation> {
        let mut due = Vec::new();
        let leaving = self.worker_index.leaving();
        let leaving = leaving.filter_map(|id| self.workers.get(id));
        for worker in leaving.filter(|one| one.can_be_evacuated()) {
            due.extend(self.evacuable_runs(now, worker));
        }
        due.sort_unstable();
        due.into()
    }

    /// Returns the runs of a worker that would have to be stopped to evacuate it.
    pub(super) fn evacuable_runs<'a>(
        &'a self,
        now: PlannerTime,
        worker: &'a WorkerEntry,
    ) -> impl Iterator<Item = DueEvacuation> + use<'a> {
        let runs = worker.runs.iter().filter(|(_, run)| is_evacuable(run));
        runs.filter_map(move |(key, _)| self.due_evacuation(now, *key, worker.id()))
    }

    fn due_evacuation(
        &self,
        now: PlannerTime,
        task: TaskKey,
        worker: &WorkerId,
    ) -> Option<DueEvacuation> {
        let job = self.jobs.get(&task.job)?;
        let policy = self.queues.policy(&job.request.queue)?;
        let step = job.request.steps.get(task.step as usize)?;
        if job.phase.is_final() || step.is_gang {
            return None;
        }
        let rank = step_rank(
            job,
            policy,
            task.occurrence,
            task.step,
            now.unix_ms,
            &self.backlog,
        );
        Some(DueEvacuation {
            step: ReadyStep {
                rank,
                ..ReadyStep::unranked(task)
            },
            task,
            worker: worker.clone(),
        })
    }

    /// Stops a run that has to leave its worker if another worker takes its task, and holds that
    /// worker for the task. Returns the worker that takes it.
    pub(super) fn evacuate(
        &mut self,
        now: PlannerTime,
        due: &DueEvacuation,
        pass: &mut PlacementPass,
    ) -> Option<WorkerId> {
        if !self.may_evacuate(due) {
            return None;
        }
        let target = self.choose_target(now, due, pass)?;
        self.add_hold(due.task, target.clone());
        self.stop_run(now.point, &due.worker, due.task);
        Some(target)
    }

    /// Returns the worker that takes the task, or requests advice if the queue's policy requires
    /// it and no worker is known to be allowed.
    fn choose_target(
        &mut self,
        now: PlannerTime,
        due: &DueEvacuation,
        pass: &mut PlacementPass,
    ) -> Option<WorkerId> {
        let job = self.jobs.get(&due.task.job)?;
        let policy = self.queues.policy(&job.request.queue)?.clone();
        let request = Arc::clone(&job.request);
        let step = request.steps.get(due.task.step as usize)?;
        let min_speed = self.min_speed(now, job, &policy, due.step, pass);
        let needs_advice = policy.advice.is_some();
        if !needs_advice && pass.has_failed(&policy.service, step, min_speed) {
            return None;
        }
        let startable = StartableStep {
            ready: due.step,
            policy: &policy,
            step,
            keys: vec![due.task],
            min_speed,
            pressures: OnceCell::new(),
        };
        let rack = self.step_rack(step, due.step);
        let target = self.choose_worker(now.point, &startable, due.task, rack.as_ref());
        if target.is_none() && needs_advice {
            self.request_permission(now.point, &startable, 0);
        } else if target.is_none() {
            pass.record_failure(&policy.service, step, min_speed);
        }
        target
    }

    fn may_evacuate(&self, due: &DueEvacuation) -> bool {
        self.evacuation_count(&due.worker) < PARALLEL_LIMIT && self.may_be_unavailable(due.task)
    }

    /// Returns the number of a worker's runs that are being evacuated.
    fn evacuation_count(&self, worker: &WorkerId) -> usize {
        let runs = self.workers.get(worker).map(|entry| &entry.runs);
        let is_evacuated =
            |(key, run): &(&TaskKey, &RunEntry)| run.is_stopping() && self.has_held_worker(**key);
        runs.into_iter().flatten().filter(is_evacuated).count()
    }

    /// Returns whether the step's limit of unavailable tasks allows a task to be one of them.
    fn may_be_unavailable(&self, key: TaskKey) -> bool {
        let step = self
            .jobs
            .get(&key.job)
            .and_then(|job| job.request.steps.get(key.step as usize));
        let Some(limit) = step.and_then(|step| step.unavailable_limit) else {
            return true;
        };
        let count = step.map_or(0, |step| step.task_count);
        let others = (0..count).filter(|index| *index != key.index);
        let unavailable = others.filter(|index| {
            let other = TaskKey {
                index: *index,
                ..key
            };
            !self.is_at_work(other)
        });
        unavailable.count() < limit as usize
    }

    /// Returns whether a long-running task is known to be at work.
    fn is_at_work(&self, key: TaskKey) -> bool {
        self.placement(key).is_some_and(|(worker, run)| {
            let is_running = matches!(run.phase, RunPhase::Running(_)) && !run.is_stopping();
            worker.is_answering() && is_running && run.percent >= WHOLE_PERCENT
        })
    }

    /// Returns whether a task's run is being stopped on a worker that is about to leave, or whose zone
    /// is evacuated, and that still answers, so that its end will be reported.
    pub(super) fn is_being_evacuated(&self, key: TaskKey) -> bool {
        self.placement(key).is_some_and(|(worker, run)| {
            let has_to_leave = worker.listing.is_draining || self.zones.is_evacuated(worker);
            has_to_leave && worker.is_answering() && run.is_stopping()
        })
    }

    /// Returns the worker of a placed task, and the task's run there.
    fn placement(&self, key: TaskKey) -> Option<(&WorkerEntry, &RunEntry)> {
        let job = self.jobs.get(&key.job)?;
        let task = job.task(key).filter(|_| !job.phase.is_final())?;
        let TaskPhase::Placed(worker) = &task.phase else {
            return None;
        };
        let worker = self.workers.get(worker)?;
        let run = worker.runs.get(&key).filter(|run| run.run == task.run)?;
        Some((worker, run))
    }
}

impl WorkerEntry {
    /// Returns whether the worker is about to leave and answers calls.
    pub(super) fn can_be_evacuated(&self) -> bool {
        self.listing.is_draining && self.is_answering()
    }

    /// Returns whether the worker is registered and has answered the newest call.
    pub(super) fn is_answering(&self) -> bool {
        self.is_listed && self.is_adopted && self.unanswered_calls == 0
    }
}

/// Returns whether a run on a leaving worker has to be stopped.
fn is_evacuable(run: &RunEntry) -> bool {
    run.is_long_running && matches!(run.phase, RunPhase::Running(_)) && !run.is_stopping()
}
