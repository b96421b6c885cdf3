//! Tests of runs and ends that workers list, but that the stored state lacks.

use std::time::Duration;

use geraniumshed_core::job::{JobId, JobPhase, StepRequest};
use rstest::rstest;

use crate::builders::{step, task};
use crate::fixture::Cluster;

/// The number of tasks of the job.
const TASKS: u32 = 6;
/// A time after which all tasks of the job have started and none has ended.
const STARTED: Duration = Duration::from_millis(300);
/// A time after which all tasks of the job have ended.
const ENDED: Duration = Duration::from_secs(3);

/// Starts the tasks of a job, and then loses what is stored of it.
fn lose_progress(cluster: &mut Cluster, request: StepRequest, run_for: Duration) -> JobId {
    let id = cluster.submit(1, vec![request]);
    cluster.advance(STARTED);
    cluster.is_store_up = false;
    cluster.advance(run_for);
    cluster.stored.remove(&id);
    cluster.is_store_up = true;
    cluster.replace_planner();
    id
}

// Guards against a task that is started a second time while a worker lists its run, or its successful
// end, only because the stored state lacks that run.
#[rstest]
#[case::runs_in_progress(Duration::from_millis(10))]
#[case::ends(ENDED)]
fn task_continues_with_a_run_that_the_store_lacks(#[case] run_for: Duration) {
    let mut cluster = Cluster::with_workers(4);
    let id = lose_progress(&mut cluster, step(TASKS), run_for);
    cluster.advance(ENDED);
    assert_eq!(cluster.duplicated, []);
    assert_eq!(cluster.starts.len(), TASKS as usize);
    assert_eq!(cluster.phase(id), Some(JobPhase::Completed));
}

// Guards against a long-running task that is started a second time while a worker lists its run.
#[test]
fn long_running_task_continues_with_a_run_that_the_store_lacks() {
    let mut cluster = Cluster::with_workers(4);
    let request = StepRequest {
        is_long_running: true,
        ..step(TASKS)
    };
    lose_progress(&mut cluster, request, STARTED);
    cluster.advance(ENDED);
    assert_eq!(cluster.duplicated, []);
    assert_eq!(cluster.starts.len(), TASKS as usize);
}

// Guards against failures that the store lacks and that are not counted: a task must not run more often
// than its queue allows.
#[test]
fn failure_that_the_store_lacks_is_counted() {
    let mut cluster = Cluster::with_workers(4);
    for one in cluster.workers.values_mut() {
        one.fault.fails = true;
    }
    let id = lose_progress(&mut cluster, step(1), ENDED);
    cluster.advance(ENDED + ENDED);
    assert_eq!(cluster.starts_of(task(id, 0, 0)).len(), 3);
    assert_eq!(cluster.phase(id), Some(JobPhase::Failed));
}

// Guards against a gang that never completes or runs again, because the successful end of a member was
// given up, and is ignored when its worker lists it.
#[test]
fn successful_end_of_a_gang_that_the_store_lacks_is_applied() {
    let mut cluster = Cluster::with_workers(4);
    let gang = StepRequest {
        is_gang: true,
        ..step(2)
    };
    let id = lose_progress(&mut cluster, gang, ENDED);
    cluster.advance(ENDED);
    assert_eq!(cluster.starts.len(), 2);
    assert_eq!(cluster.phase(id), Some(JobPhase::Completed));
}
