//! Tests of the tasks of workers that announce that they are about to leave.

use std::collections::BTreeMap;
use std::time::Duration;

use geraniumshed_core::job::{JobId, JobPhase, StepRequest, TaskKey, WorkerId};
use geraniumshed_core::worker::WorkerChange;
use geraniumshed_model::prelude::TimePoint;
use rstest::rstest;

use crate::adviser::ADVISED_QUEUE;
use crate::builders::{size, step, task, worker};
use crate::fixture::{BACKGROUND_QUEUE, Cluster, STEP};

/// The time from a worker's announcement to its exit.
const DRAIN_TIME: Duration = Duration::from_secs(4);
/// The time that a run takes to stop.
const STOP_DELAY: Duration = Duration::from_millis(200);
/// The time after which a task is at work on another worker that has room from the start.
const MOVE_TIME: Duration = Duration::from_millis(500);
/// The rest of the time until the worker's exit.
const REMAINING_TIME: Duration = DRAIN_TIME.checked_sub(MOVE_TIME).unwrap();

/// The time from a takeover to the worker's exit, at least.
const TIME_AFTER_TAKEOVER: Duration = Duration::from_secs(3);

fn long_running(count: u32) -> StepRequest {
    StepRequest {
        is_long_running: true,
        ..step(count)
    }
}

/// Creates a step of long-running tasks that each take half a worker.
fn half_worker(count: u32) -> StepRequest {
    StepRequest {
        size: size(16_000, 16),
        ..long_running(count)
    }
}

/// Creates a cluster whose runs take some time to stop.
fn cluster_with_slow_stops(worker_count: usize) -> Cluster {
    let mut cluster = Cluster::with_workers(worker_count);
    for one in cluster.workers.values_mut() {
        one.fault.stop_delay = STOP_DELAY;
    }
    cluster
}

/// Submits a long-running task, and returns its key and its worker.
fn run_long_task(cluster: &mut Cluster) -> (TaskKey, WorkerId) {
    let id = cluster.submit(1, vec![long_running(1)]);
    cluster.advance(Duration::from_millis(300));
    (task(id, 0, 0), cluster.starts[0].worker.clone())
}

/// Lets a worker announce that it is about to leave.
fn announce_exit(cluster: &mut Cluster, worker: &WorkerId) {
    let entry = cluster.workers.get_mut(worker).unwrap();
    entry.listing.is_draining = true;
    let change = WorkerChange::Listed(entry.listing.clone());
    let now = cluster.planner_time();
    cluster.planner.update_workers(now, vec![change]);
}

/// Returns the workers that run a task.
fn workers_of(cluster: &Cluster, task: TaskKey) -> Vec<WorkerId> {
    let workers = cluster.workers.iter();
    let running = workers.filter(|(_, worker)| worker.runs.contains_key(&task));
    running.map(|(id, _)| id.clone()).collect()
}

/// Returns the number of a job's tasks that are at work.
fn working_count(cluster: &Cluster, id: JobId) -> usize {
    let runs = cluster.workers.values().flat_map(|worker| &worker.runs);
    let working = runs
        .filter(|(task, run)| task.job == id && run.started_at + cluster.startup <= cluster.now);
    working.count()
}

/// Guards against a fault in which a long-running task stayed on a worker that had announced its
/// exit, was lost with it, and waited for the lease of the gone worker.
#[rstest]
#[case::all_registrations_are_read(true)]
#[case::registration_changes(false)]
fn long_running_task_moves_before_its_worker_exits(#[case] reads_all: bool) {
    let mut cluster = cluster_with_slow_stops(3);
    let (task, leaving) = run_long_task(&mut cluster);
    if reads_all {
        let entry = cluster.workers.get_mut(&leaving).unwrap();
        entry.listing.is_draining = true;
        cluster.replace_workers();
    } else {
        announce_exit(&mut cluster, &leaving);
    }
    cluster.advance(MOVE_TIME);
    assert_eq!(cluster.starts_of(task).len(), 2);
    cluster.advance(REMAINING_TIME);
    cluster.remove_worker(&leaving);
    assert_eq!(workers_of(&cluster, task).len(), 1);
    cluster.advance(Duration::from_secs(8));
    assert_eq!(cluster.starts_of(task).len(), 2);
    assert_eq!(cluster.duplicated, []);
}

