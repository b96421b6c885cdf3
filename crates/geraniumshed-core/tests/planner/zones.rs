//! Tests of evacuated availability zones.

use std::time::Duration;

use geraniumshed_core::assignment::{PlacementRefusal, PlannerEvent};
use geraniumshed_core::job::{JobId, JobPhase, StepRequest, TaskKey};
use geraniumshed_core::site::ZoneEvacuations;
use geraniumshed_model::prelude::LogOffset;
use rstest::rstest;

use crate::builders::{size, step, task, worker};
use crate::fixture::{BACKGROUND_QUEUE, Cluster, STEP};

/// The zones of the workers, by turns.
const ZONES: [&str; 3] = ["a", "b", "c"];
/// A time within which waiting tasks are placed if a worker takes them.
const PLACE_TIME: Duration = Duration::from_millis(300);
/// A time after which an evacuation has moved what it can.
const EVACUATION_TIME: Duration = Duration::from_secs(40);
/// The duration of an evacuation that is cancelled before anything moves.
const SHORT_TIME: Duration = Duration::from_secs(4);
/// The time that a run takes to stop.
const STOP_DELAY: Duration = Duration::from_millis(200);

fn cluster_in_zones(worker_count: usize) -> Cluster {
    let mut cluster = Cluster::with_workers(worker_count);
    for one in cluster.workers.values_mut() {
        one.fault.stop_delay = STOP_DELAY;
    }
    cluster.spread_over(&ZONES);
    cluster.advance(PLACE_TIME);
    cluster
}

fn long_running(count: u32) -> StepRequest {
    StepRequest {
        is_long_running: true,
        ..step(count)
    }
}

/// Creates a step of long-running tasks of which each takes a whole worker.
fn whole_worker(count: u32) -> StepRequest {
    StepRequest {
        size: size(32_000, 16),
        ..long_running(count)
    }
}

/// Returns the reasons why workers refuse the steps that wait, as they were reported.
fn reported_refusals(cluster: &Cluster) -> Vec<PlacementRefusal> {
    let waiting = cluster.events.iter().filter_map(|event| match event {
        PlannerEvent::StepWaiting(_, refusals) => Some(refusals.keys().copied()),
        _ => None,
    });
    waiting.flatten().collect()
}

/// Guards against tasks that start in a zone after it was evacuated.
#[rstest]
#[case::one_zone(&["a"])]
#[case::two_zones(&["a", "b"])]
#[case::another_zone_is_lost(&["b"])]
fn no_task_starts_in_an_evacuated_zone(
    #[case] zones: &[&str],
    #[values(false, true)] is_gang: bool,
    #[values(false, true)] has_takeover: bool,
) {
    let mut cluster = cluster_in_zones(9);
    cluster.submit(1, vec![step(60)]);
    cluster.advance(PLACE_TIME);
    cluster.evacuate(zones);
    let first = cluster.starts.len();
    if zones == ["b"] {
        for number in [0, 3, 6] {
            let lost = cluster.workers.get_mut(&worker(number)).unwrap();
            lost.fault.is_silent = true;
        }
    }
    let wide = StepRequest {
        is_gang,
        ..step(20)
    };
    let id = cluster.submit(2, vec![wide]);
    cluster.advance(PLACE_TIME);
    if has_takeover {
        cluster.replace_planner();
    }
    cluster.submit(3, vec![step(20)]);
    cluster.advance(Duration::from_secs(25));
    for zone in zones {
        assert_eq!(cluster.starts_in(zone, first), 0);
    }
    assert_eq!(cluster.phase(id), Some(JobPhase::Completed));
    assert_eq!(cluster.phase(JobId(3)), Some(JobPhase::Completed));
    assert_eq!(cluster.duplicated, []);
}

/// The zone is evacuated while the store holds the placements up; the starts are sent to no worker, and
/// the members of a gang start together elsewhere.
#[rstest]
fn placement_that_is_stored_late_starts_elsewhere(#[values(false, true)] is_gang: bool) {
    let mut cluster = cluster_in_zones(6);
    cluster.is_store_up = false;
    let wide = StepRequest {
        is_gang,
        worker_limit: Some(1),
        ..step(6)
    };
    let narrow = StepRequest {
        worker_limit: Some(4),
        ..wide.clone()
    };
    let id = cluster.submit(1, vec![wide]);
    let other = cluster.submit(2, vec![narrow]);
    cluster.advance(PLACE_TIME);
    assert_eq!(cluster.starts, []);
    cluster.evacuate(&["a"]);
    cluster.is_store_up = true;
    cluster.advance(Duration::from_secs(5));
    assert_eq!(cluster.starts_in("a", 0), 0);
    assert_eq!(cluster.phase(other), Some(JobPhase::Completed));
    // A gang that needs all workers waits as a whole.
    let started = (0..6).filter(|index| !cluster.starts_of(task(id, 0, *index)).is_empty());
    assert_eq!(started.count(), if is_gang { 0 } else { 6 });
    cluster.evacuate(&[]);
    cluster.advance(Duration::from_secs(3));
    assert_eq!(cluster.phase(id), Some(JobPhase::Completed));
    assert_eq!(cluster.duplicated, []);
}

