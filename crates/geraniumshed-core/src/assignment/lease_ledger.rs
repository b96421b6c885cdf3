//! What is known about leases, as it is stored for a successor.
//!
//! A successor doesn't know when a silent worker was last called. Without the stored leases it has
//! to assume that the longest lease was granted right before its takeover, and leaders that follow
//! each other sooner than that would never give the worker up. Nor does it know which leases its
//! predecessor asked for, and workers may grant much longer ones.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use geraniumshed_model::prelude::{TimePoint, whole_millis};

use super::action::{PlannerTime, StoreBatch};
use super::planner::JobPlanner;
use crate::job::{TaskKey, WorkerId};
use crate::worker::{WorkerEntry, WorkerIncarnation};

/// The minimum interval between two writes of the leases of silent workers.
const STORE_INTERVAL: Duration = Duration::from_millis(100);
/// The time without a report after which a worker that leaves calls unanswered counts as silent.
/// It is longer than a worker may hold a renewal back.
const SILENCE_LIMIT: Duration = Duration::from_millis(1100);
/// The margin by which a lease of an earlier planner may outlast its length plus clock drift.
const LEASE_MARGIN: Duration = Duration::from_millis(300);
/// The difference that the system clocks of two VMs may have.
const CLOCK_DIFFERENCE: Duration = Duration::from_secs(3);
/// The time within which a call reaches a worker, as long as its sender waits for the answer.
const DELIVERY_TIME: Duration = Duration::from_secs(1);

/// The leases of the silent workers that may still have runs, and limits of all leases.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseSnapshot {
    /// The longest lease that the planner asks for.
    pub requested: Duration,
    /// The time until all leases of earlier planners have expired, counted from the snapshot.
    pub inherited: Duration,
    /// The leases of silent workers, which end by then.
    pub silent: Vec<WorkerLease>,
    /// The leases of new processes of workers, which may be longer than requested.
    pub long: Vec<WorkerLease>,
    /// The runs on silent workers that may be those of a later process.
    pub unconfirmed: Vec<UnconfirmedRun>,
}

/// A run that the known process of its worker hasn't confirmed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnconfirmedRun {
    /// The task.
    pub task: TaskKey,
    /// The time until the lease of any process has certainly expired, counted from the snapshot.
    pub remaining: Duration,
}

/// The lease of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerLease {
    /// The worker.
    pub worker: WorkerId,
    /// The time until the lease has certainly expired, counted from the snapshot.
    pub remaining: Duration,
}

/// Tracks what is known about leases of earlier planners, and whose leases the store may hold.
///
/// A stored lease must not be extended, since a successor relies on it. It has to be withdrawn
/// first: by a stored snapshot without it.
#[derive(Debug)]
pub(super) struct LeaseLedger {
    /// The longest lease that the planner right before this one asked for.
    inherited_request: Duration,
    /// When all leases of earlier planners have expired, once the takeover is known.
    inherited_until: Option<TimePoint>,
    /// When the leases of silent workers expire that an earlier planner has stored.
    inherited: BTreeMap<WorkerId, TimePoint>,
    /// When the longer leases expire that an earlier planner has stored.
    inherited_long: BTreeMap<WorkerId, TimePoint>,
    /// When the leases of unconfirmed runs expire that an earlier planner has stored.
    inherited_unconfirmed: BTreeMap<TaskKey, TimePoint>,
    /// The time until the leases of earlier planners expire in the newest snapshot, if there is one.
    newest_inherited: Option<Duration>,
    /// The workers in the newest snapshot that is certainly stored.
    stored: BTreeSet<WorkerId>,
    /// The batches with later snapshots, and the workers in each of them.
    unstored: VecDeque<(u64, BTreeSet<WorkerId>)>,
    /// Whether the next batch has to contain a snapshot.
    is_due: bool,
    /// The earliest time of the next snapshot that only brings the remaining times up to date.
    next_update: TimePoint,
}

impl LeaseLedger {
    /// Creates a ledger for workers that grant leases up to the given length.
    pub(super) fn new(longest_lease: Duration) -> Self {
        Self {
            inherited_request: longest_lease,
            inherited_until: None,
            inherited: BTreeMap::new(),
            inherited_long: BTreeMap::new(),
            inherited_unconfirmed: BTreeMap::new(),
            newest_inherited: None,
            stored: BTreeSet::new(),
            unstored: VecDeque::new(),
            is_due: false,
            next_update: TimePoint::default(),
        }
    }

