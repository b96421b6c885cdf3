//! Callers that send requests through the daemons and check each answer.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use geraniumshed_model::prelude::RecordName;
use geraniumshed_standin::truth::CallerRecord;
use reqwest::{Client, Response};
use serde::Deserialize;
use smol_str::{SmolStr, ToSmolStr, format_smolstr};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

/// The header that names an answer's request.
const REQUEST_ID_HEADER: &str = "geraniumshed-request-id";

/// The header that tells whether a request ran.
const OUTCOME_HEADER: &str = "geraniumshed-outcome";

/// The header that names an idempotency key.
const KEY_HEADER: &str = "idempotency-key";

/// The header that names the time that a caller gives its request.
const DEADLINE_HEADER: &str = "geraniumshed-deadline";

/// The time after which a caller hangs up.
const PATIENCE: Duration = Duration::from_secs(10);

/// Which idempotency key a request carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyChoice {
    /// None.
    Nothing,
    /// A ticket that a daemon issued.
    Ticket,
    /// A key of the caller's own.
    Own,
}

/// The requests that a group of callers sends.
#[derive(Debug, Clone)]
pub struct CallerPlan {
    /// The binding or service.
    pub service: RecordName,
    /// The path within the service.
    pub path: &'static str,
    /// The key that each request carries.
    pub key: KeyChoice,
    /// The time that the callers give each request, if it is less than the service's.
    pub deadline: Option<&'static str>,
    /// The number of requests.
    pub count: u32,
    /// The time between two requests.
    pub pace: Duration,
    /// A text that tells the requests of this group from those of others.
    pub label: &'static str,
}

/// The callers' side of the platform's balancer: tries the daemons in turn.
#[derive(Debug)]
pub struct CallerPool {
    client: Client,
    daemons: Vec<SocketAddr>,
    turn: AtomicUsize,
}

/// The part of a stand-in endpoint's answer by which its caller knows it.
#[derive(Debug, Deserialize)]
struct EchoBody {
    echo: String,
    end: bool,
}

impl CallerPool {
    /// Creates a pool of callers for some daemons.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client can't be set up.
    pub fn open(daemons: Vec<SocketAddr>) -> Result<Self, reqwest::Error> {
        let client = Client::builder().timeout(PATIENCE).no_proxy().build()?;
        Ok(Self {
            client,
            daemons,
            turn: AtomicUsize::new(0),
        })
    }

    /// Sends the requests of a plan at its pace and returns what the callers saw.
    pub async fn send_all(self: std::sync::Arc<Self>, plan: CallerPlan) -> Vec<CallerRecord> {
        let begin = Instant::now();
        let mut callers = JoinSet::new();
        for index in 0..plan.count {
            let pool = std::sync::Arc::clone(&self);
            let plan = plan.clone();
            callers.spawn(async move {
                sleep_until(begin + plan.pace * index).await;
                pool.send(&plan, index).await
            });
        }
        callers.join_all().await
    }

    /// Sends one request to the first daemon that accepts the connection.
    async fn send(&self, plan: &CallerPlan, index: u32) -> CallerRecord {
        let key = match plan.key {
            KeyChoice::Nothing => None,
            KeyChoice::Own => Some(format_smolstr!("{}-{index}", plan.label)),
            KeyChoice::Ticket => match self.fetch_ticket().await {
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
                // The balancer tries the next daemon if one takes no connections.
                Err(error) if error.is_connect() => {}
                Err(_) => return cut_off_record(key),
            }
        }
        unsent_record()
    }

    /// Asks the daemons in turn for a ticket.
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
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        self.daemons[turn % self.daemons.len()]
    }
}

/// The answer to a request for tickets.
#[derive(Debug, Deserialize)]
struct TicketList {
    tickets: Vec<SmolStr>,
}

/// Reads an answer whole and tells whether it belongs to its request.
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

/// Returns the record of a request that no daemon took.
fn unsent_record() -> CallerRecord {
    CallerRecord {
        cut_off: false,
        ..cut_off_record(None)
    }
}
