//! The quarantine of workers on which attempts of several different records fail.

use std::collections::{BTreeMap, BTreeSet};

use geraniumshed_model::prelude::{RecordName, TaskId, TaskSpec, TimePoint, VmId};

use super::scheduler::ShardScheduler;
use super::worker_entry::WorkerAttempt;

/// The recent failures of attempts on a worker.
#[derive(Debug, Clone, Default)]
pub struct WorkerHealth {
    /// The records whose attempts failed since the last attempt that did not fail.
    failed: BTreeSet<RecordName>,
    /// When the last failure quarantined the worker, if it is quarantined.
    since: Option<TimePoint>,
}

impl WorkerHealth {
    /// Adds a failed attempt of a record, and quarantines the worker if it reaches the limit.
    pub fn add_failure(&mut self, now: TimePoint, record: &RecordName, limit: usize) {
        self.failed.insert(record.clone());
        if self.failed.len() >= limit {
            self.since = Some(now);
        }
    }

    /// Removes all failures and ends the quarantine, after an attempt that did not fail.
    pub fn clear_failures(&mut self) {
        self.failed.clear();
        self.since = None;
    }

    /// Returns the time of the failure that last quarantined the worker, if it is quarantined.
    pub fn quarantined_since(&self) -> Option<TimePoint> {
        self.since
    }
}

/// The workers on which attempts of each task failed under this owner.
#[derive(Debug, Clone, Default)]
pub struct FailureTable {
    workers: BTreeMap<TaskId, BTreeSet<VmId>>,
}

impl FailureTable {
    /// Adds that an attempt of a task failed on a worker.
    fn add(&mut self, task: &TaskId, worker: &VmId) {
        let workers = self.workers.entry(task.clone()).or_default();
        workers.insert(worker.clone());
    }

    /// Removes a task that has completed.
    pub fn forget(&mut self, task: &TaskId) {
        self.workers.remove(task);
    }

    /// Returns whether an attempt of a task failed on a worker.
    fn has_failed(&self, task: &TaskId, worker: &VmId) -> bool {
        let workers = self.workers.get(task);
        workers.is_some_and(|workers| workers.contains(worker))
    }
}

impl ShardScheduler {
    /// Returns whether a task should wait for another worker, since it failed on this one.
    ///
    /// Otherwise, a worker on which every attempt fails would use up the attempts of tasks, since
    /// it always has room.
    pub(super) fn should_avoid(&self, now: TimePoint, id: &VmId, spec: &TaskSpec) -> bool {
        if !self.failures.has_failed(&spec.task, id) {
            return false;
        }
        self.workers.iter().any(|(other, worker)| {
            let fresh = !self.failures.has_failed(&spec.task, other);
            let usable = worker.is_placeable() && self.is_accepting(now, other);
            fresh && usable && spec.size.fits(&worker.size)
        })
    }

    /// Handles that an attempt on a worker failed or could not start.
    pub(super) fn add_attempt_failure(&mut self, now: TimePoint, id: &VmId, task: &TaskId) {
        let limit = self.settings.quarantine_jobs;
        self.failures.add(task, id);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.health.add_failure(now, &task.record, limit);
        }
    }

    /// Handles that an attempt on a worker ended without a failure.
    pub(super) fn clear_worker_failures(&mut self, id: &VmId) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.health.clear_failures();
        }
    }

    /// Returns whether a worker may get one more task, by its recent failures.
    ///
    /// A quarantined worker gets one task at a time as a probe.
    pub(super) fn is_accepting(&self, now: TimePoint, id: &VmId) -> bool {
        let Some(worker) = self.workers.get(id) else {
            return false;
        };
        let Some(since) = worker.health.quarantined_since() else {
            return true;
        };
        let probing = worker.attempts.values().any(WorkerAttempt::is_live);
        now.since(since) >= self.settings.probe_after && !probing
    }
}
