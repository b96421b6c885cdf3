//! Which changes are stored and what waits for them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::job::{JobId, TaskKey, WorkerId};

/// A placement that may be ordered once it is stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct GatedStart {
    /// The worker.
    pub(super) worker: WorkerId,
    /// The task.
    pub(super) task: TaskKey,
    /// The number of the run.
    pub(super) run: u32,
}

/// Which changes are stored and what waits for them.
///
/// Changes gather in the open batch. Taking the batch opens the next one; what rests on a change
/// waits until the change's batch is stored.
#[derive(Debug, Clone)]
pub(super) struct StoreLedger {
    open: u64,
    stored: u64,
    changed: BTreeSet<JobId>,
    forgotten: BTreeSet<JobId>,
    starts: VecDeque<(u64, GatedStart)>,
    finals: BTreeMap<JobId, u64>,
}

impl Default for StoreLedger {
    fn default() -> Self {
        Self {
            open: 1,
            stored: 0,
            changed: BTreeSet::new(),
            forgotten: BTreeSet::new(),
            starts: VecDeque::new(),
            finals: BTreeMap::new(),
        }
    }
}

impl StoreLedger {
    /// Notes that a job has changed, and returns the number of the batch that will say so.
    pub(super) fn change(&mut self, job: JobId) -> u64 {
        self.changed.insert(job);
        self.open
    }

    /// Notes that a job has come to its end.
    pub(super) fn change_final(&mut self, job: JobId) {
        self.change(job);
        self.finals.insert(job, self.open);
    }

    /// Notes that a job is to be forgotten.
    pub(super) fn forget(&mut self, job: JobId) {
        self.changed.remove(&job);
        self.forgotten.insert(job);
    }

    /// Keeps a start back until its placement is stored.
    pub(super) fn gate_start(&mut self, start: GatedStart) {
        self.starts.push_back((self.open, start));
    }

    /// Returns the batch that stores a job's end, if it is not stored yet.
    pub(super) fn final_batch(&self, job: JobId) -> Option<u64> {
        self.finals.get(&job).copied()
    }

    /// Tells whether a job's end is not stored yet.
    pub(super) fn is_end_unstored(&self, job: JobId) -> bool {
        self.finals.contains_key(&job)
    }

    /// Tells whether there are changes to store.
    pub(super) fn has_changes(&self) -> bool {
        !self.changed.is_empty() || !self.forgotten.is_empty()
    }

    /// Closes the open batch and returns its number with the changed and the forgotten jobs.
    pub(super) fn take(&mut self) -> (u64, BTreeSet<JobId>, BTreeSet<JobId>) {
        let number = self.open;
        self.open += 1;
        let changed = std::mem::take(&mut self.changed);
        let forgotten = std::mem::take(&mut self.forgotten);
        (number, changed, forgotten)
    }

    /// Notes that all batches up to a number are stored, and returns the starts that waited.
    pub(super) fn stored(&mut self, number: u64) -> Vec<GatedStart> {
        self.stored = self.stored.max(number);
        let stored = self.stored;
        self.finals.retain(|_, batch| *batch > stored);
        let mut free = Vec::new();
        while let Some((batch, _)) = self.starts.front() {
            if *batch > stored {
                break;
            }
            free.extend(self.starts.pop_front().map(|(_, start)| start));
        }
        free
    }
}
