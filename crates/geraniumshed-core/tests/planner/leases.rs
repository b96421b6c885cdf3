//! Tests of the tasks of workers that don't reply, leave or restart, and of store outages.

use std::time::Duration;

use geraniumshed_core::assignment::PlannerSettings;
use geraniumshed_core::job::{JobPhase, StepRequest};
use rstest::rstest;

use crate::builders::{size, step, task};
use crate::fixture::Cluster;

/// Submits a job of one long task, and returns the worker that runs it.
fn submit_long_task(cluster: &mut Cluster) -> geraniumshed_core::job::WorkerId {
    let long = StepRequest {
        estimate: Duration::from_mins(1),
        ..step(1)
    };
    cluster.submit(1, vec![long]);
    cluster.advance(Duration::from_millis(300));
    cluster.starts[0].worker.clone()
}

#[test]
fn silent_worker_keeps_its_task_until_lease_expires() {
    let mut cluster = Cluster::with_workers(2);
    let silent = submit_long_task(&mut cluster);
    cluster.workers.get_mut(&silent).unwrap().fault.is_silent = true;
    cluster.advance(Duration::from_secs(4));
    assert_eq!(cluster.starts.len(), 1);
    cluster.advance(Duration::from_secs(4));
    assert_eq!(cluster.starts.len(), 2);
    assert_eq!(cluster.duplicated, []);
    assert_eq!(
        cluster.running_on(&silent),
        0,
        "the task still runs after the lease expired"
    );
}

// Guards against a second run beside the last moments of the first one: a worker's timer fires late, and its
// clock runs slow.
#[test]
fn run_is_given_up_only_once_its_worker_has_ended_it() {
    let mut cluster = Cluster::with_workers(2);
    let silent = submit_long_task(&mut cluster);
    let one = cluster.workers.get_mut(&silent).unwrap();
    one.clock_percent = 98;
    one.fault.lapse_delay = Duration::from_millis(250);
    cluster.advance(Duration::from_secs(2));
    cluster.workers.get_mut(&silent).unwrap().fault.is_silent = true;
    cluster.advance(Duration::from_secs(8));
    assert_eq!(cluster.starts.len(), 2);
    let one = &cluster.workers[&silent];
    let ended_at = one.deadline + one.fault.lapse_delay;
    assert!(one.clock(cluster.starts[1].at) > ended_at);
}

#[test]
fn unanswered_renewals_extend_lease_only_once() {
    // Guards against a fault in which each unanswered renewal extended the lease of a worker that
    // had left, so that its long-running task was never started again.
    let mut cluster = Cluster::with_workers(2);
    let long_running = StepRequest {
        is_long_running: true,
        ..step(1)
    };
    let id = cluster.submit(1, vec![long_running]);
    cluster.advance(Duration::from_millis(300));
    let gone = cluster.starts[0].worker.clone();
    cluster.workers.remove(&gone);
    cluster.replace_workers();
    cluster.advance(Duration::from_secs(8));
    let starts = cluster.starts_of(task(id, 0, 0));
    assert_eq!(starts.len(), 2);
    assert_ne!(starts[1].worker, gone);
}

#[test]
fn restarted_worker_loses_its_tasks_at_once() {
    let mut cluster = Cluster::with_workers(2);
    let restarted = submit_long_task(&mut cluster);
    cluster.workers.get_mut(&restarted).unwrap().restart();
    cluster.advance(Duration::from_millis(500));
    assert_eq!(cluster.starts.len(), 2);
}

#[test]
fn ends_that_wait_for_the_store_keep_no_lease_from_being_renewed() {
    // Guards against a fault in which workers with unstored ends got no renewals during a store
    // outage, so that the leases of their other tasks expired or those were stopped as stalled.
    let mut cluster = Cluster::with_workers(2);
    let long = StepRequest {
        estimate: Duration::from_secs(30),
        ..step(4)
    };
    let id = cluster.submit(1, vec![long]);
    cluster.submit(2, vec![step(8)]);
    cluster.advance(Duration::from_millis(500));
    cluster.is_store_up = false;
    cluster.is_outage_confirmed = true;
    cluster.advance(Duration::from_secs(15));
    cluster.is_store_up = true;
    cluster.advance(Duration::from_secs(18));
    let starts = cluster.starts.iter().filter(|start| start.task.job == id);
    assert_eq!(starts.count(), 4);
    assert_eq!(cluster.phase(id), Some(JobPhase::Completed));
}

#[test]
fn running_tasks_survive_store_outage() {
    let mut cluster = Cluster::with_workers(2);
    submit_long_task(&mut cluster);
    cluster.is_store_up = false;
    cluster.is_outage_confirmed = true;
    cluster.advance(Duration::from_secs(20));
    cluster.is_store_up = true;
    cluster.advance(Duration::from_secs(45));
    assert_eq!(cluster.starts.len(), 1);
    let id = cluster.starts[0].task.job;
    assert_eq!(cluster.phase(id), Some(JobPhase::Completed));
}

