//! The VMs with the history of their states.

use std::collections::BTreeMap;
use std::time::Duration;

use geraniumshed_model::prelude::{TimePoint, VmEntry, VmId, VmPhase};

/// One change of the list; its version is its position, counted from 1.
#[derive(Debug, Clone)]
struct VmChange {
    at: TimePoint,
    entry: VmEntry,
}

/// The VMs that changed since a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredChanges {
    /// The version up to which the changes go.
    pub version: u64,
    /// Whether these are all VMs.
    pub whole: bool,
    /// The VMs, each in its last state.
    pub entries: Vec<VmEntry>,
}

/// The history of the list.
#[derive(Debug, Default)]
pub struct VmStore {
    changes: Vec<VmChange>,
}

impl VmStore {
    /// Adds a VM or changes it.
    pub fn set(&mut self, now: TimePoint, entry: VmEntry) {
        self.changes.push(VmChange { at: now, entry });
    }

    /// Changes the state of a VM and tells whether there is such a VM.
    pub fn set_phase(&mut self, now: TimePoint, vm: &VmId, phase: VmPhase) -> bool {
        let last = self.changes.iter().rfind(|change| change.entry.vm == *vm);
        let Some(mut entry) = last.map(|change| change.entry.clone()) else {
            return false;
        };
        entry.phase = phase;
        self.set(now, entry);
        true
    }

    /// Returns what changed since a version, as the list knew it `lag` ago.
    pub fn changes(&self, now: TimePoint, lag: Duration, since: u64) -> StoredChanges {
        let known = self
            .changes
            .partition_point(|change| change.at + lag <= now);
        let since = usize::try_from(since).unwrap_or(usize::MAX);
        // A version that the list does not know yet belongs to another life of the list.
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
