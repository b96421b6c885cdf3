//! A worker with its lease and its runs.

use std::cell::OnceCell;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use geraniumshed_model::prelude::{ResourceSize, TimePoint};
use smol_str::SmolStr;

use super::clock::{WorkerClock, WorkerTime};
use super::listing::{WorkerLife, WorkerListing};
use super::load::WorkerLoad;
use super::message::FenceToken;
use super::run::{RunEntry, RunPhase};
use super::trust::WorkerTrust;
use crate::assignment::LoadShare;
use crate::job::{TaskKey, WorkerId};

/// A renewal that is on its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RenewMark {
    /// When it was sent.
    pub sent_at: TimePoint,
    /// The token that it carries.
    pub token: FenceToken,
}

/// A worker with its lease and its runs.
#[derive(Debug, Clone)]
pub struct WorkerEntry {
    /// The newest registration.
    pub listing: WorkerListing,
    /// Whether the worker is registered; one that isn't gets no new tasks.
    pub is_listed: bool,
    /// The life to which the runs belong, once known.
    pub life: Option<WorkerLife>,
    /// The token of new orders.
    pub token: FenceToken,
    /// Whether a renewal with a token of this scheduler was answered.
    pub is_adopted: bool,
    /// The number of calls in a row that got no answer.
    pub silent_calls: u32,
    /// The newest reading of the worker's clock.
    pub clock: Option<WorkerClock>,
    /// The latest deadline that any order named.
    pub deadline: WorkerTime,
    /// When the lease of every run has certainly run out.
    pub lapses_at: TimePoint,
    /// The runs that may be at work.
    pub runs: BTreeMap<TaskKey, RunEntry>,
    /// The sum of what the runs reserve.
    pub reserved: ResourceSize,
    /// What the runs ask for, by image.
    pub load: WorkerLoad,
    /// The pressure that best-effort runs may add to each image with a latency target, by the newest
    /// readings; below zero if the image's own load is too high already.
    pub rooms: BTreeMap<SmolStr, f64>,
    /// What the best-effort runs there, at full speed, leave of it; found out when it is needed.
    left: OnceCell<BTreeMap<SmolStr, f64>>,
    /// The newest end whose effect is stored.
    pub stored_end: u64,
    /// The newest end that was processed.
    pub seen_end: u64,
    /// Ends that wait for a batch to be stored, by the batch's number.
    pub storing_ends: VecDeque<(u64, u64)>,
    /// When the worker's runs were last read.
    pub read_at: TimePoint,
    /// The renewal on its way.
    pub renewal: Option<RenewMark>,
    /// When the next renewal goes out at the latest.
    pub next_renewal_at: TimePoint,
    /// When tails were last learned from.
    pub tails_learned_at: TimePoint,
    /// Since when some tail has been above its target at each reading.
    pub tails_above_since: Option<TimePoint>,
    /// The processors that best-effort runs of each image have used in the last seconds.
    pub usual_load: BTreeMap<SmolStr, f64>,
    /// The load of best-effort runs that have ended, with the time of each end.
    pub ended_loads: Vec<(LoadShare, TimePoint)>,
    /// How far the worker is trusted with new tasks.
    pub trust: WorkerTrust,
    /// The long-running task for which the worker is kept free.
    pub held_for: Option<TaskKey>,
}

impl WorkerEntry {
    /// Creates a worker that wasn't called yet.
    pub fn new(listing: WorkerListing, token: FenceToken, lapses_at: TimePoint) -> Self {
        Self {
            listing,
            is_listed: true,
            life: None,
            token,
            is_adopted: false,
            silent_calls: 0,
            clock: None,
            deadline: WorkerTime::default(),
            lapses_at,
            runs: BTreeMap::new(),
            reserved: ResourceSize::default(),
            load: WorkerLoad::default(),
            rooms: BTreeMap::new(),
            left: OnceCell::new(),
            stored_end: 0,
            seen_end: 0,
            storing_ends: VecDeque::new(),
            read_at: TimePoint::default(),
            renewal: None,
            next_renewal_at: TimePoint::default(),
            tails_learned_at: TimePoint::default(),
            tails_above_since: None,
            usual_load: BTreeMap::new(),
            ended_loads: Vec::new(),
            trust: WorkerTrust::default(),
            held_for: None,
        }
    }

