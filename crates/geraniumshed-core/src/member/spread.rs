//! The fair spread of shards over daemons.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use geraniumshed_model::prelude::{DaemonId, RegionName, ShardId};

use crate::schedule::{ShardMap, stable_hash};

/// Spreads shards over daemons, the same for everyone who knows the same daemons.
///
/// Each shard goes to the daemon that scores highest for it and has not yet got its fair share, so
/// that few shards move when a daemon comes or goes. Daemons of a shard's region go first.
pub fn spread_shards<'a>(
    map: &ShardMap,
    daemons: impl IntoIterator<Item = (&'a DaemonId, &'a RegionName)>,
) -> BTreeMap<ShardId, DaemonId> {
    let daemons: Vec<_> = daemons.into_iter().collect();
    let mut groups: BTreeMap<&RegionName, Vec<ShardId>> = BTreeMap::new();
    for shard in map.shards() {
        groups.entry(map.region(shard)).or_default().push(shard);
    }
    let mut spread = BTreeMap::new();
    for (region, shards) in groups {
        let local: Vec<_> = daemons
            .iter()
            .filter(|(_, home)| *home == region)
            .map(|(daemon, _)| *daemon)
            .collect();
        let group = if local.is_empty() {
            daemons.iter().map(|(daemon, _)| *daemon).collect()
        } else {
            local
        };
        spread_group(&shards, &group, &mut spread);
    }
    spread
}

fn spread_group(
    shards: &[ShardId],
    daemons: &[&DaemonId],
    spread: &mut BTreeMap<ShardId, DaemonId>,
) {
    if daemons.is_empty() {
        return;
    }
    let share = shards.len().div_ceil(daemons.len());
    let mut taken: BTreeMap<&DaemonId, usize> = BTreeMap::new();
    for shard in shards {
        let best = daemons
            .iter()
            .filter(|daemon| taken.get(**daemon).copied().unwrap_or(0) < share)
            .min_by_key(|daemon| (Reverse(score(*shard, daemon)), **daemon));
        if let Some(daemon) = best {
            *taken.entry(daemon).or_default() += 1;
            spread.insert(*shard, (*daemon).clone());
        }
    }
}

fn score(shard: ShardId, daemon: &DaemonId) -> u64 {
    stable_hash(&format_args!("{shard}/{daemon}"))
}
