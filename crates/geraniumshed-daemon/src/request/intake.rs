//! Handles a caller's request: checks the headers, reads the body, and finds the service and the
//! daemon that has to dispatch it.

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
use super::dispatch::{ReadyRequest, RequestDispatch, effective_deadline};
use super::forward::PeerForwarder;
use super::forwarding::{forward_request, idempotency_key};
use super::header;
use super::key_log::KeyLog;
use super::keyed::{KeyRoute, KeyedHandler, KeyedRequest};
use super::shared::EntryShared;
use super::status::{add_one, subtract_one};
use super::target::{ServiceTarget, find_target};
use super::tickets::{TICKETS_PATH, issue_tickets};
use crate::telemetry::{HopName, HopSpan};

/// The path of the load balancer's health check.
const HEALTH_PATH: &str = "/health";

/// The prefix of the paths of all services.
const SERVICE_PREFIX: &str = "/services/";

/// The head of a caller's request: its request line and headers.
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
    keyed: Arc<KeyedHandler<P, K>>,
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
        return finish_response(shared, health(shared), &method);
    }
    add_one(&shared.counters.received);
    add_one(&shared.counters.active);
    let answer = match route(&keyed, incoming, stream).await {
        Ok(answer) => answer,
        Err(error) => error.into(),
    };
    subtract_one(&shared.counters.active);
    shared.counters.count_outcome(answer.outcome);
    finish_response(shared, answer, &method)
}

/// Converts an answer to a response; during a planned stop it closes the connection, so that the
/// caller reconnects to another daemon.
fn finish_response(shared: &EntryShared, mut answer: EntryAnswer, method: &Method) -> Response {
    if shared.draining.load(Ordering::Relaxed) {
        let close = HeaderValue::from_static("close");
        answer.headers.insert(CONNECTION, close);
    }
    answer.into_response(method)
}

async fn route<P, K, S, B>(
    keyed: &Arc<KeyedHandler<P, K>>,
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
    let requested = requested_deadline(&incoming.headers)?;
    let key = idempotency_key(&incoming.headers)?;
    shared.consume_rate(&service).map_err(rate_limited)?;
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
        deadline: effective_deadline(shared.now(), service.deadline, requested),
        span,
    };
    match key {
        Some(key) => serve_keyed(keyed, name, service, key, ready).await,
        None => Ok(dispatch(shared, &service, ready).await),
    }
}

/// Serves a request with an idempotency key, or forwards it to the daemon that may dispatch it.
async fn serve_keyed<P, K>(
    keyed: &Arc<KeyedHandler<P, K>>,
    name: RecordName,
    service: ServiceTarget,
    key: String,
    mut ready: ReadyRequest,
) -> Result<EntryAnswer, EntryError>
where
    P: PeerForwarder,
    K: KeyLog,
{
    let RequestBody::Buffered(body) = std::mem::replace(&mut ready.body, RequestBody::Consumed)
    else {
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
        KeyRoute::Peer(peer, incarnation) => {
            forward_request(keyed, peer, incarnation, request).await
        }
        KeyRoute::OwnTicket(_) | KeyRoute::OwnKey(..) => Ok(keyed.serve(request, route).await),
    }
}

/// Dispatches a request in a background task, which goes on if the caller disconnects.
async fn dispatch(
    shared: &Arc<EntryShared>,
    service: &ServiceTarget,
    ready: ReadyRequest,
) -> EntryAnswer {
    let (connected, disconnect) = oneshot::channel();
    let dispatch = RequestDispatch::new(shared, service, ready, disconnect);
    let answer = tokio::spawn(dispatch.run()).await;
    drop(connected);
    answer.unwrap_or_else(|_| {
        EntryError::new(ErrorKind::Internal, "the daemon failed", "tell an operator").into()
    })
}

/// Answers the load balancer's health check, which fails as soon as a planned stop begins.
fn health(shared: &EntryShared) -> EntryAnswer {
    if shared.draining.load(Ordering::Relaxed) {
        let hint = "use another daemon";
        return EntryError::new(ErrorKind::NotServing, "the daemon is stopping", hint).into();
    }
    if !shared.is_ready() {
        return records_not_loaded().into();
    }
    EntryAnswer {
        status: StatusCode::OK,
        headers: HeaderMap::new(),
        outcome: geraniumshed_model::prelude::RunOutcome::Ran,
        body: AnswerBody::Buffered("ready\n".into()),
    }
}

/// Checks the total size of the headers, with 4 bytes of syntax for each.
fn check_headers(headers: &HeaderMap, limit: usize) -> Result<(), EntryError> {
    let size: usize = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + 4)
        .sum();
    if size <= limit {
        return Ok(());
    }
    let detail = format!("the headers have {size} bytes, but only {limit} are allowed");
    Err(EntryError::new(
        ErrorKind::HeadersTooLarge,
        &detail,
        "send fewer or smaller headers",
    ))
}

/// Splits a path into the service's name and the path and query within the service.
fn split_path(incoming: &IncomingRequest) -> Result<(RecordName, String), EntryError> {
    let Some(rest) = incoming.path.strip_prefix(SERVICE_PREFIX) else {
        return Err(EntryError::new(
            ErrorKind::NotFound,
            "the path does not belong to a service",
            "use /services/NAME/PATH",
        ));
    };
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let name: RecordName = name.parse().map_err(|_| {
        EntryError::new(
            ErrorKind::Malformed,
            "the service name in the path is invalid",
            "use /services/NAME/PATH",
        )
    })?;
    let target = match &incoming.query {
        Some(query) => format!("/{path}?{query}"),
        None => format!("/{path}"),
    };
    Ok((name, target))
}

/// Parses the header with the time within which the caller needs the answer.
fn requested_deadline(headers: &HeaderMap) -> Result<Option<Duration>, EntryError> {
    let Some(value) = headers.get(&header::DEADLINE) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default();
    let span: TimeSpan = text.parse().map_err(|error| {
        let detail = format!("the deadline is invalid: {error}");
        EntryError::new(ErrorKind::Malformed, &detail, "write it like `250ms`")
    })?;
    Ok(Some(span.0))
}

/// Returns the length of the body according to the headers, if they determine it.
fn declared_length(headers: &HeaderMap) -> Option<u64> {
    if let Some(value) = headers.get(CONTENT_LENGTH) {
        return value.to_str().ok()?.parse().ok();
    }
    let chunked = headers.contains_key(http::header::TRANSFER_ENCODING);
    (!chunked).then_some(0)
}

/// Returns the error for a name without a record: `NotFound` only if this daemon has read all
/// records, since otherwise the record may exist.
fn unknown_service(shared: &EntryShared, name: &RecordName) -> EntryError {
    if !shared.has_all_records() {
        return records_not_loaded();
    }
    let detail = format!("there is no binding and no service named `{name}`");
    EntryError::new(
        ErrorKind::NotFound,
        &detail,
        "publish it, or check the name with `geraniumshed list`",
    )
}

fn records_not_loaded() -> EntryError {
    let detail = "the daemon has not read all records yet";
    EntryError::new(ErrorKind::NotServing, detail, "use another daemon")
}

fn rate_limited(wait: Duration) -> EntryError {
    EntryError::new(
        ErrorKind::RateLimited,
        "the team exceeded its request rate",
        "send the request again after the time in Retry-After",
    )
    .with_retry_after(wait)
}
