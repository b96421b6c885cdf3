//! Team quotas: how much of a team's quota each shard may use.
//!
//! A quota is cut into pieces, each large enough for the team's largest task, and the pieces go
//! round the shards that have workers. So no shard has to ask another, and the shares never add up
//! to more than the quota.

use std::collections::BTreeMap;

use geraniumshed_model::prelude::{
    AcceleratorCount, MemorySize, ProcessorShare, ResourceSize, ShardId, TaskSpec, TeamName,
    VmPhase, VmRole,
};

use super::scheduler::ShardScheduler;
use super::shard_map::stable_hash;

/// The pieces of one team's quota.
#[derive(Debug, Clone, Copy)]
struct QuotaPieces {
    piece: ResourceSize,
    count: u64,
    first: u64,
}

/// How much of each team's quota each shard may use.
#[derive(Debug, Clone, Default)]
pub struct QuotaTable {
    shards: Vec<ShardId>,
    teams: BTreeMap<TeamName, QuotaPieces>,
}

impl QuotaTable {
    /// Returns what a shard may use of a team's quota, or `None` if the team has none.
    pub fn allowance(&self, team: &TeamName, shard: ShardId) -> Option<ResourceSize> {
        let pieces = self.teams.get(team)?;
        let count = self.piece_count(pieces, shard);
        Some(times(&pieces.piece, count))
    }

    fn piece_count(&self, pieces: &QuotaPieces, shard: ShardId) -> u64 {
        let shards = self.shards.len() as u64;
        let Some(index) = self.shards.iter().position(|known| *known == shard) else {
            return 0;
        };
        let turn = (index as u64 + shards - pieces.first % shards) % shards;
        pieces.count / shards + u64::from(turn < pieces.count % shards)
    }
}

impl ShardScheduler {
    /// Cuts the teams' quotas anew, by the records in force and the workers listed.
    pub(super) fn refresh_quotas(&mut self) {
        let mut largest: BTreeMap<TeamName, ResourceSize> = BTreeMap::new();
        for (_, wanted) in self.wanted.groups() {
            let size = largest.entry(wanted.template.team.clone()).or_default();
            *size = size.max(&wanted.template.size);
        }
        let live = self.vms.live(VmRole::Worker);
        let mut shards: Vec<_> = live
            .filter(|vm| vm.phase == VmPhase::Live)
            .filter_map(|vm| self.map.worker_shard(&vm.vm, &vm.region))
            .collect();
        shards.sort();
        shards.dedup();
        let teams = largest.into_iter().filter_map(|(team, piece)| {
            let quota = self.wanted.team(&team)?.quota;
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

    /// Tells whether a task is within what the shard may use of its team's quota.
    pub(super) fn quota_allows(&self, spec: &TaskSpec, used: &ResourceSize) -> bool {
        let allowance = self.quotas.allowance(&spec.team, self.shard);
        allowance.is_none_or(|allowance| used.plus(&spec.size).fits(&allowance))
    }
}

/// Returns how often a piece goes into a quota; a part that no task needs doesn't limit it.
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
