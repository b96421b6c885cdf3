//! Appends events to a stream in batches.

use std::sync::Arc;

use bytes::Bytes;
use geraniumshed_model::prelude::{LogBatch, LogOffset, LogStream, ShardTerm, WriterMark};
use geraniumshed_platform::{LogClient, PlatformError};
use geraniumshed_wire::log::{StreamEvent, encode_batch};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep, timeout_at};

use super::append_error::AppendError;
use super::context::LogContext;
use super::pending_appends::{AppendResult, PendingAppends};
use crate::telemetry::{HopName, HopSpan};

/// A handle of the background task that appends to one stream; the background task ends when the
/// last handle is dropped.
#[derive(Debug)]
pub struct StreamWriter<E> {
    requests: mpsc::Sender<AppendRequest<E>>,
}

impl<E> Clone for StreamWriter<E> {
    fn clone(&self) -> Self {
        Self {
            requests: self.requests.clone(),
        }
    }
}

/// The position of appended events in their stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EventPosition {
    /// The offset of the entry.
    pub offset: LogOffset,
    /// The index of the first event within the entry.
    pub index: usize,
}

/// Events that go into one entry, and the channel for the result.
#[derive(Debug)]
struct AppendRequest<E> {
    term: ShardTerm,
    events: Vec<E>,
    submitted_at: Instant,
    reply: oneshot::Sender<Result<EventPosition, AppendError>>,
}

impl<E: StreamEvent> StreamWriter<E> {
    /// Spawns a writer whose appends are confirmed once the stream's follower has read them back.
    pub fn spawn<L: LogClient>(
        context: &Arc<LogContext<L>>,
        stream: LogStream,
        pending_appends: PendingAppends,
    ) -> Self {
        Self::spawn_with(context, stream, Some(pending_appends))
    }

    /// Spawns a writer whose appends are confirmed by the log's answer alone.
    pub fn spawn_ack_only<L: LogClient>(context: &Arc<LogContext<L>>, stream: LogStream) -> Self {
        Self::spawn_with(context, stream, None)
    }

    fn spawn_with<L: LogClient>(
        context: &Arc<LogContext<L>>,
        stream: LogStream,
        pending_appends: Option<PendingAppends>,
    ) -> Self {
        let (requests, queue) = mpsc::channel(context.settings().queue_limit);
        let state = WriterState {
            context: Arc::clone(context),
            stream,
            pending_appends,
        };
        tokio::spawn(write(state, queue));
        Self { requests }
    }

    /// Appends events in one entry, in their order, and waits for the confirmation.
    ///
    /// # Errors
    ///
    /// Returns [`AppendError::Unconfirmed`] if the events may have been appended all the same.
    /// Whether they were is certain once a later append of this daemon has been read back.
    pub async fn append(&self, term: ShardTerm, events: Vec<E>) -> Result<LogOffset, AppendError> {
        let position = self.append_at(term, events).await?;
        Ok(position.offset)
    }

    /// Appends events like [`Self::append`], and returns their position within the entry as well.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`Self::append`].
    pub async fn append_at(
        &self,
        term: ShardTerm,
        events: Vec<E>,
    ) -> Result<EventPosition, AppendError> {
        let (reply, result) = oneshot::channel();
        let request = AppendRequest {
            term,
            events,
            submitted_at: Instant::now(),
            reply,
        };
        if self.requests.send(request).await.is_err() {
            return Err(AppendError::Unavailable);
        }
        result.await.unwrap_or(Err(AppendError::Unconfirmed))
    }
}

/// The state of a writer's background task.
struct WriterState<L> {
    context: Arc<LogContext<L>>,
    stream: LogStream,
    /// The appends to be read back, or `None` if the log's answer is sufficient.
    pending_appends: Option<PendingAppends>,
}

async fn write<E: StreamEvent, L: LogClient>(
    state: WriterState<L>,
    mut queue: mpsc::Receiver<AppendRequest<E>>,
) {
    let mut deferred = None;
    loop {
        let first = match deferred.take() {
            Some(request) => request,
            None => match queue.recv().await {
                Some(request) => request,
                None => return,
            },
        };
        state.context.wait_for_budget().await;
        let limit = state.context.settings().batch_limit;
        let requests = collect_requests(first, &mut queue, &mut deferred, limit);
        state.append_requests(requests).await;
    }
}

