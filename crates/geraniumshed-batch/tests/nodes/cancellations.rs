//! Cancellations that outlive their client, their node or the leader.

use std::time::Duration;

use geraniumshed_batch::{BatchNode, CallOutcome};
use geraniumshed_core::assignment::LeaseSnapshot;
use geraniumshed_core::job::{JobId, JobPhase};

use crate::support::{Node, Site, deadline, job, settled_leader, wait_for};

#[tokio::test]
async fn a_cancellation_survives_its_client_and_the_leader() {
    let site = Site::new();
    let nodes = site.spawn_nodes(2, 21_220).await;
    let id = JobId(60);
    // No worker is large enough for the job, so it stays queued.
    let mut waiting = job(1);
    waiting.steps[0].size.processors.0 = 1_000_000;
    nodes[0].service().submit(id, &waiting, deadline()).await;
    let queued = CallOutcome::Status(JobPhase::Queued);
    let first = nodes[0].service();
    wait_for(async || first.status(id, deadline()).await == queued).await;
    let leader = nodes.iter().position(BatchNode::is_leading).unwrap();
    let other = 1 - leader;
    let service = nodes[other].service();
    site.refuse([other]);
    nodes[leader].begin_stop();
    wait_for(async || !nodes[leader].is_leading()).await;
    let soon = tokio::time::Instant::now() + Duration::from_millis(400);
    assert_eq!(service.cancel(id, soon).await, CallOutcome::Undecided);
    site.refuse([]);
    let cancelled = CallOutcome::Status(JobPhase::Cancelled);
    wait_for(async || service.status(id, deadline()).await == cancelled).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cancellation_survives_the_node_that_accepted_it_and_the_leader() {
    let site = Site::new();
    site.hide_worker(true);
    let mut processes = site.spawn_processes(4, 21_260).await;
    let id = JobId(70);
    let first = processes[0].1.service();
    first.submit(id, &job(1), deadline()).await;
    let queued = CallOutcome::Status(JobPhase::Queued);
    wait_for(async || first.status(id, deadline()).await == queued).await;
    tokio::time::sleep(Duration::from_millis(700)).await;
    site.refuse(0..4);
    let is_leading = |(_, node): &(_, Node)| node.is_leading();
    let leader = processes.iter().position(is_leading).unwrap();
    let acceptor = (leader + 1) % processes.len();
    let soon = tokio::time::Instant::now() + Duration::from_millis(800);
    let outcome = processes[acceptor].1.service().cancel(id, soon).await;
    assert_eq!(outcome, CallOutcome::Undecided);
    for killed in [leader.max(acceptor), leader.min(acceptor)] {
        let (runtime, _) = processes.remove(killed);
        runtime.shutdown_background();
    }
    site.hide_worker(false);
    site.refuse([]);
    let cancelled = CallOutcome::Status(JobPhase::Cancelled);
    let survivor = processes[0].1.service();
    wait_for(async || survivor.status(id, deadline()).await == cancelled).await;
    assert_eq!(site.start_count(), 0);
    for (runtime, _) in processes {
        runtime.shutdown_background();
    }
}

// The last batch of a resigning leader holds only leases. Its confirmation must not acknowledge a
// cancellation, which would be lost with the leader's other changes.
#[tokio::test]
async fn cancellation_acknowledged_while_the_leader_resigns_is_not_lost() {
    let site = Site::new();
    site.fail_worker();
    let nodes = site.spawn_nodes(2, 21_480).await;
    let id = JobId(110);
    let leader = settled_leader(&nodes).await;
    let service = nodes[leader].service();
    service.submit(id, &job(1), deadline()).await;
    wait_for(async || {
        let snapshot = site.stored_leases().map(LeaseSnapshot::from);
        snapshot.is_some_and(|snapshot| !snapshot.silent.is_empty())
    })
    .await;
    let cancelling = tokio::spawn(async move { service.cancel(id, deadline()).await });
    // The leader handles the cancellation and the request to resign one right after the other, if
    // two tasks of the cancellation have run and the leader's task has not.
    tokio::task::yield_now().await;
    tokio::task::yield_now().await;
    nodes[leader].begin_stop();
    assert_eq!(cancelling.await.unwrap(), CallOutcome::Cancelled);
    let other = nodes[1 - leader].service();
    let status = other.status(id, deadline()).await;
    assert_eq!(status, CallOutcome::Status(JobPhase::Cancelled));
}
