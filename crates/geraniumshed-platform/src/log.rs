//! The platform's append-only log.

use std::time::Duration;

use bytes::Bytes;
use geraniumshed_model::prelude::{LogOffset, LogStream};

use crate::error::PlatformError;

/// One entry of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogEntry {
    /// The offset of the entry.
    pub offset: LogOffset,
    /// The bytes that were appended.
    pub body: Bytes,
}

/// The answer to a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogPage {
    /// The first offset that the log still keeps.
    pub first: LogOffset,
    /// The offset after the last entry of the stream, whether or not it is on this page.
    pub end: LogOffset,
    /// The entries, in the order of their offsets, from the offset asked for onwards.
    pub entries: Vec<LogEntry>,
}

/// A client of the platform's log. Offsets count from 0 in each stream.
pub trait LogClient: Clone + Send + Sync + 'static {
    /// Appends one entry and returns its offset.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::AnswerLost`] if the entry may have been appended all the same.
    fn append(
        &self,
        stream: LogStream,
        body: Bytes,
    ) -> impl Future<Output = Result<LogOffset, PlatformError>> + Send;

    /// Reads entries from an offset onwards, waiting up to `wait` for the first.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Expired`] if the log no longer keeps the offset.
    fn read(
        &self,
        stream: LogStream,
        from: LogOffset,
        wait: Duration,
    ) -> impl Future<Output = Result<LogPage, PlatformError>> + Send;
}
