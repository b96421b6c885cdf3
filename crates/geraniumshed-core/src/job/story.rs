//! What a job met with, to explain its end.

use std::collections::{BTreeMap, BTreeSet};

/// What a job met with under the present planner, to explain its end.
///
/// It isn't stored: after a takeover it begins anew.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct JobStory {
    /// When the first task got a worker, in milliseconds of Unix time.
    pub first_placed_unix_ms: Option<u64>,
    /// The runs that ended without success, by reason.
    pub lost_runs: BTreeMap<&'static str, u32>,
    /// The steps, by occurrence and number, that were last seen to wait for a worker.
    waiting: BTreeSet<(u32, u32)>,
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

    /// Takes note whether tasks of a step wait for a worker, and returns whether they began to.
    pub fn waits(&mut self, occurrence: u32, step: u32, is_waiting: bool) -> bool {
        if is_waiting {
            self.waiting.insert((occurrence, step))
        } else {
            self.waiting.remove(&(occurrence, step));
            false
        }
    }
}
