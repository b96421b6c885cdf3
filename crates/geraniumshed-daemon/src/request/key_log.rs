//! The streams of idempotency keys, as the request path uses them.

use std::time::Duration;

use geraniumshed_model::prelude::{KeyEvent, LogOffset, ShardId, ShardTerm};

/// One entry of a shard's stream of keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyEntry {
    /// The offset of the entry.
    pub offset: LogOffset,
    /// The term under which it was appended.
    pub term: ShardTerm,
    /// The events, in order.
    pub events: Vec<KeyEvent>,
}

/// The answer to a read of a shard's stream of keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyPage {
    /// The first offset that the log still keeps.
    pub first: LogOffset,
    /// The offset from which to read on: after the last entry read, repeated appends included.
    pub next: LogOffset,
    /// The offset after the last entry of the stream, whether or not it is on this page.
    pub end: LogOffset,
    /// The entries, in the order of their offsets; repeated appends are left out.
    pub entries: Vec<KeyEntry>,
}

/// Why a call to the log of keys failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum KeyLogError {
    /// The call certainly took no effect.
    Unavailable,
    /// The entry may have been appended all the same.
    Unconfirmed,
    /// The log no longer keeps the offset; reading has to start at this one.
    Expired(LogOffset),
}

/// Appends to and reads the streams of idempotency keys.
pub trait KeyLog: Clone + Send + Sync + 'static {
    /// Appends events in one entry under a term and returns its offset.
    ///
    /// # Errors
    ///
    /// Returns [`KeyLogError::Unconfirmed`] if the entry may have been appended all the same.
    fn append(
        &self,
        shard: ShardId,
        term: ShardTerm,
        events: Vec<KeyEvent>,
    ) -> impl Future<Output = Result<LogOffset, KeyLogError>> + Send;

    /// Reads entries from an offset onwards, waiting up to `wait` for the first.
    ///
    /// # Errors
    ///
    /// Returns [`KeyLogError::Expired`] if the log no longer keeps the offset.
    fn read(
        &self,
        shard: ShardId,
        from: LogOffset,
        wait: Duration,
    ) -> impl Future<Output = Result<KeyPage, KeyLogError>> + Send;
}
