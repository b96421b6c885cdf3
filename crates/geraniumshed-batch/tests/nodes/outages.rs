//! A store that doesn't serve some nodes, or none.

use std::collections::BTreeSet;
use std::time::Duration;

use futures::future::join_all;
use geraniumshed_batch::CallOutcome;
use geraniumshed_core::intake::RetryDelay;
use geraniumshed_core::job::{JobId, JobPhase};
use rstest::rstest;
use tokio::time::{Instant, sleep, sleep_until};

use crate::support::{Node, Site, deadline, job, settled_leader, wait_for};

/// The time after which each node knows that the store is silent.
const NOTICE_TIME: Duration = Duration::from_millis(1200);
/// The time after which each node knows that the store is back.
const RECOVERY_TIME: Duration = Duration::from_millis(500);
/// The longest time for which a job is held that is certainly not stored.
const REFUSAL_LIMIT: Duration = Duration::from_millis(200);
/// The time for which clients wait for an answer.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(3);

/// The outcome of a job that was handed in.
#[derive(Debug)]
struct Submission {
    id: JobId,
    /// When it was handed in, since the first one.
    at: Duration,
    outcome: CallOutcome,
    taken: Duration,
}

impl Submission {
    fn is_refused(&self) -> bool {
        self.delay().is_some()
    }

    /// Returns the delay after which the client should try again, if the job was refused.
    fn delay(&self) -> Option<RetryDelay> {
        match self.outcome {
            CallOutcome::Unavailable(delay) => Some(delay),
            _ => None,
        }
    }
}

/// Hands in jobs with consecutive numbers at regular intervals, at one node after the other.
async fn submit_steadily(
    nodes: &[Node],
    first: u64,
    count: u64,
    interval: Duration,
) -> Vec<Submission> {
    let started = Instant::now();
    let submissions = (0..count).map(|number| {
        let id = JobId(first + number);
        let service = nodes[usize::try_from(number).unwrap() % nodes.len()].service();
        async move {
            let at = interval * u32::try_from(number).unwrap();
            sleep_until(started + at).await;
            let sent_at = Instant::now();
            let outcome = service.submit(id, &job(1), sent_at + CLIENT_TIMEOUT).await;
            let taken = sent_at.elapsed();
            Submission {
                id,
                at,
                outcome,
                taken,
            }
        }
    });
    join_all(submissions).await
}

/// Guards against clients that are held to their deadline, and told that their jobs may be stored, although
/// the store is known to be silent when they come.
#[tokio::test]
async fn jobs_are_refused_at_once_while_the_store_is_silent() {
    let site = Site::new();
    let nodes = site.spawn_nodes(3, 22_200).await;
    settled_leader(&nodes).await;
    site.append_silently();
    site.silence();
    let interval = Duration::from_millis(100);
    let submissions = submit_steadily(&nodes, 1, 30, interval).await;
    let late = submissions.iter().filter(|one| one.at >= NOTICE_TIME);
    for one in late {
        assert!(one.is_refused() && one.taken <= REFUSAL_LIMIT, "{one:?}");
    }
    // Each node may have one append in flight when the outage begins, and learns of it by the next one.
    let undecided = submissions
        .iter()
        .filter(|one| one.outcome == CallOutcome::Undecided);
    assert!(undecided.count() <= nodes.len(), "{submissions:?}");
    for one in submissions.iter().filter(|one| one.is_refused()) {
        assert!(!site.has_request(one.id), "{one:?} is stored");
    }
    let delays: BTreeSet<RetryDelay> = submissions.iter().filter_map(Submission::delay).collect();
    assert!(delays.len() >= 2, "{delays:?}");
}

/// Guards against each node sending a job to a store that has fallen silent, before it learns of it. Such a
/// job may be stored, so that its client can't try again.
#[tokio::test]
async fn nodes_send_no_job_to_a_store_that_has_not_answered_lately() {
    let site = Site::new();
    let nodes = site.spawn_nodes(5, 22_280).await;
    settled_leader(&nodes).await;
    site.append_silently();
    site.silence();
    sleep(Duration::from_millis(250)).await;
    for one in submit_steadily(&nodes, 1, 10, Duration::from_millis(20)).await {
        assert!(one.is_refused() && !site.has_request(one.id), "{one:?}");
    }
    assert!(site.request_appends().is_empty());
}

/// Guards against nodes that go on refusing jobs after the store is back, or store them late behind an
/// append that was lost.
#[tokio::test]
async fn all_nodes_take_jobs_soon_after_the_store_is_back() {
    let site = Site::new();
    let nodes = site.spawn_nodes(3, 22_210).await;
    settled_leader(&nodes).await;
    site.silence();
    submit_steadily(&nodes, 1, 12, Duration::from_millis(100)).await;
    site.silence_for([]);
    sleep(RECOVERY_TIME).await;
    let submissions = submit_steadily(&nodes, 100, 9, Duration::from_millis(20)).await;
    for one in submissions {
        assert_eq!(one.outcome, CallOutcome::Accepted);
        assert!(one.taken <= REFUSAL_LIMIT, "{one:?}");
    }
}

