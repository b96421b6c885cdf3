//! What happens to the tasks of workers that are silent, leave or start anew.

use std::time::Duration;

use geraniumshed_core::job::{JobPhase, StepRequest};
use rstest::rstest;

use crate::builders::{step, task};
use crate::fixture::Cluster;

/// Hands in a job of one long task and returns the worker that runs it.
fn with_long_task(cluster: &mut Cluster) -> geraniumshed_core::job::WorkerId {
    let long = StepRequest {
        estimate: Duration::from_mins(1),
        ..step(1)
    };
    cluster.submit(1, vec![long]);
    cluster.advance(Duration::from_millis(300));
    cluster.starts[0].worker.clone()
}

#[test]
fn a_silent_worker_keeps_its_task_until_the_lease_has_run_out() {
    let mut cluster = Cluster::with_workers(2);
    let silent = with_long_task(&mut cluster);
    cluster.workers.get_mut(&silent).unwrap().fault.is_silent = true;
    cluster.advance(Duration::from_secs(4));
    assert_eq!(cluster.starts.len(), 1);
    cluster.advance(Duration::from_secs(4));
    assert_eq!(cluster.starts.len(), 2);
    assert_eq!(cluster.doubled, []);
    assert_eq!(cluster.running_on(&silent), 0, "the lease ran out first");
}

#[test]
fn repeated_renewals_without_an_answer_put_the_end_of_a_lease_off_only_once() {
    // A lasting task of a worker that has left was never started again.
    let mut cluster = Cluster::with_workers(2);
    let lasting = StepRequest {
        is_long_running: true,
        ..step(1)
    };
    let id = cluster.submit(1, vec![lasting]);
    cluster.advance(Duration::from_millis(300));
    let gone = cluster.starts[0].worker.clone();
    cluster.workers.remove(&gone);
    cluster.list_workers();
    cluster.advance(Duration::from_secs(8));
    let starts = cluster.starts_of(task(id, 0, 0));
    assert_eq!(starts.len(), 2);
    assert_ne!(starts[1].worker, gone);
}

#[test]
fn a_worker_that_starts_anew_loses_its_tasks_at_once() {
    let mut cluster = Cluster::with_workers(2);
    let reborn = with_long_task(&mut cluster);
    cluster.workers.get_mut(&reborn).unwrap().restart();
    cluster.advance(Duration::from_millis(500));
    assert_eq!(cluster.starts.len(), 2);
}

#[test]
fn ends_that_wait_for_the_store_keep_no_lease_from_being_renewed() {
    // With the store away, workers with unstored ends got no renewals: their other tasks lapsed, or
    // were stopped as stalled.
    let mut cluster = Cluster::with_workers(2);
    let long = StepRequest {
        estimate: Duration::from_secs(30),
        ..step(4)
    };
    let id = cluster.submit(1, vec![long]);
    cluster.submit(2, vec![step(8)]);
    cluster.advance(Duration::from_millis(500));
    cluster.store_is_up = false;
    cluster.advance(Duration::from_secs(15));
    cluster.store_is_up = true;
    cluster.advance(Duration::from_secs(18));
    let starts = cluster.starts.iter().filter(|start| start.task.job == id);
    assert_eq!(starts.count(), 4);
    assert_eq!(cluster.phase(id), Some(JobPhase::Completed));
}

#[test]
fn a_store_outage_keeps_running_tasks_alive() {
    let mut cluster = Cluster::with_workers(2);
    with_long_task(&mut cluster);
    cluster.store_is_up = false;
    cluster.advance(Duration::from_secs(20));
    cluster.store_is_up = true;
    cluster.advance(Duration::from_secs(45));
    assert_eq!(cluster.starts.len(), 1);
    let id = cluster.starts[0].task.job;
    assert_eq!(cluster.phase(id), Some(JobPhase::Completed));
}

/// A takeover beside a slow store takes longer than a usual lease lasts.
#[rstest]
#[case::planned_stop(true, false)]
#[case::loss_beside_a_slow_store(false, true)]
fn leases_last_until_a_slow_takeover_has_ended(
    #[case] is_planned: bool,
    #[case] is_store_slow: bool,
) {
    let mut cluster = Cluster::with_workers(4);
    let lasting = StepRequest {
        is_long_running: true,
        ..step(8)
    };
    cluster.submit(1, vec![lasting]);
    cluster.planner.prolong_leases(is_store_slow);
    cluster.advance(Duration::from_secs(3));
    if is_planned {
        cluster.planner.hand_over(cluster.moment());
        cluster.carry_out_actions();
    }
    cluster.pass_without_planner(Duration::from_millis(4_800));
    cluster.replace_planner();
    cluster.advance(Duration::from_secs(1));
    assert_eq!(cluster.starts.len(), 8, "no task had to start again");
}
