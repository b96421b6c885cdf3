//! Tests of how much work the planner does, in counts that don't depend on the machine.

use std::time::Duration;

use geraniumshed_core::assignment::PlannerWork;
use geraniumshed_core::job::{JobId, JobPhase, StepRequest};
use rstest::rstest;

use crate::builders::{size, step};
use crate::fixture::{BACKGROUND_QUEUE, Cluster, STEP};

/// The time for which work is counted.
const COUNTED: Duration = Duration::from_secs(1);

/// Returns the work of the planner while the cluster advances.
fn work_while_advancing(cluster: &mut Cluster, span: Duration) -> PlannerWork {
    let before = cluster.planner.work();
    cluster.advance(span);
    cluster.planner.work().since(&before)
}

fn best_effort(task_count: u32) -> StepRequest {
    StepRequest {
        is_best_effort: true,
        image: Some("filler".into()),
        size: size(100, 1),
        estimate: Duration::from_secs(30),
        ..step(task_count)
    }
}

fn long_task(task_count: u32) -> StepRequest {
    StepRequest {
        size: size(100, 1),
        estimate: Duration::from_secs(30),
        ..step(task_count)
    }
}

/// Pattern: many jobs run whose tasks are all placed, and a few more come each second. A pass
/// examines the jobs with tasks to place, not all that run.
#[rstest]
#[case::few_running(20)]
#[case::many_running(400)]
fn passes_examine_only_jobs_with_tasks_to_place(#[case] running: u64) {
    let mut cluster = Cluster::with_workers(20);
    for number in 0..running {
        cluster.submit(1_000 + number, vec![long_task(2)]);
    }
    cluster.advance(Duration::from_secs(1));
    let mut examined = 0;
    let mut passes = 0;
    for number in 0..10 {
        cluster.submit(10_000 + number, vec![long_task(2)]);
        let work = work_while_advancing(&mut cluster, COUNTED / 10);
        examined += work.examined_jobs;
        passes += work.passes;
    }
    assert!(passes >= 10, "{passes} passes");
    // One job comes with each tenth of a second, and is placed in one pass.
    assert!(examined <= 20, "{examined} jobs in {passes} passes");
}

/// Pattern: jobs wait for tasks that run. A job whose next step isn't due yet has nothing to place,
/// and its next step starts as soon as the step before ends.
#[test]
fn jobs_with_undue_steps_are_examined_again_when_a_step_ends() {
    let mut cluster = Cluster::with_workers(4);
    let second = StepRequest {
        after: vec![0],
        ..step(2)
    };
    let job = cluster.submit(1, vec![step(2), second]);
    cluster.advance(Duration::from_millis(300));
    let work = work_while_advancing(&mut cluster, Duration::from_millis(500));
    assert_eq!(work.examined_jobs, 0);
    cluster.advance(Duration::from_secs(4));
    assert_eq!(cluster.phase(job), Some(JobPhase::Completed));
}

/// Pattern: wide best-effort steps beside served images. What a step's runs add to the pressure on
/// each image is the same for all its tasks, and is computed once.
#[test]
fn pressure_is_forecast_once_for_all_tasks_of_a_step() {
    let mut cluster = Cluster::with_workers(20);
    for number in 0..5 {
        cluster.submit(1 + number, vec![best_effort(50)]);
    }
    let work = work_while_advancing(&mut cluster, COUNTED);
    assert_eq!(work.placed_tasks, 250);
    assert!(
        work.pressure_forecasts <= 5,
        "{} forecasts",
        work.pressure_forecasts
    );
}

/// Pattern: all workers are full and many jobs wait. Waiting jobs are examined in each pass, since
/// room for any of them may have become free.
#[test]
fn waiting_jobs_start_in_order_once_there_is_room() {
    let mut cluster = Cluster::with_workers(1);
    let whole = |number: u64| JobId(100 + number);
    for number in 0..4 {
        cluster.submit(
            100 + number,
            vec![StepRequest {
                size: size(16_000, 1),
                ..step(1)
            }],
        );
        cluster.advance(Duration::from_millis(20));
    }
    cluster.advance(Duration::from_secs(12));
    let order: Vec<JobId> = cluster.starts.iter().map(|start| start.task.job).collect();
    assert_eq!(order, [whole(0), whole(1), whole(2), whole(3)]);
}

