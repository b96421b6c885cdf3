//! Elections, takeovers and what a new leader continues.

use std::time::Duration;

use bytes::Bytes;
use geraniumshed_batch::store::TopicName;
use geraniumshed_batch::topic::{PROGRESS, REQUESTS, WAITS_KEY};
use geraniumshed_batch::wire::{LeaseSnapshotWire, StoredJobWire, encode};
use geraniumshed_batch::{BatchNode, CallOutcome};
use geraniumshed_core::assignment::LeaseSnapshot;
use geraniumshed_core::job::{JobId, JobPhase, JobRequest, StepRequest, StoredJob};
use geraniumshed_core::leadership::LeaderTerm;
use geraniumshed_model::prelude::ProcessorShare;
use rstest::rstest;
use smol_str::ToSmolStr;

use crate::support::{Site, deadline, job, settled_leader, wait_for};

/// How old the topics are that an outdated store shows.
const OUTDATED_AGE: Duration = Duration::from_millis(1_500);

#[tokio::test]
async fn a_node_without_the_store_learns_the_new_leader_from_its_peers() {
    let site = Site::new();
    let nodes = site.spawn_nodes(3, 21_200).await;
    let id = JobId(50);
    nodes[0].service().submit(id, &job(1), deadline()).await;
    wait_for(async || site.start_count() == 1).await;
    let leader = settled_leader(&nodes).await;
    let refused = (leader + 1) % nodes.len();
    site.refuse([refused]);
    nodes[leader].begin_stop();
    let service = nodes[refused].service();
    let completed = CallOutcome::Status(JobPhase::Completed);
    wait_for(async || service.status(id, deadline()).await == completed).await;
    let new_leader = nodes.iter().position(BatchNode::is_leading);
    assert_eq!(new_leader, Some((leader + 2) % nodes.len()));
}

#[tokio::test]
async fn a_new_leader_runs_jobs_after_the_leader_stops() {
    let site = Site::new();
    let nodes = site.spawn_nodes(2, 21_180).await;
    let id = JobId(40);
    nodes[0].service().submit(id, &job(1), deadline()).await;
    wait_for(async || site.start_count() == 1).await;
    for node in &nodes {
        if node.is_leading() {
            node.begin_stop();
            break;
        }
    }
    let other = JobId(41);
    let outcome = nodes[1].service().submit(other, &job(2), deadline()).await;
    assert_eq!(outcome, CallOutcome::Accepted);
    wait_for(async || site.start_count() == 3).await;
}

// Guards against tasks that a new leader starts a second time, because the store shows it the topics
// as they were before the last changes of the leader before.
#[rstest]
#[case::all_topics(&[REQUESTS, PROGRESS], 21_620)]
#[case::progress(&[PROGRESS], 21_640)]
#[case::requests(&[REQUESTS], 21_660)]
#[tokio::test]
async fn takeover_from_outdated_topics_starts_no_task_again(
    #[case] outdated: &[TopicName],
    #[case] first_port: u16,
) {
    let site = Site::new();
    let nodes = site.spawn_nodes(2, first_port).await;
    let leader = settled_leader(&nodes).await;
    let id = JobId(150);
    let service = nodes[1 - leader].service();
    service.submit(id, &job(3), deadline()).await;
    let completed = CallOutcome::Status(JobPhase::Completed);
    wait_for(async || service.status(id, deadline()).await == completed).await;
    site.outdate(outdated, OUTDATED_AGE);
    nodes[leader].begin_stop();
    wait_for(async || nodes[1 - leader].is_leading()).await;
    tokio::time::sleep(OUTDATED_AGE).await;
    wait_for(async || service.status(id, deadline()).await == completed).await;
    assert_eq!(site.started_runs(), [1, 1, 1]);
}

