//! Simulated callers that send requests to the daemons and check each answer.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use geraniumshed_model::prelude::RecordName;
use geraniumshed_standin::history::CallerRecord;
use reqwest::{Client, Response};
use serde::Deserialize;
use smol_str::{SmolStr, ToSmolStr, format_smolstr};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

/// The response header with the id of the answered request.
const REQUEST_ID_HEADER: &str = "geraniumshed-request-id";

/// The response header that states whether the request ran.
const OUTCOME_HEADER: &str = "geraniumshed-outcome";

/// The request header with the idempotency key.
const KEY_HEADER: &str = "idempotency-key";

/// The request header with the caller's deadline.
const DEADLINE_HEADER: &str = "geraniumshed-deadline";

/// The time after which a caller closes the connection.
const CALLER_TIMEOUT: Duration = Duration::from_secs(10);

/// The kind of idempotency key that a request carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyKind {
    /// No key.
    NoKey,
    /// A ticket that a daemon issued.
    Ticket,
    /// A key that the caller chose itself.
    CallerKey,
}

/// The requests sent by a group of callers.
#[derive(Debug, Clone)]
pub struct CallerPlan {
    /// The name of the service, or of a binding to it.
    pub service: RecordName,
    /// The path within the service.
    pub path: &'static str,
    /// The kind of key that each request carries.
    pub key: KeyKind,
    /// The deadline that callers set on each request, if shorter than that of the service.
    pub deadline: Option<&'static str>,
    /// The number of requests.
    pub count: u32,
    /// The time between two requests.
    pub interval: Duration,
    /// A text that starts the body of each request, unique to this group.
    pub label: &'static str,
}

/// A client that acts like callers behind the platform's load balancer: it sends each request to
/// the next daemon, round robin.
#[derive(Debug)]
pub struct CallerPool {
    client: Client,
    daemons: Vec<SocketAddr>,
    next_index: AtomicUsize,
}

/// The fields of a stand-in endpoint's answer that are checked against the request.
#[derive(Debug, Deserialize)]
struct EchoBody {
    echo: String,
    end: bool,
}

impl CallerPool {
    /// Creates a pool that sends to the given daemons.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client can't be set up.
    pub fn open(daemons: Vec<SocketAddr>) -> Result<Self, reqwest::Error> {
        let client = Client::builder()
            .timeout(CALLER_TIMEOUT)
            .no_proxy()
            .build()?;
        Ok(Self {
            client,
            daemons,
            next_index: AtomicUsize::new(0),
        })
    }

    /// Sends the requests of a plan at its interval and returns the record of each.
    pub async fn send_all(self: std::sync::Arc<Self>, plan: CallerPlan) -> Vec<CallerRecord> {
        let begin = Instant::now();
        let mut callers = JoinSet::new();
        for index in 0..plan.count {
            let pool = std::sync::Arc::clone(&self);
            let plan = plan.clone();
            callers.spawn(async move {
                sleep_until(begin + plan.interval * index).await;
                pool.send(&plan, index).await
            });
        }
        callers.join_all().await
    }

    /// Sends one request to the first daemon that accepts the connection.
    async fn send(&self, plan: &CallerPlan, index: u32) -> CallerRecord {
        let key = match plan.key {
            KeyKind::NoKey => None,
            KeyKind::CallerKey => Some(format_smolstr!("{}-{index}", plan.label)),
            KeyKind::Ticket => match self.fetch_ticket().await {
                Some(ticket) => Some(ticket),
                None => return unsent_record(),
            },
        };
        let body = format!("{} {index}", plan.label);
        for _ in 0..self.daemons.len() {
            let url = format!(
                "http://{}/services/{}{}",
                self.next_daemon(),
                plan.service,
                plan.path
            );
            let mut request = self.client.post(url).body(body.clone());
            if let Some(key) = &key {
                request = request.header(KEY_HEADER, key.as_str());
            }
            if let Some(deadline) = plan.deadline {
                request = request.header(DEADLINE_HEADER, deadline);
            }
            match request.send().await {
                Ok(response) => return read_answer(response, key, &body).await,
                // Like the load balancer, tries the next daemon if the connection is refused.
                Err(error) if error.is_connect() => {}
                Err(_) => return cut_off_record(key),
            }
        }
        unsent_record()
    }

    /// Fetches a ticket from the first daemon that issues one.
    async fn fetch_ticket(&self) -> Option<SmolStr> {
        for _ in 0..self.daemons.len() {
            let url = format!("http://{}/tickets?count=1", self.next_daemon());
            let Ok(response) = self.client.post(url).send().await else {
                continue;
            };
            let Ok(list) = response.json::<TicketList>().await else {
                continue;
            };
            if let Some(ticket) = list.tickets.into_iter().next() {
                return Some(ticket);
            }
        }
        None
    }

    fn next_daemon(&self) -> SocketAddr {
        let next_index = self.next_index.fetch_add(1, Ordering::Relaxed);
        self.daemons[next_index % self.daemons.len()]
    }
}

/// The answer to a ticket request.
#[derive(Debug, Deserialize)]
struct TicketList {
    tickets: Vec<SmolStr>,
}

/// Reads a whole answer and records whether it belongs to its request.
async fn read_answer(response: Response, key: Option<SmolStr>, body: &str) -> CallerRecord {
    let header = |name| {
        let value = response.headers().get(name);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_smolstr()
    };
    let request = header(REQUEST_ID_HEADER);
    let told = header(OUTCOME_HEADER);
    let is_success = response.status().is_success();
    let Ok(bytes) = response.bytes().await else {
        return CallerRecord {
            request,
            key,
            told,
            own_answer: None,
            cut_off: true,
        };
    };
    let own_answer = is_success.then(|| {
        serde_json::from_slice::<EchoBody>(&bytes)
            .is_ok_and(|answer| answer.end && answer.echo == body)
    });
    CallerRecord {
        request,
        key,
        told,
        own_answer,
        cut_off: false,
    }
}

/// Returns the record of a request whose connection broke.
fn cut_off_record(key: Option<SmolStr>) -> CallerRecord {
    CallerRecord {
        request: SmolStr::default(),
        key,
        told: SmolStr::default(),
        own_answer: None,
        cut_off: true,
    }
}

/// Returns the record of a request that no daemon accepted.
fn unsent_record() -> CallerRecord {
    CallerRecord {
        cut_off: false,
        ..cut_off_record(None)
    }
}