/// Pattern: a burst of tasks beyond what can be started at once. Starts are spread over passes, so
/// that calls and answers of other kinds aren't queued behind thousands of starts, and an urgent job
/// that comes later starts before the rest of the burst.
#[test]
fn burst_leaves_starts_to_a_later_urgent_job() {
    let mut cluster = Cluster::with_workers(220);
    let urgent = JobId(9_000);
    for number in 0..30 {
        cluster.submit_to(BACKGROUND_QUEUE, 1 + number, vec![long_task(100)]);
    }
    let work = work_while_advancing(&mut cluster, STEP);
    assert!(work.placed_tasks <= 512, "{} placed", work.placed_tasks);
    cluster.submit(urgent.0, vec![long_task(10)]);
    cluster.advance(Duration::from_secs(2));
    let position = |job: JobId| {
        cluster
            .starts
            .iter()
            .position(|start| start.task.job == job)
    };
    assert_eq!(cluster.starts.len(), 3_010, "all tasks are started");
    let before = position(urgent).expect("the urgent job starts");
    assert!(before <= 1_024, "{before} starts before the urgent job");
}

/// Pattern: workers that answer no start. The starts in flight stay bounded while they are unanswered,
/// and all tasks start once the workers answer again.
#[test]
fn starts_in_flight_stay_bounded_while_workers_are_silent() {
    let mut cluster = Cluster::with_workers(100);
    for number in 0..30 {
        cluster.submit(1 + number, vec![long_task(50)]);
    }
    cluster.advance(Duration::from_secs(5));
    assert_eq!(cluster.starts.len(), 1_500);
}

/// Pattern: all workers are full, and hundreds of steps of different sizes wait. Each end of a run is
/// offered to the waiting steps, but workers on which nothing has changed aren't compared again.
#[test]
fn waiting_steps_are_compared_with_changed_workers_only() {
    const WORKERS: u64 = 200;
    let mut cluster = Cluster::with_workers(200);
    cluster.submit(
        1,
        vec![StepRequest {
            size: size(31_000, 100),
            estimate: Duration::from_mins(1),
            ..step(200)
        }],
    );
    cluster.advance(Duration::from_millis(300));
    let waiting = 100;
    for number in 0..waiting {
        // Of any two of these, the one with fewer processors needs more memory.
        let processors = 2_000 + u32::try_from(number).expect("the number is small") * 10;
        let needed = size(processors, 90 - number / 2);
        cluster.submit(
            100 + number,
            vec![StepRequest {
                size: needed,
                ..step(1)
            }],
        );
    }
    cluster.advance(Duration::from_millis(200));
    let work = work_while_advancing(&mut cluster, COUNTED);
    // All workers are compared at intervals, ten times a second here.
    assert!(work.passes >= 90, "{} passes", work.passes);
    let limit = waiting * WORKERS * 12;
    let compared = work.compared_workers;
    assert!(
        compared <= limit,
        "{compared} workers with a limit of {limit}"
    );
}

/// Pattern: a slow store. Its batches carry many placements each, so that starts keep up with the jobs
/// that come although each batch takes long.
#[test]
fn slow_store_takes_many_placements_at_once() {
    let mut cluster = Cluster::with_workers(220);
    cluster.is_store_up = false;
    for number in 0..30 {
        cluster.submit(1 + number, vec![long_task(100)]);
    }
    cluster.advance(Duration::from_millis(200));
    let placed = cluster.planner.work().placed_tasks;
    assert!((1_000..=1_500).contains(&placed), "{placed} placed");
    cluster.is_store_up = true;
    cluster.advance(Duration::from_secs(1));
    assert_eq!(cluster.starts.len(), 3_000);
}

/// Pattern: wide steps on many workers. All tasks of a step were compared with workers of their own, so
/// that placing took most of a leader's processor time and one class was served too little (incident
/// 008).
#[rstest]
#[case::hundred(100)]
#[case::four_hundred(400)]
fn placements_compare_few_workers_however_many_there_are(#[case] workers: usize) {
    let mut cluster = Cluster::with_workers(workers);
    for number in 0..10 {
        cluster.submit(1 + number, vec![best_effort(40)]);
    }
    let work = work_while_advancing(&mut cluster, COUNTED);
    assert_eq!(work.placed_tasks, 400);
    let limit = work.placed_tasks * 8;
    let compared = work.compared_workers;
    assert!(compared <= limit, "{compared} workers for 400 tasks");
}

/// Pattern: nearly all workers are full, and a stream of narrow jobs fits on the others. Each search
/// compared all workers that have no room (incident 008).
#[test]
fn workers_without_room_are_not_compared() {
    let mut cluster = Cluster::with_workers(300);
    let whole = StepRequest {
        size: size(32_000, 100),
        estimate: Duration::from_mins(1),
        ..step(290)
    };
    cluster.submit(1, vec![whole]);
    cluster.advance(Duration::from_millis(500));
    let mut compared = 0;
    for number in 0..40 {
        cluster.submit(100 + number, vec![step(2)]);
        compared += work_while_advancing(&mut cluster, 2 * STEP).compared_workers;
    }
    assert_eq!(cluster.starts.len(), 290 + 80);
    assert!(compared <= 40 * 10, "{compared} workers for 40 steps");
}
