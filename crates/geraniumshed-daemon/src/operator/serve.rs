//! Dispatches requests to their routes.

use std::sync::Arc;

use bytes::Buf;
use futures::Stream;
use geraniumshed_model::prelude::{ErrorKind, ProblemError, TaskId};
use geraniumshed_wire::operator::{LevelRequest, MetricValue, ResolveRequest};
use http::{HeaderMap, Method, StatusCode};
use log::{Level, info, log};
use serde::de::DeserializeOwned;
use smol_str::format_smolstr;

use super::access::check_access;
use super::backend::OperatorBackend;
use super::body::read_body;
use super::records::{
    check_records, get_history, get_record, list_records, publish_record, withdraw_record,
};
use super::reply::OperatorReply;
use super::route::OperatorRoute;
use crate::settings::OperatorSettings;

/// The lowest status of errors that the daemon itself causes.
const INTERNAL_STATUS: u16 = 500;

/// The state that all requests share.
#[derive(Debug, Clone)]
pub(super) struct OperatorContext<B> {
    pub(super) backend: B,
    pub(super) settings: Arc<OperatorSettings>,
}

/// A request without its body.
#[derive(Debug)]
pub(super) struct OperatorRequest {
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) query: String,
    pub(super) headers: HeaderMap,
}

/// Answers a request.
pub(super) async fn serve_request<B: OperatorBackend, D: Buf>(
    context: OperatorContext<B>,
    request: OperatorRequest,
    body: impl Stream<Item = Result<D, warp::Error>>,
) -> OperatorReply {
    match answer_request(&context, &request, body).await {
        Ok(reply) => {
            if request.method != Method::GET {
                info!(
                    "operator: {} {} {}",
                    request.method, request.path, reply.status
                );
            }
            reply
        }
        Err(error) => {
            // An operator's mistake, such as an unknown record, is not worth a warning.
            let is_internal = error.kind.answer().status >= INTERNAL_STATUS;
            let level = if is_internal {
                Level::Warn
            } else {
                Level::Info
            };
            log!(
                level,
                "operator: {} {}: {error}",
                request.method,
                request.path
            );
            OperatorReply::from(&error)
        }
    }
}

async fn answer_request<B: OperatorBackend, D: Buf>(
    context: &OperatorContext<B>,
    request: &OperatorRequest,
    body: impl Stream<Item = Result<D, warp::Error>>,
) -> Result<OperatorReply, ProblemError> {
    let settings = &context.settings;
    check_headers(&request.headers, settings.header_limit)?;
    check_access(&request.headers, settings.secret.as_ref())?;
    let route = OperatorRoute::find(&request.method, &request.path)?;
    let body = read_body(body, settings.body_limit, settings.body_timeout).await?;
    let backend = &context.backend;
    match route {
        OperatorRoute::Status => Ok(OperatorReply::json(StatusCode::OK, &backend.status().await)),
        OperatorRoute::Metrics => Ok(OperatorReply::text(metric_lines(&backend.metrics().await))),
        OperatorRoute::ListRecords => list_records(backend, &request.query),
        OperatorRoute::GetRecord(key) => get_record(backend, &key),
        OperatorRoute::GetHistory(key) => get_history(backend, &key).await,
        OperatorRoute::PublishRecord => publish_record(backend, &body).await,
        OperatorRoute::WithdrawRecord(key) => withdraw_record(backend, &key, &request.query).await,
        OperatorRoute::CheckRecords => check_records(backend, &body),
        OperatorRoute::ResolveTask(task) => resolve_task(backend, task, &body).await,
        OperatorRoute::SetLogLevel => set_log_level(backend, &body),
    }
}

fn check_headers(headers: &HeaderMap, limit: usize) -> Result<(), ProblemError> {
    let size: usize = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    if size <= limit {
        return Ok(());
    }
    Err(ProblemError::new(
        ErrorKind::HeadersTooLarge,
        format_smolstr!("the headers have {size} bytes, more than {limit}"),
        "send fewer headers",
    ))
}

async fn resolve_task(
    backend: &impl OperatorBackend,
    task: TaskId,
    body: &[u8],
) -> Result<OperatorReply, ProblemError> {
    let request: ResolveRequest = parse_json(body)?;
    backend.resolve(task, request.decision).await?;
    Ok(OperatorReply::json(StatusCode::OK, &request))
}

fn set_log_level(
    backend: &impl OperatorBackend,
    body: &[u8],
) -> Result<OperatorReply, ProblemError> {
    let request: LevelRequest = parse_json(body)?;
    backend.set_log_level(&request.level)?;
    Ok(OperatorReply::json(StatusCode::OK, &request))
}

fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, ProblemError> {
    serde_json::from_slice(body).map_err(|error| {
        ProblemError::new(
            ErrorKind::Malformed,
            format_smolstr!("the body can't be parsed: {error}"),
            "see docs/openapi.yaml for its format",
        )
    })
}

/// Formats metrics as lines with a name and a value each.
fn metric_lines(metrics: &[MetricValue]) -> String {
    let mut lines = String::new();
    for metric in metrics {
        lines.push_str(&metric.name);
        lines.push(' ');
        lines.push_str(&metric.value.to_string());
        lines.push('\n');
    }
    lines
}
