//! A worker with its lease and its runs.

use std::cell::OnceCell;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use geraniumshed_model::prelude::{ResourceSize, TimePoint};
use smol_str::SmolStr;

use super::clock::{WorkerClock, WorkerTime};
use super::contact::WorkerContact;
use super::listing::{WorkerIncarnation, WorkerListing};
use super::load::WorkerLoad;
use super::message::FenceToken;
use super::quarantine::WorkerQuarantine;
use super::run::{RunEntry, RunPhase};
use super::track_record::TrackRecord;
use crate::assignment::LoadShare;
use crate::job::{TaskKey, WorkerId};

/// The time within which a worker has ended all runs once its lease has expired, since its timers fire late.
const LAPSE_TIME: Duration = Duration::from_millis(300);

/// A lease renewal that was sent and isn't answered yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SentRenewal {
    /// When the renewal was sent.
    pub sent_at: TimePoint,
    /// The fencing token of the renewal.
    pub token: FenceToken,
}

/// A worker with its lease and its runs.
///
/// The lease allows a worker to continue its runs without contact to the scheduler until a deadline
/// on the worker's own clock, which orders and renewals extend.
#[derive(Debug, Clone)]
pub struct WorkerEntry {
    /// The worker's newest registration.
    pub listing: WorkerListing,
    /// Whether the worker is registered. An unregistered worker gets no new tasks.
    pub is_listed: bool,
    /// The worker process that the runs belong to, once it is known.
    pub incarnation: Option<WorkerIncarnation>,
    /// Whether this scheduler knew an earlier process of the worker.
    pub has_restarted: bool,
    /// The fencing token of new orders.
    pub token: FenceToken,
    /// Whether the worker has answered a renewal with a token of this scheduler.
    pub is_adopted: bool,
    /// The number of consecutive calls without an answer.
    pub unanswered_calls: u32,
    /// The newest reading of the worker's clock.
    pub clock: Option<WorkerClock>,
    /// The latest lease deadline that any order or renewal carried, or that an earlier scheduler's
    /// may have carried.
    pub deadline: WorkerTime,
    /// The time by which the worker's lease has certainly expired, and its runs have ended.
    pub lease_expires_at: TimePoint,
    /// The time until which the worker may have a lease that is longer than requested.
    pub long_lease_until: TimePoint,
    /// The time by which the lease has expired that calls may have extended in a later process, whose
    /// clock the deadlines in them don't fit.
    pub later_lease_expires_at: TimePoint,
    /// When the worker was seen to have a later process than the known one, until that has answered a
    /// renewal.
    pub later_process_seen_at: Option<TimePoint>,
    /// Whether the store may hold the lease for a successor, so that it must not be extended.
    pub has_stored_lease: bool,
    /// The runs that may be executing on the worker.
    pub runs: BTreeMap<TaskKey, RunEntry>,
    /// The resources that all runs together reserve.
    pub reserved: ResourceSize,
    /// The processors that the runs request, by image.
    pub load: WorkerLoad,
    /// The pressure that best-effort runs may add to each image with a latency target, by the
    /// newest readings. It is negative if the image's own load already exceeds the limit.
    ///
    /// The pressure on an image is 0 at its lowest tail latency and approaches 1 as the tail
    /// latency grows without bound.
    pub headroom: BTreeMap<SmolStr, f64>,
    /// What remains of that pressure while all best-effort runs of the worker run at full speed. It
    /// is computed on demand and cleared whenever the runs change.
    remaining: OnceCell<BTreeMap<SmolStr, f64>>,
    /// The number of the newest run end whose effect is stored.
    pub stored_end: u64,
    /// The number of the newest run end in the worker's last answer, or 0 if it had none.
    pub listed_end: u64,
    /// Whether the worker's last answer left out some run ends.
    pub has_unlisted_ends: bool,
    /// The number of the newest run end that was processed.
    pub processed_end: u64,
    /// Processed run ends that aren't stored yet: the number of the batch that stores each one,
    /// with the number of the end.
    pub storing_ends: VecDeque<(u64, u64)>,
    /// When the worker last reported its runs.
    pub read_at: TimePoint,
    /// The renewal that isn't answered yet.
    pub renewal: Option<SentRenewal>,
    /// When the next renewal is due.
    pub next_renewal_at: TimePoint,
    /// When the interference model last learned from the worker's tail latencies.
    pub tails_learned_at: TimePoint,
    /// Since when every reading has had some tail latency above its target.
    pub tails_above_since: Option<TimePoint>,
    /// The processors that the best-effort runs of each image use, smoothed over the last seconds.
    pub smoothed_load: BTreeMap<SmolStr, f64>,
    /// The load of recently ended best-effort runs, with the time of each end.
    pub ended_loads: Vec<(LoadShare, TimePoint)>,
    /// Whether a run has left the worker since this was last asked for.
    has_freed_capacity: bool,
    /// Whether the worker took tasks when that was last asked for.
    took_tasks: bool,
    /// Keeps new tasks away from the worker after failures.
    pub quarantine: WorkerQuarantine,
    /// The observed speed and incidents.
    pub track: TrackRecord,
    /// The long-running task that the worker is kept free for.
    pub held_for: Option<TaskKey>,
    /// The task on trial. The worker takes no other tasks meanwhile.
    pub trial: Option<TaskKey>,
    /// Whether the runs were assessed since the worker went silent.
    pub is_assessed: bool,
    /// When the worker's process became known.
    pub up_since: TimePoint,
    /// When the worker was first seen to be about to leave.
    pub notice_at: Option<TimePoint>,
    /// When the worker leaves, as far as is known.
    pub leaves_at: Option<TimePoint>,
    /// When the worker was heard and went silent.
    pub contact: WorkerContact,
    /// Whether the table of workers has noted that the worker may have changed.
    pub(super) has_noted_change: bool,
}

