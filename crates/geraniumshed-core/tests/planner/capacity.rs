//! Tests of workers whose capacity shrinks and grows while tasks run.

use std::time::Duration;

use geraniumshed_core::job::{JobId, JobPhase, StepRequest};
use geraniumshed_core::worker::EndKind;
use geraniumshed_model::prelude::{ProcessorShare, ResourceSize};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use crate::builders::{size, step, task, worker};
use crate::fixture::Cluster;

const WORKER_COUNT: usize = 6;
/// The capacity of each worker at first.
const FULL_SIZE: (u32, u64) = (32_000, 128);
/// A time after which a capacity that has shrunk has to be respected.
const AFTER_SHRINK: Duration = Duration::from_secs(5);
/// The time in which all jobs end once all faults are over.
const RECOVERY_TIME: Duration = Duration::from_secs(30);

fn full_size() -> ResourceSize {
    size(FULL_SIZE.0, FULL_SIZE.1)
}

fn wide_step(count: u32, processors: u32) -> StepRequest {
    StepRequest {
        size: size(processors, 2),
        ..step(count)
    }
}

/// A placement that waits for the store was started although the worker had shrunk meanwhile.
#[rstest]
#[case::shrunk_while_stored(false)]
#[case::shrunk_across_a_takeover(true)]
fn placement_that_was_stored_late_respects_a_shrunk_capacity(#[case] has_takeover: bool) {
    let mut cluster = Cluster::with_workers(1);
    let id = cluster.submit(1, vec![wide_step(8, 4_000)]);
    cluster.is_store_up = false;
    cluster.advance(Duration::from_millis(100));
    cluster.set_capacity(&worker(0), size(8_000, 128));
    cluster.advance(AFTER_SHRINK);
    if has_takeover {
        cluster.replace_planner();
    }
    cluster.is_store_up = true;
    cluster.advance(Duration::from_secs(1));
    assert_eq!(cluster.excess_starts, []);
    assert_eq!(cluster.running_on(&worker(0)), 2);
    cluster.advance(Duration::from_secs(6));
    assert_eq!(cluster.phase(id), Some(JobPhase::Completed));
}

/// Runs that are being stopped were not counted against a capacity that had shrunk.
#[test]
fn stopping_runs_count_against_a_shrunk_capacity() {
    let mut cluster = Cluster::with_workers(1);
    cluster
        .workers
        .get_mut(&worker(0))
        .unwrap()
        .fault
        .stop_delay = Duration::from_secs(3);
    let long = StepRequest {
        estimate: Duration::from_mins(1),
        ..wide_step(8, 4_000)
    };
    let first = cluster.submit(1, vec![long]);
    cluster.advance(Duration::from_millis(500));
    cluster.set_capacity(&worker(0), size(16_000, 128));
    cluster.advance(AFTER_SHRINK);
    cluster.planner.cancel(cluster.planner_time(), first);
    let second = cluster.submit(2, vec![wide_step(4, 4_000)]);
    cluster.advance(Duration::from_secs(2));
    assert_eq!(cluster.starts.len(), 8);
    cluster.advance(Duration::from_secs(4));
    assert_eq!(cluster.excess_starts, []);
    assert_eq!(cluster.phase(second), Some(JobPhase::Completed));
}

/// Capacity that has grown was found only by a search among all workers.
#[test]
fn grown_capacity_is_used_soon() {
    let mut cluster = Cluster::with_workers(200);
    for number in 0..200 {
        cluster.set_capacity(&worker(number), size(1_000, 128));
    }
    let long = StepRequest {
        estimate: Duration::from_mins(1),
        ..step(10)
    };
    cluster.submit(1, vec![long]);
    cluster.advance(Duration::from_millis(300));
    assert_eq!(cluster.starts, []);
    for number in 0..10 {
        cluster.set_capacity(&worker(number), size(2_000, 128));
        cluster.advance(Duration::from_millis(30));
        assert_eq!(cluster.starts.len(), number + 1);
        cluster.advance(Duration::from_millis(37));
    }
}

