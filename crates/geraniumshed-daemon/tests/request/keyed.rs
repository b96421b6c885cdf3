//! Requests with idempotency keys run at most once, whichever daemon receives them.

use std::time::Duration;

use geraniumshed_core::request::{key_digest, key_shard, request_digest};
use geraniumshed_daemon::request::EntrySettings;
use geraniumshed_model::prelude::*;
use reqwest::Response;
use rstest::rstest;

use crate::keys::{LogFault, TestLog, TestPeers};
use crate::support::{EndpointFault, TestEndpoint, TestEntry, booking, outcome, quick_settings};

const DEADLINE: Duration = Duration::from_millis(800);

/// Three daemons with one common endpoint; the first daemon owns all shards.
struct TestCluster {
    endpoint: TestEndpoint,
    log: TestLog,
    peers: TestPeers,
    entries: Vec<TestEntry>,
}

impl TestCluster {
    async fn open(fault: EndpointFault) -> Self {
        let endpoint = TestEndpoint::spawn(fault).await;
        let peers = TestPeers::single();
        let log = TestLog::default();
        let mut entries = Vec::new();
        for incarnation in 1..=3 {
            let settings = EntrySettings {
                key_shards: 1,
                ..quick_settings()
            };
            let spec = booking(DEADLINE, false);
            let addresses = [endpoint.address];
            let peers = peers.with_incarnation(incarnation);
            let entry = TestEntry::bind_as(spec, &addresses, settings, peers, log.clone());
            entries.push(entry.await);
        }
        Self {
            endpoint,
            log,
            peers,
            entries,
        }
    }

    async fn book(&self, daemon: usize, key: &str, body: &str) -> Response {
        let entry = &self.entries[daemon];
        entry
            .client
            .post(entry.url("/services/booking/book"))
            .header("idempotency-key", key)
            .body(body.to_owned())
            .send()
            .await
            .expect("an answer")
    }

    async fn ticket(&self, daemon: usize) -> String {
        let response = self.entries[daemon].post("/tickets?count=2", "").await;
        assert_eq!(response.status(), 201);
        let text = response.text().await.expect("a body");
        let (_, rest) = text.split_once("[\"").expect("a list");
        rest.split('"').next().expect("a ticket").to_owned()
    }

    async fn key_or_ticket(&self, is_ticket: bool) -> String {
        if is_ticket {
            self.ticket(0).await
        } else {
            "pensioner-7".to_owned()
        }
    }
}

#[rstest]
#[case::ticket(true)]
#[case::own_key(false)]
#[tokio::test]
async fn a_repeated_request_gets_the_first_answer_from_every_daemon(#[case] is_ticket: bool) {
    let cluster = TestCluster::open(EndpointFault::None).await;
    let key = cluster.key_or_ticket(is_ticket).await;
    for daemon in [0, 1, 2, 0] {
        let response = cluster.book(daemon, &key, "call").await;
        assert_eq!(outcome(&response), "ran");
        assert_eq!(response.text().await.expect("a body"), "call");
    }
    assert_eq!(cluster.endpoint.runs().len(), 1);
}

#[rstest]
#[case::ticket(true)]
#[case::own_key(false)]
#[tokio::test]
async fn a_key_sent_100_times_concurrently_runs_once(#[case] is_ticket: bool) {
    let cluster = TestCluster::open(EndpointFault::Slow(Duration::from_millis(50))).await;
    let key = cluster.key_or_ticket(is_ticket).await;
    let sends = (0..100).map(|index| cluster.book(index % 3, &key, "call"));
    for response in futures::future::join_all(sends).await {
        assert_eq!(outcome(&response), "ran");
    }
    assert_eq!(cluster.endpoint.runs().len(), 1);
}

#[rstest]
#[case::ticket(true)]
#[case::own_key(false)]
#[tokio::test]
async fn a_key_with_a_different_request_is_rejected(#[case] is_ticket: bool) {
    let cluster = TestCluster::open(EndpointFault::None).await;
    let key = cluster.key_or_ticket(is_ticket).await;
    cluster.book(0, &key, "first").await;
    let response = cluster.book(1, &key, "second").await;
    assert_eq!(response.status(), 422);
    assert_eq!(cluster.endpoint.runs(), ["/book first"]);
}

