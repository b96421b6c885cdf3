//! Moves of short runs from workers that leave before the runs can end.
//!
//! A leaving worker exits with all its runs and reports no ends, so that their work is lost and their
//! tasks wait until its lease has expired. Long-running tasks are evacuated instead.

use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;

use super::action::PlannerTime;
use super::event::MoveCause;
use super::planner::JobPlanner;
use super::stragglers::{MOVE_TIME, RemainingTimes, TargetClaims, may_move};
use crate::job::{TaskKey, WorkerId};
use crate::worker::{RunEntry, WorkerEntry};

/// The time from the notice of a worker to its exit, if neither the notice nor earlier exits tell. Only
/// runs with checkpoints are moved by it, since they lose no work.
const ASSUMED_NOTICE: Duration = Duration::from_secs(2);
/// The longest notice that is learned from exits. After a longer one, most short runs have ended.
const MAX_LEARNED_NOTICE: Duration = Duration::from_secs(3);
/// The time after its expected exit by which a worker is known to stay for longer.
const EXIT_DOUBT: Duration = Duration::from_secs(1);
/// The time by which a notice or a report may be late.
const REPORT_DELAY: Duration = Duration::from_millis(300);
/// The time before the exit of its worker in which a run that can't end is stopped even if no other
/// worker has room. A stop saves the checkpoint, and its end is known at once.
const LAST_STOP_TIME: Duration = MOVE_TIME.saturating_add(REPORT_DELAY);

/// The notice that workers give of their exit, as far as earlier exits tell.
#[derive(Debug, Default)]
pub(super) struct NoticeHabit {
    /// The time from the newest short notice to the exit, unless a worker has stayed for longer since.
    learned: Option<Duration>,
}

impl WorkerEntry {
    /// Takes into account whether the newest registration gives notice.
    fn update_notice(&mut self, now: TimePoint, learned: Option<Duration>) {
        if !self.listing.is_draining {
            self.notice_at = None;
            self.leaves_at = None;
            return;
        }
        let learned = learned.filter(|_| self.notice_at.is_none());
        self.notice_at = self.notice_at.or(Some(now));
        let left = self.listing.leaves_in.or(learned);
        let newest = left.map(|left| now + left);
        let times = self.leaves_at.into_iter().chain(newest);
        self.leaves_at = times.min();
    }

    /// Returns when the worker is expected to leave, for a run of a step that may have checkpoints.
    fn exit_at(&self, has_checkpoints: bool) -> Option<TimePoint> {
        let assumed = self.notice_at.map(|at| at + ASSUMED_NOTICE);
        self.leaves_at.or(assumed.filter(|_| has_checkpoints))
    }
}

impl JobPlanner {
    /// Takes into account whether a worker's newest registration gives notice of its exit.
    pub(super) fn update_notice(&mut self, now: TimePoint, worker: &WorkerId) {
        let learned = self.notice_habit.learned;
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        let had_notice = entry.notice_at.is_some();
        entry.update_notice(now, learned);
        if entry.notice_at.is_some() && !had_notice && !entry.runs.is_empty() {
            // What its runs still need has to be known at once.
            entry.read_soon(now);
        }
    }

    /// Learns from the exit of a worker, which no longer answers, which notice workers give.
    pub(super) fn learn_notice(&mut self, now: TimePoint, worker: &WorkerId) {
        let notice_at = self.workers.get(worker).and_then(|one| one.notice_at);
        let notice = notice_at.map(|at| now.since(at));
        if let Some(notice) = notice.filter(|notice| *notice <= MAX_LEARNED_NOTICE) {
            self.notice_habit.learned = Some(notice);
        }
    }

    /// Moves the runs that can't end before their workers leave.
    pub(super) fn move_departing_runs(&mut self, now: PlannerTime) {
        let leaving = self.worker_index.leaving();
        let leaving = leaving.filter(|id| self.workers.get(id).is_some_and(has_runs_to_move));
        let leaving: Vec<WorkerId> = leaving.cloned().collect();
        let mut claims = TargetClaims::default();
        for worker in leaving {
            self.watch_notice(now.point, &worker);
            self.move_runs_from(now.point, &worker, &mut claims);
        }
    }

    /// Notices that a worker has stayed for longer than earlier ones. Its runs are left alone then.
    fn watch_notice(&mut self, now: TimePoint, worker: &WorkerId) {
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        let has_told = entry.listing.leaves_in.is_some();
        if !has_told && entry.leaves_at.is_some_and(|at| now >= at + EXIT_DOUBT) {
            entry.leaves_at = None;
            self.notice_habit.learned = None;
        }
    }

    fn move_runs_from(&mut self, now: TimePoint, worker: &WorkerId, claims: &mut TargetClaims) {
        let Some(entry) = self.workers.get(worker) else {
            return;
        };
        let is_last_call = entry
            .leaves_at
            .is_some_and(|at| at.since(now) <= LAST_STOP_TIME);
        let runs = entry.runs.iter().filter(|(_, run)| may_move(run));
        let lost = runs.filter_map(|(key, run)| {
            let times = self.times_if_lost(now, entry, *key, run)?;
            Some((*key, times))
        });
        let lost: Vec<(TaskKey, RemainingTimes)> = lost.collect();
        if lost.is_empty() {
            return;
        }
        self.sync_workers(now);
        for (key, times) in lost {
            let target = self.claim_target(now, key, worker, claims);
            if target.is_some() || is_last_call {
                self.move_run(now, worker, key, target, times, MoveCause::Leaving);
            }
        }
    }

    /// Returns the time that a run still takes, if its worker leaves before.
    fn times_if_lost(
        &self,
        now: TimePoint,
        entry: &WorkerEntry,
        key: TaskKey,
        run: &RunEntry,
    ) -> Option<RemainingTimes> {
        let job = self.jobs.get(&key.job)?;
        let step = job.request.steps.get(key.step as usize)?;
        let exit_at = entry.exit_at(step.has_checkpoints)?;
        let times = self.times_to_end(now, now.since(entry.read_at), key, run)?;
        let is_expected = now < exit_at + EXIT_DOUBT;
        let is_lost = times.here > exit_at.since(now) + REPORT_DELAY;
        (is_expected && is_lost).then_some(times)
    }

    /// Returns the time that a run still takes. If its speed wasn't observed, it is assumed to take half
    /// of what the estimate says, since a run that would end in time isn't stopped.
    fn times_to_end(
        &self,
        now: TimePoint,
        read_for: Duration,
        key: TaskKey,
        run: &RunEntry,
    ) -> Option<RemainingTimes> {
        if let Some(times) = self.remaining_times(read_for, key, run) {
            return Some(times);
        }
        let job = self
            .jobs
            .get(&key.job)
            .filter(|job| !job.phase.is_final())?;
        let step = job.request.steps.get(key.step as usize)?;
        let since = run.started_at()?;
        (!step.is_gang).then(|| RemainingTimes {
            here: (run.estimate / 2).saturating_sub(now.since(since)),
            elsewhere: MOVE_TIME + run.estimate,
        })
    }
}

/// Returns whether a worker that has given notice answers and has runs.
fn has_runs_to_move(entry: &WorkerEntry) -> bool {
    !entry.runs.is_empty() && entry.can_be_evacuated()
}
