//! Tests of placement and pacing under load patterns and worker faults.

use std::time::Duration;

use geraniumshed_core::job::{JobId, JobPhase, StepRequest};
use geraniumshed_core::worker::EndKind;
use rstest::rstest;
use smol_str::SmolStr;

use crate::builders::{size, step, task, worker};
use crate::fixture::Cluster;

/// The pressure per processor of an image of which a single run exceeds a target.
const STRONG_PRESSURE: f64 = 0.3;

fn long_running(image: &str, task_count: u32) -> StepRequest {
    StepRequest {
        is_long_running: true,
        image: Some(image.into()),
        latency_target: Some(Duration::from_millis(20)),
        size: size(6_000, 8),
        ..step(task_count)
    }
}

fn best_effort(image: &str, task_count: u32) -> StepRequest {
    StepRequest {
        is_best_effort: true,
        image: Some(image.into()),
        size: size(3_000, 4),
        ..step(task_count)
    }
}

/// Returns a cluster whose eight workers serve two images, and the job of the image that
/// best-effort runs of the image `noisy` disturb.
fn cluster_with_noisy_neighbours() -> (Cluster, JobId) {
    let mut cluster = Cluster::with_workers(8);
    let pair = (SmolStr::new("calls"), SmolStr::new("noisy"));
    cluster.pressures.insert(pair, STRONG_PRESSURE);
    let calls = cluster.submit(1, vec![long_running("calls", 12)]);
    cluster.submit(2, vec![long_running("queue", 12)]);
    cluster.advance(Duration::from_secs(3));
    (cluster, calls)
}

/// Pattern: noisy neighbours. One best-effort image disturbs one of two served images.
#[test]
fn noisy_runs_are_placed_away_from_disturbed_image() {
    let (mut cluster, calls) = cluster_with_noisy_neighbours();
    for number in 0..10 {
        cluster.submit(10 + number, vec![best_effort("noisy", 4)]);
        cluster.advance(Duration::from_secs(1));
    }
    cluster.advance(Duration::from_secs(10));
    let serves_calls = |start: &&crate::fixture::ObservedStart| {
        let on_worker = cluster
            .starts
            .iter()
            .filter(|one| one.worker == start.worker);
        on_worker.clone().any(|one| one.task.job == calls)
    };
    let late = cluster.starts.iter().filter(|start| start.task.job.0 >= 15);
    assert_eq!(late.filter(serves_calls).count(), 0);
    for number in 0..10 {
        let id = JobId(10 + number);
        assert_eq!(cluster.phase(id), Some(JobPhase::Completed));
    }
}

/// Pattern: noisy neighbours and a takeover. The successor restores the interference model.
#[test]
fn successor_inherits_interference_model() {
    let (mut cluster, calls) = cluster_with_noisy_neighbours();
    for number in 0..8 {
        cluster.submit(10 + number, vec![best_effort("noisy", 4)]);
        cluster.advance(Duration::from_secs(1));
    }
    cluster.advance(Duration::from_secs(4));
    cluster.replace_planner();
    cluster.starts.retain(|start| start.task.job == calls);
    let serving: Vec<_> = cluster.starts.drain(..).map(|one| one.worker).collect();
    cluster.advance(Duration::from_secs(2));
    for number in 0..4 {
        cluster.submit(30 + number, vec![best_effort("noisy", 4)]);
        cluster.advance(Duration::from_secs(1));
    }
    let beside = cluster
        .starts
        .iter()
        .filter(|one| serving.contains(&one.worker));
    assert_eq!(beside.count(), 0);
}

/// Pattern: noisy neighbours and varying loads. Two of six best-effort images each disturb one of
/// three served images, whose tail latency comes near its target through its own load at times. The
/// other four images must not be kept away or slowed down because of that.
#[test]
fn only_interfering_runs_are_slowed_beside_varying_load() {
    let mut cluster = Cluster::with_workers(12);
    let served = ["calls", "queue", "search"];
    let images = ["a", "b", "c", "d", "e", "noisy"];
    for (row, name) in served.iter().enumerate() {
        for (column, image) in images.iter().enumerate() {
            let interferes = (row == 0 && column == 5) || (row == 1 && column == 2);
            let slope = if interferes { 0.08 } else { 0.004 };
            let pair = (SmolStr::new(name), SmolStr::new(image));
            cluster.pressures.insert(pair, slope);
        }
        cluster.submit(1 + row as u64, vec![long_running(name, 12)]);
    }
    cluster.advance(Duration::from_secs(3));
    let mut jobs = Vec::new();
    for (number, image) in (0..120_u64).zip(images.iter().cycle()) {
        jobs.push(cluster.submit(100 + number, vec![best_effort(image, 6)]));
        cluster.advance(Duration::from_millis(250));
        if number == 60 {
            cluster.tail_counts = (0, 0);
            cluster.paces.clear();
        }
    }
    cluster.advance(Duration::from_secs(4));
    for id in jobs {
        assert_eq!(cluster.phase(id), Some(JobPhase::Completed), "{id}");
    }
    let (all, high) = cluster.tail_counts;
    assert!(high * 50 <= all, "{high} of {all} tails");
    let slowed = cluster.paces.values().filter(|percent| **percent < 100);
    assert!(slowed.clone().count() <= 10, "{} slowed", slowed.count());
    let moved = cluster.starts.iter().filter(|start| start.run > 1).count();
    assert!(moved <= 20, "{moved} moved");
}

