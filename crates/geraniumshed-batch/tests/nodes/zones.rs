//! Evacuated availability zones, as nodes learn of them.

use std::time::Duration;

use geraniumshed_batch::CallOutcome;
use geraniumshed_core::job::JobId;

use crate::support::{Node, Site, deadline, job, settled_leader, wait_for};

/// The zone of the only worker.
const ZONE: &str = "z";
/// The time after which a node that reaches the store has learned of an evacuation.
const NOTICE_TIME: Duration = Duration::from_millis(1_200);
/// A time within which a job starts if a worker takes its task.
const START_TIME: Duration = Duration::from_secs(2);

async fn submit(node: &Node, id: u64) {
    let outcome = node.service().submit(JobId(id), &job(1), deadline()).await;
    assert_eq!(outcome, CallOutcome::Accepted);
}

fn evacuated_zones(node: &Node) -> bool {
    let text = node.metrics().text();
    text.lines()
        .any(|line| line == "geraniumshed_evacuated_zones 1")
}

/// Guards against tasks that start in an evacuated zone, and against tasks that wait after the
/// cancellation.
#[tokio::test]
async fn no_task_starts_between_evacuation_and_cancellation() {
    let site = Site::new();
    let nodes = site.spawn_nodes(2, 21_700).await;
    settled_leader(&nodes).await;
    site.evacuate(ZONE, true);
    tokio::time::sleep(NOTICE_TIME).await;
    assert!(nodes.iter().all(evacuated_zones));
    submit(&nodes[0], 1).await;
    tokio::time::sleep(START_TIME).await;
    assert_eq!(site.start_count(), 0);
    site.evacuate(ZONE, false);
    wait_for(async || site.start_count() == 1).await;
    assert!(!nodes.iter().all(evacuated_zones));
}

/// Guards against a new leader that places tasks by a state that is older than its election.
#[tokio::test]
async fn new_leader_reads_the_evacuations_before_it_places() {
    for round in 0..3 {
        let site = Site::new();
        let nodes = site.spawn_nodes(2, 21_720 + 10 * round).await;
        let leader = settled_leader(&nodes).await;
        nodes[leader].begin_stop();
        site.evacuate(ZONE, true);
        submit(&nodes[1 - leader], 1).await;
        wait_for(async || nodes[1 - leader].is_leading()).await;
        tokio::time::sleep(START_TIME).await;
        assert_eq!(site.start_count(), 0);
    }
}

/// Guards against a leader that forgets an evacuation while the store refuses it.
#[tokio::test]
async fn last_known_state_holds_while_the_store_is_silent() {
    let site = Site::new();
    let nodes = site.spawn_nodes(1, 21_760).await;
    settled_leader(&nodes).await;
    site.evacuate(ZONE, true);
    tokio::time::sleep(NOTICE_TIME).await;
    submit(&nodes[0], 1).await;
    site.refuse([0]);
    site.evacuate(ZONE, false);
    tokio::time::sleep(START_TIME).await;
    assert_eq!(site.start_count(), 0);
    site.refuse([]);
    wait_for(async || site.start_count() == 1).await;
}
