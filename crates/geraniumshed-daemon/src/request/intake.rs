//! The way of a caller's request from its headers to its answer.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Buf;
use futures::Stream;
use geraniumshed_core::request::QueuedRequest;
use geraniumshed_model::prelude::{ErrorKind, RecordName, TimeSpan};
use http::header::{CONNECTION, CONTENT_LENGTH};
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use tokio::sync::oneshot;
use warp::reply::Response;

use super::answer::{AnswerBody, EntryAnswer, EntryError};
use super::attempt::AttemptRequest;
use super::body::{RequestBody, read_body};
use super::flight::{RequestFlight, deadline_of};
use super::header;
use super::shared::EntryShared;
use super::status::{add_one, take_one};
use super::target::{ServiceTarget, find_target};

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
pub async fn answer_request<S, B>(
    shared: Arc<EntryShared>,
    incoming: IncomingRequest,
    stream: S,
) -> Response
where
    S: Stream<Item = Result<B, warp::Error>> + Send + 'static,
    B: Buf + Send,
{
    let method = incoming.method.clone();
    if incoming.path == HEALTH_PATH {
        return finish(&shared, health(&shared), &method);
    }
    add_one(&shared.counters.received);
    add_one(&shared.counters.active);
    let answer = match route(&shared, incoming, stream).await {
        Ok(answer) => answer,
        Err(error) => error.into(),
    };
    take_one(&shared.counters.active);
    shared.counters.count_outcome(answer.outcome);
    finish(&shared, answer, &method)
}

/// Converts an answer for the library; during a planned stop, it asks the caller to reconnect.
fn finish(shared: &EntryShared, mut answer: EntryAnswer, method: &Method) -> Response {
    if shared.draining.load(Ordering::Relaxed) {
        let close = HeaderValue::from_static("close");
        answer.headers.insert(CONNECTION, close);
    }
    answer.into_response(method)
}

async fn route<S, B>(
    shared: &Arc<EntryShared>,
    incoming: IncomingRequest,
    stream: S,
) -> Result<EntryAnswer, EntryError>
where
    S: Stream<Item = Result<B, warp::Error>> + Send + 'static,
    B: Buf + Send,
{
    check_headers(&incoming.headers, shared.settings.header_limit)?;
    let (name, target) = split_path(&incoming)?;
    let service = {
        let config = Arc::clone(&shared.config.borrow());
        find_target(&config, &name)
    };
    let service = service.ok_or_else(|| unknown_service(&name))?;
    let asked = asked_deadline(&incoming.headers)?;
    shared.take_rate(&service).map_err(rate_limited)?;
    let declared = declared_length(&incoming.headers);
    let body = read_body(stream, declared, &shared.settings, &shared.memory).await?;
    Ok(dispatch(shared, &service, incoming, target, body, asked).await)
}

/// Hands a request to the dispatcher in a task of its own, which outlives the caller.
async fn dispatch(
    shared: &Arc<EntryShared>,
    service: &ServiceTarget,
    incoming: IncomingRequest,
    target: String,
    body: RequestBody,
    asked: Option<Duration>,
) -> EntryAnswer {
    let now = shared.now();
    let id = shared.next_id();
    let queued = QueuedRequest {
        id,
        urgency: service.urgency,
        arrived: now,
        deadline: deadline_of(now, service.deadline, asked),
        idempotent: service.spec.idempotent || incoming.method.is_safe(),
        replayable: matches!(body, RequestBody::Whole(_)),
    };
    let mut headers = incoming.headers;
    header::remove_hop_headers(&mut headers);
    header::remove_own_headers(&mut headers);
    if matches!(body, RequestBody::Whole(_)) {
        headers.remove(CONTENT_LENGTH);
    }
    let (gone, caller) = oneshot::channel();
    let flight = RequestFlight {
        shared: Arc::clone(shared),
        gate: shared.gate(&service.service, &service.spec),
        queued,
        request: AttemptRequest {
            id,
            method: incoming.method,
            target,
            headers,
            open_ended: service.spec.listener,
        },
        body,
        caller,
    };
    let task = tokio::spawn(flight.run());
    let answer = task.await;
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

fn unknown_service(name: &RecordName) -> EntryError {
    let detail = format!("there is no binding and no service named `{name}`");
    EntryError::new(
        ErrorKind::NotFound,
        &detail,
        "publish it, or check the name with `geraniumshed list`",
    )
}

fn rate_limited(wait: Duration) -> EntryError {
    EntryError::new(
        ErrorKind::RateLimited,
        "the team sent more requests than its rate allows",
        "send the request again after the time in Retry-After",
    )
    .after(wait)
}