#[rstest]
#[case::nothing_else_waits(1)]
#[case::short_tasks_wait_for_the_same_room(3)]
fn task_keeps_running_until_another_worker_has_room(#[case] wide_task_count: u32) {
    let mut cluster = cluster_with_slow_stops(2);
    let (task, leaving) = run_long_task(&mut cluster);
    let wide = StepRequest {
        size: size(32_000, 16),
        estimate: Duration::from_secs(2),
        ..step(wide_task_count)
    };
    cluster.submit(2, vec![wide]);
    cluster.advance(Duration::from_millis(100));
    announce_exit(&mut cluster, &leaving);
    cluster.advance(Duration::from_millis(1_800));
    assert_eq!(workers_of(&cluster, task), std::slice::from_ref(&leaving));
    assert_eq!(cluster.starts_of(task).len(), 1);
    cluster.advance(Duration::from_secs(1));
    assert_eq!(workers_of(&cluster, task).len(), 1);
    assert_eq!(cluster.starts_of(task).len(), 2);
    cluster.advance(Duration::from_secs(2));
    assert_eq!(cluster.starts_of(task).len(), 2);
    assert_eq!(cluster.duplicated, []);
}

#[test]
fn task_without_room_elsewhere_is_never_stopped() {
    let mut cluster = cluster_with_slow_stops(1);
    let (task, leaving) = run_long_task(&mut cluster);
    announce_exit(&mut cluster, &leaving);
    cluster.advance(DRAIN_TIME);
    assert_eq!(workers_of(&cluster, task), [leaving]);
    assert_eq!(cluster.starts.len(), 1);
}

/// The tasks of a step share a limit of unavailable tasks, and two of them are on workers that
/// leave at the same time.
#[rstest]
#[case::one(1)]
#[case::two(2)]
fn moves_respect_limit_of_unavailable_tasks(#[case] limit: u32) {
    let mut cluster = cluster_with_slow_stops(6);
    cluster.startup = Duration::from_millis(600);
    let limited = StepRequest {
        unavailable_limit: Some(limit),
        worker_limit: Some(1),
        ..long_running(4)
    };
    let id = cluster.submit(1, vec![limited]);
    cluster.advance(Duration::from_secs(1));
    let leaving: Vec<WorkerId> = (0..2)
        .map(|index| cluster.starts_of(task(id, 0, index))[0].worker.clone())
        .collect();
    for worker in &leaving {
        announce_exit(&mut cluster, worker);
    }
    let end = cluster.now + DRAIN_TIME;
    let mut least_working = 4;
    while cluster.now < end {
        cluster.advance(STEP);
        least_working = least_working.min(working_count(&cluster, id));
    }
    assert_eq!(least_working, 4 - limit as usize);
    for worker in &leaving {
        assert_eq!(cluster.running_on(worker), 0);
    }
    assert_eq!(cluster.starts.len(), 6);
    assert_eq!(cluster.duplicated, []);
}

/// A task that is unavailable for another reason counts towards the limit too.
#[test]
fn task_is_not_moved_while_limit_is_used_up() {
    let mut cluster = cluster_with_slow_stops(4);
    let limited = StepRequest {
        unavailable_limit: Some(1),
        worker_limit: Some(1),
        ..long_running(2)
    };
    let id = cluster.submit(1, vec![limited]);
    cluster.advance(Duration::from_millis(300));
    let silent = cluster.starts_of(task(id, 0, 0))[0].worker.clone();
    let leaving = cluster.starts_of(task(id, 0, 1))[0].worker.clone();
    cluster.workers.get_mut(&silent).unwrap().fault.is_silent = true;
    cluster.advance(Duration::from_millis(500));
    announce_exit(&mut cluster, &leaving);
    cluster.advance(Duration::from_secs(3));
    assert_eq!(
        workers_of(&cluster, task(id, 0, 1)),
        std::slice::from_ref(&leaving)
    );
    cluster.workers.get_mut(&silent).unwrap().fault.is_silent = false;
    cluster.advance(Duration::from_secs(1));
    assert_eq!(cluster.running_on(&leaving), 0);
    assert_eq!(cluster.starts.len(), 3);
    assert_eq!(cluster.duplicated, []);
}

