//! Stubs for the dependencies of a daemon that runs without peers and without a key log.

use std::net::SocketAddr;
use std::time::Duration;

use geraniumshed_daemon::request::{
    ForwardAnswer, ForwardError, ForwardRequest, KeyLog, KeyLogError, KeyOwner, KeyPage,
    PeerForwarder,
};
use geraniumshed_model::prelude::{DaemonIncarnation, KeyEvent, LogOffset, ShardId, ShardTerm};

/// The forwarder of a daemon that has no peers.
#[derive(Debug, Clone, Copy)]
pub struct NoPeers;

impl PeerForwarder for NoPeers {
    fn issuer(&self, _incarnation: DaemonIncarnation) -> Option<SocketAddr> {
        None
    }

    fn owner(&self, _shard: ShardId) -> KeyOwner {
        KeyOwner::Unowned
    }

    async fn forward(
        &self,
        _peer: SocketAddr,
        _request: ForwardRequest,
    ) -> Result<ForwardAnswer, ForwardError> {
        Err(ForwardError::NotSent)
    }
}

/// A key log that is always unavailable.
#[derive(Debug, Clone, Copy)]
pub struct UnavailableKeyLog;

impl KeyLog for UnavailableKeyLog {
    async fn append(
        &self,
        _shard: ShardId,
        _term: ShardTerm,
        _events: Vec<KeyEvent>,
    ) -> Result<LogOffset, KeyLogError> {
        Err(KeyLogError::Unavailable)
    }

    async fn read(
        &self,
        _shard: ShardId,
        _from: LogOffset,
        _wait: Duration,
    ) -> Result<KeyPage, KeyLogError> {
        Err(KeyLogError::Unavailable)
    }
}
