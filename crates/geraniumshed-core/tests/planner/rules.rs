//! Tests of the rules for when and where tasks may start.

use std::time::Duration;

use geraniumshed_core::assignment::{CancelOutcome, PlannerSettings};
use geraniumshed_core::job::{JobId, JobPhase, StepRequest};
use geraniumshed_core::worker::{WorkerChange, WorkerListing};
use rstest::rstest;

use crate::adviser::ADVISED_QUEUE;
use crate::builders::{size, step, task, worker};
use crate::fixture::{Cluster, ObservedStart};
use crate::simulation::WorkerFault;

#[test]
fn step_starts_after_all_tasks_of_its_dependencies() {
    let mut cluster = Cluster::with_workers(4);
    let second = StepRequest {
        after: vec![0],
        ..step(3)
    };
    let id = cluster.submit(1, vec![step(5), second]);
    cluster.advance(Duration::from_millis(900));
    assert!(cluster.starts.iter().all(|start| start.task.step == 0));
    cluster.advance(Duration::from_millis(1_600));
    let started = cluster.starts.iter().filter(|start| start.task.step == 1);
    assert_eq!(started.count(), 3);
    assert_eq!(cluster.phase(id), Some(JobPhase::Completed));
}

#[test]
fn no_start_is_sent_before_its_placement_is_stored() {
    let mut cluster = Cluster::with_workers(2);
    cluster.is_store_up = false;
    cluster.submit(1, vec![step(2)]);
    cluster.advance(Duration::from_secs(3));
    assert_eq!(cluster.starts, []);
    cluster.is_store_up = true;
    cluster.advance(Duration::from_millis(100));
    assert_eq!(cluster.starts.len(), 2);
}

// Guards against starts of a planner whose process stood still while a successor took over: the worker
// may have restarted since, and then knows no later fencing token.
#[test]
fn suspended_planner_starts_nothing_until_a_later_batch_is_stored() {
    let mut cluster = Cluster::with_workers(2);
    cluster.is_store_up = false;
    cluster.submit(1, vec![step(2)]);
    cluster.advance(Duration::from_millis(100));
    cluster.planner.suspend_orders(cluster.now);
    let number_after_placements = 10;
    cluster
        .planner
        .batch_stored(cluster.planner_time(), number_after_placements);
    cluster.carry_out_actions();
    cluster.advance(Duration::from_secs(1));
    assert_eq!(cluster.starts, []);
    cluster.is_store_up = true;
    cluster.advance(Duration::from_millis(100));
    assert_eq!(cluster.starts.len(), 2);
}

// Guards against leases that a planner extends after its successor has begun to count them.
#[test]
fn suspended_planner_extends_no_lease() {
    let mut cluster = Cluster::with_workers(1);
    cluster.submit(1, vec![step(2)]);
    cluster.advance(Duration::from_millis(300));
    cluster.is_store_up = false;
    cluster.planner.suspend_orders(cluster.now);
    cluster.advance(Duration::from_millis(50));
    let deadline = cluster.workers[&worker(0)].deadline;
    cluster.advance(Duration::from_secs(3));
    assert_eq!(cluster.workers[&worker(0)].deadline, deadline);
}

// Guards against a report that was on its way while the process stood still: a successor may have taken over
// meanwhile.
#[test]
fn report_from_before_a_stall_resumes_no_leases() {
    let mut cluster = Cluster::with_workers(1);
    cluster.submit(1, vec![step(2)]);
    cluster.advance(Duration::from_millis(300));
    cluster.is_store_up = false;
    let asked_at = cluster.now;
    cluster.planner.suspend_orders(cluster.now);
    cluster.planner.resume_leases(asked_at);
    let deadline = cluster.workers[&worker(0)].deadline;
    cluster.advance(Duration::from_secs(2));
    assert_eq!(cluster.workers[&worker(0)].deadline, deadline);
}

// Guards against runs that are lost because their leader stood still for a moment while the store answers
// no node.
#[test]
fn planner_extends_leases_after_a_stall_while_the_store_is_down_for_all() {
    let mut cluster = Cluster::with_workers(1);
    let long_running = StepRequest {
        is_long_running: true,
        ..step(2)
    };
    cluster.submit(1, vec![long_running]);
    cluster.advance(Duration::from_millis(300));
    cluster.is_store_up = false;
    cluster.planner.suspend_orders(cluster.now);
    cluster.advance(Duration::from_secs(2));
    cluster.is_outage_confirmed = true;
    cluster.advance(Duration::from_secs(10));
    assert_eq!(cluster.running_on(&worker(0)), 2);
}

