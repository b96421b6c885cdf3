//! Holds on workers for long-running tasks, which need more free capacity than a stream of short
//! tasks leaves on any worker.

use std::time::Duration;

use super::action::PlannerTime;
use super::planner::JobPlanner;
use super::step_placement::StartableStep;
use crate::job::{JobEntry, ServiceName, TaskKey, WorkerId};
use crate::worker::WorkerEntry;

/// The time that a task waits before a worker is held for it, if the free capacity is scattered
/// over the workers.
const SCATTERED_WAIT: Duration = Duration::from_secs(1);
/// The same if there is little free capacity at all.
const FULL_WAIT: Duration = Duration::from_secs(6);
/// The minimum interval between two searches for a worker to hold.
const HOLD_SEARCH_INTERVAL: Duration = Duration::from_millis(100);
/// The number of workers for each of which one may be held, while the free capacity is scattered.
const WORKERS_PER_HOLD: usize = 50;
/// The number of workers for each of which one may be held for tasks that were running already.
const WORKERS_PER_RESTART_HOLD: usize = 4;
/// The fraction of all processors from which on free capacity counts as scattered.
const SCATTERED_FREE_FRACTION: f64 = 0.05;

impl JobPlanner {
    /// Holds a worker for a long-running task that fits on no worker. The worker gets no other
    /// tasks until its short tasks have ended.
    ///
    /// Otherwise, any capacity that becomes free would go to the next short task.
    pub(super) fn try_hold_worker(
        &mut self,
        now: PlannerTime,
        startable: &StartableStep<'_>,
        key: TaskKey,
    ) {
        let is_waiting = startable.step.is_long_running && !self.has_held_worker(key);
        if !is_waiting || self.wait_time(now, key) < SCATTERED_WAIT {
            return;
        }
        let has_run_before = self.has_run_before(key);
        let is_due = if has_run_before {
            self.is_restart_hold_due(now)
        } else {
            self.is_first_hold_due(now, startable, key)
        };
        if !is_due {
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
        match emptiest {
            Some(worker) => self.add_hold(key, worker),
            None if has_run_before => {
                self.next_restart_search = now.point + HOLD_SEARCH_INTERVAL;
            }
            None => {}
        }
    }

    /// Returns whether the task was started before.
    fn has_run_before(&self, key: TaskKey) -> bool {
        let job = self.jobs.get(&key.job);
        job.and_then(|job| job.task(key))
            .is_some_and(|task| task.run > 0)
    }

    /// Returns whether a worker may be held now for a task that was running already. Such tasks don't
    /// wait for a cluster to have free capacity, since all that they need was theirs.
    fn is_restart_hold_due(&self, now: PlannerTime) -> bool {
        let limit = self.usable_worker_count() / WORKERS_PER_RESTART_HOLD + 1;
        self.next_restart_search <= now.point && self.held_workers.len() < limit
    }

    /// Returns whether a worker may be held now for a task that has never run.
    fn is_first_hold_due(
        &mut self,
        now: PlannerTime,
        startable: &StartableStep<'_>,
        key: TaskKey,
    ) -> bool {
        if self.next_hold_search > now.point {
            return false;
        }
        self.next_hold_search = now.point + HOLD_SEARCH_INTERVAL;
        let (wait, limit) = self.hold_limits(&startable.policy.service);
        self.wait_time(now, key) >= wait && self.held_workers.len() < limit
    }

    /// Returns how long the task's step has waited for workers.
    fn wait_time(&self, now: PlannerTime, key: TaskKey) -> Duration {
        let diagnostics = self.jobs.get(&key.job).map(|job| &job.diagnostics);
        let since =
            diagnostics.and_then(|diagnostics| diagnostics.waiting_since(key.occurrence, key.step));
        let wait_time = now.unix_ms.saturating_sub(since.unwrap_or(now.unix_ms));
        Duration::from_millis(wait_time)
    }

    /// Returns how long a task has to wait before a worker is held for it, and how many workers may
    /// be held.
    fn hold_limits(&self, service: &ServiceName) -> (Duration, usize) {
        let workers = self.workers.values();
        let service_workers = workers.filter(|worker| {
            worker.listing.service == *service && !self.zones.is_evacuated(worker)
        });
        if has_scattered_capacity(service_workers) {
            let limit = self.usable_worker_count() / WORKERS_PER_HOLD + 1;
            (SCATTERED_WAIT, limit)
        } else {
            (FULL_WAIT, 1)
        }
    }

    /// Returns whether a worker is held for a task.
    pub(super) fn has_held_worker(&self, key: TaskKey) -> bool {
        self.held_workers.contains_key(&key)
    }

    /// Releases held workers whose task neither waits nor is being evacuated, or that no longer
    /// take tasks, are in an evacuated zone or have become too small for it.
    pub(super) fn release_stale_holds(&mut self, now: PlannerTime) {
        self.adopt_holds();
        let awaits_adoption = self.wait_ledger.awaits_adoption(now.point);
        let is_waiting = |key: &TaskKey| {
            let job = self.jobs.get(&key.job).filter(|job| !job.phase.is_final());
            let task = job.and_then(|job: &JobEntry| job.task(*key));
            task.is_some_and(|task| task.is_startable(now.point))
        };
        let is_needed = |key: &TaskKey| is_waiting(key) || self.is_being_evacuated(*key);
        let takes_tasks = |worker: &WorkerId| match self.workers.get(worker) {
            Some(entry) if entry.is_adopted => {
                entry.takes_tasks(now.point) && !self.zones.is_evacuated(entry)
            }
            Some(_) | None => awaits_adoption,
        };
        let held = self.held_workers.iter();
        let stale = held.filter(|(key, worker)| {
            !is_needed(key) || !takes_tasks(worker) || !self.is_large_enough(worker, **key)
        });
        let stale: Vec<TaskKey> = stale.map(|(key, _)| *key).collect();
        for key in stale {
            self.remove_hold(key);
        }
    }

    /// Returns whether a worker has room for a task once its short tasks have ended, as far as is known.
    fn is_large_enough(&self, worker: &WorkerId, key: TaskKey) -> bool {
        let entry = self.workers.get(worker).filter(|entry| entry.is_adopted);
        let job = self.jobs.get(&key.job);
        let step = job.and_then(|job| job.request.steps.get(key.step as usize));
        let Some((entry, step)) = entry.zip(step) else {
            return true;
        };
        step.reserved_size().fits(&entry.size_beside_long_running())
    }

    /// Marks workers as held that became known after the holds were restored.
    fn adopt_holds(&mut self) {
        for (key, worker) in &self.held_workers {
            if let Some(entry) = self.workers.get_mut(worker) {
                entry.held_for = Some(*key);
            }
        }
    }

    /// Holds a worker for a task.
    pub(super) fn add_hold(&mut self, key: TaskKey, worker: WorkerId) {
        if let Some(entry) = self.workers.get_mut(&worker) {
            entry.held_for = Some(key);
            self.held_workers.insert(key, worker);
        }
    }

    fn remove_hold(&mut self, key: TaskKey) {
        let worker = self.held_workers.remove(&key);
        if let Some(entry) = worker.and_then(|worker| self.workers.get_mut(&worker)) {
            entry.held_for = None;
        }
    }
}

/// Returns whether the workers have a substantial amount of free processors in total.
fn has_scattered_capacity<'w>(workers: impl Iterator<Item = &'w WorkerEntry>) -> bool {
    let (free, all) = workers.fold((0.0, 0.0), |(free, all), worker| {
        let capacity = f64::from(worker.listing.capacity.processors.0);
        (
            free + f64::from(worker.free_size().processors.0),
            all + capacity,
        )
    });
    free >= all * SCATTERED_FREE_FRACTION
}
