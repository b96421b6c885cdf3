//! Polls the platform's list of VMs and keeps the table of VMs up to date.

use std::sync::Arc;
use std::time::Duration;

use geraniumshed_core::state::{RetryDelay, VmTable};
use geraniumshed_platform::{ListVersion, VmList};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::clock::ProcessClock;
use crate::log::TaskGuard;
use crate::view::VmView;

/// The settings of the VM feed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmFeedSettings {
    /// The interval between two reads.
    pub interval: Duration,
    /// The maximum delay before a failed read is retried.
    pub retry_ceiling: Duration,
}

impl Default for VmFeedSettings {
    fn default() -> Self {
        Self {
            interval: Duration::from_secs(1),
            retry_ceiling: Duration::from_secs(4),
        }
    }
}

/// The background task that polls the list; dropping it aborts the task.
#[derive(Debug)]
pub struct VmFeed {
    view: VmView,
    caught_up: watch::Receiver<bool>,
    _task: TaskGuard,
}

impl VmFeed {
    /// Spawns the background task; `seed` varies its retry delays.
    pub fn spawn<V: VmList>(
        list: V,
        settings: VmFeedSettings,
        clock: ProcessClock,
        seed: u64,
    ) -> Self {
        let (view_sender, view) = watch::channel(Arc::default());
        let (caught_up_sender, caught_up) = watch::channel(false);
        let delay = RetryDelay::new(settings.interval, settings.retry_ceiling, seed);
        let state = FeedState {
            clock,
            table: VmTable::default(),
            view: view_sender,
            caught_up: caught_up_sender,
        };
        Self {
            view,
            caught_up,
            _task: TaskGuard::spawn(feed(list, settings, delay, state)),
        }
    }

    /// Returns the view of the VMs.
    pub fn view(&self) -> VmView {
        self.view.clone()
    }

    /// Returns whether the list has been read at least once.
    pub fn caught_up(&self) -> watch::Receiver<bool> {
        self.caught_up.clone()
    }
}

/// The state of the background task.
struct FeedState {
    clock: ProcessClock,
    table: VmTable,
    view: watch::Sender<Arc<VmTable>>,
    caught_up: watch::Sender<bool>,
}

async fn feed<V: VmList>(
    list: V,
    settings: VmFeedSettings,
    mut delay: RetryDelay,
    mut state: FeedState,
) {
    let mut version = ListVersion::default();
    loop {
        // The list is older than the answer, so its age is counted from the request.
        let requested_at = state.clock.now();
        let pause = match list.changes(version).await {
            Ok(page) => {
                delay.reset();
                if state
                    .table
                    .apply(requested_at, page.age.0, page.whole, page.entries)
                {
                    version = page.version;
                    state.view.send_replace(Arc::new(state.table.clone()));
                    state.caught_up.send_replace(true);
                } else {
                    log::warn!(
                        "ignoring a list that lacks most of the known VMs; reading it again"
                    );
                    version = ListVersion::default();
                }
                settings.interval
            }
            Err(error) => {
                log::debug!("reading the list of VMs failed: {error}");
                delay.after_failure()
            }
        };
        sleep(pause).await;
    }
}
