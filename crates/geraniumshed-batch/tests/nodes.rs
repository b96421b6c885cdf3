//! Runs nodes with an in-memory store, worker and configuration.

mod support;

use std::time::Duration;

use bytes::Bytes;
use geraniumshed_batch::topic::WAITS_KEY;
use geraniumshed_batch::wire::LeaseSnapshotWire;
use geraniumshed_batch::{BatchNode, CallOutcome};
use geraniumshed_core::assignment::{LeaseSnapshot, PlannerSettings};
use geraniumshed_core::job::{JobId, JobPhase, JobRequest, StepRequest};
use geraniumshed_core::leadership::LeaderTerm;
use geraniumshed_model::prelude::ProcessorShare;
use support::{Site, deadline, job};

#[tokio::test]
async fn any_node_accepts_a_job_and_all_report_its_completion() {
    let site = Site::new();
    let nodes = site.spawn_nodes(3, 21_100).await;
    let id = JobId(7);
    let outcome = nodes[0].service().submit(id, &job(3), deadline()).await;
    assert_eq!(outcome, CallOutcome::Accepted);
    for node in &nodes {
        support::wait_for(async || {
            node.service().status(id, deadline()).await == CallOutcome::Status(JobPhase::Completed)
        })
        .await;
    }
    assert_eq!(site.start_count(), 3);
}

#[tokio::test]
async fn metrics_count_calls_and_planner_decisions() {
    let site = Site::new();
    let nodes = site.spawn_nodes(1, 21_110).await;
    let id = JobId(7);
    nodes[0].service().submit(id, &job(3), deadline()).await;
    let service = nodes[0].service();
    support::wait_for(async || {
        service.status(id, deadline()).await == CallOutcome::Status(JobPhase::Completed)
    })
    .await;
    let text = nodes[0].metrics().text();
    for line in [
        "geraniumshed_calls_total{call=\"Submit\",outcome=\"accepted\"} 1",
        "geraniumshed_placements_total 3",
        "geraniumshed_ended_jobs_total{phase=\"completed\",in_time=\"yes\"} 1",
        "geraniumshed_leading 1",
    ] {
        assert!(text.lines().any(|one| one == line), "{line} in {text}");
    }
}

#[tokio::test]
async fn metrics_count_lost_workers() {
    let site = Site::new();
    site.fail_worker();
    let nodes = site.spawn_nodes(1, 21_340).await;
    nodes[0]
        .service()
        .submit(JobId(7), &job(1), deadline())
        .await;
    let count = "geraniumshed_worker_loss_seconds_count 1";
    let text = || nodes[0].metrics().text();
    support::wait_for(async || text().lines().any(|one| one == count)).await;
    let sum = text().lines().find_map(|line| {
        line.strip_prefix("geraniumshed_worker_loss_seconds_sum ")?
            .parse()
            .ok()
    });
    let waited: f64 = sum.unwrap();
    let lease = PlannerSettings::default().lease.as_secs_f64();
    assert!(waited >= lease, "{waited} of {lease}");
    assert!(text().contains("geraniumshed_lost_runs_total{reason=\"lease ran out\"} 1"));
}

#[tokio::test]
async fn a_resubmitted_job_runs_once_and_an_unknown_job_is_unknown() {
    let site = Site::new();
    let nodes = site.spawn_nodes(2, 21_120).await;
    let id = JobId(8);
    for node in &nodes {
        let outcome = node.service().submit(id, &job(2), deadline()).await;
        assert_eq!(outcome, CallOutcome::Accepted);
    }
    let service = nodes[1].service();
    support::wait_for(async || {
        service.status(id, deadline()).await == CallOutcome::Status(JobPhase::Completed)
    })
    .await;
    assert_eq!(
        service.submit(id, &job(2), deadline()).await,
        CallOutcome::Accepted
    );
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(site.start_count(), 2);
    assert_eq!(
        service.status(JobId(9), deadline()).await,
        CallOutcome::Unknown
    );
    assert_eq!(
        service.cancel(JobId(9), deadline()).await,
        CallOutcome::Unknown
    );
}

