//! The division of team quotas among shards.
//!
//! A quota is divided into pieces of the size of the team's largest task. The pieces are assigned
//! round-robin to the shards that have live workers. Thus, no shard has to ask another one, and the
//! allowances never add up to more than the quota.

use std::collections::BTreeMap;

use geraniumshed_model::prelude::{
    AcceleratorCount, MemorySize, ProcessorShare, ResourceSize, ShardId, TaskSpec, TeamName,
    VmPhase, VmRole,
};

use super::scheduler::ShardScheduler;
use super::shard_map::stable_hash;

/// The division of one team's quota into pieces.
#[derive(Debug, Clone, Copy)]
struct QuotaPieces {
    /// The size of a piece.
    piece: ResourceSize,
    /// The number of pieces.
    count: u64,
    /// The index of the shard that gets the first piece, modulo the number of shards.
    first: u64,
}

/// The allowance of each shard from each team's quota.
#[derive(Debug, Clone, Default)]
pub struct QuotaTable {
    shards: Vec<ShardId>,
    teams: BTreeMap<TeamName, QuotaPieces>,
}

impl QuotaTable {
    /// Returns the part of a team's quota that a shard may use, or `None` if the team has no quota.
    pub fn allowance(&self, team: &TeamName, shard: ShardId) -> Option<ResourceSize> {
        let pieces = self.teams.get(team)?;
        let count = self.piece_count(pieces, shard);
        Some(times(&pieces.piece, count))
    }

    fn piece_count(&self, pieces: &QuotaPieces, shard: ShardId) -> u64 {
        let shards = self.shards.len() as u64;
        let Some(index) = self.shards.iter().position(|listed| *listed == shard) else {
            return 0;
        };
        let turn = (index as u64 + shards - pieces.first % shards) % shards;
        pieces.count / shards + u64::from(turn < pieces.count % shards)
    }
}

impl ShardScheduler {
    /// Divides the teams' quotas again, from the records in force and the listed workers.
    pub(super) fn refresh_quotas(&mut self) {
        let mut largest: BTreeMap<TeamName, ResourceSize> = BTreeMap::new();
        for (_, desired) in self.desired.groups() {
            let size = largest.entry(desired.template.team.clone()).or_default();
            *size = size.max(&desired.template.size);
        }
        let live = self.vms.live(VmRole::Worker);
        let mut shards: Vec<_> = live
            .filter(|vm| vm.phase == VmPhase::Live)
            .filter_map(|vm| self.map.worker_shard(&vm.vm, &vm.region))
            .collect();
        shards.sort();
        shards.dedup();
        let teams = largest.into_iter().filter_map(|(team, piece)| {
            let quota = self.desired.team(&team)?.quota;
            let pieces = QuotaPieces {
                piece,
                count: whole_pieces(&quota, &piece),
                first: stable_hash(&team),
            };
            Some((team, pieces))
        });
        self.quotas = QuotaTable {
            teams: teams.collect(),
            shards,
        };
    }

    /// Returns whether the shard's part of a team's quota has room for one more task.
    pub(super) fn quota_allows(&self, spec: &TaskSpec, used: &ResourceSize) -> bool {
        let allowance = self.quotas.allowance(&spec.team, self.shard);
        allowance.is_none_or(|allowance| used.plus(&spec.size).fits(&allowance))
    }
}

/// Returns how often a piece fits into a quota; resources that no task needs don't limit it.
fn whole_pieces(quota: &ResourceSize, piece: &ResourceSize) -> u64 {
    let ratio = |quota: u64, piece: u64| quota.checked_div(piece).unwrap_or(u64::MAX);
    let processors = ratio(quota.processors.0.into(), piece.processors.0.into());
    let memory = ratio(quota.memory.0, piece.memory.0);
    let accelerators = ratio(quota.accelerators.0.into(), piece.accelerators.0.into());
    processors.min(memory).min(accelerators)
}

fn times(piece: &ResourceSize, count: u64) -> ResourceSize {
    let part = |size: u32| {
        let product = u64::from(size).saturating_mul(count);
        u32::try_from(product).unwrap_or(u32::MAX)
    };
    ResourceSize {
        processors: ProcessorShare(part(piece.processors.0)),
        memory: MemorySize(piece.memory.0.saturating_mul(count)),
        accelerators: AcceleratorCount(part(piece.accelerators.0)),
    }
}
