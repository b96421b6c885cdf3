//! Connection faults, faulty callers and planned stops.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use geraniumshed_daemon::request::EntrySettings;
use geraniumshed_standin::FaultProxy;
use reqwest::Response;
use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

use crate::support::{EndpointFault, TestEndpoint, TestEntry, booking, outcome, quick_settings};

const DEADLINE: Duration = Duration::from_millis(800);

/// The time within which requests have to succeed again after all open connections froze.
const RECOVERY_LIMIT: Duration = Duration::from_secs(2);

async fn book_all(entry: &TestEntry, count: usize) -> Vec<Response> {
    let sends = (0..count).map(|_| entry.post("/services/booking/book", "call"));
    futures::future::join_all(sends).await
}

#[tokio::test]
async fn requests_succeed_again_after_all_open_connections_freeze() {
    let endpoint = TestEndpoint::spawn(EndpointFault::Slow(Duration::from_millis(10))).await;
    let proxy = FaultProxy::bind(0, endpoint.address, 1).expect("a proxy");
    let entry = TestEntry::bind(booking(DEADLINE, false), &[proxy.address()]).await;
    for _ in 0..5 {
        for response in book_all(&entry, 8).await {
            assert_eq!(outcome(&response), "ran");
        }
    }
    proxy.freeze();
    let begin = Instant::now();
    loop {
        let responses = book_all(&entry, 4).await;
        if responses.iter().all(|response| outcome(response) == "ran") {
            break;
        }
        assert!(begin.elapsed() < RECOVERY_LIMIT, "requests still fail");
    }
    assert!(entry.handle.status().pools_replaced > 0);
}

#[tokio::test]
async fn a_planned_stop_under_load_interrupts_no_request() {
    let endpoint = TestEndpoint::spawn(EndpointFault::Slow(Duration::from_millis(100))).await;
    let settings = EntrySettings {
        drain_notice: Duration::from_millis(300),
        ..quick_settings()
    };
    let spec = booking(Duration::from_secs(5), false);
    let entry = TestEntry::bind_with(spec, &[endpoint.address], settings).await;
    let health = entry.url("/health");
    let url = entry.url("/services/booking/book");
    let client = entry.client.clone();
    let load = tokio::spawn(async move {
        let mut answers = Vec::new();
        // A load balancer sends requests until the health check fails.
        while client.get(&health).send().await.expect("health").status() == 200 {
            let sends = (0..4).map(|_| client.post(&url).body("call").send());
            answers.extend(futures::future::join_all(sends).await);
        }
        answers
    });
    tokio::time::sleep(Duration::from_millis(150)).await;
    let status = entry.handle.drain().await;
    let answers = load.await.expect("the load ends");
    assert!(!answers.is_empty());
    for answer in answers {
        assert_eq!(outcome(&answer.expect("not cut off")), "ran");
    }
    assert_eq!(status.active, 0);
    assert_eq!(status.unknown, 0);
}

#[tokio::test]
async fn a_queued_request_is_not_dispatched_after_its_caller_disconnects() {
    let endpoint = TestEndpoint::spawn(EndpointFault::Slow(Duration::from_millis(300))).await;
    let entry = TestEntry::bind(booking(Duration::from_secs(5), false), &[endpoint.address]).await;
    let (url, client) = (entry.url("/services/booking/book"), entry.client.clone());
    let busy = tokio::spawn(async move {
        let sends = (0..8).map(|_| client.post(&url).body("busy").send());
        futures::future::join_all(sends).await
    });
    while endpoint.in_flight.load(Ordering::SeqCst) < 8 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let waiting = entry.post("/services/booking/book", "gone");
    drop(tokio::time::timeout(Duration::from_millis(50), waiting).await);
    busy.await.expect("answers");
    tokio::time::sleep(Duration::from_millis(400)).await;
    assert!(!endpoint.runs().iter().any(|run| run.contains("gone")));
    assert_eq!(entry.handle.status().hung_up, 1);
}

#[rstest]
#[case::buffered(1_000)]
#[case::at_the_buffer(256 * 1024)]
#[case::streamed(5_000_000)]
#[tokio::test]
async fn answers_of_any_size_are_complete(#[case] size: usize) {
    let endpoint = TestEndpoint::spawn(EndpointFault::Large(size)).await;
    let entry = TestEntry::bind(booking(Duration::from_secs(5), false), &[endpoint.address]).await;
    let response = entry.post("/services/booking/book", "x").await;
    assert_eq!(outcome(&response), "ran");
    assert_eq!(response.bytes().await.expect("whole").len(), size);
}

#[rstest]
#[case::buffered(1_000)]
#[case::streamed(5_000_000)]
#[tokio::test]
async fn request_bodies_of_any_size_are_complete(#[case] size: usize) {
    let endpoint = TestEndpoint::spawn(EndpointFault::None).await;
    let entry = TestEntry::bind(booking(Duration::from_secs(5), false), &[endpoint.address]).await;
    let response = entry
        .post("/services/booking/book", &"y".repeat(size))
        .await;
    assert_eq!(outcome(&response), "ran");
    assert_eq!(endpoint.runs()[0].len(), "/book ".len() + size);
}

