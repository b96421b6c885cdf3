//! The scheduler's access to the log through the daemon's followers and writers.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use geraniumshed_model::prelude::{
    ConfigEvent, EndpointEvent, LogOffset, LogStream, ShardEvent, ShardId, ShardTerm,
};
use geraniumshed_platform::LogClient;

use super::streams::{ShardItem, ShardReader, ShardStreams, UnconfirmedAppend};
use crate::log::{FollowerItem, LogContext, StreamFollower, StreamWriter};
use crate::state::ConfigPublisher;

/// This daemon's only writer to a shard's stream.
///
/// Readers drop an entry whose sequence number is below the last one of the same daemon, so two
/// writers of one daemon would invalidate each other's entries.
type SharedWriter = Arc<tokio::sync::Mutex<StreamWriter<ShardEvent>>>;

/// Implements [`ShardStreams`] with the daemon's followers and writers.
#[derive(Debug)]
pub struct LogStreams<L> {
    context: Arc<LogContext<L>>,
    endpoints: StreamWriter<EndpointEvent>,
    config: ConfigPublisher,
    writers: Arc<Mutex<BTreeMap<ShardId, SharedWriter>>>,
}

impl<L> Clone for LogStreams<L> {
    fn clone(&self) -> Self {
        Self {
            context: Arc::clone(&self.context),
            endpoints: self.endpoints.clone(),
            config: self.config.clone(),
            writers: Arc::clone(&self.writers),
        }
    }
}

impl<L: LogClient> LogStreams<L> {
    /// Creates the streams with the daemon's shared writers to `endpoints` and `config`.
    pub fn open(
        context: &Arc<LogContext<L>>,
        endpoints: StreamWriter<EndpointEvent>,
        config: ConfigPublisher,
    ) -> Self {
        Self {
            context: Arc::clone(context),
            endpoints,
            config,
            writers: Arc::default(),
        }
    }

    fn writer(&self, shard: ShardId) -> SharedWriter {
        let mut writers = self.writers();
        let writer = writers.entry(shard).or_insert_with(|| {
            let writer = StreamWriter::spawn_ack_only(&self.context, LogStream::Shard(shard));
            Arc::new(tokio::sync::Mutex::new(writer))
        });
        Arc::clone(writer)
    }

    fn writers(&self) -> MutexGuard<'_, BTreeMap<ShardId, SharedWriter>> {
        self.writers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<L: LogClient> ShardStreams for LogStreams<L> {
    type Reader = LogReader<L>;

    fn follow(&self, shard: ShardId) -> LogReader<L> {
        let stream = LogStream::Shard(shard);
        let follower = StreamFollower::spawn(&self.context, stream, LogOffset::default());
        let writer = StreamWriter::spawn(&self.context, stream, follower.pending_appends());
        let writer = Arc::new(tokio::sync::Mutex::new(writer));
        self.writers().insert(shard, writer);
        LogReader {
            follower,
            shard,
            streams: self.clone(),
        }
    }

    async fn append_shard(
        &self,
        shard: ShardId,
        term: ShardTerm,
        events: Vec<ShardEvent>,
    ) -> Result<(), UnconfirmedAppend> {
        let writer = self.writer(shard);
        // One append at a time; the owner's append queue batches the events that arrive meanwhile.
        let writer = writer.lock().await;
        writer.append(term, events).await.map_err(|error| {
            log::debug!("appending to shard-{shard} failed: {error}");
            UnconfirmedAppend
        })?;
        Ok(())
    }

    async fn append_endpoints(
        &self,
        term: ShardTerm,
        events: Vec<EndpointEvent>,
    ) -> Result<(), UnconfirmedAppend> {
        let appended = self.endpoints.append(term, events).await;
        appended.map_err(|_| UnconfirmedAppend)?;
        Ok(())
    }

    async fn append_config(&self, events: Vec<ConfigEvent>) -> Result<(), UnconfirmedAppend> {
        self.config
            .append(events)
            .await
            .map_err(|_| UnconfirmedAppend)
    }
}

/// A reader of one shard's stream; as long as it exists, this daemon's appends to the stream are
/// confirmed by reading them back through it.
#[derive(Debug)]
pub struct LogReader<L: LogClient> {
    follower: StreamFollower<ShardEvent>,
    shard: ShardId,
    streams: LogStreams<L>,
}

impl<L: LogClient> Drop for LogReader<L> {
    fn drop(&mut self) {
        self.streams.writers().remove(&self.shard);
    }
}

impl<L: LogClient> ShardReader for LogReader<L> {
    async fn next(&mut self) -> Option<ShardItem> {
        loop {
            match self.follower.next().await? {
                FollowerItem::Batch { offset, batch } => {
                    return Some(ShardItem::Batch { offset, batch });
                }
                // An unreadable entry may contain a placement, just as a dropped one may.
                FollowerItem::EntriesLost { .. } | FollowerItem::Unreadable { .. } => {
                    return Some(ShardItem::EntriesLost);
                }
                FollowerItem::CaughtUp { .. } => {}
            }
        }
    }
}
