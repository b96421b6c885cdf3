//! Tests of tasks that crash the workers that start them, and of their neighbours.

use std::time::Duration;

use geraniumshed_core::job::{JobId, JobPhase, StepRequest, TaskKey, WorkerId};
use rstest::rstest;

use crate::builders::{size, step, task};
use crate::fixture::{Cluster, STEP, WorkerReturn};

/// The number of starts of a task that crashes workers: three after which it must be limited, and two
/// more that it may have then.
const START_LIMIT: usize = 5;
/// The time within which a task that crashes workers has reached that limit or is given up.
const OBSERVATION_TIME: Duration = Duration::from_secs(40);

/// How a step's tasks are started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StepKind {
    Plain,
    LongRunning,
    Gang,
    /// Most of the workers' capacity.
    Wide,
    /// The second step of a chain.
    Chained,
}

/// Creates a cluster that is kept busy by other jobs, and whose crashed workers come back in the given
/// way.
fn busy_cluster(worker_return: WorkerReturn) -> (Cluster, Vec<JobId>) {
    let mut cluster = Cluster::with_workers(12);
    cluster.crashes.worker_return = worker_return;
    let neighbours = (100..112).map(|number| cluster.submit(number, vec![step(4)]));
    let neighbours = neighbours.collect();
    cluster.advance(Duration::from_millis(200));
    (cluster, neighbours)
}

/// Submits a job whose task with index 1 crashes its workers after a delay, and returns that task.
fn submit_crashing_task(cluster: &mut Cluster, kind: StepKind, delay: Duration) -> TaskKey {
    let plain = StepRequest {
        estimate: Duration::from_secs(3),
        ..step(3)
    };
    let steps = match kind {
        StepKind::Plain => vec![plain],
        StepKind::Wide => vec![StepRequest {
            task_count: 120,
            ..plain
        }],
        StepKind::LongRunning => vec![StepRequest {
            is_long_running: true,
            ..plain
        }],
        StepKind::Gang => vec![StepRequest {
            is_gang: true,
            ..plain
        }],
        StepKind::Chained => vec![
            step(2),
            StepRequest {
                after: vec![0],
                ..plain
            },
        ],
    };
    let last = u32::try_from(steps.len()).unwrap() - 1;
    let id = cluster.submit(1, steps);
    let key = task(id, last, 1);
    cluster.crashes.crashing_tasks.insert(key, delay);
    key
}

/// Submits a job of short tasks each quarter of a second for a time, and returns the jobs.
fn advance_with_traffic(cluster: &mut Cluster, first: u64, span: Duration) -> Vec<JobId> {
    let mut jobs = Vec::new();
    let end = cluster.now + span;
    while cluster.now < end {
        let number = first + jobs.len() as u64;
        jobs.push(cluster.submit(number, vec![step(6)]));
        cluster.advance(Duration::from_millis(250));
    }
    jobs
}

fn assert_completed(cluster: &Cluster, jobs: &[JobId]) {
    for job in jobs {
        assert_eq!(cluster.phase(*job), Some(JobPhase::Completed), "{job}");
    }
}

/// Checks that a task was started within its limit and given up, and that all jobs of its neighbours
/// are complete.
fn assert_given_up_alone(cluster: &Cluster, key: TaskKey, neighbours: &[JobId]) {
    assert!(cluster.starts_of(key).len() <= START_LIMIT);
    assert_eq!(cluster.phase(key.job), Some(JobPhase::Failed));
    assert_completed(cluster, neighbours);
    assert_eq!(cluster.duplicated, []);
}

/// A task that crashes each worker on which it starts was started without limit, since a run that is
/// lost with its worker left no trace in its task.
#[rstest]
fn task_that_crashes_workers_is_given_up(
    #[values(WorkerReturn::SameId, WorkerReturn::NewId, WorkerReturn::Never)]
    worker_return: WorkerReturn,
    #[values(0, 10, 400, 1_500)] delay_ms: u64,
    #[values(
        StepKind::Plain,
        StepKind::LongRunning,
        StepKind::Gang,
        StepKind::Wide,
        StepKind::Chained
    )]
    kind: StepKind,
) {
    let (mut cluster, mut neighbours) = busy_cluster(worker_return);
    let delay = Duration::from_millis(delay_ms);
    let key = submit_crashing_task(&mut cluster, kind, delay);
    neighbours.extend(advance_with_traffic(&mut cluster, 200, OBSERVATION_TIME));
    cluster.advance(Duration::from_secs(12));
    assert_given_up_alone(&cluster, key, &neighbours);
}

