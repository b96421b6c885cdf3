//! The way of a caller's request from its headers to its answer.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Buf;
use futures::Stream;
use geraniumshed_model::prelude::{ErrorKind, RecordName, TimeSpan};
use http::header::{CONNECTION, CONTENT_LENGTH};
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use tokio::sync::oneshot;
use warp::reply::Response;

use super::answer::{AnswerBody, EntryAnswer, EntryError};
use super::body::{RequestBody, read_body};
use super::flight::{ReadyRequest, RequestFlight, deadline_of};
use super::forward::PeerForwarder;
use super::header;
use super::issue::{TICKETS_PATH, issue_tickets};
use super::key_log::KeyLog;
use super::keyed::{KeyRoute, KeyedEntry, KeyedRequest};
use super::passing::{idempotency_key, pass_on};
use super::shared::EntryShared;
use super::status::{add_one, take_one};
use super::target::{ServiceTarget, find_target};
use crate::telemetry::{HopName, HopSpan};

/// The path of the balancer's health check.
const HEALTH_PATH: &str = "/health";

/// The start of the paths that lead to services.
const SERVICE_PREFIX: &str = "/services/";

/// The first lines of a caller's request.
#[derive(Debug)]
pub struct IncomingRequest {
    /// The method.
    pub method: Method,
    /// The path.
    pub path: String,
    /// The query, without its question mark.
    pub query: Option<String>,
    /// The headers.
    pub headers: HeaderMap,
}

/// Answers one request of a caller.
pub async fn answer_request<P, K, S, B>(
    keyed: Arc<KeyedEntry<P, K>>,
    incoming: IncomingRequest,
    stream: S,
) -> Response
where
    P: PeerForwarder,
    K: KeyLog,
    S: Stream<Item = Result<B, warp::Error>> + Send + 'static,
    B: Buf + Send,
{
    let shared = &keyed.shared;
    let method = incoming.method.clone();
    if incoming.path == HEALTH_PATH {
        return finish(shared, health(shared), &method);
    }
    add_one(&shared.counters.received);
    add_one(&shared.counters.active);
    let answer = match route(&keyed, incoming, stream).await {
        Ok(answer) => answer,
        Err(error) => error.into(),
    };
    take_one(&shared.counters.active);
    shared.counters.count_outcome(answer.outcome);
    finish(shared, answer, &method)
}

/// Converts an answer for the library; during a planned stop, it asks the caller to reconnect.
fn finish(shared: &EntryShared, mut answer: EntryAnswer, method: &Method) -> Response {
    if shared.draining.load(Ordering::Relaxed) {
        let close = HeaderValue::from_static("close");
        answer.headers.insert(CONNECTION, close);
    }
    answer.into_response(method)
}

async fn route<P, K, S, B>(
    keyed: &Arc<KeyedEntry<P, K>>,
    incoming: IncomingRequest,
    stream: S,
) -> Result<EntryAnswer, EntryError>
where
    P: PeerForwarder,
    K: KeyLog,
    S: Stream<Item = Result<B, warp::Error>> + Send + 'static,
    B: Buf + Send,
{
    let shared = &keyed.shared;
    if incoming.path == TICKETS_PATH {
        return issue_tickets(keyed, &incoming.method, incoming.query.as_deref());
    }
    check_headers(&incoming.headers, shared.settings.header_limit)?;
    let (name, target) = split_path(&incoming)?;
    let service = {
        let config = Arc::clone(&shared.config.borrow());
        find_target(&config, &name)
    };
    let service = service.ok_or_else(|| unknown_service(shared, &name))?;
    let asked = asked_deadline(&incoming.headers)?;
    let key = idempotency_key(&incoming.headers)?;
    shared.take_rate(&service).map_err(rate_limited)?;
    let declared = declared_length(&incoming.headers);
    let body = read_body(stream, declared, &shared.settings, &shared.memory).await?;
    let span = shared
        .settings
        .tracing
        .then(|| HopSpan::receive(HopName::Accept, &incoming.headers));
    let ready = ReadyRequest {
        method: incoming.method,
        target,
        headers: incoming.headers,
        body,
        deadline: deadline_of(shared.now(), service.deadline, asked),
        span,
    };
    match key {
        Some(key) => serve_keyed(keyed, name, service, key, ready).await,
        None => Ok(dispatch(shared, &service, ready).await),
    }
}

