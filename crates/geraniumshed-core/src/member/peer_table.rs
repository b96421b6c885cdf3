//! Failure detection: the known daemons, and which of them seem alive.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use geraniumshed_model::prelude::{DaemonId, DaemonIncarnation, LogOffset, PeerReport, TimePoint};

/// The timing of heartbeats to peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerTiming {
    /// The minimum time between two heartbeats to the same peer.
    pub beat_interval: Duration,
    /// The time since the first unanswered heartbeat after which a peer is suspected to be dead.
    pub suspect_after: Duration,
}

impl Default for PeerTiming {
    fn default() -> Self {
        Self {
            beat_interval: Duration::from_millis(750),
            suspect_after: Duration::from_millis(2500),
        }
    }
}

/// The state of a peer, for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerStatus {
    /// The peer's last report.
    pub report: PeerReport,
    /// Whether the peer seems alive.
    pub alive: bool,
    /// The time since the first unanswered heartbeat, or zero if the peer answers.
    pub silent: Duration,
}

/// What is known about one peer.
#[derive(Debug, Clone, Default)]
struct PeerEntry {
    report: Option<PeerReport>,
    /// When the first unanswered heartbeat after the last report was sent.
    missed_since: Option<TimePoint>,
    /// When the last heartbeat was sent.
    last_heartbeat_at: Option<TimePoint>,
}

/// The peers of one daemon, by the address of their peer interface.
///
/// Each daemon sends frequent heartbeats to its successor on the ring of addresses and to the
/// owners whose shards it would take over. All other peers get one in turn (round robin), one peer
/// at a time. The traffic of a daemon thus doesn't grow with the number of daemons, and yet the
/// daemon that has to take over notices a failure quickly.
#[derive(Debug, Clone)]
pub struct PeerTable {
    own: SocketAddr,
    timing: PeerTiming,
    peers: BTreeMap<SocketAddr, PeerEntry>,
    needed: BTreeSet<DaemonId>,
    /// The index of the last peer in the round robin.
    turn: usize,
}

impl PeerTable {
    /// Creates a table without any peer.
    pub fn new(own: SocketAddr, timing: PeerTiming) -> Self {
        Self {
            own,
            timing,
            peers: BTreeMap::new(),
            needed: BTreeSet::new(),
            turn: 0,
        }
    }

    /// Sets the listed addresses of daemons. An unlisted peer is kept while it answers.
    pub fn set_listed(&mut self, listed: &BTreeSet<SocketAddr>, now: TimePoint) {
        let timing = self.timing;
        self.peers.retain(|address, peer| {
            listed.contains(address) || (peer.report.is_some() && !peer.is_suspected(timing, now))
        });
        for address in listed {
            if *address != self.own {
                self.peers.entry(*address).or_default();
            }
        }
    }

    /// Sets the daemons that get frequent heartbeats because this daemon would take over from them.
    pub fn set_needed(&mut self, needed: BTreeSet<DaemonId>) {
        self.needed = needed;
    }

    /// Records a report that came with an answer or with a peer's own heartbeat.
    pub fn heard(&mut self, report: PeerReport) {
        let address = report.identity.address;
        if address == self.own {
            return;
        }
        self.peers
            .retain(|other, peer| *other == address || !peer.is_replaced_by(&report));
        let peer = self.peers.entry(address).or_default();
        peer.missed_since = None;
        peer.report = Some(report);
    }

