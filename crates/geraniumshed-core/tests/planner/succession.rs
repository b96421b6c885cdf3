//! Tests of planners that follow each other faster than a wait or a measurement takes: what one
//! planner has begun must not start anew with each successor.

use std::time::Duration;

use geraniumshed_core::assignment::{IdleRun, StepWait, WaitSnapshot, WorkerHold};
use geraniumshed_core::job::{JobId, JobPhase, StepRequest};
use geraniumshed_core::worker::EndKind;
use geraniumshed_model::prelude::TimePoint;
use rstest::rstest;
use smol_str::SmolStr;

use crate::builders::{size, step, task, worker};
use crate::fixture::{Cluster, STEP};

/// A time between takeovers with which no takeover happens during a test.
const NEVER: u64 = 600_000;
/// The pressure per processor of an image of which a single run exceeds a target.
const STRONG_PRESSURE: f64 = 0.3;

/// Advances the time, and replaces the planner at a regular interval.
fn advance_with_takeovers(cluster: &mut Cluster, span: Duration, interval_ms: u64) {
    let interval = Duration::from_millis(interval_ms);
    let end = cluster.now + span;
    while cluster.now < end {
        cluster.advance(interval.min(end.since(cluster.now)));
        if cluster.now < end {
            cluster.replace_planner();
        }
    }
}

// Guards against a stalled task that is never moved, because each planner measures the time without
// progress from its own takeover.
#[rstest]
#[case::short_one_planner(false, NEVER)]
#[case::short_takeovers(false, 2_000)]
#[case::long_running_one_planner(true, NEVER)]
#[case::long_running_takeovers(true, 2_000)]
fn stalled_task_is_moved_within_one_limit(#[case] is_long_running: bool, #[case] interval_ms: u64) {
    let mut cluster = Cluster::with_workers(2);
    for one in cluster.workers.values_mut() {
        one.fault.stalls = true;
    }
    let slow = StepRequest {
        is_long_running,
        estimate: Duration::from_secs(10),
        ..step(1)
    };
    let id = cluster.submit(1, vec![slow]);
    cluster.advance(Duration::from_millis(300));
    let first = cluster.starts[0].worker.clone();
    for (id, one) in &mut cluster.workers {
        one.fault.stalls = *id == first;
    }
    advance_with_takeovers(&mut cluster, Duration::from_secs(9), interval_ms);
    let starts = cluster.starts_of(task(id, 0, 0));
    assert_eq!(starts.len(), 2, "the stalled task was not moved");
    assert_ne!(starts[1].worker, first);
    assert_eq!(cluster.duplicated, []);
}

// Guards against a stalled best-effort task that is never moved, because each planner first has to
// order its speed.
#[test]
fn stalled_best_effort_task_is_moved_despite_takeovers() {
    let mut cluster = Cluster::with_workers(2);
    for one in cluster.workers.values_mut() {
        one.fault.stalls = true;
    }
    let slow = StepRequest {
        is_best_effort: true,
        estimate: Duration::from_secs(10),
        ..step(1)
    };
    let id = cluster.submit(1, vec![slow]);
    advance_with_takeovers(&mut cluster, Duration::from_secs(14), 2_000);
    assert!(cluster.starts_of(task(id, 0, 0)).len() > 1);
}

// Guards against a planner that drops the stored time without progress of a run before its worker
// has answered it.
#[test]
fn idle_time_outlasts_a_planner_that_the_worker_does_not_answer() {
    let mut cluster = Cluster::with_workers(2);
    let slow = StepRequest {
        estimate: Duration::from_secs(10),
        ..step(1)
    };
    for one in cluster.workers.values_mut() {
        one.fault.stalls = true;
    }
    let id = cluster.submit(1, vec![slow]);
    cluster.advance(Duration::from_secs(2));
    let first = cluster.starts[0].worker.clone();
    let set_silent = |cluster: &mut Cluster, is_silent: bool| {
        let worker = cluster.workers.get_mut(&first).unwrap();
        worker.fault.is_silent = is_silent;
    };
    set_silent(&mut cluster, true);
    cluster.replace_planner();
    cluster.advance(Duration::from_millis(700));
    set_silent(&mut cluster, false);
    cluster.replace_planner();
    cluster.advance(Duration::from_millis(1_500));
    assert_eq!(cluster.starts_of(task(id, 0, 0)).len(), 2);
}

