//! Tests of workers that are slow, fail what they start, or leave at short notice.

use std::time::Duration;

use geraniumshed_core::assignment::{MovedRun, PlannerEvent};
use geraniumshed_core::job::{JobId, JobPhase, StepRequest, WorkerId};
use geraniumshed_core::worker::WorkerChange;
use geraniumshed_model::prelude::TimePoint;
use rstest::rstest;

use crate::builders::{size, step, task, worker};
use crate::fixture::Cluster;

/// The factor by which tasks on a slow worker take longer.
const SLOWNESS: u32 = 8;
/// The time that a run takes to stop, at most.
const STOP_DELAY: Duration = Duration::from_millis(500);
/// The number of workers.
const WORKERS: usize = 24;
/// The slow ones of them, an eighth.
const SLOW: [usize; 3] = [2, 9, 17];
/// The time that a job takes at most: until its slow worker is noticed, its task is stopped, and runs again.
const LONGEST_TIME: Duration = Duration::from_secs(3);
/// The time from one urgent job to the next, with which all workers together are half in use.
const JOB_INTERVAL: Duration = Duration::from_millis(60);
/// The same for a third of the workers.
const LONG_JOB_INTERVAL: Duration = Duration::from_millis(150);

/// Creates a cluster whose workers answer renewals when a run ends, and take half a second to stop one.
fn cluster(worker_count: usize) -> Cluster {
    let mut cluster = Cluster::with_workers(worker_count);
    for one in cluster.workers.values_mut() {
        one.fault.polls = true;
        one.fault.stop_delay = STOP_DELAY;
    }
    cluster
}

fn set_slowness(cluster: &mut Cluster, workers: &[usize], slowness: u32) {
    for number in workers {
        let entry = cluster.workers.get_mut(&worker(*number)).unwrap();
        entry.fault.slowness = slowness;
    }
}

/// Submits urgent jobs of one step of ten tasks of a second, one after the other.
fn submit_stream(cluster: &mut Cluster, first: u64, count: u64) -> Vec<(JobId, TimePoint)> {
    submit_every(JOB_INTERVAL, cluster, first, count)
}

fn submit_every(
    interval: Duration,
    cluster: &mut Cluster,
    first: u64,
    count: u64,
) -> Vec<(JobId, TimePoint)> {
    let mut jobs = Vec::new();
    for number in first..first + count {
        jobs.push((cluster.submit(number, vec![step(10)]), cluster.now));
        cluster.advance(interval);
    }
    jobs
}

/// Returns the times that jobs took, in ascending order. Advances until all of them are done.
fn times(cluster: &mut Cluster, jobs: &[(JobId, TimePoint)]) -> Vec<Duration> {
    cluster.advance(Duration::from_secs(12));
    let mut times: Vec<Duration> = jobs
        .iter()
        .map(|(id, at)| {
            cluster
                .ended_at(*id)
                .map_or(Duration::MAX, |end| end.since(*at))
        })
        .collect();
    times.sort_unstable();
    times
}

fn moves(cluster: &Cluster) -> Vec<&MovedRun> {
    let moved = cluster.events.iter().filter_map(|event| match event {
        PlannerEvent::RunMoved(moved) => Some(moved),
        _ => None,
    });
    moved.collect()
}

/// Load: a stream of short urgent steps. Failure: an eighth of the workers is 8 times slow. Guards
/// against steps that wait for their tasks on the slow workers, of which nearly every step has one.
#[test]
fn urgent_steps_finish_in_time_beside_slow_workers() {
    let mut cluster = cluster(WORKERS);
    submit_stream(&mut cluster, 1, 20);
    set_slowness(&mut cluster, &SLOW, SLOWNESS);
    let jobs = submit_stream(&mut cluster, 100, 80);
    set_slowness(&mut cluster, &SLOW, 0);
    let times = times(&mut cluster, &jobs);
    // Within 1.5 times the longest chain and 250 ms: nine tenths of the jobs.
    let allowed = Duration::from_millis(1_750);
    let in_time = times.iter().filter(|time| **time <= allowed).count();
    assert!(
        in_time * 10 >= times.len() * 9,
        "{in_time} of {}",
        times.len()
    );
    assert!(*times.last().unwrap() <= LONGEST_TIME, "{times:?}");
    assert_eq!(cluster.duplicated, []);
}