    /// Records that a heartbeat sent at `sent` got no answer.
    pub fn missed(&mut self, address: SocketAddr, sent: TimePoint) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.missed_since.get_or_insert(sent);
        }
    }

    /// Returns the peers that are due for a heartbeat, and records that they get one now.
    pub fn due(&mut self, now: TimePoint) -> Vec<SocketAddr> {
        let mut due = self.watched(now);
        if let Some(next) = self.next_in_turn() {
            due.insert(next);
        }
        let due: Vec<_> = due
            .into_iter()
            .filter(|address| self.may_send_heartbeat(*address, now))
            .collect();
        for address in &due {
            if let Some(peer) = self.peers.get_mut(address) {
                peer.last_heartbeat_at = Some(now);
            }
        }
        due
    }

    /// Returns the addresses of all peers.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.peers.keys().copied()
    }

    /// Returns the last reports of all peers that seem alive.
    pub fn live(&self, now: TimePoint) -> impl Iterator<Item = &PeerReport> {
        self.peers
            .values()
            .filter(move |peer| !peer.is_suspected(self.timing, now))
            .filter_map(|peer| peer.report.as_ref())
    }

    /// Returns the state of each peer that has ever answered, dead or alive.
    pub fn peer_statuses(&self, now: TimePoint) -> impl Iterator<Item = PeerStatus> {
        self.peers.values().filter_map(move |peer| {
            Some(PeerStatus {
                report: peer.report.clone()?,
                alive: !peer.is_suspected(self.timing, now),
                silent: peer
                    .missed_since
                    .map_or(Duration::ZERO, |since| now.since(since)),
            })
        })
    }

    /// Returns the address of an incarnation, if it seems alive.
    pub fn address_of(&self, incarnation: DaemonIncarnation, now: TimePoint) -> Option<SocketAddr> {
        self.live(now)
            .map(|report| &report.identity)
            .find(|identity| identity.incarnation == incarnation)
            .map(|identity| identity.address)
    }

    /// Returns whether each peer has either answered or is suspected to be dead.
    pub fn is_settled(&self, now: TimePoint) -> bool {
        self.peers
            .values()
            .all(|peer| peer.report.is_some() || peer.is_suspected(self.timing, now))
    }

    /// Returns the lowest offset of the `config` stream up to which all live peers have applied it.
    pub fn least_applied(&self, now: TimePoint) -> Option<LogOffset> {
        self.live(now).map(|report| report.applied).min()
    }

    /// Returns the peers that get a heartbeat at each interval: the successor, the needed owners,
    /// and peers whose state is still uncertain.
    fn watched(&self, now: TimePoint) -> BTreeSet<SocketAddr> {
        let needed = self.peers.iter().filter(|(_, peer)| {
            let is_needed = peer
                .report
                .as_ref()
                .is_some_and(|report| self.needed.contains(&report.identity.daemon));
            let is_unknown = peer.report.is_none();
            let is_missing = peer.missed_since.is_some() && !peer.is_suspected(self.timing, now);
            is_needed || is_unknown || is_missing
        });
        let mut watched: BTreeSet<_> = needed.map(|(address, _)| *address).collect();
        watched.extend(self.successor(now));
        watched
    }

    /// Returns the next peer on the ring of addresses that isn't suspected.
    fn successor(&self, now: TimePoint) -> Option<SocketAddr> {
        let after = self.peers.range(self.own..);
        let before = self.peers.range(..self.own);
        after
            .chain(before)
            .find(|(_, peer)| !peer.is_suspected(self.timing, now))
            .map(|(address, _)| *address)
    }

    fn next_in_turn(&mut self) -> Option<SocketAddr> {
        let count = self.peers.len();
        if count == 0 {
            return None;
        }
        self.turn = (self.turn + 1) % count;
        self.peers.keys().nth(self.turn).copied()
    }

    fn may_send_heartbeat(&self, address: SocketAddr, now: TimePoint) -> bool {
        let interval = self.timing.beat_interval;
        self.peers
            .get(&address)
            .and_then(|peer| peer.last_heartbeat_at)
            .is_none_or(|last_heartbeat_at| now.since(last_heartbeat_at) >= interval)
    }
}

impl PeerEntry {
    fn is_suspected(&self, timing: PeerTiming, now: TimePoint) -> bool {
        self.missed_since
            .is_some_and(|since| now.since(since) >= timing.suspect_after)
    }

    /// Returns whether this is an earlier process of the reporting daemon that answers no more. The
    /// new process may have another address.
    fn is_replaced_by(&self, report: &PeerReport) -> bool {
        self.report.as_ref().is_some_and(|last| {
            last.identity.daemon == report.identity.daemon
                && last.identity.incarnation != report.identity.incarnation
                && self.missed_since.is_some()
        })
    }
}
