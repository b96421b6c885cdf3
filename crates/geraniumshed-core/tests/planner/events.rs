//! Tests of the events that the planner emits about its decisions.

use std::time::Duration;

use geraniumshed_core::assignment::{
    JobSummary, LostWorker, PlacementRefusal, PlannerEvent, RunStart, SilentWorker, WorkerRunLoss,
};
use geraniumshed_core::job::{JobId, JobPhase, StepRequest, WorkerId};
use geraniumshed_core::worker::{WorkerChange, WorkerFailure};
use rstest::rstest;

use crate::builders::{size, step, task};
use crate::fixture::{Cluster, STEP};

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

/// The log has to tell which of a worker's runs had just started when it crashed, and whether other
/// workers went silent at that moment.
#[rstest]
#[case::one_worker(1)]
#[case::all_workers(3)]
fn lost_run_reports_its_age_and_other_silent_workers(#[case] silent_count: usize) {
    let mut cluster = Cluster::with_workers(3);
    let id = cluster.submit(1, vec![step(3)]);
    cluster.advance(Duration::from_millis(300));
    let silent: Vec<WorkerId> = cluster.workers.keys().take(silent_count).cloned().collect();
    for worker in &silent {
        set_silent(&mut cluster, worker, true);
    }
    cluster.advance(Duration::from_millis(500));
    for worker in &silent {
        cluster.workers.get_mut(worker).unwrap().restart();
    }
    cluster.advance(Duration::from_millis(500));
    let lost = cluster.events.iter().filter_map(|event| match event {
        PlannerEvent::RunLost(lost) if lost.task.job == id => lost.loss,
        _ => None,
    });
    let lost: Vec<WorkerRunLoss> = lost.collect();
    assert_eq!(lost.len(), silent_count);
    for loss in lost {
        assert_eq!(loss.start, RunStart::Confirmed);
        assert_eq!(loss.silent_together, silent_count);
        let age = loss.age.unwrap();
        assert!(age > Duration::from_millis(200) && age < Duration::from_millis(500));
    }
}

/// Creates a cluster in which a worker has one run that lasts a minute, and returns that worker.
fn cluster_with_run() -> (Cluster, WorkerId) {
    let mut cluster = Cluster::with_workers(3);
    let long = StepRequest {
        estimate: Duration::from_mins(1),
        ..step(1)
    };
    cluster.submit(1, vec![long]);
    cluster.advance(Duration::from_millis(500));
    let worker = cluster.starts[0].worker.clone();
    (cluster, worker)
}

fn set_silent(cluster: &mut Cluster, worker: &WorkerId, is_silent: bool) {
    cluster.workers.get_mut(worker).unwrap().fault.is_silent = is_silent;
}

/// Passes a changed registration of a worker to the planner, twice.
fn set_draining(cluster: &mut Cluster, worker: &WorkerId, is_draining: bool) {
    let listing = &mut cluster.workers.get_mut(worker).unwrap().listing;
    listing.is_draining = is_draining;
    let listed = WorkerChange::Listed(listing.clone());
    let now = cluster.planner_time();
    cluster.planner.update_workers(now, vec![listed]);
    cluster.replace_workers();
}

/// Removes the registration of a worker, twice.
fn unregister(cluster: &mut Cluster, worker: &WorkerId) {
    let gone = WorkerChange::Gone(worker.clone());
    let now = cluster.planner_time();
    cluster.planner.update_workers(now, vec![gone.clone()]);
    cluster.planner.update_workers(now, vec![gone]);
}

/// Returns the events about the contact with a worker, in short.
fn contact_events(cluster: &Cluster, worker: &WorkerId) -> Vec<String> {
    let events = cluster.events.iter().filter_map(|event| match event {
        PlannerEvent::WorkerSilent(silent) if silent.worker == *worker => Some(format!(
            "silent, {} runs, inherited: {}",
            silent.runs, silent.is_lease_inherited
        )),
        PlannerEvent::WorkerAnswering(answering) if answering.worker == *worker => {
            Some(format!("answering, {} runs", answering.runs))
        }
        PlannerEvent::WorkerDeparting(departing) if departing.worker == *worker => Some(format!(
            "{:?}, {} runs, inherited: {}",
            departing.standing, departing.runs, departing.is_lease_inherited
        )),
        PlannerEvent::WorkerLost(lost) if lost.worker == *worker => Some(format!(
            "lost, {:?}, {}, {} runs, inherited: {}",
            lost.standing, lost.reason, lost.runs, lost.is_lease_inherited
        )),
        _ => None,
    });
    events.collect()
}