#[rstest]
#[case::ticket(true)]
#[case::own_key(false)]
#[tokio::test]
async fn a_key_whose_request_did_not_run_may_be_used_again(#[case] is_ticket: bool) {
    let cluster = TestCluster::open(EndpointFault::Leaving).await;
    let key = cluster.key_or_ticket(is_ticket).await;
    let refused = cluster.book(0, &key, "call").await;
    assert_eq!(outcome(&refused), "not-run");
    let healthy = TestEndpoint::spawn(EndpointFault::None).await;
    for entry in &cluster.entries {
        let directory = crate::support::directory_of(&[healthy.address, healthy.address]);
        entry.endpoints.send_replace(std::sync::Arc::new(directory));
    }
    tokio::time::sleep(Duration::from_millis(50)).await;
    let response = cluster.book(1, &key, "call").await;
    assert_eq!(outcome(&response), "ran");
    assert_eq!(healthy.runs().len(), 1);
}

#[rstest]
#[case::ticket(true)]
#[case::own_key(false)]
#[tokio::test]
async fn a_repeat_after_an_unknown_outcome_stays_unknown_and_does_not_run(#[case] is_ticket: bool) {
    let cluster = TestCluster::open(EndpointFault::Cut).await;
    let key = cluster.key_or_ticket(is_ticket).await;
    let first = cluster.book(0, &key, "call").await;
    assert_eq!(outcome(&first), "unknown");
    cluster.endpoint.set_fault(EndpointFault::None);
    let second = cluster.book(2, &key, "call").await;
    assert_eq!(outcome(&second), "unknown");
    assert_eq!(cluster.endpoint.runs().len(), 1);
}

#[tokio::test]
async fn a_ticket_whose_issuer_is_gone_has_an_unknown_outcome() {
    let cluster = TestCluster::open(EndpointFault::None).await;
    let ticket = cluster.ticket(1).await;
    cluster.peers.with_incarnation(2).leave();
    let response = cluster.book(0, &ticket, "call").await;
    assert_eq!(outcome(&response), "unknown");
    assert_eq!(response.status(), 502);
    assert_eq!(cluster.endpoint.runs().len(), 0);
}

#[rstest]
#[case::forged("gst1.1.0.0", 400)]
#[case::garbled("gst1.zz", 400)]
#[case::empty("\"\"", 400)]
#[tokio::test]
async fn invalid_keys_are_rejected_without_running(#[case] key: &str, #[case] status: u16) {
    let cluster = TestCluster::open(EndpointFault::None).await;
    let response = cluster.book(0, key, "call").await;
    assert_eq!(response.status().as_u16(), status);
    assert_eq!(outcome(&response), "not-run");
    assert_eq!(cluster.endpoint.runs().len(), 0);
}

#[tokio::test]
async fn a_new_owner_never_dispatches_a_claimed_key() {
    let cluster = TestCluster::open(EndpointFault::None).await;
    cluster.book(0, "k", "call").await;
    cluster.peers.set_owner(2, 9);
    for daemon in 0..3 {
        let response = cluster.book(daemon, "k", "call").await;
        assert_eq!(outcome(&response), "unknown");
        assert_eq!(response.status(), 410);
    }
    assert_eq!(cluster.endpoint.runs().len(), 1);
}

#[tokio::test]
async fn an_owner_unaware_that_it_was_superseded_dispatches_no_new_key() {
    let cluster = TestCluster::open(EndpointFault::None).await;
    cluster.book(0, "first", "call").await;
    let booking: RecordName = "booking".parse().expect("valid");
    let key = key_digest(&booking, "second");
    let shard = key_shard(key, 1);
    let request = request_digest("POST", "/book", b"call");
    let events = vec![KeyEvent::Opened, KeyEvent::Claimed { key, request }];
    cluster.log.push(shard, ShardTerm(5), events);
    let response = cluster.book(0, "second", "call").await;
    assert_ne!(outcome(&response), "ran");
    assert_eq!(cluster.endpoint.runs().len(), 1);
}

#[rstest]
#[case::down(LogFault::Down, "not-run", 0)]
#[case::answers_lost(LogFault::AnswersLost, "ran", 1)]
#[case::slow(LogFault::Slow(Duration::from_millis(50)), "ran", 1)]
#[case::too_slow(LogFault::Slow(Duration::from_millis(900)), "unknown", 0)]
#[tokio::test]
async fn a_faulty_log_never_causes_a_booking_to_run_twice(
    #[case] fault: LogFault,
    #[case] expected: &str,
    #[case] runs: usize,
) {
    let cluster = TestCluster::open(EndpointFault::None).await;
    // The first request opens the shard, so that the fault only affects the claim.
    cluster.book(0, "first", "x").await;
    cluster.log.set_fault(fault);
    let response = cluster.book(1, "k", "call").await;
    assert_eq!(outcome(&response), expected);
    assert_eq!(cluster.endpoint.runs().len(), 1 + runs);
    cluster.log.set_fault(LogFault::None);
    let again = cluster.book(2, "k", "call").await;
    assert_eq!(outcome(&again), "ran");
    assert_eq!(cluster.endpoint.runs().len(), 2);
}