/// Two workers that crashed by themselves right after starts that they never confirmed gave the task up with
/// its job (issue 39).
#[rstest]
fn two_crashes_at_unconfirmed_starts_give_no_task_up(
    #[values(WorkerReturn::SameId, WorkerReturn::NewId)] worker_return: WorkerReturn,
    #[values(false, true)] has_takeover: bool,
) {
    let (mut cluster, _) = busy_cluster(worker_return);
    cluster.advance(Duration::from_secs(12));
    let key = submit_crashing_task(&mut cluster, StepKind::Plain, Duration::ZERO);
    let limit = cluster.now + OBSERVATION_TIME;
    while cluster.crashes.crash_count < 2 && cluster.now < limit {
        cluster.advance(STEP);
    }
    cluster.crashes.crashing_tasks.clear();
    if has_takeover {
        cluster.advance(Duration::from_millis(100));
        cluster.replace_planner();
    }
    cluster.advance(Duration::from_secs(30));
    assert_eq!(cluster.crashes.crash_count, 2);
    assert_completed(&cluster, &[key.job]);
}

/// The count of crashes was lost with the leader, or a crash between two leaders wasn't counted.
#[rstest]
fn crashes_are_counted_across_takeovers(
    #[values(WorkerReturn::SameId, WorkerReturn::NewId)] worker_return: WorkerReturn,
    #[values(10, 400)] delay_ms: u64,
    #[values(700, 1_900, 3_000, 3_400, 5_000)] interval_ms: u64,
    #[values(false, true)] hands_over: bool,
) {
    let (mut cluster, mut neighbours) = busy_cluster(worker_return);
    let delay = Duration::from_millis(delay_ms);
    let key = submit_crashing_task(&mut cluster, StepKind::Plain, delay);
    let interval = Duration::from_millis(interval_ms);
    let end = cluster.now + OBSERVATION_TIME;
    let mut first = 200;
    while cluster.now < end {
        neighbours.extend(advance_with_traffic(&mut cluster, first, interval));
        first += 100;
        if hands_over {
            cluster.hand_over(Duration::from_millis(100));
        } else {
            cluster.replace_planner();
        }
    }
    cluster.advance(Duration::from_secs(20));
    assert_given_up_alone(&cluster, key, &neighbours);
}

/// A worker that is back only after its lease has expired looks like one that was cut off until then.
#[rstest]
fn crashes_of_workers_that_are_back_after_their_leases_are_counted(
    #[values(WorkerReturn::SameId, WorkerReturn::NewId)] worker_return: WorkerReturn,
    #[values(5, 8, 15)] down_s: u64,
) {
    let (mut cluster, mut neighbours) = busy_cluster(worker_return);
    cluster.crashes.down_time = Duration::from_secs(down_s);
    let delay = Duration::from_millis(10);
    let key = submit_crashing_task(&mut cluster, StepKind::Plain, delay);
    neighbours.extend(advance_with_traffic(&mut cluster, 200, OBSERVATION_TIME));
    cluster.advance(Duration::from_secs(20));
    assert_given_up_alone(&cluster, key, &neighbours);
}

/// How calls to half of the workers fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallFault {
    /// Workers carry calls out, but their replies are lost.
    LostReplies,
    /// Workers don't reply to starts and carry them out later.
    LateStarts,
}

/// A crash under a run whose start wasn't confirmed has to count as well, and a start that is carried
/// out late must not come on top.
#[rstest]
fn crashes_are_counted_while_calls_fail(
    #[values(CallFault::LostReplies, CallFault::LateStarts)] fault: CallFault,
    #[values(WorkerReturn::SameId, WorkerReturn::NewId)] worker_return: WorkerReturn,
    #[values(0, 10, 400)] delay_ms: u64,
) {
    let (mut cluster, mut neighbours) = busy_cluster(worker_return);
    for worker in cluster.workers.values_mut().step_by(2) {
        match fault {
            CallFault::LostReplies => worker.fault.loses_replies = true,
            CallFault::LateStarts => worker.fault.start_delay = Some(Duration::from_secs(2)),
        }
    }
    let delay = Duration::from_millis(delay_ms);
    let key = submit_crashing_task(&mut cluster, StepKind::Plain, delay);
    neighbours.extend(advance_with_traffic(&mut cluster, 200, OBSERVATION_TIME));
    for worker in cluster.workers.values_mut() {
        worker.fault.loses_replies = false;
        worker.fault.start_delay = None;
    }
    cluster.advance(Duration::from_secs(20));
    assert_given_up_alone(&cluster, key, &neighbours);
}

