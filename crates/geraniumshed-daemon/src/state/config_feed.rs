//! Keeps the records in force up to date.

use std::sync::Arc;
use std::time::Duration;

use geraniumshed_core::state::{ConfigReplica, ConfigState};
use geraniumshed_model::prelude::{
    ConfigEvent, DaemonIncarnation, LogBatch, LogOffset, LogStream, TimePoint,
};
use geraniumshed_platform::LogClient;
use geraniumshed_wire::log::decode_config_snapshot;
use tokio::sync::{Notify, watch};
use tokio::time::{MissedTickBehavior, interval, sleep};

use super::config_publisher::ConfigPublisher;
use super::pause_watch::{PAUSE_TICK, PauseWatch};
use super::verdict_table::VerdictTable;
use crate::clock::ProcessClock;
use crate::log::{
    EventPosition, FollowerItem, LogContext, StreamFollower, StreamWriter, TaskGuard,
};
use crate::view::ConfigView;

/// The shortest time between two publications of the view.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(20);

/// The running follower of the `config` stream; dropping it ends the follower.
#[derive(Debug)]
pub struct ConfigFeed {
    view: ConfigView,
    caught_up: watch::Receiver<bool>,
    publisher: ConfigPublisher,
    adopt: Arc<Notify>,
    _task: TaskGuard,
}

impl ConfigFeed {
    /// Spawns the follower.
    pub fn spawn<L: LogClient>(context: &Arc<LogContext<L>>, clock: ProcessClock) -> Self {
        let follower = StreamFollower::spawn(context, LogStream::Config, LogOffset(0));
        let writer = StreamWriter::spawn(context, LogStream::Config, follower.readback());
        let (view_sender, view) = watch::channel(Arc::default());
        let (caught_up_sender, caught_up) = watch::channel(false);
        let verdicts = VerdictTable::default();
        let publisher = ConfigPublisher::new(writer, view.clone(), verdicts.clone());
        let state = FeedState {
            incarnation: context.incarnation(),
            replica: ConfigReplica::default(),
            view: view_sender,
            caught_up: caught_up_sender,
            verdicts,
            resumed: clock.now(),
        };
        let adopt = Arc::new(Notify::new());
        let pause = PauseWatch::start(clock);
        Self {
            view,
            caught_up,
            publisher,
            adopt: Arc::clone(&adopt),
            _task: TaskGuard::spawn(feed(follower, state, pause, adopt)),
        }
    }

    /// Returns the records in force.
    pub fn view(&self) -> ConfigView {
        self.view.clone()
    }

    /// Returns whether everything that the stream held was applied since the start or the last
    /// pause of the process.
    pub fn caught_up(&self) -> watch::Receiver<bool> {
        self.caught_up.clone()
    }

    /// Returns what makes the feed go on without entries that the log has dropped, when no snapshot
    /// stands for them.
    pub(super) fn adopt(&self) -> Arc<Notify> {
        Arc::clone(&self.adopt)
    }

    /// Returns the handle through which records are published.
    pub fn publisher(&self) -> ConfigPublisher {
        self.publisher.clone()
    }
}

/// What the follower's task keeps.
struct FeedState {
    incarnation: DaemonIncarnation,
    replica: ConfigReplica,
    view: watch::Sender<Arc<ConfigState>>,
    caught_up: watch::Sender<bool>,
    verdicts: VerdictTable,
    resumed: TimePoint,
}

async fn feed(
    mut follower: StreamFollower<ConfigEvent>,
    mut state: FeedState,
    mut pause: PauseWatch,
    adopt: Arc<Notify>,
) {
    let mut tick = interval(PAUSE_TICK);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            item = follower.next() => {
                let Some(item) = item else {
                    return;
                };
                let mut caught_up = state.take(item);
                while let Some(item) = follower.try_next() {
                    caught_up = state.take(item);
                }
                state.publish();
                if caught_up {
                    state.caught_up.send_replace(true);
                }
                sleep(PUBLISH_INTERVAL).await;
            }
            () = adopt.notified() => {
                state.replica.continue_without_snapshot();
                state.publish();
            }
            _ = tick.tick() => {}
        }
        if let Some(resumed) = pause.look() {
            state.resumed = resumed;
            state.caught_up.send_replace(false);
        }
    }
}

impl FeedState {
    /// Takes an item and tells whether the follower has caught up with it.
    fn take(&mut self, item: FollowerItem<ConfigEvent>) -> bool {
        match item {
            FollowerItem::Batch { offset, batch } => {
                self.apply(offset, batch);
                false
            }
            FollowerItem::Unreadable { offset, .. } => {
                self.replica.advance(offset.next());
                false
            }
            FollowerItem::Lost { first, .. } => {
                self.replica.record_gap(first);
                self.caught_up.send_replace(false);
                false
            }
            FollowerItem::CaughtUp { end, asked } => {
                self.replica.reach_end(end);
                // An answer from before a pause says nothing of what came since.
                asked >= self.resumed && self.replica.is_complete()
            }
        }
    }

    fn apply(&mut self, offset: LogOffset, batch: LogBatch<ConfigEvent>) {
        let own = batch.mark.incarnation == self.incarnation;
        let (verdicts, snapshot) = self.replica.apply(offset, batch);
        for (index, verdict) in verdicts.into_iter().enumerate().filter(|_| own) {
            let position = EventPosition { offset, index };
            self.verdicts.insert(position, verdict);
        }
        let Some(snapshot) = snapshot else {
            return;
        };
        match decode_config_snapshot(&snapshot.bytes) {
            Ok(snapshot) => self.replica.restore(ConfigState::from_snapshot(snapshot)),
            Err(error) => log::error!("a snapshot of the records can't be read: {error}"),
        }
    }

    fn publish(&self) {
        self.view.send_if_modified(|view| {
            let config = self.replica.config();
            let changed = view.applied() != config.applied();
            if changed {
                *view = Arc::new(config.clone());
            }
            changed
        });
    }
}