#[tokio::test]
async fn a_node_without_the_store_stores_jobs_through_another() {
    let site = Site::new();
    let nodes = site.spawn_nodes(2, 21_140).await;
    let warm_up = nodes[1]
        .service()
        .submit(JobId(1), &job(1), deadline())
        .await;
    assert_eq!(warm_up, CallOutcome::Accepted);
    for (index, node) in nodes.iter().enumerate() {
        site.refuse([index]);
        let id = JobId(20 + index as u64);
        let outcome = node.service().submit(id, &job(1), deadline()).await;
        assert_eq!(outcome, CallOutcome::Accepted, "node {index}");
    }
}

#[tokio::test]
async fn a_node_without_the_store_learns_the_new_leader_from_its_peers() {
    let site = Site::new();
    let nodes = site.spawn_nodes(3, 21_200).await;
    let id = JobId(50);
    nodes[0].service().submit(id, &job(1), deadline()).await;
    support::wait_for(async || site.start_count() == 1).await;
    let leader = support::settled_leader(&nodes).await;
    let refused = (leader + 1) % nodes.len();
    site.refuse([refused]);
    nodes[leader].begin_stop();
    let service = nodes[refused].service();
    let completed = CallOutcome::Status(JobPhase::Completed);
    support::wait_for(async || service.status(id, deadline()).await == completed).await;
    let new_leader = nodes.iter().position(BatchNode::is_leading);
    assert_eq!(new_leader, Some((leader + 2) % nodes.len()));
}

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
    support::wait_for(async || first.status(id, deadline()).await == queued).await;
    let leader = nodes.iter().position(BatchNode::is_leading).unwrap();
    let other = 1 - leader;
    let service = nodes[other].service();
    site.refuse([other]);
    nodes[leader].begin_stop();
    support::wait_for(async || !nodes[leader].is_leading()).await;
    let soon = tokio::time::Instant::now() + Duration::from_millis(400);
    assert_eq!(service.cancel(id, soon).await, CallOutcome::Undecided);
    site.refuse([]);
    let cancelled = CallOutcome::Status(JobPhase::Cancelled);
    support::wait_for(async || service.status(id, deadline()).await == cancelled).await;
}

#[tokio::test]
async fn a_job_that_no_node_can_store_is_refused_quickly() {
    let site = Site::new();
    let nodes = site.spawn_nodes(1, 21_160).await;
    site.refuse([0]);
    let started = tokio::time::Instant::now();
    let outcome = nodes[0]
        .service()
        .submit(JobId(30), &job(1), deadline())
        .await;
    assert_eq!(outcome, CallOutcome::Unavailable);
    assert!(started.elapsed() < Duration::from_secs(1));
    site.refuse([]);
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(site.start_count(), 0);
}

#[tokio::test]
async fn a_new_leader_runs_jobs_after_the_leader_stops() {
    let site = Site::new();
    let nodes = site.spawn_nodes(2, 21_180).await;
    let id = JobId(40);
    nodes[0].service().submit(id, &job(1), deadline()).await;
    support::wait_for(async || site.start_count() == 1).await;
    for node in &nodes {
        if node.is_leading() {
            node.begin_stop();
            break;
        }
    }
    let other = JobId(41);
    let outcome = nodes[1].service().submit(other, &job(2), deadline()).await;
    assert_eq!(outcome, CallOutcome::Accepted);
    support::wait_for(async || site.start_count() == 3).await;
}

#[tokio::test]
async fn nodes_without_the_store_get_a_configuration_from_a_peer() {
    let site = Site::new();
    let nodes = site.spawn_nodes(3, 21_240).await;
    let leader = support::settled_leader(&nodes).await;
    let follower = (leader + 1) % nodes.len();
    site.refuse([leader, follower]);
    site.publish(2);
    let published = tokio::time::Instant::now();
    let in_force = |node: &support::Node| node.service().config().map(|one| one.version.0);
    support::wait_for(async || nodes.iter().all(|node| in_force(node) == Some(2))).await;
    let taken = published.elapsed();
    assert!(taken < Duration::from_millis(1500), "taken {taken:?}");
}

