//! A snapshot of the shard owners, for the other parts of the daemon.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use geraniumshed_model::prelude::{DaemonId, DaemonIncarnation, ShardId, ShardTerm};

/// The owner of a shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardOwner {
    /// The daemon.
    pub daemon: DaemonId,
    /// The incarnation of the daemon.
    pub incarnation: DaemonIncarnation,
    /// The term under which the daemon owns the shard.
    pub term: ShardTerm,
    /// The address of the daemon's peer interface, if the daemon seems alive.
    pub address: Option<SocketAddr>,
}

/// The owners of all shards.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OwnerMap {
    pub(super) owners: BTreeMap<ShardId, ShardOwner>,
    pub(super) own: BTreeMap<ShardId, ShardTerm>,
    pub(super) yielding: BTreeSet<ShardId>,
    pub(super) caretaken: BTreeMap<ShardId, ShardTerm>,
}

impl OwnerMap {
    /// Returns the shards that this daemon owns, each with its term.
    pub fn own_shards(&self) -> impl Iterator<Item = (ShardId, ShardTerm)> {
        self.own.iter().map(|(shard, term)| (*shard, *term))
    }

    /// Returns the term under which this daemon owns a shard, if it does.
    pub fn own_term(&self, shard: ShardId) -> Option<ShardTerm> {
        self.own.get(&shard).copied()
    }

    /// Returns the owner of a shard.
    pub fn owner(&self, shard: ShardId) -> Option<&ShardOwner> {
        self.owners.get(&shard)
    }

    /// Returns all shards with their owners.
    pub fn owners(&self) -> impl Iterator<Item = (ShardId, &ShardOwner)> {
        self.owners.iter().map(|(shard, owner)| (*shard, owner))
    }

    /// Returns the address of the peer interface of a shard's owner, if the owner seems alive.
    pub fn owner_address(&self, shard: ShardId) -> Option<SocketAddr> {
        self.owners.get(&shard)?.address
    }

    /// Returns whether this daemon must stop the scheduler of a shard in order to release the
    /// shard.
    pub fn is_yielding(&self, shard: ShardId) -> bool {
        self.yielding.contains(&shard)
    }

    /// Returns the shards that this daemon takes care of, because their owner seems dead and the
    /// log accepts no claims.
    ///
    /// This daemon renews the leases of their tasks under the term of the owner, and starts no
    /// tasks.
    pub fn caretaken(&self) -> impl Iterator<Item = (ShardId, ShardTerm)> {
        self.caretaken.iter().map(|(shard, term)| (*shard, *term))
    }
}
