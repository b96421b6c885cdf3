//! One attempt to run a request at an endpoint: sends it and checks that the answer is complete.

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

/// The number of chunks of a streamed answer that are buffered for a slow caller.
const CHUNK_LIMIT: usize = 2;

/// A request as it is sent to an endpoint.
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
    /// Whether the request stays open (such as a long poll), so that its answer is streamed from
    /// the first byte and may pause for any time.
    pub open_ended: bool,
}

/// The result of an attempt, as far as it is known once the answer can be sent to the caller.
#[derive(Debug)]
pub struct AttemptReport {
    /// The result; [`AttemptResult::Streamed`] if the rest of the answer is still arriving.
    pub result: AttemptResult,
    /// The number of requests in flight that the endpoint reported, if any.
    pub in_flight: Option<u32>,
    /// The answer for the caller, if the attempt produced one.
    pub answer: Option<EntryAnswer>,
    /// Streams the rest of the answer to the caller, if it is still arriving.
    pub relay: Option<AnswerRelay>,
}

impl AttemptReport {
    /// Returns the report of an attempt that could not be started.
    pub fn refused() -> Self {
        Self::failed(AttemptResult::Refused, None)
    }

    fn failed(result: AttemptResult, in_flight: Option<u32>) -> Self {
        Self {
            result,
            in_flight,
            answer: None,
            relay: None,
        }
    }
}

/// Copies a streamed answer from the endpoint to the caller's connection.
#[derive(Debug)]
pub struct AnswerRelay {
    response: Response,
    first_chunk: Bytes,
    sender: mpsc::Sender<Result<Bytes, io::Error>>,
}

/// Sends a request to an endpoint and waits until its answer is complete or ready for streaming.
pub async fn run_attempt(
    pool: &EndpointPool,
    request: AttemptRequest,
    body: reqwest::Body,
    remaining: Duration,
    settings: &EntrySettings,
) -> AttemptReport {
    let work = send_and_read(pool, request, body, remaining, settings);
    match tokio::time::timeout(remaining, work).await {
        Ok(end) => end,
        Err(_) => AttemptReport::failed(AttemptResult::TimedOut, None),
    }
}

async fn send_and_read(
    pool: &EndpointPool,
    request: AttemptRequest,
    body: reqwest::Body,
    remaining: Duration,
    settings: &EntrySettings,
) -> AttemptReport {
    let expected = id_value(request.id);
    let open_ended = request.open_ended;
    let is_head = request.method == Method::HEAD;
    let url = format!("http://{}{}", pool.address(), request.target);
    let mut headers = request.headers;
    headers.insert(header::REQUEST_ID.clone(), expected.clone());
    if let Ok(value) = HeaderValue::try_from(at_least_one_milli(remaining).to_string()) {
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
            return AttemptReport::failed(AttemptResult::Refused, None);
        }
        Err(_) => return AttemptReport::failed(AttemptResult::Lost, None),
    };
    let in_flight = reported_in_flight(response.headers());
    if response.headers().get(&header::REQUEST_ID) != Some(&expected) {
        return AttemptReport::failed(AttemptResult::Mismatched, in_flight);
    }
    if let Some(result) = not_run_result(&response) {
        return AttemptReport::failed(result, in_flight);
    }
    if !is_head && !has_delimited_body(&response) {
        return AttemptReport::failed(AttemptResult::Truncated, in_flight);
    }
    read_answer(response, in_flight, open_ended, settings).await
}

