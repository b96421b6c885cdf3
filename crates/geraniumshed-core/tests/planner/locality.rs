//! Tests of how long tasks wait for places near their data, and gangs for a rack of their own.

use std::time::Duration;

use geraniumshed_core::assignment::{LocalityOutcome, PlannerEvent, PlannerSettings};
use geraniumshed_core::job::{JobId, QueuePolicy, StepRequest};
use rstest::rstest;

use crate::builders::{size, step};
use crate::fixture::{Cluster, first_queues};

/// The factor by which tasks take longer away from their rack.
const REMOTE_RUN_FACTOR: f64 = 3.0;
/// The time within which a task starts that waits for nothing.
const AT_ONCE: Duration = Duration::from_millis(300);

fn cluster(workers: usize, factor: f64) -> Cluster {
    let settings = PlannerSettings {
        remote_run_factor: factor,
        ..PlannerSettings::default()
    };
    Cluster::with_settings(workers, settings)
}

/// A step of tasks that take half a worker each, with their data in a rack.
fn near(task_count: u32, rack: &str, estimate_ms: u64) -> StepRequest {
    StepRequest {
        size: size(16_000, 8),
        data_rack: Some(rack.into()),
        estimate: Duration::from_millis(estimate_ms),
        ..step(task_count)
    }
}

/// A gang that takes a whole rack.
fn gang() -> StepRequest {
    StepRequest {
        is_gang: true,
        wants_one_rack: true,
        data_rack: None,
        ..near(8, "", 4_000)
    }
}

/// Returns the racks in which a job's tasks were started, with four workers a rack.
fn racks(cluster: &Cluster, job: JobId) -> Vec<usize> {
    let starts = cluster.starts.iter().filter(|start| start.task.job == job);
    let number = |id: &str| id.trim_start_matches('w').parse::<usize>().unwrap();
    starts.map(|start| number(&start.worker.0) / 4).collect()
}

fn outcomes(cluster: &Cluster) -> Vec<LocalityOutcome> {
    let ended = cluster.events.iter().filter_map(|event| match event {
        PlannerEvent::LocalityWaitEnded(ended) => Some(ended.outcome),
        _ => None,
    });
    ended.collect()
}

/// Load: a full rack whose runs end in a moment. Guards against tasks that run three times as long
/// elsewhere rather than wait for half a second; without the factor, they start elsewhere.
#[rstest]
#[case::matters(REMOTE_RUN_FACTOR, 0, 0)]
#[case::does_not_matter(1.0, 1, 1)]
fn place_that_is_free_in_a_moment_is_waited_for(
    #[case] factor: f64,
    #[case] started_at_once: usize,
    #[case] rack: usize,
) {
    let mut cluster = cluster(12, factor);
    cluster.submit(1, vec![near(8, "r0", 2_000)]);
    cluster.advance(Duration::from_millis(1_500));
    let job = cluster.submit(2, vec![near(1, "r0", 2_000)]);
    cluster.advance(AT_ONCE);
    assert_eq!(racks(&cluster, job).len(), started_at_once);
    cluster.advance(Duration::from_secs(1));
    let racks = racks(&cluster, job);
    assert_eq!(racks.len(), 1);
    assert_eq!(racks[0] != 0, rack != 0);
    if factor > 1.0 {
        assert_eq!(outcomes(&cluster), [LocalityOutcome::Near]);
    }
}

/// Load: a burst for one rack. Guards against tasks that queue up for a rack that has places for a few
/// of them soon: no more wait than there are such places.
#[rstest]
#[case::places_soon(1_500, 8)]
#[case::places_late(100, 0)]
fn burst_for_a_rack_spreads_at_once(#[case] age_ms: u64, #[case] waiting: usize) {
    let mut cluster = cluster(32, REMOTE_RUN_FACTOR);
    cluster.submit(1, vec![near(8, "r0", 2_000)]);
    cluster.advance(Duration::from_millis(age_ms));
    let job = cluster.submit(2, vec![near(40, "r0", 1_200)]);
    cluster.advance(AT_ONCE);
    assert_eq!(racks(&cluster, job).len(), 40 - waiting);
    cluster.advance(Duration::from_secs(1));
    let racks = racks(&cluster, job);
    assert_eq!(racks.len(), 40);
    assert_eq!(racks.iter().filter(|rack| **rack == 0).count(), waiting);
}

