//! The VMs in the platform's list, with the age of the list.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use geraniumshed_model::prelude::{TimePoint, VmEntry, VmId, VmPhase, VmRole};

/// The time for which a list that lacks most of the known VMs is ignored.
const DOUBT_TIME: Duration = Duration::from_mins(1);

/// The VMs in the platform's list.
#[derive(Debug, Clone, Default)]
pub struct VmTable {
    entries: Arc<BTreeMap<VmId, VmEntry>>,
    as_of: Option<TimePoint>,
    doubted_since: Option<TimePoint>,
}

impl VmTable {
    /// Returns the entry of a VM.
    pub fn vm(&self, vm: &VmId) -> Option<&VmEntry> {
        self.entries.get(vm)
    }

    /// Returns all VMs of a role that aren't gone, in the order of their ids.
    pub fn live(&self, role: VmRole) -> impl Iterator<Item = &VmEntry> {
        self.entries
            .values()
            .filter(move |entry| entry.role == role && entry.phase != VmPhase::Gone)
    }

    /// Returns the time that the list describes, if one was read.
    pub fn as_of(&self) -> Option<TimePoint> {
        self.as_of
    }

    /// Applies a page of the list that is `age` old at `now`, and returns whether it was accepted.
    ///
    /// VMs that are missing from a page with the whole list are gone. A whole list that lacks most
    /// of the known VMs is ignored for a while, since the platform sometimes answers with an empty
    /// list by mistake.
    pub fn apply(
        &mut self,
        now: TimePoint,
        age: Duration,
        whole: bool,
        entries: Vec<VmEntry>,
    ) -> bool {
        if whole && self.is_doubtful(now, &entries) {
            return false;
        }
        self.doubted_since = None;
        self.as_of = Some(now - age);
        if entries.is_empty() && !whole {
            return true;
        }
        let known = Arc::make_mut(&mut self.entries);
        if whole {
            for entry in known.values_mut() {
                entry.phase = VmPhase::Gone;
            }
        }
        for entry in entries {
            known.insert(entry.vm.clone(), entry);
        }
        true
    }

    fn is_doubtful(&mut self, now: TimePoint, entries: &[VmEntry]) -> bool {
        let live = |entry: &&VmEntry| entry.phase != VmPhase::Gone;
        let before = self.entries.values().filter(live).count();
        let after = entries.iter().filter(live).count();
        if after * 2 >= before {
            return false;
        }
        let since = *self.doubted_since.get_or_insert(now);
        now.since(since) < DOUBT_TIME
    }
}
