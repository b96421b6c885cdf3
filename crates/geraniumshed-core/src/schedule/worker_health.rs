//! Workers that fail the starts of several different jobs: quarantine and probes.

use std::collections::{BTreeMap, BTreeSet};

use geraniumshed_model::prelude::{RecordName, TaskId, TaskSpec, TimePoint, VmId};

use super::scheduler::ShardScheduler;
use super::worker_entry::WorkerAttempt;

/// How a worker did with what it was asked to start.
#[derive(Debug, Clone, Default)]
pub struct WorkerHealth {
    /// The records whose tasks failed since the last one that did not.
    failed: BTreeSet<RecordName>,
    /// Since when the worker is quarantined.
    since: Option<TimePoint>,
}

impl WorkerHealth {
    /// Takes in that an attempt of a record failed.
    pub fn note_failure(&mut self, now: TimePoint, record: &RecordName, limit: usize) {
        self.failed.insert(record.clone());
        if self.failed.len() >= limit {
            self.since = Some(now);
        }
    }

    /// Takes in that an attempt did well.
    pub fn note_success(&mut self) {
        self.failed.clear();
        self.since = None;
    }

    /// Returns since when the worker is quarantined.
    pub fn quarantined_since(&self) -> Option<TimePoint> {
        self.since
    }
}

/// The workers on which attempts of a task failed under the present owner.
#[derive(Debug, Clone, Default)]
pub struct FailureTable {
    workers: BTreeMap<TaskId, BTreeSet<VmId>>,
}

impl FailureTable {
    /// Takes in that an attempt of a task failed on a worker.
    fn note(&mut self, task: &TaskId, worker: &VmId) {
        let workers = self.workers.entry(task.clone()).or_default();
        workers.insert(worker.clone());
    }

    /// Forgets a task that has ended.
    pub fn forget(&mut self, task: &TaskId) {
        self.workers.remove(task);
    }

    /// Tells whether an attempt of a task failed on a worker.
    fn has_failed(&self, task: &TaskId, worker: &VmId) -> bool {
        let workers = self.workers.get(task);
        workers.is_some_and(|workers| workers.contains(worker))
    }
}

impl ShardScheduler {
    /// Tells whether a task should wait for another worker, since it failed on this one.
    ///
    /// Else a worker that fails everything, which always has room, would use up a task's attempts.
    pub(super) fn avoids(&self, now: TimePoint, id: &VmId, spec: &TaskSpec) -> bool {
        if !self.failures.has_failed(&spec.task, id) {
            return false;
        }
        self.workers.iter().any(|(other, worker)| {
            let fresh = !self.failures.has_failed(&spec.task, other);
            let usable = worker.is_placeable() && self.accepts(now, other);
            fresh && usable && spec.size.fits(&worker.size)
        })
    }

    /// Takes in that an attempt on a worker failed or could not start.
    pub(super) fn note_start_failure(&mut self, now: TimePoint, id: &VmId, task: &TaskId) {
        let limit = self.settings.quarantine_jobs;
        self.failures.note(task, id);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.health.note_failure(now, &task.record, limit);
        }
    }

    /// Takes in that an attempt on a worker did well.
    pub(super) fn note_start_success(&mut self, id: &VmId) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.health.note_success();
        }
    }

    /// Tells whether a worker may be given one more task, by how it did before.
    ///
    /// A quarantined worker gets one task at a time as a probe.
    pub(super) fn accepts(&self, now: TimePoint, id: &VmId) -> bool {
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
