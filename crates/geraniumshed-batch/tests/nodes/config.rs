//! Configurations that reach nodes in spite of faults.

use std::time::Duration;

use crate::support::{Node, Site, settled_leader, wait_for};

#[tokio::test]
async fn nodes_without_the_store_get_a_configuration_from_a_peer() {
    let site = Site::new();
    let nodes = site.spawn_nodes(3, 21_240).await;
    let leader = settled_leader(&nodes).await;
    let follower = (leader + 1) % nodes.len();
    site.refuse([leader, follower]);
    site.publish(2);
    let published = tokio::time::Instant::now();
    let in_force = |node: &Node| node.service().config().map(|one| one.version.0);
    wait_for(async || nodes.iter().all(|node| in_force(node) == Some(2))).await;
    let taken = published.elapsed();
    assert!(taken < Duration::from_millis(1500), "taken {taken:?}");
}

// The leader passes configurations on, so its loss must not hold one up beyond the users' bound.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn configuration_is_in_force_in_time_if_the_leader_is_lost_meanwhile() {
    let site = Site::new();
    let mut processes = site.spawn_processes(4, 21_540).await;
    let is_leading = |(_, node): &(_, Node)| node.is_leading();
    wait_for(async || processes.iter().any(is_leading)).await;
    tokio::time::sleep(Duration::from_millis(700)).await;
    let leader = processes.iter().position(is_leading).unwrap();
    let (runtime, _) = processes.remove(leader);
    site.publish(2);
    let published = tokio::time::Instant::now();
    runtime.shutdown_background();
    let version = |node: &Node| node.service().config().map(|one| one.version.0);
    let in_force = || processes.iter().all(|(_, node)| version(node) == Some(2));
    wait_for(async || in_force()).await;
    let taken = published.elapsed();
    assert!(taken < Duration::from_secs(3), "taken {taken:?}");
    for (runtime, _) in processes {
        runtime.shutdown_background();
    }
}
