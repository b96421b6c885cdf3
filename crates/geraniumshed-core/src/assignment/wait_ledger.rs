//! The waits of long-running tasks, the workers held for them and the runs without progress, as they
//! are stored for a successor.
//!
//! A worker is held for a task that has waited for a while. If each leader counted that time from
//! its own takeover and released the held workers, leaders that follow each other sooner would
//! never make room for the task. The same holds for the time after which a run counts as stalled.

use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;

use super::action::PlannerTime;
use super::planner::JobPlanner;
use crate::job::{JobEntry, JobId, TaskKey, TaskPhase, WorkerId};
use crate::worker::{RunEntry, RunPhase, WorkerEntry};

/// The minimum interval between two writes of the waits, and the time for which a change of them
/// waits for a batch that is stored anyway.
const STORE_INTERVAL: Duration = Duration::from_millis(250);
/// The time after a takeover within which a held worker has to answer. Otherwise, it is released.
const ADOPTION_LIMIT: Duration = Duration::from_secs(1);
/// The maximum number of stored runs without progress, which keeps the record small if all runs
/// stall at once.
const IDLE_RUN_LIMIT: usize = 256;

/// The waits of long-running tasks, the workers held for them and the runs without progress.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WaitSnapshot {
    /// The long-running steps that wait for workers.
    pub steps: Vec<StepWait>,
    /// The held workers.
    pub holds: Vec<WorkerHold>,
    /// The runs that have made no progress for at least half of the time after which they count as
    /// stalled.
    pub idle_runs: Vec<IdleRun>,
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

/// A run without progress.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IdleRun {
    /// The task.
    pub task: TaskKey,
    /// The number of the run.
    pub run: u32,
    /// The progress of the run, in percent.
    pub percent: u32,
    /// How long the run has had its full speed without any progress. It doesn't depend on the
    /// clocks of different VMs.
    pub idle_time: Duration,
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
    /// wrong one only makes a worker be held a little sooner or later, and a run without progress
    /// counts only if the worker reports the same run with the same progress.
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
        for idle in &snapshot.idle_runs {
            self.restore_idle_run(idle);
        }
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
            idle_runs: self.idle_runs(),
        }
    }

    /// Returns the runs that have made no progress for at least half of their limit.
    fn idle_runs(&self) -> Vec<IdleRun> {
        let workers = self.workers.values();
        let runs =
            workers.flat_map(|entry| entry.runs.iter().map(move |(key, run)| (entry, key, run)));
        let idle = runs.filter_map(|(entry, key, run)| {
            let limit = self.idle_limit(run).filter(|_| !run.is_stopping())?;
            let idle_time = observed_idle_time(entry, run);
            (idle_time >= limit / 2).then_some(IdleRun {
                task: *key,
                run: run.run,
                percent: run.percent,
                idle_time,
            })
        });
        idle.take(IDLE_RUN_LIMIT).collect()
    }

    /// Restores how long a run has made no progress. The first report of the run resets it, unless
    /// the progress is still the same.
    fn restore_idle_run(&mut self, idle: &IdleRun) {
        let job = self.jobs.get(&idle.task.job);
        let task = job.and_then(|job| job.task(idle.task));
        let Some(TaskPhase::Placed(worker)) = task.map(|task| &task.phase) else {
            return;
        };
        let entry = self.workers.get_mut(worker);
        let run = entry.and_then(|entry| entry.runs.get_mut(&idle.task));
        if let Some(run) = run.filter(|run| run.run == idle.run) {
            run.percent = idle.percent;
            run.earlier_idle_time = idle.idle_time;
        }
    }
}

/// Returns how long a run has made no progress, as far as its worker has reported it.
fn observed_idle_time(entry: &WorkerEntry, run: &RunEntry) -> Duration {
    match run.phase {
        RunPhase::Storing | RunPhase::Ordered(_) => Duration::ZERO,
        // Keeps what an earlier planner has observed until the worker answers this one.
        RunPhase::Unsettled(_) => run.earlier_idle_time,
        RunPhase::Running(_) => run.idle_time(entry.read_at),
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