/// Load: as above. Failure: all workers are 8 times slow, as under a load that takes their processors.
/// Guards against runs that are stopped although no worker is better.
#[test]
fn nothing_is_stopped_while_all_workers_are_slow() {
    let mut cluster = cluster(WORKERS);
    submit_stream(&mut cluster, 1, 20);
    let all: Vec<usize> = (0..WORKERS).collect();
    set_slowness(&mut cluster, &all, SLOWNESS);
    submit_stream(&mut cluster, 100, 20);
    cluster.advance(Duration::from_secs(3));
    assert_eq!(moves(&cluster), Vec::<&MovedRun>::new());
}

/// Load: steps whose tasks take half or twice as long as estimated. Failure: none. Guards against runs
/// that are stopped because an estimate is off.
#[test]
fn nothing_is_stopped_for_estimates_that_are_off() {
    let mut cluster = cluster(WORKERS);
    cluster.run_length = |step| {
        let is_short = step.size.memory.0 < 2_000_000_000;
        if is_short {
            step.estimate / 2
        } else {
            step.estimate * 2
        }
    };
    for number in 0..60 {
        let memory = 1 + number % 2;
        let off = StepRequest {
            size: size(2_000, memory),
            ..step(10)
        };
        cluster.submit(number, vec![off]);
        cluster.advance(JOB_INTERVAL);
    }
    cluster.advance(Duration::from_secs(4));
    assert_eq!(moves(&cluster), Vec::<&MovedRun>::new());
    assert_eq!(cluster.starts.len(), 600);
}

/// Load: a stream of short urgent steps. Failure: a worker is slow for 5 s. Guards against a worker that
/// is shunned long after it has recovered.
#[test]
fn worker_is_used_again_after_a_slow_spell() {
    let mut cluster = cluster(8);
    submit_every(LONG_JOB_INTERVAL, &mut cluster, 1, 20);
    set_slowness(&mut cluster, &[2], SLOWNESS);
    submit_every(LONG_JOB_INTERVAL, &mut cluster, 100, 33);
    set_slowness(&mut cluster, &[2], 0);
    let recovered_at = cluster.now;
    submit_every(LONG_JOB_INTERVAL, &mut cluster, 200, 40);
    let used = |start: &&crate::fixture::ObservedStart| start.worker == worker(2);
    let spell = cluster.starts.iter().filter(used);
    let spell = spell.filter(|start| start.task.job.0 >= 110 && start.task.job.0 < 200);
    let after = cluster.starts.iter().filter(used);
    let after = after.filter(|start| start.at.since(recovered_at) >= Duration::from_secs(4));
    assert!(spell.count() <= 10);
    assert!(after.count() >= 5);
}

/// Returns a step of one task that takes some seconds.
fn longer_step(seconds: u64, has_checkpoints: bool) -> StepRequest {
    StepRequest {
        estimate: Duration::from_secs(seconds),
        has_checkpoints,
        ..step(1)
    }
}

/// Load: a run that takes longer than its worker stays. Failure: the worker leaves at a notice of 2 s.
/// Guards against a task that waits for the lease of the gone worker.
#[rstest]
#[case::told(Some(Duration::from_secs(2)), false)]
#[case::told_with_checkpoints(Some(Duration::from_secs(2)), true)]
#[case::not_told_with_checkpoints(None, true)]
fn run_that_cannot_end_leaves_before_its_worker(
    #[case] leaves_in: Option<Duration>,
    #[case] has_checkpoints: bool,
) {
    let mut cluster = cluster(4);
    let id = cluster.submit(1, vec![longer_step(5, has_checkpoints)]);
    cluster.advance(Duration::from_secs(1));
    let leaving = cluster.starts[0].worker.clone();
    give_notice(&mut cluster, &leaving, leaves_in);
    cluster.advance(Duration::from_secs(2));
    assert_eq!(cluster.starts.len(), 2);
    cluster.remove_worker(&leaving);
    cluster.advance(Duration::from_secs(6));
    assert_eq!(cluster.phase(id), Some(JobPhase::Completed));
    assert_eq!(cluster.duplicated, []);
}

/// Load: a run that ends before its worker leaves. Failure: the worker gives notice. Guards against work
/// that is done twice.
#[test]
fn run_that_ends_before_its_worker_leaves_is_not_stopped() {
    let mut cluster = cluster(4);
    let id = cluster.submit(1, vec![longer_step(2, false)]);
    cluster.advance(Duration::from_secs(1));
    let leaving = cluster.starts[0].worker.clone();
    give_notice(&mut cluster, &leaving, Some(Duration::from_secs(2)));
    cluster.advance(Duration::from_secs(2));
    assert_eq!(cluster.phase(id), Some(JobPhase::Completed));
    assert_eq!(cluster.starts.len(), 1);
}

