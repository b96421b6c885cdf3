//! Callers that check that each answer is complete and belongs to their request.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use geraniumshed_standin::history::CallerRecord;
use reqwest::{Client, Response};
use serde_json::Value;

/// The time after which a caller gives up on a request.
const CALLER_TIMEOUT: Duration = Duration::from_secs(25);

/// The time after which a health check counts as failed.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(500);

/// The id of the next request of this process.
static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// The reply that a caller got, or the error.
#[derive(Debug, Clone)]
pub struct CallerReply {
    /// The record of the request for the judge.
    pub record: CallerRecord,
    /// The HTTP status, or 0 without an answer.
    pub status: u16,
    /// The last segment of the problem type, or the error without an answer.
    pub slug: String,
    /// Whether the connection was refused, so that a load balancer tries another daemon.
    pub is_refused: bool,
}

impl CallerReply {
    /// Returns whether the request was served.
    pub fn is_served(&self) -> bool {
        self.status == 200
    }

    fn without_answer(id: &str, key: Option<&str>, error: &reqwest::Error) -> Self {
        let is_refused = error.is_connect();
        Self {
            record: CallerRecord {
                request: id.into(),
                key: key.map(Into::into),
                told: "".into(),
                own_answer: None,
                cut_off: !is_refused,
            },
            status: 0,
            slug: error.to_string(),
            is_refused,
        }
    }
}

/// An HTTP client that sends requests to daemons.
#[derive(Debug, Clone)]
pub struct Caller {
    client: Client,
}

impl Caller {
    pub fn new() -> Self {
        // Opening the platform's client installs the crypto provider that every client needs.
        drop(geraniumshed_platform::HttpWorkers::open(
            geraniumshed_platform::HttpTimeouts::default(),
        ));
        let client = Client::builder().no_proxy().timeout(CALLER_TIMEOUT);
        Self {
            client: client.build().unwrap(),
        }
    }

    /// Returns the HTTP client, for calls other than requests to services.
    pub fn client(&self) -> &Client {
        &self.client
    }

    /// Returns whether a daemon's health check passes.
    pub async fn is_healthy(&self, daemon: SocketAddr) -> bool {
        let url = format!("http://{daemon}/health");
        let check = self.client.get(url).timeout(HEALTH_TIMEOUT).send().await;
        check.is_ok_and(|response| response.status().as_u16() == 200)
    }

    /// Fetches a ticket from a daemon.
    pub async fn ticket(&self, daemon: SocketAddr) -> String {
        let request = self.client.post(format!("http://{daemon}/tickets"));
        let response: Value = request.send().await.unwrap().json().await.unwrap();
        response["tickets"][0].as_str().unwrap().to_owned()
    }

    /// Returns a request id that is unique among all processes of the tests.
    pub fn next_id() -> String {
        let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
        format!("q{}-{number}", std::process::id())
    }

    /// Posts a booking whose id is the key if one is given, or else a new id.
    pub async fn post(
        &self,
        daemon: SocketAddr,
        service: &str,
        query: &str,
        key: Option<&str>,
    ) -> CallerReply {
        let id = key.map_or_else(Self::next_id, ToOwned::to_owned);
        self.post_as(daemon, service, query, key, &id).await
    }

    /// Posts a booking with an id.
    pub async fn post_as(
        &self,
        daemon: SocketAddr,
        service: &str,
        query: &str,
        key: Option<&str>,
        id: &str,
    ) -> CallerReply {
        let url = format!("http://{daemon}/services/{service}/book?id={id}&{query}");
        let mut request = self.client.post(url).body(format!("booking {id}"));
        if let Some(key) = key {
            request = request.header("Idempotency-Key", key);
        }
        match request.send().await {
            Ok(response) => read_reply(response, id, key).await,
            Err(error) => CallerReply::without_answer(id, key, &error),
        }
    }
}

async fn read_reply(response: Response, id: &str, key: Option<&str>) -> CallerReply {
    let status = response.status().as_u16();
    let header = |name: &str| {
        let value = response.headers().get(name);
        value.map_or("", |value| value.to_str().unwrap()).to_owned()
    };
    let told = header("geraniumshed-outcome");
    let body = match response.bytes().await {
        Ok(body) => body,
        Err(error) => return CallerReply::without_answer(id, key, &error),
    };
    let json: Value = serde_json::from_slice(&body).unwrap_or_default();
    let own_answer =
        (status == 200).then(|| json["echo"] == format!("booking {id}") && json["end"] == true);
    let slug = json["type"]
        .as_str()
        .unwrap_or("")
        .rsplit(['/', ':'])
        .next();
    CallerReply {
        record: CallerRecord {
            request: id.into(),
            key: key.map(Into::into),
            told: told.into(),
            own_answer,
            cut_off: false,
        },
        status,
        slug: slug.unwrap_or("").to_owned(),
        is_refused: false,
    }
}
