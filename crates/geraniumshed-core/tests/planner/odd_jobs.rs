//! Tests of jobs with numbers that no estimate or schedule should have.

use std::time::Duration;

use geraniumshed_core::job::{
    JobEntry, JobId, JobPhase, JobRequest, QueueName, QueuePolicy, RepeatPlan, StepRequest,
    StoredJob, StoredOccurrence, StoredTask, TaskStage,
};
use rstest::rstest;

use crate::builders::step;
use crate::fixture::Cluster;

/// The number of tasks in progress up to which a repeating job begins further occurrences.
const MAX_TASKS_IN_PROGRESS: usize = 20_000;

/// Guards against a job whose estimates overflow a sum. Its request is stored, so that it would end
/// each leader that reads it.
#[rstest]
#[case::single(&[Duration::MAX])]
#[case::chain(&[Duration::MAX, Duration::from_secs(1)])]
#[case::long_chain(&[Duration::from_secs(u64::MAX / 2); 4])]
#[case::milliseconds(&[Duration::from_millis(u64::MAX); 4])]
fn estimates_out_of_range_end_no_planner(#[case] estimates: &[Duration]) {
    let mut cluster = Cluster::with_workers(4);
    cluster.run_length = |_| Duration::from_secs(1);
    let steps = (0u32..)
        .zip(estimates)
        .map(|(index, estimate)| StepRequest {
            estimate: *estimate,
            after: index.checked_sub(1).into_iter().collect(),
            ..step(2)
        });
    let odd = cluster.submit(1, steps.collect());
    let ordinary = cluster.submit(2, vec![step(4)]);
    cluster.advance(Duration::from_secs(3));
    cluster.replace_planner();
    cluster.advance(Duration::from_secs(20));
    assert_eq!(cluster.phase(ordinary), Some(JobPhase::Completed));
    assert_eq!(cluster.phase(odd), Some(JobPhase::Completed));
}

/// Guards against a stretch whose product overflows, as another release's configuration may have.
#[rstest]
#[case(f64::MAX)]
#[case(f64::INFINITY)]
#[case(f64::NAN)]
#[case(-1.0)]
fn stretch_out_of_range_ends_no_planner(#[case] stretch: f64) {
    let mut cluster = Cluster::with_workers(4);
    let policy = QueuePolicy {
        service: "s".into(),
        priority: 1,
        attempt_limit: 3,
        stretch,
        latency_objective: Duration::MAX,
        advice: None,
    };
    cluster
        .planner
        .replace_queues([(QueueName::from("q"), policy)].into());
    let job = cluster.submit(1, vec![step(4)]);
    cluster.advance(Duration::from_secs(3));
    assert_eq!(cluster.phase(job), Some(JobPhase::Completed));
}

/// Guards against a schedule with so many occurrences in the past that their tasks exhaust memory.
#[rstest]
#[case::no_interval(0, 0, 3)]
#[case::long_past(0, 1, 3)]
#[case::empty_step(0, 1, 0)]
fn occurrences_in_the_past_begin_in_bounded_numbers(
    #[case] first_unix_ms: u64,
    #[case] interval_ms: u64,
    #[case] task_count: u32,
) {
    let request = JobRequest {
        queue: "q".into(),
        payload: "p".into(),
        steps: vec![step(task_count)],
        repeat: Some(RepeatPlan {
            first_unix_ms,
            interval: Duration::from_millis(interval_ms),
            count: 1_000_000,
        }),
        submitted_unix_ms: 1_700_000_000_000,
    };
    let mut job = JobEntry::new(JobId(1), request);
    assert!(job.begin_due(1_700_000_000_000));
    let task_count = job.occurrences.iter().flat_map(|one| &one.steps).flatten();
    assert!(task_count.count() <= MAX_TASKS_IN_PROGRESS);
    assert!(job.occurrences.len() <= MAX_TASKS_IN_PROGRESS);
    assert!(!job.begin_due(1_700_000_000_000));
    assert!(job.next_due_unix_ms().is_some());
    job.occurrences.remove(0);
    assert!(job.begin_due(1_700_000_000_000));
}

/// Guards against a stored task whose number of runs or failures has no successor.
#[rstest]
#[case::runs(u32::MAX, 0)]
#[case::failures(0, u32::MAX)]
fn counts_of_a_stored_task_out_of_range_end_no_planner(#[case] run: u32, #[case] failures: u32) {
    let mut cluster = Cluster::with_workers(2);
    let odd = cluster.submit(1, vec![step(1)]);
    let stored = StoredJob {
        phase: JobPhase::Running,
        ended_unix_ms: 0,
        occurrences: vec![StoredOccurrence {
            number: 0,
            tasks: vec![StoredTask {
                stage: TaskStage::Waiting,
                run,
                failures,
                checkpoint: None,
            }],
        }],
        ended_occurrences: 0,
    };
    let request = JobRequest {
        queue: "q".into(),
        payload: "p".into(),
        steps: vec![step(1)],
        repeat: None,
        submitted_unix_ms: cluster.planner_time().unix_ms,
    };
    cluster
        .planner
        .restore(cluster.planner_time(), odd, request, stored);
    let ordinary = cluster.submit(2, vec![step(4)]);
    cluster.advance(Duration::from_secs(5));
    assert_eq!(cluster.phase(ordinary), Some(JobPhase::Completed));
}