#[test]
fn silent_worker_keeps_its_task_after_announcement() {
    let mut cluster = cluster_with_slow_stops(3);
    let (task, leaving) = run_long_task(&mut cluster);
    cluster.workers.get_mut(&leaving).unwrap().fault.is_silent = true;
    cluster.advance(Duration::from_millis(100));
    announce_exit(&mut cluster, &leaving);
    cluster.advance(DRAIN_TIME);
    assert_eq!(cluster.stop_order_count, 0);
    assert_eq!(cluster.starts.len(), 1);
    assert_eq!(workers_of(&cluster, task), std::slice::from_ref(&leaving));
    cluster.workers.get_mut(&leaving).unwrap().fault.is_silent = false;
    cluster.advance(Duration::from_secs(1));
    assert_eq!(cluster.running_on(&leaving), 0);
    assert_eq!(cluster.starts.len(), 2);
    assert_eq!(cluster.duplicated, []);
}

/// The end of the run isn't reported, so that only the lease tells when the task may start again.
#[rstest]
#[case::worker_is_silent(false)]
#[case::worker_exits(true)]
fn stopped_run_without_reported_end_waits_for_lease(#[case] exits: bool) {
    let mut cluster = cluster_with_slow_stops(3);
    let (task, leaving) = run_long_task(&mut cluster);
    announce_exit(&mut cluster, &leaving);
    cluster.advance(STOP_DELAY / 2);
    if exits {
        cluster.remove_worker(&leaving);
    } else {
        cluster.workers.get_mut(&leaving).unwrap().fault.is_silent = true;
    }
    cluster.advance(Duration::from_secs(4));
    assert_eq!(cluster.starts_of(task).len(), 1);
    cluster.submit(2, vec![step(32)]);
    cluster.advance(Duration::from_millis(300));
    let short = cluster
        .starts
        .iter()
        .filter(|start| start.task.job == JobId(2));
    assert_eq!(
        short.count(),
        32,
        "a worker is still held for the silent worker's task"
    );
    cluster.advance(Duration::from_secs(4));
    assert_eq!(cluster.starts_of(task).len(), 2);
    assert_eq!(cluster.duplicated, []);
}

/// Replaces the planner at many points in time of a move.
#[rstest]
fn takeover_during_a_move_neither_duplicates_nor_loses_the_task(
    #[values(false, true)] store_fails: bool,
) {
    for takeover_number in 0..40 {
        let mut cluster = cluster_with_slow_stops(3);
        let (task, leaving) = run_long_task(&mut cluster);
        announce_exit(&mut cluster, &leaving);
        let before = STEP * takeover_number;
        cluster.advance(before / 2);
        cluster.is_store_up = !store_fails;
        cluster.advance(before / 2);
        cluster.is_store_up = true;
        cluster.replace_planner();
        cluster.advance(TIME_AFTER_TAKEOVER);
        cluster.remove_worker(&leaving);
        assert_eq!(workers_of(&cluster, task).len(), 1, "after {before:?}");
        cluster.advance(Duration::from_secs(8));
        assert_eq!(cluster.starts_of(task).len(), 2, "after {before:?}");
        assert_eq!(cluster.duplicated, [], "after {before:?}");
    }
}

#[test]
fn short_task_on_leaving_worker_is_left_alone() {
    let mut cluster = cluster_with_slow_stops(3);
    let short = StepRequest {
        estimate: Duration::from_secs(3),
        ..step(1)
    };
    let id = cluster.submit(1, vec![short]);
    cluster.advance(Duration::from_millis(300));
    let leaving = cluster.starts[0].worker.clone();
    announce_exit(&mut cluster, &leaving);
    cluster.advance(DRAIN_TIME);
    assert_eq!(cluster.starts.len(), 1);
    assert_eq!(cluster.phase(id), Some(JobPhase::Completed));
}

#[rstest]
#[case::another_worker_is_allowed(true)]
#[case::no_other_worker_is_allowed(false)]
fn task_of_advised_queue_moves_only_with_permission(#[case] has_other: bool) {
    let mut cluster = cluster_with_slow_stops(8);
    cluster.adviser.allowed = [worker(2)].into();
    let id = cluster.submit_to(ADVISED_QUEUE, 1, vec![long_running(1)]);
    cluster.advance(Duration::from_secs(2));
    assert_eq!(workers_of(&cluster, task(id, 0, 0)), [worker(2)]);
    // Advice on a step doesn't change, so that only a new worker can be allowed later.
    let calls_before = cluster.adviser.call_count;
    if has_other {
        cluster.adviser.allowed.insert(worker(8));
        cluster.add_worker(8, size(32_000, 128));
        cluster.advance(Duration::from_millis(100));
    }
    announce_exit(&mut cluster, &worker(2));
    cluster.advance(DRAIN_TIME);
    let expected = if has_other { worker(8) } else { worker(2) };
    assert_eq!(workers_of(&cluster, task(id, 0, 0)), [expected]);
    assert_eq!(cluster.starts.len(), if has_other { 2 } else { 1 });
    assert_eq!(cluster.adviser.refused_starts, 0);
    assert!(cluster.adviser.call_count - calls_before <= 4);
    assert_eq!(cluster.duplicated, []);
}

