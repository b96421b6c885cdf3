//! Tests of the events that the planner emits about its decisions.

use std::time::Duration;

use geraniumshed_core::assignment::{JobSummary, PlacementRefusal, PlannerEvent};
use geraniumshed_core::job::{JobId, JobPhase, StepRequest};

use crate::builders::{size, step, task};
use crate::fixture::Cluster;

fn summary(cluster: &Cluster, id: JobId) -> &JobSummary {
    let found = cluster.events.iter().find_map(|event| match event {
        PlannerEvent::JobEnded(summary) if summary.job == id => Some(summary),
        _ => None,
    });
    found.expect("the job has ended")
}

#[test]
fn waiting_step_reports_refusals_once() {
    let mut cluster = Cluster::with_workers(3);
    let wide = StepRequest {
        size: size(32_000, 16),
        ..step(5)
    };
    let id = cluster.submit(1, vec![wide]);
    cluster.advance(Duration::from_millis(800));
    let waits = cluster.events.iter().filter_map(|event| match event {
        PlannerEvent::StepWaiting(placement, refusals) => Some((placement, refusals)),
        _ => None,
    });
    let waits: Vec<_> = waits.collect();
    let [(placement, refusals)] = waits[..] else {
        panic!("{waits:?}");
    };
    assert_eq!(
        (placement.job, placement.placed, placement.waiting),
        (id, 3, 2)
    );
    assert_eq!(refusals.get(&PlacementRefusal::NoRoom), Some(&3));
}

#[test]
fn job_summary_reports_times_and_lost_runs() {
    let mut cluster = Cluster::with_workers(2);
    let id = cluster.submit(1, vec![step(1)]);
    cluster.advance(Duration::from_millis(300));
    let worker = cluster.starts[0].worker.clone();
    cluster.workers.get_mut(&worker).unwrap().restart();
    cluster.advance(Duration::from_secs(4));
    let lost = cluster.events.iter().any(|event| match event {
        PlannerEvent::RunLost(lost) => lost.task == task(id, 0, 0) && lost.worker == worker,
        _ => false,
    });
    assert!(lost);
    let summary = summary(&cluster, id);
    assert_eq!(summary.phase, JobPhase::Completed);
    assert_eq!(summary.lost_runs.get("worker restarted"), Some(&1));
    assert!(summary.first_placed < Some(Duration::from_millis(100)));
    assert!(summary.age > Duration::from_secs(1));
}