// Guards against leases that a leader extends although a successor may have taken over: the store doesn't answer
// it, and nothing shows that it answers no other node. A successor that doesn't reach the worker gives the runs up
// when the longest requested lease has expired that began before the takeover.
#[rstest]
#[case::usual_leases(false, false)]
#[case::prolonged_leases(true, false)]
#[case::hand_over(false, true)]
fn lease_ends_before_a_successor_that_is_not_known_gives_it_up(
    #[case] is_prolonging: bool,
    #[case] hands_over: bool,
) {
    let mut cluster = Cluster::with_workers(1);
    let worker = submit_long_task(&mut cluster);
    cluster.advance(Duration::from_secs(2));
    cluster.is_store_up = false;
    cluster.planner.prolong_leases(is_prolonging);
    cluster.advance(Duration::from_millis(2_500));
    if hands_over {
        cluster.planner.hand_over(cluster.planner_time());
        cluster.carry_out_actions();
    }
    cluster.advance(Duration::from_millis(1_500));
    assert_eq!(cluster.running_on(&worker), 1, "the lease ended too soon");
    let longest = PlannerSettings::default().prolonged_lease;
    let waited = Duration::from_secs(4);
    cluster.advance(longest.saturating_sub(waited) + Duration::from_millis(100));
    assert_eq!(cluster.running_on(&worker), 0);
}

/// With a slow store, a takeover takes longer than the length of a usual lease.
#[rstest]
#[case::planned_stop(true, false)]
#[case::loss_beside_a_slow_store(false, true)]
fn prolonged_leases_outlast_slow_takeover(#[case] is_planned: bool, #[case] is_store_slow: bool) {
    let mut cluster = Cluster::with_workers(4);
    let long_running = StepRequest {
        is_long_running: true,
        ..step(8)
    };
    cluster.submit(1, vec![long_running]);
    cluster.planner.prolong_leases(is_store_slow);
    cluster.advance(Duration::from_secs(3));
    if is_planned {
        cluster.planner.hand_over(cluster.planner_time());
        cluster.carry_out_actions();
    }
    cluster.advance_without_planner(Duration::from_millis(4_800));
    cluster.replace_planner();
    cluster.advance(Duration::from_secs(1));
    assert_eq!(cluster.starts.len(), 8, "tasks were started again");
}

/// The runs on the worker of a test of renewals.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Neighbour {
    None,
    BestEffort,
}

/// Pattern: a site of which most workers serve callers and few best-effort runs are beside them. A
/// worker is asked at short intervals only while a best-effort run may raise its tail latencies.
#[rstest]
#[case::served_alone(Neighbour::None, 0, 6)]
#[case::beside_best_effort(Neighbour::BestEffort, 10, 20)]
fn tails_are_read_often_only_beside_best_effort_runs(
    #[case] neighbour: Neighbour,
    #[case] least: usize,
    #[case] most: usize,
) {
    let mut cluster = Cluster::with_workers(1);
    cluster.submit(1, vec![served(1)]);
    cluster.advance(Duration::from_secs(3));
    if neighbour == Neighbour::BestEffort {
        cluster.submit(2, vec![best_effort(1)]);
        cluster.advance(Duration::from_secs(1));
    }
    hold_renewals(&mut cluster);
    cluster.advance(Duration::from_secs(1));
    cluster.renewal_count = 0;
    cluster.advance(Duration::from_secs(5));
    let count = cluster.renewal_count;
    assert!((least..=most).contains(&count), "{count} renewals");
}

/// A best-effort run that comes beside a served one doesn't have to wait for the answer of a renewal
/// that was sent before: the tail latencies are read as soon as with it.
#[test]
fn tails_are_read_soon_after_a_best_effort_run_comes() {
    let mut cluster = Cluster::with_workers(1);
    cluster.submit(1, vec![served(1)]);
    cluster.advance(Duration::from_secs(3));
    hold_renewals(&mut cluster);
    cluster.advance(Duration::from_millis(1_500));
    for number in 0..5 {
        let id = cluster.submit(10 + number, vec![best_effort(1)]);
        cluster.renewal_count = 0;
        cluster.advance(Duration::from_millis(450));
        assert!(cluster.renewal_count >= 1, "no renewal after run {number}");
        cluster.planner.cancel(cluster.planner_time(), id);
        cluster.advance(Duration::from_millis(2_300));
    }
}

fn served(task_count: u32) -> StepRequest {
    StepRequest {
        is_long_running: true,
        image: Some("calls".into()),
        latency_target: Some(Duration::from_millis(20)),
        ..step(task_count)
    }
}

fn best_effort(task_count: u32) -> StepRequest {
    StepRequest {
        is_best_effort: true,
        image: Some("filler".into()),
        estimate: Duration::from_mins(1),
        ..step(task_count)
    }
}

/// Makes all workers hold renewals back for as long as they may.
fn hold_renewals(cluster: &mut Cluster) {
    for worker in cluster.workers.values_mut() {
        worker.fault.holds_renewals = true;
    }
}

// Guards against a long-running task that stays away for too long after a takeover, since another run on its
// silent worker was never confirmed and may have a longer lease.
#[test]
fn confirmed_run_beside_an_unconfirmed_one_waits_for_its_own_lease() {
    let settings = PlannerSettings {
        longest_lease: Duration::from_secs(20),
        ..PlannerSettings::default()
    };
    let mut cluster = Cluster::with_settings(1, settings);
    let lasting = StepRequest {
        is_long_running: true,
        ..step(1)
    };
    let id = cluster.submit(1, vec![lasting]);
    // The leases of earlier leaders have expired, so that the stored limit is that of this one.
    cluster.advance(Duration::from_secs(30));
    let lost = cluster.starts[0].worker.clone();
    cluster.workers.get_mut(&lost).unwrap().fault.is_silent = true;
    cluster.submit(2, vec![step(1)]);
    cluster.advance(Duration::from_secs(2));
    cluster.add_worker(1, size(32_000, 128));
    cluster.replace_planner();
    cluster.advance(Duration::from_secs(7));
    assert_eq!(cluster.starts_of(task(id, 0, 0)).len(), 2);
}
