//! The change history of the VM list.

use std::collections::BTreeMap;
use std::time::Duration;

use geraniumshed_model::prelude::{TimePoint, VmEntry, VmId, VmPhase};

/// A change of the list; its version is its position, counted from 1.
#[derive(Debug, Clone)]
struct VmChange {
    at: TimePoint,
    entry: VmEntry,
}

/// The VM entries that changed since a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredChanges {
    /// The version of the last included change.
    pub version: u64,
    /// Whether the entries are the whole list.
    pub whole: bool,
    /// The latest entry of each VM.
    pub entries: Vec<VmEntry>,
}

/// The history of the list.
#[derive(Debug, Default)]
pub struct VmStore {
    changes: Vec<VmChange>,
}

impl VmStore {
    /// Adds a VM or replaces its entry.
    pub fn set(&mut self, now: TimePoint, entry: VmEntry) {
        self.changes.push(VmChange { at: now, entry });
    }

    /// Changes the phase of a VM and returns whether the VM exists.
    pub fn set_phase(&mut self, now: TimePoint, vm: &VmId, phase: VmPhase) -> bool {
        let last = self.changes.iter().rfind(|change| change.entry.vm == *vm);
        let Some(mut entry) = last.map(|change| change.entry.clone()) else {
            return false;
        };
        entry.phase = phase;
        self.set(now, entry);
        true
    }

    /// Returns the changes since a version, up to those that are at least `lag` old.
    pub fn changes(&self, now: TimePoint, lag: Duration, since: u64) -> StoredChanges {
        let known = self
            .changes
            .partition_point(|change| change.at + lag <= now);
        let since = usize::try_from(since).unwrap_or(usize::MAX);
        // A higher version than the list has comes from before a restart of the list.
        let whole = since == 0 || since > known;
        let start = if whole { 0 } else { since };
        let mut entries = BTreeMap::new();
        for change in &self.changes[start..known] {
            entries.insert(change.entry.vm.clone(), change.entry.clone());
        }
        StoredChanges {
            version: known as u64,
            whole,
            entries: entries.into_values().collect(),
        }
    }
}
