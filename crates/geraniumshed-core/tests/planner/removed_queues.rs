//! Tests of jobs whose queue is removed from the configuration.

use std::time::Duration;

use geraniumshed_core::job::{JobPhase, QueueName, StepRequest};
use rstest::rstest;

use crate::builders::step;
use crate::fixture::{BACKGROUND_QUEUE, Cluster};

/// A time after which the tasks of the first step have started and none has ended.
const STARTED: Duration = Duration::from_millis(300);
/// A time after which all steps have ended.
const ENDED: Duration = Duration::from_secs(20);

// Guards against a job that is never finished, since its queue was removed and the leader that still knew the
// queue's policy is gone.
#[rstest]
#[case::no_takeover(0)]
#[case::one_takeover(1)]
#[case::three_takeovers(3)]
fn job_of_a_removed_queue_is_finished(#[case] takeovers: usize) {
    let mut cluster = Cluster::with_workers(2);
    let next = StepRequest {
        after: vec![0],
        ..step(4)
    };
    let id = cluster.submit_to(BACKGROUND_QUEUE, 1, vec![step(4), next]);
    cluster.advance(STARTED);
    cluster.remove_queue(BACKGROUND_QUEUE);
    for _ in 0..takeovers {
        cluster.replace_planner();
        cluster.advance(STARTED);
    }
    cluster.advance(ENDED);
    assert_eq!(cluster.phase(id), Some(JobPhase::Completed));
    assert_eq!(cluster.starts.len(), 8);
}

// Guards against policies that pile up in the store: one is kept for as long as a job refers to its queue,
// or a configuration does.
#[rstest]
#[case::in_force(false, 1)]
#[case::removed(true, 0)]
fn policy_is_stored_until_nothing_refers_to_its_queue(
    #[case] is_removed: bool,
    #[case] stored: usize,
) {
    let mut cluster = Cluster::with_workers(2);
    cluster.submit_to(BACKGROUND_QUEUE, 1, vec![step(4)]);
    cluster.advance(STARTED);
    let queue = QueueName::from(BACKGROUND_QUEUE);
    assert!(cluster.stored_queues.contains_key(&queue));
    if is_removed {
        cluster.remove_queue(BACKGROUND_QUEUE);
    }
    cluster.advance(ENDED);
    assert_eq!(cluster.stored_queues.len(), stored);
}