// Guards against a start with a lease that a successor doesn't wait for, since the store's answer came late:
// a successor may have taken over since the placement was stored.
#[test]
fn late_answer_of_the_store_grants_no_lease_beyond_the_wait_of_a_successor() {
    let mut cluster = Cluster::with_workers(1);
    cluster.advance(Duration::from_millis(300));
    cluster.is_store_up = false;
    cluster.submit(1, vec![step(2)]);
    cluster.advance(Duration::from_millis(100));
    let taken_at = cluster.now;
    let number = cluster.unstored_batches[0].0;
    cluster.advance(Duration::from_secs(4));
    cluster.planner.batch_stored(cluster.planner_time(), number);
    cluster.carry_out_actions();
    assert_eq!(cluster.starts.len(), 2);
    let one = &cluster.workers[&worker(0)];
    let remaining = one.deadline.since(one.clock(cluster.now));
    let longest = PlannerSettings::default().prolonged_lease;
    let limit = longest.saturating_sub(cluster.now.since(taken_at));
    assert!(remaining <= limit, "{remaining:?} of {limit:?} remain");
}

#[test]
fn end_is_acknowledged_and_reported_only_once_stored() {
    let mut cluster = Cluster::with_workers(2);
    let id = cluster.submit(1, vec![step(1)]);
    cluster.advance(Duration::from_millis(500));
    cluster.is_store_up = false;
    cluster.advance(Duration::from_secs(2));
    assert!(cluster.acknowledged.is_empty());
    assert_eq!(cluster.phase(id), Some(JobPhase::Running));
    cluster.is_store_up = true;
    cluster.advance(Duration::from_secs(1));
    assert!(cluster.acknowledged.contains(&(task(id, 0, 0), 1)));
    assert_eq!(cluster.phase(id), Some(JobPhase::Completed));
}

#[test]
fn repeated_cancellation_is_confirmed_only_once_stored() {
    let mut cluster = Cluster::with_workers(2);
    let id = cluster.submit(1, vec![step(1)]);
    cluster.advance(Duration::from_millis(300));
    cluster.is_store_up = false;
    for _ in 0..2 {
        let outcome = cluster.planner.cancel(cluster.planner_time(), id);
        assert!(matches!(outcome, CancelOutcome::StoredBy(_)), "{outcome:?}");
        cluster.advance(Duration::from_millis(50));
    }
    cluster.is_store_up = true;
    cluster.advance(Duration::from_millis(50));
    let outcome = cluster.planner.cancel(cluster.planner_time(), id);
    assert_eq!(outcome, CancelOutcome::AlreadyEnded);
}

#[test]
fn cancelled_job_is_stopped_and_never_restarted() {
    let mut cluster = Cluster::with_workers(2);
    let long_running = StepRequest {
        is_long_running: true,
        ..step(4)
    };
    let id = cluster.submit(1, vec![long_running]);
    cluster.advance(Duration::from_millis(500));
    cluster.planner.cancel(cluster.planner_time(), id);
    cluster.advance(Duration::from_secs(3));
    assert_eq!(cluster.starts.len(), 4);
    assert_eq!(
        cluster.running_on(&worker(0)) + cluster.running_on(&worker(1)),
        0
    );
    assert_eq!(cluster.phase(id), Some(JobPhase::Cancelled));
}

#[rstest]
#[case::processors(size(10_000, 1), 3)]
#[case::memory(size(1_000, 50), 2)]
fn worker_is_never_overcommitted(
    #[case] size: geraniumshed_model::prelude::ResourceSize,
    #[case] fitting: usize,
) {
    let mut cluster = Cluster::with_workers(1);
    let large = StepRequest { size, ..step(10) };
    cluster.submit(1, vec![large]);
    cluster.advance(Duration::from_millis(500));
    assert_eq!(cluster.running_on(&worker(0)), fitting);
}

#[test]
fn worker_limit_and_required_label_are_respected() {
    let mut cluster = Cluster::with_workers(3);
    cluster.workers.get_mut(&worker(2)).unwrap().listing.labels = vec!["b".into()];
    cluster.replace_workers();
    let limited = StepRequest {
        worker_limit: Some(1),
        required_label: Some("a".into()),
        ..step(6)
    };
    cluster.submit(1, vec![limited]);
    cluster.advance(Duration::from_millis(500));
    let counts: Vec<usize> = (0..3).map(|n| cluster.running_on(&worker(n))).collect();
    assert_eq!(counts, [1, 1, 0]);
}

#[test]
fn task_that_fails_too_often_fails_its_job() {
    let mut cluster = Cluster::with_workers(8);
    for one in cluster.workers.values_mut() {
        one.fault.fails = true;
    }
    let id = cluster.submit(1, vec![step(1)]);
    cluster.advance(Duration::from_secs(20));
    assert_eq!(cluster.starts_of(task(id, 0, 0)).len(), 3);
    assert_eq!(cluster.phase(id), Some(JobPhase::Failed));
}

#[test]
fn gang_starts_completely_or_not_at_all() {
    let mut cluster = Cluster::with_workers(2);
    let gang = |count| StepRequest {
        is_gang: true,
        size: size(16_000, 1),
        ..step(count)
    };
    cluster.submit(1, vec![gang(5)]);
    cluster.advance(Duration::from_millis(500));
    assert_eq!(cluster.starts, []);
    cluster.submit(2, vec![gang(4)]);
    cluster.advance(Duration::from_millis(500));
    assert_eq!(cluster.starts.len(), 4);
}