// Guards against a run that is stopped as stalled although it progresses, because a stored time
// without progress is of another state of the run.
#[rstest]
#[case::other_progress(1, 3)]
#[case::other_run(2, 20)]
fn run_with_progress_is_not_stopped_for_a_stored_idle_time(#[case] run: u32, #[case] percent: u32) {
    let mut cluster = Cluster::with_workers(2);
    let slow = StepRequest {
        estimate: Duration::from_secs(10),
        ..step(1)
    };
    let id = cluster.submit(1, vec![slow]);
    cluster.advance(Duration::from_secs(2));
    let idle = IdleRun {
        task: task(id, 0, 0),
        run,
        percent,
        idle_time: Duration::from_mins(1),
    };
    cluster.waits.idle_runs.push(idle);
    cluster.replace_planner();
    cluster.advance(Duration::from_secs(1));
    assert_eq!(cluster.waits.idle_runs, []);
    cluster.advance(Duration::from_secs(10));
    assert_eq!(cluster.starts_of(task(id, 0, 0)).len(), 1);
    assert_eq!(cluster.phase(id), Some(JobPhase::Completed));
}

// Guards against runs that progress slowly and are stopped, because the times without progress of
// several planners add up.
#[rstest]
fn slow_runs_are_not_stopped_at_takeovers(
    #[values(2, 40)] estimate_s: u64,
    #[values(700, 1_300, 2_000, 2_900)] interval_ms: u64,
) {
    let mut cluster = Cluster::with_workers(2);
    let slow = StepRequest {
        estimate: Duration::from_secs(estimate_s),
        task_count: 4,
        ..step(1)
    };
    let id = cluster.submit(1, vec![slow]);
    // The runs pause for less than their limit.
    let pause = Duration::from_millis(1_700);
    for one in cluster.workers.values_mut() {
        one.fault.stalls = true;
    }
    advance_with_takeovers(&mut cluster, pause, interval_ms);
    for one in cluster.workers.values_mut() {
        one.fault.stalls = false;
    }
    advance_with_takeovers(
        &mut cluster,
        Duration::from_secs(estimate_s + 2),
        interval_ms,
    );
    assert_eq!(cluster.starts.len(), 4);
    assert_eq!(cluster.phase(id), Some(JobPhase::Completed));
}

// Guards against a large long-running task that is kept away by short ones, because each planner
// counts the time before it holds a worker from its own takeover and releases earlier holds.
#[rstest]
#[case::scattered_one_planner(5_000, 3, NEVER)]
#[case::scattered_takeovers(5_000, 3, 2_000)]
#[case::crowded_one_planner(2_000, 9, NEVER)]
#[case::crowded_takeovers(2_000, 9, 4_000)]
fn worker_is_held_for_long_running_task(
    #[case] short_processors: u32,
    #[case] longest_gap_s: u64,
    #[case] interval_ms: u64,
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
    for number in 0..1_200 {
        let short = StepRequest {
            estimate: Duration::from_millis(700 + number * 83 % 600),
            size: size(short_processors, 2),
            ..step(1)
        };
        cluster.submit(100 + number, vec![short]);
        cluster.advance(Duration::from_millis(20));
        if number > 0 && number * 20 % interval_ms == 0 {
            cluster.replace_planner();
        }
        if number == 200 {
            let worker = cluster.workers.get_mut(&failed_worker).unwrap();
            worker.end(task(id, 0, 0), EndKind::Failed);
        }
    }
    let runs = cluster.starts_of(task(id, 0, 0));
    assert_eq!(runs.len(), 2, "the long-running task was not placed again");
    let failed_at = runs[0].at + Duration::from_secs(6);
    let gap = runs[1].at.since(failed_at);
    assert!(
        gap < Duration::from_secs(longest_gap_s),
        "not running for {gap:?}"
    );
}

