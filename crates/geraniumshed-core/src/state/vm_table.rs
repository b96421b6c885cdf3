//! The VMs as the platform lists them, with the age of the list.

use std::collections::BTreeMap;
use std::time::Duration;

use geraniumshed_model::prelude::{TimePoint, VmEntry, VmId, VmPhase, VmRole};

/// The VMs of the platform's list.
#[derive(Debug, Clone, Default)]
pub struct VmTable {
    entries: BTreeMap<VmId, VmEntry>,
    as_of: Option<TimePoint>,
}

impl VmTable {
    /// Returns the entry of a VM.
    pub fn vm(&self, vm: &VmId) -> Option<&VmEntry> {
        self.entries.get(vm)
    }

    /// Returns all VMs of a role that are not gone, in the order of their ids.
    pub fn live(&self, role: VmRole) -> impl Iterator<Item = &VmEntry> {
        self.entries
            .values()
            .filter(move |entry| entry.role == role && entry.phase != VmPhase::Gone)
    }

    /// Returns the point of time that the list describes, if one was read.
    pub fn as_of(&self) -> Option<TimePoint> {
        self.as_of
    }

    /// Applies a page of the list that is `age` old at `now`.
    ///
    /// VMs that are missing from a whole page are gone.
    pub fn apply(&mut self, now: TimePoint, age: Duration, whole: bool, entries: Vec<VmEntry>) {
        if whole {
            for entry in self.entries.values_mut() {
                entry.phase = VmPhase::Gone;
            }
        }
        for entry in entries {
            self.entries.insert(entry.vm.clone(), entry);
        }
        self.as_of = Some(now - age);
    }
}
