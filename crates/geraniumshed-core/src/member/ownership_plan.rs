//! Which shards this daemon claims, holds and gives up.

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

/// The times that govern claims.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnershipTiming {
    /// The time after which a claim or release that was not read back is made again.
    pub claim_patience: Duration,
    /// The time between two claims of the same shard from an owner that seems dead.
    pub takeover_pause: Duration,
    /// The time for which a daemon has to seem alive before shards are given up to it.
    pub settle_time: Duration,
    /// The time between two shards that are given up to other daemons.
    pub yield_interval: Duration,
    /// The time between two repetitions of the claims, well below the log's retention.
    pub hold_interval: Duration,
}

impl Default for OwnershipTiming {
    fn default() -> Self {
        Self {
            claim_patience: Duration::from_secs(3),
            takeover_pause: Duration::from_secs(10),
            settle_time: Duration::from_secs(5),
            yield_interval: Duration::from_secs(1),
            hold_interval: Duration::from_mins(5),
        }
    }
}

/// The peers as a plan sees them.
#[derive(Debug, Clone, Copy)]
pub struct PeerSight<'a> {
    /// The last reports of the peers that seem alive.
    pub live: &'a [PeerReport],
    /// Whether each peer has answered or is suspected.
    pub settled: bool,
    /// Whether the log has been answering this daemon for some time.
    pub log_steady: bool,
}

/// Which shards this daemon claims, holds and gives up.
#[derive(Debug, Clone)]
pub struct OwnershipPlan {
    own: PeerIdentity,
    map: ShardMap,
    timing: OwnershipTiming,
    claims: ClaimTable,
    caught_up: bool,
    leaving: bool,
    asked: BTreeMap<ShardId, TimePoint>,
    taken_over: BTreeMap<ShardId, TimePoint>,
    seen: BTreeMap<DaemonIncarnation, TimePoint>,
    yielding: BTreeSet<ShardId>,
    stopped: BTreeSet<ShardId>,
    next_yield: TimePoint,
    next_hold: TimePoint,
    log_down: bool,
    spread: BTreeMap<ShardId, DaemonId>,
}