impl WorkerEntry {
    /// Creates a registered worker that hasn't been called yet.
    pub fn new(listing: WorkerListing, token: FenceToken, lease_expires_at: TimePoint) -> Self {
        Self {
            listing,
            is_listed: true,
            incarnation: None,
            has_restarted: false,
            token,
            is_adopted: false,
            unanswered_calls: 0,
            clock: None,
            deadline: WorkerTime::default(),
            lease_expires_at,
            long_lease_until: TimePoint::default(),
            later_lease_expires_at: TimePoint::default(),
            later_process_seen_at: None,
            has_stored_lease: false,
            runs: BTreeMap::new(),
            reserved: ResourceSize::default(),
            load: WorkerLoad::default(),
            headroom: BTreeMap::new(),
            remaining: OnceCell::new(),
            stored_end: 0,
            listed_end: 0,
            has_unlisted_ends: false,
            processed_end: 0,
            storing_ends: VecDeque::new(),
            read_at: TimePoint::default(),
            renewal: None,
            next_renewal_at: TimePoint::default(),
            tails_learned_at: TimePoint::default(),
            tails_above_since: None,
            smoothed_load: BTreeMap::new(),
            ended_loads: Vec::new(),
            has_freed_capacity: false,
            took_tasks: false,
            quarantine: WorkerQuarantine::default(),
            track: TrackRecord::default(),
            held_for: None,
            trial: None,
            is_assessed: false,
            up_since: TimePoint::default(),
            notice_at: None,
            leaves_at: None,
            contact: WorkerContact::default(),
            has_noted_change: false,
        }
    }

    /// Returns whether the registration names a later process than the known one.
    pub fn is_registered_as_later(&self) -> bool {
        self.incarnation.is_some() && self.listing.incarnation > self.incarnation
    }

    /// Returns whether the registered address is that of the known process, or of a later one.
    ///
    /// A registration may be outdated, and name an address that the worker had in an earlier life.
    pub fn has_known_address(&self) -> bool {
        self.is_adopted && self.listing.incarnation >= self.incarnation
    }

    /// Replaces the registration, and returns whether the worker's capacity has grown.
    pub fn update_listing(&mut self, listing: WorkerListing) -> bool {
        let has_grown = !listing.capacity.fits(&self.listing.capacity);
        self.listing = listing;
        self.has_freed_capacity |= has_grown;
        has_grown
    }

