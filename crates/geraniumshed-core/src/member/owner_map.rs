//! Who owns which shard, as the other parts of the daemon see it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use geraniumshed_model::prelude::{DaemonId, DaemonIncarnation, ShardId, ShardTerm};

/// The owner of a shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardOwner {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its incarnation.
    pub incarnation: DaemonIncarnation,
    /// The term.
    pub term: ShardTerm,
    /// The address of its peer interface, if it is believed to be alive.
    pub address: Option<SocketAddr>,
}

/// Who owns which shard.
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

    /// Returns the term under which this daemon owns a shard.
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

    /// Returns the peer interface of a shard's owner, if it is believed to be alive.
    pub fn owner_address(&self, shard: ShardId) -> Option<SocketAddr> {
        self.owners.get(&shard)?.address
    }

    /// Tells whether this daemon has to stop the scheduler of a shard, to give the shard up.
    pub fn is_yielding(&self, shard: ShardId) -> bool {
        self.yielding.contains(&shard)
    }

    /// Returns the shards whose owner seems dead while the log takes no claim.
    ///
    /// This daemon renews the leases of their tasks under the owner's term, and starts nothing.
    pub fn caretaken(&self) -> impl Iterator<Item = (ShardId, ShardTerm)> {
        self.caretaken.iter().map(|(shard, term)| (*shard, *term))
    }
}
