//! Forwards requests to peers.

use std::net::SocketAddr;

use geraniumshed_model::prelude::{DaemonIncarnation, ShardId};

use super::hub::PeerHub;
use super::pool::{CallError, PeerPool};
use crate::request::{ForwardAnswer, ForwardError, ForwardRequest, KeyOwner, PeerForwarder};
use crate::view::OwnershipView;

/// Forwards requests over the connections of a [`PeerPool`]; clones share the connections.
#[derive(Debug, Clone)]
pub struct PooledForwarder {
    hub: PeerHub,
    pool: PeerPool,
    owners: OwnershipView,
}

impl PooledForwarder {
    /// Creates a forwarder that uses the connections of a pool.
    pub fn open(hub: PeerHub, pool: PeerPool, owners: OwnershipView) -> Self {
        Self { hub, pool, owners }
    }
}

impl PeerForwarder for PooledForwarder {
    fn issuer(&self, incarnation: DaemonIncarnation) -> Option<SocketAddr> {
        self.hub.address_of(incarnation)
    }

    fn owner(&self, shard: ShardId) -> KeyOwner {
        let owners = self.owners.borrow();
        if let Some(term) = owners.own_term(shard) {
            return KeyOwner::Own(term);
        }
        owners
            .owner_address(shard)
            .map_or(KeyOwner::Unowned, KeyOwner::Peer)
    }

    async fn forward(
        &self,
        peer: SocketAddr,
        request: ForwardRequest,
    ) -> Result<ForwardAnswer, ForwardError> {
        match self.pool.forward(peer, request.into()).await {
            Ok(answer) => Ok(answer.into()),
            Err(CallError::NotSent(error)) => {
                log::debug!(
                    "forwarding to peer {peer} failed before the request was sent: {error}"
                );
                Err(ForwardError::NotSent)
            }
            Err(error) => {
                log::debug!(
                    "forwarding to peer {peer} failed after the request may have been sent: {error}"
                );
                Err(ForwardError::Lost)
            }
        }
    }
}