/// Pattern: noisy neighbours everywhere. Each worker serves an image that a run disturbs. The run
/// starts nevertheless while most of the capacity is idle.
#[test]
fn noisy_run_starts_while_most_capacity_is_idle() {
    let mut cluster = Cluster::with_workers(4);
    let pair = (SmolStr::new("calls"), SmolStr::new("noisy"));
    cluster.pressures.insert(pair, STRONG_PRESSURE);
    let spread = StepRequest {
        worker_limit: Some(1),
        ..long_running("calls", 4)
    };
    cluster.submit(1, vec![spread]);
    cluster.advance(Duration::from_secs(3));
    cluster.submit(2, vec![best_effort("noisy", 4)]);
    cluster.advance(Duration::from_secs(3));
    let before = cluster.starts.len();
    cluster.submit(3, vec![best_effort("noisy", 4)]);
    cluster.advance(Duration::from_secs(9));
    assert!(cluster.starts.len() > before);
}

/// Pattern: noisy neighbours and an ended job. A slowed run returns to full speed once the runs
/// that it disturbed have ended.
#[test]
fn slowed_run_regains_full_speed_after_disturbed_runs_end() {
    let mut cluster = Cluster::with_workers(1);
    let pair = (SmolStr::new("calls"), SmolStr::new("noisy"));
    cluster.pressures.insert(pair, STRONG_PRESSURE);
    let calls = cluster.submit(1, vec![long_running("calls", 1)]);
    cluster.advance(Duration::from_secs(3));
    let long = StepRequest {
        estimate: Duration::from_mins(1),
        ..best_effort("noisy", 1)
    };
    cluster.submit(2, vec![long]);
    cluster.advance(Duration::from_secs(25));
    assert!(cluster.paces.values().any(|percent| *percent < 100));
    cluster.planner.cancel(cluster.planner_time(), calls);
    cluster.advance(Duration::from_secs(3));
    let slowed = cluster.paces.iter().filter(|(task, _)| task.job.0 == 2);
    assert!(slowed.clone().all(|(_, percent)| *percent == 100));
}

/// Pattern: separated images. Tasks with a latency target share no worker with those of another
/// image while other workers are free.
#[test]
fn served_images_share_no_worker_while_others_are_free() {
    let mut cluster = Cluster::with_workers(8);
    let first = cluster.submit(1, vec![long_running("calls", 12)]);
    let second = cluster.submit(2, vec![long_running("queue", 12)]);
    cluster.advance(Duration::from_secs(1));
    for number in 0..8 {
        let here = cluster
            .starts
            .iter()
            .filter(|one| one.worker == worker(number));
        let jobs: std::collections::BTreeSet<_> = here.map(|one| one.task.job).collect();
        assert!(
            !(jobs.contains(&first) && jobs.contains(&second)),
            "worker {number}"
        );
    }
}

/// Pattern: burst. Jobs of four times the capacity finish without idle capacity in between.
#[test]
fn burst_finishes_as_fast_as_capacity_allows() {
    let mut cluster = Cluster::with_workers(4);
    // 64 tasks of 2 processors fill 4 workers of 32; 256 take four rounds of a second each.
    let ids: Vec<_> = (0..16).map(|n| cluster.submit(n, vec![step(16)])).collect();
    cluster.advance(Duration::from_millis(4_600));
    for id in ids {
        assert_eq!(cluster.phase(id), Some(JobPhase::Completed), "{id}");
    }
}

