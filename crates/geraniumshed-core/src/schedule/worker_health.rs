//! Workers that fail the starts of several different jobs: quarantine and probes.

use std::collections::BTreeSet;

use geraniumshed_model::prelude::{RecordName, TaskId, TimePoint, VmId};

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

impl ShardScheduler {
    /// Takes in that an attempt on a worker failed or could not start.
    pub(super) fn note_start_failure(&mut self, now: TimePoint, id: &VmId, task: &TaskId) {
        let limit = self.settings.quarantine_jobs;
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
