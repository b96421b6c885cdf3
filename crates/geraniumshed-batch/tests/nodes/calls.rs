//! Clients' calls, on any node.

use std::time::Duration;

use geraniumshed_batch::{BatchNode, CallOutcome};
use geraniumshed_core::assignment::PlannerSettings;
use geraniumshed_core::job::{JobId, JobPhase};

use crate::support::{Node, Site, deadline, job, settled_leader, wait_for};

#[tokio::test]
async fn any_node_accepts_a_job_and_all_report_its_completion() {
    let site = Site::new();
    let nodes = site.spawn_nodes(3, 21_100).await;
    let id = JobId(7);
    let outcome = nodes[0].service().submit(id, &job(3), deadline()).await;
    assert_eq!(outcome, CallOutcome::Accepted);
    for node in &nodes {
        wait_for(async || {
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
    wait_for(async || {
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
    wait_for(async || text().lines().any(|one| one == count)).await;
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
    wait_for(async || {
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
async fn a_job_that_no_node_can_store_is_refused_quickly() {
    let site = Site::new();
    let nodes = site.spawn_nodes(1, 21_160).await;
    site.refuse([0]);
    let started = tokio::time::Instant::now();
    let outcome = nodes[0]
        .service()
        .submit(JobId(30), &job(1), deadline())
        .await;
    assert!(matches!(outcome, CallOutcome::Unavailable(_)));
    assert!(started.elapsed() < Duration::from_secs(1));
    site.refuse([]);
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(site.start_count(), 0);
}

// Clients keep open connections to a node until its process ends, so it has to learn who leads after
// it has resigned.
#[tokio::test]
async fn stopping_leader_answers_calls_through_its_successor() {
    let site = Site::new();
    let nodes = site.spawn_nodes(3, 21_500).await;
    let id = JobId(120);
    let leader = settled_leader(&nodes).await;
    let service = nodes[leader].service();
    service.submit(id, &job(1), deadline()).await;
    let completed = CallOutcome::Status(JobPhase::Completed);
    wait_for(async || service.status(id, deadline()).await == completed).await;
    nodes[leader].begin_stop();
    let soon = tokio::time::Instant::now() + Duration::from_millis(1500);
    assert_eq!(service.status(id, soon).await, completed);
    // The successor resigns as well.
    wait_for(async || nodes.iter().any(BatchNode::is_leading)).await;
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
    let is_leading = |(_, node): &(_, Node)| node.is_leading();
    wait_for(async || processes.iter().any(is_leading)).await;
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
