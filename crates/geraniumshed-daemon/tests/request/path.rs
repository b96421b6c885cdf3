//! Single requests: complete answers, outcomes and errors.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use geraniumshed_core::state::VmTable;
use geraniumshed_model::prelude::*;
use rstest::rstest;

use crate::support::{
    EndpointFault, TestEndpoint, TestEntry, booking, config_with, directory_of, outcome,
};

const DEADLINE: Duration = Duration::from_millis(600);

#[tokio::test]
async fn a_request_gets_the_complete_answer_of_its_endpoint() {
    let endpoint = TestEndpoint::spawn(EndpointFault::None).await;
    let entry = TestEntry::bind(booking(DEADLINE, false), &[endpoint.address]).await;
    let response = entry.post("/services/booking/book?x=1", "call me").await;
    assert_eq!(response.status(), 200);
    assert_eq!(outcome(&response), "ran");
    assert_eq!(response.text().await.expect("a body"), "call me");
    assert_eq!(endpoint.runs(), ["/book call me"]);
}

#[tokio::test]
async fn a_daemon_that_has_not_read_all_records_denies_no_service() {
    let endpoint = TestEndpoint::spawn(EndpointFault::None).await;
    let entry = TestEntry::bind(booking(DEADLINE, false), &[endpoint.address]).await;
    entry.config_caught_up.send_replace(false);
    let health = async || {
        let response = entry.client.get(entry.url("/health")).send().await;
        response.expect("an answer").status().as_u16()
    };
    let unknown = async || {
        let response = entry.post("/services/quotes/new", "x").await;
        assert_eq!(outcome(&response), "not-run");
        response.status().as_u16()
    };
    assert_eq!((health().await, unknown().await), (503, 503));
    let known = entry.post("/services/booking/book", "call me").await;
    assert_eq!(
        outcome(&known),
        "ran",
        "a service whose record is known is served"
    );
    entry.config_caught_up.send_replace(true);
    assert_eq!((health().await, unknown().await), (200, 404));
    // Records are read again after the process was paused: the daemon stays healthy.
    entry.config_caught_up.send_replace(false);
    assert_eq!((health().await, unknown().await), (200, 503));
}

#[rstest]
#[case::leaving(EndpointFault::Leaving, 503, "not-run", 0)]
#[case::busy(EndpointFault::Busy, 503, "not-run", 0)]
#[case::mismatched(EndpointFault::Mismatched, 502, "unknown", 1)]
#[case::cut(EndpointFault::Cut, 502, "unknown", 1)]
#[case::closed(EndpointFault::Closed, 502, "unknown", 0)]
#[case::silent(EndpointFault::Silent, 504, "unknown", 1)]
#[case::late(EndpointFault::Slow(Duration::from_secs(2)), 504, "unknown", 1)]
#[tokio::test]
async fn a_failing_endpoint_runs_a_booking_at_most_once(
    #[case] fault: EndpointFault,
    #[case] status: u16,
    #[case] expected: &str,
    #[case] runs: usize,
) {
    let endpoint = TestEndpoint::spawn(fault).await;
    let entry = TestEntry::bind(booking(DEADLINE, false), &[endpoint.address]).await;
    let response = entry.post("/services/booking/book", "once").await;
    assert_eq!(response.status().as_u16(), status);
    assert_eq!(outcome(&response), expected);
    let kind = response.headers()["content-type"].to_str().expect("text");
    assert_eq!(kind, "application/problem+json");
    assert_eq!(endpoint.runs().len(), runs);
}

#[rstest]
#[case::leaving(EndpointFault::Leaving)]
#[case::busy(EndpointFault::Busy)]
#[tokio::test]
async fn a_rejected_booking_is_retried_at_another_endpoint(#[case] fault: EndpointFault) {
    let refusing = TestEndpoint::spawn(fault).await;
    let healthy = TestEndpoint::spawn(EndpointFault::None).await;
    let addresses = [refusing.address, healthy.address];
    let entry = TestEntry::bind(booking(DEADLINE, false), &addresses).await;
    for _ in 0..5 {
        let response = entry.post("/services/booking/book", "again").await;
        assert_eq!(outcome(&response), "ran");
    }
    assert_eq!(refusing.runs().len(), 0);
    assert_eq!(healthy.runs().len(), 5);
}

