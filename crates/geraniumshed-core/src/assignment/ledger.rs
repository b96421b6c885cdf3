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
    /// The batch with the newest change of each job that isn't stored yet.
    unstored: BTreeMap<JobId, u64>,
}

impl Default for StoreLedger {
    fn default() -> Self {
        Self {
            open: 1,
            stored: 0,
            changed: BTreeSet::new(),
            forgotten: BTreeSet::new(),
            starts: VecDeque::new(),
            unstored: BTreeMap::new(),
        }
    }
}

impl StoreLedger {
    /// Notes that a job has changed, and returns the number of the batch that will say so.
    pub(super) fn change(&mut self, job: JobId) -> u64 {
        self.changed.insert(job);
        self.unstored.insert(job, self.open);
        self.open
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

    /// Returns the batch after which all changes of a job are stored, if any isn't yet.
    pub(super) fn unstored_batch(&self, job: JobId) -> Option<u64> {
        self.unstored.get(&job).copied()
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
        self.unstored.retain(|_, batch| *batch > stored);
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