// Guards against a cluster that never gets a leader again, because the store has lost a request.
#[tokio::test]
async fn node_leads_although_a_started_job_has_no_request() {
    let site = Site::new();
    let started = StoredJob {
        phase: JobPhase::Running,
        ..StoredJob::cancelled(0)
    };
    let id = JobId(170);
    site.put_progress(id.to_smolstr(), encode(&StoredJobWire::from(started)));
    let nodes = site.spawn_nodes(1, 21_700).await;
    let other = JobId(171);
    let service = nodes[0].service();
    service.submit(other, &job(1), deadline()).await;
    wait_for(async || site.start_count() == 1).await;
}

// Guards against an old job that runs again, because its request could not be deleted and its progress
// was: the next leader takes it for a new job.
#[tokio::test]
async fn job_whose_request_outlives_its_retention_is_not_run_again() {
    let site = Site::new();
    site.forget_jobs_without_requests();
    let nodes = site.spawn_nodes(2, 21_680).await;
    let leader = settled_leader(&nodes).await;
    let id = JobId(160);
    let service = nodes[1 - leader].service();
    service.submit(id, &job(1), deadline()).await;
    wait_for(async || site.start_count() == 1).await;
    let unknown = CallOutcome::Unknown;
    wait_for(async || service.status(id, deadline()).await == unknown).await;
    nodes[leader].begin_stop();
    wait_for(async || nodes[1 - leader].is_leading()).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(site.started_runs(), [1]);
}

// A leader that resigns orders what it has placed. Otherwise, the capacity stays reserved until the
// successor has found out that the runs don't exist.
#[tokio::test]
async fn resigning_leader_orders_the_placements_that_are_being_stored() {
    let site = Site::new();
    let nodes = site.spawn_nodes(2, 21_560).await;
    let leader = settled_leader(&nodes).await;
    site.delay_progress(Duration::from_millis(60));
    let id = JobId(140);
    let service = nodes[1 - leader].service();
    service.submit(id, &job(1), deadline()).await;
    wait_for(async || site.is_appending(&id.to_string())).await;
    nodes[leader].begin_stop();
    let completed = CallOutcome::Status(JobPhase::Completed);
    wait_for(async || service.status(id, deadline()).await == completed).await;
    assert_eq!(site.started_runs(), [1]);
}

#[tokio::test]
async fn a_leader_on_a_small_vm_yields_to_a_node_on_a_much_larger_one() {
    let site = Site::new();
    let small = site.spawn_sized(0, 21_280, 100).await;
    wait_for(async || small.is_leading()).await;
    let equal = site.spawn_sized(1, 21_280, 150).await;
    tokio::time::sleep(Duration::from_secs(4)).await;
    assert!(small.is_leading());
    let large = site.spawn_sized(2, 21_280, 400).await;
    wait_for(async || large.is_leading()).await;
    assert!(!small.is_leading() && !equal.is_leading());
    let id = JobId(80);
    let outcome = equal.service().submit(id, &job(2), deadline()).await;
    assert_eq!(outcome, CallOutcome::Accepted);
    wait_for(async || site.start_count() == 2).await;
}

