//! Follows the `endpoints` stream and keeps the endpoints of all services up to date.

use std::sync::Arc;
use std::time::Duration;

use geraniumshed_core::state::EndpointDirectory;
use geraniumshed_model::prelude::{EndpointEvent, LogOffset, LogStream};
use geraniumshed_platform::LogClient;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::log::{FollowerItem, LogContext, StreamFollower, StreamWriter, TaskGuard};
use crate::view::EndpointView;

/// The minimum interval between two updates of the view.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(20);

/// The background task that follows the `endpoints` stream; dropping it aborts the task.
#[derive(Debug)]
pub struct EndpointFeed {
    view: EndpointView,
    caught_up: watch::Receiver<bool>,
    writer: StreamWriter<EndpointEvent>,
    _task: TaskGuard,
}

impl EndpointFeed {
    /// Spawns the background task.
    pub fn spawn<L: LogClient>(context: &Arc<LogContext<L>>) -> Self {
        let follower = StreamFollower::spawn(context, LogStream::Endpoints, LogOffset(0));
        let writer = StreamWriter::spawn(context, LogStream::Endpoints, follower.pending_appends());
        let (view_sender, view) = watch::channel(Arc::default());
        let (caught_up_sender, caught_up) = watch::channel(false);
        Self {
            view,
            caught_up,
            writer,
            _task: TaskGuard::spawn(feed(follower, view_sender, caught_up_sender)),
        }
    }

    /// Returns the view of the endpoints.
    pub fn view(&self) -> EndpointView {
        self.view.clone()
    }

    /// Returns whether all entries that the stream held at the start have been applied.
    pub fn caught_up(&self) -> watch::Receiver<bool> {
        self.caught_up.clone()
    }

    /// Returns the writer through which owners append their endpoints.
    pub fn writer(&self) -> StreamWriter<EndpointEvent> {
        self.writer.clone()
    }
}

async fn feed(
    mut follower: StreamFollower<EndpointEvent>,
    view: watch::Sender<Arc<EndpointDirectory>>,
    caught_up: watch::Sender<bool>,
) {
    let mut directory = EndpointDirectory::default();
    while let Some(item) = follower.next().await {
        let mut next = Some(item);
        let mut changed = false;
        let mut reached_end = false;
        while let Some(item) = next {
            match item {
                FollowerItem::Batch { batch, .. } => {
                    for event in &batch.events {
                        directory.apply(batch.term, event);
                    }
                    changed = true;
                }
                FollowerItem::CaughtUp { .. } => reached_end = true,
                // Shard owners publish their endpoints again at intervals, which replaces lost
                // entries.
                FollowerItem::EntriesLost { .. } | FollowerItem::Unreadable { .. } => {}
            }
            next = follower.try_next();
        }
        if changed {
            view.send_replace(Arc::new(directory.clone()));
        }
        if reached_end {
            caught_up.send_replace(true);
        }
        sleep(PUBLISH_INTERVAL).await;
    }
}
