//! Decides which shards this daemon claims, holds and releases.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use geraniumshed_model::prelude::{
    ClaimEvent, DaemonId, DaemonIncarnation, LogOffset, PeerIdentity, PeerReport, ShardId,
    ShardTerm, TimePoint,
};

use super::claim_table::ClaimTable;
use super::owner_map::{OwnerMap, ShardOwner};
use super::spread::spread_shards;
use crate::schedule::ShardMap;

/// The timing of claims and releases.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnershipTiming {
    /// The time after which a claim or release that wasn't read back is repeated.
    pub claim_timeout: Duration,
    /// The minimum time between two takeovers of the same shard from owners that seem dead.
    pub takeover_interval: Duration,
    /// The time for which a daemon must seem alive before shards are handed over to it.
    pub settle_time: Duration,
    /// The minimum time between two handovers of shards to other daemons.
    pub yield_interval: Duration,
    /// The time between two repetitions of all claims, well below the log's retention time.
    pub hold_interval: Duration,
}

impl Default for OwnershipTiming {
    fn default() -> Self {
        Self {
            claim_timeout: Duration::from_secs(3),
            takeover_interval: Duration::from_secs(10),
            settle_time: Duration::from_secs(5),
            yield_interval: Duration::from_secs(1),
            hold_interval: Duration::from_mins(5),
        }
    }
}

/// What is known about the peers and the log when a plan is updated.
#[derive(Debug, Clone, Copy)]
pub struct PeerView<'a> {
    /// The last reports of the peers that seem alive.
    pub live: &'a [PeerReport],
    /// Whether each peer has either answered or is suspected to be dead.
    pub settled: bool,
    /// Whether the log has been answering this daemon continuously for some time.
    pub log_steady: bool,
}

/// Decides which shards this daemon claims, holds and releases.
#[derive(Debug, Clone)]
pub struct OwnershipPlan {
    own: PeerIdentity,
    map: ShardMap,
    timing: OwnershipTiming,
    claims: ClaimTable,
    caught_up: bool,
    leaving: bool,
    /// When a claim or release of a shard was last appended.
    appended_at: BTreeMap<ShardId, TimePoint>,
    /// When a shard was last claimed from an owner that seemed dead.
    taken_over_at: BTreeMap<ShardId, TimePoint>,
    /// Since when each live peer has been seen.
    live_since: BTreeMap<DaemonIncarnation, TimePoint>,
    /// The own shards whose scheduler must stop, so that they can be released.
    yielding: BTreeSet<ShardId>,
    /// Those of them whose scheduler has stopped.
    stopped: BTreeSet<ShardId>,
    next_yield: TimePoint,
    next_hold: TimePoint,
    log_down: bool,
    /// The daemon that should own each shard.
    spread: BTreeMap<ShardId, DaemonId>,
}

impl OwnershipPlan {
    /// Creates the plan of a daemon that hasn't read any entry of the `claims` stream yet.
    pub fn new(own: PeerIdentity, map: ShardMap, timing: OwnershipTiming) -> Self {
        Self {
            own,
            map,
            timing,
            claims: ClaimTable::default(),
            caught_up: false,
            leaving: false,
            appended_at: BTreeMap::new(),
            taken_over_at: BTreeMap::new(),
            live_since: BTreeMap::new(),
            yielding: BTreeSet::new(),
            stopped: BTreeSet::new(),
            next_yield: TimePoint::default(),
            next_hold: TimePoint::default(),
            log_down: false,
            spread: BTreeMap::new(),
        }
    }

    /// Applies an event of the `claims` stream.
    pub fn apply(&mut self, offset: LogOffset, event: &ClaimEvent) {
        self.claims.apply(offset, event);
    }

    /// Sets whether the `claims` stream has been read to its end. Until then the plan appends
    /// nothing.
    pub fn set_caught_up(&mut self, caught_up: bool) {
        self.caught_up = caught_up;
    }

    /// Sets whether the log failed to accept the last events. Pending events are then forgotten, so
    /// that they are appended again without waiting for the timeout.
    pub fn set_log_down(&mut self, log_down: bool) {
        self.log_down = log_down;
        if log_down {
            self.appended_at.clear();
        }
    }

    /// Starts a planned shutdown: all shards are released and none is claimed.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Records that the scheduler of a shard has stopped, so that the shard can be released.
    pub fn stopped(&mut self, shard: ShardId) {
        if self.yielding.contains(&shard) {
            self.stopped.insert(shard);
        }
    }

