//! Tests of gangs whose members don't all get their ends listed.

use std::time::Duration;

use geraniumshed_core::job::{JobPhase, StepRequest};
use rstest::rstest;

use crate::builders::{size, step, task};
use crate::fixture::{Cluster, WorkerReturn};

/// A time after which all members have started and none has ended.
const STARTED: Duration = Duration::from_millis(300);
/// A time after which all members have ended.
const ENDED: Duration = Duration::from_secs(2);
/// A time after which the lease of a lost worker has expired and a waiting step has run.
const SETTLED: Duration = Duration::from_secs(20);

// Guards against a job that never goes on after its gang has succeeded: one worker is cut off and crashes
// before it has listed the end of its member, which neither counts as done nor runs again.
#[rstest]
fn gang_is_done_although_the_end_of_a_member_is_lost(
    #[values(2, 5)] members: u32,
    #[values(WorkerReturn::SameId, WorkerReturn::NewId, WorkerReturn::Never)]
    worker_return: WorkerReturn,
    #[values(false, true)] has_takeover: bool,
) {
    let mut cluster = Cluster::with_workers(members as usize + 1);
    cluster.crashes.worker_return = worker_return;
    let gang = StepRequest {
        is_gang: true,
        size: size(20_000, 1),
        ..step(members)
    };
    let next = StepRequest {
        after: vec![0],
        ..step(2)
    };
    let id = cluster.submit(1, vec![gang, next]);
    cluster.advance(STARTED);
    let cut_off = cluster.starts_of(task(id, 0, 0))[0].worker.clone();
    let worker = cluster.workers.get_mut(&cut_off).unwrap();
    worker.fault.loses_replies = true;
    cluster.advance(ENDED);
    if has_takeover {
        cluster.replace_planner();
    }
    cluster.crash(&cut_off);
    if let Some(worker) = cluster.workers.get_mut(&cut_off) {
        worker.fault.loses_replies = false;
    }
    cluster.advance(SETTLED);
    assert_eq!(cluster.phase(id), Some(JobPhase::Completed));
    for member in 0..members {
        assert_eq!(cluster.starts_of(task(id, 0, member)).len(), 1);
    }
}
