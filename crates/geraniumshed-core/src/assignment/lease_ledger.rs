//! The leases of silent workers, as they are stored for a successor.
//!
//! A successor doesn't know when a silent worker was last called. Without the stored leases it has
//! to assume that the longest lease was granted right before its takeover, and leaders that follow
//! each other sooner than that would never give the worker up.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;

use super::action::PlannerTime;
use super::planner::JobPlanner;
use crate::job::WorkerId;
use crate::worker::WorkerEntry;

/// The minimum interval between two writes of the leases of silent workers.
const STORE_INTERVAL: Duration = Duration::from_millis(250);
/// The time without a report after which a worker that leaves calls unanswered counts as silent.
/// It is longer than a worker may hold a renewal back.
const SILENCE_LIMIT: Duration = Duration::from_millis(1100);

/// The leases of the silent workers that may still have runs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LeaseSnapshot {
    /// The leases.
    pub leases: Vec<SilentLease>,
}

/// The lease of a silent worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SilentLease {
    /// The worker.
    pub worker: WorkerId,
    /// The time until the lease has certainly expired, counted from the snapshot.
    pub remaining: Duration,
}

/// Tracks whose leases the store may hold.
///
/// A stored lease must not be extended, since a successor relies on it. It has to be withdrawn
/// first: by a stored snapshot without it.
#[derive(Debug, Default)]
pub(super) struct LeaseLedger {
    /// The workers in the newest snapshot that is certainly stored.
    stored: BTreeSet<WorkerId>,
    /// The batches with later snapshots, and the workers in each of them.
    unstored: VecDeque<(u64, BTreeSet<WorkerId>)>,
    /// The workers whose leases an earlier planner has stored.
    inherited: BTreeSet<WorkerId>,
    /// Whether the next batch has to contain a snapshot.
    is_due: bool,
    /// The earliest time of the next snapshot that only brings the remaining times up to date.
    next_update: TimePoint,
}

impl LeaseLedger {
    /// Returns whether the next batch has to contain a snapshot.
    pub(super) fn is_due(&self) -> bool {
        self.is_due
    }

    /// Returns whether the store may hold the lease of a worker.
    pub(super) fn contains(&self, worker: &WorkerId) -> bool {
        let mut unstored = self.unstored.iter();
        self.stored.contains(worker) || unstored.any(|(_, workers)| workers.contains(worker))
    }

    /// Returns the workers whose leases the store may hold.
    fn workers(&self) -> BTreeSet<WorkerId> {
        let unstored = self.unstored.iter().flat_map(|(_, workers)| workers);
        self.stored.iter().chain(unstored).cloned().collect()
    }

    /// Returns whether the newest snapshot contains other workers than those given.
    fn is_outdated(&self, silent: &BTreeSet<WorkerId>) -> bool {
        let newest = self.unstored.back().map(|(_, workers)| workers);
        newest.unwrap_or(&self.stored) != silent
    }

    /// Marks the snapshots of all batches up to a number as stored, and returns the workers whose
    /// leases were withdrawn.
    fn mark_stored(&mut self, number: u64) -> Vec<WorkerId> {
        let before = self.workers();
        while let Some((_, workers)) = self.unstored.pop_front_if(|(batch, _)| *batch <= number) {
            self.stored = workers;
        }
        let is_withdrawn = |worker: &WorkerId| !self.contains(worker);
        before.into_iter().filter(is_withdrawn).collect()
    }
}

impl JobPlanner {
    /// Restores the leases that the planner right before this one stored.
    ///
    /// The jobs have to be restored before.
    pub fn restore_leases(&mut self, now: PlannerTime, snapshot: LeaseSnapshot) {
        for lease in snapshot.leases {
            let Some(entry) = self.workers.get_mut(&lease.worker) else {
                continue;
            };
            let expires_at = now.point + lease.remaining;
            entry.lease_expires_at = entry.lease_expires_at.min(expires_at);
            self.lease_ledger.inherited.insert(lease.worker);
            self.lease_ledger.is_due = true;
        }
    }

    /// Decides whether the leases of silent workers have to be stored.
    pub(super) fn watch_silent_leases(&mut self, now: TimePoint) {
        let silent = self.silent_workers(now);
        let needs_update = !silent.is_empty() && self.lease_ledger.next_update <= now;
        self.lease_ledger.is_due = needs_update || self.lease_ledger.is_outdated(&silent);
    }

    /// Takes the snapshot that a batch stores, if one is due. From now on, no call extends the
    /// leases in it.
    pub(super) fn take_lease_snapshot(
        &mut self,
        now: TimePoint,
        batch: u64,
    ) -> Option<LeaseSnapshot> {
        if !self.lease_ledger.is_due {
            return None;
        }
        let silent = self.silent_workers(now);
        let mut leases = Vec::new();
        for worker in &silent {
            let Some(entry) = self.workers.get_mut(worker) else {
                continue;
            };
            entry.has_stored_lease = true;
            leases.push(SilentLease {
                worker: worker.clone(),
                remaining: entry.lease_expires_at.since(now),
            });
        }
        self.lease_ledger.unstored.push_back((batch, silent));
        self.lease_ledger.next_update = now + STORE_INTERVAL;
        self.lease_ledger.is_due = false;
        Some(LeaseSnapshot { leases })
    }

    /// Allows calls to extend the leases that were withdrawn from the store, and renews them.
    pub(super) fn lease_snapshots_stored(&mut self, number: u64) {
        for worker in self.lease_ledger.mark_stored(number) {
            if let Some(entry) = self.workers.get_mut(&worker) {
                entry.has_stored_lease = false;
                entry.renewal = None;
                entry.next_renewal_at = TimePoint::default();
            }
        }
    }

    /// Returns the workers that may have runs and don't answer.
    fn silent_workers(&self, now: TimePoint) -> BTreeSet<WorkerId> {
        let workers = self.workers.values();
        let silent = workers.filter(|entry| !entry.runs.is_empty() && self.is_silent(entry, now));
        silent.map(|entry| entry.id().clone()).collect()
    }

    fn is_silent(&self, entry: &WorkerEntry, now: TimePoint) -> bool {
        if !entry.is_adopted {
            return entry.unanswered_calls > 0
                || !entry.has_address()
                || self.lease_ledger.inherited.contains(entry.id());
        }
        entry.unanswered_calls > 0 && now.since(entry.read_at) >= SILENCE_LIMIT
    }
}
