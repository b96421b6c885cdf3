//! The interface to the log of idempotency keys, which has one stream per shard.

use std::time::Duration;

use geraniumshed_model::prelude::{KeyEvent, LogOffset, ShardId, ShardTerm};

/// One entry of a shard's stream of keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyEntry {
    /// The offset of the entry.
    pub offset: LogOffset,
    /// The owner's term in which it was appended.
    pub term: ShardTerm,
    /// The events, in order.
    pub events: Vec<KeyEvent>,
}

/// The answer to a read of a shard's stream of keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyPage {
    /// The first offset that the log still retains.
    pub first: LogOffset,
    /// The offset of the next read: after the last entry that was read, duplicates included.
    pub next: LogOffset,
    /// The end of the stream: the offset after its last entry, which may be on a later page.
    pub end: LogOffset,
    /// The entries in the order of their offsets, without duplicates from retried appends.
    pub entries: Vec<KeyEntry>,
}

/// An error of a call to the log of keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum KeyLogError {
    /// The call certainly had no effect.
    Unavailable,
    /// The append was not confirmed; the entry may have been appended nevertheless.
    Unconfirmed,
    /// The log no longer retains the offset; reading has to start at this one.
    Expired(LogOffset),
}

/// Appends to and reads the log of idempotency keys.
pub trait KeyLog: Clone + Send + Sync + 'static {
    /// Appends events as one entry in a term and returns its offset.
    ///
    /// # Errors
    ///
    /// Returns [`KeyLogError::Unconfirmed`] if the entry may have been appended nevertheless.
    fn append(
        &self,
        shard: ShardId,
        term: ShardTerm,
        events: Vec<KeyEvent>,
    ) -> impl Future<Output = Result<LogOffset, KeyLogError>> + Send;

    /// Reads entries from an offset on, waiting up to `wait` for the first one.
    ///
    /// # Errors
    ///
    /// Returns [`KeyLogError::Expired`] if the log no longer retains the offset.
    fn read(
        &self,
        shard: ShardId,
        from: LogOffset,
        wait: Duration,
    ) -> impl Future<Output = Result<KeyPage, KeyLogError>> + Send;
}
