//! Room that is kept for long-running tasks, which need more of it than short tasks leave.

use std::time::Duration;

use super::action::PlannerMoment;
use super::placing::StartableStep;
use super::planner::JobPlanner;
use crate::job::{JobEntry, ServiceName, TaskKey, WorkerId};
use crate::worker::WorkerEntry;

/// The time for which a task waits for a gap where room is scattered, before one is made for it.
const SCATTERED_WAIT: Duration = Duration::from_secs(1);
/// The same where all room is taken.
const CROWDED_WAIT: Duration = Duration::from_secs(6);
/// The pause between two searches for a worker to keep free.
const HOLD_PAUSE: Duration = Duration::from_millis(100);
/// One worker of so many may be kept free.
const HOLD_SHARE: usize = 50;
/// The part of all processors that is free at the least where a task finds no room only since the
/// free ones are scattered.
const SCATTERED_SHARE: f64 = 0.05;

impl JobPlanner {
    /// Keeps a worker free for a long-running task that found no room, until the short tasks there
    /// have ended.
    ///
    /// Otherwise each gap would go to the next short task that fits.
    pub(super) fn hold_worker(
        &mut self,
        now: PlannerMoment,
        startable: &StartableStep<'_>,
        key: TaskKey,
    ) {
        let is_due = startable.step.is_long_running && self.next_hold <= now.point;
        if !is_due || self.is_held(key) {
            return;
        }
        let waited = self.waited(now, key);
        if waited < SCATTERED_WAIT {
            return;
        }
        self.next_hold = now.point + HOLD_PAUSE;
        let (wait, limit) = self.hold_terms(&startable.policy.service);
        if waited < wait || self.held_workers.len() >= limit {
            return;
        }
        let Some(query) = self.query(now.point, startable, key, None) else {
            return;
        };
        let emptiest = self
            .workers
            .values()
            .filter(|worker| worker.held_for.is_none() && query.would_fit(worker))
            .max_by_key(|worker| worker.free_size().processors)
            .map(|worker| worker.id().clone());
        if let Some(worker) = emptiest {
            self.keep(key, worker);
        }
    }

    /// Returns the time for which a task's step has waited for workers.
    fn waited(&self, now: PlannerMoment, key: TaskKey) -> Duration {
        let story = self.jobs.get(&key.job).map(|job| &job.story);
        let since = story.and_then(|story| story.waits_since(key.occurrence, key.step));
        let waited = now.unix_ms.saturating_sub(since.unwrap_or(now.unix_ms));
        Duration::from_millis(waited)
    }

    /// Returns for how long a task has to wait before a worker is kept free for it, and how many
    /// workers may be.
    fn hold_terms(&self, service: &ServiceName) -> (Duration, usize) {
        let workers = self.workers.values();
        let own = workers.filter(|worker| worker.listing.service == *service);
        if has_scattered_room(own) {
            (SCATTERED_WAIT, self.workers.len() / HOLD_SHARE + 1)
        } else {
            (CROWDED_WAIT, 1)
        }
    }

    /// Tells whether a worker is kept free for a task.
    pub(super) fn is_held(&self, key: TaskKey) -> bool {
        self.held_workers.contains_key(&key)
    }

    /// Gives up the workers that are kept free for tasks that don't wait any more, or that take no
    /// tasks any more.
    pub(super) fn release_held(&mut self, now: PlannerMoment) {
        let is_waiting = |key: &TaskKey| {
            let job = self.jobs.get(&key.job).filter(|job| !job.phase.is_final());
            let task = job.and_then(|job: &JobEntry| job.task(*key));
            task.is_some_and(|task| task.is_startable(now.point))
        };
        let takes_tasks = |worker: &WorkerId| {
            let entry = self.workers.get(worker);
            entry.is_some_and(|entry: &WorkerEntry| entry.takes_tasks(now.point))
        };
        let held = self.held_workers.iter();
        let idle = held.filter(|(key, worker)| !is_waiting(key) || !takes_tasks(worker));
        let idle: Vec<TaskKey> = idle.map(|(key, _)| *key).collect();
        for key in idle {
            self.let_go(key);
        }
    }

    fn keep(&mut self, key: TaskKey, worker: WorkerId) {
        if let Some(entry) = self.workers.get_mut(&worker) {
            entry.held_for = Some(key);
            self.held_workers.insert(key, worker);
        }
    }

    fn let_go(&mut self, key: TaskKey) {
        let worker = self.held_workers.remove(&key);
        if let Some(entry) = worker.and_then(|worker| self.workers.get_mut(&worker)) {
            entry.held_for = None;
        }
    }
}

/// Tells whether workers have a good deal of room, if not in one place.
fn has_scattered_room<'w>(workers: impl Iterator<Item = &'w WorkerEntry>) -> bool {
    let (free, all) = workers.fold((0.0, 0.0), |(free, all), worker| {
        let capacity = f64::from(worker.listing.capacity.processors.0);
        (
            free + f64::from(worker.free_size().processors.0),
            all + capacity,
        )
    });
    free >= all * SCATTERED_SHARE
}
