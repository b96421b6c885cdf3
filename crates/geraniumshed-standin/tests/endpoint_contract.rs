//! An endpoint's stand-in as a daemon sees it, with its record of what ran.

mod support;

use std::time::Duration;

use geraniumshed_model::prelude::TaskClass;
use geraniumshed_standin::TruthLedger;
use geraniumshed_standin::clock::TruthClock;
use geraniumshed_standin::command::SimulateCommand;
use geraniumshed_standin::endpoint::{EndpointConfig, EndpointFault, EndpointServer};
use geraniumshed_standin::truth::{ExecutionEnd, RefusalCause};
use reqwest::Response;
use rstest::rstest;

use support::eventually;

/// Short, for requests that are expected to get no answer.
const SHORT_TIMEOUT: Duration = Duration::from_millis(700);

/// Long enough for any answer.
const LONG_TIMEOUT: Duration = Duration::from_secs(20);

struct Endpoint {
    server: EndpointServer,
    ledger: TruthLedger,
    client: reqwest::Client,
}

impl Endpoint {
    fn open(command: &str, slots: usize) -> Self {
        let ledger = TruthLedger::open(TruthClock::start());
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
        // The client is built without TLS, whose provider the platform's clients install.
        drop(rustls_provider());
        Self {
            server: EndpointServer::bind(config, ledger.clone()).unwrap(),
            ledger,
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

    fn ends(&self) -> Vec<Option<ExecutionEnd>> {
        let executions = self.ledger.snapshot().executions;
        executions.iter().map(|run| run.outcome).collect()
    }
}

fn rustls_provider() -> geraniumshed_platform::HttpWorkers {
    geraniumshed_platform::HttpWorkers::open(geraniumshed_platform::HttpTimeouts::default())
}

fn header<'a>(response: &'a Response, name: &str) -> &'a str {
    let value = response.headers().get(name);
    value.map_or("", |value| value.to_str().unwrap())
}

#[tokio::test]
async fn an_answer_belongs_to_its_request_and_is_recorded() {
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
    let run = &endpoint.ledger.snapshot().executions[0];
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
async fn a_fault_keeps_the_whole_answer_back(
    #[case] fault: EndpointFault,
    #[case] ends: &[Option<ExecutionEnd>],
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
    // The endpoint notices a closed connection a little later.
    eventually(async || (endpoint.ends() == ends).then_some(())).await;
    endpoint.server.set_fault(EndpointFault::None);
    let retry = async || endpoint.post("r2", "/book", LONG_TIMEOUT).send().await.ok();
    eventually(retry).await;
}

#[tokio::test]
async fn a_crossed_answer_names_another_request() {
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
    let record = endpoint.ledger.snapshot();
    assert_eq!(record.executions.len(), 2);
    assert_eq!(record.refusals[0].cause, RefusalCause::Busy);
    let ran = |request: &str| record.executions.iter().any(|run| run.request == *request);
    assert!(!ran(&record.refusals[0].request));
}

#[tokio::test]
async fn a_leaving_endpoint_finishes_what_it_has_and_runs_nothing_new() {
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
    let record = endpoint.ledger.snapshot();
    assert_eq!(record.executions.len(), 1);
    assert_eq!(record.refusals[0].cause, RefusalCause::Leaving);
    assert_eq!(record.leavings[0].name, "booking/0/0@1");
}

#[tokio::test]
async fn a_caller_that_hangs_up_leaves_a_record() {
    let endpoint = Endpoint::open("simulate serve=60s", 2);
    let _ = endpoint
        .post("r1", "/book", SHORT_TIMEOUT)
        .send()
        .await
        .unwrap_err();
    eventually(async || (endpoint.ends() == [Some(ExecutionEnd::Abandoned)]).then_some(())).await;
}

#[tokio::test]
async fn a_streamed_answer_comes_in_parts() {
    let endpoint = Endpoint::open("simulate serve=1ms", 2);
    let request = endpoint.post("r1", "/listen?stream=5&answer=1KB", LONG_TIMEOUT);
    let response = request.send().await.unwrap();
    assert_eq!(response.content_length(), None);
    assert!(response.text().await.unwrap().ends_with("\"end\":true}"));
}

#[tokio::test]
async fn the_same_seed_gives_the_same_times() {
    let times = |seed: u64| {
        let command = "simulate serve=20ms spread=1";
        let command = SimulateCommand::parse(command, TaskClass::Service).unwrap();
        geraniumshed_standin::endpoint::draw_times(seed, "booking/0/0@1", &command, 20)
    };
    assert_eq!(times(1), times(1));
    assert_ne!(times(1), times(2));
    let total: Duration = times(3).iter().sum();
    assert!(total > Duration::from_millis(100) && total < Duration::from_secs(2));
}
