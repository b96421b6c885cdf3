//! A log of keys in memory with faults, and peers that call each other directly.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use geraniumshed_daemon::request::{
    ForwardAnswer, ForwardError, ForwardRequest, ForwardServer, ForwardService as _, KeyEntry,
    KeyLog, KeyLogError, KeyOwner, KeyPage, PeerForwarder,
};
use geraniumshed_model::prelude::*;

/// What goes wrong with the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LogFault {
    #[default]
    None,
    /// Nothing is appended or read.
    Down,
    /// Entries are appended, and the answers to the appends are lost.
    AnswersLost,
    /// Entries are appended and read late.
    Slow(Duration),
}

/// A log of keys in memory.
#[derive(Debug, Clone, Default)]
pub struct TestLog {
    pub streams: Arc<Mutex<HashMap<ShardId, Vec<KeyEntry>>>>,
    pub fault: Arc<Mutex<LogFault>>,
}

impl TestLog {
    pub fn set_fault(&self, fault: LogFault) {
        *self.fault.lock().expect("sound") = fault;
    }

    async fn suffer(&self) -> Result<LogFault, KeyLogError> {
        let fault = *self.fault.lock().expect("sound");
        match fault {
            LogFault::Down => Err(KeyLogError::Unavailable),
            LogFault::Slow(delay) => {
                tokio::time::sleep(delay).await;
                Ok(fault)
            }
            LogFault::None | LogFault::AnswersLost => Ok(fault),
        }
    }

    /// Appends an entry as a daemon of any term would.
    pub fn push(&self, shard: ShardId, term: ShardTerm, events: Vec<KeyEvent>) -> LogOffset {
        let mut streams = self.streams.lock().expect("sound");
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
        let fault = self.suffer().await?;
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
        self.suffer().await?;
        let streams = self.streams.lock().expect("sound");
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

/// The daemons that can be reached, by their peer address.
type PeerMap = HashMap<SocketAddr, (DaemonIncarnation, ForwardServer<TestPeers, TestLog>)>;

/// Peers that call each other directly.
#[derive(Debug, Clone)]
pub struct TestPeers {
    pub own: DaemonIncarnation,
    address: SocketAddr,
    peers: Arc<Mutex<PeerMap>>,
    /// The owner of all shards, with its term.
    pub owner: Arc<Mutex<Option<(DaemonIncarnation, ShardTerm)>>>,
    /// Whether answers of peers are lost.
    pub lossy: Arc<Mutex<bool>>,
}

impl TestPeers {
    /// One daemon that owns all shards.
    pub fn alone() -> Self {
        let first = DaemonIncarnation(1);
        Self {
            own: first,
            address: peer_address(first),
            peers: Arc::default(),
            owner: Arc::new(Mutex::new(Some((first, ShardTerm(1))))),
            lossy: Arc::default(),
        }
    }

    /// Another daemon beside this one.
    pub fn beside(&self, incarnation: u64) -> Self {
        let own = DaemonIncarnation(incarnation);
        Self {
            own,
            address: peer_address(own),
            ..self.clone()
        }
    }

    pub fn join(&self, entry: ForwardServer<TestPeers, TestLog>) {
        let mut peers = self.peers.lock().expect("sound");
        peers.insert(self.address, (self.own, entry));
    }

    pub fn leave(&self) {
        self.peers.lock().expect("sound").remove(&self.address);
    }

    pub fn set_owner(&self, incarnation: u64, term: u64) {
        let owner = (DaemonIncarnation(incarnation), ShardTerm(term));
        *self.owner.lock().expect("sound") = Some(owner);
    }
}

impl PeerForwarder for TestPeers {
    fn issuer(&self, incarnation: DaemonIncarnation) -> Option<SocketAddr> {
        let peers = self.peers.lock().expect("sound");
        peers
            .iter()
            .find(|(_, (peer, _))| *peer == incarnation)
            .map(|(address, _)| *address)
    }

    fn owner(&self, _shard: ShardId) -> KeyOwner {
        match *self.owner.lock().expect("sound") {
            Some((owner, term)) if owner == self.own => KeyOwner::Own(term),
            Some((owner, _)) => KeyOwner::Peer(peer_address(owner)),
            None => KeyOwner::Nobody,
        }
    }

    async fn forward(
        &self,
        peer: SocketAddr,
        request: ForwardRequest,
    ) -> Result<ForwardAnswer, ForwardError> {
        let entry = {
            let peers = self.peers.lock().expect("sound");
            peers.get(&peer).map(|(_, entry)| entry.clone())
        };
        let entry = entry.ok_or(ForwardError::NotSent)?;
        let answer = entry.serve(request).await;
        if *self.lossy.lock().expect("sound") {
            return Err(ForwardError::Lost);
        }
        Ok(answer)
    }
}

fn peer_address(incarnation: DaemonIncarnation) -> SocketAddr {
    let port = u16::try_from(incarnation.0).expect("small");
    SocketAddr::from(([127, 0, 0, 1], port))
}
