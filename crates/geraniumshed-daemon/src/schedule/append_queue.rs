//! A queue of events for one stream, which are appended in order and in batches.

use tokio::sync::mpsc;

use super::streams::UnconfirmedAppend;

/// The sending half of a queue; the background task that appends ends when it is dropped.
#[derive(Debug)]
pub(super) struct AppendQueue<E> {
    sender: mpsc::UnboundedSender<Vec<E>>,
}

impl<E: Clone + Send + 'static> AppendQueue<E> {
    /// Spawns a background task that passes all queued events to `append` at once, and passes
    /// events that were not confirmed to `on_failure`.
    pub(super) fn spawn<A, F, R>(append: A, on_failure: F) -> Self
    where
        A: Fn(Vec<E>) -> R + Send + 'static,
        R: Future<Output = Result<(), UnconfirmedAppend>> + Send,
        F: Fn(Vec<E>) + Send + 'static,
    {
        let (sender, mut receiver) = mpsc::unbounded_channel::<Vec<E>>();
        tokio::spawn(async move {
            while let Some(mut events) = receiver.recv().await {
                while let Ok(more) = receiver.try_recv() {
                    events.extend(more);
                }
                if append(events.clone()).await.is_err() {
                    on_failure(events);
                }
            }
        });
        Self { sender }
    }

    /// Adds events to the end of the queue.
    pub(super) fn send(&self, events: Vec<E>) {
        // The background task outlives this sender, so the channel is open.
        let _sent = self.sender.send(events);
    }
}