/// Sends raw bytes and returns the answer, reading until the daemon closes the connection.
async fn send_raw(address: SocketAddr, parts: &[&str], pause: Duration) -> String {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    for part in parts {
        stream.write_all(part.as_bytes()).await.expect("open");
        tokio::time::sleep(pause).await;
    }
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    drop(tokio::time::timeout(Duration::from_secs(3), read).await);
    String::from_utf8_lossy(&answer).into_owned()
}

#[rstest]
#[case::body_stops(
    &["POST /services/booking/b HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nabc"],
    "408"
)]
#[case::body_too_large(
    &["POST /services/booking/b HTTP/1.1\r\nhost: a\r\ncontent-length: 900000000\r\n\r\n"],
    "413"
)]
#[case::bad_deadline(
    &["GET /services/booking/b HTTP/1.1\r\nhost: a\r\ngeraniumshed-deadline: soon\r\n\r\n"],
    "400"
)]
#[tokio::test]
async fn invalid_requests_are_rejected_without_running(
    #[case] parts: &[&str],
    #[case] status: &str,
) {
    let endpoint = TestEndpoint::spawn(EndpointFault::None).await;
    let settings = EntrySettings {
        body_timeout: Duration::from_millis(100),
        ..quick_settings()
    };
    let spec = booking(DEADLINE, false);
    let entry = TestEntry::bind_with(spec, &[endpoint.address], settings).await;
    let answer = send_raw(entry.handle.local_addr(), parts, Duration::ZERO).await;
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status}")),
        "{answer}"
    );
    assert!(answer.contains("geraniumshed-outcome: not-run"), "{answer}");
    assert_eq!(endpoint.runs().len(), 0);
}

#[tokio::test]
async fn slow_and_malformed_headers_are_rejected_without_running() {
    let endpoint = TestEndpoint::spawn(EndpointFault::None).await;
    let settings = EntrySettings {
        header_timeout: Duration::from_millis(100),
        ..quick_settings()
    };
    let spec = booking(DEADLINE, false);
    let entry = TestEntry::bind_with(spec, &[endpoint.address], settings).await;
    let address = entry.handle.local_addr();
    let slow = ["POST /services/booking/b HTTP/1.1\r\n", "host: a\r\n\r\n"];
    let answer = send_raw(address, &slow, Duration::from_millis(400)).await;
    assert!(!answer.contains("200 OK"), "{answer}");
    let answer = send_raw(address, &["NONSENSE\r\n\r\n"], Duration::ZERO).await;
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    assert_eq!(endpoint.runs().len(), 0);
}

#[tokio::test]
async fn large_headers_are_rejected_without_running() {
    let endpoint = TestEndpoint::spawn(EndpointFault::None).await;
    let entry = TestEntry::bind(booking(DEADLINE, false), &[endpoint.address]).await;
    let response = entry
        .client
        .post(entry.url("/services/booking/b"))
        .header("x-large", "z".repeat(20_000))
        .send()
        .await
        .expect("an answer");
    assert_eq!(response.status(), 431);
    assert_eq!(outcome(&response), "not-run");
    assert_eq!(endpoint.runs().len(), 0);
}

#[tokio::test]
async fn the_slots_of_an_endpoint_are_never_exceeded() {
    let endpoint = TestEndpoint::spawn(EndpointFault::Slow(Duration::from_millis(20))).await;
    let entry = TestEntry::bind(booking(Duration::from_secs(5), false), &[endpoint.address]).await;
    for response in book_all(&entry, 60).await {
        assert_eq!(outcome(&response), "ran");
    }
    assert!(endpoint.peak.load(Ordering::SeqCst) <= 8);
    assert_eq!(endpoint.runs().len(), 60);
}

#[rstest]
#[case::booking(false)]
#[case::quote(true)]
#[tokio::test]
async fn a_flapping_endpoint_never_runs_a_booking_twice(#[case] idempotent: bool) {
    let endpoint = TestEndpoint::spawn(EndpointFault::None).await;
    let steady = TestEndpoint::spawn(EndpointFault::None).await;
    let proxy = FaultProxy::bind(0, endpoint.address, 5).expect("a proxy");
    let addresses = [proxy.address(), steady.address];
    let entry = TestEntry::bind(booking(DEADLINE, idempotent), &addresses).await;
    let mut ran = 0;
    let mut unknown = 0;
    for round in 0..20 {
        if round % 3 == 2 {
            proxy.cut();
        }
        for response in book_all(&entry, 6).await {
            match outcome(&response).as_str() {
                "ran" => ran += 1,
                "unknown" => unknown += 1,
                _ => {}
            }
        }
    }
    let runs = endpoint.runs().len() + steady.runs().len();
    assert!(
        runs >= ran,
        "an answer says ran, but the endpoint did not run the request"
    );
    if !idempotent {
        assert!(
            runs <= ran + unknown,
            "a request ran twice, or ran although its outcome was not-run"
        );
    }
}
