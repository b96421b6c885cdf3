//! The routes of the operators' interface.

use geraniumshed_model::prelude::{ErrorKind, ParseIdError, ProblemError, RecordKey, TaskId};
use http::Method;
use smol_str::{ToSmolStr, format_smolstr};

/// A route with the parameters of its path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorRoute {
    /// The state of the cluster.
    Status,
    /// The current values of all metrics.
    Metrics,
    /// The records in force.
    ListRecords,
    /// One record in force.
    GetRecord(RecordKey),
    /// All publications of a record.
    GetHistory(RecordKey),
    /// Publishes a record.
    PublishRecord,
    /// Withdraws a record.
    WithdrawRecord(RecordKey),
    /// Checks records without publishing them.
    CheckRecords,
    /// Decides about a task of which it is unknown whether it ran.
    ResolveTask(TaskId),
    /// Sets the level of log lines.
    SetLogLevel,
}

/// The name of a route, without the parameters of its path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteName {
    /// See [`OperatorRoute::Status`].
    Status,
    /// See [`OperatorRoute::Metrics`].
    Metrics,
    /// See [`OperatorRoute::ListRecords`].
    ListRecords,
    /// See [`OperatorRoute::GetRecord`].
    GetRecord,
    /// See [`OperatorRoute::GetHistory`].
    GetHistory,
    /// See [`OperatorRoute::PublishRecord`].
    PublishRecord,
    /// See [`OperatorRoute::WithdrawRecord`].
    WithdrawRecord,
    /// See [`OperatorRoute::CheckRecords`].
    CheckRecords,
    /// See [`OperatorRoute::ResolveTask`].
    ResolveTask,
    /// See [`OperatorRoute::SetLogLevel`].
    SetLogLevel,
}

/// A row of the route table.
#[derive(Debug, Clone, Copy)]
pub struct RouteEntry {
    /// The method.
    pub method: &'static str,
    /// The path, with the names of its parameters in braces.
    pub path: &'static str,
    /// The route.
    pub name: RouteName,
}

/// Builds a row of the route table.
const fn entry(method: &'static str, path: &'static str, name: RouteName) -> RouteEntry {
    RouteEntry { method, path, name }
}

/// All routes of the operators' interface.
pub const OPERATOR_ROUTES: [RouteEntry; 10] = [
    entry("GET", "/operator/status", RouteName::Status),
    entry("GET", "/operator/metrics", RouteName::Metrics),
    entry("GET", "/operator/records", RouteName::ListRecords),
    entry("POST", "/operator/records", RouteName::PublishRecord),
    entry(
        "GET",
        "/operator/records/{kind}/{name}",
        RouteName::GetRecord,
    ),
    entry(
        "DELETE",
        "/operator/records/{kind}/{name}",
        RouteName::WithdrawRecord,
    ),
    entry(
        "GET",
        "/operator/records/{kind}/{name}/history",
        RouteName::GetHistory,
    ),
    entry("POST", "/operator/check", RouteName::CheckRecords),
    entry(
        "POST",
        "/operator/tasks/{record}/{generation}/{index}/resolve",
        RouteName::ResolveTask,
    ),
    entry("PUT", "/operator/loglevel", RouteName::SetLogLevel),
];

impl OperatorRoute {
    /// Finds the route of a request.
    ///
    /// # Errors
    ///
    /// Returns `NotFound` or `MethodNotAllowed` if no route matches, and `Malformed` if a parameter
    /// of the path is not valid.
    pub fn find(method: &Method, path: &str) -> Result<Self, ProblemError> {
        let mut allowed = Vec::new();
        for entry in &OPERATOR_ROUTES {
            let Some(parts) = match_path(entry.path, path) else {
                continue;
            };
            if entry.method == method.as_str() {
                return build_route(entry.name, &parts);
            }
            allowed.push(entry.method);
        }
        if allowed.is_empty() {
            return Err(ProblemError::new(
                ErrorKind::NotFound,
                format_smolstr!("the operators' interface has no route `{path}`"),
                "see docs/openapi.yaml for all routes",
            ));
        }
        Err(ProblemError::new(
            ErrorKind::MethodNotAllowed,
            format_smolstr!("`{method}` is not allowed on `{path}`"),
            format_smolstr!("use {}", allowed.join(" or ")),
        ))
    }
}

/// Returns the parameters of a path, or `None` if it doesn't match the template.
fn match_path<'a>(template: &str, path: &'a str) -> Option<Vec<&'a str>> {
    let mut parts = Vec::new();
    let mut segments = path.split('/');
    for expected in template.split('/') {
        let found = segments.next()?;
        if expected.starts_with('{') {
            parts.push(found);
        } else if expected != found {
            return None;
        }
    }
    segments.next().is_none().then_some(parts)
}

fn build_route(name: RouteName, parts: &[&str]) -> Result<OperatorRoute, ProblemError> {
    Ok(match name {
        RouteName::Status => OperatorRoute::Status,
        RouteName::Metrics => OperatorRoute::Metrics,
        RouteName::ListRecords => OperatorRoute::ListRecords,
        RouteName::PublishRecord => OperatorRoute::PublishRecord,
        RouteName::GetRecord => OperatorRoute::GetRecord(parse_key(parts)?),
        RouteName::WithdrawRecord => OperatorRoute::WithdrawRecord(parse_key(parts)?),
        RouteName::GetHistory => OperatorRoute::GetHistory(parse_key(parts)?),
        RouteName::CheckRecords => OperatorRoute::CheckRecords,
        RouteName::ResolveTask => {
            OperatorRoute::ResolveTask(parts.join("/").parse().map_err(malformed)?)
        }
        RouteName::SetLogLevel => OperatorRoute::SetLogLevel,
    })
}

fn parse_key(parts: &[&str]) -> Result<RecordKey, ProblemError> {
    let kind = parts.first().copied().unwrap_or_default();
    let name = parts.get(1).copied().unwrap_or_default();
    Ok(RecordKey {
        kind: kind.parse().map_err(malformed)?,
        name: name.parse().map_err(malformed)?,
    })
}

fn malformed(error: ParseIdError) -> ProblemError {
    let hint = error.hint;
    ProblemError::new(ErrorKind::Malformed, error.to_smolstr(), hint)
}
