//! The client of the platform's append-only log.

use std::time::Duration;

use bytes::Bytes;
use geraniumshed_model::prelude::{LogOffset, LogStream};

use crate::error::PlatformError;

/// An entry of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogEntry {
    /// The offset of the entry.
    pub offset: LogOffset,
    /// The bytes that were appended.
    pub body: Bytes,
}

/// A page of entries, returned by a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogPage {
    /// The first offset that the log still retains.
    pub first: LogOffset,
    /// The offset after the last entry of the stream, whether or not it is on this page.
    pub end: LogOffset,
    /// The entries in offset order, starting at the requested offset.
    pub entries: Vec<LogEntry>,
}

/// A client of the platform's log. The offsets of each stream start at 0.
pub trait LogClient: Clone + Send + Sync + 'static {
    /// Appends one entry and returns its offset.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::AnswerLost`] if the entry may have been appended nevertheless.
    fn append(
        &self,
        stream: LogStream,
        body: Bytes,
    ) -> impl Future<Output = Result<LogOffset, PlatformError>> + Send;

    /// Reads entries from an offset onwards, waiting up to `wait` for the first one.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Expired`] if the log no longer retains the offset.
    fn read(
        &self,
        stream: LogStream,
        from: LogOffset,
        wait: Duration,
    ) -> impl Future<Output = Result<LogPage, PlatformError>> + Send;
}
