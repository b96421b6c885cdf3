//! Trials of tasks under which workers have crashed.
//!
//! While a run is on trial, its worker takes no other tasks, so that a further crash shows whether the
//! task is at fault and takes down few other runs.

use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;

use super::event::{PlannerEvent, TaskTrial};
use super::planner::JobPlanner;
use crate::job::{CrashHistory, TaskKey, WorkerId};
use crate::worker::{RunEntry, RunPhase};

/// The time for which a run has to survive in a trial.
const TRIAL_LENGTH: Duration = Duration::from_secs(2);
/// The fraction of workers that may have a trial at the same time is one in this number.
const WORKERS_PER_TRIAL: usize = 4;

impl JobPlanner {
    /// Returns whether the next run of a task has to be a trial.
    pub(super) fn needs_trial(&self, key: TaskKey) -> bool {
        let task = self.jobs.get(&key.job).and_then(|job| job.task(key));
        task.is_some_and(|task| task.crashes.needs_trial())
    }

    /// Returns whether tasks that start together may do so, as far as the limit of trials at the same
    /// time goes. More of them than the limit have to start while there is no other trial.
    pub(super) fn allows_trials(&self, keys: &[TaskKey]) -> bool {
        let needed = keys.iter().filter(|key| self.needs_trial(**key)).count();
        if needed == 0 {
            return true;
        }
        let trials = self.workers.values().filter(|one| one.trial.is_some());
        let count = trials.count();
        let limit = self.usable_worker_count().div_ceil(WORKERS_PER_TRIAL);
        count == 0 || count + needed <= limit
    }

    /// Ends the trial on a worker if the run has survived it, which clears the task of all crashes.
    pub(super) fn settle_trial(&mut self, now: TimePoint, worker: &WorkerId) {
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(key) = entry.trial else {
            return;
        };
        let run = entry.runs.get(&key);
        if !run.is_some_and(|run| run.has_survived_trial(now)) {
            return;
        }
        entry.trial = None;
        self.is_placement_due = true;
        let job = self.jobs.get_mut(&key.job);
        if let Some(task) = job.and_then(|job| job.task_mut(key)) {
            task.crashes = CrashHistory::default();
            self.change_tracker.mark_crashes_changed(key.job);
        }
    }

    /// Begins the trial of a run that was just placed on a worker.
    pub(super) fn begin_trial(&mut self, key: TaskKey, worker: &WorkerId) {
        let task = self.jobs.get(&key.job).and_then(|job| job.task(key));
        let crashes = task.map_or(CrashHistory::default(), |task| task.crashes);
        if let Some(entry) = self.workers.get_mut(worker) {
            entry.trial = Some(key);
        }
        self.emit(PlannerEvent::TrialBegun(TaskTrial {
            task: key,
            worker: worker.clone(),
            crashes,
        }));
    }
}

impl RunEntry {
    /// Returns whether the worker has confirmed the run and the time of a trial is over.
    fn has_survived_trial(&self, now: TimePoint) -> bool {
        let RunPhase::Running(confirmed_at) = self.phase else {
            return false;
        };
        now.since(self.ordered_at.unwrap_or(confirmed_at)) > TRIAL_LENGTH
    }
}
