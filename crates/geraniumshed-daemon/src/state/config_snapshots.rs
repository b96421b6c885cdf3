//! Writes snapshots of the records in force before the log drops what they stand for.

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

/// The time between two looks at who has to write.
const LOOK_INTERVAL: Duration = Duration::from_secs(1);

/// The settings of the snapshots.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SnapshotSettings {
    /// The time between two snapshots, at most a quarter of the log's retention.
    pub interval: Duration,
    /// The bytes of one part.
    pub part_bytes: usize,
    /// The time for which an owner that lacks entries waits for a snapshot of another.
    pub gap_patience: Duration,
}

impl Default for SnapshotSettings {
    fn default() -> Self {
        Self {
            interval: Duration::from_mins(10),
            part_bytes: 32 * 1024,
            gap_patience: Duration::from_secs(15),
        }
    }
}

/// The running writer of snapshots; dropping it ends the writer.
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
            adopt: feed.adopt(),
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
    adopt: Arc<Notify>,
    publisher: ConfigPublisher,
    owners: OwnershipView,
    settings: SnapshotSettings,
}

impl SnapshotWriter {
    async fn run(self) {
        let mut written: Option<Instant> = None;
        let mut lacking: Option<Instant> = None;
        loop {
            sleep(LOOK_INTERVAL).await;
            if self.owners.borrow().own_term(WRITER_SHARD).is_none() {
                written = None;
                lacking = None;
                continue;
            }
            if !*self.caught_up.borrow() {
                let since = *lacking.get_or_insert_with(Instant::now);
                if since.elapsed() >= self.settings.gap_patience {
                    self.adopt.notify_one();
                }
                continue;
            }
            lacking = None;
            let due = written.is_none_or(|at| at.elapsed() >= self.settings.interval);
            if due && self.write().await.is_ok() {
                written = Some(Instant::now());
            }
        }
    }

    /// Writes a snapshot part by part, so that publications go in between.
    async fn write(&self) -> Result<(), AppendError> {
        let config: Arc<ConfigState> = Arc::clone(&self.view.borrow());
        let number = config.applied().0;
        let bytes =
            encode_config_snapshot(config.to_snapshot()).map_err(|_| AppendError::Unavailable)?;
        for part in split_snapshot(number, &bytes, self.settings.part_bytes) {
            let event = ConfigEvent::Snapshot(part);
            self.publisher.report(vec![event]).await?;
        }
        Ok(())
    }
}