/// What a record of waits gets wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WrongWait {
    /// It was written by the clock of a VM that is an hour ahead.
    IsInFuture,
    /// It is of a much earlier time.
    IsOld,
    /// It names a worker that isn't there.
    HoldsUnknownWorker,
    /// It names a worker that doesn't reply.
    HoldsSilentWorker,
    /// It names a job that isn't there.
    NamesUnknownJob,
}

// Guards against a stored wait of another clock or another state that keeps a task away.
#[rstest]
fn wrong_waits_only_change_the_time_of_a_hold(
    #[values(
        WrongWait::IsInFuture,
        WrongWait::IsOld,
        WrongWait::HoldsUnknownWorker,
        WrongWait::HoldsSilentWorker,
        WrongWait::NamesUnknownJob
    )]
    wrong: WrongWait,
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
    let hour_ms = 3_600_000;
    for number in 0..600 {
        let short = StepRequest {
            estimate: Duration::from_millis(700 + number * 83 % 600),
            size: size(5_000, 2),
            ..step(1)
        };
        cluster.submit(100 + number, vec![short]);
        cluster.advance(Duration::from_millis(20));
        if number == 200 {
            let worker = cluster.workers.get_mut(&failed_worker).unwrap();
            worker.end(task(id, 0, 0), EndKind::Failed);
        }
        if number == 240 {
            let silent = worker(if failed_worker == worker(3) { 2 } else { 3 });
            let mut wait = StepWait {
                job: id,
                occurrence: 0,
                step: 0,
                since_unix_ms: cluster.planner_time().unix_ms,
            };
            let mut holds = Vec::new();
            let mut hold = |worker| {
                let task = task(id, 0, 0);
                holds.push(WorkerHold { task, worker });
            };
            match wrong {
                WrongWait::IsInFuture => wait.since_unix_ms += hour_ms,
                WrongWait::IsOld => wait.since_unix_ms -= hour_ms,
                WrongWait::HoldsUnknownWorker => hold(worker(99)),
                WrongWait::HoldsSilentWorker => hold(silent.clone()),
                WrongWait::NamesUnknownJob => wait.job = JobId(9_999),
            }
            if wrong == WrongWait::HoldsSilentWorker {
                let worker = cluster.workers.get_mut(&silent).unwrap();
                worker.fault.is_silent = true;
            }
            let steps = vec![wait];
            cluster.waits = WaitSnapshot {
                steps,
                holds,
                ..WaitSnapshot::default()
            };
            cluster.replace_planner();
        }
    }
    let runs = cluster.starts_of(task(id, 0, 0));
    assert_eq!(runs.len(), 2, "the long-running task was not placed again");
    let failed_at = runs[0].at + Duration::from_secs(6);
    let gap = runs[1].at.since(failed_at);
    assert!(gap < Duration::from_secs(5), "not running for {gap:?}");
}

// Guards against a step that has started meanwhile and would get a worker held at once when its
// task ends again, since a stored wait is taken to last.
#[test]
fn wait_of_a_placed_step_is_removed() {
    let mut cluster = Cluster::with_workers(2);
    let served = StepRequest {
        is_long_running: true,
        ..step(1)
    };
    let id = cluster.submit(1, vec![served]);
    cluster.advance(Duration::from_secs(1));
    let wait = StepWait {
        job: id,
        occurrence: 0,
        step: 0,
        since_unix_ms: 1_600_000_000_000,
    };
    let hold = WorkerHold {
        task: task(id, 0, 0),
        worker: worker(1),
    };
    cluster.waits = WaitSnapshot {
        steps: vec![wait],
        holds: vec![hold],
        ..WaitSnapshot::default()
    };
    cluster.replace_planner();
    cluster.advance(Duration::from_secs(1));
    assert_eq!(cluster.waits, WaitSnapshot::default());
}