    /// Returns whether the next batch has to contain a snapshot.
    pub(super) fn is_due(&self) -> bool {
        self.is_due
    }

    /// Makes the next batch contain a snapshot.
    pub(super) fn request_snapshot(&mut self) {
        self.is_due = true;
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
    /// Restores what the planner right before this one stored about leases, if it did. The stored
    /// times are counted from a time after the snapshot.
    ///
    /// Has to be called before jobs are restored.
    pub fn restore_leases(
        &mut self,
        now: PlannerTime,
        counted_from: TimePoint,
        snapshot: Option<LeaseSnapshot>,
    ) {
        let mut until = now.point;
        if let Some(snapshot) = snapshot {
            let longest = self.settings.longest_lease;
            self.lease_ledger.inherited_request = snapshot.requested.min(longest);
            until = counted_from + snapshot.inherited;
            let end = |lease: WorkerLease| (lease.worker, counted_from + lease.remaining);
            self.lease_ledger.inherited = snapshot.silent.into_iter().map(end).collect();
            self.lease_ledger.inherited_long = snapshot.long.into_iter().map(end).collect();
            let run_end = |run: UnconfirmedRun| (run.task, counted_from + run.remaining);
            let unconfirmed = snapshot.unconfirmed.into_iter().map(run_end);
            self.lease_ledger.inherited_unconfirmed = unconfirmed.collect();
        }
        let requested = now.point + longest_duration(self.lease_ledger.inherited_request);
        self.lease_ledger.inherited_until = Some(until.max(requested));
    }

    /// Returns the time by which a lease has expired that an earlier planner may have asked for
    /// until now.
    pub(super) fn inherited_lease_end(&self, now: TimePoint) -> TimePoint {
        let requested = now + longest_duration(self.lease_ledger.inherited_request);
        requested.max(self.lease_ledger.inherited_until.unwrap_or_default())
    }

    /// Returns the time by which the lease of a worker has expired that earlier planners granted.
    pub(super) fn restored_lease_end(&self, now: TimePoint, worker: &WorkerId) -> TimePoint {
        let ledger = &self.lease_ledger;
        if let Some(end) = ledger.inherited.get(worker) {
            return *end;
        }
        let latest = self.inherited_lease_end(now);
        let long = ledger.inherited_long.get(worker);
        long.map_or(latest, |end| latest.max(*end))
    }

    /// Returns when the lease has expired under which a run may be active that an earlier planner stored as
    /// unconfirmed.
    pub(super) fn unconfirmed_run_end(&self, task: TaskKey) -> Option<TimePoint> {
        let ends = &self.lease_ledger.inherited_unconfirmed;
        ends.get(&task).copied()
    }

    /// Assumes that a worker has just been granted the longest lease, because its process is new.
    ///
    /// A call that was meant for an earlier process carries a deadline on another clock. The worker
    /// shortens it, but only to the longest lease that it grants.
    pub(super) fn assume_longest_lease(&mut self, now: TimePoint, worker: &WorkerId) {
        let end = now + longest_duration(self.settings.longest_lease);
        if let Some(entry) = self.workers.get_mut(worker) {
            entry.lease_expires_at = end;
        }
        self.note_long_lease(now, worker);
    }

    /// Notes that a process of a worker may have just been granted the longest lease, and stores that
    /// for a successor.
    pub(super) fn note_long_lease(&mut self, now: TimePoint, worker: &WorkerId) {
        let end = now + longest_duration(self.settings.longest_lease);
        if let Some(entry) = self.workers.get_mut(worker) {
            entry.long_lease_until = end;
        }
        if end > now + longest_duration(self.longest_requested_lease()) {
            self.lease_ledger.newest_inherited = None;
        }
    }

    /// Returns when the lease has expired that a call which is sent now grants a process that isn't
    /// known.
    pub(super) fn longest_lease_end(&self, now: TimePoint) -> TimePoint {
        now + DELIVERY_TIME + longest_duration(self.settings.longest_lease)
    }

    /// Returns whether a worker's process may be so new that a call for an earlier one has granted
    /// it the longest lease.
    ///
    /// Its clock doesn't tell, since that may show anything when a process starts.
    pub(super) fn is_new_process(
        &self,
        now: PlannerTime,
        process: Option<WorkerIncarnation>,
    ) -> bool {
        let Some(process) = process else {
            return true;
        };
        let new_for = longest_duration(self.settings.longest_lease) + CLOCK_DIFFERENCE;
        now.unix_ms < process.0.saturating_add(whole_millis(new_for))
    }

    /// Decides whether a snapshot has to be stored.
    pub(super) fn watch_leases(&mut self, now: TimePoint) {
        let silent = self.silent_workers(now);
        let needs_update = !silent.is_empty() && self.lease_ledger.next_update <= now;
        self.lease_ledger.is_due =
            needs_update || self.lease_ledger.is_outdated(&silent) || self.is_limit_outdated(now);
    }

    /// Returns whether the store has no limits of this planner yet, or such as still name a lease of
    /// an earlier planner that is longer than its own and has expired by now.
    fn is_limit_outdated(&self, now: TimePoint) -> bool {
        let Some(newest) = self.lease_ledger.newest_inherited else {
            return true;
        };
        let requested = longest_duration(self.longest_requested_lease());
        newest > requested && self.inherited_remaining(now) <= requested
    }

    /// Returns the time until all leases of earlier planners have expired.
    fn inherited_remaining(&self, now: TimePoint) -> Duration {
        let until = self.lease_ledger.inherited_until;
        until.map_or(longest_duration(self.settings.longest_lease), |until| {
            until.since(now)
        })
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
        let inherited = self.inherited_remaining(now);
        let workers = self.silent_workers(now);
        let mut silent = Vec::new();
        let mut unconfirmed = Vec::new();
        for worker in &workers {
            let Some(entry) = self.workers.get_mut(worker) else {
                continue;
            };
            entry.has_stored_lease = true;
            silent.push(WorkerLease {
                worker: worker.clone(),
                remaining: entry.lease_expires_at.since(now),
            });
            let longer = entry
                .unconfirmed_runs()
                .map(|(task, expires_at)| UnconfirmedRun {
                    task,
                    remaining: expires_at.since(now),
                });
            unconfirmed.extend(longer);
        }
        self.lease_ledger.unstored.push_back((batch, workers));
        self.lease_ledger.newest_inherited = Some(inherited);
        self.lease_ledger.next_update = now + STORE_INTERVAL;
        self.lease_ledger.is_due = false;
        Some(LeaseSnapshot {
            requested: self.longest_requested_lease(),
            inherited,
            silent,
            long: self.long_leases(now),
            unconfirmed,
        })
    }

    /// Takes the last batch of a planner that hands over: all unstored changes, and the leases of
    /// silent workers as they are now, if there are any.
    pub fn take_final_batch(&mut self, now: PlannerTime) -> Option<StoreBatch> {
        if !self.silent_workers(now.point).is_empty() {
            self.lease_ledger.request_snapshot();
        }
        self.take_batch(now)
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

    /// Returns the leases that may be longer than any that this planner asks for.
    fn long_leases(&self, now: TimePoint) -> Vec<WorkerLease> {
        let requested = now + longest_duration(self.longest_requested_lease());
        let workers = self.workers.values();
        let long = workers.filter(|entry| entry.long_lease_until > requested);
        long.map(|entry| WorkerLease {
            worker: entry.id().clone(),
            remaining: entry.long_lease_until.since(now),
        })
        .collect()
    }

    /// Returns the workers that may have runs and don't answer.
    fn silent_workers(&self, now: TimePoint) -> BTreeSet<WorkerId> {
        let workers = self.workers.values();
        let silent = workers.filter(|entry| !entry.runs.is_empty() && self.is_silent(entry, now));
        silent.map(|entry| entry.id().clone()).collect()
    }

    fn is_silent(&self, entry: &WorkerEntry, now: TimePoint) -> bool {
        if !entry.is_adopted {
            // Before the registrations were read, no restored worker has an address.
            let is_unregistered = self.has_listing && !entry.has_address();
            return entry.unanswered_calls > 0
                || is_unregistered
                || self.lease_ledger.inherited.contains_key(entry.id());
        }
        // A planner that hands over extends no more leases, so storing one costs nothing.
        let is_certain = self.is_handing_over || now.since(entry.read_at) >= SILENCE_LIMIT;
        entry.unanswered_calls > 0 && is_certain
    }
}

/// Returns the time after which a lease has certainly expired, even if the worker's clock runs slow.
fn longest_duration(lease: Duration) -> Duration {
    lease + lease / 50 + LEASE_MARGIN
}