/// A worker that was held for a long-running task stayed held after it had become too small for it.
#[test]
fn worker_that_has_become_too_small_is_not_held() {
    let mut cluster = Cluster::with_workers(4);
    let large = StepRequest {
        is_long_running: true,
        ..wide_step(1, 14_000)
    };
    let id = cluster.submit(1, vec![large]);
    cluster.advance(Duration::from_millis(500));
    let filling = StepRequest {
        estimate: Duration::from_mins(1),
        ..wide_step(100, 2_000)
    };
    cluster.submit(2, vec![filling]);
    cluster.advance(Duration::from_millis(500));
    let failed = cluster.starts_of(task(id, 0, 0))[0].worker.clone();
    let failed = cluster.workers.get_mut(&failed).unwrap();
    failed.end(task(id, 0, 0), EndKind::Failed);
    cluster.advance(Duration::from_secs(8));
    let held = cluster.waits.holds[0].worker.clone();
    cluster.set_capacity(&held, size(4_000, 128));
    cluster.advance(Duration::from_secs(1));
    let mut holds = cluster.waits.holds.iter();
    assert!(holds.all(|hold| hold.worker != held));
}

fn change_capacity(cluster: &mut Cluster, rng: &mut impl Rng) {
    let id = worker(rng.random_range(0..WORKER_COUNT));
    let processors = 4_000 * rng.random_range(1..=8);
    let capacity = ResourceSize {
        processors: ProcessorShare(processors),
        ..full_size()
    };
    cluster.set_capacity(&id, capacity);
}

fn apply_random_event(cluster: &mut Cluster, rng: &mut impl Rng) {
    let id = worker(rng.random_range(0..WORKER_COUNT));
    match rng.random_range(0..10) {
        0..=3 => change_capacity(cluster, rng),
        4 => cluster.is_store_up = !cluster.is_store_up,
        5 => cluster.hand_over(Duration::from_millis(rng.random_range(0..700))),
        6 => cluster.replace_planner(),
        fault => {
            let one = &mut cluster.workers.get_mut(&id).unwrap().fault;
            match fault {
                7 => one.loses_replies = !one.loses_replies,
                8 => one.is_silent = !one.is_silent,
                _ => one.start_delay = one.start_delay.xor(Some(Duration::from_millis(800))),
            }
        }
    }
}

/// Capacities change while starts are on their way, leaders change, replies are lost, and starts are
/// carried out late.
#[test]
fn no_start_exceeds_a_changing_capacity() {
    for seed in 0..30 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut cluster = Cluster::with_workers(WORKER_COUNT);
        for one in cluster.workers.values_mut() {
            one.fault.stop_delay = Duration::from_millis(rng.random_range(0..900));
        }
        let mut jobs: Vec<JobId> = Vec::new();
        for number in 0..40 {
            let count = rng.random_range(1..20);
            let processors = 1_000 * rng.random_range(1..=4);
            jobs.push(cluster.submit(1 + number, vec![wide_step(count, processors)]));
            apply_random_event(&mut cluster, &mut rng);
            cluster.advance(Duration::from_millis(rng.random_range(10..900)));
            assert_eq!(cluster.excess_starts, [], "seed {seed}");
        }
        cluster.is_store_up = true;
        for one in cluster.workers.values_mut() {
            one.fault.loses_replies = false;
            one.fault.is_silent = false;
            one.fault.start_delay = None;
        }
        cluster.advance(RECOVERY_TIME);
        assert_eq!(cluster.excess_starts, [], "seed {seed}");
        for job in jobs {
            assert_eq!(cluster.phase(job), Some(JobPhase::Completed), "seed {seed}");
        }
        assert_eq!(cluster.duplicated, [], "seed {seed}");
    }
}