    /// Returns the id.
    pub fn id(&self) -> &WorkerId {
        &self.listing.id
    }

    /// Tells whether new tasks may be given to the worker.
    pub fn takes_tasks(&self, now: TimePoint) -> bool {
        self.is_listed
            && self.is_adopted
            && self.silent_calls == 0
            && !self.listing.is_draining
            && self.trust.takes_task(now)
    }

    /// Returns what is free for new tasks.
    pub fn free_size(&self) -> ResourceSize {
        self.listing.capacity.minus(&self.reserved)
    }

    /// Returns what long-running tasks leave once all others have ended.
    pub fn size_beside_lasting(&self) -> ResourceSize {
        let lasting = self.runs.values().filter(|run| run.is_long_running);
        let reserved = lasting.fold(ResourceSize::default(), |sum, run| sum.plus(&run.reserved));
        self.listing.capacity.minus(&reserved)
    }

    /// Takes note of the pressure that best-effort runs may add to each image that is served here.
    pub fn set_rooms(&mut self, rooms: BTreeMap<SmolStr, f64>) {
        self.rooms = rooms;
        self.left.take();
    }

    /// Returns what the best-effort runs leave of the pressure that each served image can bear.
    pub fn pressure_left(
        &self,
        find_out: impl FnOnce() -> BTreeMap<SmolStr, f64>,
    ) -> &BTreeMap<SmolStr, f64> {
        self.left.get_or_init(find_out)
    }

    /// Adds a run.
    pub fn add_run(&mut self, task: TaskKey, run: RunEntry) {
        self.reserved = self.reserved.plus(&run.reserved);
        self.load.add(&run);
        self.left.take();
        self.trust.got_task(task);
        if let Some(replaced) = self.runs.insert(task, run) {
            self.reserved = self.reserved.minus(&replaced.reserved);
            self.load.remove(&replaced);
        }
    }

    /// Removes a run if it has the given number.
    pub fn remove_run(&mut self, task: TaskKey, number: u32) -> Option<RunEntry> {
        let is_same = self.runs.get(&task).is_some_and(|run| run.run == number);
        let run = if is_same {
            self.runs.remove(&task)
        } else {
            None
        }?;
        self.reserved = self.reserved.minus(&run.reserved);
        self.load.remove(&run);
        self.left.take();
        self.trust.lost_task(task);
        Some(run)
    }

    /// Returns the deadline that an order carries now, and keeps it as the latest one.
    pub fn extend_lease(&mut self, now: TimePoint, length: Duration) -> Option<WorkerTime> {
        let clock = self.clock?;
        let deadline = clock.earliest(now).plus(length).max(self.deadline);
        self.deadline = deadline;
        self.lapses_at = self.lapses_at.max(clock.passed_at(deadline));
        Some(deadline)
    }

    /// Takes note of a reading of the worker's clock.
    ///
    /// Before the first reading, an earlier scheduler may have granted the longest lease.
    pub fn read_clock(&mut self, reading: WorkerTime, now: TimePoint, longest: Duration) {
        if self.clock.is_none() {
            self.deadline = reading.plus(longest);
        }
        let clock = WorkerClock::new(reading, now);
        self.clock = Some(clock);
        self.lapses_at = clock.passed_at(self.deadline);
    }

    /// Raises the token, so that orders that are still on their way are refused.
    pub fn raise_token(&mut self) {
        self.token = FenceToken(self.token.0 + 1);
        for run in self.runs.values_mut() {
            if let RunPhase::Ordered(token) = run.phase {
                run.phase = RunPhase::Unsettled(token);
            }
        }
    }

    /// Forgets what belongs to an earlier life, and returns its runs.
    pub fn begin_life(&mut self, life: WorkerLife) -> Vec<(TaskKey, RunEntry)> {
        self.life = Some(life);
        self.clock = None;
        self.deadline = WorkerTime::default();
        self.stored_end = 0;
        self.seen_end = 0;
        self.storing_ends.clear();
        self.trust = WorkerTrust::default();
        self.reserved = ResourceSize::default();
        self.load = WorkerLoad::default();
        self.rooms.clear();
        self.left.take();
        std::mem::take(&mut self.runs).into_iter().collect()
    }

    /// Tells whether a run with a latency target is at work.
    pub fn has_latency_target(&self) -> bool {
        self.runs.values().any(|run| run.latency_target.is_some())
    }
}
