//! What decides first whether a worker may take a task, kept together for all workers.
//!
//! A search skips the workers without room by this index, and looks at the others in full.

use std::collections::{BTreeMap, BTreeSet};

use geraniumshed_model::prelude::{ResourceSize, TimePoint};

use super::placement_query::idle_half_units;
use crate::job::{ServiceName, StepRequest, WorkerId};
use crate::worker::WorkerEntry;

/// An index of all workers by what they can take.
#[derive(Debug, Clone, Default)]
pub(super) struct WorkerIndex {
    /// The ids of all workers in ascending order.
    ids: Vec<WorkerId>,
    /// The summary of each worker, in the order of the ids.
    slots: Vec<WorkerSlot>,
    /// The services by their numbers in the slots.
    services: Vec<ServiceName>,
    totals: BTreeMap<u32, ServiceTotals>,
    /// The workers that take no tasks for a time that passes without any other change.
    resting: BTreeSet<WorkerId>,
    /// The workers that are about to leave.
    leaving: BTreeSet<WorkerId>,
    /// The workers in evacuated zones.
    evacuated: BTreeSet<WorkerId>,
}

/// The summary of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct WorkerSlot {
    /// The number of the worker's service.
    service: u32,
    /// Whether the worker takes tasks and is neither held nor on trial nor in an evacuated zone.
    is_open: bool,
    /// Whether the worker is registered and not in an evacuated zone.
    is_counted: bool,
    /// The resources that are free for new tasks.
    free: ResourceSize,
    /// The processors that the runs are expected to leave idle, in units of half a thousandth.
    idle: i64,
    /// The processors of the worker, in the same unit.
    capacity: i64,
}

/// The sums over the registered workers of a service outside evacuated zones, in units of half a thousandth of a processor.
#[derive(Debug, Clone, Copy, Default)]
struct ServiceTotals {
    idle: i64,
    capacity: i64,
}

impl WorkerIndex {
    /// Updates the summary of a worker.
    pub(super) fn update(&mut self, entry: &WorkerEntry, is_evacuated: bool, now: TimePoint) {
        let id = entry.id();
        let service = self.service_number(&entry.listing.service);
        let takes_tasks = entry.takes_tasks(now) && !is_evacuated;
        let slot = WorkerSlot {
            service,
            is_open: takes_tasks && entry.held_for.is_none() && entry.trial.is_none(),
            is_counted: entry.is_listed && !is_evacuated,
            free: entry.free_size(),
            idle: idle_half_units(entry),
            capacity: i64::from(entry.listing.capacity.processors.0) * 2,
        };
        match self.ids.binary_search(id) {
            Ok(position) => {
                let replaced = std::mem::replace(&mut self.slots[position], slot);
                self.subtract(replaced);
            }
            Err(position) => {
                self.ids.insert(position, id.clone());
                self.slots.insert(position, slot);
            }
        }
        self.add(slot);
        set_membership(&mut self.resting, id, entry.quarantine.is_active(now));
        set_membership(&mut self.leaving, id, entry.listing.is_draining);
        set_membership(&mut self.evacuated, id, is_evacuated);
    }

    /// Removes a worker.
    pub(super) fn remove(&mut self, id: &WorkerId) {
        if let Ok(position) = self.ids.binary_search(id) {
            self.ids.remove(position);
            let removed = self.slots.remove(position);
            self.subtract(removed);
        }
        self.resting.remove(id);
        self.leaving.remove(id);
        self.evacuated.remove(id);
    }

    /// Returns the workers that take no tasks for a time that passes without any other change.
    pub(super) fn resting(&self) -> impl Iterator<Item = &WorkerId> {
        self.resting.iter()
    }

    /// Returns the workers that are about to leave.
    pub(super) fn leaving(&self) -> impl Iterator<Item = &WorkerId> {
        self.leaving.iter()
    }

    /// Returns the workers in evacuated zones.
    pub(super) fn evacuated(&self) -> impl Iterator<Item = &WorkerId> {
        self.evacuated.iter()
    }

    /// Returns the number of workers in evacuated zones.
    pub(super) fn evacuated_count(&self) -> usize {
        self.evacuated.len()
    }

    /// Returns the workers of a service that may have room for a task of a step, beginning at a position
    /// that depends on `rotation`.
    pub(super) fn with_room<'a>(
        &'a self,
        service: &ServiceName,
        step: &StepRequest,
        rotation: u64,
    ) -> impl Iterator<Item = &'a WorkerId> + use<'a> {
        let number = self.services.iter().position(|one| one == service);
        let number = number.and_then(|number| u32::try_from(number).ok());
        let reserved = step.reserved_size();
        let required_idle = if step.is_best_effort {
            i64::from(step.size.processors.0) * 2
        } else {
            i64::MIN
        };
        let has_room = move |slot: &WorkerSlot| {
            slot.is_open
                && Some(slot.service) == number
                && slot.idle >= required_idle
                && reserved.fits(&slot.free)
        };
        let count = self.ids.len();
        let first = usize::try_from(rotation % count.max(1) as u64).unwrap_or_default();
        let positions = (first..count).chain(0..first);
        positions
            .filter(move |position| has_room(&self.slots[*position]))
            .map(|position| &self.ids[position])
    }

    /// Returns the processors of a service's workers that take tasks and aren't kept for one.
    pub(super) fn open_processors(&self, service: &ServiceName) -> f64 {
        let number = self.services.iter().position(|one| one == service);
        let number = number.and_then(|number| u32::try_from(number).ok());
        let open = self.slots.iter().filter(|slot| slot.is_open);
        let open = open.filter(|slot| Some(slot.service) == number);
        let half_units: i64 = open.map(|slot| slot.capacity).sum();
        half_units as f64 / 2000.0
    }

    /// Returns whether less than half of the processors of a service's workers are in use.
    pub(super) fn is_mostly_idle(&self, service: &ServiceName) -> bool {
        let number = self.services.iter().position(|one| one == service);
        let number = number.and_then(|number| u32::try_from(number).ok());
        let totals = number.and_then(|number| self.totals.get(&number));
        totals.is_some_and(|totals| totals.idle * 2 > totals.capacity)
    }

    fn service_number(&mut self, service: &ServiceName) -> u32 {
        let known = self.services.iter().position(|one| one == service);
        let position = known.unwrap_or_else(|| {
            self.services.push(service.clone());
            self.services.len() - 1
        });
        u32::try_from(position).unwrap_or(u32::MAX)
    }

    fn add(&mut self, slot: WorkerSlot) {
        if slot.is_counted {
            let totals = self.totals.entry(slot.service).or_default();
            totals.idle += slot.idle;
            totals.capacity += slot.capacity;
        }
    }

    fn subtract(&mut self, slot: WorkerSlot) {
        if slot.is_counted {
            let totals = self.totals.entry(slot.service).or_default();
            totals.idle -= slot.idle;
            totals.capacity -= slot.capacity;
        }
    }
}

/// Adds a worker to a set or removes it.
fn set_membership(set: &mut BTreeSet<WorkerId>, id: &WorkerId, is_member: bool) {
    if is_member {
        set.insert(id.clone());
    } else if !set.is_empty() {
        set.remove(id);
    }
}
