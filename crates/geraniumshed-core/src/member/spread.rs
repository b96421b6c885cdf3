//! The even distribution of shards over daemons.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use geraniumshed_model::prelude::{DaemonId, RegionName, ShardId};

use crate::schedule::{ShardMap, stable_hash};

/// Spreads shards over daemons. The result depends only on the set of shards and daemons.
///
/// This is rendezvous hashing with a limit: each shard goes to the daemon with the highest hash
/// score for it among those that haven't reached their fair share, so that few shards move when a
/// daemon comes or goes. A shard goes to a daemon of its own region if there is any.
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
            .filter(|(_, daemon_region)| *daemon_region == region)
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
    let mut counts: BTreeMap<&DaemonId, usize> = BTreeMap::new();
    for shard in shards {
        let best = daemons
            .iter()
            .filter(|daemon| counts.get(**daemon).copied().unwrap_or(0) < share)
            .min_by_key(|daemon| (Reverse(score(*shard, daemon)), **daemon));
        if let Some(daemon) = best {
            *counts.entry(daemon).or_default() += 1;
            spread.insert(*shard, (*daemon).clone());
        }
    }
}

fn score(shard: ShardId, daemon: &DaemonId) -> u64 {
    stable_hash(&format_args!("{shard}/{daemon}"))
}
