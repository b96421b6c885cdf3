//! Reads the newest configuration from the platform or from other nodes.

use std::sync::{Arc, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use geraniumshed_core::leadership::MemberIdentity;
use tokio::time::Instant;

use crate::node::NodeShared;
use crate::site::{SiteConfig, SiteFeed, WorkerCaller};
use crate::store::StoreClient;
use crate::telemetry::{ConfigRead, ConfigSource, log_decoded};

/// How long a read of the configuration waits for a change.
const CONFIG_WAIT: Duration = Duration::from_secs(3);
/// The delay after a failed read of the configuration.
const CONFIG_RETRY_DELAY: Duration = Duration::from_millis(150);
/// The time within which another node has to return its configuration.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);

/// Keeps the newest configuration in force.
pub(crate) async fn follow_config<S, F, W>(shared: Arc<NodeShared<S, F, W>>)
where
    S: StoreClient,
    F: SiteFeed,
    W: WorkerCaller,
{
    let feed = shared.context.feed.clone();
    let source = ConfigSource::Store;
    loop {
        let read = ConfigRead::start(&source);
        match feed.config().await {
            Ok((config, next)) => {
                if let Some(config) = config {
                    read.finish(shared.metrics(), config.len());
                    shared.decode_config(&source, &config);
                }
                // The configuration is read again even if the wait fails or ends without a change.
                match feed.config_changed(next, CONFIG_WAIT).await {
                    Ok(true) => log::info!(offset:% = next; "configuration was published"),
                    Ok(false) => {}
                    Err(error) => {
                        log::warn!(offset:% = next, error:% = error; "could not wait for a configuration");
                        tokio::time::sleep(CONFIG_RETRY_DELAY).await;
                    }
                }
            }
            Err(error) => {
                read.fail(shared.metrics(), &error);
                tokio::time::sleep(CONFIG_RETRY_DELAY).await;
            }
        }
    }
}

impl<S: StoreClient, F: SiteFeed, W: WorkerCaller> NodeShared<S, F, W> {
    /// Decodes a configuration and puts it in force if it is newer than the current one.
    fn decode_config(&self, source: &ConfigSource, bytes: &Bytes) {
        let started = Instant::now();
        let Some(config) = self.context.feed.decode(bytes) else {
            return;
        };
        log_decoded(source, config.version, started.elapsed(), self.metrics());
        self.apply_config(source, config);
    }

    /// Puts a configuration in force if it is newer than the current one.
    fn apply_config(&self, source: &ConfigSource, config: SiteConfig<F::Routes>) {
        if self
            .config()
            .is_some_and(|one| one.version >= config.version)
        {
            return;
        }
        log::info!(
            version = config.version.0,
            replaced = self.config_version().0,
            queues = config.queues.len(),
            source:% = source;
            "configuration is in force"
        );
        self.metrics()
            .config_version
            .set(config.version.0.cast_signed());
        if let Some(handle) = self.view().handle.clone() {
            handle.replace_queues(config.queues.clone());
        }
        let mut current = self.config.lock().unwrap_or_else(PoisonError::into_inner);
        *current = Some(Arc::new(config));
    }

    /// Fetches the configuration of another node if its version is newer than the one in force.
    pub(crate) async fn fetch_config(&self, member: &MemberIdentity, version: u64) {
        if version <= self.config_version().0 {
            return;
        }
        let source = ConfigSource::Peer(member.name.clone());
        log::info!(version, source:% = source; "node has a newer configuration");
        let read = ConfigRead::start(&source);
        match self.pool.config(member.address, PEER_TIMEOUT).await {
            Ok(bytes) => {
                read.finish(self.metrics(), bytes.len());
                self.decode_config(&source, &bytes);
            }
            Err(error) => read.fail(self.metrics(), &error),
        }
    }
}