fn served_step(task_count: u32) -> StepRequest {
    StepRequest {
        is_long_running: true,
        image: Some("calls".into()),
        latency_target: Some(Duration::from_millis(20)),
        size: size(6_000, 8),
        ..step(task_count)
    }
}

fn noisy_step() -> StepRequest {
    StepRequest {
        is_best_effort: true,
        image: Some("noisy".into()),
        size: size(3_000, 4),
        estimate: Duration::from_mins(1),
        ..step(1)
    }
}

/// Returns a cluster with a served image and a best-effort run that disturbs it on one worker.
fn disturbed_cluster() -> (Cluster, JobId) {
    let mut cluster = Cluster::with_workers(1);
    let pair = (SmolStr::new("calls"), SmolStr::new("noisy"));
    cluster.pressures.insert(pair, STRONG_PRESSURE);
    let calls = cluster.submit(1, vec![served_step(1)]);
    cluster.advance(Duration::from_secs(3));
    cluster.submit(2, vec![noisy_step()]);
    (cluster, calls)
}

// Guards against a run with a latency target that stays above it, because each planner ignores the
// tail latencies after its takeover as if the run had just started.
#[rstest]
#[case::one_planner(NEVER)]
#[case::takeovers(2_000)]
#[case::takeovers_during_warm_up(1_400)]
fn tail_stays_above_target_for_a_bounded_time(#[case] interval_ms: u64) {
    let (mut cluster, _) = disturbed_cluster();
    if interval_ms != NEVER {
        // No planner has measured the disturbed run before.
        cluster.replace_planner();
    }
    let end = cluster.now + Duration::from_secs(25);
    let mut next_takeover = cluster.now + Duration::from_millis(interval_ms);
    let mut above_since: Option<TimePoint> = None;
    let mut longest = Duration::ZERO;
    while cluster.now < end {
        cluster.tail_counts = (0, 0);
        cluster.advance(STEP);
        match cluster.tail_counts {
            (0, _) => {}
            (_, 0) => above_since = None,
            (_, _) => {
                let since = *above_since.get_or_insert(cluster.now);
                longest = longest.max(cluster.now.since(since));
            }
        }
        if next_takeover <= cluster.now {
            cluster.replace_planner();
            next_takeover = cluster.now + Duration::from_millis(interval_ms);
        }
    }
    assert!(longest < Duration::from_secs(4), "above for {longest:?}");
}

// Guards against a run that stays slowed, because a successor assumes that all runs that it adopts
// run at full speed and orders no other.
#[rstest]
#[case::one_planner(false)]
#[case::takeover(true)]
fn slowed_run_regains_full_speed(#[case] is_replaced: bool) {
    let (mut cluster, calls) = disturbed_cluster();
    cluster.advance(Duration::from_secs(25));
    assert!(cluster.paces.values().any(|percent| *percent < 100));
    cluster.planner.cancel(cluster.planner_time(), calls);
    if is_replaced {
        cluster.advance(STEP);
        cluster.replace_planner();
    }
    cluster.advance(Duration::from_secs(5));
    let slowed = cluster.paces.iter().filter(|(task, _)| task.job.0 == 2);
    assert!(slowed.clone().all(|(_, percent)| *percent == 100));
}

/// Returns a cluster with an image that exceeds its target for most of each period of its load by
/// itself, so that the best-effort run beside it is suspended for seconds.
fn suspending_cluster() -> Cluster {
    let mut cluster = Cluster::with_workers(1);
    let pair = (SmolStr::new("calls"), SmolStr::new("noisy"));
    cluster.pressures.insert(pair, STRONG_PRESSURE);
    let tight = StepRequest {
        latency_target: Some(Duration::from_millis(7)),
        ..served_step(1)
    };
    cluster.submit(1, vec![tight]);
    cluster.advance(Duration::from_secs(3));
    cluster.submit(2, vec![noisy_step()]);
    cluster
}

