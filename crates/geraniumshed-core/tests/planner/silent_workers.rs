//! Tests of the stored leases of silent workers, on which successors rely.

use std::time::Duration;

use geraniumshed_core::job::{JobId, JobPhase, StepRequest, WorkerId};
use geraniumshed_core::worker::{EndKind, WorkerTime};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use crate::builders::{settings_with_longest_lease, step, task, worker};
use crate::fixture::{Cluster, STEP};

/// The number of long-running tasks.
const TASK_COUNT: u32 = 4;
/// The number of workers.
const WORKER_COUNT: usize = 3;
/// The number of random events of a run.
const EVENT_COUNT: usize = 30;
/// The time after the last fault by which all tasks have to run.
const RECOVERY_TIME: Duration = Duration::from_secs(8);

/// Starts long-running tasks on workers whose clocks run at the given speed and that grant leases of
/// up to the given length.
fn start_tasks(clock_percent: u64, longest_lease_s: u64) -> Cluster {
    let settings = settings_with_longest_lease(Duration::from_secs(longest_lease_s));
    let mut cluster = Cluster::with_settings(WORKER_COUNT, settings);
    for worker in cluster.workers.values_mut() {
        worker.clock_percent = clock_percent;
    }
    cluster.replace_planner();
    let long_running = StepRequest {
        is_long_running: true,
        ..step(TASK_COUNT)
    };
    cluster.submit(1, vec![long_running]);
    cluster.advance(Duration::from_millis(500));
    cluster
}

/// Advances the time, and checks at each step that no task runs twice.
fn advance_checked(cluster: &mut Cluster, span: Duration) {
    let end = cluster.now + span;
    while cluster.now < end {
        cluster.advance(STEP);
        assert_eq!(cluster.tasks_running_twice(), [], "at {:?}", cluster.now);
    }
}

fn set_silent(cluster: &mut Cluster, worker: &WorkerId, is_silent: bool) {
    cluster.workers.get_mut(worker).unwrap().fault.is_silent = is_silent;
}

fn heal(cluster: &mut Cluster) {
    cluster.is_store_up = true;
    for worker in cluster.workers.values_mut() {
        worker.fault.is_silent = false;
        worker.fault.loses_replies = false;
    }
}

fn apply_random_event(cluster: &mut Cluster, rng: &mut impl Rng) {
    let id = worker(rng.random_range(0..WORKER_COUNT));
    let one = cluster.workers.get_mut(&id).unwrap();
    match rng.random_range(0..10) {
        0..=2 => one.fault.is_silent = !one.fault.is_silent,
        3 => one.fault.loses_replies = !one.fault.loses_replies,
        4 => one.restart(),
        5 => cluster.is_store_up = !cluster.is_store_up,
        6 => heal(cluster),
        7 => {
            let delay = Duration::from_millis(rng.random_range(0..700));
            cluster.hand_over(delay);
        }
        _ => cluster.replace_planner(),
    }
}

/// Guards against a successor that relies on the stored lease of a worker after its predecessor has
/// heard from the worker and extended the lease.
#[rstest]
fn stored_lease_is_withdrawn_before_it_is_extended(
    #[values(98, 100)] clock_percent: u64,
    #[values(6, 10)] longest_lease_s: u64,
    #[values(true, false)] is_store_up: bool,
    #[values(1_500, 3_000, 4_200)] silent_ms: u64,
    #[values(20, 60, 300, 1_500, 4_000)] answering_ms: u64,
) {
    let mut cluster = start_tasks(clock_percent, longest_lease_s);
    let silent = worker(0);
    set_silent(&mut cluster, &silent, true);
    advance_checked(&mut cluster, Duration::from_millis(silent_ms));
    cluster.is_store_up = is_store_up;
    set_silent(&mut cluster, &silent, false);
    advance_checked(&mut cluster, Duration::from_millis(answering_ms));
    set_silent(&mut cluster, &silent, true);
    cluster.replace_planner();
    cluster.is_store_up = true;
    advance_checked(&mut cluster, RECOVERY_TIME);
    assert_eq!(cluster.running_on(&silent), 0);
}

/// Guards against a successor that relies on the limit of its predecessor's leases while a lease of
/// an older release, which asked for the longest one, is still in force.
#[rstest]
fn lease_of_an_older_release_is_waited_for(
    #[values(100, 1_000, 3_000, 5_000)] interval_ms: u64,
    #[values(1, 2, 3)] takeovers: u32,
) {
    let longest_lease_s = 10;
    let mut cluster = start_tasks(100, longest_lease_s);
    let silent = worker(0);
    let granted_until = cluster.now + Duration::from_secs(longest_lease_s);
    let one = cluster.workers.get_mut(&silent).unwrap();
    one.deadline = granted_until;
    one.fault.is_silent = true;
    cluster.leases = None;
    for _ in 0..takeovers {
        cluster.replace_planner();
        advance_checked(&mut cluster, Duration::from_millis(interval_ms));
    }
    let remaining = granted_until.since(cluster.now);
    advance_checked(&mut cluster, remaining + RECOVERY_TIME);
    assert_eq!(cluster.running_on(&silent), 0);
    assert_eq!(cluster.starts_of(task(JobId(1), 0, 0)).len(), 2);
}