/// Failure: the rack is lost while tasks wait for it. Guards against tasks that wait for places that
/// never become free.
#[test]
fn lost_rack_is_not_waited_for() {
    let mut cluster = cluster(12, REMOTE_RUN_FACTOR);
    cluster.submit(1, vec![near(8, "r0", 2_000)]);
    cluster.advance(Duration::from_millis(1_300));
    let job = cluster.submit(2, vec![near(2, "r0", 2_000)]);
    cluster.advance(AT_ONCE);
    assert_eq!(racks(&cluster, job).len(), 0);
    for number in 0..4 {
        cluster.remove_worker(&crate::builders::worker(number));
    }
    cluster.advance(AT_ONCE);
    assert_eq!(racks(&cluster, job).len(), 2);
    assert_eq!(outcomes(&cluster), [LocalityOutcome::NoPlace]);
}

/// Load: a full rack and a job that has to start now. Guards against a wait that makes a job late.
#[test]
fn job_without_slack_does_not_wait() {
    let mut cluster = cluster(12, REMOTE_RUN_FACTOR);
    let urgent = QueuePolicy {
        stretch: 1.0,
        latency_objective: Duration::from_millis(200),
        ..first_queues().remove(&"q".into()).unwrap()
    };
    cluster.add_queue("urgent", urgent);
    cluster.submit(1, vec![near(8, "r0", 2_000)]);
    cluster.advance(Duration::from_millis(1_500));
    let job = cluster.submit_to("urgent", 2, vec![near(1, "r0", 2_000)]);
    cluster.advance(AT_ONCE);
    assert_eq!(racks(&cluster, job).len(), 1);
}

/// Load: each rack is nearly free. Guards against a gang that runs three times as long on several
/// racks rather than wait for half a second, and against one that waits for longer than it saves.
#[rstest]
#[case::soon(2_000, 0, 1)]
#[case::late(30_000, 8, 2)]
fn gang_waits_for_a_rack_with_room_for_all(
    #[case] estimate_ms: u64,
    #[case] started_at_once: usize,
    #[case] least_racks: usize,
) {
    let mut cluster = cluster(12, REMOTE_RUN_FACTOR);
    for (number, rack) in (1..).zip(["r0", "r1", "r2"]) {
        cluster.submit(number, vec![near(1, rack, estimate_ms)]);
    }
    cluster.advance(Duration::from_millis(1_500));
    let job = cluster.submit(9, vec![gang()]);
    cluster.advance(AT_ONCE);
    assert_eq!(racks(&cluster, job).len(), started_at_once);
    cluster.advance(Duration::from_secs(1));
    let mut racks = racks(&cluster, job);
    assert_eq!(racks.len(), 8);
    racks.sort_unstable();
    racks.dedup();
    assert!(racks.len() >= least_racks && (least_racks > 1 || racks.len() == 1));
}

/// Failure: forecasts that are always wrong, and a takeover each second. Guards against a wait that
/// starts anew with each leader: it ends when the job would be late.
#[rstest]
#[case::one_planner(false)]
#[case::takeovers(true)]
fn wait_ends_before_the_job_is_late(#[case] has_takeovers: bool) {
    let mut cluster = cluster(12, REMOTE_RUN_FACTOR);
    cluster.run_length = |_| Duration::from_mins(1);
    cluster.submit(1, vec![near(8, "r0", 400)]);
    cluster.advance(Duration::from_millis(700));
    let job = cluster.submit(2, vec![near(1, "r0", 2_000)]);
    cluster.advance(Duration::from_millis(500));
    assert_eq!(racks(&cluster, job).len(), 0);
    for _ in 0..4 {
        if has_takeovers {
            cluster.replace_planner();
        }
        cluster.advance(Duration::from_secs(1));
    }
    assert_eq!(racks(&cluster, job).len(), 1);
}