#[test]
fn draining_worker_gets_no_new_tasks() {
    let mut cluster = Cluster::with_workers(2);
    cluster
        .workers
        .get_mut(&worker(0))
        .unwrap()
        .listing
        .is_draining = true;
    cluster.replace_workers();
    cluster.submit(1, vec![step(4)]);
    cluster.advance(Duration::from_millis(500));
    assert_eq!(cluster.running_on(&worker(0)), 0);
    assert_eq!(cluster.running_on(&worker(1)), 4);
}

#[test]
fn stalled_task_restarts_on_another_worker() {
    let mut cluster = Cluster::with_workers(2);
    for one in cluster.workers.values_mut() {
        one.fault.stalls = true;
    }
    let id = cluster.submit(1, vec![step(1)]);
    cluster.advance(Duration::from_millis(300));
    let first = cluster.starts[0].worker.clone();
    for (id, one) in &mut cluster.workers {
        one.fault.stalls = *id == first;
    }
    cluster.advance(Duration::from_secs(5));
    let starts = cluster.starts_of(task(id, 0, 0));
    assert_eq!(starts.len(), 2);
    assert_ne!(starts[1].worker, first);
    assert_eq!(cluster.phase(id), Some(JobPhase::Completed));
}

#[test]
fn delayed_start_never_duplicates_task() {
    let mut cluster = Cluster::with_workers(3);
    let slow_starts = WorkerFault {
        start_delay: Some(Duration::from_secs(3)),
        ..WorkerFault::default()
    };
    cluster.workers.get_mut(&worker(0)).unwrap().fault = slow_starts;
    let id = cluster.submit(1, vec![step(12)]);
    cluster.advance(Duration::from_secs(9));
    assert_eq!(cluster.duplicated, []);
    assert_eq!(cluster.phase(id), Some(JobPhase::Completed));
    assert!(cluster.starts.iter().all(|start| start.worker != worker(0)));
}

/// A client that got no reply to its submission may cancel the job before it arrives.
#[rstest]
#[case::by_the_same_planner(false)]
#[case::by_a_later_planner(true)]
fn job_that_arrives_after_its_cancellation_never_starts(#[case] is_replaced: bool) {
    let mut cluster = Cluster::with_workers(2);
    let id = JobId(5);
    let outcome = cluster.planner.cancel(cluster.planner_time(), id);
    assert!(matches!(outcome, CancelOutcome::WithdrawnBy(_)));
    assert_eq!(cluster.phase(id), None);
    cluster.advance(Duration::from_millis(50));
    let repeated = cluster.planner.cancel(cluster.planner_time(), id);
    assert_eq!(repeated, CancelOutcome::Unknown);
    if is_replaced {
        cluster.replace_planner();
    }
    cluster.submit(5, vec![step(4)]);
    cluster.advance(Duration::from_secs(2));
    assert_eq!(cluster.phase(id), Some(JobPhase::Cancelled));
    assert_eq!(cluster.starts, []);
}

/// The queue's policy allows the step on two of eight workers, which run four tasks at a time.
#[test]
fn step_runs_only_on_advised_workers() {
    let mut cluster = Cluster::with_workers(8);
    cluster.adviser.allowed = [worker(2), worker(6)].into();
    let wide = StepRequest {
        size: size(16_000, 2),
        ..step(12)
    };
    let id = cluster.submit_to(
        ADVISED_QUEUE,
        1,
        vec![
            wide,
            StepRequest {
                after: vec![0],
                ..step(2)
            },
        ],
    );
    cluster.advance(Duration::from_secs(7));
    assert_eq!(cluster.phase(id), Some(JobPhase::Completed));
    let is_allowed = |start: &ObservedStart| cluster.adviser.allowed.contains(&start.worker);
    assert!(cluster.starts.iter().all(is_allowed));
    assert_eq!(cluster.adviser.refused_starts, 0);
    assert!(
        cluster.adviser.call_count <= 14,
        "{} calls",
        cluster.adviser.call_count
    );
}

#[rstest]
#[case::drains(true)]
#[case::is_gone(false)]
fn registration_change_keeps_new_tasks_away(#[case] drains: bool) {
    let mut cluster = Cluster::with_workers(2);
    let listing = cluster.workers[&worker(0)].listing.clone();
    let change = if drains {
        WorkerChange::Listed(WorkerListing {
            is_draining: true,
            ..listing.clone()
        })
    } else {
        WorkerChange::Gone(listing.id.clone())
    };
    let now = cluster.planner_time();
    cluster.planner.update_workers(now, vec![change]);
    cluster.submit(1, vec![step(6)]);
    cluster.advance(Duration::from_millis(200));
    assert!(cluster.starts.iter().all(|start| start.worker == worker(1)));
    let now = cluster.planner_time();
    let change = WorkerChange::Listed(listing);
    cluster.planner.update_workers(now, vec![change]);
    cluster.submit(2, vec![step(20)]);
    cluster.advance(Duration::from_millis(200));
    assert!(cluster.starts.iter().any(|start| start.worker == worker(0)));
}
