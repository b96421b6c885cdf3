//! The delays and failures of a job, for the log.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

/// The delays and failures of a job, which are logged when it ends.
///
/// Only the waits of long-running steps are stored, so a new leader starts without the others.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct JobDiagnostics {
    /// When the first task was placed on a worker, in milliseconds of Unix time.
    pub first_placed_unix_ms: Option<u64>,
    /// The number of runs that ended without success, by reason.
    pub lost_runs: BTreeMap<&'static str, u32>,
    /// When each step could first start, by occurrence and index, in milliseconds of Unix time.
    ready_since: BTreeMap<(u32, u32), u64>,
    /// The steps that are waiting for a worker, by occurrence and index, with the time in
    /// milliseconds of Unix time since when each waits.
    waiting_since: BTreeMap<(u32, u32), u64>,
}

impl JobDiagnostics {
    /// Records that a task was placed on a worker.
    pub fn record_placement(&mut self, unix_ms: u64) {
        self.first_placed_unix_ms.get_or_insert(unix_ms);
    }

    /// Records a run that ended without success.
    pub fn record_lost_run(&mut self, reason: &'static str) {
        *self.lost_runs.entry(reason).or_default() += 1;
    }

    /// Records that a step can start.
    pub fn record_ready(&mut self, occurrence: u32, step: u32, unix_ms: u64) {
        self.ready_since
            .entry((occurrence, step))
            .or_insert(unix_ms);
    }

    /// Returns when a step could first start, in milliseconds of Unix time.
    pub fn ready_since(&self, occurrence: u32, step: u32) -> Option<u64> {
        self.ready_since.get(&(occurrence, step)).copied()
    }

    /// Records that tasks of a step wait for a worker and returns whether the wait is new.
    pub fn record_waiting(&mut self, occurrence: u32, step: u32, unix_ms: u64) -> bool {
        let entry = self.waiting_since.entry((occurrence, step));
        let is_new = matches!(entry, Entry::Vacant(_));
        entry.or_insert(unix_ms);
        is_new
    }

    /// Records that no task of a step waits for a worker any longer.
    pub fn clear_waiting(&mut self, occurrence: u32, step: u32) {
        self.waiting_since.remove(&(occurrence, step));
    }

    /// Returns the steps that are waiting for a worker: the occurrence, the index, and the time in
    /// milliseconds of Unix time since when each waits.
    pub fn waiting_steps(&self) -> impl Iterator<Item = (u32, u32, u64)> {
        let waits = self.waiting_since.iter();
        waits.map(|((occurrence, step), since)| (*occurrence, *step, *since))
    }

    /// Returns since when tasks of a step wait for a worker, in milliseconds of Unix time.
    pub fn waiting_since(&self, occurrence: u32, step: u32) -> Option<u64> {
        self.waiting_since.get(&(occurrence, step)).copied()
    }
}
