//! One attempt at an endpoint: sends the request and checks that the answer is whole.

use std::io;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::channel::mpsc;
use futures::{SinkExt as _, StreamExt as _};
use geraniumshed_core::request::AttemptResult;
use geraniumshed_model::prelude::{RequestId, RunOutcome, TimeSpan};
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use reqwest::Response;

use super::answer::{AnswerBody, EntryAnswer};
use super::header;
use super::pool::EndpointPool;
use super::settings::EntrySettings;

/// The parts of a streamed answer that may wait for the caller.
const PART_LIMIT: usize = 2;

/// What is sent to an endpoint.
#[derive(Debug, Clone)]
pub struct AttemptRequest {
    /// The id of the request.
    pub id: RequestId,
    /// The method.
    pub method: Method,
    /// The path and query, with a leading slash.
    pub target: String,
    /// The headers.
    pub headers: HeaderMap,
    /// Whether the answer is passed on at once, for requests that stay open.
    pub open_ended: bool,
}

/// The end of an attempt, as far as it is known when the answer begins.
#[derive(Debug)]
pub struct AttemptEnd {
    /// How the attempt ended; [`AttemptResult::Streamed`] if the answer is still coming.
    pub result: AttemptResult,
    /// The requests in flight at the endpoint, if it told.
    pub in_flight: Option<u32>,
    /// The answer, if there is one to pass on.
    pub answer: Option<EntryAnswer>,
    /// The task that still passes an answer on.
    pub rest: Option<AnswerRest>,
}

impl AttemptEnd {
    /// Returns the end of an attempt that could not begin.
    pub fn refused() -> Self {
        Self::failed(AttemptResult::Refused, None)
    }

    fn failed(result: AttemptResult, in_flight: Option<u32>) -> Self {
        Self {
            result,
            in_flight,
            answer: None,
            rest: None,
        }
    }
}

/// The part of an answer that is still coming.
#[derive(Debug)]
pub struct AnswerRest {
    response: Response,
    first: Bytes,
    sender: mpsc::Sender<Result<Bytes, io::Error>>,
}

/// Sends a request to an endpoint and waits until its answer is whole or can be passed on.
pub async fn run_attempt(
    pool: &EndpointPool,
    request: AttemptRequest,
    body: reqwest::Body,
    remaining: Duration,
    settings: &EntrySettings,
) -> AttemptEnd {
    let work = send_and_read(pool, request, body, remaining, settings);
    match tokio::time::timeout(remaining, work).await {
        Ok(end) => end,
        Err(_) => AttemptEnd::failed(AttemptResult::TimedOut, None),
    }
}

async fn send_and_read(
    pool: &EndpointPool,
    request: AttemptRequest,
    body: reqwest::Body,
    remaining: Duration,
    settings: &EntrySettings,
) -> AttemptEnd {
    let expected = id_value(request.id);
    let open_ended = request.open_ended;
    let is_head = request.method == Method::HEAD;
    let url = format!("http://{}{}", pool.address(), request.target);
    let mut headers = request.headers;
    headers.insert(header::REQUEST_ID.clone(), expected.clone());
    if let Ok(value) = HeaderValue::try_from(whole_millis(remaining).to_string()) {
        headers.insert(header::DEADLINE.clone(), value);
    }
    let sent = pool
        .client()
        .request(request.method, url)
        .headers(headers)
        .body(body)
        .send()
        .await;
    let response = match sent {
        Ok(response) => response,
        Err(error) if error.is_connect() || error.is_builder() => {
            return AttemptEnd::failed(AttemptResult::Refused, None);
        }
        Err(_) => return AttemptEnd::failed(AttemptResult::Lost, None),
    };
    let in_flight = reported_in_flight(response.headers());
    if response.headers().get(&header::REQUEST_ID) != Some(&expected) {
        return AttemptEnd::failed(AttemptResult::Mismatched, in_flight);
    }
    if let Some(result) = unrun_result(&response) {
        return AttemptEnd::failed(result, in_flight);
    }
    if !is_head && !has_checked_end(&response) {
        return AttemptEnd::failed(AttemptResult::Truncated, in_flight);
    }
    read_answer(response, in_flight, open_ended, settings).await
}

