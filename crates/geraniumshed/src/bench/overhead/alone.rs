//! A daemon's surroundings without peers and without a log of keys.

use std::net::SocketAddr;
use std::time::Duration;

use geraniumshed_daemon::request::{
    ForwardAnswer, ForwardError, ForwardRequest, KeyLog, KeyLogError, KeyOwner, KeyPage,
    PeerForwarder,
};
use geraniumshed_model::prelude::{DaemonIncarnation, KeyEvent, LogOffset, ShardId, ShardTerm};

/// A daemon without peers.
#[derive(Debug, Clone, Copy)]
pub struct AlonePeers;

impl PeerForwarder for AlonePeers {
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

/// A log of keys that is down.
#[derive(Debug, Clone, Copy)]
pub struct NoKeyLog;

impl KeyLog for NoKeyLog {
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
