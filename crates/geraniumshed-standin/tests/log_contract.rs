//! The log's client against its stand-in: results, and the certainty of errors under each fault.

mod support;

use std::time::{Duration, Instant};

use bytes::Bytes;
use geraniumshed_model::prelude::{LogOffset, LogStream, ShardId};
use geraniumshed_platform::{HttpLog, HttpTimeouts, LogClient, PlatformError};
use geraniumshed_standin::FaultProxy;
use geraniumshed_standin::clock::StandinClock;
use geraniumshed_standin::http::ServerMode;
use geraniumshed_standin::log::{LogMode, LogServer, Retention};
use geraniumshed_standin::proxy::{ProxyDirection, ProxyMode, ProxyPlan};
use rstest::rstest;
use tokio::net::TcpStream;

use support::eventually;

const STREAM: LogStream = LogStream::Shard(ShardId(3));

/// Short timeouts for calls that are expected to get no response.
const SHORT_TIMEOUTS: HttpTimeouts = HttpTimeouts {
    connect: Duration::from_millis(400),
    answer: Duration::from_millis(800),
    idle: Duration::from_secs(30),
};

struct Log {
    server: LogServer,
    client: HttpLog,
}

fn open_log(retention: Retention) -> Log {
    let server = LogServer::bind(0, StandinClock::start(), retention).unwrap();
    let client = HttpLog::open(server.address(), HttpTimeouts::default());
    Log { server, client }
}

async fn append(client: &HttpLog, text: &'static str) -> Result<LogOffset, PlatformError> {
    client
        .append(STREAM, Bytes::from_static(text.as_bytes()))
        .await
}

async fn texts(client: &HttpLog, from: u64) -> Vec<String> {
    let page = client.read(STREAM, LogOffset(from), Duration::ZERO).await;
    let entries = page.unwrap().entries;
    let text = |body: &Bytes| String::from_utf8(body.to_vec()).unwrap();
    entries.iter().map(|entry| text(&entry.body)).collect()
}

fn error_kind(error: &PlatformError) -> &'static str {
    match error {
        PlatformError::Unreachable { .. } => "unreachable",
        PlatformError::AnswerLost { .. } => "answer lost",
        PlatformError::Unavailable { .. } => "unavailable",
        PlatformError::Rejected { .. } => "rejected",
        PlatformError::Expired { .. } => "expired",
        PlatformError::StaleTerm { .. } => "stale term",
        PlatformError::WrongBoot { .. } => "wrong boot",
    }
}

#[tokio::test]
async fn offsets_count_from_zero_in_each_stream() {
    let log = open_log(Retention::default());
    assert_eq!(append(&log.client, "a").await, Ok(LogOffset(0)));
    assert_eq!(append(&log.client, "b").await, Ok(LogOffset(1)));
    let other = log.client.append(LogStream::Claims, Bytes::new()).await;
    assert_eq!(other, Ok(LogOffset(0)));
    assert_eq!(texts(&log.client, 0).await, ["a", "b"]);
    assert_eq!(texts(&log.client, 1).await, ["b"]);
    assert!(texts(&log.client, 7).await.is_empty());
}

#[tokio::test]
async fn a_read_waits_for_the_next_entry() {
    let log = open_log(Retention::default());
    let reader = log.client.clone();
    let read = tokio::spawn(async move {
        reader
            .read(STREAM, LogOffset(0), Duration::from_secs(20))
            .await
    });
    append(&log.client, "late").await.unwrap();
    let page = read.await.unwrap().unwrap();
    assert_eq!(page.entries.len(), 1);
    assert_eq!(page.end, LogOffset(1));
}

#[tokio::test]
async fn a_read_without_new_entries_returns_after_its_wait() {
    let log = open_log(Retention::default());
    let page = log
        .client
        .read(STREAM, LogOffset(0), Duration::from_millis(50))
        .await;
    assert!(page.unwrap().entries.is_empty());
}