/// Reads an answer whole if it fits the buffer, or begins to pass it on.
async fn read_answer(
    mut response: Response,
    in_flight: Option<u32>,
    open_ended: bool,
    settings: &EntrySettings,
) -> AttemptEnd {
    let status = response.status();
    let headers = passed_headers(response.headers());
    let mut held = BytesMut::new();
    while !open_ended && held.len() <= settings.buffer_limit {
        let part = tokio::time::timeout(settings.progress_timeout, response.chunk()).await;
        match part {
            Ok(Ok(Some(bytes))) => held.extend_from_slice(&bytes),
            Ok(Ok(None)) => {
                return AttemptEnd {
                    result: AttemptResult::Answered,
                    in_flight,
                    answer: Some(answer(status, headers, AnswerBody::Whole(held.freeze()))),
                    rest: None,
                };
            }
            Ok(Err(_)) | Err(_) => return AttemptEnd::failed(AttemptResult::Truncated, in_flight),
        }
    }
    let (sender, parts) = mpsc::channel(PART_LIMIT);
    AttemptEnd {
        result: AttemptResult::Streamed,
        in_flight,
        answer: Some(answer(status, headers, AnswerBody::Parts(parts))),
        rest: Some(AnswerRest {
            response,
            first: held.freeze(),
            sender,
        }),
    }
}

impl AnswerRest {
    /// Passes the rest of the answer on, and returns how the attempt ended.
    ///
    /// `progress` limits the pauses of the endpoint, `patience` those of the caller.
    pub async fn pass_on(
        mut self,
        progress: Option<Duration>,
        patience: Option<Duration>,
    ) -> AttemptResult {
        let mut part = Some(std::mem::take(&mut self.first));
        while let Some(bytes) = part {
            if !bytes.is_empty() && !send_part(&mut self.sender, bytes, patience).await {
                return AttemptResult::Abandoned;
            }
            let next = limit(progress, self.response.chunk()).await;
            let Some(Ok(next)) = next else {
                // The error cuts the caller's connection, so that it can't take the answer for a
                // whole one.
                let cut = io::Error::from(io::ErrorKind::UnexpectedEof);
                drop(self.sender.send(Err(cut)).await);
                return AttemptResult::StreamLost;
            };
            part = next;
        }
        AttemptResult::Streamed
    }
}

/// Hands one part to the caller's connection. Returns whether the caller takes it in time.
async fn send_part(
    sender: &mut mpsc::Sender<Result<Bytes, io::Error>>,
    bytes: Bytes,
    patience: Option<Duration>,
) -> bool {
    matches!(limit(patience, sender.send(Ok(bytes))).await, Some(Ok(())))
}

/// Waits for a future, up to a limit if there is one.
async fn limit<F: Future>(limit: Option<Duration>, future: F) -> Option<F::Output> {
    match limit {
        Some(limit) => tokio::time::timeout(limit, future).await.ok(),
        None => Some(future.await),
    }
}

fn answer(status: StatusCode, headers: HeaderMap, body: AnswerBody) -> EntryAnswer {
    EntryAnswer {
        status,
        headers,
        outcome: RunOutcome::Ran,
        body,
    }
}

/// Returns the result of an answer by which the endpoint says that it did not run the request.
fn unrun_result(response: &Response) -> Option<AttemptResult> {
    let headers = response.headers();
    let unrun = headers.get(&header::OUTCOME)? == header::outcome_value(RunOutcome::NotRun);
    if !unrun {
        return None;
    }
    let leaving = headers
        .get(&header::LEAVING)
        .is_some_and(|value| value == "true");
    Some(if leaving {
        AttemptResult::Leaving
    } else {
        AttemptResult::Busy
    })
}

/// Tells whether the end of the answer's body can be told from a cut connection.
fn has_checked_end(response: &Response) -> bool {
    let headers = response.headers();
    let status = response.status();
    status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED
        || headers.contains_key(CONTENT_LENGTH)
        || headers.contains_key(TRANSFER_ENCODING)
}

fn passed_headers(headers: &HeaderMap) -> HeaderMap {
    let mut passed = headers.clone();
    header::remove_hop_headers(&mut passed);
    passed.remove(&header::IN_FLIGHT);
    passed
}

fn reported_in_flight(headers: &HeaderMap) -> Option<u32> {
    headers.get(&header::IN_FLIGHT)?.to_str().ok()?.parse().ok()
}

fn id_value(id: RequestId) -> HeaderValue {
    HeaderValue::try_from(format!("{:032x}", id.0)).unwrap_or(HeaderValue::from_static("0"))
}

/// Returns a span in whole milliseconds, of which there is at least one.
fn whole_millis(span: Duration) -> TimeSpan {
    let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
    TimeSpan(Duration::from_millis(millis.max(1)))
}

/// Converts the parts of a caller's body for the client library.
pub fn parts_body(parts: super::answer::BodyParts) -> reqwest::Body {
    reqwest::Body::wrap_stream(parts.map(|part| part))
}
