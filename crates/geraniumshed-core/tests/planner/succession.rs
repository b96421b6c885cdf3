//! Tests of planners that follow each other faster than a wait or a measurement takes: what one
//! planner has begun must not start anew with each successor.

use std::time::Duration;

use geraniumshed_core::job::StepRequest;
use rstest::rstest;

use crate::builders::{step, task};
use crate::fixture::Cluster;

/// A time between takeovers with which no takeover happens during a test.
const NEVER: u64 = 600_000;

/// Advances the time, and replaces the planner at a regular interval.
fn advance_with_takeovers(cluster: &mut Cluster, span: Duration, interval_ms: u64) {
    let interval = Duration::from_millis(interval_ms);
    let end = cluster.now + span;
    while cluster.now < end {
        cluster.advance(interval.min(end.since(cluster.now)));
        if cluster.now < end {
            cluster.replace_planner();
        }
    }
}

// Guards against a stalled task that is never moved, because each planner measures the time without
// progress from its own takeover.
#[rstest]
#[case::short_one_planner(false, NEVER)]
#[case::short_takeovers(false, 2_000)]
#[case::long_running_one_planner(true, NEVER)]
#[case::long_running_takeovers(true, 2_000)]
fn stalled_task_is_moved_within_one_limit(#[case] is_long_running: bool, #[case] interval_ms: u64) {
    let mut cluster = Cluster::with_workers(2);
    for one in cluster.workers.values_mut() {
        one.fault.stalls = true;
    }
    let slow = StepRequest {
        is_long_running,
        estimate: Duration::from_secs(10),
        ..step(1)
    };
    let id = cluster.submit(1, vec![slow]);
    cluster.advance(Duration::from_millis(300));
    let first = cluster.starts[0].worker.clone();
    for (id, one) in &mut cluster.workers {
        one.fault.stalls = *id == first;
    }
    advance_with_takeovers(&mut cluster, Duration::from_secs(9), interval_ms);
    let starts = cluster.starts_of(task(id, 0, 0));
    assert_eq!(starts.len(), 2, "the stalled task was not moved");
    assert_ne!(starts[1].worker, first);
    assert_eq!(cluster.duplicated, []);
}
