//! The streams of idempotency keys that the request path reads and appends to.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use geraniumshed_core::state::{EntryFilter, EntryVerdict};
use geraniumshed_model::prelude::{KeyEvent, LogOffset, LogStream, ShardId, ShardTerm};
use geraniumshed_platform::{LogClient, LogEntry, LogPage, PlatformError};
use geraniumshed_wire::log::decode_batch;

use super::append_error::AppendError;
use super::context::LogContext;
use super::writer::StreamWriter;
use crate::request::{KeyEntry, KeyLog, KeyLogError, KeyPage};

/// The streams of idempotency keys. Each stream has one reader, which reads its pages in order.
#[derive(Debug)]
pub struct KeyStreams<L> {
    context: Arc<LogContext<L>>,
    writers: Arc<Mutex<BTreeMap<ShardId, StreamWriter<KeyEvent>>>>,
    cursors: Arc<Mutex<BTreeMap<ShardId, KeyCursor>>>,
}

/// The position up to which a stream has been read.
#[derive(Debug, Default)]
struct KeyCursor {
    next: LogOffset,
    filter: EntryFilter,
}

impl<L> Clone for KeyStreams<L> {
    fn clone(&self) -> Self {
        Self {
            context: Arc::clone(&self.context),
            writers: Arc::clone(&self.writers),
            cursors: Arc::clone(&self.cursors),
        }
    }
}

impl<L: LogClient> KeyStreams<L> {
    /// Opens the streams.
    pub fn open(context: &Arc<LogContext<L>>) -> Self {
        Self {
            context: Arc::clone(context),
            writers: Arc::default(),
            cursors: Arc::default(),
        }
    }

    fn writer(&self, shard: ShardId) -> StreamWriter<KeyEvent> {
        let mut writers = self.writers.lock().unwrap_or_else(PoisonError::into_inner);
        writers
            .entry(shard)
            .or_insert_with(|| StreamWriter::spawn_ack_only(&self.context, LogStream::Keys(shard)))
            .clone()
    }

    /// Leaves out repeated entries; forgets the entries seen if the reader moved to another offset.
    fn filter_page(&self, shard: ShardId, from: LogOffset, page: LogPage) -> KeyPage {
        let mut cursors = self.cursors.lock().unwrap_or_else(PoisonError::into_inner);
        let cursor = cursors.entry(shard).or_default();
        if cursor.next != from {
            *cursor = KeyCursor {
                next: from,
                filter: EntryFilter::default(),
            };
        }
        let next = page
            .entries
            .last()
            .map_or(from, |entry| entry.offset.next());
        KeyPage {
            first: page.first,
            next,
            end: page.end,
            entries: page
                .entries
                .into_iter()
                .filter_map(|entry| cursor.admit(shard, &entry))
                .collect(),
        }
    }
}

impl KeyCursor {
    fn admit(&mut self, shard: ShardId, entry: &LogEntry) -> Option<KeyEntry> {
        self.next = entry.offset.next();
        let batch = match decode_batch(&entry.body) {
            Ok(batch) => batch,
            Err(error) => {
                log::warn!(
                    "entry {} of keys-{shard} can't be decoded and is skipped: {error}",
                    entry.offset
                );
                return None;
            }
        };
        match self.filter.judge_shared(entry.offset, batch.mark) {
            EntryVerdict::Valid => Some(KeyEntry {
                offset: entry.offset,
                term: batch.term,
                events: batch.events,
            }),
            EntryVerdict::Duplicate | EntryVerdict::Superseded => None,
        }
    }
}

impl<L: LogClient> KeyLog for KeyStreams<L> {
    async fn append(
        &self,
        shard: ShardId,
        term: ShardTerm,
        events: Vec<KeyEvent>,
    ) -> Result<LogOffset, KeyLogError> {
        self.writer(shard)
            .append(term, events)
            .await
            .map_err(|error| match error {
                AppendError::Unavailable => KeyLogError::Unavailable,
                AppendError::Unconfirmed | AppendError::Superseded => KeyLogError::Unconfirmed,
            })
    }

    async fn read(
        &self,
        shard: ShardId,
        from: LogOffset,
        wait: Duration,
    ) -> Result<KeyPage, KeyLogError> {
        let stream = LogStream::Keys(shard);
        match self.context.read(stream, from, wait).await {
            Ok(page) => Ok(self.filter_page(shard, from, page)),
            Err(PlatformError::Expired { first }) => Err(KeyLogError::Expired(first)),
            Err(_) => Err(KeyLogError::Unavailable),
        }
    }
}
