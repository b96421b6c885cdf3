//! Leases that a leader extends while it doesn't reach the store.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use geraniumshed_core::job::JobId;
use rstest::rstest;
use tokio::runtime::Runtime;

use crate::support::{Node, Site, deadline, job, wait_for};

/// The time until the leader has met all other nodes.
const SETTLE_TIME: Duration = Duration::from_millis(10_500);
/// The interval between checks of whether a process that stands still may go on.
const THAW_INTERVAL: Duration = Duration::from_millis(50);
/// The time within which a leader that extends leases does so at least once.
const EXTENSION_LIMIT: Duration = Duration::from_secs(2);

/// Daemons as processes that can be stopped.
struct Processes {
    all: Vec<Option<(Runtime, Node)>>,
    is_thawed: Arc<AtomicBool>,
}

impl Processes {
    async fn spawn(site: &Site, first_port: u16) -> Self {
        let all = site.spawn_processes(3, first_port).await;
        Self {
            all: all.into_iter().map(Some).collect(),
            is_thawed: Arc::default(),
        }
    }

    fn leader(&self) -> Option<usize> {
        let is_leading = |one: &Option<(Runtime, Node)>| {
            let node = one.as_ref().map(|(_, node)| node);
            node.is_some_and(Node::is_leading)
        };
        self.all.iter().position(is_leading)
    }

    fn node(&self, index: usize) -> &Node {
        &self.all[index].as_ref().unwrap().1
    }

    /// Makes a process stand still: it accepts connections, and answers nothing.
    fn freeze(&self, index: usize) {
        let is_thawed = Arc::clone(&self.is_thawed);
        let (runtime, _) = self.all[index].as_ref().unwrap();
        runtime.spawn(async move {
            while !is_thawed.load(Ordering::Relaxed) {
                std::thread::sleep(THAW_INTERVAL);
            }
        });
    }

    /// Kills a process: nothing listens at its address.
    fn kill(&mut self, index: usize) {
        let (runtime, node) = self.all[index].take().unwrap();
        drop(node);
        runtime.shutdown_background();
    }

    fn end(&mut self) {
        self.is_thawed.store(true, Ordering::Relaxed);
        for (runtime, _) in self.all.iter_mut().filter_map(Option::take) {
            runtime.shutdown_background();
        }
    }
}

/// Spawns three processes that have met, one of which leads and runs a task.
async fn spawn_with_run(first_port: u16) -> (Site, Processes, usize) {
    let site = Site::new();
    site.keep_runs();
    let processes = Processes::spawn(&site, first_port).await;
    wait_for(async || processes.leader().is_some()).await;
    let leader = processes.leader().unwrap();
    let service = processes.node(leader).service();
    service.submit(JobId(200), &job(1), deadline()).await;
    wait_for(async || site.start_count() == 1).await;
    tokio::time::sleep(SETTLE_TIME).await;
    (site, processes, leader)
}

/// What becomes of another node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NodeFate {
    /// It answers, and doesn't reach the store either.
    Answers,
    /// It doesn't answer. It may reach the store and lead.
    IsSilent,
    /// Its process is gone.
    IsDead,
}

/// Returns how long the worker's lease has not been extended a while after no node reaches the store
/// anymore.
async fn lease_age_after(fates: [NodeFate; 2], wait: Duration, first_port: u16) -> Duration {
    lease_age_in(StoreOutage::Refuses, fates, wait, first_port).await
}

/// How the store fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StoreOutage {
    /// It refuses all calls.
    Refuses,
    /// It answers no call.
    IsSilent,
    /// It refuses appends of progress, and carries out all else.
    RefusesProgress,
}

/// Returns how long the worker's lease has not been extended a while after the store has failed.
async fn lease_age_in(
    outage: StoreOutage,
    fates: [NodeFate; 2],
    wait: Duration,
    first_port: u16,
) -> Duration {
    let (site, mut processes, leader) = spawn_with_run(first_port).await;
    match outage {
        StoreOutage::Refuses => site.refuse(0..3),
        StoreOutage::IsSilent => site.silence(),
        StoreOutage::RefusesProgress => site.refuse_progress(),
    }
    for (distance, fate) in (1..).zip(fates) {
        let other = (leader + distance) % 3;
        match fate {
            NodeFate::Answers => {}
            NodeFate::IsSilent => processes.freeze(other),
            NodeFate::IsDead => processes.kill(other),
        }
    }
    tokio::time::sleep(wait).await;
    let age = site.lease_age();
    processes.end();
    age
}

