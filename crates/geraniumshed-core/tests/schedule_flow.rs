//! Tests of jobs and services from their records to the end of their tasks, without faults.

mod schedule_support;

use std::time::Duration;

use geraniumshed_core::schedule::SchedulerSettings;
use geraniumshed_model::prelude::*;
use schedule_support::FakeCluster;
use schedule_support::fake_worker::FakeWorker;
use schedule_support::fixture::{job, service, task, workers};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn job_runs_to_its_end() {
    let mut cluster = started(3);
    cluster.publish("shift-plans", RecordSpec::Job(job(30, 2, false)));
    cluster.run(60 * SECOND);
    let runs = cluster.runs("shift-plans");
    assert_eq!(runs.len(), 30, "each task runs once");
    assert!(
        runs.iter()
            .all(|run| run.outcome == Some(TaskOutcome::Completed))
    );
    let job: RecordName = "shift-plans".parse().expect("a valid name");
    assert_eq!(cluster.progress.get(&job), Some(&(30, 0)));
    assert_no_violation(&cluster);
}

#[test]
fn replicas_are_published_and_spread() {
    let mut cluster = started(6);
    cluster.publish("bookings", RecordSpec::Service(service(6, 2)));
    cluster.run(5 * SECOND);
    let endpoints = cluster.ready_endpoints("bookings");
    assert_eq!(endpoints.len(), 6);
    for zone in ["zone-0", "zone-1", "zone-2"] {
        let here = endpoints.iter().filter(|e| e.zone.as_str() == zone);
        assert_eq!(here.count(), 2, "{zone} has a third of the replicas");
    }
    assert_no_violation(&cluster);
}

#[test]
fn drain_replaces_replicas_first_and_resumes_batch_tasks() {
    let mut cluster = started(3);
    cluster.publish("bookings", RecordSpec::Service(service(3, 2)));
    cluster.publish(
        "regrade",
        RecordSpec::Job(JobSpec {
            command: "run=60s".into(),
            ..job(6, 2, false)
        }),
    );
    cluster.run(10 * SECOND);
    let drain = DrainSpec {
        scope: DrainScope::Vm("worker-0".parse().expect("a valid id")),
    };
    cluster.publish("worker-0", RecordSpec::Drain(drain));
    for _ in 0..300 {
        cluster.run(SECOND / 10);
        let ready = cluster.ready_endpoints("bookings").len();
        assert!(ready >= 3, "a replacement is ready before a replica leaves");
    }
    cluster.run(120 * SECOND);
    let drained = &cluster.workers[&"worker-0".parse::<VmId>().expect("a valid id")];
    assert_eq!(drained.live_count(), 0);
    for index in 0..6 {
        assert_resumed_once(&cluster, &task("regrade", 1, index));
    }
    assert_no_violation(&cluster);
}

#[test]
fn job_is_cancelled_with_one_event() {
    let mut cluster = started(2);
    cluster.publish(
        "regrade",
        RecordSpec::Job(JobSpec {
            command: "run=600s".into(),
            ..job(500, 1, true)
        }),
    );
    cluster.run(2 * SECOND);
    let entries = cluster.log.len();
    cluster.publish(
        "regrade",
        RecordSpec::Cancel(CancelSpec {
            generation: RecordGeneration(1),
        }),
    );
    cluster.run(10 * SECOND);
    let job: RecordName = "regrade".parse().expect("a valid name");
    assert_eq!(cluster.progress.get(&job), Some(&(0, 500)));
    let appended = &cluster.log[entries..];
    let cancels = appended
        .iter()
        .flat_map(|batch| &batch.events)
        .filter(|event| matches!(event, ShardEvent::Cancelled { .. }));
    assert_eq!(cancels.count(), 1);
    let live: usize = cluster.workers.values().map(FakeWorker::live_count).sum();
    assert_eq!(live, 0);
}

#[test]
fn infeasible_job_does_not_block_others() {
    let mut cluster = started(2);
    cluster.publish("giant", RecordSpec::Job(job(1, 64, true)));
    cluster.publish("small", RecordSpec::Job(job(4, 2, true)));
    cluster.run(30 * SECOND);
    assert_eq!(cluster.runs("small").len(), 4);
    let status = cluster.ready_owner().status();
    assert_eq!(status.waiting.len(), 1);
    let reason = status.waiting[0].reason.to_string();
    assert!(reason.starts_with("infeasible"), "{reason}");
}

fn started(count: u32) -> FakeCluster {
    let mut cluster = FakeCluster::new(SchedulerSettings::default(), workers(count));
    cluster.take_over();
    cluster.run_until_idle();
    cluster
}

fn assert_no_violation(cluster: &FakeCluster) {
    for worker in cluster.workers.values() {
        assert!(worker.violations.is_empty(), "{:?}", worker.violations);
    }
}

/// Asserts that each run of a task resumes after the progress of the previous run.
fn assert_resumed_once(cluster: &FakeCluster, task: &TaskId) {
    let runs = cluster.runs(task.record.as_str());
    let runs: Vec<_> = runs.iter().filter(|run| run.task == *task).collect();
    let last = runs.last().expect("the task ran");
    assert_eq!(last.outcome, Some(TaskOutcome::Completed), "{runs:?}");
    for pair in runs.windows(2) {
        assert!(pair[0].attempt < pair[1].attempt);
        assert!(pair[1].resumed_at > pair[0].resumed_at, "{runs:?}");
    }
}
