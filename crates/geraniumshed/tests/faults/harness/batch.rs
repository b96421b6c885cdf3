//! Clusters that run batch tasks, and where the tasks are.

use std::time::Duration;

use geraniumshed_model::prelude::VmId;
use geraniumshed_standin::truth::TruthRecord;

use super::cluster::{Cluster, ClusterPlan, is_of};
use super::records::TEAM;

/// Long enough for every task of a test to be placed, run and reported, with takeovers.
pub const PATIENCE: Duration = Duration::from_secs(45);

/// Leases and bounds so short that a test sees them pass.
pub const SHORT_LEASES: [(&str, &str); 4] = [
    ("scheduler", "lease: 6s"),
    ("scheduler", "renewal: 2s"),
    ("scheduler", "list_lag: 3s"),
    ("scheduler", "drift_margin: 1s"),
];

/// Returns a cluster with short leases.
pub fn short_plan() -> ClusterPlan {
    ClusterPlan {
        settings: SHORT_LEASES.to_vec(),
        ..ClusterPlan::default()
    }
}

/// Opens a cluster with short leases and a team.
pub async fn open_cluster() -> Cluster {
    let cluster = Cluster::open(short_plan()).await;
    cluster.publish(0, TEAM).await;
    cluster
}

/// Returns a worker that runs a task of a record.
pub fn running_vm(record: &TruthRecord, name: &str) -> Option<VmId> {
    let mut running = record.placements.iter().filter(|p| is_of(&p.task, name));
    let placement = running.find(|p| p.end.is_none())?;
    Some(placement.vm.parse().unwrap())
}

/// Returns the number of attempts of a record's tasks.
pub fn attempts(record: &TruthRecord, name: &str) -> usize {
    record
        .placements
        .iter()
        .filter(|p| is_of(&p.task, name))
        .count()
}

/// Returns the index of an availability zone in which tasks of a record run.
pub fn busy_zone(cluster: &Cluster, name: &str) -> usize {
    let vm = running_vm(&cluster.set.ledger().snapshot(), name).unwrap();
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
    let of_zone = workers.iter().filter(|worker| worker.zone == zone);
    of_zone.map(|worker| worker.vm.parse().unwrap()).collect()
}
