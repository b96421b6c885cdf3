//! The owners of the shards, derived from the `claims` stream.

use std::collections::BTreeMap;

use geraniumshed_model::prelude::{
    ClaimEvent, DaemonId, DaemonIncarnation, LogOffset, ShardId, ShardTerm,
};

/// The latest claim or release of a shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardClaim {
    /// The term of the owner, which is the offset of its claim.
    pub term: ShardTerm,
    /// The owner, or `None` if the shard was released.
    pub owner: Option<(DaemonId, DaemonIncarnation)>,
}

/// The owner of each shard by the entries applied so far.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ClaimTable {
    claims: BTreeMap<ShardId, ShardClaim>,
    applied: LogOffset,
}

impl ClaimTable {
    /// Returns the latest claim or release of a shard.
    pub fn claim(&self, shard: ShardId) -> Option<&ShardClaim> {
        self.claims.get(&shard)
    }

    /// Returns the offset after the last entry that was applied.
    pub fn applied(&self) -> LogOffset {
        self.applied
    }

    /// Returns the term under which an incarnation owns a shard, if it does.
    pub fn term_of(&self, shard: ShardId, incarnation: DaemonIncarnation) -> Option<ShardTerm> {
        let claim = self.claims.get(&shard)?;
        let (_, owner) = claim.owner.as_ref()?;
        (*owner == incarnation).then_some(claim.term)
    }

    /// Applies an event of the entry at `offset`.
    pub fn apply(&mut self, offset: LogOffset, event: &ClaimEvent) {
        self.applied = self.applied.max(offset.next());
        match event {
            ClaimEvent::Claim {
                shard,
                daemon,
                incarnation,
            } => self.set_owner(*shard, offset.into(), daemon, *incarnation),
            // A hold repeats a claim, which the log may have dropped since.
            ClaimEvent::Hold {
                shard,
                daemon,
                incarnation,
                term,
            } => self.set_owner(*shard, *term, daemon, *incarnation),
            ClaimEvent::Release { shard, term } => self.release(*shard, *term),
        }
    }

    fn set_owner(
        &mut self,
        shard: ShardId,
        term: ShardTerm,
        daemon: &DaemonId,
        incarnation: DaemonIncarnation,
    ) {
        if self
            .claims
            .get(&shard)
            .is_some_and(|latest| latest.term >= term)
        {
            return;
        }
        let owner = Some((daemon.clone(), incarnation));
        self.claims.insert(shard, ShardClaim { term, owner });
    }

    fn release(&mut self, shard: ShardId, term: ShardTerm) {
        if self
            .claims
            .get(&shard)
            .is_some_and(|latest| latest.term > term)
        {
            return;
        }
        self.claims.insert(shard, ShardClaim { term, owner: None });
    }
}