fn stays(_: &mut Cluster, _: &WorkerId) {}

fn goes_silent(cluster: &mut Cluster, worker: &WorkerId) {
    set_silent(cluster, worker, true);
}

fn is_silent_briefly(cluster: &mut Cluster, worker: &WorkerId) {
    set_silent(cluster, worker, true);
    cluster.advance(Duration::from_secs(1));
    set_silent(cluster, worker, false);
}

fn is_silent_until_lost(cluster: &mut Cluster, worker: &WorkerId) {
    set_silent(cluster, worker, true);
    cluster.advance(Duration::from_secs(10));
    set_silent(cluster, worker, false);
}

fn leaves_stop_unanswered(cluster: &mut Cluster, worker: &WorkerId) {
    let now = cluster.planner_time();
    let reply = Err(WorkerFailure::Unanswered);
    cluster.planner.stop_answered(now, worker, reply);
}

fn drains(cluster: &mut Cluster, worker: &WorkerId) {
    set_draining(cluster, worker, true);
}

fn drains_twice(cluster: &mut Cluster, worker: &WorkerId) {
    set_draining(cluster, worker, true);
    set_draining(cluster, worker, false);
    set_draining(cluster, worker, true);
}

fn drains_and_exits(cluster: &mut Cluster, worker: &WorkerId) {
    set_draining(cluster, worker, true);
    cluster.advance(Duration::from_secs(1));
    unregister(cluster, worker);
    set_silent(cluster, worker, true);
}

fn is_unregistered(cluster: &mut Cluster, worker: &WorkerId) {
    unregister(cluster, worker);
}

fn is_taken_over(cluster: &mut Cluster, _: &WorkerId) {
    cluster.replace_planner();
}

fn is_silent_at_takeover(cluster: &mut Cluster, worker: &WorkerId) {
    set_silent(cluster, worker, true);
    cluster.replace_planner();
}

fn is_silent_over_takeovers(cluster: &mut Cluster, worker: &WorkerId) {
    set_silent(cluster, worker, true);
    for _ in 0..2 {
        cluster.advance(Duration::from_secs(1));
        cluster.replace_planner();
    }
}

fn is_draining_at_takeover(cluster: &mut Cluster, worker: &WorkerId) {
    let entry = cluster.workers.get_mut(worker).unwrap();
    entry.listing.is_draining = true;
    cluster.replace_planner();
    cluster.replace_workers();
}

fn is_unregistered_at_takeover(cluster: &mut Cluster, worker: &WorkerId) {
    cluster.workers.remove(worker);
    cluster.replace_planner();
    cluster.replace_workers();
}

const SILENT: &str = "silent, 1 runs, inherited: false";
const DRAINING: &str = "Draining, 1 runs, inherited: false";

