//! The waits of long-running tasks and the workers held for them, as they are stored for a
//! successor.
//!
//! A worker is held for a task that has waited for a while. If each leader counted that time from
//! its own takeover and released the held workers, leaders that follow each other sooner would
//! never make room for the task.

use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;

use super::action::PlannerTime;
use super::planner::JobPlanner;
use crate::job::{JobEntry, JobId, TaskKey, WorkerId};

/// The minimum interval between two writes of the waits, and the time for which a change of them
/// waits for a batch that is stored anyway.
const STORE_INTERVAL: Duration = Duration::from_millis(250);
/// The time after a takeover within which a held worker has to answer. Otherwise, it is released.
const ADOPTION_LIMIT: Duration = Duration::from_secs(1);

/// The waits of long-running tasks and the workers held for them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WaitSnapshot {
    /// The long-running steps that wait for workers.
    pub steps: Vec<StepWait>,
    /// The held workers.
    pub holds: Vec<WorkerHold>,
}

/// A long-running step with tasks that wait for workers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StepWait {
    /// The job.
    pub job: JobId,
    /// The number of the occurrence.
    pub occurrence: u32,
    /// The index of the step.
    pub step: u32,
    /// Since when the step waits, in milliseconds of Unix time.
    pub since_unix_ms: u64,
}

/// A worker that is held for a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerHold {
    /// The task.
    pub task: TaskKey,
    /// The worker.
    pub worker: WorkerId,
}

/// Tracks which waits the store holds.
#[derive(Debug, Default)]
pub(super) struct WaitLedger {
    /// The newest snapshot that was passed on to be stored.
    newest: WaitSnapshot,
    /// Whether the waits have changed since, so that the next batch contains a snapshot.
    is_outdated: bool,
    /// Whether no other batch has been stored since the change, so that one is due for it.
    is_due: bool,
    /// The earliest time of the next comparison.
    next_check: TimePoint,
    /// The time until which held workers may be unknown or not have answered this planner.
    adoption_end: TimePoint,
}

impl WaitLedger {
    /// Returns whether a batch has to be stored for the waits alone.
    pub(super) fn is_due(&self) -> bool {
        self.is_due
    }

    /// Returns whether a held worker may still be about to answer this planner for the first time.
    pub(super) fn awaits_adoption(&self, now: TimePoint) -> bool {
        now < self.adoption_end
    }
}

impl JobPlanner {
    /// Restores the waits that an earlier planner stored.
    ///
    /// The jobs have to be restored before. The snapshot of any earlier planner may be used: a
    /// wrong one only makes a worker be held a little sooner or later.
    pub fn restore_waits(&mut self, now: PlannerTime, snapshot: WaitSnapshot) {
        for wait in &snapshot.steps {
            let job = self.jobs.get_mut(&wait.job);
            if let Some(job) = job.filter(|job| is_waiting(job, wait, now.point)) {
                // The clock of the leader before may have been ahead.
                let since = wait.since_unix_ms.min(now.unix_ms);
                job.diagnostics
                    .record_waiting(wait.occurrence, wait.step, since);
            }
        }
        let holds = snapshot.holds.iter().cloned();
        self.held_workers = holds.map(|hold| (hold.task, hold.worker)).collect();
        self.wait_ledger.newest = snapshot;
        self.wait_ledger.adoption_end = now.point + ADOPTION_LIMIT;
    }

    /// Decides whether the waits have to be stored.
    pub(super) fn watch_waits(&mut self, now: TimePoint) {
        if now < self.wait_ledger.next_check {
            return;
        }
        let is_outdated = self.wait_snapshot() != self.wait_ledger.newest;
        let ledger = &mut self.wait_ledger;
        ledger.next_check = now + STORE_INTERVAL;
        ledger.is_due = ledger.is_outdated && is_outdated;
        ledger.is_outdated = is_outdated;
    }

    /// Takes the snapshot that a batch stores, if the waits have changed.
    pub(super) fn take_wait_snapshot(&mut self) -> Option<WaitSnapshot> {
        if !self.wait_ledger.is_outdated {
            return None;
        }
        let snapshot = self.wait_snapshot();
        self.wait_ledger.newest = snapshot.clone();
        self.wait_ledger.is_outdated = false;
        self.wait_ledger.is_due = false;
        Some(snapshot)
    }

    fn wait_snapshot(&self) -> WaitSnapshot {
        let open_jobs = self.open_jobs.iter().filter_map(|id| self.jobs.get(id));
        let hold = |(task, worker): (&TaskKey, &WorkerId)| WorkerHold {
            task: *task,
            worker: worker.clone(),
        };
        WaitSnapshot {
            steps: open_jobs.flat_map(long_running_waits).collect(),
            holds: self.held_workers.iter().map(hold).collect(),
        }
    }
}

/// Returns the waits of a job's long-running steps.
fn long_running_waits(job: &JobEntry) -> impl Iterator<Item = StepWait> {
    let waits = job.diagnostics.waiting_steps();
    let long_running = waits.filter(|(_, step, _)| is_long_running(job, *step));
    long_running.map(|(occurrence, step, since_unix_ms)| StepWait {
        job: job.id,
        occurrence,
        step,
        since_unix_ms,
    })
}

fn is_long_running(job: &JobEntry, step: u32) -> bool {
    let request = job.request.steps.get(step as usize);
    request.is_some_and(|request| request.is_long_running)
}

/// Returns whether a stored wait still applies. The step may have been placed since it was stored.
fn is_waiting(job: &JobEntry, wait: &StepWait, now: TimePoint) -> bool {
    if job.phase.is_final() || !is_long_running(job, wait.step) {
        return false;
    }
    let Some(occurrence) = job.occurrence(wait.occurrence) else {
        // Jobs without stored progress get their occurrences later.
        return wait.occurrence >= job.ended_occurrences;
    };
    let tasks = occurrence.steps.get(wait.step as usize);
    tasks.is_some_and(|tasks| tasks.iter().any(|task| task.is_startable(now)))
}
