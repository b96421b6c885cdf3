//! Requests to the operators' interface over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use geraniumshed_daemon::operator::{OperatorBackend, OperatorHandle, OperatorListener};
use geraniumshed_daemon::settings::{OperatorSecret, OperatorSettings};
use geraniumshed_model::prelude::LogOffset;
use geraniumshed_wire::operator::{ProblemDocument, PublishReply, RecordList, TaskDecision};
use reqwest::{Client, Method, RequestBuilder, StatusCode};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::fake::FakeDaemon;

const SECRET: &str = "a secret of enough letters";
const JOB: &str =
    "schema: 2\nkind: job\nname: sync\nspec: {team: t, processors: 1, memory: 1GB, command: run}\n";

fn settings() -> OperatorSettings {
    OperatorSettings {
        secret: OperatorSecret::new(SECRET),
        connection_limit: 4,
        header_limit: 2000,
        body_limit: 1000,
        header_timeout: Duration::from_millis(300),
        body_timeout: Duration::from_millis(300),
        ..OperatorSettings::default()
    }
}

async fn bind(settings: OperatorSettings) -> (FakeDaemon, OperatorHandle) {
    drop(rustls::crypto::ring::default_provider().install_default());
    let daemon = FakeDaemon::default();
    let handle = OperatorListener::bind(daemon.clone(), settings)
        .await
        .unwrap();
    (daemon, handle)
}

fn request(address: SocketAddr, method: Method, path: &str) -> RequestBuilder {
    Client::new()
        .request(method, format!("http://{address}{path}"))
        .bearer_auth(SECRET)
}

async fn problem(request: RequestBuilder) -> ProblemDocument {
    let response = request.send().await.unwrap();
    let status = response.status();
    assert_eq!(
        response.headers()["content-type"],
        "application/problem+json"
    );
    let document: ProblemDocument = response.json().await.unwrap();
    assert_eq!(document.status, status.as_u16());
    document
}

#[tokio::test]
async fn a_record_is_published_read_and_withdrawn() {
    let (daemon, handle) = bind(settings()).await;
    let address = handle.local_addr();
    let post = || request(address, Method::POST, "/operator/records");
    let reply: PublishReply = post().body(JOB).send().await.unwrap().json().await.unwrap();
    assert_eq!((reply.generation, reply.offset), (1, 1));
    // Without `replaces`, the record replaces the generation in force.
    let reply: PublishReply = post().body(JOB).send().await.unwrap().json().await.unwrap();
    assert_eq!(reply.generation, 2);
    let list = request(address, Method::GET, "/operator/records?kind=job")
        .send()
        .await
        .unwrap();
    let list: RecordList = list.json().await.unwrap();
    assert_eq!(list.records[0].replaces, 2);
    let get = || request(address, Method::GET, "/operator/records/job/sync");
    let text = get().send().await.unwrap().text().await.unwrap();
    // A record can be published again exactly as it was read.
    let reply: PublishReply = post()
        .body(text.clone())
        .send()
        .await
        .unwrap()
        .json()
        .await
        .unwrap();
    assert_eq!(reply.generation, 3);
    let conflict = problem(post().body(text)).await;
    assert_eq!(conflict.slug(), "conflict");
    assert_eq!(conflict.detail, "`job/sync` is at generation 3, not 2");
    let stale = request(
        address,
        Method::DELETE,
        "/operator/records/job/sync?replaces=2",
    );
    assert_eq!(problem(stale).await.slug(), "conflict");
    let withdrawn = request(address, Method::DELETE, "/operator/records/job/sync")
        .send()
        .await;
    assert_eq!(withdrawn.unwrap().status(), StatusCode::OK);
    assert_eq!(problem(get()).await.slug(), "not-found");
    assert_eq!(daemon.config().applied(), LogOffset(6));
}

#[rstest]
#[case::route("GET", "/operator/nothing", "", "not-found")]
#[case::root("GET", "/services/bookings", "", "not-found")]
#[case::method("PUT", "/operator/records", "", "method-not-allowed")]
#[case::kind("GET", "/operator/records/sevice/x", "", "malformed")]
#[case::query("GET", "/operator/records?kind=sevice", "", "malformed")]
#[case::history("GET", "/operator/records/job/x/history", "", "log-unavailable")]
#[case::two_records(
    "POST",
    "/operator/records",
    "schema: 2\nkind: stop\nname: a\n---\nschema: 2\nkind: stop\nname: b\n",
    "malformed"
)]
#[case::no_record("POST", "/operator/records", "", "malformed")]
#[case::bad_record(
    "POST",
    "/operator/records",
    "schema: 2\nkind: job\n",
    "invalid-record"
)]
#[case::bad_check("POST", "/operator/check", "schema: [", "invalid-record")]
#[case::decision(
    "POST",
    "/operator/tasks/a/1/0/resolve",
    "{\"decision\": \"maybe\"}",
    "malformed"
)]
#[case::task(
    "POST",
    "/operator/tasks/a/x/0/resolve",
    "{\"decision\": \"rerun\"}",
    "malformed"
)]
#[case::level("PUT", "/operator/loglevel", "{\"levl\": \"info\"}", "malformed")]
#[tokio::test]
async fn an_invalid_request_is_answered_with_its_problem(
    #[case] method: &str,
    #[case] path: &str,
    #[case] body: &'static str,
    #[case] slug: &str,
) {
    let (daemon, handle) = bind(settings()).await;
    let method = method.parse().unwrap();
    let found = problem(request(handle.local_addr(), method, path).body(body)).await;
    assert_eq!(found.slug(), slug, "{found:?}");
    assert!(!found.hint.is_empty());
    assert_eq!(daemon.config().applied(), LogOffset(0));
}

