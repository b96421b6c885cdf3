//! Reads a stream in order and hands on what counts.

use std::sync::Arc;

use geraniumshed_core::state::{EntryFilter, EntryVerdict};
use geraniumshed_model::prelude::{LogBatch, LogOffset, LogStream, TimePoint};
use geraniumshed_platform::{LogClient, LogEntry, LogPage, PlatformError};
use geraniumshed_wire::log::{DecodeError, StreamEvent, decode_batch};
use tokio::sync::mpsc;

use super::context::LogContext;
use super::readback::StreamReadback;
use super::task_guard::TaskGuard;

/// What a follower hands on, in the order of the offsets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FollowerItem<E> {
    /// An entry that counts.
    Batch {
        /// The offset of the entry.
        offset: LogOffset,
        /// What was appended.
        batch: LogBatch<E>,
    },
    /// An entry that this program can't read and leaves out.
    Unreadable {
        /// The offset of the entry.
        offset: LogOffset,
        /// What is wrong with it.
        error: DecodeError,
    },
    /// The log no longer keeps the entries from one offset up to another.
    Lost {
        /// The first offset that was lost.
        from: LogOffset,
        /// The offset at which reading goes on.
        first: LogOffset,
    },
    /// Everything that the stream held when it was last read has been handed on.
    CaughtUp {
        /// The offset after the last entry.
        end: LogOffset,
        /// When the read began that found the end.
        asked: TimePoint,
    },
}

/// A running follower of one stream; dropping it ends the follower.
#[derive(Debug)]
pub struct StreamFollower<E> {
    items: mpsc::Receiver<FollowerItem<E>>,
    readback: StreamReadback,
    _task: TaskGuard,
}

impl<E: StreamEvent> StreamFollower<E> {
    /// Spawns a follower that starts at an offset.
    pub fn spawn<L: LogClient>(
        context: &Arc<LogContext<L>>,
        stream: LogStream,
        from: LogOffset,
    ) -> Self {
        let readback = StreamReadback::new(context.incarnation());
        let (sender, items) = mpsc::channel(context.settings().queue_limit);
        let cursor = StreamCursor {
            stream,
            next: from,
            filter: EntryFilter::default(),
            readback: readback.clone(),
            sender,
        };
        Self {
            items,
            readback,
            _task: TaskGuard::spawn(follow(Arc::clone(context), cursor)),
        }
    }

    /// Returns the next item, or `None` if the follower has ended.
    pub async fn next(&mut self) -> Option<FollowerItem<E>> {
        self.items.recv().await
    }

    /// Returns the next item if one is there already.
    pub fn try_next(&mut self) -> Option<FollowerItem<E>> {
        self.items.try_recv().ok()
    }

    /// Returns the table through which a writer to the same stream learns of its entries.
    pub fn readback(&self) -> StreamReadback {
        self.readback.clone()
    }
}

/// The place up to which a stream has been read.
struct StreamCursor<E> {
    stream: LogStream,
    next: LogOffset,
    filter: EntryFilter,
    readback: StreamReadback,
    sender: mpsc::Sender<FollowerItem<E>>,
}

/// The receiver of the items is gone.
struct ReceiverGone;

async fn follow<E: StreamEvent, L: LogClient>(
    context: Arc<LogContext<L>>,
    mut cursor: StreamCursor<E>,
) {
    let mut delay = context.retry_delay(cursor.stream);
    loop {
        let wait = context.settings().poll_wait;
        let asked = context.now();
        let result = context.read(cursor.stream, cursor.next, wait).await;
        let handed_on = match result {
            Ok(page) if page.end >= cursor.next => {
                delay.reset();
                cursor.hand_on_page(page, asked).await
            }
            Err(PlatformError::Expired { first }) if first > cursor.next => {
                delay.reset();
                cursor.hand_on_loss(first).await
            }
            failure => {
                log::debug!("reading {} failed: {failure:?}", cursor.stream);
                tokio::time::sleep(delay.after_failure()).await;
                Ok(())
            }
        };
        if handed_on.is_err() {
            return;
        }
    }
}

impl<E: StreamEvent> StreamCursor<E> {
    async fn hand_on_page(&mut self, page: LogPage, asked: TimePoint) -> Result<(), ReceiverGone> {
        for entry in page.entries {
            self.hand_on_entry(entry).await?;
        }
        if self.next < page.first {
            self.hand_on_loss(page.first).await?;
        }
        if self.next == page.end {
            let end = self.next;
            self.hand_on(FollowerItem::CaughtUp { end, asked }).await?;
        }
        Ok(())
    }

    async fn hand_on_entry(&mut self, entry: LogEntry) -> Result<(), ReceiverGone> {
        if entry.offset < self.next {
            return Ok(());
        }
        if entry.offset > self.next {
            self.hand_on_loss(entry.offset).await?;
        }
        self.next = entry.offset.next();
        match decode_batch(&entry.body) {
            Ok(batch) => self.hand_on_batch(entry.offset, batch).await,
            Err(error) => {
                let offset = entry.offset;
                log::warn!("entry {offset} of {} is left out: {error}", self.stream);
                self.hand_on(FollowerItem::Unreadable { offset, error })
                    .await
            }
        }
    }

    async fn hand_on_batch(
        &mut self,
        offset: LogOffset,
        batch: LogBatch<E>,
    ) -> Result<(), ReceiverGone> {
        let mark = batch.mark;
        let verdict = if E::OWNED {
            self.filter.judge_owned(offset, mark, batch.term)
        } else {
            self.filter.judge_shared(offset, mark)
        };
        match verdict {
            EntryVerdict::Valid => {
                self.hand_on(FollowerItem::Batch { offset, batch }).await?;
            }
            EntryVerdict::Duplicate | EntryVerdict::Superseded => {}
        }
        self.readback.observe(offset, mark, verdict);
        Ok(())
    }

    async fn hand_on_loss(&mut self, first: LogOffset) -> Result<(), ReceiverGone> {
        let from = std::mem::replace(&mut self.next, first);
        log::warn!("{} lost its entries from {from} up to {first}", self.stream);
        self.readback.observe_loss();
        self.hand_on(FollowerItem::Lost { from, first }).await
    }

    async fn hand_on(&self, item: FollowerItem<E>) -> Result<(), ReceiverGone> {
        self.sender.send(item).await.map_err(|_| ReceiverGone)
    }
}
