//! Nodes that call workers on behalf of the leader.

use std::net::SocketAddr;
use std::time::Duration;

use geraniumshed_batch::CallOutcome;
use geraniumshed_batch::clock::unix_millis;
use geraniumshed_batch::courier::{CourierOrder, CourierReply};
use geraniumshed_batch::peer::PeerPool;
use geraniumshed_batch::wire::{CourierCallWire, CourierRequestWire};
use geraniumshed_core::job::{JobId, JobPhase, TaskKey, WorkerId};
use geraniumshed_core::worker::{
    FenceToken, StartOrder, StartReply, WorkerCall, WorkerFailure, WorkerTime,
};
use rstest::rstest;

use crate::support::{Node, Site, deadline, job, settled_leader, wait_for};

/// The time within which a courier has to answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(1);

/// A leader's clocks, in milliseconds.
#[derive(Debug, Clone, Copy)]
struct SentTime {
    monotonic: u64,
    system: u64,
}

impl SentTime {
    fn now() -> Self {
        Self {
            monotonic: 50_000,
            system: unix_millis(),
        }
    }
}

/// Returns a request to start as many tasks as there are numbers.
fn start_request(numbers: &[u64], sent: SentTime) -> CourierRequestWire {
    let calls = numbers.iter().map(|number| {
        let order = StartOrder {
            task: TaskKey {
                job: JobId(*number),
                occurrence: 0,
                step: 0,
                index: 0,
            },
            run: 1,
            payload: "p".into(),
            deadline: WorkerTime(1_000_000),
            checkpoint: None,
            ticket: None,
        };
        let call = WorkerCall {
            worker: WorkerId("w".into()),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            process: None,
            token: FenceToken(1),
            body: CourierOrder::Start(order),
        };
        (*number, CourierCallWire::from(call))
    });
    CourierRequestWire {
        session: 7,
        sent_ms: sent.monotonic,
        sent_unix_ms: sent.system,
        calls: calls.collect(),
    }
}

/// Passes calls to a node, and returns the answers that it knows.
async fn exchange(node: &Node, request: CourierRequestWire) -> Vec<(u64, CourierReply)> {
    let pool = PeerPool::default();
    let answer = pool.call_workers(node.address(), request, ANSWER_LIMIT);
    let replies = answer.await.unwrap().replies.into_iter();
    replies
        .map(|(number, reply)| (number, reply.into()))
        .collect()
}

#[tokio::test]
async fn courier_calls_the_worker_and_passes_the_answer_back() {
    let site = Site::new();
    let nodes = site.spawn_nodes(1, 21_900).await;
    let sent = SentTime::now();
    let mut replies = exchange(&nodes[0], start_request(&[3], sent)).await;
    if replies.is_empty() {
        replies = exchange(&nodes[0], start_request(&[], sent)).await;
    }
    assert_eq!(
        replies,
        [(3, CourierReply::Started(Ok(StartReply::Started.into())))]
    );
    assert_eq!(site.start_count(), 1);
}

// Guards against starts that a courier carries out after it stood still, when the leader has given them
// up.
#[rstest]
#[case::monotonic_clock(21_905, 1_500, 0)]
#[case::system_clock(21_910, 0, 1_500)]
#[tokio::test]
async fn outdated_calls_start_nothing(
    #[case] port: u16,
    #[case] monotonic_age: u64,
    #[case] system_age: u64,
) {
    let site = Site::new();
    let nodes = site.spawn_nodes(1, port).await;
    let sent = SentTime::now();
    assert_eq!(exchange(&nodes[0], start_request(&[], sent)).await, []);
    let late = SentTime {
        monotonic: sent.monotonic - monotonic_age,
        system: unix_millis() - system_age,
    };
    let replies = exchange(&nodes[0], start_request(&[4], late)).await;
    let refused = CourierReply::Started(Err(WorkerFailure::NotSent));
    assert_eq!(replies, [(4, refused)]);
    assert_eq!(site.start_count(), 0);
}

/// Returns the number of couriers that a node's metrics tell.
fn courier_count(node: &Node) -> usize {
    let text = node.metrics().text();
    let mut lines = text.lines();
    let value = lines.find_map(|line| line.strip_prefix("geraniumshed_couriers "));
    value.unwrap().parse().unwrap()
}

#[tokio::test]
async fn leader_runs_jobs_through_couriers() {
    let site = Site::new();
    site.use_couriers(2);
    let nodes = site.spawn_nodes(3, 21_920).await;
    let leader = settled_leader(&nodes).await;
    wait_for(async || courier_count(&nodes[leader]) == 2).await;
    for number in 0..10 {
        let id = JobId(60 + number);
        let service = nodes[leader].service();
        assert_eq!(
            service.submit(id, &job(3), deadline()).await,
            CallOutcome::Accepted
        );
        let completed = CallOutcome::Status(JobPhase::Completed);
        wait_for(async || service.status(id, deadline()).await == completed).await;
    }
    assert_eq!(site.start_count(), 30);
}

// Guards against jobs that stand still because the node that calls their workers is lost.
#[tokio::test]
async fn jobs_run_on_when_all_couriers_are_killed() {
    let site = Site::new();
    site.use_couriers(2);
    let mut processes = site.spawn_processes(3, 21_930).await;
    wait_for(async || processes.iter().any(|(_, node)| courier_count(node) == 2)).await;
    let leader = processes
        .iter()
        .position(|(_, node)| node.is_leading())
        .unwrap();
    let leading = processes.swap_remove(leader);
    let service = leading.1.service();
    service.submit(JobId(70), &job(2), deadline()).await;
    wait_for(async || site.start_count() == 2).await;
    for (runtime, node) in processes {
        drop(node);
        runtime.shutdown_background();
    }
    let id = JobId(71);
    service.submit(id, &job(2), deadline()).await;
    let completed = CallOutcome::Status(JobPhase::Completed);
    wait_for(async || service.status(id, deadline()).await == completed).await;
    assert!(site.start_count() >= 4);
    wait_for(async || courier_count(&leading.1) == 0).await;
    leading.0.shutdown_background();
}