/// Tasks of one step that crash their workers at the same moment look like the loss of a rack.
#[rstest]
fn siblings_that_crash_their_workers_together_are_given_up(
    #[values(2, 5, 9)] count: u32,
    #[values(WorkerReturn::SameId, WorkerReturn::NewId)] worker_return: WorkerReturn,
) {
    let (mut cluster, mut neighbours) = busy_cluster(worker_return);
    let spread = StepRequest {
        worker_limit: Some(1),
        ..step(count)
    };
    let id = cluster.submit(1, vec![spread]);
    for index in 0..count {
        let delay = Duration::from_millis(10);
        cluster
            .crashes
            .crashing_tasks
            .insert(task(id, 0, index), delay);
    }
    neighbours.extend(advance_with_traffic(&mut cluster, 200, OBSERVATION_TIME));
    cluster.advance(Duration::from_secs(12));
    for index in 0..count {
        assert!(cluster.starts_of(task(id, 0, index)).len() <= START_LIMIT);
    }
    assert_eq!(cluster.phase(id), Some(JobPhase::Failed));
    assert_completed(&cluster, &neighbours);
}

/// Several tasks that crash workers at once, each of another job, hide behind each other.
#[rstest]
fn many_crashing_tasks_are_given_up_without_their_neighbours(
    #[values(3, 6)] count: u64,
    #[values(WorkerReturn::SameId, WorkerReturn::NewId)] worker_return: WorkerReturn,
    #[values(None, Some(3_000))] takeover_interval_ms: Option<u64>,
) {
    let (mut cluster, mut neighbours) = busy_cluster(worker_return);
    let mut crashing = Vec::new();
    for number in 0..count {
        let id = cluster.submit(1 + number, vec![step(3)]);
        let key = task(id, 0, 0);
        let delay = Duration::from_millis(10);
        cluster.crashes.crashing_tasks.insert(key, delay);
        crashing.push(key);
        let first = 200 + 100 * number;
        neighbours.extend(advance_with_traffic(
            &mut cluster,
            first,
            Duration::from_millis(500),
        ));
    }
    let end = cluster.now + OBSERVATION_TIME;
    let mut first = 2_000;
    while cluster.now < end {
        let interval = takeover_interval_ms.unwrap_or(10_000);
        let span = Duration::from_millis(interval);
        neighbours.extend(advance_with_traffic(&mut cluster, first, span));
        first += 100;
        if takeover_interval_ms.is_some() {
            cluster.replace_planner();
        }
    }
    cluster.advance(Duration::from_secs(20));
    for key in crashing {
        assert!(cluster.starts_of(key).len() <= START_LIMIT, "{key}");
        assert_eq!(cluster.phase(key.job), Some(JobPhase::Failed), "{key}");
    }
    assert_completed(&cluster, &neighbours);
}

/// Which workers an outage takes down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outage {
    /// Four of twelve, one rack.
    Rack,
    /// All of them.
    All,
    /// Four of them are cut off, and their runs continue until their leases expire.
    Cut,
}

/// Outages that hit the same tasks again and again, right after their starts, gave the tasks up.
#[rstest]
fn tasks_survive_repeated_outages(
    #[values(Outage::Rack, Outage::All, Outage::Cut)] outage: Outage,
    #[values(WorkerReturn::SameId, WorkerReturn::NewId)] worker_return: WorkerReturn,
    #[values(200, 900)] lead_ms: u64,
    #[values(false, true)] has_takeovers: bool,
) {
    let mut cluster = Cluster::with_workers(12);
    cluster.crashes.worker_return = worker_return;
    let wide = StepRequest {
        size: size(16_000, 16),
        ..step(16)
    };
    let jobs = [
        cluster.submit(1, vec![wide.clone()]),
        cluster.submit(2, vec![wide]),
    ];
    for _ in 0..6 {
        cluster.advance(Duration::from_millis(lead_ms));
        let affected: Vec<WorkerId> = match outage {
            Outage::All => cluster.workers.keys().cloned().collect(),
            Outage::Rack | Outage::Cut => cluster.workers.keys().take(4).cloned().collect(),
        };
        for worker in &affected {
            if outage == Outage::Cut {
                cluster.workers.get_mut(worker).unwrap().fault.is_silent = true;
            } else {
                cluster.crash(worker);
            }
        }
        if has_takeovers {
            cluster.advance(Duration::from_millis(100));
            cluster.replace_planner();
        }
        if outage == Outage::Cut {
            cluster.advance(Duration::from_secs(7));
            for worker in &affected {
                cluster.workers.get_mut(worker).unwrap().fault.is_silent = false;
            }
        } else {
            cluster.advance(Duration::from_millis(3_300));
        }
    }
    cluster.advance(Duration::from_secs(30));
    assert_completed(&cluster, &jobs);
    assert_eq!(cluster.duplicated, []);
}
