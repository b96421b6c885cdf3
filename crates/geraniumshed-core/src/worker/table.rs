//! The known workers, and which of them have changed.

use std::collections::{BTreeMap, btree_map};
use std::fmt::Debug;

use super::entry::WorkerEntry;
use crate::job::WorkerId;

/// The known workers by id.
///
/// The table notes each worker that may have changed, so that what is derived from the workers is
/// updated without looking at all of them.
#[derive(Debug, Clone, Default)]
pub struct WorkerTable {
    entries: BTreeMap<WorkerId, WorkerEntry>,
    /// The workers that may have changed or were removed since they were last taken.
    changed: Vec<WorkerId>,
}

impl WorkerTable {
    /// Returns a worker.
    pub fn get(&self, id: &WorkerId) -> Option<&WorkerEntry> {
        self.entries.get(id)
    }

    /// Returns a worker for changes.
    pub fn get_mut(&mut self, id: &WorkerId) -> Option<&mut WorkerEntry> {
        let entry = self.entries.get_mut(id)?;
        note_change(&mut self.changed, id, entry);
        Some(entry)
    }

    /// Returns a worker to update what is derived from it. The change isn't noted.
    pub fn settle(&mut self, id: &WorkerId) -> Option<&mut WorkerEntry> {
        let entry = self.entries.get_mut(id)?;
        entry.has_noted_change = false;
        Some(entry)
    }

    /// Returns the worker with an id, and adds it if there is none.
    pub fn get_or_insert_with(
        &mut self,
        id: &WorkerId,
        create: impl FnOnce() -> WorkerEntry,
    ) -> &mut WorkerEntry {
        let entry = self.entries.entry(id.clone()).or_insert_with(create);
        note_change(&mut self.changed, id, entry);
        entry
    }

    /// Adds a worker, or replaces the one with the same id.
    pub fn insert(&mut self, mut entry: WorkerEntry) {
        let id = entry.id().clone();
        entry.has_noted_change = true;
        self.changed.push(id.clone());
        self.entries.insert(id, entry);
    }

    /// Removes a worker.
    pub fn remove(&mut self, id: &WorkerId) -> Option<WorkerEntry> {
        let removed = self.entries.remove(id)?;
        self.changed.push(id.clone());
        Some(removed)
    }

    /// Returns all workers for changes.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut WorkerEntry> {
        let changed = &mut self.changed;
        self.entries.iter_mut().map(|(id, entry)| {
            note_change(changed, id, entry);
            entry
        })
    }

    /// Takes the ids of the workers that may have changed or were removed.
    pub fn take_changed(&mut self) -> Vec<WorkerId> {
        std::mem::take(&mut self.changed)
    }

    /// Returns all workers, in the order of their ids.
    pub fn values(&self) -> btree_map::Values<'_, WorkerId, WorkerEntry> {
        self.entries.values()
    }

    /// Returns all ids in ascending order.
    pub fn keys(&self) -> btree_map::Keys<'_, WorkerId, WorkerEntry> {
        self.entries.keys()
    }

    /// Returns all ids with their workers, in ascending order.
    pub fn iter(&self) -> btree_map::Iter<'_, WorkerId, WorkerEntry> {
        self.entries.iter()
    }

    /// Returns the number of workers.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there is no worker.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

impl<'a> IntoIterator for &'a WorkerTable {
    type Item = (&'a WorkerId, &'a WorkerEntry);
    type IntoIter = btree_map::Iter<'a, WorkerId, WorkerEntry>;

    fn into_iter(self) -> Self::IntoIter {
        self.iter()
    }
}

/// Notes that a worker may change, unless that is noted already.
fn note_change(changed: &mut Vec<WorkerId>, id: &WorkerId, entry: &mut WorkerEntry) {
    if !entry.has_noted_change {
        entry.has_noted_change = true;
        changed.push(id.clone());
    }
}