/// Load: long runs without checkpoints. Failure: workers leave 2 s after a notice that doesn't tell the
/// time. Guards against runs that are lost with each of them.
#[test]
fn notice_is_learned_from_exits() {
    let mut cluster = cluster(6);
    let notice = Duration::from_secs(2);
    let mut run_on_leaving_worker = |number: u64| {
        let id = cluster.submit(number, vec![longer_step(20, false)]);
        cluster.advance(Duration::from_secs(1));
        let worker = cluster.starts_of(task(id, 0, 0))[0].worker.clone();
        give_notice(&mut cluster, &worker, None);
        cluster.advance(notice);
        let before_exit = cluster.starts_of(task(id, 0, 0)).len();
        cluster.remove_worker(&worker);
        cluster.advance(Duration::from_secs(8));
        before_exit
    };
    assert_eq!(run_on_leaving_worker(1), 1);
    assert_eq!(run_on_leaving_worker(2), 2);
}

/// Load: steps of one task each. Failure: a worker fails everything. Guards against a worker that goes on
/// to get tasks which others have room for.
#[test]
fn worker_that_fails_everything_gets_few_tasks() {
    let mut cluster = cluster(8);
    cluster.workers.get_mut(&worker(3)).unwrap().fault.fails = true;
    let jobs = submit_every(LONG_JOB_INTERVAL, &mut cluster, 1, 60);
    cluster.advance(Duration::from_secs(4));
    for (id, _) in jobs {
        assert_eq!(cluster.phase(id), Some(JobPhase::Completed), "{id}");
    }
    let starts = cluster.starts.iter();
    let failing = starts.filter(|start| start.worker == worker(3)).count();
    assert!(failing <= 11, "{failing} starts");
}

fn give_notice(cluster: &mut Cluster, worker: &WorkerId, leaves_in: Option<Duration>) {
    let entry = cluster.workers.get_mut(worker).unwrap();
    entry.listing.is_draining = true;
    entry.listing.leaves_in = leaves_in;
    let change = WorkerChange::Listed(entry.listing.clone());
    let now = cluster.planner_time();
    cluster.planner.update_workers(now, vec![change]);
}

/// Load: steps of ten tasks. Failure: a takeover while a worker is slow. Guards against a successor that
/// places tasks there until it has found the worker slow itself.
#[test]
fn successor_knows_slow_workers() {
    let mut cluster = cluster(8);
    submit_every(LONG_JOB_INTERVAL, &mut cluster, 1, 20);
    set_slowness(&mut cluster, &[2], SLOWNESS);
    submit_every(LONG_JOB_INTERVAL, &mut cluster, 100, 12);
    cluster.replace_planner();
    cluster.starts.clear();
    submit_every(LONG_JOB_INTERVAL, &mut cluster, 200, 5);
    let mut starts = cluster.starts.iter();
    assert!(starts.all(|start| start.worker != worker(2)));
    assert_eq!(cluster.duplicated, []);
}

/// Load: best-effort runs that are throttled to protect a tail latency. Failure: none. Guards against
/// workers that look slow because their runs were throttled.
#[test]
fn throttled_runs_speak_against_no_worker() {
    let mut cluster = cluster(8);
    cluster.slows_throttled_runs = true;
    cluster
        .pressures
        .insert(("calls".into(), "noisy".into()), 0.08);
    let serving = StepRequest {
        is_long_running: true,
        image: Some("calls".into()),
        latency_target: Some(Duration::from_millis(20)),
        size: size(6_000, 8),
        ..step(8)
    };
    cluster.submit(1, vec![serving]);
    cluster.advance(Duration::from_secs(3));
    for number in 10..40 {
        let noisy = StepRequest {
            is_best_effort: true,
            image: Some("noisy".into()),
            size: size(3_000, 4),
            estimate: Duration::from_secs(3),
            ..step(4)
        };
        cluster.submit(number, vec![noisy]);
        cluster.advance(Duration::from_millis(500));
    }
    assert!(cluster.paces.values().any(|percent| *percent < 100));
    let is_slow = |event: &&PlannerEvent| matches!(event, PlannerEvent::WorkerSlow(_));
    assert_eq!(cluster.events.iter().filter(is_slow).count(), 0);
    assert_eq!(moves(&cluster), Vec::<&MovedRun>::new());
}