#[tokio::test]
async fn a_refused_connection_quickly_gives_not_run() {
    let closed: SocketAddr = {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        listener.local_addr().expect("an address")
    };
    let entry = TestEntry::bind(booking(Duration::from_secs(20), false), &[closed]).await;
    let begin = Instant::now();
    let response = entry.post("/services/booking/book", "nobody").await;
    assert_eq!(response.status(), 502);
    assert_eq!(outcome(&response), "not-run");
    assert!(response.headers().contains_key("retry-after"));
    assert!(
        begin.elapsed() < Duration::from_secs(10),
        "the daemon did not give up early"
    );
}

#[rstest]
#[case::unknown_service("/services/none/x", 404)]
#[case::no_service("/elsewhere", 404)]
#[case::bad_name("/services/%20/x", 400)]
#[tokio::test]
async fn invalid_paths_are_rejected_without_running(#[case] path: &str, #[case] status: u16) {
    let endpoint = TestEndpoint::spawn(EndpointFault::None).await;
    let entry = TestEntry::bind(booking(DEADLINE, false), &[endpoint.address]).await;
    let response = entry.post(path, "").await;
    assert_eq!(response.status().as_u16(), status);
    assert_eq!(outcome(&response), "not-run");
    assert_eq!(endpoint.runs().len(), 0);
}

#[tokio::test]
async fn a_removed_endpoint_gets_no_new_requests() {
    let leaving = TestEndpoint::spawn(EndpointFault::None).await;
    let staying = TestEndpoint::spawn(EndpointFault::None).await;
    let entry = TestEntry::bind(booking(DEADLINE, false), &[leaving.address]).await;
    entry.post("/services/booking/book", "first").await;
    let directory = directory_of(&[staying.address]);
    entry.endpoints.send_replace(Arc::new(directory));
    tokio::time::sleep(Duration::from_millis(100)).await;
    for _ in 0..10 {
        let response = entry.post("/services/booking/book", "later").await;
        assert_eq!(outcome(&response), "ran");
    }
    assert_eq!(leaving.runs().len(), 1);
    assert_eq!(staying.runs().len(), 10);
}

#[rstest]
#[case::leaving(VmPhase::Leaving, 503)]
#[case::live(VmPhase::Live, 200)]
#[tokio::test]
async fn the_vm_list_determines_whether_an_endpoint_is_leaving(
    #[case] phase: VmPhase,
    #[case] status: u16,
) {
    let endpoint = TestEndpoint::spawn(EndpointFault::None).await;
    let entry = TestEntry::bind(booking(DEADLINE, false), &[endpoint.address]).await;
    let mut vms = VmTable::default();
    let vm = |name: &str, phase| VmEntry {
        vm: name.parse().expect("valid"),
        role: VmRole::Worker,
        phase,
        region: "r".parse().expect("valid"),
        zone: "a".parse().expect("valid"),
        rack: "k".parse().expect("valid"),
        address: endpoint.address,
        size: ResourceSize::default(),
    };
    let listed = vec![vm("w0", phase), vm("w9", VmPhase::Live)];
    vms.apply(TimePoint(0), Duration::ZERO, true, listed);
    entry.vms.send_replace(Arc::new(vms));
    tokio::time::sleep(Duration::from_millis(100)).await;
    let response = entry.post("/services/booking/book", "x").await;
    assert_eq!(response.status().as_u16(), status);
}

#[tokio::test]
async fn a_changed_deadline_applies_immediately() {
    let endpoint = TestEndpoint::spawn(EndpointFault::None).await;
    let entry = TestEntry::bind(booking(DEADLINE, false), &[endpoint.address]).await;
    entry.post("/services/booking/book", "quick").await;
    endpoint.set_fault(EndpointFault::Slow(Duration::from_millis(800)));
    let late = entry.post("/services/booking/book", "late").await;
    assert_eq!(outcome(&late), "unknown");
    let patient = booking(Duration::from_secs(5), false);
    entry.config.send_replace(Arc::new(config_with(patient)));
    let patient = entry.post("/services/booking/book", "patient").await;
    assert_eq!(outcome(&patient), "ran");
}