// The leader passes configurations on, so its loss must not hold one up beyond the users' bound.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn configuration_is_in_force_in_time_if_the_leader_is_lost_meanwhile() {
    let site = Site::new();
    let mut processes = site.spawn_processes(4, 21_540).await;
    let is_leading = |(_, node): &(_, support::Node)| node.is_leading();
    support::wait_for(async || processes.iter().any(is_leading)).await;
    tokio::time::sleep(Duration::from_millis(700)).await;
    let leader = processes.iter().position(is_leading).unwrap();
    let (runtime, _) = processes.remove(leader);
    site.publish(2);
    let published = tokio::time::Instant::now();
    runtime.shutdown_background();
    let version = |node: &support::Node| node.service().config().map(|one| one.version.0);
    let in_force = || processes.iter().all(|(_, node)| version(node) == Some(2));
    support::wait_for(async || in_force()).await;
    let taken = published.elapsed();
    assert!(taken < Duration::from_secs(3), "taken {taken:?}");
    for (runtime, _) in processes {
        runtime.shutdown_background();
    }
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
    support::wait_for(async || first.status(id, deadline()).await == queued).await;
    tokio::time::sleep(Duration::from_millis(700)).await;
    site.refuse(0..4);
    let is_leading = |(_, node): &(_, support::Node)| node.is_leading();
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
    support::wait_for(async || survivor.status(id, deadline()).await == cancelled).await;
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
    let leader = support::settled_leader(&nodes).await;
    let service = nodes[leader].service();
    service.submit(id, &job(1), deadline()).await;
    support::wait_for(async || {
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

// Clients keep open connections to a node until its process ends, so it has to learn who leads after
// it has resigned.
#[tokio::test]
async fn stopping_leader_answers_calls_through_its_successor() {
    let site = Site::new();
    let nodes = site.spawn_nodes(3, 21_500).await;
    let id = JobId(120);
    let leader = support::settled_leader(&nodes).await;
    let service = nodes[leader].service();
    service.submit(id, &job(1), deadline()).await;
    let completed = CallOutcome::Status(JobPhase::Completed);
    support::wait_for(async || service.status(id, deadline()).await == completed).await;
    nodes[leader].begin_stop();
    let soon = tokio::time::Instant::now() + Duration::from_millis(1500);
    assert_eq!(service.status(id, soon).await, completed);
    // The successor resigns as well.
    support::wait_for(async || nodes.iter().any(BatchNode::is_leading)).await;
    let next = nodes.iter().position(BatchNode::is_leading).unwrap();
    tokio::time::sleep(Duration::from_millis(700)).await;
    nodes[next].begin_stop();
    let soon = tokio::time::Instant::now() + Duration::from_millis(1500);
    assert_eq!(service.status(id, soon).await, completed);
}

// Other nodes store jobs while the leader is frozen. When it wakes, it must not answer from what it
// knew before.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leader_that_wakes_knows_the_jobs_that_were_stored_meanwhile() {
    let site = Site::new();
    site.hide_worker(true);
    let processes = site.spawn_processes(2, 21_520).await;
    let is_leading = |(_, node): &(_, support::Node)| node.is_leading();
    support::wait_for(async || processes.iter().any(is_leading)).await;
    let leader = processes.iter().position(is_leading).unwrap();
    let (runtime, node) = &processes[leader];
    let (id, service) = (JobId(130), node.service());
    let woken = runtime.spawn(async move {
        std::thread::sleep(Duration::from_secs(3));
        let pending = service.pending(&"q".into(), deadline()).await;
        (pending, service.status(id, deadline()).await)
    });
    let other = processes[1 - leader].1.service();
    let outcome = other.submit(id, &job(1), deadline()).await;
    assert_eq!(outcome, CallOutcome::Accepted);
    let (pending, status) = woken.await.unwrap();
    assert_eq!(pending, CallOutcome::Pending(1));
    assert_eq!(status, CallOutcome::Status(JobPhase::Queued));
    for (runtime, _) in processes {
        runtime.shutdown_background();
    }
}

#[tokio::test]
async fn a_leader_on_a_small_vm_yields_to_a_node_on_a_much_larger_one() {
    let site = Site::new();
    let small = site.spawn_sized(0, 21_280, 100).await;
    support::wait_for(async || small.is_leading()).await;
    let equal = site.spawn_sized(1, 21_280, 150).await;
    tokio::time::sleep(Duration::from_secs(4)).await;
    assert!(small.is_leading());
    let large = site.spawn_sized(2, 21_280, 400).await;
    support::wait_for(async || large.is_leading()).await;
    assert!(!small.is_leading() && !equal.is_leading());
    let id = JobId(80);
    let outcome = equal.service().submit(id, &job(2), deadline()).await;
    assert_eq!(outcome, CallOutcome::Accepted);
    support::wait_for(async || site.start_count() == 2).await;
}

// A node that gets no answer from the leader claims to lead if the leader isn't in the group either,
// so a leader that only joined after a long takeover could be replaced during it.
#[tokio::test]
async fn a_leader_is_in_the_group_during_its_takeover() {
    let site = Site::new();
    let nodes = site.spawn_nodes(2, 21_300).await;
    let stopped = support::settled_leader(&nodes).await;
    let next = 1 - stopped;
    site.delay_takeover(Duration::from_secs(10));
    nodes[stopped].begin_stop();
    support::wait_for(async || nodes[next].is_leading()).await;
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
    support::wait_for(async || site.start_count() == 1).await;
    let stopped = support::settled_leader(&nodes).await;
    site.delay_takeover(Duration::from_secs(2));
    nodes[stopped].begin_stop();
    let started = tokio::time::Instant::now();
    let service = nodes[(stopped + 1) % 3].service();
    let completed = CallOutcome::Status(JobPhase::Completed);
    support::wait_for(async || service.status(id, deadline()).await == completed).await;
    let taken = started.elapsed();
    assert!(taken < Duration::from_millis(4500), "taken {taken:?}");
}

// Guards against a takeover that loses the stored leases, after which each leader waits for the
// longest lease of a silent worker anew.
#[tokio::test]
async fn a_new_leader_continues_the_wait_for_a_silent_worker() {
    let site = Site::new();
    let nodes = site.spawn_nodes(2, 21_360).await;
    let stopped = support::settled_leader(&nodes).await;
    site.fail_worker();
    nodes[0]
        .service()
        .submit(JobId(95), &job(1), deadline())
        .await;
    let is_silent = |wire: &LeaseSnapshotWire| !LeaseSnapshot::from(wire.clone()).silent.is_empty();
    support::wait_for(async || site.stored_leases().as_ref().is_some_and(is_silent)).await;
    let first = site.stored_leases().unwrap();
    assert_eq!(first.term(), LeaderTerm(1));
    tokio::time::sleep(Duration::from_secs(1)).await;
    nodes[stopped].begin_stop();
    let is_later = |wire: &LeaseSnapshotWire| wire.term() > first.term();
    support::wait_for(async || site.stored_leases().as_ref().is_some_and(is_later)).await;
    let second = site.stored_leases().unwrap();
    let remaining = |wire: LeaseSnapshotWire| LeaseSnapshot::from(wire).silent[0].remaining;
    assert!(remaining(second) < remaining(first));
}

// Guards against a takeover that loses since when a long-running task waits for a worker.
#[tokio::test]
async fn a_new_leader_continues_the_wait_of_a_long_running_task() {
    let site = Site::new();
    let nodes = site.spawn_nodes(2, 21_380).await;
    let stopped = support::settled_leader(&nodes).await;
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
    support::wait_for(async || site.stored_waits().is_some()).await;
    let first = site.stored_waits().unwrap();
    assert_eq!(first.steps.len(), 1);
    tokio::time::sleep(Duration::from_secs(1)).await;
    nodes[stopped].begin_stop();
    let service = nodes[(stopped + 1) % 2].service();
    service.submit(JobId(97), &job(1), deadline()).await;
    let completed = CallOutcome::Status(JobPhase::Completed);
    support::wait_for(async || service.status(JobId(97), deadline()).await == completed).await;
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
    support::wait_for(async || service.status(JobId(98), deadline()).await == completed).await;
}
