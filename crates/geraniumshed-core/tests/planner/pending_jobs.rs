//! Tests of the number of pending jobs: the accepted jobs of a queue of which no task has started.

use std::time::Duration;

use geraniumshed_core::job::{JobId, JobPhase, StepRequest};
use rstest::rstest;

use crate::builders::{size, step, worker};
use crate::fixture::{Cluster, STEP};

/// A time after which a job has been placed and its start has been sent.
const PLACED: Duration = Duration::from_millis(100);
/// A time after which the leases of a worker that is gone have expired.
const LEASE_OVER: Duration = Duration::from_secs(12);
/// A time after which a job has started once nothing prevents it.
const STARTED: Duration = Duration::from_secs(12);

/// Why no task starts, although the job is placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Obstacle {
    /// The store doesn't accept the placement, so no start is sent.
    StoreDown,
    /// The worker is cut off and carries no start out.
    WorkerSilent,
    /// The worker refuses each start.
    WorkerFull,
    /// The worker exits before it receives the start.
    WorkerGone,
    /// The worker exits before it receives the start, and a new process of it refuses all others.
    WorkerRestarted,
}

impl Obstacle {
    /// Prevents all starts from now on.
    fn begin(self, cluster: &mut Cluster) {
        let fault = &mut cluster.workers.get_mut(&worker(0)).unwrap().fault;
        match self {
            Self::StoreDown => cluster.is_store_up = false,
            Self::WorkerFull => fault.refuses_starts = true,
            Self::WorkerSilent | Self::WorkerGone | Self::WorkerRestarted => fault.is_silent = true,
        }
    }

    /// Lets the planner see what became of the worker.
    fn show(self, cluster: &mut Cluster) {
        match self {
            Self::WorkerGone => cluster.remove_worker(&worker(0)),
            Self::WorkerRestarted => {
                let now = cluster.planner_time();
                let worker = cluster.workers.get_mut(&worker(0)).unwrap();
                worker.restart_with_clock(now);
                worker.fault.refuses_starts = true;
            }
            Self::StoreDown | Self::WorkerSilent | Self::WorkerFull => {}
        }
    }

    /// Ends the obstacle.
    fn end(self, cluster: &mut Cluster) {
        cluster.is_store_up = true;
        if self == Self::WorkerGone {
            cluster.add_worker(1, size(32_000, 128));
            return;
        }
        let fault = &mut cluster.workers.get_mut(&worker(0)).unwrap().fault;
        fault.is_silent = false;
        fault.refuses_starts = false;
    }
}

/// Advances the time, and checks after each step that the only job of the queue is pending.
fn advance_pending(cluster: &mut Cluster, id: JobId, span: Duration) {
    let end = cluster.now + span;
    while cluster.now < end {
        cluster.advance(STEP);
        assert_eq!(cluster.starts, []);
        assert_eq!(cluster.pending_in("q"), 1, "at {:?}", cluster.now);
        assert_eq!(cluster.phase(id), Some(JobPhase::Queued));
    }
}

// Guards against a job that counts as running from its first placement on, and so is missing among the
// pending jobs while its start is not sent, is unanswered or is refused, and after its worker is lost.
#[rstest]
fn job_is_pending_until_a_task_has_started(
    #[values(
        Obstacle::StoreDown,
        Obstacle::WorkerSilent,
        Obstacle::WorkerFull,
        Obstacle::WorkerGone,
        Obstacle::WorkerRestarted
    )]
    obstacle: Obstacle,
    #[values(false, true)] has_takeover: bool,
) {
    let mut cluster = Cluster::with_workers(1);
    obstacle.begin(&mut cluster);
    let id = cluster.submit(1, vec![step(1)]);
    advance_pending(&mut cluster, id, PLACED);
    if has_takeover {
        cluster.replace_planner();
        advance_pending(&mut cluster, id, PLACED);
    }
    obstacle.show(&mut cluster);
    advance_pending(&mut cluster, id, LEASE_OVER);
    obstacle.end(&mut cluster);
    cluster.advance(STARTED);
    assert_eq!(cluster.pending_in("q"), 0);
    assert_eq!(cluster.phase(id), Some(JobPhase::Completed));
}

// Guards against a job that counts as running after its placement was withdrawn before any start was sent.
#[test]
fn job_whose_placement_was_withdrawn_is_pending() {
    let mut cluster = Cluster::with_workers(1);
    cluster.is_store_up = false;
    let id = cluster.submit(1, vec![step(1)]);
    advance_pending(&mut cluster, id, PLACED);
    cluster.set_capacity(&worker(0), size(1_000, 1));
    cluster.is_store_up = true;
    advance_pending(&mut cluster, id, STARTED);
    cluster.set_capacity(&worker(0), size(32_000, 128));
    cluster.advance(STARTED);
    assert_eq!(cluster.pending_in("q"), 0);
    assert_eq!(cluster.phase(id), Some(JobPhase::Completed));
}

/// What shows that a task has started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StartSign {
    /// The worker confirms the start.
    Answer,
    /// The answer to the start is lost, and the worker lists the run later.
    ListedRun,
    /// The answer to the start is lost, and the worker lists the end of the run later.
    ListedEnd,
}

impl StartSign {
    /// Starts the only task of a job, which becomes known in this way.
    fn start_job(self, cluster: &mut Cluster) -> JobId {
        let fault = &mut cluster.workers.get_mut(&worker(0)).unwrap().fault;
        fault.loses_replies = self != Self::Answer;
        fault.fails = self == Self::ListedEnd;
        let length = match self {
            Self::ListedEnd => STEP,
            Self::Answer | Self::ListedRun => Duration::from_mins(1),
        };
        let request = StepRequest {
            estimate: length,
            ..step(1)
        };
        let id = cluster.submit(1, vec![request]);
        cluster.advance(PLACED);
        assert_eq!(cluster.starts.len(), 1);
        let fault = &mut cluster.workers.get_mut(&worker(0)).unwrap().fault;
        fault.loses_replies = false;
        fault.refuses_starts = true;
        cluster.advance(STARTED);
        id
    }
}

// Guards against a job that counts as pending again after the run of its only task was lost.
#[rstest]
fn job_that_has_started_is_never_pending_again(
    #[values(StartSign::Answer, StartSign::ListedRun, StartSign::ListedEnd)] sign: StartSign,
    #[values(false, true)] has_takeover: bool,
) {
    let mut cluster = Cluster::with_workers(1);
    let id = sign.start_job(&mut cluster);
    assert_eq!(cluster.pending_in("q"), 0);
    cluster.remove_worker(&worker(0));
    if has_takeover {
        cluster.replace_planner();
    }
    let end = cluster.now + LEASE_OVER;
    while cluster.now < end {
        cluster.advance(STEP);
        assert_eq!(cluster.pending_in("q"), 0, "at {:?}", cluster.now);
        assert_eq!(cluster.phase(id), Some(JobPhase::Running));
    }
    assert_eq!(cluster.starts.len(), 1);
}

// Guards against a start that is stored for its own sake: its batch would hold up the placements of other
// jobs in a slow store.
#[test]
fn start_alone_causes_no_batch() {
    let mut cluster = Cluster::with_workers(1);
    let request = StepRequest {
        estimate: Duration::from_mins(1),
        ..step(1)
    };
    cluster.submit(1, vec![request]);
    cluster.advance(STEP);
    cluster.advance(STEP);
    assert_eq!(cluster.starts.len(), 1);
    assert!(!cluster.planner.has_changes());
}