    /// Returns whether this daemon owns no shard.
    pub fn is_empty(&self) -> bool {
        self.map
            .shards()
            .all(|shard| self.own_term(shard).is_none())
    }

    /// Updates the plan and returns the events to append now, all in one entry.
    pub fn tick(&mut self, now: TimePoint, view: PeerView<'_>) -> Vec<ClaimEvent> {
        self.update_live_since(now, view.live);
        let operational = operational_peers(view);
        self.spread = self.target_spread(&operational);
        if !self.caught_up {
            return Vec::new();
        }
        self.drop_lost_shards();
        let mut events = self.releases(now);
        if self.leaving {
            let own: Vec<_> = self.own_shards().map(|(shard, _)| shard).collect();
            self.yielding.extend(own);
            return events;
        }
        if view.settled {
            events.extend(self.new_claims(now, &operational));
            self.select_yield(now);
        }
        events.extend(self.holds(now));
        events
    }

    /// Returns the owners of which this daemon would take over a shard if they died.
    pub fn needed_peers(&self, live: &[PeerReport]) -> BTreeSet<DaemonId> {
        let owners: BTreeSet<_> = self
            .map
            .shards()
            .filter_map(|shard| self.owner(shard))
            .filter(|owner| owner.1 != self.own.incarnation)
            .map(|owner| owner.0.clone())
            .collect();
        owners
            .into_iter()
            .filter(|owner| self.would_take_over(owner, live))
            .collect()
    }

    /// Returns the owners of all shards and what this daemon has to do for them.
    pub fn owner_map(&self, live: &[PeerReport]) -> OwnerMap {
        let mut map = OwnerMap {
            yielding: self.yielding.clone(),
            own: self.own_shards().collect(),
            ..OwnerMap::default()
        };
        for shard in self.map.shards() {
            let Some((daemon, incarnation, term)) = self.owner_and_term(shard) else {
                continue;
            };
            let address = if *incarnation == self.own.incarnation {
                Some(self.own.address)
            } else {
                find_live(live, *incarnation).map(|report| report.identity.address)
            };
            let is_successor = self.spread.get(&shard) == Some(&self.own.daemon);
            if address.is_none() && is_successor && self.log_down && !self.leaving {
                map.caretaken.insert(shard, term);
            }
            let owner = ShardOwner {
                daemon: daemon.clone(),
                incarnation: *incarnation,
                term,
                address,
            };
            map.owners.insert(shard, owner);
        }
        map
    }

    fn own_term(&self, shard: ShardId) -> Option<ShardTerm> {
        self.claims.term_of(shard, self.own.incarnation)
    }

    fn own_shards(&self) -> impl Iterator<Item = (ShardId, ShardTerm)> {
        self.map
            .shards()
            .filter_map(|shard| Some((shard, self.own_term(shard)?)))
    }

    fn owner(&self, shard: ShardId) -> Option<&(DaemonId, DaemonIncarnation)> {
        self.claims.claim(shard)?.owner.as_ref()
    }

    fn owner_and_term(&self, shard: ShardId) -> Option<(&DaemonId, &DaemonIncarnation, ShardTerm)> {
        let claim = self.claims.claim(shard)?;
        let (daemon, incarnation) = claim.owner.as_ref()?;
        Some((daemon, incarnation, claim.term))
    }

    /// Updates since when each peer has been live.
    fn update_live_since(&mut self, now: TimePoint, live: &[PeerReport]) {
        self.live_since
            .retain(|incarnation, _| find_live(live, *incarnation).is_some());
        for report in live {
            self.live_since
                .entry(report.identity.incarnation)
                .or_insert(now);
        }
    }

    /// Spreads the shards over all daemons that aren't leaving, including this one.
    fn target_spread(&self, live: &[PeerReport]) -> BTreeMap<ShardId, DaemonId> {
        let own = (!self.leaving).then_some(&self.own);
        let peers = live.iter().filter(|report| !report.leaving);
        let daemons = own
            .into_iter()
            .chain(peers.map(|report| &report.identity))
            .map(|identity| (&identity.daemon, &identity.region));
        spread_shards(&self.map, daemons)
    }

    fn would_take_over(&self, owner: &DaemonId, live: &[PeerReport]) -> bool {
        let peers = live
            .iter()
            .filter(|report| !report.leaving && report.identity.daemon != *owner)
            .map(|report| &report.identity);
        let daemons = std::iter::once(&self.own)
            .chain(peers)
            .map(|identity| (&identity.daemon, &identity.region));
        let spread = spread_shards(&self.map, daemons);
        self.map
            .shards()
            .filter(|shard| self.owner(*shard).is_some_and(|last| last.0 == *owner))
            .any(|shard| spread.get(&shard) == Some(&self.own.daemon))
    }

