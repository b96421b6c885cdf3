//! The access to the log that a shard's scheduler needs.

use geraniumshed_model::prelude::{
    ConfigEvent, EndpointEvent, LogBatch, LogOffset, ShardEvent, ShardId, ShardTerm,
};

/// The log did not confirm an append; the events may have been appended all the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnconfirmedAppend;

/// An item of a shard's stream, in the order of the offsets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ShardItem {
    /// An entry.
    Batch {
        /// The offset of the entry.
        offset: LogOffset,
        /// The entry.
        batch: LogBatch<ShardEvent>,
    },
    /// Entries were dropped by the log before they were read, or can't be read.
    EntriesLost,
}

/// A reader of one shard's stream.
pub trait ShardReader: Send + 'static {
    /// Returns the next item, or `None` if the reader has ended.
    fn next(&mut self) -> impl Future<Output = Option<ShardItem>> + Send;
}

/// The streams that the scheduler reads and appends to.
pub trait ShardStreams: Clone + Send + Sync + 'static {
    /// The reader of a shard's stream.
    type Reader: ShardReader;

    /// Starts reading a shard's stream from its beginning.
    fn follow(&self, shard: ShardId) -> Self::Reader;

    /// Appends events to a shard's stream in one entry, and waits for the confirmation.
    ///
    /// # Errors
    ///
    /// Returns [`UnconfirmedAppend`] if the log did not confirm the events.
    fn append_shard(
        &self,
        shard: ShardId,
        term: ShardTerm,
        events: Vec<ShardEvent>,
    ) -> impl Future<Output = Result<(), UnconfirmedAppend>> + Send;

    /// Appends events to the `endpoints` stream.
    ///
    /// # Errors
    ///
    /// Returns [`UnconfirmedAppend`] if the log did not confirm the events.
    fn append_endpoints(
        &self,
        term: ShardTerm,
        events: Vec<EndpointEvent>,
    ) -> impl Future<Output = Result<(), UnconfirmedAppend>> + Send;

    /// Appends events to the `config` stream.
    ///
    /// # Errors
    ///
    /// Returns [`UnconfirmedAppend`] if the log did not confirm the events.
    fn append_config(
        &self,
        events: Vec<ConfigEvent>,
    ) -> impl Future<Output = Result<(), UnconfirmedAppend>> + Send;
}
