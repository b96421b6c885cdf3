//! An in-memory log of keys with injected faults, and peers that call each other directly.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use geraniumshed_daemon::request::{
    ForwardAnswer, ForwardError, ForwardRequest, ForwardServer, ForwardService as _, KeyEntry,
    KeyLog, KeyLogError, KeyOwner, KeyPage, PeerForwarder,
};
use geraniumshed_model::prelude::*;

/// A fault of the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LogFault {
    #[default]
    None,
    /// Appends and reads fail without effect.
    Down,
    /// Entries are appended, but the answers to the appends are lost.
    AnswersLost,
    /// Appends and reads are delayed.
    Slow(Duration),
}

/// An in-memory log of keys.
#[derive(Debug, Clone, Default)]
pub struct TestLog {
    pub streams: Arc<Mutex<HashMap<ShardId, Vec<KeyEntry>>>>,
    pub fault: Arc<Mutex<LogFault>>,
}

impl TestLog {
    pub fn set_fault(&self, fault: LogFault) {
        *self.fault.lock().expect("not poisoned") = fault;
    }

    async fn apply_fault(&self) -> Result<LogFault, KeyLogError> {
        let fault = *self.fault.lock().expect("not poisoned");
        match fault {
            LogFault::Down => Err(KeyLogError::Unavailable),
            LogFault::Slow(delay) => {
                tokio::time::sleep(delay).await;
                Ok(fault)
            }
            LogFault::None | LogFault::AnswersLost => Ok(fault),
        }
    }

    /// Appends an entry in any term, as another daemon might.
    pub fn push(&self, shard: ShardId, term: ShardTerm, events: Vec<KeyEvent>) -> LogOffset {
        let mut streams = self.streams.lock().expect("not poisoned");
        let stream = streams.entry(shard).or_default();
        let offset = LogOffset(stream.len() as u64);
        stream.push(KeyEntry {
            offset,
            term,
            events,
        });
        offset
    }
}

impl KeyLog for TestLog {
    async fn append(
        &self,
        shard: ShardId,
        term: ShardTerm,
        events: Vec<KeyEvent>,
    ) -> Result<LogOffset, KeyLogError> {
        let fault = self.apply_fault().await?;
        let offset = self.push(shard, term, events);
        if fault == LogFault::AnswersLost {
            return Err(KeyLogError::Unconfirmed);
        }
        Ok(offset)
    }

    async fn read(
        &self,
        shard: ShardId,
        from: LogOffset,
        _wait: Duration,
    ) -> Result<KeyPage, KeyLogError> {
        self.apply_fault().await?;
        let streams = self.streams.lock().expect("not poisoned");
        let stream = streams.get(&shard).map_or(&[][..], Vec::as_slice);
        let start = usize::try_from(from.0).expect("small").min(stream.len());
        let end = LogOffset(stream.len() as u64);
        Ok(KeyPage {
            first: LogOffset(0),
            next: end,
            end,
            entries: stream[start..].to_vec(),
        })
    }
}

/// The reachable daemons by peer address.
type PeerMap = HashMap<SocketAddr, (DaemonIncarnation, ForwardServer<TestPeers, TestLog>)>;

/// Peers that call each other directly.
#[derive(Debug, Clone)]
pub struct TestPeers {
    pub own: DaemonIncarnation,
    address: SocketAddr,
    peers: Arc<Mutex<PeerMap>>,
    /// The owner of all shards, with its term.
    pub owner: Arc<Mutex<Option<(DaemonIncarnation, ShardTerm)>>>,
    /// Whether the answers of peers are lost.
    pub loses_answers: Arc<Mutex<bool>>,
}

impl TestPeers {
    /// Creates the peers of a single daemon that owns all shards.
    pub fn single() -> Self {
        let first = DaemonIncarnation(1);
        Self {
            own: first,
            address: peer_address(first),
            peers: Arc::default(),
            owner: Arc::new(Mutex::new(Some((first, ShardTerm(1))))),
            loses_answers: Arc::default(),
        }
    }

    /// Returns the view of another daemon of the same cluster.
    pub fn with_incarnation(&self, incarnation: u64) -> Self {
        let own = DaemonIncarnation(incarnation);
        Self {
            own,
            address: peer_address(own),
            ..self.clone()
        }
    }

    pub fn join(&self, entry: ForwardServer<TestPeers, TestLog>) {
        let mut peers = self.peers.lock().expect("not poisoned");
        peers.insert(self.address, (self.own, entry));
    }

    pub fn leave(&self) {
        self.peers
            .lock()
            .expect("not poisoned")
            .remove(&self.address);
    }

    pub fn set_owner(&self, incarnation: u64, term: u64) {
        let owner = (DaemonIncarnation(incarnation), ShardTerm(term));
        *self.owner.lock().expect("not poisoned") = Some(owner);
    }
}

impl PeerForwarder for TestPeers {
    fn issuer(&self, incarnation: DaemonIncarnation) -> Option<SocketAddr> {
        let peers = self.peers.lock().expect("not poisoned");
        peers
            .iter()
            .find(|(_, (peer, _))| *peer == incarnation)
            .map(|(address, _)| *address)
    }

    fn owner(&self, _shard: ShardId) -> KeyOwner {
        match *self.owner.lock().expect("not poisoned") {
            Some((owner, term)) if owner == self.own => KeyOwner::Own(term),
            Some((owner, _)) => KeyOwner::Peer(peer_address(owner)),
            None => KeyOwner::Unowned,
        }
    }

    async fn forward(
        &self,
        peer: SocketAddr,
        request: ForwardRequest,
    ) -> Result<ForwardAnswer, ForwardError> {
        let entry = {
            let peers = self.peers.lock().expect("not poisoned");
            peers.get(&peer).map(|(_, entry)| entry.clone())
        };
        let entry = entry.ok_or(ForwardError::NotSent)?;
        let answer = entry.serve(request).await;
        if *self.loses_answers.lock().expect("not poisoned") {
            return Err(ForwardError::Lost);
        }
        Ok(answer)
    }
}

fn peer_address(incarnation: DaemonIncarnation) -> SocketAddr {
    let port = u16::try_from(incarnation.0).expect("small");
    SocketAddr::from(([127, 0, 0, 1], port))
}