enum LogFaultCase {
    Down,
    Refusing,
    Silent,
    LostAnswer,
    SlowerThanTheCaller,
}

#[rstest]
#[case::down(LogFaultCase::Down, "unavailable", 0)]
#[case::refusing(LogFaultCase::Refusing, "unreachable", 0)]
#[case::silent(LogFaultCase::Silent, "answer lost", 0)]
#[case::lost_answer(LogFaultCase::LostAnswer, "answer lost", 1)]
#[case::slow(LogFaultCase::SlowerThanTheCaller, "answer lost", 1)]
#[tokio::test]
async fn an_append_error_shows_whether_the_append_may_have_taken_effect(
    #[case] fault: LogFaultCase,
    #[case] expected: &str,
    #[case] effects: usize,
) {
    let log = open_log(Retention::default());
    let client = HttpLog::open(log.server.address(), SHORT_TIMEOUTS);
    // Opens a connection that the call under the fault reuses.
    append_with_retries(&client, "before").await;
    match fault {
        LogFaultCase::Down => log.server.set_mode(LogMode {
            down: true,
            ..LogMode::default()
        }),
        LogFaultCase::Refusing => log.server.set_server_mode(ServerMode::Refusing),
        LogFaultCase::Silent => log.server.set_server_mode(ServerMode::Silent),
        LogFaultCase::LostAnswer => {
            log.server.set_mode(LogMode {
                lost_answers: 1,
                ..LogMode::default()
            });
        }
        LogFaultCase::SlowerThanTheCaller => log.server.set_mode(LogMode {
            delay: SHORT_TIMEOUTS.connect + SHORT_TIMEOUTS.answer + Duration::from_millis(200),
            ..LogMode::default()
        }),
    }
    if matches!(fault, LogFaultCase::Refusing) {
        wait_for_closed_port(&log.server).await;
    }
    let error = append(&client, "under fault").await.unwrap_err();
    assert_eq!(error_kind(&error), expected, "{error}");
    assert_eq!(error.has_no_effect(), expected != "answer lost");
    tokio::time::sleep(Duration::from_millis(400)).await;
    log.server.set_mode(LogMode::default());
    log.server.set_server_mode(ServerMode::Open);
    let after = append_with_retries(&log.client, "after").await;
    let read = texts(&log.client, 0).await;
    assert_eq!(
        read.iter().filter(|text| *text == "under fault").count(),
        effects
    );
    assert_eq!(read.len() as u64, after.0 + 1);
}

async fn wait_for_closed_port(server: &LogServer) {
    let connect = async || TcpStream::connect(server.address()).await.err();
    eventually(connect).await;
}

async fn append_with_retries(client: &HttpLog, text: &'static str) -> LogOffset {
    eventually(async || append(client, text).await.ok()).await
}

#[tokio::test]
async fn an_outage_fails_waiting_reads() {
    let log = open_log(Retention::default());
    let reader = log.client.clone();
    let read = tokio::spawn(async move {
        reader
            .read(STREAM, LogOffset(0), Duration::from_secs(20))
            .await
    });
    tokio::time::sleep(Duration::from_millis(50)).await;
    log.server.set_mode(LogMode {
        down: true,
        ..LogMode::default()
    });
    let error = read.await.unwrap().unwrap_err();
    assert_eq!(error_kind(&error), "unavailable");
}

#[rstest]
#[case::by_count(Retention { entries: Some(2), age: None }, 3)]
#[case::by_age(Retention { entries: None, age: Some(Duration::ZERO) }, 5)]
#[tokio::test]
async fn entries_beyond_retention_are_expired(#[case] retention: Retention, #[case] first: u64) {
    let log = open_log(Retention::default());
    for _ in 0..5 {
        append(&log.client, "x").await.unwrap();
    }
    tokio::time::sleep(Duration::from_millis(2)).await;
    log.server.set_retention(retention);
    let error = log
        .client
        .read(STREAM, LogOffset(0), Duration::ZERO)
        .await
        .unwrap_err();
    assert_eq!(
        error,
        PlatformError::Expired {
            first: LogOffset(first)
        }
    );
    assert_eq!(append(&log.client, "y").await, Ok(LogOffset(5)));
}

