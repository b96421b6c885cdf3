//! Tracking of changes until they are stored.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::job::{JobId, TaskKey, WorkerId};

/// The start of a run, which is sent to the worker once the placement is stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct DeferredStart {
    /// The worker.
    pub(super) worker: WorkerId,
    /// The task.
    pub(super) task: TaskKey,
    /// The number of the run.
    pub(super) run: u32,
}

/// The jobs that a batch stores.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct ClosedBatch {
    /// The number of the batch.
    pub(super) number: u64,
    /// The jobs whose progress has changed.
    pub(super) changed: BTreeSet<JobId>,
    /// The jobs that are removed.
    pub(super) forgotten: BTreeSet<JobId>,
    /// The jobs with changes of the crashes under their tasks.
    pub(super) crashes_changed: BTreeSet<JobId>,
}

/// Tracks which changes are stored and which starts wait for them.
///
/// Changes are collected in the open batch. Taking the batch opens the next one. A start is
/// deferred until the batch with its placement is stored.
#[derive(Debug, Clone)]
pub(super) struct ChangeTracker {
    open_batch: u64,
    stored_batch: u64,
    changed: BTreeSet<JobId>,
    /// The jobs whose changes are stored with the open batch, but don't cause it.
    noted: BTreeSet<JobId>,
    forgotten: BTreeSet<JobId>,
    /// The jobs with changes of the crashes under their tasks.
    crashes_changed: BTreeSet<JobId>,
    deferred_starts: VecDeque<(u64, DeferredStart)>,
    /// The batch with the newest change of each job that has unstored changes.
    newest_batches: BTreeMap<JobId, u64>,
}

impl Default for ChangeTracker {
    fn default() -> Self {
        Self {
            open_batch: 1,
            stored_batch: 0,
            changed: BTreeSet::new(),
            noted: BTreeSet::new(),
            forgotten: BTreeSet::new(),
            crashes_changed: BTreeSet::new(),
            deferred_starts: VecDeque::new(),
            newest_batches: BTreeMap::new(),
        }
    }
}

impl ChangeTracker {
    /// Marks a job as changed, and returns the number of the batch that will store the change.
    pub(super) fn mark_changed(&mut self, job: JobId) -> u64 {
        self.changed.insert(job);
        self.newest_batches.insert(job, self.open_batch);
        self.open_batch
    }

    /// Marks a job as changed in a way that need not be stored for its own sake. The next batch stores it.
    pub(super) fn note_changed(&mut self, job: JobId) {
        self.noted.insert(job);
    }

    /// Marks a job as to be removed from the store.
    pub(super) fn mark_forgotten(&mut self, job: JobId) {
        self.changed.remove(&job);
        self.noted.remove(&job);
        self.forgotten.insert(job);
    }

    /// Marks the crashes under a job's tasks as changed.
    pub(super) fn mark_crashes_changed(&mut self, job: JobId) {
        self.crashes_changed.insert(job);
    }

    /// Defers a start until the open batch is stored.
    pub(super) fn defer_start(&mut self, start: DeferredStart) {
        self.deferred_starts.push_back((self.open_batch, start));
    }

    /// Returns the number of starts that wait for their placements to be stored.
    pub(super) fn deferred_count(&self) -> usize {
        self.deferred_starts.len()
    }

    /// Returns the batch that completes the storage of a job's changes, if any are unstored.
    pub(super) fn unstored_batch(&self, job: JobId) -> Option<u64> {
        self.newest_batches.get(&job).copied()
    }

    /// Returns whether the open batch has any changes.
    pub(super) fn has_changes(&self) -> bool {
        !self.changed.is_empty() || !self.forgotten.is_empty() || !self.crashes_changed.is_empty()
    }

    /// Closes the open batch.
    pub(super) fn take_batch(&mut self) -> ClosedBatch {
        let number = self.open_batch;
        self.open_batch += 1;
        self.changed.append(&mut self.noted);
        ClosedBatch {
            number,
            changed: std::mem::take(&mut self.changed),
            forgotten: std::mem::take(&mut self.forgotten),
            crashes_changed: std::mem::take(&mut self.crashes_changed),
        }
    }

    /// Marks all batches up to a number as stored, and returns the starts that waited for them.
    pub(super) fn mark_stored(&mut self, number: u64) -> Vec<DeferredStart> {
        self.stored_batch = self.stored_batch.max(number);
        let stored_batch = self.stored_batch;
        self.newest_batches.retain(|_, batch| *batch > stored_batch);
        let mut ready = Vec::new();
        while let Some((batch, _)) = self.deferred_starts.front() {
            if *batch > stored_batch {
                break;
            }
            ready.extend(self.deferred_starts.pop_front().map(|(_, start)| start));
        }
        ready
    }
}