    /// Returns the worker's id.
    pub fn id(&self) -> &WorkerId {
        &self.listing.id
    }

    /// Returns whether the worker may get new tasks.
    pub fn takes_tasks(&self, now: TimePoint) -> bool {
        self.is_listed
            && self.is_adopted
            && self.unanswered_calls == 0
            && self.clock.is_some()
            && self.later_process_seen_at.is_none()
            && !self.has_stored_lease
            && !self.listing.is_draining
            && self.quarantine.allows_task(now)
    }

    /// Returns whether the worker may now take a task that it refused when this was last asked for,
    /// apart from changes of tail latencies. `is_evacuated` is whether its zone is evacuated now.
    pub fn take_improvement(&mut self, now: TimePoint, is_evacuated: bool) -> bool {
        let takes_tasks = self.takes_tasks(now)
            && !is_evacuated
            && self.held_for.is_none()
            && self.trial.is_none();
        let has_returned = takes_tasks && !self.took_tasks;
        self.took_tasks = takes_tasks;
        let has_freed_capacity = std::mem::take(&mut self.has_freed_capacity);
        has_returned || has_freed_capacity
    }

    /// Returns the resources that are free for new tasks.
    pub fn free_size(&self) -> ResourceSize {
        self.listing.capacity.minus(&self.reserved)
    }

    /// Returns the resources that will be free once all runs but the long-running ones have ended.
    pub fn size_beside_long_running(&self) -> ResourceSize {
        let long_running = self.runs.values().filter(|run| run.is_long_running);
        let reserved =
            long_running.fold(ResourceSize::default(), |sum, run| sum.plus(&run.reserved));
        self.listing.capacity.minus(&reserved)
    }

    /// Sets the pressure that best-effort runs may add to each image with a latency target.
    pub fn set_headroom(&mut self, headroom: BTreeMap<SmolStr, f64>) {
        self.headroom = headroom;
        self.remaining.take();
    }

    /// Returns what the best-effort runs leave of the pressure that each image with a latency
    /// target tolerates, and computes it only if the runs have changed.
    pub fn remaining_pressure(
        &self,
        compute: impl FnOnce() -> BTreeMap<SmolStr, f64>,
    ) -> &BTreeMap<SmolStr, f64> {
        self.remaining.get_or_init(compute)
    }

    /// Returns the number up to which the worker may drop ends of runs.
    ///
    /// Only what its last answer listed is acknowledged, and only while nothing speaks for a later
    /// process, which numbers its ends from 1 again and would drop some that nobody has read.
    pub fn acknowledged_end(&self) -> u64 {
        if self.unanswered_calls > 0 || !self.is_process_known() {
            return 0;
        }
        self.stored_end.min(self.listed_end)
    }

    /// Adds a run and replaces an older run of the same task.
    pub fn add_run(&mut self, task: TaskKey, run: RunEntry) {
        self.reserved = self.reserved.plus(&run.reserved);
        self.load.add(&run);
        self.remaining.take();
        self.quarantine.task_added(task);
        if let Some(replaced) = self.runs.insert(task, run) {
            self.reserved = self.reserved.minus(&replaced.reserved);
            self.load.remove(&replaced);
        }
    }

    /// Removes the run of a task if it has the given number.
    pub fn remove_run(&mut self, task: TaskKey, number: u32) -> Option<RunEntry> {
        let is_same = self.runs.get(&task).is_some_and(|run| run.run == number);
        let run = if is_same {
            self.runs.remove(&task)
        } else {
            None
        }?;
        self.reserved = self.reserved.minus(&run.reserved);
        self.load.remove(&run);
        self.remaining.take();
        self.has_freed_capacity = true;
        self.quarantine.task_removed(task);
        self.trial = self.trial.filter(|trial| *trial != task);
        Some(run)
    }

