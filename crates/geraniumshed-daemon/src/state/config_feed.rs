//! Follows the `config` stream and keeps the records in force up to date.

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
use super::pause_detector::{PAUSE_CHECK_INTERVAL, PauseDetector};
use super::verdict_table::VerdictTable;
use crate::clock::ProcessClock;
use crate::log::{
    EventPosition, FollowerItem, LogContext, StreamFollower, StreamWriter, TaskGuard,
};
use crate::view::ConfigView;

/// The minimum interval between two updates of the view.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(20);

/// The background task that follows the `config` stream; dropping it aborts the task.
#[derive(Debug)]
pub struct ConfigFeed {
    view: ConfigView,
    caught_up: watch::Receiver<bool>,
    publisher: ConfigPublisher,
    gap_signal: Arc<Notify>,
    _task: TaskGuard,
}

impl ConfigFeed {
    /// Spawns the background task.
    pub fn spawn<L: LogClient>(context: &Arc<LogContext<L>>, clock: ProcessClock) -> Self {
        let follower = StreamFollower::spawn(context, LogStream::Config, LogOffset(0));
        let writer = StreamWriter::spawn(context, LogStream::Config, follower.pending_appends());
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
            resumed_at: clock.now(),
        };
        let gap_signal = Arc::new(Notify::new());
        let detector = PauseDetector::start(clock);
        Self {
            view,
            caught_up,
            publisher,
            gap_signal: Arc::clone(&gap_signal),
            _task: TaskGuard::spawn(feed(follower, state, detector, gap_signal)),
        }
    }

    /// Returns the view of the records in force.
    pub fn view(&self) -> ConfigView {
        self.view.clone()
    }

    /// Returns whether all entries that the stream held at the start, or at the end of the last
    /// pause of the process, have been applied.
    pub fn caught_up(&self) -> watch::Receiver<bool> {
        self.caught_up.clone()
    }

    /// Returns the signal on which the feed continues without the entries that the log has dropped,
    /// for the case that no snapshot replaces them.
    pub(super) fn gap_signal(&self) -> Arc<Notify> {
        Arc::clone(&self.gap_signal)
    }

    /// Returns the handle through which records are published.
    pub fn publisher(&self) -> ConfigPublisher {
        self.publisher.clone()
    }
}

/// The state of the background task.
struct FeedState {
    incarnation: DaemonIncarnation,
    replica: ConfigReplica,
    view: watch::Sender<Arc<ConfigState>>,
    caught_up: watch::Sender<bool>,
    verdicts: VerdictTable,
    /// The end of the last pause of the process, or the start.
    resumed_at: TimePoint,
}

async fn feed(
    mut follower: StreamFollower<ConfigEvent>,
    mut state: FeedState,
    mut detector: PauseDetector,
    gap_signal: Arc<Notify>,
) {
    let mut tick = interval(PAUSE_CHECK_INTERVAL);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            item = follower.next() => {
                let Some(item) = item else {
                    return;
                };
                let mut caught_up = state.apply_item(item);
                while let Some(item) = follower.try_next() {
                    caught_up = state.apply_item(item);
                }
                state.publish();
                if caught_up {
                    state.caught_up.send_replace(true);
                }
                sleep(PUBLISH_INTERVAL).await;
            }
            () = gap_signal.notified() => {
                state.replica.continue_without_snapshot();
                state.publish();
            }
            _ = tick.tick() => {}
        }
        if let Some(resumed_at) = detector.check() {
            state.resumed_at = resumed_at;
            state.caught_up.send_replace(false);
        }
    }
}

impl FeedState {
    /// Applies an item, and returns whether the feed has caught up with the stream.
    fn apply_item(&mut self, item: FollowerItem<ConfigEvent>) -> bool {
        match item {
            FollowerItem::Batch { offset, batch } => {
                self.apply(offset, batch);
                false
            }
            FollowerItem::Unreadable { offset, .. } => {
                self.replica.advance(offset.next());
                false
            }
            FollowerItem::EntriesLost { first, .. } => {
                self.replica.record_gap(first);
                self.caught_up.send_replace(false);
                false
            }
            FollowerItem::CaughtUp { end, requested_at } => {
                self.replica.reach_end(end);
                // A read that was sent before a pause may miss entries that were appended since.
                requested_at >= self.resumed_at && self.replica.is_complete()
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
            Err(error) => log::error!("a snapshot of the records can't be decoded: {error}"),
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
