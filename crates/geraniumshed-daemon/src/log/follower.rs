//! Reads a stream in order and passes on its valid entries.

use std::sync::Arc;

use geraniumshed_core::state::{EntryFilter, EntryVerdict};
use geraniumshed_model::prelude::{LogBatch, LogOffset, LogStream, TimePoint};
use geraniumshed_platform::{LogClient, LogEntry, LogPage, PlatformError};
use geraniumshed_wire::log::{DecodeError, StreamEvent, decode_batch};
use tokio::sync::mpsc;

use super::context::LogContext;
use super::pending_appends::PendingAppends;
use super::task_guard::TaskGuard;

/// An item of a followed stream, in the order of the offsets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FollowerItem<E> {
    /// A valid entry: neither a repeated or late copy of its writer nor of a superseded term.
    Batch {
        /// The offset of the entry.
        offset: LogOffset,
        /// The events of the entry and their writer.
        batch: LogBatch<E>,
    },
    /// An entry that can't be decoded and is skipped.
    Unreadable {
        /// The offset of the entry.
        offset: LogOffset,
        /// Why it can't be decoded.
        error: DecodeError,
    },
    /// The log has dropped the entries from one offset up to another.
    EntriesLost {
        /// The offset of the first lost entry.
        from: LogOffset,
        /// The offset at which reading continues.
        first: LogOffset,
    },
    /// All entries that the stream held at the last read have been passed on.
    CaughtUp {
        /// The offset after the last entry.
        end: LogOffset,
        /// The time at which that read was sent.
        requested_at: TimePoint,
    },
}

/// The background task that follows one stream; dropping it aborts the task.
#[derive(Debug)]
pub struct StreamFollower<E> {
    items: mpsc::Receiver<FollowerItem<E>>,
    pending_appends: PendingAppends,
    _task: TaskGuard,
}

impl<E: StreamEvent> StreamFollower<E> {
    /// Spawns a background task that follows the stream from an offset.
    pub fn spawn<L: LogClient>(
        context: &Arc<LogContext<L>>,
        stream: LogStream,
        from: LogOffset,
    ) -> Self {
        let pending_appends = PendingAppends::new(context.incarnation());
        let (sender, items) = mpsc::channel(context.settings().queue_limit);
        let cursor = StreamCursor {
            stream,
            next: from,
            filter: EntryFilter::default(),
            pending_appends: pending_appends.clone(),
            sender,
        };
        Self {
            items,
            pending_appends,
            _task: TaskGuard::spawn(follow(Arc::clone(context), cursor)),
        }
    }

    /// Returns the next item, or `None` if the background task has ended.
    pub async fn next(&mut self) -> Option<FollowerItem<E>> {
        self.items.recv().await
    }

    /// Returns the next item if one is available without waiting.
    pub fn try_next(&mut self) -> Option<FollowerItem<E>> {
        self.items.try_recv().ok()
    }

    /// Returns the pending appends that the follower resolves when it reads them back.
    pub fn pending_appends(&self) -> PendingAppends {
        self.pending_appends.clone()
    }
}

/// The position up to which a stream has been read.
struct StreamCursor<E> {
    stream: LogStream,
    next: LogOffset,
    filter: EntryFilter,
    pending_appends: PendingAppends,
    sender: mpsc::Sender<FollowerItem<E>>,
}

/// The receiver of the items has been dropped.
struct ReceiverGone;

async fn follow<E: StreamEvent, L: LogClient>(
    context: Arc<LogContext<L>>,
    mut cursor: StreamCursor<E>,
) {
    let mut delay = context.retry_delay(cursor.stream);
    loop {
        let wait = context.settings().poll_wait;
        let requested_at = context.now();
        let result = context.read(cursor.stream, cursor.next, wait).await;
        let emitted = match result {
            Ok(page) if page.end >= cursor.next => {
                delay.reset();
                cursor.emit_page(page, requested_at).await
            }
            Err(PlatformError::Expired { first }) if first > cursor.next => {
                delay.reset();
                cursor.emit_loss(first).await
            }
            failure => {
                log::debug!("reading {} failed: {failure:?}", cursor.stream);
                tokio::time::sleep(delay.after_failure()).await;
                Ok(())
            }
        };
        if emitted.is_err() {
            return;
        }
    }
}

impl<E: StreamEvent> StreamCursor<E> {
    async fn emit_page(
        &mut self,
        page: LogPage,
        requested_at: TimePoint,
    ) -> Result<(), ReceiverGone> {
        for entry in page.entries {
            self.emit_entry(entry).await?;
        }
        if self.next < page.first {
            self.emit_loss(page.first).await?;
        }
        if self.next == page.end {
            let end = self.next;
            self.emit(FollowerItem::CaughtUp { end, requested_at })
                .await?;
        }
        Ok(())
    }

    async fn emit_entry(&mut self, entry: LogEntry) -> Result<(), ReceiverGone> {
        if entry.offset < self.next {
            return Ok(());
        }
        if entry.offset > self.next {
            self.emit_loss(entry.offset).await?;
        }
        self.next = entry.offset.next();
        match decode_batch(&entry.body) {
            Ok(batch) => self.emit_batch(entry.offset, batch).await,
            Err(error) => {
                let offset = entry.offset;
                log::warn!(
                    "entry {offset} of {} can't be decoded and is skipped: {error}",
                    self.stream
                );
                self.emit(FollowerItem::Unreadable { offset, error }).await
            }
        }
    }

    async fn emit_batch(
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
                self.emit(FollowerItem::Batch { offset, batch }).await?;
            }
            EntryVerdict::Duplicate | EntryVerdict::Superseded => {}
        }
        self.pending_appends.resolve(offset, mark, verdict);
        Ok(())
    }

    async fn emit_loss(&mut self, first: LogOffset) -> Result<(), ReceiverGone> {
        let from = std::mem::replace(&mut self.next, first);
        log::warn!(
            "the log has dropped the entries of {} from {from} up to {first}",
            self.stream
        );
        self.pending_appends.fail_all();
        self.emit(FollowerItem::EntriesLost { from, first }).await
    }

    async fn emit(&self, item: FollowerItem<E>) -> Result<(), ReceiverGone> {
        self.sender.send(item).await.map_err(|_| ReceiverGone)
    }
}