/// Guards against tasks that start late after an outage in which the leader could not store their placement.
#[tokio::test]
async fn progress_is_stored_soon_after_the_store_is_back() {
    let site = Site::new();
    let nodes = site.spawn_nodes(2, 22_290).await;
    let leader = settled_leader(&nodes).await;
    let service = nodes[1 - leader].service();
    // The job is stored, but not its placement.
    site.silence_for([leader]);
    let outcome = service.submit(JobId(1), &job(1), deadline()).await;
    assert_eq!(outcome, CallOutcome::Accepted);
    site.silence();
    sleep(Duration::from_millis(4300)).await;
    assert_eq!(site.start_count(), 0);
    site.silence_for([]);
    sleep(RECOVERY_TIME + Duration::from_millis(300)).await;
    assert_eq!(site.start_count(), 1);
}

/// Guards against jobs that wait behind an append without an answer until their clients give up, although
/// they are certainly not stored. The one that was sent may be stored, and is never refused.
#[tokio::test]
async fn jobs_behind_an_unanswered_append_are_refused() {
    let site = Site::new();
    let nodes = site.spawn_nodes(1, 22_220).await;
    settled_leader(&nodes).await;
    site.append_silently();
    site.silence();
    let submissions = submit_steadily(&nodes, 1, 6, Duration::from_millis(30)).await;
    let (first, others) = submissions.split_first().unwrap();
    assert_eq!(first.outcome, CallOutcome::Undecided);
    assert!(site.has_request(first.id));
    for one in others {
        assert!(one.is_refused() && one.taken <= NOTICE_TIME, "{one:?}");
        assert!(!site.has_request(one.id), "{one:?} is stored");
    }
}

/// Guards against a node that sends each job to a store that refuses it or doesn't answer, before it asks
/// another node.
#[rstest]
#[case::refusing(22_230, true, 1)]
#[case::silent(22_240, false, 1)]
#[case::silent_for_the_leader(22_270, false, 0)]
#[tokio::test]
async fn a_node_without_the_store_leaves_jobs_to_others(
    #[case] first_port: u16,
    #[case] is_refused: bool,
    #[case] after_leader: usize,
) {
    let site = Site::new();
    let nodes = site.spawn_nodes(3, first_port).await;
    let leader = settled_leader(&nodes).await;
    let cut_off = (leader + after_leader) % nodes.len();
    if is_refused {
        site.refuse([cut_off]);
    } else {
        site.silence_for([cut_off]);
    }
    let node = &nodes[cut_off..=cut_off];
    submit_steadily(node, 1, 1, Duration::ZERO).await;
    sleep(NOTICE_TIME).await;
    let before = site.request_appends().len();
    for one in submit_steadily(node, 100, 10, Duration::from_millis(50)).await {
        assert_eq!(one.outcome, CallOutcome::Accepted, "{one:?}");
        assert!(one.taken <= REFUSAL_LIMIT, "{one:?}");
    }
    assert!(!site.request_appends()[before..].contains(&cut_off));
}

/// Guards against a store that is taken for silent while it is sixty times slower than usual.
#[tokio::test]
async fn a_slow_store_takes_all_jobs() {
    let site = Site::new();
    let nodes = site.spawn_nodes(3, 22_250).await;
    settled_leader(&nodes).await;
    site.slow_down(Duration::from_millis(900), Duration::from_millis(120));
    for one in submit_steadily(&nodes, 1, 20, Duration::from_millis(150)).await {
        assert_eq!(one.outcome, CallOutcome::Accepted, "{one:?}");
    }
    for node in &nodes {
        let text = node.metrics().text();
        let served = ["store_verdict 0", "store_verdict 1"];
        assert!(served.iter().any(|one| text.contains(one)), "{text}");
    }
}

/// Guards against an outage that keeps the nodes from finding a leader, or from taking jobs, once the leader
/// is lost in it. A call for a job's phase isn't held longer than its client waits.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leader_that_is_lost_in_an_outage_is_replaced_after_it() {
    let site = Site::new();
    let mut processes = site.spawn_processes(3, 22_260).await;
    let is_leading = |(_, node): &(_, Node)| node.is_leading();
    wait_for(async || processes.iter().any(is_leading)).await;
    sleep(NOTICE_TIME).await;
    let leader = processes.iter().position(is_leading).unwrap();
    site.silence();
    let (runtime, lost) = processes.swap_remove(leader);
    runtime.shutdown_background();
    drop(lost);
    let service = processes[0].1.service();
    sleep(NOTICE_TIME).await;
    let asked_at = Instant::now();
    service.status(JobId(1), asked_at + CLIENT_TIMEOUT).await;
    assert!(asked_at.elapsed() <= CLIENT_TIMEOUT);
    let outcome = service.submit(JobId(1), &job(1), deadline()).await;
    assert!(
        matches!(outcome, CallOutcome::Unavailable(_)),
        "{outcome:?}"
    );
    site.silence_for([]);
    sleep(RECOVERY_TIME).await;
    let outcome = service.submit(JobId(2), &job(1), deadline()).await;
    assert_eq!(outcome, CallOutcome::Accepted);
    wait_for(async || {
        let status = service.status(JobId(2), deadline()).await;
        status == CallOutcome::Status(JobPhase::Completed)
    })
    .await;
    for (runtime, _) in processes {
        runtime.shutdown_background();
    }
}