    fn drop_lost_shards(&mut self) {
        let own: BTreeSet<_> = self.own_shards().map(|(shard, _)| shard).collect();
        self.yielding.retain(|shard| own.contains(shard));
        self.stopped.retain(|shard| own.contains(shard));
    }

    fn releases(&mut self, now: TimePoint) -> Vec<ClaimEvent> {
        let due: Vec<_> = self
            .own_shards()
            .filter(|(shard, _)| self.stopped.contains(shard))
            .filter(|(shard, _)| !self.has_pending_event(*shard, now))
            .collect();
        self.appended_at
            .extend(due.iter().map(|(shard, _)| (*shard, now)));
        due.into_iter()
            .map(|(shard, term)| ClaimEvent::Release { shard, term })
            .collect()
    }

    /// Returns whether an event about a shard was appended that may still be read back.
    fn has_pending_event(&self, shard: ShardId, now: TimePoint) -> bool {
        self.appended_at
            .get(&shard)
            .is_some_and(|appended_at| now.since(*appended_at) < self.timing.claim_timeout)
    }

    fn new_claims(&mut self, now: TimePoint, live: &[PeerReport]) -> Vec<ClaimEvent> {
        let claimed: Vec<_> = self
            .spread
            .iter()
            .filter(|(_, daemon)| **daemon == self.own.daemon)
            .map(|(shard, _)| *shard)
            .filter(|shard| self.may_claim(*shard, now, live))
            .collect();
        for shard in &claimed {
            self.appended_at.insert(*shard, now);
            if self.owner(*shard).is_some() {
                self.taken_over_at.insert(*shard, now);
            }
        }
        claimed
            .into_iter()
            .map(|shard| ClaimEvent::Claim {
                shard,
                daemon: self.own.daemon.clone(),
                incarnation: self.own.incarnation,
            })
            .collect()
    }

    fn may_claim(&self, shard: ShardId, now: TimePoint, live: &[PeerReport]) -> bool {
        if self.has_pending_event(shard, now) {
            return false;
        }
        match self.owner(shard) {
            None => true,
            Some((_, incarnation)) if *incarnation == self.own.incarnation => false,
            Some((_, incarnation)) => {
                let is_dead = find_live(live, *incarnation).is_none();
                let is_recent = self
                    .taken_over_at
                    .get(&shard)
                    .is_some_and(|at| now.since(*at) < self.timing.takeover_interval);
                is_dead && !is_recent
            }
        }
    }

    /// Selects an own shard to hand over to the daemon that should own it, if there is one.
    fn select_yield(&mut self, now: TimePoint) {
        if now < self.next_yield || !self.yielding.is_empty() {
            return;
        }
        let shard = self
            .own_shards()
            .map(|(shard, _)| shard)
            .find(|shard| self.should_yield(*shard, now));
        if let Some(shard) = shard {
            self.yielding.insert(shard);
            self.next_yield = now + self.timing.yield_interval;
        }
    }

    fn should_yield(&self, shard: ShardId, now: TimePoint) -> bool {
        let Some(daemon) = self.spread.get(&shard) else {
            return false;
        };
        // The spread contains only daemons that seem alive.
        *daemon != self.own.daemon
            && self
                .live_since
                .values()
                .all(|since| now.since(*since) >= self.timing.settle_time)
    }

    fn holds(&mut self, now: TimePoint) -> Vec<ClaimEvent> {
        if now < self.next_hold {
            return Vec::new();
        }
        self.next_hold = now + self.timing.hold_interval;
        self.own_shards()
            .map(|(shard, term)| ClaimEvent::Hold {
                shard,
                daemon: self.own.daemon.clone(),
                incarnation: self.own.incarnation,
                term,
            })
            .collect()
    }
}

/// Returns the live peers that can schedule tasks of their shards.
///
/// A peer that gets no answers from the log can't start any task. Only a daemon that has been
/// getting answers all the time can tell that the fault is the peer's and not the log's.
fn operational_peers(view: PeerView<'_>) -> Vec<PeerReport> {
    view.live
        .iter()
        .filter(|report| !(view.log_steady && report.log_silent))
        .cloned()
        .collect()
}

fn find_live(live: &[PeerReport], incarnation: DaemonIncarnation) -> Option<&PeerReport> {
    live.iter()
        .find(|report| report.identity.incarnation == incarnation)
}
