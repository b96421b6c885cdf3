//! What a job met with, to explain its end.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

/// What a job met with under the present planner, to explain its end.
///
/// It isn't stored: after a takeover it begins anew.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct JobStory {
    /// When the first task got a worker, in milliseconds of Unix time.
    pub first_placed_unix_ms: Option<u64>,
    /// The runs that ended without success, by reason.
    pub lost_runs: BTreeMap<&'static str, u32>,
    /// The steps, by occurrence and number, that were last seen to wait for a worker, with the time
    /// of the first such sight in milliseconds of Unix time.
    waiting: BTreeMap<(u32, u32), u64>,
}

impl JobStory {
    /// Takes note that a task got a worker.
    pub fn placed(&mut self, unix_ms: u64) {
        self.first_placed_unix_ms.get_or_insert(unix_ms);
    }

    /// Takes note that a run ended without success.
    pub fn lost_run(&mut self, reason: &'static str) {
        *self.lost_runs.entry(reason).or_default() += 1;
    }

    /// Takes note that tasks of a step wait for a worker, and returns whether they began to.
    pub fn waits(&mut self, occurrence: u32, step: u32, unix_ms: u64) -> bool {
        let entry = self.waiting.entry((occurrence, step));
        let begins = matches!(entry, Entry::Vacant(_));
        entry.or_insert(unix_ms);
        begins
    }

    /// Takes note that no task of a step waits for a worker.
    pub fn waits_no_more(&mut self, occurrence: u32, step: u32) {
        self.waiting.remove(&(occurrence, step));
    }

    /// Returns since when tasks of a step wait for a worker, in milliseconds of Unix time.
    pub fn waits_since(&self, occurrence: u32, step: u32) -> Option<u64> {
        self.waiting.get(&(occurrence, step)).copied()
    }
}