// A node that gets no answer from the leader claims to lead if the leader isn't in the group either,
// so a leader that only joined after a long takeover could be replaced during it.
#[tokio::test]
async fn a_leader_is_in_the_group_during_its_takeover() {
    let site = Site::new();
    let nodes = site.spawn_nodes(2, 21_300).await;
    let stopped = settled_leader(&nodes).await;
    let next = 1 - stopped;
    site.delay_takeover(Duration::from_secs(10));
    nodes[stopped].begin_stop();
    wait_for(async || nodes[next].is_leading()).await;
    let name = format!("d-{next}");
    let soon = tokio::time::Instant::now() + Duration::from_secs(2);
    while !site.members().iter().any(|member| member.contains(&name)) {
        assert!(
            tokio::time::Instant::now() < soon,
            "the new leader isn't in the group"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test]
async fn a_slow_store_only_delays_a_takeover() {
    let site = Site::new();
    let nodes = site.spawn_nodes(3, 21_320).await;
    let id = JobId(90);
    nodes[0].service().submit(id, &job(1), deadline()).await;
    wait_for(async || site.start_count() == 1).await;
    let stopped = settled_leader(&nodes).await;
    site.delay_takeover(Duration::from_secs(2));
    nodes[stopped].begin_stop();
    let started = tokio::time::Instant::now();
    let service = nodes[(stopped + 1) % 3].service();
    let completed = CallOutcome::Status(JobPhase::Completed);
    wait_for(async || service.status(id, deadline()).await == completed).await;
    let taken = started.elapsed();
    assert!(taken < Duration::from_millis(4500), "taken {taken:?}");
}

// Guards against a takeover that loses the stored leases, after which each leader waits for the
// longest lease of a silent worker anew.
#[tokio::test]
async fn a_new_leader_continues_the_wait_for_a_silent_worker() {
    let site = Site::new();
    let nodes = site.spawn_nodes(2, 21_360).await;
    let stopped = settled_leader(&nodes).await;
    site.fail_worker();
    nodes[0]
        .service()
        .submit(JobId(95), &job(1), deadline())
        .await;
    let is_silent = |wire: &LeaseSnapshotWire| !LeaseSnapshot::from(wire.clone()).silent.is_empty();
    wait_for(async || site.stored_leases().as_ref().is_some_and(is_silent)).await;
    let first = site.stored_leases().unwrap();
    assert_eq!(first.term(), LeaderTerm(1));
    tokio::time::sleep(Duration::from_secs(1)).await;
    nodes[stopped].begin_stop();
    let is_later = |wire: &LeaseSnapshotWire| wire.term() > first.term();
    wait_for(async || site.stored_leases().as_ref().is_some_and(is_later)).await;
    let second = site.stored_leases().unwrap();
    let remaining = |wire: LeaseSnapshotWire| LeaseSnapshot::from(wire).silent[0].remaining;
    assert!(remaining(second) < remaining(first));
}

// Guards against a takeover that loses since when a long-running task waits for a worker.
#[tokio::test]
async fn a_new_leader_continues_the_wait_of_a_long_running_task() {
    let site = Site::new();
    let nodes = site.spawn_nodes(2, 21_380).await;
    let stopped = settled_leader(&nodes).await;
    let mut too_large = StepRequest {
        is_long_running: true,
        task_count: 1,
        ..StepRequest::default()
    };
    too_large.size.processors = ProcessorShare(1_000_000);
    let request = JobRequest {
        steps: vec![too_large],
        ..job(1)
    };
    let service = nodes[0].service();
    service.submit(JobId(96), &request, deadline()).await;
    wait_for(async || site.stored_waits().is_some()).await;
    let first = site.stored_waits().unwrap();
    assert_eq!(first.steps.len(), 1);
    tokio::time::sleep(Duration::from_secs(1)).await;
    nodes[stopped].begin_stop();
    let service = nodes[(stopped + 1) % 2].service();
    service.submit(JobId(97), &job(1), deadline()).await;
    let completed = CallOutcome::Status(JobPhase::Completed);
    wait_for(async || service.status(JobId(97), deadline()).await == completed).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(site.stored_waits(), Some(first));
}

// Guards against a leader that fails on a record of another build.
#[tokio::test]
async fn a_leader_ignores_waits_that_it_can_not_decode() {
    let site = Site::new();
    site.put_progress(WAITS_KEY, Bytes::from_static(&[2, 200, 200]));
    site.put_progress("of a later build".into(), Bytes::from_static(&[1]));
    let nodes = site.spawn_nodes(1, 21_400).await;
    let service = nodes[0].service();
    service.submit(JobId(98), &job(1), deadline()).await;
    let completed = CallOutcome::Status(JobPhase::Completed);
    wait_for(async || service.status(JobId(98), deadline()).await == completed).await;
}
