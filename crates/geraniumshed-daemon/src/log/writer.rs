//! Appends to a stream in batches.

use std::sync::Arc;

use bytes::Bytes;
use geraniumshed_model::prelude::{LogBatch, LogOffset, LogStream, ShardTerm, WriterMark};
use geraniumshed_platform::{LogClient, PlatformError};
use geraniumshed_wire::log::{StreamEvent, encode_batch};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep, timeout_at};

use super::append_error::AppendError;
use super::context::LogContext;
use super::readback::{AppendResult, StreamReadback};
use crate::telemetry::{HopName, HopSpan};

/// A handle of the task that appends to one stream; the task ends with its last handle.
#[derive(Debug)]
pub struct StreamWriter<E> {
    calls: mpsc::Sender<AppendCall<E>>,
}

impl<E> Clone for StreamWriter<E> {
    fn clone(&self) -> Self {
        Self {
            calls: self.calls.clone(),
        }
    }
}

/// The place of appended events in their stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EventPosition {
    /// The offset of the entry.
    pub offset: LogOffset,
    /// The index of the first event within the entry.
    pub index: usize,
}

/// Events that go into one entry, and who waits for them.
#[derive(Debug)]
struct AppendCall<E> {
    term: ShardTerm,
    events: Vec<E>,
    since: Instant,
    caller: oneshot::Sender<Result<EventPosition, AppendError>>,
}

impl<E: StreamEvent> StreamWriter<E> {
    /// Spawns a writer whose appends are confirmed once the stream's follower has read them back.
    pub fn spawn<L: LogClient>(
        context: &Arc<LogContext<L>>,
        stream: LogStream,
        readback: StreamReadback,
    ) -> Self {
        Self::spawn_with(context, stream, Some(readback))
    }

    /// Spawns a writer whose appends are confirmed by the log's answer alone.
    pub fn spawn_unread<L: LogClient>(context: &Arc<LogContext<L>>, stream: LogStream) -> Self {
        Self::spawn_with(context, stream, None)
    }

    fn spawn_with<L: LogClient>(
        context: &Arc<LogContext<L>>,
        stream: LogStream,
        readback: Option<StreamReadback>,
    ) -> Self {
        let (calls, queue) = mpsc::channel(context.settings().queue_limit);
        let state = WriterState {
            context: Arc::clone(context),
            stream,
            readback,
        };
        tokio::spawn(write(state, queue));
        Self { calls }
    }

    /// Appends events, all in one entry and in their order, and waits until they count.
    ///
    /// # Errors
    ///
    /// Returns [`AppendError::Unconfirmed`] if the events may count all the same. The stream tells
    /// as soon as a later append of this daemon has been read back.
    pub async fn append(&self, term: ShardTerm, events: Vec<E>) -> Result<LogOffset, AppendError> {
        let position = self.append_at(term, events).await?;
        Ok(position.offset)
    }

    /// Appends events like [`Self::append`], and tells where in their entry they stand.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`Self::append`].
    pub async fn append_at(
        &self,
        term: ShardTerm,
        events: Vec<E>,
    ) -> Result<EventPosition, AppendError> {
        let (caller, result) = oneshot::channel();
        let call = AppendCall {
            term,
            events,
            since: Instant::now(),
            caller,
        };
        if self.calls.send(call).await.is_err() {
            return Err(AppendError::Unavailable);
        }
        result.await.unwrap_or(Err(AppendError::Unconfirmed))
    }
}

/// What the task of one writer knows.
struct WriterState<L> {
    context: Arc<LogContext<L>>,
    stream: LogStream,
    readback: Option<StreamReadback>,
}

async fn write<E: StreamEvent, L: LogClient>(
    state: WriterState<L>,
    mut queue: mpsc::Receiver<AppendCall<E>>,
) {
    let mut held = None;
    loop {
        let first = match held.take() {
            Some(call) => call,
            None => match queue.recv().await {
                Some(call) => call,
                None => return,
            },
        };
        state.context.append_turn().await;
        let limit = state.context.settings().batch_limit;
        let calls = collect_calls(first, &mut queue, &mut held, limit);
        state.append_calls(calls).await;
    }
}

/// Takes the calls that wait and fit one entry; the first that doesn't fit is held back.
fn collect_calls<E>(
    first: AppendCall<E>,
    queue: &mut mpsc::Receiver<AppendCall<E>>,
    held: &mut Option<AppendCall<E>>,
    limit: usize,
) -> Vec<AppendCall<E>> {
    let term = first.term;
    let mut count = first.events.len();
    let mut calls = vec![first];
    while let Ok(call) = queue.try_recv() {
        count += call.events.len();
        if call.term != term || count > limit {
            *held = Some(call);
            break;
        }
        calls.push(call);
    }
    calls
}

impl<L: LogClient> WriterState<L> {
    async fn append_calls<E: StreamEvent>(&self, calls: Vec<AppendCall<E>>) {
        let calls: Vec<_> = calls
            .into_iter()
            .filter(|call| !call.caller.is_closed())
            .collect();
        let Some(first) = calls.first() else {
            return;
        };
        let deadline = first.since + self.context.settings().append_patience;
        let term = first.term;
        let mut events = Vec::new();
        let mut callers = Vec::new();
        for call in calls {
            callers.push((events.len(), call.caller));
            events.extend(call.events);
        }
        let result = self.append_events(term, events, deadline).await;
        for (index, caller) in callers {
            // A caller that has gone away needs no answer.
            let _ = caller.send(result.map(|offset| EventPosition { offset, index }));
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
        let Some(readback) = &self.readback else {
            return self.send(body, deadline).await;
        };
        let confirmed = readback.expect(sequence);
        let result = self.send_until_read(body, deadline, confirmed).await;
        readback.forget(sequence);
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

    /// Sends an entry until the log answers, each time under the same mark.
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
            self.context.append_turn().await;
        }
    }
}
