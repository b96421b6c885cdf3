//! Collects the current values of all metrics.

use geraniumshed_wire::operator::ClusterStatus;

use crate::request::EntryStatus;
use crate::telemetry::{MetricName, MetricSet};

/// Collects the metrics from the status of the cluster and the counters of the request path.
pub fn collect_metrics(status: &ClusterStatus, entry: &EntryStatus) -> MetricSet {
    let mut set = MetricSet::default();
    collect_entry(&mut set, entry);
    collect_cluster(&mut set, status);
    collect_tasks(&mut set, status);
    set
}

fn collect_entry(set: &mut MetricSet, entry: &EntryStatus) {
    set.count(MetricName::EntryReceived, entry.received);
    set.count(MetricName::EntryForwardedIn, entry.forwarded_in);
    set.count(MetricName::EntryForwardedOut, entry.forwarded_out);
    set.count(MetricName::EntryRan, entry.ran);
    set.count(MetricName::EntryNotRun, entry.not_run);
    set.count(MetricName::EntryUnknown, entry.unknown);
    set.count(MetricName::EntryAttempts, entry.attempts);
    set.count(MetricName::EntryReplayed, entry.replayed);
    set.count(MetricName::EntryPoolsReplaced, entry.pools_replaced);
    set.count(MetricName::EntryHungUp, entry.hung_up);
    set.count(MetricName::EntryRefused, entry.refused);
    set.count(MetricName::EntryTooSlow, entry.too_slow);
    set.count(MetricName::EntryHeldBytes, entry.held_bytes);
    set.count(MetricName::EntryConnections, entry.connections);
    set.count(MetricName::EntryActive, entry.active);
}

fn collect_cluster(set: &mut MetricSet, status: &ClusterStatus) {
    set.count(MetricName::LogAppends, status.log.appends);
    set.count(MetricName::LogAppendBytes, status.log.append_bytes);
    set.count(MetricName::LogSilent, status.log.silent_ms);
    set.count(MetricName::ConfigApplied, status.config.applied);
    set.count(
        MetricName::ConfigLowestApplied,
        status.config.lowest_applied,
    );
    let suspected = status
        .peers
        .iter()
        .filter(|peer| peer.phase == "suspected")
        .count();
    let live = status.peers.len() - suspected;
    set.count(MetricName::PeersLive, live as u64);
    set.count(MetricName::PeersSuspected, suspected as u64);
    let own = &status.daemon.id;
    let owned = status
        .shards
        .iter()
        .filter(|shard| shard.owner == *own)
        .count();
    let ownerless = status
        .shards
        .iter()
        .filter(|shard| shard.owner.is_empty())
        .count();
    set.count(MetricName::ShardsOwned, owned as u64);
    set.count(MetricName::ShardsOwnerless, ownerless as u64);
}

fn collect_tasks(set: &mut MetricSet, status: &ClusterStatus) {
    let sum = |read: fn(&geraniumshed_wire::operator::ShardState) -> u32| {
        status
            .shards
            .iter()
            .map(|shard| u64::from(read(shard)))
            .sum()
    };
    set.count(MetricName::TasksRunning, sum(|shard| shard.running));
    set.count(MetricName::TasksWaiting, sum(|shard| shard.waiting));
    set.count(MetricName::TasksUnknown, sum(|shard| shard.unknown));
    set.count(MetricName::TasksInfeasible, sum(|shard| shard.infeasible));
    let short = status
        .services
        .iter()
        .filter(|service| !service.stopped && service.ready < service.replicas)
        .count();
    set.count(MetricName::ServicesShort, short as u64);
}