/// Collects the queued requests that fit into one entry; the first one that doesn't is deferred to
/// the next entry.
fn collect_requests<E>(
    first: AppendRequest<E>,
    queue: &mut mpsc::Receiver<AppendRequest<E>>,
    deferred: &mut Option<AppendRequest<E>>,
    limit: usize,
) -> Vec<AppendRequest<E>> {
    let term = first.term;
    let mut count = first.events.len();
    let mut requests = vec![first];
    while let Ok(request) = queue.try_recv() {
        count += request.events.len();
        if request.term != term || count > limit {
            *deferred = Some(request);
            break;
        }
        requests.push(request);
    }
    requests
}

impl<L: LogClient> WriterState<L> {
    async fn append_requests<E: StreamEvent>(&self, requests: Vec<AppendRequest<E>>) {
        let requests: Vec<_> = requests
            .into_iter()
            .filter(|request| !request.reply.is_closed())
            .collect();
        let Some(first) = requests.first() else {
            return;
        };
        let deadline = first.submitted_at + self.context.settings().append_patience;
        let term = first.term;
        let mut events = Vec::new();
        let mut replies = Vec::new();
        for request in requests {
            replies.push((events.len(), request.reply));
            events.extend(request.events);
        }
        let result = self.append_events(term, events, deadline).await;
        for (index, reply) in replies {
            // The send fails if the caller no longer waits.
            let _ = reply.send(result.map(|offset| EventPosition { offset, index }));
        }
    }

    async fn append_events<E: StreamEvent>(
        &self,
        term: ShardTerm,
        events: Vec<E>,
        deadline: Instant,
    ) -> AppendResult {
        let sequence = self.context.next_sequence(self.stream);
        let mark = WriterMark {
            incarnation: self.context.incarnation(),
            sequence,
        };
        let batch = LogBatch { mark, term, events };
        let body = encode_batch(&batch).map_err(|_| AppendError::Unavailable)?;
        let span = HopSpan::root(HopName::LogAppend);
        span.set("stream", self.stream.to_string());
        let result = self.send_and_confirm(&body, sequence, deadline).await;
        if let Err(error) = result {
            span.fail(error.to_string());
        }
        result
    }

    async fn send_and_confirm(
        &self,
        body: &Bytes,
        sequence: u64,
        deadline: Instant,
    ) -> AppendResult {
        let Some(pending_appends) = &self.pending_appends else {
            return self.send(body, deadline).await;
        };
        let confirmed = pending_appends.register(sequence);
        let result = self.send_until_read(body, deadline, confirmed).await;
        pending_appends.discard(sequence);
        result
    }

    /// Sends an entry until the follower has read it back.
    async fn send_until_read(
        &self,
        body: &Bytes,
        deadline: Instant,
        mut confirmed: oneshot::Receiver<AppendResult>,
    ) -> AppendResult {
        tokio::select! {
            biased;
            result = &mut confirmed => return result.unwrap_or(Err(AppendError::Unconfirmed)),
            sent = self.send(body, deadline) => match sent {
                Ok(_) | Err(AppendError::Unconfirmed) => {}
                Err(error) => return Err(error),
            },
        }
        let patience = self.context.settings().append_patience;
        match timeout_at(Instant::now() + patience, confirmed).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => Err(AppendError::Unconfirmed),
        }
    }

    /// Sends an entry, each time with the same mark, until the log answers or the deadline passes.
    async fn send(&self, body: &Bytes, deadline: Instant) -> AppendResult {
        let mut delay = self.context.retry_delay(self.stream);
        let mut unsent = true;
        loop {
            let append = self.context.append(self.stream, body.clone());
            match timeout_at(deadline, append).await {
                Ok(Ok(offset)) => return Ok(offset),
                Ok(Err(PlatformError::Rejected { reason })) if unsent => {
                    log::error!("the log rejected an entry of {}: {reason}", self.stream);
                    return Err(AppendError::Unavailable);
                }
                Ok(Err(error)) => {
                    unsent &= error.has_no_effect();
                    log::debug!("appending to {} failed: {error}", self.stream);
                }
                Err(_) => unsent = false,
            }
            sleep(delay.after_failure()).await;
            if Instant::now() >= deadline {
                return Err(if unsent {
                    AppendError::Unavailable
                } else {
                    AppendError::Unconfirmed
                });
            }
            self.context.wait_for_budget().await;
        }
    }
}
