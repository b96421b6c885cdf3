//! An endpoint's stand-in from a daemon's view, and the history that it records.

mod support;

use std::time::Duration;

use geraniumshed_model::prelude::TaskClass;
use geraniumshed_standin::HistoryRecorder;
use geraniumshed_standin::clock::StandinClock;
use geraniumshed_standin::command::SimulateCommand;
use geraniumshed_standin::endpoint::{EndpointConfig, EndpointFault, EndpointServer};
use geraniumshed_standin::history::{ExecutionEnd, RefusalCause};
use reqwest::Response;
use rstest::rstest;

use support::eventually;

/// Short timeout for requests that are expected to get no response.
const SHORT_TIMEOUT: Duration = Duration::from_millis(700);

/// Long enough for any response.
const LONG_TIMEOUT: Duration = Duration::from_secs(20);

struct Endpoint {
    server: EndpointServer,
    recorder: HistoryRecorder,
    client: reqwest::Client,
}

impl Endpoint {
    fn open(command: &str, slots: usize) -> Self {
        let recorder = HistoryRecorder::open(StandinClock::start());
        let config = EndpointConfig {
            name: "booking/0/0@1".into(),
            service: "booking".into(),
            vm: "worker-0".into(),
            slots,
            connections: 60,
            command: SimulateCommand::parse(command, TaskClass::Service).unwrap(),
            seed: 1,
            proxied: false,
        };
        // Opens a platform client, which installs the TLS provider that the client below needs.
        drop(install_tls_provider());
        Self {
            server: EndpointServer::bind(config, recorder.clone()).unwrap(),
            recorder,
            client: reqwest::Client::builder().no_proxy().build().unwrap(),
        }
    }

    fn post(&self, id: &str, path: &str, timeout: Duration) -> reqwest::RequestBuilder {
        self.client
            .post(format!("http://{}{path}", self.server.address()))
            .header("Geraniumshed-Request-Id", id)
            .header("Idempotency-Key", format!("key-{id}"))
            .timeout(timeout)
            .body(format!("body of {id}"))
    }

    fn outcomes(&self) -> Vec<Option<ExecutionEnd>> {
        let executions = self.recorder.snapshot().executions;
        executions.iter().map(|run| run.outcome).collect()
    }
}

fn install_tls_provider() -> geraniumshed_platform::HttpWorkers {
    geraniumshed_platform::HttpWorkers::open(geraniumshed_platform::HttpTimeouts::default())
}

fn header<'a>(response: &'a Response, name: &str) -> &'a str {
    let value = response.headers().get(name);
    value.map_or("", |value| value.to_str().unwrap())
}

#[tokio::test]
async fn a_response_names_its_request_and_the_execution_is_recorded() {
    let endpoint = Endpoint::open("simulate serve=1ms", 2);
    let response = endpoint
        .post("r1", "/book?x=1", LONG_TIMEOUT)
        .send()
        .await
        .unwrap();
    assert_eq!(header(&response, "geraniumshed-request-id"), "r1");
    assert_eq!(header(&response, "geraniumshed-in-flight"), "0");
    let body = response.text().await.unwrap();
    assert!(
        body.contains("body of r1") && body.ends_with("\"end\":true}"),
        "{body}"
    );
    let run = &endpoint.recorder.snapshot().executions[0];
    assert_eq!(
        (run.request.as_str(), run.key.as_deref()),
        ("r1", Some("key-r1"))
    );
    assert!(!run.idempotent);
    assert!(run.end.unwrap() - run.begin >= 1000);
    assert_eq!(run.outcome, Some(ExecutionEnd::Answered));
}

#[rstest]
#[case::refuse(EndpointFault::Refuse, &[])]
#[case::silent(EndpointFault::Silent, &[])]
#[case::late(EndpointFault::Late { by_ms: 60_000 }, &[Some(ExecutionEnd::Abandoned)])]
#[case::slow(EndpointFault::Slow { factor: 1_000_000 }, &[Some(ExecutionEnd::Abandoned)])]
#[case::cut(EndpointFault::CutBody, &[Some(ExecutionEnd::BrokenOff)])]
#[tokio::test]
async fn a_fault_prevents_a_complete_response(
    #[case] fault: EndpointFault,
    #[case] outcomes: &[Option<ExecutionEnd>],
) {
    let mut endpoint = Endpoint::open("simulate serve=1ms", 2);
    endpoint.server.set_fault(fault);
    let response = endpoint
        .post("r1", "/book?answer=1MB", SHORT_TIMEOUT)
        .send()
        .await;
    let body = match response {
        Ok(response) => response.bytes().await,
        Err(error) => Err(error),
    };
    let _ = body.unwrap_err();
    // The endpoint detects a closed connection with a short delay.
    eventually(async || (endpoint.outcomes() == outcomes).then_some(())).await;
    endpoint.server.set_fault(EndpointFault::None);
    let retry = async || endpoint.post("r2", "/book", LONG_TIMEOUT).send().await.ok();
    eventually(retry).await;
}

