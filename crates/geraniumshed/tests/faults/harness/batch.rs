//! Clusters with short leases, and queries about where tasks run.

use std::time::Duration;

use geraniumshed_model::prelude::VmId;
use geraniumshed_standin::history::RunHistory;

use super::cluster::{Cluster, ClusterPlan, belongs_to};
use super::records::TEAM;

/// The timeout for all tasks of a test to be placed, run and reported, including takeovers.
pub const TASK_TIMEOUT: Duration = Duration::from_secs(45);

/// Settings with leases short enough to expire during a test.
pub const SHORT_LEASES: [(&str, &str); 4] = [
    ("scheduler", "lease: 6s"),
    ("scheduler", "renewal: 2s"),
    ("scheduler", "list_lag: 3s"),
    ("scheduler", "drift_margin: 1s"),
];

/// Returns the plan of a cluster with short leases.
pub fn short_lease_plan() -> ClusterPlan {
    ClusterPlan {
        settings: SHORT_LEASES.to_vec(),
        ..ClusterPlan::default()
    }
}

/// Opens a cluster with short leases and publishes a team.
pub async fn open_cluster() -> Cluster {
    let cluster = Cluster::open(short_lease_plan()).await;
    cluster.publish(0, TEAM).await;
    cluster
}

/// Returns a worker that currently runs a task of a record.
pub fn running_vm(record: &RunHistory, name: &str) -> Option<VmId> {
    let mut running = record
        .placements
        .iter()
        .filter(|p| belongs_to(&p.task, name));
    let placement = running.find(|p| p.end.is_none())?;
    Some(placement.vm.parse().unwrap())
}

/// Returns the number of attempts of a record's tasks.
pub fn attempts(record: &RunHistory, name: &str) -> usize {
    record
        .placements
        .iter()
        .filter(|p| belongs_to(&p.task, name))
        .count()
}

/// Returns the index of an availability zone in which tasks of a record run.
pub fn busy_zone(cluster: &Cluster, name: &str) -> usize {
    let vm = running_vm(&cluster.set.recorder().snapshot(), name).unwrap();
    let workers = cluster.set.status().workers;
    let worker = workers.iter().find(|worker| worker.vm == vm.as_str());
    let zones = &cluster.set.settings().zones;
    let zone = worker.unwrap().zone.clone();
    zones
        .iter()
        .position(|each| each.name.as_str() == zone)
        .unwrap()
}

/// Returns the workers of an availability zone.
pub fn workers_in(cluster: &Cluster, zone: usize) -> Vec<VmId> {
    let zone = cluster.set.settings().zones[zone].name.as_str();
    let workers = cluster.set.status().workers;
    let in_zone = workers.iter().filter(|worker| worker.zone == zone);
    in_zone.map(|worker| worker.vm.parse().unwrap()).collect()
}
