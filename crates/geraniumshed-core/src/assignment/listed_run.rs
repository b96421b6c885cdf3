//! Runs and ends that a worker lists, but that are not those of the newest known runs of their tasks.
//!
//! What a worker lists has happened, also if the planner knows nothing of it or has given the run up.
//! A task that waits for its next start continues with such a run instead, and a task of which any run
//! has succeeded is done.

use geraniumshed_model::prelude::TimePoint;

use super::action::PlannerTime;
use super::planner::JobPlanner;
use super::starting::run_entry;
use crate::job::{StepRequest, TaskKey, TaskPhase, WorkerId};
use crate::worker::{EndKind, RunPhase, RunReport};

/// What is known of the newest run of a task that may continue with a run that a worker lists.
#[derive(Debug)]
struct NewestRun {
    step: StepRequest,
    /// The number of the newest run that a worker may have been told to start.
    started: u32,
    progress: StartProgress,
}

/// How far the next start of a task has come.
#[derive(Debug)]
enum StartProgress {
    /// The task waits for a worker.
    Waiting,
    /// The task is placed on this worker, which hasn't been told yet.
    Unsent(WorkerId),
    /// This worker may run the task.
    Sent(WorkerId),
}

impl JobPlanner {
    /// Stops a reported run whose job has ended. One that isn't the current run of its task on the worker
    /// is stopped too, unless the task continues with it.
    pub(super) fn settle_unwanted(
        &mut self,
        now: TimePoint,
        worker: &WorkerId,
        report: &RunReport,
    ) {
        let entry = self.workers.get(worker);
        let run = entry.and_then(|entry| entry.runs.get(&report.task));
        if run.is_some_and(|run| run.run == report.run) {
            self.stop_run(now, worker, report.task);
        } else {
            self.handle_unexpected(now, worker, report);
        }
    }

    /// Continues a task with a run that isn't expected on its worker, or stops the run.
    fn handle_unexpected(&mut self, now: TimePoint, worker: &WorkerId, report: &RunReport) {
        self.report_unexpected_run(worker, report.task, report.run, None);
        if self.adopt_run(now, worker, report) {
            return;
        }
        let step = self
            .jobs
            .get(&report.task.job)
            .and_then(|job| job.request.steps.get(report.task.step as usize))
            .cloned()
            .unwrap_or_default();
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        if entry.runs.contains_key(&report.task) {
            // Another run of the task was started there, which replaces the reported one.
            return;
        }
        let mut run = run_entry(&step, report.run, RunPhase::Running(now), now);
        run.is_in_known_process = true;
        entry.add_run(report.task, run);
        self.stop_run(now, worker, report.task);
    }

    /// Continues a task with a run that its worker lists, if no newer run can have been started.
    /// Returns whether it does.
    fn adopt_run(&mut self, now: TimePoint, worker: &WorkerId, report: &RunReport) -> bool {
        let key = report.task;
        let Some(newest) = self.newest_run(key) else {
            return false;
        };
        // The members of a gang only run together.
        let is_sent = matches!(newest.progress, StartProgress::Sent(_));
        if newest.step.is_gang || is_sent || report.run < newest.started {
            return false;
        }
        self.withdraw_start(key, &newest);
        self.expect_run(worker, key, report.run);
        if let Some(entry) = self.workers.get_mut(worker) {
            let phase = RunPhase::Running(now);
            let mut run = run_entry(&newest.step, report.run, phase, now);
            run.is_reported = true;
            run.is_in_known_process = true;
            // An earlier planner may have slowed it.
            run.is_pace_known = !newest.step.is_best_effort;
            run.record_progress(report.percent, now);
            entry.add_run(key, run);
        }
        self.change_tracker.mark_changed(key.job);
        true
    }

    /// Makes a run that has ended on its worker the newest one of its task, if it succeeded, or if it is
    /// newer than all that are known. Returns whether it is.
    pub(super) fn adopt_end(
        &mut self,
        now: PlannerTime,
        worker: &WorkerId,
        key: TaskKey,
        run: u32,
        kind: EndKind,
    ) -> bool {
        let Some(newest) = self.newest_run(key) else {
            return false;
        };
        let has_succeeded = kind == EndKind::Done && !newest.step.is_long_running;
        match &newest.progress {
            StartProgress::Sent(_) if !has_succeeded => return false,
            StartProgress::Sent(other) => self.stop_run(now.point, other, key),
            StartProgress::Waiting | StartProgress::Unsent(_) => {
                let is_new = run > newest.started && !newest.step.is_gang;
                if !has_succeeded && !is_new {
                    return false;
                }
                self.withdraw_start(key, &newest);
            }
        }
        self.expect_run(worker, key, run.max(newest.started));
        true
    }

    /// Returns what is known of the newest run of a task, unless the task has succeeded or its job has
    /// ended.
    fn newest_run(&self, key: TaskKey) -> Option<NewestRun> {
        let job = self
            .jobs
            .get(&key.job)
            .filter(|job| !job.phase.is_final())?;
        let step = job.request.steps.get(key.step as usize)?;
        let task = job.task(key)?;
        let progress = match &task.phase {
            TaskPhase::Done => return None,
            TaskPhase::Waiting => StartProgress::Waiting,
            TaskPhase::Placed(worker) if self.is_unsent(worker, key, task.run) => {
                StartProgress::Unsent(worker.clone())
            }
            TaskPhase::Placed(worker) => StartProgress::Sent(worker.clone()),
        };
        let is_unsent = matches!(progress, StartProgress::Unsent(_));
        Some(NewestRun {
            step: step.clone(),
            started: task.run - u32::from(is_unsent),
            progress,
        })
    }

    fn is_unsent(&self, worker: &WorkerId, key: TaskKey, number: u32) -> bool {
        let entry = self.workers.get(worker);
        let run = entry.and_then(|entry| entry.runs.get(&key));
        run.is_some_and(|run| run.run == number && run.phase == RunPhase::Storing)
    }

    /// Releases the worker on which a task is placed, if it hasn't been told yet.
    fn withdraw_start(&mut self, key: TaskKey, newest: &NewestRun) {
        if let StartProgress::Unsent(worker) = &newest.progress
            && let Some(entry) = self.workers.get_mut(worker)
        {
            entry.remove_run(key, newest.started + 1);
        }
    }

    /// Makes a run on a worker the newest one of its task.
    fn expect_run(&mut self, worker: &WorkerId, key: TaskKey, run: u32) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        if let Some(task) = job.task_mut(key) {
            task.run = run;
            task.phase = TaskPhase::Placed(worker.clone());
        }
    }
}
