//! What the scheduler's driver needs of the log.

use geraniumshed_model::prelude::{
    ConfigEvent, EndpointEvent, LogBatch, LogOffset, ShardEvent, ShardId, ShardTerm,
};

/// Events were not confirmed by the log; they may count all the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamFault;

/// What a reader of a shard's stream hands on, in the order of the offsets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ShardItem {
    /// An entry.
    Batch {
        /// The offset of the entry.
        offset: LogOffset,
        /// The entry.
        batch: LogBatch<ShardEvent>,
    },
    /// The log dropped entries before they were read.
    Lost,
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

    /// Starts to read a shard's stream from its beginning.
    fn follow(&self, shard: ShardId) -> Self::Reader;

    /// Appends events to a shard's stream in one entry, and waits until they count.
    ///
    /// # Errors
    ///
    /// Returns [`StreamFault`] if the log did not confirm the events.
    fn append_shard(
        &self,
        shard: ShardId,
        term: ShardTerm,
        events: Vec<ShardEvent>,
    ) -> impl Future<Output = Result<(), StreamFault>> + Send;

    /// Appends events to the `endpoints` stream.
    ///
    /// # Errors
    ///
    /// Returns [`StreamFault`] if the log did not confirm the events.
    fn append_endpoints(
        &self,
        term: ShardTerm,
        events: Vec<EndpointEvent>,
    ) -> impl Future<Output = Result<(), StreamFault>> + Send;

    /// Appends events to the `config` stream.
    ///
    /// # Errors
    ///
    /// Returns [`StreamFault`] if the log did not confirm the events.
    fn append_config(
        &self,
        events: Vec<ConfigEvent>,
    ) -> impl Future<Output = Result<(), StreamFault>> + Send;
}