/// Guards against a stored lease that keeps a worker which answers again from being renewed.
#[rstest]
fn worker_that_answers_again_keeps_its_tasks(
    #[values(500, 1_500, 3_100)] silent_ms: u64,
    #[values(false, true)] holds_renewals: bool,
) {
    let mut cluster = start_tasks(100, 6);
    for worker in cluster.workers.values_mut() {
        worker.fault.holds_renewals = holds_renewals;
    }
    advance_checked(&mut cluster, Duration::from_millis(1_500));
    set_silent(&mut cluster, &worker(0), true);
    advance_checked(&mut cluster, Duration::from_millis(silent_ms));
    set_silent(&mut cluster, &worker(0), false);
    advance_checked(&mut cluster, Duration::from_secs(12));
    assert_eq!(cluster.starts.len(), TASK_COUNT as usize);
}

/// Workers are cut off, lose replies, restart and return, while planners and the store fail.
#[rstest]
fn no_task_runs_twice_and_all_run_after_random_faults(
    #[values(98, 100)] clock_percent: u64,
    #[values(6, 10)] longest_lease_s: u64,
) {
    for seed in 0..150 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut cluster = start_tasks(clock_percent, longest_lease_s);
        for _ in 0..EVENT_COUNT {
            apply_random_event(&mut cluster, &mut rng);
            let span = Duration::from_millis(rng.random_range(10..1_800));
            advance_checked(&mut cluster, span);
        }
        heal(&mut cluster);
        advance_checked(&mut cluster, RECOVERY_TIME);
        let running: usize = cluster
            .workers
            .keys()
            .map(|id| cluster.running_on(id))
            .sum();
        assert_eq!(running, TASK_COUNT as usize, "seed {seed}");
    }
}

/// Guards against a new planner that stores the leases of all workers because it hasn't read their
/// registrations yet, and then can't renew any of them while the store is down or slow.
#[rstest]
#[case::listed_at_once(0)]
#[case::listed_later(10)]
fn workers_are_renewed_while_the_store_fails_after_a_takeover(#[case] listed_after_ms: u64) {
    let mut cluster = start_tasks(100, 6);
    advance_checked(&mut cluster, Duration::from_secs(2));
    cluster.replace_planner_before_listing();
    cluster.is_store_up = false;
    advance_checked(&mut cluster, Duration::from_millis(listed_after_ms));
    cluster.replace_workers();
    advance_checked(&mut cluster, Duration::from_secs(5));
    cluster.is_store_up = true;
    advance_checked(&mut cluster, RECOVERY_TIME);
    assert_eq!(cluster.starts.len(), TASK_COUNT as usize);
}

/// Guards against a second run of a task while a restarted worker has the longest lease: a renewal
/// that was sent before the restart is known carries a deadline on the clock of the earlier process,
/// which the new one only limits to the longest lease. The clock of the new process may show anything.
#[rstest]
#[case::six_seconds(6, false)]
#[case::six_seconds_with_takeover(6, true)]
#[case::ten_seconds(10, false)]
#[case::ten_seconds_with_takeover(10, true)]
fn lease_of_a_restarted_worker_is_waited_for(
    #[case] longest_lease_s: u64,
    #[case] is_replaced: bool,
    #[values(0, 12)] first_reading_s: u64,
) {
    let settings = settings_with_longest_lease(Duration::from_secs(longest_lease_s));
    let mut cluster = Cluster::with_settings(2, settings);
    cluster.advance(Duration::from_secs(20));
    cluster.replace_planner();
    cluster.advance(Duration::from_secs(20));
    // Only the restarted worker takes the task.
    let (silent, other) = (worker(0), worker(1));
    set_draining(&mut cluster, &other, true);
    let now = cluster.planner_time();
    let restarted = cluster.workers.get_mut(&silent).unwrap();
    let deadline = WorkerTime(restarted.deadline.0 / 1000);
    restarted.restart_with_clock(now);
    restarted.first_reading = Duration::from_secs(first_reading_s);
    // A call that was meant for the earlier process arrives.
    let longest_lease = Duration::from_secs(longest_lease_s);
    restarted.extend_lease(deadline, now.point, longest_lease);
    cluster.advance(Duration::from_millis(50));
    let long_running = StepRequest {
        is_long_running: true,
        ..step(1)
    };
    cluster.submit(1, vec![long_running]);
    advance_checked(&mut cluster, Duration::from_millis(100));
    assert_eq!(cluster.running_on(&silent), 1);
    set_draining(&mut cluster, &other, false);
    set_silent(&mut cluster, &silent, true);
    if is_replaced {
        cluster.replace_planner();
    }
    advance_checked(&mut cluster, Duration::from_secs(2 * longest_lease_s));
    assert_eq!(cluster.running_on(&other), 1);
}