/// Two tasks leave a worker, and the other worker has room for one of them.
#[test]
fn task_is_not_stopped_if_another_one_takes_the_place() {
    let mut cluster = cluster_with_slow_stops(1);
    let id = cluster.submit(1, vec![half_worker(2)]);
    cluster.advance(Duration::from_millis(300));
    let other = cluster.add_worker(1, size(16_000, 128));
    cluster.advance(Duration::from_millis(100));
    announce_exit(&mut cluster, &worker(0));
    cluster.advance(DRAIN_TIME);
    assert_eq!(cluster.running_on(&other), 1);
    assert_eq!(cluster.running_on(&worker(0)), 1);
    assert_eq!(cluster.starts.len(), 3);
    assert!((0..2).all(|index| workers_of(&cluster, task(id, 0, index)).len() == 1));
    assert_eq!(cluster.duplicated, []);
}

/// Each run that is being stopped keeps another worker from taking other tasks.
#[test]
fn runs_of_leaving_worker_are_stopped_a_few_at_a_time() {
    let mut cluster = cluster_with_slow_stops(1);
    let id = cluster.submit(1, vec![long_running(10)]);
    cluster.advance(Duration::from_millis(300));
    for number in 1..=10 {
        cluster.add_worker(number, size(32_000, 128));
    }
    cluster.advance(Duration::from_millis(100));
    announce_exit(&mut cluster, &worker(0));
    let end = cluster.now + DRAIN_TIME;
    let mut least_working = 10;
    while cluster.now < end {
        cluster.advance(STEP);
        least_working = least_working.min(working_count(&cluster, id));
    }
    assert_eq!(least_working, 6);
    assert_eq!(cluster.running_on(&worker(0)), 0);
    assert_eq!(cluster.starts.len(), 20);
    assert_eq!(cluster.duplicated, []);
}

/// Short tasks arrive while the run stops and would fill the room that was found for its task.
#[test]
fn short_tasks_do_not_take_the_place_of_a_moving_task() {
    let mut cluster = cluster_with_slow_stops(1);
    let id = cluster.submit(1, vec![half_worker(1)]);
    cluster.advance(Duration::from_millis(300));
    let other = cluster.add_worker(1, size(32_000, 128));
    cluster.advance(Duration::from_millis(100));
    announce_exit(&mut cluster, &worker(0));
    cluster.advance(STOP_DELAY / 2);
    let short = StepRequest {
        estimate: Duration::from_secs(10),
        ..step(32)
    };
    cluster.submit(2, vec![short]);
    cluster.advance(MOVE_TIME);
    assert_eq!(
        workers_of(&cluster, task(id, 0, 0)),
        std::slice::from_ref(&other)
    );
    assert_eq!(cluster.running_on(&other), 1 + 8);
    assert_eq!(cluster.duplicated, []);
}

#[rstest]
#[case::urgent_task_first(["q", BACKGROUND_QUEUE], 0)]
#[case::urgent_task_second([BACKGROUND_QUEUE, "q"], 1)]
fn task_of_most_urgent_queue_moves_first(#[case] queues: [&str; 2], #[case] moved: usize) {
    let mut cluster = cluster_with_slow_stops(1);
    let jobs = [(1, queues[0]), (2, queues[1])]
        .map(|(number, queue)| cluster.submit_to(queue, number, vec![half_worker(1)]));
    cluster.advance(Duration::from_millis(300));
    let other = cluster.add_worker(1, size(16_000, 128));
    cluster.advance(Duration::from_millis(100));
    announce_exit(&mut cluster, &worker(0));
    cluster.advance(DRAIN_TIME);
    let workers = jobs.map(|id| workers_of(&cluster, task(id, 0, 0)));
    assert_eq!(workers[moved], std::slice::from_ref(&other));
    assert_eq!(workers[1 - moved], [worker(0)]);
    assert_eq!(cluster.starts.len(), 3);
}