/// Pattern: black hole. A worker that fails all its tasks gets few more once tasks of two jobs have
/// failed on it.
#[test]
fn failing_worker_gets_few_tasks() {
    let mut cluster = Cluster::with_workers(6);
    cluster.workers.get_mut(&worker(3)).unwrap().fault.fails = true;
    let mut ids = Vec::new();
    for number in 0..30 {
        ids.push(cluster.submit(number, vec![step(6)]));
        cluster.advance(Duration::from_millis(200));
    }
    cluster.advance(Duration::from_secs(6));
    let wasted = cluster
        .starts
        .iter()
        .filter(|one| one.worker == worker(3))
        .count();
    assert!(wasted <= 18, "{wasted} of {} starts", cluster.starts.len());
    for id in ids {
        assert_eq!(cluster.phase(id), Some(JobPhase::Completed), "{id}");
    }
}

/// Pattern: recovered black hole. A worker that failed tasks of two jobs while running a
/// long-running task gets tasks again once it works.
#[test]
fn recovered_worker_gets_tasks_beside_long_running_ones() {
    let mut cluster = Cluster::with_workers(1);
    let serving = cluster.submit(1, vec![long_running("calls", 1)]);
    cluster.advance(Duration::from_secs(1));
    cluster.workers.get_mut(&worker(0)).unwrap().fault.fails = true;
    cluster.submit(2, vec![step(1)]);
    cluster.submit(3, vec![step(1)]);
    cluster.advance(Duration::from_millis(1_500));
    cluster.workers.get_mut(&worker(0)).unwrap().fault.fails = false;
    let id = cluster.submit(4, vec![long_running("calls", 4)]);
    cluster.advance(Duration::from_secs(8));
    assert_eq!(cluster.phase(serving), Some(JobPhase::Running));
    let started = cluster.starts.iter().filter(|one| one.task.job == id);
    assert_eq!(started.count(), 4);
}

/// Pattern: lost worker. Tasks of a silent worker are started again after one lease, not after
/// several.
#[test]
fn lost_worker_delays_jobs_by_one_lease() {
    let mut cluster = Cluster::with_workers(6);
    let ids: Vec<_> = (0..6).map(|n| cluster.submit(n, vec![step(8)])).collect();
    cluster.advance(Duration::from_millis(400));
    cluster.workers.get_mut(&worker(1)).unwrap().fault.is_silent = true;
    cluster.advance(Duration::from_millis(7_500));
    for id in ids {
        assert_eq!(cluster.phase(id), Some(JobPhase::Completed), "{id}");
    }
    assert_eq!(cluster.duplicated, []);
}

/// Pattern: backlog. A job of two steps has a later deadline than a job of one step, but less
/// slack, so its first step starts before that job.
#[test]
fn step_with_least_slack_starts_first() {
    let mut cluster = Cluster::with_workers(1);
    // A task takes the whole worker.
    let whole = |millis: u64, after: Vec<u32>| StepRequest {
        size: size(32_000, 2),
        estimate: Duration::from_millis(millis),
        after,
        ..step(1)
    };
    cluster.submit(1, vec![whole(1_500, vec![])]);
    cluster.advance(Duration::from_millis(100));
    let long = cluster.submit(2, vec![whole(1_000, vec![]), whole(1_000, vec![0])]);
    cluster.advance(Duration::from_millis(1_100));
    let short = cluster.submit(3, vec![whole(1_000, vec![])]);
    cluster.advance(Duration::from_millis(600));
    let has_started = |job| cluster.starts.iter().any(|start| start.task.job == job);
    assert!(has_started(long));
    assert!(!has_started(short));
}

/// Pattern: fragmentation. A run of a large long-running task has failed, and short tasks take all
/// capacity that becomes free before the large task fits. With short tasks of five processors, the
/// capacity that they leave on all workers together would be enough for it.
#[rstest]
#[case::scattered(5_000, 3)]
#[case::crowded(2_000, 9)]
fn long_running_task_is_placed_among_stream_of_short_tasks(
    #[case] short_processors: u32,
    #[case] longest_gap_s: u64,
) {
    let mut cluster = Cluster::with_workers(4);
    let large = StepRequest {
        is_long_running: true,
        size: size(14_000, 16),
        ..step(4)
    };
    let id = cluster.submit(1, vec![large]);
    cluster.advance(Duration::from_secs(2));
    let failed_worker = cluster.starts[0].worker.clone();
    for number in 0..800 {
        // The stream exceeds the capacity, and each task is small enough for any free capacity.
        let short = StepRequest {
            estimate: Duration::from_millis(700 + number * 83 % 600),
            size: size(short_processors, 2),
            ..step(1)
        };
        cluster.submit(100 + number, vec![short]);
        cluster.advance(Duration::from_millis(20));
        if number == 200 {
            let worker = cluster.workers.get_mut(&failed_worker).unwrap();
            worker.end(task(id, 0, 0), EndKind::Failed);
        }
    }
    let runs = cluster.starts_of(task(id, 0, 0));
    assert_eq!(runs.len(), 2);
    let failed_at = runs[0].at + Duration::from_secs(6);
    let gap = runs[1].at.since(failed_at);
    assert!(
        gap < Duration::from_secs(longest_gap_s),
        "not running for {gap:?}"
    );
    let short = cluster.starts.iter().filter(|start| start.task.job != id);
    assert!(short.count() > 150, "short tasks were starved");
}