// Guards against a leader that extends leases although a node may have replaced it which answers no call:
// the successor gives the runs up on workers that it doesn't reach, and starts them again.
#[rstest]
#[case::other_answers([NodeFate::Answers, NodeFate::IsSilent], 9, 22_000)]
#[case::other_is_dead([NodeFate::IsDead, NodeFate::IsSilent], 9, 22_010)]
// A way that is cut may refuse connections, just like a machine without the process.
#[case::one_refuses_connections([NodeFate::Answers, NodeFate::IsDead], 9, 22_040)]
#[case::long_silence([NodeFate::IsSilent, NodeFate::IsSilent], 14, 22_020)]
#[tokio::test]
async fn leader_that_may_be_replaced_extends_no_leases(
    #[case] fates: [NodeFate; 2],
    #[case] wait_s: u64,
    #[case] first_port: u16,
) {
    let age = lease_age_after(fates, Duration::from_secs(wait_s), first_port).await;
    assert!(age > EXTENSION_LIMIT, "extended {age:?} ago");
}

// Guards against leases that expire during an outage of the store, which no node can use to replace the
// leader.
#[rstest]
#[case::others_answer([NodeFate::Answers, NodeFate::Answers], 8, 22_030)]
#[case::long_outage([NodeFate::Answers, NodeFate::Answers], 16, 22_050)]
#[tokio::test]
async fn leader_extends_leases_while_the_store_answers_no_node(
    #[case] fates: [NodeFate; 2],
    #[case] wait_s: u64,
    #[case] first_port: u16,
) {
    let age = lease_age_after(fates, Duration::from_secs(wait_s), first_port).await;
    assert!(age < EXTENSION_LIMIT, "extended {age:?} ago");
}

// Guards against leases that expire during an outage in which no node can replace the leader: the store
// answers no call at all, or takes no progress.
#[rstest]
#[case::silent_store(StoreOutage::IsSilent, 22_060)]
#[case::progress_refused(StoreOutage::RefusesProgress, 22_070)]
#[tokio::test]
async fn leader_extends_leases_while_no_node_can_replace_it(
    #[case] outage: StoreOutage,
    #[case] first_port: u16,
) {
    let fates = [NodeFate::Answers; 2];
    let wait = Duration::from_secs(9);
    let age = lease_age_in(outage, fates, wait, first_port).await;
    assert!(age < EXTENSION_LIMIT, "extended {age:?} ago");
}

// Guards against a leader that forgets a member which fell silent well before the store did: it may have been
// elected since.
#[tokio::test]
async fn leader_without_a_member_that_fell_silent_long_ago_extends_no_leases() {
    let (site, mut processes, leader) = spawn_with_run(22_090).await;
    processes.freeze((leader + 1) % 3);
    tokio::time::sleep(Duration::from_secs(12)).await;
    site.refuse(0..3);
    tokio::time::sleep(Duration::from_secs(9)).await;
    let age = site.lease_age();
    processes.end();
    assert!(age > EXTENSION_LIMIT, "extended {age:?} ago");
}

// Guards against leases that expire during an outage of the store since a member was killed meanwhile,
// although its next process answers that it knows no later leader.
#[tokio::test]
async fn leader_extends_leases_once_a_dead_member_is_back() {
    const FIRST_PORT: u16 = 22_100;
    let (site, mut processes, leader) = spawn_with_run(FIRST_PORT).await;
    site.refuse(0..3);
    let other = (leader + 1) % 3;
    processes.kill(other);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let index = u16::try_from(other).unwrap();
    processes.all[other] = Some(site.spawn_process(index, FIRST_PORT).await);
    tokio::time::sleep(Duration::from_secs(7)).await;
    let age = site.lease_age();
    processes.end();
    assert!(age < EXTENSION_LIMIT, "extended {age:?} ago");
}