/// A waiting task of a more urgent queue goes before the move of a less urgent one.
#[test]
fn waiting_urgent_task_goes_before_a_move() {
    let mut cluster = cluster_with_slow_stops(1);
    let background = cluster.submit_to(BACKGROUND_QUEUE, 1, vec![half_worker(1)]);
    let short = StepRequest {
        is_long_running: false,
        estimate: Duration::from_secs(10),
        ..half_worker(1)
    };
    cluster.submit(2, vec![short]);
    cluster.advance(Duration::from_millis(300));
    let urgent = cluster.submit(3, vec![half_worker(1)]);
    cluster.advance(Duration::from_millis(100));
    announce_exit(&mut cluster, &worker(0));
    cluster.advance(Duration::from_millis(100));
    let other = cluster.add_worker(1, size(16_000, 128));
    cluster.advance(DRAIN_TIME);
    assert_eq!(workers_of(&cluster, task(urgent, 0, 0)), [other]);
    assert_eq!(workers_of(&cluster, task(background, 0, 0)), [worker(0)]);
}

/// The replacement of all workers, one after another. Each one announces its exit as soon as a new
/// worker is there.
struct RollingReplacement {
    begun_at: TimePoint,
    announced: usize,
    exited: usize,
}

impl RollingReplacement {
    const WORKER_COUNT: usize = 8;
    const INTERVAL: Duration = Duration::from_millis(700);

    /// Returns when a worker announces its exit.
    fn announcement(&self, number: usize) -> TimePoint {
        self.begun_at + Self::INTERVAL * u32::try_from(number).unwrap()
    }

    /// Carries out the announcements and exits that are due.
    fn advance(&mut self, cluster: &mut Cluster) {
        let is_due =
            |number: usize, at: TimePoint| number < Self::WORKER_COUNT && at <= cluster.now;
        let announces = is_due(self.announced, self.announcement(self.announced));
        let exits = is_due(self.exited, self.announcement(self.exited) + DRAIN_TIME);
        if announces {
            let added = cluster.add_worker(Self::WORKER_COUNT + self.announced, size(32_000, 128));
            cluster.workers.get_mut(&added).unwrap().fault.stop_delay = STOP_DELAY;
            announce_exit(cluster, &worker(self.announced));
            self.announced += 1;
        }
        if exits {
            cluster.remove_worker(&worker(self.exited));
            self.exited += 1;
        }
    }

    fn is_complete(&self) -> bool {
        self.exited == Self::WORKER_COUNT
    }
}

/// Guards against long-running tasks that stay away for seconds while all workers are replaced and
/// planners follow each other in short intervals.
#[rstest]
#[case::one_planner(None)]
#[case::a_takeover_every_two_seconds(Some(Duration::from_secs(2)))]
fn tasks_keep_running_while_all_workers_are_replaced(#[case] takeover_interval: Option<Duration>) {
    let mut cluster = cluster_with_slow_stops(RollingReplacement::WORKER_COUNT);
    let limited = StepRequest {
        unavailable_limit: Some(2),
        ..long_running(8)
    };
    let id = cluster.submit(1, vec![long_running(8), limited]);
    cluster.advance(Duration::from_secs(1));
    let mut replacement = RollingReplacement {
        begun_at: cluster.now,
        announced: 0,
        exited: 0,
    };
    let mut next_takeover = takeover_interval.map(|interval| cluster.now + interval);
    let mut last_seen: BTreeMap<TaskKey, TimePoint> = BTreeMap::new();
    let mut longest_absence = Duration::ZERO;
    while !replacement.is_complete() {
        replacement.advance(&mut cluster);
        if next_takeover.is_some_and(|at| at <= cluster.now) {
            next_takeover = takeover_interval.map(|interval| cluster.now + interval);
            cluster.advance_without_planner(Duration::from_millis(50));
            cluster.replace_planner();
        }
        cluster.advance(STEP);
        for key in (0..2).flat_map(|step| (0..8).map(move |index| task(id, step, index))) {
            let seen = last_seen.entry(key).or_insert(cluster.now);
            if !workers_of(&cluster, key).is_empty() {
                *seen = cluster.now;
            }
            longest_absence = longest_absence.max(cluster.now.since(*seen));
        }
    }
    assert!(longest_absence < MOVE_TIME, "{longest_absence:?}");
    assert_eq!(cluster.duplicated, []);
}