#[tokio::test]
async fn a_misdirected_response_names_another_request() {
    let mut endpoint = Endpoint::open("simulate serve=1ms", 2);
    endpoint.server.set_fault(EndpointFault::WrongRequest);
    let response = endpoint
        .post("r1", "/book", LONG_TIMEOUT)
        .send()
        .await
        .unwrap();
    assert_ne!(header(&response, "geraniumshed-request-id"), "r1");
    assert!(!response.text().await.unwrap().contains("body of r1"));
}

#[tokio::test]
async fn a_full_endpoint_refuses_without_running() {
    let endpoint = Endpoint::open("simulate serve=1s queue=1", 1);
    let posts = (0..3).map(|index| {
        endpoint
            .post(&format!("r{index}"), "/book", LONG_TIMEOUT)
            .send()
    });
    let responses = futures::future::join_all(posts).await;
    let refused: Vec<_> = responses
        .iter()
        .flatten()
        .filter(|response| response.status().as_u16() == 503)
        .collect();
    assert_eq!(refused.len(), 1);
    assert_eq!(header(refused[0], "geraniumshed-outcome"), "not-run");
    let history = endpoint.recorder.snapshot();
    assert_eq!(history.executions.len(), 2);
    assert_eq!(history.refusals[0].cause, RefusalCause::Busy);
    let ran = |request: &str| history.executions.iter().any(|run| run.request == *request);
    assert!(!ran(&history.refusals[0].request));
}

#[tokio::test]
async fn a_leaving_endpoint_completes_requests_in_flight_and_refuses_new_ones() {
    let endpoint = Endpoint::open("simulate serve=300ms linger=0ms", 2);
    let first = tokio::spawn(endpoint.post("r1", "/book", LONG_TIMEOUT).send());
    eventually(async || (endpoint.server.in_flight() == 1).then_some(())).await;
    endpoint.server.leave();
    assert!(!endpoint.server.is_drained());
    let second = endpoint
        .post("r2", "/book", LONG_TIMEOUT)
        .send()
        .await
        .unwrap();
    assert_eq!(second.status().as_u16(), 503);
    assert_eq!(header(&second, "geraniumshed-leaving"), "true");
    assert_eq!(header(&second, "geraniumshed-outcome"), "not-run");
    let health = format!("http://{}/health", endpoint.server.address());
    assert_eq!(
        endpoint
            .client
            .get(health)
            .send()
            .await
            .unwrap()
            .status()
            .as_u16(),
        503
    );
    let first = first.await.unwrap().unwrap();
    assert_eq!(first.status().as_u16(), 200);
    assert_eq!(header(&first, "geraniumshed-leaving"), "true");
    assert!(endpoint.server.is_drained());
    let history = endpoint.recorder.snapshot();
    assert_eq!(history.executions.len(), 1);
    assert_eq!(history.refusals[0].cause, RefusalCause::Leaving);
    assert_eq!(history.leavings[0].name, "booking/0/0@1");
}

#[tokio::test]
async fn a_client_disconnect_is_recorded_as_abandoned() {
    let endpoint = Endpoint::open("simulate serve=60s", 2);
    let _ = endpoint
        .post("r1", "/book", SHORT_TIMEOUT)
        .send()
        .await
        .unwrap_err();
    eventually(async || (endpoint.outcomes() == [Some(ExecutionEnd::Abandoned)]).then_some(()))
        .await;
}

#[tokio::test]
async fn a_streamed_response_has_no_declared_length() {
    let endpoint = Endpoint::open("simulate serve=1ms", 2);
    let request = endpoint.post("r1", "/listen?stream=5&answer=1KB", LONG_TIMEOUT);
    let response = request.send().await.unwrap();
    assert_eq!(response.content_length(), None);
    assert!(response.text().await.unwrap().ends_with("\"end\":true}"));
}

#[tokio::test]
async fn service_times_are_deterministic_for_a_seed() {
    let times = |seed: u64| {
        let command = "simulate serve=20ms spread=1";
        let command = SimulateCommand::parse(command, TaskClass::Service).unwrap();
        geraniumshed_standin::endpoint::draw_service_times(seed, "booking/0/0@1", &command, 20)
    };
    assert_eq!(times(1), times(1));
    assert_ne!(times(1), times(2));
    let total: Duration = times(3).iter().sum();
    assert!(total > Duration::from_millis(100) && total < Duration::from_secs(2));
}
