//! The scheduler's streams over the daemon's followers and writers.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use geraniumshed_model::prelude::{
    ConfigEvent, EndpointEvent, LogOffset, LogStream, ShardEvent, ShardId, ShardTerm,
};
use geraniumshed_platform::LogClient;

use super::streams::{ShardItem, ShardReader, ShardStreams, StreamFault};
use crate::log::{FollowerItem, LogContext, StreamFollower, StreamWriter};
use crate::state::ConfigPublisher;

/// The one writer of this daemon to a shard's stream.
///
/// Readers drop an entry whose number is below the last of its writer, so that two writers of one
/// daemon would void one another's entries.
type SharedWriter = Arc<tokio::sync::Mutex<StreamWriter<ShardEvent>>>;

/// The scheduler's streams over the daemon's followers and writers.
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
    /// Opens the streams with the daemon's writers to those that it shares.
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
            let writer = StreamWriter::spawn_unread(&self.context, LogStream::Shard(shard));
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
        let writer = StreamWriter::spawn(&self.context, stream, follower.readback());
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
    ) -> Result<(), StreamFault> {
        let writer = self.writer(shard);
        // One append at a time: the lane of the shard's owner batches what waits meanwhile.
        let writer = writer.lock().await;
        writer.append(term, events).await.map_err(|error| {
            log::debug!("an append to shard-{shard} did not count: {error}");
            StreamFault
        })?;
        Ok(())
    }

    async fn append_endpoints(
        &self,
        term: ShardTerm,
        events: Vec<EndpointEvent>,
    ) -> Result<(), StreamFault> {
        let appended = self.endpoints.append(term, events).await;
        appended.map_err(|_| StreamFault)?;
        Ok(())
    }

    async fn append_config(&self, events: Vec<ConfigEvent>) -> Result<(), StreamFault> {
        self.config.report(events).await.map_err(|_| StreamFault)
    }
}

/// A reader of one shard's stream; while it lives, this daemon's appends are read back through it.
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
                // What can't be read may have placed a task, as may what was dropped.
                FollowerItem::Lost { .. } | FollowerItem::Unreadable { .. } => {
                    return Some(ShardItem::Lost);
                }
                FollowerItem::CaughtUp { .. } => {}
            }
        }
    }
}