// Guards against a run that counts as stalled as soon as it regains full speed, since it made no
// progress while it was suspended.
#[rstest]
#[case::one_planner(NEVER)]
#[case::takeovers(3_700)]
fn suspended_run_does_not_count_as_stalled(#[case] interval_ms: u64) {
    let mut cluster = suspending_cluster();
    let noisy = task(JobId(2), 0, 0);
    let mut suspended = Duration::ZERO;
    let mut longest = Duration::ZERO;
    for step in 1..=4_000 {
        cluster.advance(STEP);
        let is_suspended = cluster.paces.get(&noisy) == Some(&0);
        for one in cluster.workers.values_mut() {
            one.fault.stalls_best_effort = is_suspended;
        }
        suspended = if is_suspended {
            suspended + STEP
        } else {
            Duration::ZERO
        };
        longest = longest.max(suspended);
        if step * 10 % interval_ms == 0 {
            cluster.replace_planner();
        }
    }
    assert!(
        longest > Duration::from_secs(6),
        "suspended for {longest:?}"
    );
    assert_eq!(cluster.starts_of(noisy).len(), 1);
}

// Guards against a suspended run that each successor lifts to full speed before it has measured the
// run beside it.
#[test]
fn suspended_run_stays_suspended_at_takeovers() {
    let mut cluster = suspending_cluster();
    let noisy = task(JobId(2), 0, 0);
    for _ in 0..3 {
        while cluster.paces.get(&noisy) == Some(&0) {
            cluster.advance(STEP);
        }
        let mut suspended = Duration::ZERO;
        while suspended < Duration::from_secs(3) {
            cluster.advance(STEP);
            let is_suspended = cluster.paces.get(&noisy) == Some(&0);
            suspended = if is_suspended {
                suspended + STEP
            } else {
                Duration::ZERO
            };
        }
        cluster.replace_planner();
        for _ in 0..200 {
            cluster.advance(STEP);
            assert_eq!(cluster.paces[&noisy], 0, "lifted at {:?}", cluster.now);
        }
    }
}

// Guards against a stalled run that is never moved, since it is slowed at times and the time without
// progress starts anew whenever it regains full speed.
#[test]
fn stalled_run_that_is_slowed_at_times_is_moved() {
    let (mut cluster, _) = disturbed_cluster();
    cluster
        .workers
        .get_mut(&worker(0))
        .unwrap()
        .fault
        .stalls_best_effort = true;
    cluster.advance(Duration::from_secs(25));
    let noisy = task(JobId(2), 0, 0);
    assert!(cluster.starts_of(noisy).len() > 1);
}

// Guards against an interference model that never grows, because each planner stores it once at its
// takeover and then only after an interval that it doesn't reach.
#[rstest]
#[case::one_planner(NEVER)]
#[case::takeovers(2_000)]
fn learned_interference_is_stored(#[case] interval_ms: u64) {
    let mut cluster = Cluster::with_workers(8);
    let pair = (SmolStr::new("calls"), SmolStr::new("noisy"));
    cluster.pressures.insert(pair, STRONG_PRESSURE);
    let other = StepRequest {
        image: Some("queue".into()),
        ..served_step(12)
    };
    cluster.submit(1, vec![served_step(12)]);
    cluster.submit(2, vec![other]);
    advance_with_takeovers(&mut cluster, Duration::from_secs(3), interval_ms);
    for number in 0..10 {
        let noisy = StepRequest {
            estimate: Duration::from_secs(1),
            task_count: 4,
            ..noisy_step()
        };
        cluster.submit(10 + number, vec![noisy]);
        advance_with_takeovers(&mut cluster, Duration::from_secs(2), interval_ms);
        if interval_ms != NEVER {
            cluster.replace_planner();
        }
    }
    let served = cluster.interference.served.iter();
    let slopes = served.flat_map(|record| record.slopes.iter());
    let noisy = slopes.filter(|record| record.image == "noisy" && record.slope > 0.0);
    assert!(noisy.count() > 0, "nothing is stored of what was learned");
}
