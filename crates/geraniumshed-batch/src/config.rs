//! How a node comes to the newest configuration.

use std::sync::{Arc, PoisonError};
use std::time::Duration;

use geraniumshed_core::membership::MemberIdentity;

use crate::node::NodeShared;
use crate::site::{SiteConfig, SiteFeed, WorkerCaller};
use crate::store::StoreClient;

/// How long a read of the configuration waits for a change.
const CONFIG_WAIT: Duration = Duration::from_secs(3);
/// The pause after a failed read of the configuration.
const CONFIG_RETRY: Duration = Duration::from_millis(150);
/// The time within which another node has to pass its configuration on.
const PEER_LIMIT: Duration = Duration::from_millis(400);

/// Keeps the newest configuration in force.
pub(crate) async fn follow_config<S, F, W>(shared: Arc<NodeShared<S, F, W>>)
where
    S: StoreClient,
    F: SiteFeed,
    W: WorkerCaller,
{
    let feed = shared.context.feed.clone();
    loop {
        match feed.config().await {
            Ok((config, next)) => {
                if let Some(config) = config {
                    shared.apply_config(config);
                }
                // A wait that fails or ends without a change leads to another read all the same.
                if let Err(error) = feed.config_changed(next, CONFIG_WAIT).await {
                    log::debug!("waiting for a configuration failed: {error}");
                    tokio::time::sleep(CONFIG_RETRY).await;
                }
            }
            Err(error) => {
                log::debug!("the configuration can't be read: {error}");
                tokio::time::sleep(CONFIG_RETRY).await;
            }
        }
    }
}

impl<S: StoreClient, F: SiteFeed, W: WorkerCaller> NodeShared<S, F, W> {
    /// Puts a configuration in force if it is newer than the one that is.
    pub(crate) fn apply_config(&self, config: SiteConfig<F::Routes>) {
        if self
            .config()
            .is_some_and(|one| one.version >= config.version)
        {
            return;
        }
        log::info!(version = config.version.0, queues = config.queues.len(); "configuration is in force");
        self.metrics()
            .config_version
            .set(config.version.0.cast_signed());
        if let Some(handle) = self.view().handle.clone() {
            handle.replace_queues(config.queues.clone());
        }
        let mut current = self.config.lock().unwrap_or_else(PoisonError::into_inner);
        *current = Some(Arc::new(config));
    }

    /// Reads a node's configuration if it is newer than the one in force.
    pub(crate) async fn take_config(&self, member: &MemberIdentity, version: u64) {
        if version <= self.config_version().0 {
            return;
        }
        match self.pool.config(member.address, PEER_LIMIT).await {
            Ok(source) => {
                if let Some(config) = self.context.feed.decode(&source) {
                    self.apply_config(config);
                }
            }
            Err(error) => log::debug!("the configuration of {member} can't be read: {error:?}"),
        }
    }
}