/// A task that fits only in the zone waits with the reason, and starts at once after the cancellation.
#[test]
fn task_that_fits_only_there_waits_for_the_cancellation() {
    let mut cluster = cluster_in_zones(3);
    cluster.workers.get_mut(&worker(0)).unwrap().listing.labels = vec!["only".into()];
    cluster.replace_workers();
    cluster.advance(PLACE_TIME);
    cluster.evacuate(&["a"]);
    let bound = StepRequest {
        required_label: Some("only".into()),
        ..step(1)
    };
    let id = cluster.submit(1, vec![bound]);
    cluster.advance(Duration::from_secs(10));
    assert_eq!(cluster.starts, []);
    let refusals = reported_refusals(&cluster);
    assert!(
        refusals.contains(&PlacementRefusal::ZoneEvacuated),
        "{refusals:?}"
    );
    cluster.evacuate(&[]);
    cluster.advance(STEP * 3);
    assert_eq!(cluster.starts_of(task(id, 0, 0)).len(), 1);
}

/// A state that was read earlier arrives after a later one.
#[test]
fn earlier_state_never_replaces_a_later_one() {
    let mut cluster = cluster_in_zones(3);
    cluster.evacuate(&["a", "b"]);
    let now = cluster.planner_time();
    let outdated = ZoneEvacuations::new(["c".into()], LogOffset(1));
    cluster.planner.replace_evacuations(now, outdated);
    cluster.submit(1, vec![step(4)]);
    cluster.advance(PLACE_TIME);
    assert_eq!(cluster.starts_in("c", 0), 4);
}

/// Batch runs finish in the zone, and long-running runs move, but never those of a gang.
#[rstest]
fn long_running_tasks_move_within_their_limit(#[values(1, 2)] limit: u32) {
    let mut cluster = cluster_in_zones(9);
    cluster.startup = Duration::from_millis(600);
    let limited = StepRequest {
        unavailable_limit: Some(limit),
        worker_limit: Some(1),
        ..long_running(9)
    };
    let gang = StepRequest {
        is_gang: true,
        worker_limit: Some(1),
        ..long_running(9)
    };
    let batch = StepRequest {
        estimate: Duration::from_secs(12),
        worker_limit: Some(1),
        ..step(9)
    };
    let [moved, kept, finished] = [(1, limited), (2, gang), (3, batch)]
        .map(|(number, step)| cluster.submit(number, vec![step]));
    cluster.advance(Duration::from_secs(2));
    cluster.evacuate(&["a"]);
    // All other workers have a task of the step already.
    for number in 9..12 {
        let added = cluster.add_worker(number, size(32_000, 128));
        cluster.workers.get_mut(&added).unwrap().listing.zone = "d".into();
    }
    cluster.replace_workers();
    let (end, mut least_working) = (cluster.now + EVACUATION_TIME, 9);
    while cluster.now < end {
        cluster.advance(STEP);
        least_working = least_working.min(working_count(&cluster, moved));
    }
    assert_eq!(least_working, 9 - limit as usize);
    let is_in_zone = |job: JobId| {
        let inside = cluster
            .workers
            .values()
            .filter(|one| one.listing.zone == "a");
        let runs = inside.flat_map(|worker| worker.runs.keys());
        runs.filter(|task| task.job == job).count()
    };
    assert_eq!(is_in_zone(moved), 0);
    assert_eq!(is_in_zone(kept), 3);
    assert_eq!(cluster.phase(finished), Some(JobPhase::Completed));
    let is_move = |event: &&PlannerEvent| matches!(event, PlannerEvent::ZoneMoveBegun(_));
    assert_eq!(cluster.events.iter().filter(is_move).count(), 3);
    assert_eq!(cluster.starts.len(), 9 + 9 + 9 + 3);
    assert_eq!(cluster.duplicated, []);
}

/// Returns the number of a job's tasks that are at work.
fn working_count(cluster: &Cluster, id: JobId) -> usize {
    let runs = cluster.workers.values().flat_map(|worker| &worker.runs);
    let working = runs
        .filter(|(task, run)| task.job == id && run.started_at + cluster.startup <= cluster.now);
    working.count()
}

