//! Supervision of workers and runs: expired leases, stalled runs and stops.

use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;

use super::action::{PlannerAction, PlannerTime};
use super::planner::JobPlanner;
use super::worker_loss::LossCause;
use crate::job::{TaskKey, WorkerId};
use crate::worker::{RunEntry, RunPhase, StopOrder, WorkerCall, WorkerEntry};

/// The time after its start by which a long-running task has to be ready.
const STARTUP_LIMIT: Duration = Duration::from_secs(3);
/// The progress that a long-running task reports once it is ready, in percent.
pub(super) const WHOLE_PERCENT: u32 = 100;

impl WorkerEntry {
    /// Returns whether the lease of any run has expired, or that of the worker if it has no runs and
    /// isn't registered.
    fn has_expired(&self, now: TimePoint) -> bool {
        if self.runs.is_empty() {
            return !self.is_listed && self.lease_expires_at < now;
        }
        let mut runs = self.runs.values();
        runs.any(|run| self.run_expires_at(run) < now)
    }
}

impl JobPlanner {
    /// Gives up the runs of workers whose leases have expired.
    pub(super) fn release_expired_workers(&mut self, now: PlannerTime) {
        let is_silent = |entry: &WorkerEntry| entry.unanswered_calls > 0 || !entry.is_listed;
        let expired: Vec<WorkerId> = self
            .workers
            .values()
            .filter(|entry| is_silent(entry) && entry.has_expired(now.point))
            .map(|entry| entry.id().clone())
            .collect();
        // A release takes the runs of a worker, by which others are told to be silent as well.
        for worker in &expired {
            self.assess_runs(now.point, worker);
        }
        for worker in expired {
            self.release_worker(now, &worker, LossCause::LeaseExpired);
        }
    }

    /// Gives up the runs of a worker, or those whose leases have expired if that is the cause. Removes
    /// the worker if it is no longer registered and has no runs left.
    pub(super) fn release_worker(&mut self, now: PlannerTime, worker: &WorkerId, cause: LossCause) {
        let Some(entry) = self.workers.get(worker) else {
            return;
        };
        let is_listed = entry.is_listed;
        let token = entry.token;
        let is_lost = |run: &RunEntry| match cause {
            LossCause::Restarted | LossCause::Replaced => true,
            LossCause::LeaseExpired => entry.run_expires_at(run) < now.point,
        };
        let lost = entry.runs.iter().filter(|(_, run)| is_lost(run));
        let lost = lost.map(|(key, run)| (*key, run.clone()));
        let runs: Vec<(TaskKey, RunEntry)> = lost.collect();
        let keeps_runs = runs.len() < entry.runs.len();
        self.assess_runs(now.point, worker);
        self.report_loss(now.point, worker, cause.name());
        self.lose_runs(now, worker, cause, &runs);
        if is_listed || keeps_runs {
            self.force_renewal(worker);
        } else {
            self.workers.remove(worker);
            // The worker rejects lower tokens if it is registered again.
            self.first_token = self.first_token.max(token);
        }
    }

    /// Stops a run, unless it is being stopped already.
    pub(super) fn stop_run(&mut self, now: TimePoint, worker: &WorkerId, key: TaskKey) {
        let Some(run) = self
            .workers
            .get_mut(worker)
            .and_then(|entry| entry.runs.get_mut(&key))
        else {
            return;
        };
        if run.is_stopping() {
            return;
        }
        run.stop_sent_at = Some(now);
        match run.phase {
            RunPhase::Running(_) => self.send_stop(now, worker, key),
            // The start wasn't sent yet, or the state of the run is unknown until the worker
            // replies.
            RunPhase::Storing | RunPhase::Ordered(_) | RunPhase::Unsettled(_) => {}
        }
    }

    /// Sends or repeats the call that stops a run.
    pub(super) fn send_stop(&mut self, now: TimePoint, worker: &WorkerId, key: TaskKey) {
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(run) = entry.runs.get_mut(&key) else {
            return;
        };
        run.stop_sent_at = Some(now);
        let body = StopOrder {
            task: key,
            run: run.run,
        };
        self.actions.push(PlannerAction::Stop(WorkerCall {
            worker: worker.clone(),
            address: entry.listing.address,
            process: entry.incarnation,
            token: entry.token,
            body,
        }));
    }

    /// Repeats stops that had no effect, and stops stalled runs.
    pub(super) fn watch_runs(&mut self, now: PlannerTime) {
        let mut repeated = Vec::new();
        let mut stalled = Vec::new();
        for (id, entry) in &self.workers {
            for (key, run) in &entry.runs {
                let RunPhase::Running(_) = run.phase else {
                    continue;
                };
                if let Some(sent_at) = run.stop_sent_at {
                    if now.point.since(sent_at) > self.settings.stop_retry {
                        repeated.push((id.clone(), *key));
                    }
                    continue;
                }
                if entry.has_unlisted_ends {
                    // The run may have ended.
                    continue;
                }
                // The time since the last reading says nothing about the progress, so the idle time
                // ends at that reading.
                let idle_time = run.idle_time(entry.read_at);
                let is_idle = self.idle_limit(run).is_some_and(|limit| idle_time > limit);
                if is_idle && run.has_full_speed() {
                    stalled.push((id.clone(), *key));
                }
            }
        }
        for (worker, key) in repeated {
            self.send_stop(now.point, &worker, key);
        }
        for (worker, key) in stalled {
            self.stop_stalled_run(now, &worker, key);
        }
    }

    /// Returns the time without progress after which a run counts as stalled, or `None` if the run
    /// need not progress.
    pub(super) fn idle_limit(&self, run: &RunEntry) -> Option<Duration> {
        if !run.is_long_running {
            return Some(self.settings.stall_limit + run.estimate / 20);
        }
        (run.percent < WHOLE_PERCENT).then_some(STARTUP_LIMIT)
    }

    fn stop_stalled_run(&mut self, now: PlannerTime, worker: &WorkerId, key: TaskKey) {
        if let Some(task) = self
            .jobs
            .get_mut(&key.job)
            .and_then(|job| job.task_mut(key))
        {
            task.avoid(worker.clone());
        }
        self.record_worker_failure(now.point, worker, key.job);
        self.stop_run(now.point, worker, key);
    }
}