/// Guards against a second run of a task that a restarted worker started before its restart was known:
/// the run was given up as one of the earlier process.
#[rstest]
#[case::replies_arrive(false)]
#[case::replies_are_lost(true)]
fn run_of_a_worker_whose_restart_is_not_known_yet_runs_once(#[case] loses_replies: bool) {
    let mut cluster = Cluster::with_workers(2);
    for one in cluster.workers.values_mut() {
        one.fault.holds_renewals = true;
    }
    cluster.advance(Duration::from_millis(1_500));
    for one in cluster.workers.values_mut() {
        one.restart();
        one.fault.loses_replies = loses_replies;
    }
    let id = cluster.submit(1, vec![step(4)]);
    advance_checked(&mut cluster, Duration::from_millis(300));
    assert_eq!(cluster.starts.len(), 4);
    for one in cluster.workers.values_mut() {
        one.fault.loses_replies = false;
    }
    advance_checked(&mut cluster, Duration::from_secs(5));
    assert_eq!(cluster.phase(id), Some(JobPhase::Completed));
    assert_eq!(cluster.starts.len(), 4);
}

/// Guards against a second run of a task that a restarted worker started and ended before its restart
/// was known: the renewal that found the restart acknowledged the ends of the earlier process, and with
/// them the end of the run, which has the number of one of them. Without such ends, the run was given up
/// as one of the earlier process, although its end was in the same reply.
#[rstest]
#[case::after_ends_of_the_earlier_process(4)]
#[case::without_earlier_ends(0)]
fn end_on_a_worker_whose_restart_is_not_known_yet_counts(#[case] earlier_ends: u32) {
    let mut cluster = Cluster::with_workers(1);
    if earlier_ends > 0 {
        let earlier = cluster.submit(1, vec![step(earlier_ends)]);
        cluster.advance(Duration::from_secs(3));
        assert_eq!(cluster.phase(earlier), Some(JobPhase::Completed));
    }
    cluster
        .workers
        .get_mut(&worker(0))
        .unwrap()
        .fault
        .holds_renewals = true;
    cluster.advance(Duration::from_millis(1_500));
    cluster.workers.get_mut(&worker(0)).unwrap().restart();
    let id = cluster.submit(2, vec![step(2)]);
    cluster.advance(Duration::from_millis(300));
    assert_eq!(cluster.running_on(&worker(0)), 2);
    let one = cluster.workers.get_mut(&worker(0)).unwrap();
    for index in 0..2 {
        one.end(task(id, 0, index), EndKind::Done);
    }
    // The renewal that the earlier process held back gets no reply.
    one.fault.loses_replies = true;
    while cluster.has_held_renewals() {
        cluster.advance(STEP);
    }
    let one = cluster.workers.get_mut(&worker(0)).unwrap();
    one.fault.loses_replies = false;
    advance_checked(&mut cluster, Duration::from_secs(5));
    assert_eq!(cluster.phase(id), Some(JobPhase::Completed));
    assert_eq!(cluster.restarted_after_end(), []);
    for index in 0..2 {
        assert_eq!(cluster.starts_of(task(id, 0, index)).len(), 1);
    }
}

fn set_draining(cluster: &mut Cluster, worker: &WorkerId, is_draining: bool) {
    let one = cluster.workers.get_mut(worker).unwrap();
    one.listing.is_draining = is_draining;
    cluster.replace_workers();
}

/// Guards against a restarted worker that never starts anything again. Its restart was known from the answer
/// to an earlier renewal than the newest one, which leaves its clock unknown. Each placement of a best-effort
/// run beside one with a latency target then replaced the renewal that would have read the clock, and the
/// start was dropped, since no deadline can be given without the clock.
#[test]
fn restarted_worker_whose_clock_is_unknown_starts_tasks_soon() {
    let mut cluster = Cluster::with_workers(1);
    let id = worker(0);
    cluster.workers.get_mut(&id).unwrap().fault.holds_renewals = true;
    cluster.advance(Duration::from_secs(12));
    let sent = cluster.renewal_count;
    while cluster.renewal_count == sent {
        cluster.advance(STEP);
    }
    // The registration of the new process arrives right before its answer to the renewal that was sent to
    // the earlier one.
    cluster.advance(Duration::from_millis(990));
    let now = cluster.planner_time();
    let restarted = cluster.workers.get_mut(&id).unwrap();
    restarted.restart_with_clock(now);
    restarted.fault.holds_renewals = true;
    restarted.listing.incarnation = Some(restarted.incarnation);
    cluster.replace_workers();
    let serving = StepRequest {
        is_long_running: true,
        image: Some("a".into()),
        latency_target: Some(Duration::from_millis(20)),
        ..step(1)
    };
    let filling = StepRequest {
        is_best_effort: true,
        image: Some("b".into()),
        ..step(1)
    };
    cluster.submit(1, vec![serving]);
    cluster.submit(2, vec![filling]);
    cluster.advance(Duration::from_secs(2));
    assert_eq!(cluster.starts.len(), 2);
}
