//! Answers to callers, including RFC 9457 problem details for errors.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt as _;
use futures::channel::mpsc;
use geraniumshed_model::prelude::{ErrorKind, ProblemError, RetryAdvice, RunOutcome};
use http::header::{CONTENT_LENGTH, CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use serde::Serialize;
use warp::reply::{Reply as _, Response};

use super::header;

/// The prefix of the URIs of all problem types.
const PROBLEM_BASE: &str = "https://geraniumshed.invalid/problems/";

/// The chunks of a streamed body; an error means that the body was cut off.
pub type BodyChunks = mpsc::Receiver<Result<Bytes, io::Error>>;

/// The body of an answer.
#[derive(Debug)]
pub enum AnswerBody {
    /// The complete body in memory.
    Buffered(Bytes),
    /// A body that is sent to the caller while it arrives; an error closes the caller's connection.
    Streamed(BodyChunks),
}

/// An answer to a caller.
#[derive(Debug)]
pub struct EntryAnswer {
    /// The status.
    pub status: StatusCode,
    /// The headers, without hop-by-hop headers.
    pub headers: HeaderMap,
    /// Whether the request ran.
    pub outcome: RunOutcome,
    /// The body.
    pub body: AnswerBody,
}

/// The problem details object of RFC 9457, extended by a hint and the outcome.
#[derive(Debug, Serialize)]
struct ProblemBody<'a> {
    r#type: String,
    title: &'a str,
    status: u16,
    detail: &'a str,
    #[serde(skip_serializing_if = "str::is_empty")]
    hint: &'a str,
    outcome: String,
}

/// An error with the delay after which the caller may retry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryError {
    /// The problem.
    pub problem: ProblemError,
    /// The delay for the `Retry-After` header, if a retry can help.
    pub retry_after: Option<Duration>,
}

impl EntryError {
    /// Creates an error of a kind.
    pub fn new(kind: ErrorKind, detail: &str, hint: &str) -> Self {
        Self {
            problem: ProblemError::new(kind, detail, hint),
            retry_after: None,
        }
    }

    /// Sets the delay after which the caller may retry.
    #[must_use]
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }
}

impl From<EntryError> for EntryAnswer {
    fn from(error: EntryError) -> Self {
        let answer = error.problem.kind.answer();
        let body = ProblemBody {
            r#type: format!("{PROBLEM_BASE}{}", answer.slug),
            title: answer.title,
            status: answer.status,
            detail: &error.problem.detail,
            hint: &error.problem.hint,
            outcome: answer.outcome.to_string(),
        };
        let bytes = serde_json::to_vec(&body).unwrap_or_default();
        let mut headers = HeaderMap::new();
        headers.insert(
            CONTENT_TYPE,
            HeaderValue::from_static("application/problem+json"),
        );
        if let Some(delay) = retry_delay(answer.retry, error.retry_after) {
            headers.insert(RETRY_AFTER, HeaderValue::from(whole_seconds(delay)));
        }
        Self {
            status: StatusCode::from_u16(answer.status)
                .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR),
            headers,
            outcome: answer.outcome,
            body: AnswerBody::Buffered(bytes.into()),
        }
    }
}

impl EntryAnswer {
    /// Converts the answer to a response of the HTTP library.
    pub fn into_response(mut self, method: &Method) -> Response {
        self.headers
            .insert(header::OUTCOME.clone(), header::outcome_value(self.outcome));
        let mut response = match self.body {
            AnswerBody::Buffered(bytes) => {
                if method != Method::HEAD {
                    self.headers.remove(CONTENT_LENGTH);
                }
                Response::new(bytes.into())
            }
            AnswerBody::Streamed(chunks) => {
                warp::reply::stream(chunks.map(|chunk| chunk)).into_response()
            }
        };
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response
    }
}

/// Returns the delay for `Retry-After`, if the error allows a later retry.
fn retry_delay(advice: RetryAdvice, delay: Option<Duration>) -> Option<Duration> {
    match advice {
        RetryAdvice::Later => Some(delay.unwrap_or(Duration::from_secs(1))),
        RetryAdvice::Never | RetryAdvice::SameKey | RetryAdvice::Ask => None,
    }
}

/// Rounds up to whole seconds, with a minimum of one.
fn whole_seconds(delay: Duration) -> u64 {
    let extra = u64::from(delay.subsec_nanos() > 0);
    (delay.as_secs() + extra).max(1)
}