impl OwnershipPlan {
    /// Creates the plan of a daemon that has read nothing yet.
    pub fn new(own: PeerIdentity, map: ShardMap, timing: OwnershipTiming) -> Self {
        Self {
            own,
            map,
            timing,
            claims: ClaimTable::default(),
            caught_up: false,
            leaving: false,
            asked: BTreeMap::new(),
            taken_over: BTreeMap::new(),
            seen: BTreeMap::new(),
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

    /// Takes note that the `claims` stream has been read to its end, or that it has to be again.
    pub fn set_caught_up(&mut self, caught_up: bool) {
        self.caught_up = caught_up;
    }

    /// Takes note whether the log took the last claims.
    pub fn set_log_down(&mut self, log_down: bool) {
        self.log_down = log_down;
        if log_down {
            self.asked.clear();
        }
    }

    /// Begins a planned stop: all shards are given up and none is claimed.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Takes note that the scheduler of a shard has ended, so that the shard may be released.
    pub fn stopped(&mut self, shard: ShardId) {
        if self.yielding.contains(&shard) {
            self.stopped.insert(shard);
        }
    }

    /// Tells whether this daemon owns no shard.
    pub fn is_empty(&self) -> bool {
        self.map
            .shards()
            .all(|shard| self.own_term(shard).is_none())
    }

    /// Returns the events to append now, all in one entry.
    pub fn tick(&mut self, now: TimePoint, sight: PeerSight<'_>) -> Vec<ClaimEvent> {
        self.note_seen(now, sight.live);
        let able = able_peers(sight);
        self.spread = self.wanted_spread(&able);
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
        if sight.settled {
            events.extend(self.new_claims(now, &able));
            self.choose_yield(now);
        }
        events.extend(self.holds(now));
        events
    }

    /// Returns the owners whose shards this daemon would take over.
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
            .filter(|owner| self.would_follow(owner, live))
            .collect()
    }

    /// Returns who owns which shard.
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
            let wanted = self.spread.get(&shard) == Some(&self.own.daemon);
            if address.is_none() && wanted && self.log_down && !self.leaving {
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

    /// Takes note of when each peer was first seen, and forgets those that are gone.
    fn note_seen(&mut self, now: TimePoint, live: &[PeerReport]) {
        self.seen
            .retain(|incarnation, _| find_live(live, *incarnation).is_some());
        for report in live {
            self.seen.entry(report.identity.incarnation).or_insert(now);
        }
    }

    /// Spreads the shards over the daemons that stay, this one included unless it leaves.
    fn wanted_spread(&self, live: &[PeerReport]) -> BTreeMap<ShardId, DaemonId> {
        let own = (!self.leaving).then_some(&self.own);
        let peers = live.iter().filter(|report| !report.leaving);
        let daemons = own
            .into_iter()
            .chain(peers.map(|report| &report.identity))
            .map(|identity| (&identity.daemon, &identity.region));
        spread_shards(&self.map, daemons)
    }

    fn would_follow(&self, owner: &DaemonId, live: &[PeerReport]) -> bool {
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
            .filter(|shard| self.owner(*shard).is_some_and(|held| held.0 == *owner))
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
            .filter(|(shard, _)| !self.was_asked(*shard, now))
            .collect();
        self.asked
            .extend(due.iter().map(|(shard, _)| (*shard, now)));
        due.into_iter()
            .map(|(shard, term)| ClaimEvent::Release { shard, term })
            .collect()
    }

    /// Tells whether an event about a shard was appended that may still be read back.
    fn was_asked(&self, shard: ShardId, now: TimePoint) -> bool {
        self.asked
            .get(&shard)
            .is_some_and(|asked| now.since(*asked) < self.timing.claim_patience)
    }

    fn new_claims(&mut self, now: TimePoint, live: &[PeerReport]) -> Vec<ClaimEvent> {
        let wanted: Vec<_> = self
            .spread
            .iter()
            .filter(|(_, daemon)| **daemon == self.own.daemon)
            .map(|(shard, _)| *shard)
            .filter(|shard| self.may_claim(*shard, now, live))
            .collect();
        for shard in &wanted {
            self.asked.insert(*shard, now);
            if self.owner(*shard).is_some() {
                self.taken_over.insert(*shard, now);
            }
        }
        wanted
            .into_iter()
            .map(|shard| ClaimEvent::Claim {
                shard,
                daemon: self.own.daemon.clone(),
                incarnation: self.own.incarnation,
            })
            .collect()
    }

    fn may_claim(&self, shard: ShardId, now: TimePoint, live: &[PeerReport]) -> bool {
        if self.was_asked(shard, now) {
            return false;
        }
        match self.owner(shard) {
            None => true,
            Some((_, incarnation)) if *incarnation == self.own.incarnation => false,
            Some((_, incarnation)) => {
                let dead = find_live(live, *incarnation).is_none();
                let lately = self
                    .taken_over
                    .get(&shard)
                    .is_some_and(|taken| now.since(*taken) < self.timing.takeover_pause);
                dead && !lately
            }
        }
    }

    /// Chooses a shard that another daemon should own and has waited for long enough.
    fn choose_yield(&mut self, now: TimePoint) {
        if now < self.next_yield || !self.yielding.is_empty() {
            return;
        }
        let shard = self
            .own_shards()
            .map(|(shard, _)| shard)
            .find(|shard| self.is_awaited(*shard, now));
        if let Some(shard) = shard {
            self.yielding.insert(shard);
            self.next_yield = now + self.timing.yield_interval;
        }
    }

    fn is_awaited(&self, shard: ShardId, now: TimePoint) -> bool {
        let Some(daemon) = self.spread.get(&shard) else {
            return false;
        };
        // The spread names only daemons that seem alive.
        *daemon != self.own.daemon
            && self
                .seen
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

/// Returns the peers that can act for their shards.
///
/// A peer that the log doesn't answer can start nothing. That it is the peer's fault, and not the
/// log's, is known only to a daemon that the log has been answering all the while.
fn able_peers(sight: PeerSight<'_>) -> Vec<PeerReport> {
    sight
        .live
        .iter()
        .filter(|report| !(sight.log_steady && report.log_silent))
        .cloned()
        .collect()
}

fn find_live(live: &[PeerReport], incarnation: DaemonIncarnation) -> Option<&PeerReport> {
    live.iter()
        .find(|report| report.identity.incarnation == incarnation)
}
