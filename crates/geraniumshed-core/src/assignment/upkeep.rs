//! What is due by time: leases that have run out, runs without progress, and stops.

use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;

use super::action::{PlannerAction, PlannerMoment};
use super::note::PlannerNote;
use super::planner::JobPlanner;
use crate::job::{TaskKey, WorkerId};
use crate::worker::{RunPhase, StopOrder, WorkerCall, WorkerEntry};

/// The time after its start in which a long-running task has to be at work.
const STARTUP_LIMIT: Duration = Duration::from_secs(3);
/// The progress of a long-running task that is at work, in percent.
pub(super) const WHOLE_PERCENT: u32 = 100;

impl JobPlanner {
    /// Gives up the runs of workers whose leases have run out.
    pub(super) fn release_lapsed(&mut self, now: PlannerMoment) {
        let is_lapsed = |entry: &WorkerEntry| {
            entry.lapses_at < now.point && (entry.silent_calls > 0 || !entry.is_listed)
        };
        let lapsed: Vec<WorkerId> = self
            .workers
            .values()
            .filter(|entry| is_lapsed(entry) && (!entry.runs.is_empty() || !entry.is_listed))
            .map(|entry| entry.id().clone())
            .collect();
        for worker in lapsed {
            self.release_worker(now, &worker, "lease ran out");
        }
    }

    /// Gives up all runs of a worker, and the worker too if it isn't registered any more.
    pub(super) fn release_worker(
        &mut self,
        now: PlannerMoment,
        worker: &WorkerId,
        reason: &'static str,
    ) {
        let Some(entry) = self.workers.get(worker) else {
            return;
        };
        let is_listed = entry.is_listed;
        let runs: Vec<(TaskKey, u32)> = entry
            .runs
            .iter()
            .map(|(key, run)| (*key, run.run))
            .collect();
        self.note(PlannerNote::WorkerLapsed(worker.clone()));
        for (key, run) in runs {
            self.drop_run(now, worker, key, run, reason);
        }
        if is_listed {
            self.ask_anew(worker);
        } else {
            self.workers.remove(worker);
        }
    }

    /// Stops a run.
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
            // The order was not sent yet, or its answer decides whether there is something to stop.
            RunPhase::Storing | RunPhase::Ordered(_) | RunPhase::Unsettled(_) => {}
        }
    }

    /// Sends the order to stop a run, or sends it again.
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
            token: entry.token,
            body,
        }));
    }

    /// Repeats stops without effect, and stops runs that make no progress.
    pub(super) fn watch_runs(&mut self, now: PlannerMoment) {
        let mut repeated = Vec::new();
        let mut stalled = Vec::new();
        for (id, entry) in &self.workers {
            for (key, run) in &entry.runs {
                let RunPhase::Running(since) = run.phase else {
                    continue;
                };
                if let Some(sent_at) = run.stop_sent_at {
                    if now.point.since(sent_at) > self.settings.stop_retry {
                        repeated.push((id.clone(), *key));
                    }
                    continue;
                }
                let limit = if run.is_long_running {
                    STARTUP_LIMIT
                } else {
                    self.settings.stall_limit + run.estimate / 20
                };
                let is_working = run.is_long_running && run.percent >= WHOLE_PERCENT;
                let is_paced = run.pace_percent < WHOLE_PERCENT;
                let last = run.progressed_at.max(since);
                // Only a reading shows whether a run has stalled, not the time since the last one.
                let still_since = entry.read_at.since(last);
                if !is_working && !is_paced && still_since > limit {
                    stalled.push((id.clone(), *key));
                }
            }
        }
        for (worker, key) in repeated {
            self.send_stop(now.point, &worker, key);
        }
        for (worker, key) in stalled {
            self.give_up_stalled(now, &worker, key);
        }
    }

    fn give_up_stalled(&mut self, now: PlannerMoment, worker: &WorkerId, key: TaskKey) {
        if let Some(task) = self
            .jobs
            .get_mut(&key.job)
            .and_then(|job| job.task_mut(key))
        {
            task.avoid(worker.clone());
        }
        self.distrust(now.point, worker, key.job);
        self.stop_run(now.point, worker, key);
    }
}