/// Buffers the answer if it fits into the buffer limit; otherwise prepares to stream it.
async fn read_answer(
    mut response: Response,
    in_flight: Option<u32>,
    open_ended: bool,
    settings: &EntrySettings,
) -> AttemptReport {
    let status = response.status();
    let headers = answer_headers(response.headers());
    let mut buffered = BytesMut::new();
    while !open_ended && buffered.len() <= settings.buffer_limit {
        let chunk = tokio::time::timeout(settings.progress_timeout, response.chunk()).await;
        match chunk {
            Ok(Ok(Some(bytes))) => buffered.extend_from_slice(&bytes),
            Ok(Ok(None)) => {
                return AttemptReport {
                    result: AttemptResult::Answered,
                    in_flight,
                    answer: Some(answer(
                        status,
                        headers,
                        AnswerBody::Buffered(buffered.freeze()),
                    )),
                    relay: None,
                };
            }
            Ok(Err(_)) | Err(_) => {
                return AttemptReport::failed(AttemptResult::Truncated, in_flight);
            }
        }
    }
    let (sender, chunks) = mpsc::channel(CHUNK_LIMIT);
    AttemptReport {
        result: AttemptResult::Streamed,
        in_flight,
        answer: Some(answer(status, headers, AnswerBody::Streamed(chunks))),
        relay: Some(AnswerRelay {
            response,
            first_chunk: buffered.freeze(),
            sender,
        }),
    }
}

impl AnswerRelay {
    /// Streams the answer to the caller and returns the attempt's final result.
    ///
    /// `endpoint_timeout` limits the wait for each chunk from the endpoint, `caller_timeout` the
    /// wait until the caller accepts it.
    pub async fn run(
        mut self,
        endpoint_timeout: Option<Duration>,
        caller_timeout: Option<Duration>,
    ) -> AttemptResult {
        let mut chunk = Some(std::mem::take(&mut self.first_chunk));
        while let Some(bytes) = chunk {
            if !bytes.is_empty() && !send_chunk(&mut self.sender, bytes, caller_timeout).await {
                return AttemptResult::Abandoned;
            }
            let next = with_timeout(endpoint_timeout, self.response.chunk()).await;
            let Some(Ok(next)) = next else {
                // The error closes the caller's connection, so that the caller doesn't take the
                // truncated answer for a complete one.
                let error = io::Error::from(io::ErrorKind::UnexpectedEof);
                drop(self.sender.send(Err(error)).await);
                return AttemptResult::StreamLost;
            };
            chunk = next;
        }
        AttemptResult::Streamed
    }
}

/// Sends one chunk to the caller's connection. Returns whether the caller accepted it in time.
async fn send_chunk(
    sender: &mut mpsc::Sender<Result<Bytes, io::Error>>,
    bytes: Bytes,
    caller_timeout: Option<Duration>,
) -> bool {
    matches!(
        with_timeout(caller_timeout, sender.send(Ok(bytes))).await,
        Some(Ok(()))
    )
}

/// Waits for a future, with a timeout if one is given. Returns `None` on timeout.
async fn with_timeout<F: Future>(timeout: Option<Duration>, future: F) -> Option<F::Output> {
    match timeout {
        Some(timeout) => tokio::time::timeout(timeout, future).await.ok(),
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

/// Returns the attempt's result if the endpoint reports that it did not run the request.
fn not_run_result(response: &Response) -> Option<AttemptResult> {
    let headers = response.headers();
    let is_not_run = headers.get(&header::OUTCOME)? == header::outcome_value(RunOutcome::NotRun);
    if !is_not_run {
        return None;
    }
    let is_leaving = headers
        .get(&header::LEAVING)
        .is_some_and(|value| value == "true");
    Some(if is_leaving {
        AttemptResult::Leaving
    } else {
        AttemptResult::Busy
    })
}

/// Returns whether the answer's body has a length or chunked encoding, so that a lost connection
/// can be distinguished from the end of the body.
fn has_delimited_body(response: &Response) -> bool {
    let headers = response.headers();
    let status = response.status();
    status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED
        || headers.contains_key(CONTENT_LENGTH)
        || headers.contains_key(TRANSFER_ENCODING)
}

fn answer_headers(headers: &HeaderMap) -> HeaderMap {
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

/// Rounds down to whole milliseconds, with a minimum of one.
fn at_least_one_milli(span: Duration) -> TimeSpan {
    let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
    TimeSpan(Duration::from_millis(millis.max(1)))
}

/// Converts the chunks of a caller's body to a body of the HTTP client.
pub fn streamed_body(chunks: super::answer::BodyChunks) -> reqwest::Body {
    reqwest::Body::wrap_stream(chunks.map(|chunk| chunk))
}