#[rstest]
#[case::stays(stays, &[])]
#[case::goes_silent(goes_silent, &[
    SILENT,
    "lost, Registered, lease ran out, 1 runs, inherited: false",
])]
#[case::is_silent_briefly(is_silent_briefly, &[SILENT, "answering, 1 runs"])]
#[case::is_silent_until_lost(is_silent_until_lost, &[
    SILENT,
    "lost, Registered, lease ran out, 1 runs, inherited: false",
    "answering, 0 runs",
])]
#[case::leaves_stop_unanswered(leaves_stop_unanswered, &[SILENT, "answering, 1 runs"])]
#[case::drains(drains, &[DRAINING])]
#[case::drains_twice(drains_twice, &[DRAINING, DRAINING])]
#[case::drains_and_exits(drains_and_exits, &[
    DRAINING,
    "Removed, 1 runs, inherited: false",
    SILENT,
    "lost, Removed, lease ran out, 1 runs, inherited: false",
])]
#[case::is_unregistered(is_unregistered, &["Removed, 1 runs, inherited: false"])]
#[case::is_taken_over(is_taken_over, &[])]
#[case::is_silent_at_takeover(is_silent_at_takeover, &[
    "silent, 1 runs, inherited: true",
    "lost, Registered, lease ran out, 1 runs, inherited: true",
])]
#[case::is_silent_over_takeovers(is_silent_over_takeovers, &[
    SILENT,
    "silent, 1 runs, inherited: true",
    "silent, 1 runs, inherited: true",
    "lost, Registered, lease ran out, 1 runs, inherited: true",
])]
#[case::is_draining_at_takeover(is_draining_at_takeover, &["Draining, 1 runs, inherited: true"])]
#[case::is_unregistered_at_takeover(is_unregistered_at_takeover, &[
    "Unregistered, 1 runs, inherited: true",
    "lost, Unregistered, lease ran out, 1 runs, inherited: true",
])]
fn each_change_in_contact_with_worker_is_reported_once(
    #[case] change: fn(&mut Cluster, &WorkerId),
    #[case] expected: &[&str],
) {
    let (mut cluster, worker) = cluster_with_run();
    change(&mut cluster, &worker);
    cluster.advance(Duration::from_secs(10));
    assert_eq!(contact_events(&cluster, &worker), expected);
}

#[rstest]
#[case(goes_silent)]
#[case(is_silent_briefly)]
#[case(drains)]
#[case(is_draining_at_takeover)]
fn changes_in_contact_with_worker_without_runs_are_not_reported(
    #[case] change: fn(&mut Cluster, &WorkerId),
) {
    let (mut cluster, busy) = cluster_with_run();
    let idle = cluster.workers.keys().find(|id| **id != busy).cloned();
    let idle = idle.unwrap();
    change(&mut cluster, &idle);
    cluster.advance(Duration::from_secs(10));
    assert_eq!(contact_events(&cluster, &idle), Vec::<String>::new());
}

fn silent_event(cluster: &Cluster) -> &SilentWorker {
    let found = cluster.events.iter().find_map(|event| match event {
        PlannerEvent::WorkerSilent(silent) => Some(silent),
        _ => None,
    });
    found.expect("a worker went silent")
}

fn lost_event(cluster: &Cluster) -> &LostWorker {
    let found = cluster.events.iter().find_map(|event| match event {
        PlannerEvent::WorkerLost(lost) => Some(lost),
        _ => None,
    });
    found.expect("a worker is lost")
}

#[test]
fn silence_and_loss_report_time_since_last_answer() {
    let (mut cluster, worker) = cluster_with_run();
    set_silent(&mut cluster, &worker, true);
    cluster.advance(Duration::from_secs(10));
    let (silent, lost) = (silent_event(&cluster), lost_event(&cluster));
    let (silent_after, lost_after) = (silent.last_heard.unwrap(), lost.last_heard.unwrap());
    let lease_over = silent_after + silent.lease_remaining;
    let watch_interval = Duration::from_millis(40);
    assert!(lost_after > lease_over, "{silent:?} {lost:?}");
    assert!(
        lost_after <= lease_over + watch_interval + STEP,
        "{silent:?} {lost:?}"
    );
    assert_eq!(lost.waited(), lost_after);
    assert!(lost.known > lost_after);
}

#[test]
fn loss_of_worker_that_never_answered_reports_time_since_takeover() {
    let (mut cluster, worker) = cluster_with_run();
    set_silent(&mut cluster, &worker, true);
    cluster.advance(Duration::from_secs(1));
    cluster.events.clear();
    cluster.replace_planner();
    let taken_over_at = cluster.now;
    while !cluster
        .events
        .iter()
        .any(|event| matches!(event, PlannerEvent::WorkerLost(_)))
    {
        cluster.advance(STEP);
        assert!(cluster.now.since(taken_over_at) < Duration::from_secs(10));
    }
    let lost = lost_event(&cluster);
    assert_eq!(silent_event(&cluster).last_heard, None);
    assert_eq!(lost.last_heard, None);
    assert_eq!(lost.known, cluster.now.since(taken_over_at));
    assert_eq!(lost.waited(), lost.known);
}
