//! The daemons that are known, and which of them seem alive.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use geraniumshed_model::prelude::{DaemonId, DaemonIncarnation, LogOffset, PeerReport, TimePoint};

/// How often peers are asked, and when they count as dead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerTiming {
    /// The time between two heartbeats to a peer that is watched.
    pub beat_interval: Duration,
    /// The time without an answer, since the first heartbeat that got none, that makes a peer
    /// suspected.
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

/// What operators see of one peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerSighting {
    /// The peer's last report.
    pub report: PeerReport,
    /// Whether the peer seems alive.
    pub alive: bool,
    /// The time since the first heartbeat that got no answer, or zero.
    pub silent: Duration,
}

/// What is known of one peer.
#[derive(Debug, Clone, Default)]
struct PeerEntry {
    report: Option<PeerReport>,
    /// When the first heartbeat was sent that got no answer since the last one that did.
    missed: Option<TimePoint>,
    asked: Option<TimePoint>,
}

/// The peers of one daemon, by the address of their peer interface.
///
/// Each daemon watches its successor on the ring of addresses and the owners whose shards it would
/// take over; all others are asked in turn, one on each beat. So the traffic of a daemon does not
/// grow with the number of daemons, and yet the one that has to act sees a death at once.
#[derive(Debug, Clone)]
pub struct PeerTable {
    own: SocketAddr,
    timing: PeerTiming,
    peers: BTreeMap<SocketAddr, PeerEntry>,
    needed: BTreeSet<DaemonId>,
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

    /// Sets the addresses at which daemons are listed; a peer that answers stays known.
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

    /// Sets the daemons that have to be watched.
    pub fn set_needed(&mut self, needed: BTreeSet<DaemonId>) {
        self.needed = needed;
    }

    /// Takes note of a report, whether it came with an answer or with a peer's own heartbeat.
    pub fn heard(&mut self, report: PeerReport) {
        let address = report.identity.address;
        if address == self.own {
            return;
        }
        self.peers
            .retain(|other, peer| *other == address || !peer.is_older_run(&report));
        let peer = self.peers.entry(address).or_default();
        peer.missed = None;
        peer.report = Some(report);
    }

    /// Takes note that a heartbeat sent at `sent` got no answer.
    pub fn missed(&mut self, address: SocketAddr, sent: TimePoint) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.missed.get_or_insert(sent);
        }
    }

    /// Returns the peers to ask now, and takes note that they are asked.
    pub fn due(&mut self, now: TimePoint) -> Vec<SocketAddr> {
        let mut due = self.watched(now);
        if let Some(next) = self.next_in_turn() {
            due.insert(next);
        }
        let due: Vec<_> = due
            .into_iter()
            .filter(|address| self.may_ask(*address, now))
            .collect();
        for address in &due {
            if let Some(peer) = self.peers.get_mut(address) {
                peer.asked = Some(now);
            }
        }
        due
    }

    /// Returns all peers, to tell them something at once.
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

    /// Returns what is known of each peer that has ever answered, alive or not.
    pub fn sightings(&self, now: TimePoint) -> impl Iterator<Item = PeerSighting> {
        self.peers.values().filter_map(move |peer| {
            Some(PeerSighting {
                report: peer.report.clone()?,
                alive: !peer.is_suspected(self.timing, now),
                silent: peer
                    .missed
                    .map_or(Duration::ZERO, |missed| now.since(missed)),
            })
        })
    }

    /// Returns the address of an incarnation that seems alive.
    pub fn address_of(&self, incarnation: DaemonIncarnation, now: TimePoint) -> Option<SocketAddr> {
        self.live(now)
            .map(|report| &report.identity)
            .find(|identity| identity.incarnation == incarnation)
            .map(|identity| identity.address)
    }

    /// Tells whether each peer has answered or is suspected.
    pub fn is_settled(&self, now: TimePoint) -> bool {
        self.peers
            .values()
            .all(|peer| peer.report.is_some() || peer.is_suspected(self.timing, now))
    }

    /// Returns the least offset of `config` that the peers that seem alive have applied.
    pub fn least_applied(&self, now: TimePoint) -> Option<LogOffset> {
        self.live(now).map(|report| report.applied).min()
    }

    /// Returns the peers that have to be asked on each beat.
    fn watched(&self, now: TimePoint) -> BTreeSet<SocketAddr> {
        let needed = self.peers.iter().filter(|(_, peer)| {
            let answering = peer
                .report
                .as_ref()
                .is_some_and(|report| self.needed.contains(&report.identity.daemon));
            let unknown = peer.report.is_none();
            let missing = peer.missed.is_some() && !peer.is_suspected(self.timing, now);
            answering || unknown || missing
        });
        let mut watched: BTreeSet<_> = needed.map(|(address, _)| *address).collect();
        watched.extend(self.successor(now));
        watched
    }

    /// Returns the next peer on the ring of addresses that seems alive.
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

    fn may_ask(&self, address: SocketAddr, now: TimePoint) -> bool {
        let interval = self.timing.beat_interval;
        self.peers
            .get(&address)
            .and_then(|peer| peer.asked)
            .is_none_or(|asked| now.since(asked) >= interval)
    }
}

impl PeerEntry {
    fn is_suspected(&self, timing: PeerTiming, now: TimePoint) -> bool {
        self.missed
            .is_some_and(|missed| now.since(missed) >= timing.suspect_after)
    }

    /// Tells whether this is an earlier run, at another address, of the daemon that reports.
    fn is_older_run(&self, report: &PeerReport) -> bool {
        self.report.as_ref().is_some_and(|held| {
            held.identity.daemon == report.identity.daemon
                && held.identity.incarnation != report.identity.incarnation
                && self.missed.is_some()
        })
    }
}
