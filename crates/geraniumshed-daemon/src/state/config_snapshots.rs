//! Writes snapshots of the records in force before the log drops the entries behind them.

use std::sync::Arc;
use std::time::Duration;

use geraniumshed_core::state::{ConfigState, split_snapshot};
use geraniumshed_model::prelude::{ConfigEvent, ShardId};
use geraniumshed_wire::log::encode_config_snapshot;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep};

use super::config_feed::ConfigFeed;
use super::config_publisher::ConfigPublisher;
use crate::log::{AppendError, TaskGuard};
use crate::view::{ConfigView, OwnershipView};

/// The shard whose owner writes the snapshots.
const WRITER_SHARD: ShardId = ShardId(0);

/// The interval at which the writer checks whether a snapshot is due.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The settings of the snapshot writer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SnapshotSettings {
    /// The time between two snapshots, at most a quarter of the log's retention.
    pub interval: Duration,
    /// The size in bytes of one part of a snapshot.
    pub part_bytes: usize,
    /// How long the owner of shard 0, if it lacks entries, waits for another daemon's snapshot
    /// before it continues without them.
    pub gap_timeout: Duration,
}

impl Default for SnapshotSettings {
    fn default() -> Self {
        Self {
            interval: Duration::from_mins(10),
            part_bytes: 32 * 1024,
            gap_timeout: Duration::from_secs(15),
        }
    }
}

/// The running snapshot writer; dropping it aborts the writer.
#[derive(Debug)]
pub struct ConfigSnapshots {
    _task: TaskGuard,
}

impl ConfigSnapshots {
    /// Spawns the writer, which writes while this daemon owns shard 0.
    pub fn spawn(feed: &ConfigFeed, owners: OwnershipView, settings: SnapshotSettings) -> Self {
        let writer = SnapshotWriter {
            view: feed.view(),
            caught_up: feed.caught_up(),
            gap_signal: feed.gap_signal(),
            publisher: feed.publisher(),
            owners,
            settings,
        };
        Self {
            _task: TaskGuard::spawn(writer.run()),
        }
    }
}

struct SnapshotWriter {
    view: ConfigView,
    caught_up: watch::Receiver<bool>,
    gap_signal: Arc<Notify>,
    publisher: ConfigPublisher,
    owners: OwnershipView,
    settings: SnapshotSettings,
}

impl SnapshotWriter {
    async fn run(self) {
        let mut last_written: Option<Instant> = None;
        let mut incomplete_since: Option<Instant> = None;
        loop {
            sleep(CHECK_INTERVAL).await;
            if self.owners.borrow().own_term(WRITER_SHARD).is_none() {
                last_written = None;
                incomplete_since = None;
                continue;
            }
            if !*self.caught_up.borrow() {
                let since = *incomplete_since.get_or_insert_with(Instant::now);
                if since.elapsed() >= self.settings.gap_timeout {
                    self.gap_signal.notify_one();
                }
                continue;
            }
            incomplete_since = None;
            let due = last_written.is_none_or(|at| at.elapsed() >= self.settings.interval);
            if due && self.write().await.is_ok() {
                last_written = Some(Instant::now());
            }
        }
    }

    /// Writes a snapshot part by part, so that publications are not delayed until its end.
    async fn write(&self) -> Result<(), AppendError> {
        let config: Arc<ConfigState> = Arc::clone(&self.view.borrow());
        let number = config.applied().0;
        let bytes =
            encode_config_snapshot(config.to_snapshot()).map_err(|_| AppendError::Unavailable)?;
        for part in split_snapshot(number, &bytes, self.settings.part_bytes) {
            let event = ConfigEvent::Snapshot(part);
            self.publisher.append(vec![event]).await?;
        }
        Ok(())
    }
}