#[tokio::test]
async fn offsets_continue_after_all_entries_expired() {
    let log = open_log(Retention::default());
    append(&log.client, "a").await.unwrap();
    append(&log.client, "b").await.unwrap();
    log.server.expire(0);
    let page = log
        .client
        .read(STREAM, LogOffset(2), Duration::ZERO)
        .await
        .unwrap();
    assert_eq!((page.first, page.end), (LogOffset(2), LogOffset(2)));
    assert_eq!(append(&log.client, "c").await, Ok(LogOffset(2)));
}

#[tokio::test]
async fn a_malformed_call_is_rejected() {
    let log = open_log(Retention::default());
    let url = format!("http://{}/streams/config?from=x", log.server.address());
    let client = reqwest::Client::builder().no_proxy().build().unwrap();
    let response = client.get(url).send().await.unwrap();
    assert_eq!(response.status().as_u16(), 400);
}

#[tokio::test]
async fn frozen_connections_are_replaced_by_the_next_call() {
    let log = open_log(Retention::default());
    let proxy = FaultProxy::bind(0, log.server.address(), 1).unwrap();
    let client = HttpLog::open(proxy.address(), SHORT_TIMEOUTS);
    append(&client, "a").await.unwrap();
    // Opens several idle connections, all of which freeze.
    let calls = (0..4).map(|_| client.read(STREAM, LogOffset(0), Duration::ZERO));
    for page in futures::future::join_all(calls).await {
        page.unwrap();
    }
    proxy.freeze();
    let error = append(&client, "b").await.unwrap_err();
    assert_eq!(error_kind(&error), "answer lost");
    assert_eq!(append(&client, "c").await, Ok(LogOffset(1)));
}

#[rstest]
#[case::refuse(ProxyPlan { mode: ProxyMode::Refuse, ..ProxyPlan::default() }, 0)]
#[case::silent(ProxyPlan { mode: ProxyMode::Silent, ..ProxyPlan::default() }, 0)]
#[case::requests_lost(
    ProxyPlan { blocked: Some(ProxyDirection::ToServer), ..ProxyPlan::default() },
    0
)]
#[case::answers_lost(
    ProxyPlan { blocked: Some(ProxyDirection::ToClient), ..ProxyPlan::default() },
    1
)]
#[tokio::test]
async fn a_network_fault_leaves_the_outcome_uncertain(
    #[case] plan: ProxyPlan,
    #[case] effects: u64,
) {
    let log = open_log(Retention::default());
    let proxy = FaultProxy::bind(0, log.server.address(), 1).unwrap();
    let client = HttpLog::open(proxy.address(), SHORT_TIMEOUTS);
    proxy.set_plan(plan);
    let error = append(&client, "x").await.unwrap_err();
    assert!(!error.has_no_effect(), "{error}");
    assert_eq!(log.server.appends(), effects);
}

#[tokio::test]
async fn delay_jitter_and_loss_only_make_calls_slower() {
    let log = open_log(Retention::default());
    let proxy = FaultProxy::bind(0, log.server.address(), 5).unwrap();
    let client = HttpLog::open(proxy.address(), HttpTimeouts::default());
    let plan = ProxyPlan {
        delay_us: 5_000,
        jitter_us: 2_000,
        loss: 0.1,
        ..ProxyPlan::default()
    };
    proxy.set_plan(plan);
    let started = Instant::now();
    for count in 0..10 {
        assert_eq!(append(&client, "x").await, Ok(LogOffset(count)));
    }
    assert!(started.elapsed() >= Duration::from_millis(100));
}
