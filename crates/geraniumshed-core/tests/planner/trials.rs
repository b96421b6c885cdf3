//! Tests of what waits for trials of tasks under which workers have crashed.

use std::time::Duration;

use geraniumshed_core::job::{
    CrashHistory, JobId, JobPhase, JobRequest, QueueName, StepRequest, StoredJob, StoredOccurrence,
    StoredTask, TaskCrashes, TaskKey, TaskStage, WorkerId,
};
use rstest::rstest;

use crate::builders::{size, step, task};
use crate::fixture::{Cluster, STEP};

/// The time within which 200 tasks that are at fault for nothing survive their trials on 48 workers.
const CLEARING_TIME: Duration = Duration::from_secs(10);
/// The time within which a task starts that has no reason to wait.
const PROMPT_START: Duration = Duration::from_millis(60);

/// Submits a job whose tasks have each been started once, of which the first are suspects: a worker
/// has crashed under them, so that their next runs are trials.
fn submit_with_suspects(cluster: &mut Cluster, number: u64, count: u32, suspects: u32) -> JobId {
    let id = JobId(number);
    let now = cluster.planner_time();
    let request = JobRequest {
        queue: QueueName::from("q"),
        payload: "p".into(),
        steps: vec![step(count)],
        repeat: None,
        submitted_unix_ms: now.unix_ms,
    };
    cluster.requests.insert(id, request.clone());
    let waiting = StoredTask {
        stage: TaskStage::Waiting,
        run: 1,
        failures: 0,
        checkpoint: None,
    };
    let stored = StoredJob {
        phase: JobPhase::Running,
        ended_unix_ms: 0,
        occurrences: vec![StoredOccurrence {
            number: 0,
            tasks: vec![waiting; count as usize],
        }],
        ended_occurrences: 0,
    };
    cluster.planner.restore(now, id, request, stored);
    let crashes = (0..suspects).map(|index| TaskCrashes {
        task: task(id, 0, index),
        history: CrashHistory { total: 1, score: 1 },
        suspicion: None,
    });
    cluster.planner.restore_crashes(id, crashes.collect());
    id
}

/// Submits jobs of which all tasks are suspects, and returns these.
fn submit_suspects(cluster: &mut Cluster, jobs: u64, tasks_per_job: u32) -> Vec<TaskKey> {
    let mut suspects = Vec::new();
    for number in 1..=jobs {
        let job = submit_with_suspects(cluster, number, tasks_per_job, tasks_per_job);
        suspects.extend((0..tasks_per_job).map(|index| task(job, 0, index)));
    }
    suspects
}

/// Runs long-running tasks on all workers, which take the given share of each in thousandths of a
/// processor.
fn submit_standing(cluster: &mut Cluster, processors: u32) {
    let count = u32::try_from(cluster.workers.len()).unwrap();
    let standing = StepRequest {
        size: size(processors, 2),
        is_long_running: true,
        worker_limit: Some(1),
        ..step(count)
    };
    cluster.submit(10_000, vec![standing]);
    cluster.advance(Duration::from_secs(3));
    assert!(cluster.workers.values().all(|one| one.runs.len() == 1));
}

/// Returns the number of workers with a run of one of some tasks.
fn workers_with(cluster: &Cluster, tasks: &[TaskKey]) -> usize {
    let runs_one = |id: &&WorkerId| {
        let runs = &cluster.workers[*id].runs;
        tasks.iter().any(|task| runs.contains_key(task))
    };
    cluster.workers.keys().filter(runs_one).count()
}

/// A trial that found no worker made tasks of the same size wait that nobody suspects, beside workers
/// that were free for them (issue 47).
#[rstest]
#[case::of_another_job(true)]
#[case::of_the_same_step(false)]
fn unsuspected_task_starts_beside_a_trial_that_finds_no_worker(#[case] has_own_job: bool) {
    let mut cluster = Cluster::with_workers(4);
    // The runs have just started, so a crash beside them would show nothing.
    let fresh = StepRequest {
        worker_limit: Some(1),
        ..step(4)
    };
    cluster.submit(100, vec![fresh]);
    cluster.advance(STEP * 3);
    assert!(cluster.workers.values().all(|one| one.runs.len() == 1));
    let unsuspected = if has_own_job {
        submit_with_suspects(&mut cluster, 1, 1, 1);
        task(cluster.submit(2, vec![step(1)]), 0, 0)
    } else {
        task(submit_with_suspects(&mut cluster, 1, 2, 1), 0, 1)
    };
    cluster.advance(PROMPT_START);
    assert_eq!(cluster.starts_of(unsuspected).len(), 1);
    assert_eq!(cluster.starts_of(task(JobId(1), 0, 0)).len(), 0);
}

/// Accepted tasks waited for trials on a quarter of the workers while most of all capacity was idle
/// (issue 47).
#[rstest]
#[case::one_a_job(200, 1)]
#[case::eight_a_job(25, 8)]
fn suspects_are_cleared_soon_while_most_capacity_is_idle(
    #[case] jobs: u64,
    #[case] tasks_per_job: u32,
) {
    let mut cluster = Cluster::with_workers(48);
    submit_standing(&mut cluster, 5_000);
    let suspects = submit_suspects(&mut cluster, jobs, tasks_per_job);
    cluster.advance(CLEARING_TIME);
    let open = suspects
        .iter()
        .filter(|key| cluster.phase(key.job) != Some(JobPhase::Completed));
    assert_eq!(open.count(), 0);
}

/// Trials leave a quarter of the workers to tasks that nobody suspects, also while most capacity is
/// idle.
#[test]
fn unsuspected_task_starts_at_once_beside_many_trials() {
    let mut cluster = Cluster::with_workers(48);
    submit_standing(&mut cluster, 5_000);
    let suspects = submit_suspects(&mut cluster, 200, 1);
    for number in 0..30 {
        cluster.advance(Duration::from_millis(200));
        assert!(workers_with(&cluster, &suspects) <= 36);
        let job = cluster.submit(1_000 + number, vec![step(4)]);
        cluster.advance(PROMPT_START);
        for index in 0..4 {
            assert_eq!(cluster.starts_of(task(job, 0, index)).len(), 1);
        }
    }
}

/// While workers are busy, trials take a quarter of them at most.
#[test]
fn trials_take_a_quarter_of_busy_workers() {
    let mut cluster = Cluster::with_workers(48);
    submit_standing(&mut cluster, 20_000);
    let suspects = submit_suspects(&mut cluster, 100, 1);
    for _ in 0..50 {
        cluster.advance(Duration::from_millis(100));
        assert!(workers_with(&cluster, &suspects) <= 12);
    }
}

/// Trials of one job don't take more workers than a quarter at once, since all of its tasks may be at
/// fault.
#[test]
fn trials_of_one_job_take_a_quarter_of_idle_workers() {
    let mut cluster = Cluster::with_workers(48);
    let suspects = submit_suspects(&mut cluster, 1, 40);
    for _ in 0..50 {
        cluster.advance(Duration::from_millis(100));
        assert!(workers_with(&cluster, &suspects) <= 12);
    }
}