    /// Extends the lease and returns the new deadline, or `None` while the clock of the worker's
    /// process is unknown or a successor may rely on the stored lease.
    ///
    /// A call that reaches a later process extends its lease until `longest_end`, whatever the deadline.
    pub fn extend_lease(
        &mut self,
        now: TimePoint,
        length: Duration,
        longest_end: TimePoint,
    ) -> Option<WorkerTime> {
        // A deadline has to name the process whose clock it is on.
        if self.has_stored_lease || !self.is_process_known() {
            return None;
        }
        let clock = self.clock?;
        let deadline = clock.earliest(now).plus(length);
        self.deadline = self.deadline.max(deadline);
        self.lease_expires_at = self.lease_expires_at.max(lapsed_at(clock, deadline));
        self.later_lease_expires_at = self.later_lease_expires_at.max(longest_end);
        self.contact.extended_at = Some(now);
        Some(deadline)
    }

    /// Returns when the lease has expired under which a run may be active.
    pub fn run_expires_at(&self, run: &RunEntry) -> TimePoint {
        let later_end = match run.ordered_at {
            _ if run.is_in_known_process => None,
            Some(_) => Some(self.later_lease_expires_at),
            None => run.unconfirmed_until,
        };
        self.lease_expires_at.max(later_end.unwrap_or_default())
    }

    /// Returns the runs that may be active for longer than the known process's lease, with the time by which
    /// that has expired.
    pub fn unconfirmed_runs(&self) -> impl Iterator<Item = (TaskKey, TimePoint)> + '_ {
        let ends = self
            .runs
            .iter()
            .map(|(task, run)| (*task, self.run_expires_at(run)));
        ends.filter(|(_, end)| *end > self.lease_expires_at)
    }

    /// Returns when the leases of all runs have expired.
    pub fn last_run_expires_at(&self) -> TimePoint {
        let ends = self.runs.values().map(|run| self.run_expires_at(run));
        ends.fold(self.lease_expires_at, TimePoint::max)
    }

    /// Records a reading of the worker's clock.
    ///
    /// Until the first reading, it is only known when the leases of earlier schedulers have expired.
    /// The worker took the reading after the call that asked for it was sent.
    pub fn read_clock(&mut self, reading: WorkerTime, sent_at: TimePoint, now: TimePoint) {
        if self.clock.is_none() {
            let remaining = self.lease_expires_at.since(sent_at);
            self.deadline = reading.plus(remaining);
        }
        let clock = WorkerClock::new(reading, sent_at, now);
        self.clock = Some(clock);
        self.lease_expires_at = lapsed_at(clock, self.deadline);
    }

    /// Raises the fencing token, so that the worker refuses orders that are still in flight.
    pub fn raise_token(&mut self) {
        self.token = FenceToken(self.token.0 + 1);
        for run in self.runs.values_mut() {
            if let RunPhase::Ordered(token) = run.phase {
                run.phase = RunPhase::Unsettled(token);
            }
        }
    }

    /// Resets the state for a restarted worker process and returns the runs of the previous one.
    pub fn begin_incarnation(
        &mut self,
        incarnation: WorkerIncarnation,
    ) -> Vec<(TaskKey, RunEntry)> {
        self.incarnation = Some(incarnation);
        self.has_restarted = true;
        self.later_process_seen_at = None;
        self.clock = None;
        self.deadline = WorkerTime::default();
        self.stored_end = 0;
        self.listed_end = 0;
        self.has_unlisted_ends = false;
        self.processed_end = 0;
        self.storing_ends.clear();
        self.quarantine = WorkerQuarantine::default();
        self.track = TrackRecord::default();
        self.is_assessed = false;
        self.reserved = ResourceSize::default();
        self.load = WorkerLoad::default();
        self.headroom.clear();
        self.remaining.take();
        self.has_freed_capacity = true;
        std::mem::take(&mut self.runs).into_iter().collect()
    }

    /// Returns whether any best-effort run may raise the tail latency of a run with a target.
    pub fn has_interference(&self) -> bool {
        !self.load.served.is_empty() && !self.load.best_effort.is_empty()
    }
}

/// Returns the time by which a worker has certainly ended all runs whose lease has the given deadline.
fn lapsed_at(clock: WorkerClock, deadline: WorkerTime) -> TimePoint {
    clock.passed_at(deadline) + LAPSE_TIME
}