/// Guards against moves that take the capacity which a waiting step could use, and against moves that
/// end for good because a step waits that fits only in the zone.
#[rstest]
#[case::no_step_waits(None, true)]
#[case::less_urgent_step_waits(Some(BACKGROUND_QUEUE), false)]
#[case::step_of_the_queue_waits(Some("q"), false)]
fn tasks_move_only_while_no_step_waits(#[case] queue: Option<&str>, #[case] moves: bool) {
    let mut cluster = cluster_in_zones(3);
    let pinned = ["a", "b"].map(|zone| StepRequest {
        required_label: Some(zone.into()),
        ..step(1)
    });
    for (number, zone) in ZONES.iter().enumerate() {
        let listing = &mut cluster.workers.get_mut(&worker(number)).unwrap().listing;
        listing.labels = vec![(*zone).into()];
    }
    cluster.replace_workers();
    cluster.advance(PLACE_TIME);
    let long = StepRequest {
        worker_limit: Some(2),
        ..long_running(3)
    };
    let id = cluster.submit(1, vec![long]);
    let full = StepRequest {
        size: size(30_000, 16),
        required_label: Some("b".into()),
        estimate: Duration::from_mins(5),
        ..step(1)
    };
    cluster.submit(2, vec![full]);
    cluster.advance(PLACE_TIME);
    assert_eq!(cluster.running_in("b"), 2, "{:?}", cluster.starts);
    cluster.evacuate(&["a"]);
    let [inside, outside] = pinned;
    cluster.submit(3, vec![inside]);
    if let Some(queue) = queue {
        cluster.submit_to(queue, 4, vec![outside]);
    }
    cluster.advance(EVACUATION_TIME);
    let moved = (0..3).filter(|index| cluster.starts_of(task(id, 0, *index)).len() > 1);
    assert_eq!(moved.count(), usize::from(moves));
}

/// A short evacuation interrupts nothing.
#[test]
fn short_evacuation_moves_nothing() {
    let mut cluster = cluster_in_zones(6);
    cluster.submit(1, vec![long_running(6)]);
    cluster.advance(PLACE_TIME);
    let before = cluster.starts.len();
    cluster.evacuate(&["a"]);
    cluster.advance(SHORT_TIME);
    cluster.evacuate(&[]);
    cluster.advance(EVACUATION_TIME);
    assert_eq!(cluster.starts.len(), before);
    assert_eq!(cluster.stop_order_count, 0);
}

/// Each run that moves keeps a worker from taking other tasks.
#[test]
fn few_tasks_of_a_service_move_at_a_time() {
    let mut cluster = cluster_in_zones(24);
    let id = cluster.submit(1, vec![whole_worker(8)]);
    cluster.advance(PLACE_TIME);
    let inside = cluster.running_in("a");
    cluster.evacuate(&["a"]);
    let (end, mut least_running) = (cluster.now + EVACUATION_TIME, 8);
    while cluster.now < end {
        cluster.advance(STEP);
        let is_running = |index: &u32| runs_of(&cluster, task(id, 0, *index)) == 1;
        least_running = least_running.min((0..8).filter(is_running).count());
    }
    assert!(inside >= 2, "{inside}");
    assert_eq!(least_running, 6);
    assert_eq!(cluster.running_in("a"), 0);
    assert_eq!(cluster.duplicated, []);
}

fn runs_of(cluster: &Cluster, task: TaskKey) -> usize {
    let workers = cluster.workers.values();
    workers.filter(|one| one.runs.contains_key(&task)).count()
}

/// Replaces the planner at many points in time of a move.
#[test]
fn takeover_during_a_move_neither_duplicates_nor_loses_the_task() {
    for takeover_number in 0..40 {
        let mut cluster = cluster_in_zones(3);
        let id = cluster.submit(1, vec![long_running(3)]);
        cluster.advance(PLACE_TIME);
        let inside = cluster.running_in("a");
        cluster.evacuate(&["a"]);
        cluster.advance(Duration::from_secs(5) + STEP * takeover_number);
        cluster.replace_planner();
        cluster.advance(EVACUATION_TIME);
        assert_eq!(cluster.running_in("a"), 0, "of {inside}, {takeover_number}");
        for index in 0..3 {
            assert_eq!(runs_of(&cluster, task(id, 0, index)), 1);
        }
        assert_eq!(cluster.duplicated, [], "{takeover_number}");
    }
}

/// A zone without workers is reported once, and has no effect.
#[test]
fn unknown_zone_is_reported_once() {
    let mut cluster = cluster_in_zones(3);
    cluster.evacuate(&["x"]);
    cluster.replace_workers();
    cluster.submit(1, vec![step(4)]);
    cluster.advance(PLACE_TIME);
    assert_eq!(cluster.starts.len(), 4);
    let is_report = |event: &&PlannerEvent| matches!(event, PlannerEvent::ZoneUnknown(_));
    assert_eq!(cluster.events.iter().filter(is_report).count(), 1);
}