/// Serves a request with a key here, or passes it on to the daemon that may dispatch it.
async fn serve_keyed<P, K>(
    keyed: &Arc<KeyedEntry<P, K>>,
    name: RecordName,
    service: ServiceTarget,
    key: String,
    mut ready: ReadyRequest,
) -> Result<EntryAnswer, EntryError>
where
    P: PeerForwarder,
    K: KeyLog,
{
    let RequestBody::Whole(body) = std::mem::replace(&mut ready.body, RequestBody::Spent) else {
        return Err(EntryError::new(
            ErrorKind::BodyTooLarge,
            "the body is too large for a request with a key",
            "send a smaller body, or send the request without a key",
        ));
    };
    let route = keyed.route(&service.service, &key)?;
    let request = KeyedRequest {
        name,
        service,
        key,
        ready,
        body,
    };
    match route {
        KeyRoute::Peer(peer, incarnation) => pass_on(keyed, peer, incarnation, request).await,
        KeyRoute::OwnTicket(_) | KeyRoute::OwnKey(..) => Ok(keyed.serve(request, route).await),
    }
}

/// Hands a request to the dispatcher in a task of its own, which outlives the caller.
async fn dispatch(
    shared: &Arc<EntryShared>,
    service: &ServiceTarget,
    ready: ReadyRequest,
) -> EntryAnswer {
    let (gone, caller) = oneshot::channel();
    let flight = RequestFlight::new(shared, service, ready, caller);
    let answer = tokio::spawn(flight.run()).await;
    drop(gone);
    answer.unwrap_or_else(|_| {
        EntryError::new(ErrorKind::Internal, "the daemon failed", "tell an operator").into()
    })
}

/// Answers the balancer's health check, which fails from the beginning of a planned stop.
fn health(shared: &EntryShared) -> EntryAnswer {
    if shared.draining.load(Ordering::Relaxed) {
        let hint = "use another daemon";
        return EntryError::new(ErrorKind::NotServing, "the daemon is stopping", hint).into();
    }
    if !shared.is_ready() {
        return records_unread().into();
    }
    EntryAnswer {
        status: StatusCode::OK,
        headers: HeaderMap::new(),
        outcome: geraniumshed_model::prelude::RunOutcome::Ran,
        body: AnswerBody::Whole("ready\n".into()),
    }
}

/// Checks the size of the headers.
fn check_headers(headers: &HeaderMap, limit: usize) -> Result<(), EntryError> {
    let size: usize = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + 4)
        .sum();
    if size <= limit {
        return Ok(());
    }
    let detail = format!("the headers have {size} bytes, {limit} are allowed");
    Err(EntryError::new(
        ErrorKind::HeadersTooLarge,
        &detail,
        "send fewer or smaller headers",
    ))
}

/// Splits a path into the service's name and the target within the service.
fn split_path(incoming: &IncomingRequest) -> Result<(RecordName, String), EntryError> {
    let Some(rest) = incoming.path.strip_prefix(SERVICE_PREFIX) else {
        return Err(EntryError::new(
            ErrorKind::NotFound,
            "the path leads to no service",
            "use /services/NAME/PATH",
        ));
    };
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let name: RecordName = name.parse().map_err(|_| {
        EntryError::new(
            ErrorKind::Malformed,
            "the path names no valid service",
            "use /services/NAME/PATH",
        )
    })?;
    let target = match &incoming.query {
        Some(query) => format!("/{path}?{query}"),
        None => format!("/{path}"),
    };
    Ok((name, target))
}

/// Reads the time within which the caller wants its answer.
fn asked_deadline(headers: &HeaderMap) -> Result<Option<Duration>, EntryError> {
    let Some(value) = headers.get(&header::DEADLINE) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default();
    let span: TimeSpan = text.parse().map_err(|error| {
        let detail = format!("the deadline can't be read: {error}");
        EntryError::new(ErrorKind::Malformed, &detail, "write it as in `250ms`")
    })?;
    Ok(Some(span.0))
}

fn declared_length(headers: &HeaderMap) -> Option<u64> {
    if let Some(value) = headers.get(CONTENT_LENGTH) {
        return value.to_str().ok()?.parse().ok();
    }
    let chunked = headers.contains_key(http::header::TRANSFER_ENCODING);
    (!chunked).then_some(0)
}

/// Returns the answer to a name without a record; only a daemon that knows all records tells that
/// there is none.
fn unknown_service(shared: &EntryShared, name: &RecordName) -> EntryError {
    if !shared.knows_all_records() {
        return records_unread();
    }
    let detail = format!("there is no binding and no service named `{name}`");
    EntryError::new(
        ErrorKind::NotFound,
        &detail,
        "publish it, or check the name with `geraniumshed list`",
    )
}

fn records_unread() -> EntryError {
    let detail = "the daemon has not read all records yet";
    EntryError::new(ErrorKind::NotServing, detail, "use another daemon")
}

fn rate_limited(wait: Duration) -> EntryError {
    EntryError::new(
        ErrorKind::RateLimited,
        "the team sent more requests than its rate allows",
        "send the request again after the time in Retry-After",
    )
    .after(wait)
}
