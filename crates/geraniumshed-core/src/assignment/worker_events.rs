//! Events about the contact with workers.

use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;

use super::event::{
    AnsweringWorker, DepartingWorker, LostWorker, PlannerEvent, SilentWorker, UnexpectedRun,
};
use super::planner::JobPlanner;
use super::silence_log::Silence;
use crate::job::{TaskEntry, TaskKey, TaskPhase, WorkerId};
use crate::worker::{EndKind, WorkerEntry, WorkerStanding};

impl JobPlanner {
    /// Reports that a worker with runs left a call unanswered, unless it was silent before.
    pub(super) fn report_silence(&mut self, now: TimePoint, worker: &WorkerId) {
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        if entry.unanswered_calls == 1 {
            entry.track.record_lost_contact(now);
            self.learn_notice(now, worker);
        }
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        if entry.unanswered_calls == 1 && entry.contact.heard_at.is_some() {
            let starting = entry.runs.iter().filter(|(_, run)| run.is_starting(now));
            self.silence_log.record(Silence {
                at: now,
                worker: worker.clone(),
                rack: entry.listing.rack.clone(),
                starting_jobs: starting.map(|(key, _)| key.job).collect(),
                trial_job: entry.trial.map(|trial| trial.job),
            });
        }
        if entry.runs.is_empty() || entry.contact.silent_since.is_some() {
            return;
        }
        entry.contact.silent_since = Some(now);
        // What an earlier planner has found about its runs stays as it is.
        entry.is_assessed &= entry.contact.heard_at.is_none();
        let silent = SilentWorker {
            worker: worker.clone(),
            runs: entry.runs.len(),
            last_heard: entry.last_heard(now),
            lease_remaining: entry.last_run_expires_at().since(now),
            is_lease_inherited: !entry.is_adopted,
        };
        self.emit(PlannerEvent::WorkerSilent(silent));
    }

    /// Records an answer of a worker, and reports it if the worker was silent before.
    pub(super) fn report_answer(&mut self, now: TimePoint, worker: &WorkerId) {
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        entry.contact.heard_at = Some(now);
        let Some(silent_since) = entry.contact.silent_since.take() else {
            return;
        };
        let answering = AnsweringWorker {
            worker: worker.clone(),
            runs: entry.runs.len(),
            silent: now.since(silent_since),
        };
        self.emit(PlannerEvent::WorkerAnswering(answering));
    }

    /// Reports that a worker with runs is draining or not registered, unless that was reported
    /// before.
    pub(super) fn report_departure(&mut self, now: TimePoint, worker: &WorkerId) {
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        let standing = entry.standing();
        if standing == WorkerStanding::Registered {
            entry.contact.standing = standing;
            return;
        }
        if entry.runs.is_empty() || entry.contact.standing == standing {
            return;
        }
        entry.contact.standing = standing;
        let departing = DepartingWorker {
            worker: worker.clone(),
            standing,
            runs: entry.runs.len(),
            lease_remaining: entry.last_run_expires_at().since(now),
            is_lease_inherited: !entry.is_adopted,
        };
        self.emit(PlannerEvent::WorkerDeparting(departing));
    }

    /// Reports the departures of all workers.
    pub(super) fn report_departures(&mut self, now: TimePoint) {
        let workers: Vec<WorkerId> = self.workers.keys().cloned().collect();
        for worker in workers {
            self.report_departure(now, &worker);
        }
    }

    /// Reports that a worker lists a run, or the end of one, that is not the newest run of its task
    /// there. Those of ended jobs are not reported.
    pub(super) fn report_unexpected_run(
        &mut self,
        worker: &WorkerId,
        task: TaskKey,
        run: u32,
        end: Option<EndKind>,
    ) {
        let job = self.jobs.get(&task.job);
        if job.is_some_and(|job| job.phase.is_final()) {
            return;
        }
        let known = job.and_then(|job| job.task(task));
        let placed_on = known.and_then(|known| match &known.phase {
            TaskPhase::Placed(worker) => Some(worker.clone()),
            TaskPhase::Waiting | TaskPhase::Done => None,
        });
        let unexpected = UnexpectedRun {
            task,
            run,
            worker: worker.clone(),
            end,
            known_run: known.map_or(0, |known| known.run),
            placed_on,
            is_done: known.is_some_and(TaskEntry::is_done),
        };
        self.emit(PlannerEvent::RunUnexpected(unexpected));
    }

    /// Reports that the runs of a worker are given up.
    pub(super) fn report_loss(&mut self, now: TimePoint, worker: &WorkerId, reason: &'static str) {
        let Some(entry) = self.workers.get(worker) else {
            return;
        };
        let lost = LostWorker {
            worker: worker.clone(),
            reason,
            standing: entry.standing(),
            runs: entry.runs.len(),
            last_heard: entry.last_heard(now),
            known: now.since(entry.contact.known_since),
            is_lease_inherited: !entry.is_adopted,
            address: entry.listing.address,
            process: entry.incarnation,
            token: entry.token,
            last_extension: entry.contact.extended_at.map(|at| now.since(at)),
        };
        self.emit(PlannerEvent::WorkerLost(lost));
    }
}

impl WorkerEntry {
    /// Returns how the worker is registered.
    fn standing(&self) -> WorkerStanding {
        match (self.is_listed, self.listing.is_draining) {
            (true, false) => WorkerStanding::Registered,
            (true, true) => WorkerStanding::Draining,
            (false, _) if self.has_address() => WorkerStanding::Removed,
            (false, _) => WorkerStanding::Unregistered,
        }
    }

    /// Returns the time since the worker's last answer, or `None` if it never answered.
    fn last_heard(&self, now: TimePoint) -> Option<Duration> {
        self.contact.heard_at.map(|at| now.since(at))
    }
}
