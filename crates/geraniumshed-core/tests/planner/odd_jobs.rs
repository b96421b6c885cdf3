//! Tests of jobs with numbers that no estimate or schedule should have.

use std::time::Duration;

use geraniumshed_core::job::{JobPhase, QueueName, QueuePolicy, StepRequest};
use rstest::rstest;

use crate::builders::step;
use crate::fixture::Cluster;

/// Guards against a job whose estimates overflow a sum. Its request is stored, so that it would end
/// each leader that reads it.
#[rstest]
#[case::single(&[Duration::MAX])]
#[case::chain(&[Duration::MAX, Duration::from_secs(1)])]
#[case::long_chain(&[Duration::from_secs(u64::MAX / 2); 4])]
#[case::milliseconds(&[Duration::from_millis(u64::MAX); 4])]
fn estimates_out_of_range_end_no_planner(#[case] estimates: &[Duration]) {
    let mut cluster = Cluster::with_workers(4);
    cluster.run_length = |_| Duration::from_secs(1);
    let steps = (0u32..)
        .zip(estimates)
        .map(|(index, estimate)| StepRequest {
            estimate: *estimate,
            after: index.checked_sub(1).into_iter().collect(),
            ..step(2)
        });
    let odd = cluster.submit(1, steps.collect());
    let ordinary = cluster.submit(2, vec![step(4)]);
    cluster.advance(Duration::from_secs(3));
    cluster.replace_planner();
    cluster.advance(Duration::from_secs(20));
    assert_eq!(cluster.phase(ordinary), Some(JobPhase::Completed));
    assert_eq!(cluster.phase(odd), Some(JobPhase::Completed));
}

/// Guards against a stretch whose product overflows, as another release's configuration may have.
#[rstest]
#[case(f64::MAX)]
#[case(f64::INFINITY)]
#[case(f64::NAN)]
#[case(-1.0)]
fn stretch_out_of_range_ends_no_planner(#[case] stretch: f64) {
    let mut cluster = Cluster::with_workers(4);
    let policy = QueuePolicy {
        service: "s".into(),
        priority: 1,
        attempt_limit: 3,
        stretch,
        latency_objective: Duration::MAX,
        advice: None,
    };
    cluster
        .planner
        .replace_queues([(QueueName::from("q"), policy)].into());
    let job = cluster.submit(1, vec![step(4)]);
    cluster.advance(Duration::from_secs(3));
    assert_eq!(cluster.phase(job), Some(JobPhase::Completed));
}