/// Pattern: fragmentation of a full cluster. Several long-running tasks fail at once, and a job of
/// long-running tasks that have never run waits as well. A task that was at work has to be back
/// within nine seconds, however full the cluster is.
#[rstest]
#[case::one_task(1, 0)]
#[case::several_tasks(4, 0)]
#[case::beside_waiting_job(1, 12)]
#[case::several_tasks_beside_waiting_job(4, 12)]
fn failed_long_running_tasks_run_again_on_a_full_cluster(
    #[case] failed: u32,
    #[case] waiting: u32,
) {
    let mut cluster = Cluster::with_workers(16);
    let large = |count| StepRequest {
        is_long_running: true,
        size: size(14_000, 16),
        ..step(count)
    };
    let id = cluster.submit(1, vec![large(4)]);
    cluster.advance(Duration::from_secs(2));
    let mut failed_at = None;
    for number in 0..1_000 {
        let short = StepRequest {
            estimate: Duration::from_millis(1_800 + number * 83 % 1_400),
            size: size(2_000, 2),
            ..step(4)
        };
        cluster.submit(100 + number, vec![short]);
        cluster.advance(Duration::from_millis(30));
        if number == 150 && waiting > 0 {
            cluster.submit(2, vec![large(waiting)]);
        }
        if number == 200 {
            failed_at = Some(cluster.now);
            fail_first_runs(&mut cluster, id, failed);
        }
    }
    for index in 0..failed {
        let runs = cluster.starts_of(task(id, 0, index));
        assert_eq!(runs.len(), 2, "task {index} does not run again");
        let gap = runs[1].at.since(failed_at.unwrap());
        assert!(
            gap < Duration::from_secs(9),
            "task {index} is away for {gap:?}"
        );
    }
    let short = cluster
        .starts
        .iter()
        .filter(|start| start.task.job.0 >= 100);
    assert!(short.count() > 1_000, "short tasks were starved");
}

/// Makes the first runs of a job's first tasks fail.
fn fail_first_runs(cluster: &mut Cluster, job: JobId, count: u32) {
    for index in 0..count {
        let key = task(job, 0, index);
        let worker = cluster.starts_of(key)[0].worker.clone();
        let worker = cluster.workers.get_mut(&worker).unwrap();
        worker.end(key, EndKind::Failed);
    }
}

/// Pattern: loss of many workers on a full cluster. A hundred long-running tasks have to run again at
/// once, and each finds only workers that short tasks fill.
#[test]
fn many_long_running_tasks_run_again_on_a_full_cluster() {
    const WORKERS: usize = 40;
    const FAILED: u32 = 100;
    let mut cluster = Cluster::with_workers(WORKERS);
    let large = StepRequest {
        is_long_running: true,
        size: size(6_000, 8),
        ..step(120)
    };
    let id = cluster.submit(1, vec![large]);
    cluster.advance(Duration::from_secs(2));
    let mut failed_at = cluster.now;
    for number in 0..500 {
        let short = StepRequest {
            estimate: Duration::from_millis(1_800 + number * 83 % 1_400),
            size: size(2_000, 2),
            ..step(10)
        };
        cluster.submit(100 + number, vec![short]);
        cluster.advance(Duration::from_millis(30));
        if number == 150 {
            failed_at = cluster.now;
            fail_first_runs(&mut cluster, id, FAILED);
        }
    }
    let gaps = (0..FAILED).map(|index| {
        let starts = cluster.starts_of(task(id, 0, index));
        starts.get(1).map(|start| start.at.since(failed_at))
    });
    let longest = gaps.map(|gap| gap.unwrap_or(Duration::MAX)).max();
    assert!(
        longest < Some(Duration::from_secs(9)),
        "away for {longest:?}"
    );
}
