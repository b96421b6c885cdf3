//! The encoding of log entries.

use std::fmt::{self, Display, Formatter};

use bytes::Bytes;
use geraniumshed_model::prelude::{
    ClaimEvent, ConfigEvent, DaemonIncarnation, EndpointEvent, KeyEvent, LogBatch, ShardEvent,
    ShardTerm, WriterMark,
};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::claim::ClaimEventWire;
use super::config::ConfigEventWire;
use super::endpoint::EndpointEventWire;
use super::key::KeyEventWire;
use super::shard::ShardEventWire;
use crate::common::WireError;

/// The version of the encoding, which is the first byte of each entry.
const FORMAT_VERSION: u8 = 1;

/// An event of a stream.
pub trait StreamEvent: Sized + Clone + Send + Sync + 'static {
    /// The type of the event on the wire.
    type Wire: Serialize + DeserializeOwned + From<Self> + TryInto<Self, Error = DecodeError>;

    /// Whether only the owner of the stream's shard appends to it, so that readers ignore entries
    /// with a lower term that follow an entry with a higher one.
    const OWNED: bool;
}

impl StreamEvent for ClaimEvent {
    type Wire = ClaimEventWire;

    const OWNED: bool = false;
}

impl StreamEvent for ConfigEvent {
    type Wire = ConfigEventWire;

    const OWNED: bool = false;
}

impl StreamEvent for EndpointEvent {
    type Wire = EndpointEventWire;

    const OWNED: bool = false;
}

impl StreamEvent for ShardEvent {
    type Wire = ShardEventWire;

    const OWNED: bool = true;
}

impl StreamEvent for KeyEvent {
    type Wire = KeyEventWire;

    const OWNED: bool = true;
}

/// The error for an entry or a snapshot that can't be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DecodeError {
    /// The entry is empty.
    Empty,
    /// The version of the entry is not supported.
    UnknownVersion(u8),
    /// The bytes are not a batch.
    Malformed,
    /// There are bytes after the batch.
    TrailingBytes(usize),
    /// A value in the entry is not valid in the model.
    Invalid(WireError),
    /// The kind in a record's key differs from the kind of its content.
    KindMismatch,
}

impl Display for DecodeError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => f.write_str("the entry is empty"),
            Self::UnknownVersion(version) => {
                write!(f, "the entry has the unknown version {version}")
            }
            Self::Malformed => f.write_str("the entry is not a batch"),
            Self::TrailingBytes(count) => write!(f, "{count} bytes follow the batch"),
            Self::Invalid(error) => Display::fmt(error, f),
            Self::KindMismatch => f.write_str("the record's kind differs from its content"),
        }
    }
}

impl std::error::Error for DecodeError {}

impl From<WireError> for DecodeError {
    fn from(error: WireError) -> Self {
        Self::Invalid(error)
    }
}

/// The error for a batch or a snapshot that can't be encoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EncodeError;

impl Display for EncodeError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("the batch can't be encoded")
    }
}

impl std::error::Error for EncodeError {}

/// A batch on the wire.
#[derive(Debug, Serialize, Deserialize)]
struct LogBatchWire<W> {
    incarnation: u64,
    sequence: u64,
    term: u64,
    events: Vec<W>,
}

/// Encodes a batch as the body of a log entry.
///
/// # Errors
///
/// Returns an error if the serialiser fails, which doesn't happen for any event of the model.
pub fn encode_batch<E: StreamEvent>(batch: &LogBatch<E>) -> Result<Bytes, EncodeError> {
    let wire = LogBatchWire {
        incarnation: batch.mark.incarnation.0,
        sequence: batch.mark.sequence,
        term: batch.term.0,
        events: batch.events.iter().cloned().map(E::Wire::from).collect(),
    };
    let body = postcard::to_extend(&wire, vec![FORMAT_VERSION]).map_err(|_| EncodeError)?;
    Ok(Bytes::from(body))
}

/// Decodes the body of a log entry.
///
/// # Errors
///
/// Returns an error if the bytes are not a valid entry. Doesn't panic on any input.
pub fn decode_batch<E: StreamEvent>(body: &[u8]) -> Result<LogBatch<E>, DecodeError> {
    let (version, rest) = body.split_first().ok_or(DecodeError::Empty)?;
    if *version != FORMAT_VERSION {
        return Err(DecodeError::UnknownVersion(*version));
    }
    let (wire, rest) = postcard::take_from_bytes::<LogBatchWire<E::Wire>>(rest)
        .map_err(|_| DecodeError::Malformed)?;
    if !rest.is_empty() {
        return Err(DecodeError::TrailingBytes(rest.len()));
    }
    let events = wire
        .events
        .into_iter()
        .map(TryInto::try_into)
        .collect::<Result<_, _>>()?;
    Ok(LogBatch {
        mark: WriterMark {
            incarnation: DaemonIncarnation(wire.incarnation),
            sequence: wire.sequence,
        },
        term: ShardTerm(wire.term),
        events,
    })
}
