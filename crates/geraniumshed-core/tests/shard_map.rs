//! Tests of the assignment of workers and tasks to shards, which must not change with versions.

use geraniumshed_core::schedule::{ShardMap, stable_hash};
use geraniumshed_model::prelude::{RegionName, ShardId, TaskId, VmId};

#[rstest::rstest]
#[case("worker-1", 0x47e7_3c9b_4c3c_6e74)]
#[case("regrade/1/7", 0xa811_9e15_5e3b_1c10)]
fn hash_is_stable_across_versions(#[case] text: &str, #[case] expected: u64) {
    assert_eq!(stable_hash(&text), expected);
}

#[test]
fn moves_visit_every_shard_once() {
    let map = shard_map(5, &["uy"]);
    let task: TaskId = "regrade/1/7".parse().expect("a valid id");
    let mut visited: Vec<ShardId> = (0..5).map(|hop| map.hop_shard(&task, hop)).collect();
    assert_eq!(visited[0], map.home_shard(&task));
    visited.sort();
    assert_eq!(visited, map.shards().collect::<Vec<_>>());
}

#[test]
fn replicas_spread_over_shards() {
    let map = shard_map(8, &["uy"]);
    let mut counts = [0_u32; 8];
    for index in 0..800 {
        let task: TaskId = format!("bookings/0/{index}").parse().expect("a valid id");
        counts[usize::from(map.home_shard(&task).0)] += 1;
    }
    assert!(
        counts.iter().all(|count| (60..=140).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn worker_shard_is_in_the_workers_region() {
    let map = shard_map(7, &["uy", "tr"]);
    for number in 0..200 {
        let worker: VmId = format!("worker-{number}").parse().expect("a valid id");
        let region: RegionName = ["uy", "tr"][number % 2].parse().expect("a valid name");
        let shard = map.worker_shard(&worker, &region).expect("a known region");
        assert_eq!(map.region(shard), &region);
    }
    let worker: VmId = "worker-1".parse().expect("a valid id");
    let elsewhere: RegionName = "ar".parse().expect("a valid name");
    assert_eq!(map.worker_shard(&worker, &elsewhere), None);
}

fn shard_map(shards: u16, regions: &[&str]) -> ShardMap {
    let regions = regions
        .iter()
        .map(|name| name.parse().expect("a valid name"));
    ShardMap::new(shards, regions.collect())
}
