//! Lanes: events for one stream, appended in order and as many at a time as wait.

use tokio::sync::mpsc;

use super::streams::StreamFault;

/// The sending end of a lane; the lane ends with it.
#[derive(Debug)]
pub(super) struct EventLane<E> {
    queue: mpsc::UnboundedSender<Vec<E>>,
}

impl<E: Clone + Send + 'static> EventLane<E> {
    /// Spawns a lane that appends by `append` and tells `failed` of what was not confirmed.
    pub(super) fn spawn<A, F, R>(append: A, failed: F) -> Self
    where
        A: Fn(Vec<E>) -> R + Send + 'static,
        R: Future<Output = Result<(), StreamFault>> + Send,
        F: Fn(Vec<E>) + Send + 'static,
    {
        let (queue, mut waiting) = mpsc::unbounded_channel::<Vec<E>>();
        tokio::spawn(async move {
            while let Some(mut events) = waiting.recv().await {
                while let Ok(more) = waiting.try_recv() {
                    events.extend(more);
                }
                if append(events.clone()).await.is_err() {
                    failed(events);
                }
            }
        });
        Self { queue }
    }

    /// Lets events wait for their turn.
    pub(super) fn send(&self, events: Vec<E>) {
        // The lane outlives its sending end, so that the queue is open.
        let _sent = self.queue.send(events);
    }
}
