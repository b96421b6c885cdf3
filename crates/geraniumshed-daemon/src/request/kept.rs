//! Whole answers that are kept for repeats of their requests or passed to peers.

use bytes::{Bytes, BytesMut};
use futures::StreamExt as _;
use geraniumshed_model::prelude::{ErrorKind, RunOutcome};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use smol_str::SmolStr;

use super::answer::{AnswerBody, EntryAnswer, EntryError};
use super::forward::{ForwardAnswer, HeaderPair};
use super::header;

/// The bytes that an answer takes beside its body and headers.
const FIXED_SIZE: usize = 256;

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeptAnswer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// Whether the request ran.
    pub outcome: RunOutcome,
    /// The body.
    pub body: Bytes,
}

impl KeptAnswer {
    /// Takes in the whole of an answer, if it is no larger than a limit in bytes.
    pub async fn collect(answer: EntryAnswer, limit: usize) -> Self {
        let body = match answer.body {
            AnswerBody::Whole(bytes) => bytes,
            AnswerBody::Parts(mut parts) => {
                let mut held = BytesMut::new();
                while let Some(part) = parts.next().await {
                    match part {
                        Ok(bytes) if held.len() + bytes.len() <= limit => {
                            held.extend_from_slice(&bytes);
                        }
                        Ok(_) => return Self::from_error(too_large(limit)),
                        Err(_) => return Self::from_error(cut_off()),
                    }
                }
                held.freeze()
            }
        };
        Self {
            status: answer.status,
            headers: answer.headers,
            outcome: answer.outcome,
            body,
        }
    }

    /// Converts an error.
    pub fn from_error(error: EntryError) -> Self {
        let answer = EntryAnswer::from(error);
        let body = match answer.body {
            AnswerBody::Whole(bytes) => bytes,
            AnswerBody::Parts(_) => Bytes::new(),
        };
        Self {
            status: answer.status,
            headers: answer.headers,
            outcome: answer.outcome,
            body,
        }
    }

    /// Returns the answer with a note that it is a repeat.
    #[must_use]
    pub fn replayed(mut self) -> Self {
        let value = HeaderValue::from_static("true");
        self.headers.insert(header::REPLAYED.clone(), value);
        self
    }

    /// Returns the bytes that the answer takes.
    pub fn size(&self) -> usize {
        let headers: usize = self
            .headers
            .iter()
            .map(|(name, value)| name.as_str().len() + value.len())
            .sum();
        FIXED_SIZE + headers + self.body.len()
    }
}

impl From<KeptAnswer> for EntryAnswer {
    fn from(kept: KeptAnswer) -> Self {
        Self {
            status: kept.status,
            headers: kept.headers,
            outcome: kept.outcome,
            body: AnswerBody::Whole(kept.body),
        }
    }
}

impl From<KeptAnswer> for ForwardAnswer {
    fn from(mut kept: KeptAnswer) -> Self {
        let outcome = header::outcome_value(kept.outcome);
        kept.headers.insert(header::OUTCOME.clone(), outcome);
        Self {
            status: kept.status.as_u16(),
            headers: to_pairs(&kept.headers),
            body: kept.body,
        }
    }
}

impl From<ForwardAnswer> for KeptAnswer {
    /// Converts a peer's answer; one without a known outcome counts as unknown.
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

/// Converts headers for a peer.
pub fn to_pairs(headers: &HeaderMap) -> Vec<HeaderPair> {
    headers
        .iter()
        .map(|(name, value)| HeaderPair {
            name: SmolStr::new(name.as_str()),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

/// Converts a peer's headers; those that no HTTP message may carry are left out.
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
    let detail = format!("the answer has more than {limit} bytes, which is too large to be kept");
    let hint = "send requests with large answers without a key";
    EntryError::new(ErrorKind::TruncatedAnswer, &detail, hint)
}

fn cut_off() -> EntryError {
    let hint = "find out whether the request ran before you send it again with a new key";
    EntryError::new(
        ErrorKind::TruncatedAnswer,
        "the endpoint's answer was cut off",
        hint,
    )
}