#[rstest]
#[case::missing(None)]
#[case::wrong(Some("a secret of enough lettert"))]
#[case::longer(Some("a secret of enough letters and more"))]
#[case::empty(Some(""))]
#[tokio::test]
async fn operators_without_the_secret_are_refused(#[case] secret: Option<&str>) {
    let (daemon, handle) = bind(settings()).await;
    let url = format!("http://{}/operator/records", handle.local_addr());
    let mut request = Client::new().post(url).body(JOB);
    if let Some(secret) = secret {
        request = request.bearer_auth(secret);
    }
    assert_eq!(problem(request).await.slug(), "unauthorized");
    assert_eq!(daemon.config().applied(), LogOffset(0));
}

#[tokio::test]
async fn large_bodies_and_headers_are_refused() {
    let (_, handle) = bind(settings()).await;
    let address = handle.local_addr();
    let body = request(address, Method::POST, "/operator/check").body("#".repeat(1001));
    assert_eq!(problem(body).await.slug(), "body-too-large");
    let headers =
        request(address, Method::GET, "/operator/status").header("x-large", "x".repeat(2000));
    assert_eq!(problem(headers).await.slug(), "headers-too-large");
}

#[tokio::test]
async fn a_slow_body_times_out() {
    let (_, handle) = bind(settings()).await;
    let mut stream = TcpStream::connect(handle.local_addr()).await.unwrap();
    let head = format!(
        "POST /operator/check HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {SECRET}\r\ncontent-length: 10\r\n\r\nab"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut answer = vec![0; 12];
    stream.read_exact(&mut answer).await.unwrap();
    assert_eq!(answer, b"HTTP/1.1 408");
}

#[tokio::test]
async fn slow_headers_and_too_many_connections_are_closed() {
    let (_, handle) = bind(settings()).await;
    let mut open = Vec::new();
    for _ in 0..4 {
        open.push(TcpStream::connect(handle.local_addr()).await.unwrap());
    }
    // The listener has accepted each of the four connections once it has answered.
    for stream in &mut open {
        stream
            .write_all(b"GET /x HTTP/1.1\r\nhost: x\r\n\r\n")
            .await
            .unwrap();
        stream.read_exact(&mut [0; 12]).await.unwrap();
    }
    let mut fifth = TcpStream::connect(handle.local_addr()).await.unwrap();
    assert_eq!(fifth.read(&mut [0; 1]).await.unwrap_or(0), 0);
    // After the header timeout, the listener closes the connection and can accept another one.
    let mut first = open.remove(0);
    first.write_all(b"GET /x HTTP/1.1\r\nho").await.unwrap();
    let mut rest = Vec::new();
    drop(first.read_to_end(&mut rest).await);
    let answered = request(handle.local_addr(), Method::GET, "/operator/status")
        .send()
        .await;
    assert_eq!(answered.unwrap().status(), StatusCode::OK);
}

#[tokio::test]
async fn tasks_are_resolved_and_levels_changed() {
    let (daemon, handle) = bind(settings()).await;
    let address = handle.local_addr();
    let resolve = request(address, Method::POST, "/operator/tasks/regrade/1/0/resolve");
    let resolve = resolve
        .body("{\"decision\": \"completed\"}")
        .send()
        .await
        .unwrap();
    assert_eq!(resolve.status(), StatusCode::OK);
    let level = request(address, Method::PUT, "/operator/loglevel");
    let level = level.body("{\"level\": \"debug\"}").send().await.unwrap();
    assert_eq!(level.status(), StatusCode::OK);
    let metrics = request(address, Method::GET, "/operator/metrics")
        .send()
        .await
        .unwrap();
    assert_eq!(metrics.text().await.unwrap(), "entry.received 3\n");
    let state = daemon.0.lock().unwrap();
    assert_eq!(
        state.resolved,
        [("regrade/1/0".parse().unwrap(), TaskDecision::Completed)]
    );
    assert_eq!(state.level, "debug");
}
