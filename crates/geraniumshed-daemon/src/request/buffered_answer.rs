//! Answers with their complete body in memory, which are stored for repeated requests or sent to
//! peers.

use bytes::{Bytes, BytesMut};
use futures::StreamExt as _;
use geraniumshed_model::prelude::{ErrorKind, RunOutcome};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use smol_str::SmolStr;

use super::answer::{AnswerBody, EntryAnswer, EntryError};
use super::forward::{ForwardAnswer, HeaderPair};
use super::header;

/// The approximate memory of an answer without its body and headers, in bytes.
const FIXED_SIZE: usize = 256;

/// An answer with its complete body in memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BufferedAnswer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// Whether the request ran.
    pub outcome: RunOutcome,
    /// The body.
    pub body: Bytes,
}

impl BufferedAnswer {
    /// Reads the complete body of an answer. Returns an error answer if a streamed body exceeds
    /// `limit` bytes or is cut off.
    pub async fn collect(answer: EntryAnswer, limit: usize) -> Self {
        let body = match answer.body {
            AnswerBody::Buffered(bytes) => bytes,
            AnswerBody::Streamed(mut chunks) => {
                let mut buffered = BytesMut::new();
                while let Some(chunk) = chunks.next().await {
                    match chunk {
                        Ok(bytes) if buffered.len() + bytes.len() <= limit => {
                            buffered.extend_from_slice(&bytes);
                        }
                        Ok(_) => return Self::from_error(too_large(limit)),
                        Err(_) => return Self::from_error(cut_off()),
                    }
                }
                buffered.freeze()
            }
        };
        Self {
            status: answer.status,
            headers: answer.headers,
            outcome: answer.outcome,
            body,
        }
    }

    /// Creates the answer for an error.
    pub fn from_error(error: EntryError) -> Self {
        let answer = EntryAnswer::from(error);
        let body = match answer.body {
            AnswerBody::Buffered(bytes) => bytes,
            AnswerBody::Streamed(_) => Bytes::new(),
        };
        Self {
            status: answer.status,
            headers: answer.headers,
            outcome: answer.outcome,
            body,
        }
    }

    /// Marks the answer as a replay by a header.
    #[must_use]
    pub fn replayed(mut self) -> Self {
        let value = HeaderValue::from_static("true");
        self.headers.insert(header::REPLAYED.clone(), value);
        self
    }

    /// Returns the approximate memory of the answer in bytes.
    pub fn size(&self) -> usize {
        let headers: usize = self
            .headers
            .iter()
            .map(|(name, value)| name.as_str().len() + value.len())
            .sum();
        FIXED_SIZE + headers + self.body.len()
    }
}

impl From<BufferedAnswer> for EntryAnswer {
    fn from(answer: BufferedAnswer) -> Self {
        Self {
            status: answer.status,
            headers: answer.headers,
            outcome: answer.outcome,
            body: AnswerBody::Buffered(answer.body),
        }
    }
}

impl From<BufferedAnswer> for ForwardAnswer {
    fn from(mut answer: BufferedAnswer) -> Self {
        let outcome = header::outcome_value(answer.outcome);
        answer.headers.insert(header::OUTCOME.clone(), outcome);
        Self {
            status: answer.status.as_u16(),
            headers: to_pairs(&answer.headers),
            body: answer.body,
        }
    }
}

impl From<ForwardAnswer> for BufferedAnswer {
    /// Converts a peer's answer; a missing or invalid outcome becomes [`RunOutcome::Unknown`].
    fn from(answer: ForwardAnswer) -> Self {
        let mut headers = from_pairs(&answer.headers);
        let outcome = headers.remove(&header::OUTCOME);
        Self {
            status: StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY),
            headers,
            outcome: outcome
                .as_ref()
                .and_then(|value| value.to_str().ok())
                .map_or(RunOutcome::Unknown, parse_outcome),
            body: answer.body,
        }
    }
}

/// Converts headers to the form that is sent to peers.
pub fn to_pairs(headers: &HeaderMap) -> Vec<HeaderPair> {
    headers
        .iter()
        .map(|(name, value)| HeaderPair {
            name: SmolStr::new(name.as_str()),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

/// Converts headers from a peer, leaving out those that are invalid in HTTP.
pub fn from_pairs(pairs: &[HeaderPair]) -> HeaderMap {
    pairs
        .iter()
        .filter_map(|pair| {
            let name: HeaderName = pair.name.parse().ok()?;
            let value = HeaderValue::from_bytes(&pair.value).ok()?;
            Some((name, value))
        })
        .collect()
}

fn parse_outcome(text: &str) -> RunOutcome {
    match text {
        "ran" => RunOutcome::Ran,
        "not-run" => RunOutcome::NotRun,
        _ => RunOutcome::Unknown,
    }
}

fn too_large(limit: usize) -> EntryError {
    let detail = format!(
        "the answer has more than {limit} bytes, which is too large for a request with a key"
    );
    let hint = "send requests with large answers without a key";
    EntryError::new(ErrorKind::TruncatedAnswer, &detail, hint)
}

fn cut_off() -> EntryError {
    let hint = "check whether the request ran before you send it again with a new key";
    EntryError::new(
        ErrorKind::TruncatedAnswer,
        "the endpoint's answer was cut off",
        hint,
    )
}
