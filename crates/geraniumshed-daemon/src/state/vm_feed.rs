//! Keeps the platform's list of VMs up to date.

use std::sync::Arc;
use std::time::Duration;

use geraniumshed_core::state::{RetryDelay, VmTable};
use geraniumshed_platform::{ListVersion, VmList};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::clock::ProcessClock;
use crate::log::TaskGuard;
use crate::view::VmView;

/// The settings of the list's reader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmFeedSettings {
    /// The time between two reads.
    pub interval: Duration,
    /// The longest delay before a failed read is tried again.
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

/// The running reader of the list; dropping it ends the reader.
#[derive(Debug)]
pub struct VmFeed {
    view: VmView,
    caught_up: watch::Receiver<bool>,
    _task: TaskGuard,
}

impl VmFeed {
    /// Spawns the reader.
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

    /// Returns the VMs.
    pub fn view(&self) -> VmView {
        self.view.clone()
    }

    /// Returns whether the list was read since the start.
    pub fn caught_up(&self) -> watch::Receiver<bool> {
        self.caught_up.clone()
    }
}

/// What the reader's task keeps.
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
        // The list describes a time before the answer, so that its age counts from the request.
        let asked = state.clock.now();
        let pause = match list.changes(version).await {
            Ok(page) => {
                delay.reset();
                if state
                    .table
                    .apply(asked, page.age.0, page.whole, page.entries)
                {
                    version = page.version;
                    state.view.send_replace(Arc::new(state.table.clone()));
                    state.caught_up.send_replace(true);
                } else {
                    log::warn!("a list without most of the VMs is not believed yet");
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
