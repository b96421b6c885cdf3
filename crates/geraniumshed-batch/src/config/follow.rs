//! Reads newer configurations, from the store or from other nodes.

use std::sync::Arc;
use std::time::Duration;

use geraniumshed_core::intake::StoreCall;
use geraniumshed_core::leadership::MemberIdentity;
use geraniumshed_core::site::{
    ConfigUpdate, ConfigVersion, FollowAction, FollowRole, PeerAnswer, SiteConfig, ZoneEvacuations,
};
use geraniumshed_model::prelude::{LogOffset, whole_millis};
use tokio::time::Instant;

use crate::node::NodeShared;
use crate::site::{SiteFeed, WorkerCaller};
use crate::store::{StoreClient, StoreError};
use crate::telemetry::{ConfigRead, ConfigSource, log_decoded};
use crate::wire::{ConfigQueryWire, ConfigReplyWire, ConfigUpdateWire, decode, encode};

/// The time within which the store has to tell the end of the topic.
const CHECK_TIMEOUT: Duration = Duration::from_millis(800);
/// The time for which a peer holds a question until it has something newer.
const PEER_HOLD: Duration = Duration::from_millis(500);
/// The time within which the changes have to arrive from a peer. A read in the store begins before
/// that.
const PEER_TIMEOUT: Duration = Duration::from_secs(3);

/// Keeps the newest configuration in force.
pub(crate) async fn follow_config<S, F, W>(shared: Arc<NodeShared<S, F, W>>)
where
    S: StoreClient,
    F: SiteFeed,
    W: WorkerCaller,
{
    loop {
        match shared.config.next_action(&shared.follow_role()) {
            FollowAction::CheckTopic => {
                let shared = Arc::clone(&shared);
                tokio::spawn(async move { shared.check_topic().await });
            }
            FollowAction::ReadStore(limit) => {
                let shared = Arc::clone(&shared);
                tokio::spawn(async move { shared.read_store(limit).await });
            }
            FollowAction::ReadPeer(member) => {
                let shared = Arc::clone(&shared);
                tokio::spawn(async move { shared.read_peer(&member).await });
            }
            FollowAction::Wait(limit) => shared.config.wait(limit).await,
        }
    }
}

/// Answers the question of another node for what has changed.
pub(crate) async fn answer_config_query<S, F, W>(
    shared: &NodeShared<S, F, W>,
    query: ConfigQueryWire,
) -> ConfigReplyWire
where
    S: StoreClient,
    F: SiteFeed,
    W: WorkerCaller,
{
    let base = ConfigVersion(query.base);
    let published = LogOffset(query.published);
    let (answer, update) = shared.config.update_from(base, published, PEER_HOLD).await;
    ConfigReplyWire {
        covered: answer.covered.0,
        can_read_store: answer.can_read_store,
        update: update
            .map(|update| encode(&ConfigUpdateWire::from(update)))
            .unwrap_or_default(),
    }
}

impl<S: StoreClient, F: SiteFeed, W: WorkerCaller> NodeShared<S, F, W> {
    /// Returns what this node knows about the leader.
    fn follow_role(&self) -> FollowRole {
        let view = self.view();
        let leader = view.leader.as_ref().map(|record| &record.member);
        match leader {
            _ if view.is_leading => FollowRole::Leading,
            Some(leader) if *leader != self.settings.identity => FollowRole::Following {
                leader: leader.clone(),
                rank: view.rank.unwrap_or_default(),
            },
            Some(_) | None => FollowRole::Alone,
        }
    }

    /// Asks the store where the topic ends, and which zones are evacuated.
    async fn check_topic(&self) {
        let checking = self.read_evacuations(CHECK_TIMEOUT);
        let end = self
            .context
            .store_health
            .observe(StoreCall::Read, checking)
            .await;
        self.config.topic_checked(end);
    }

    /// Reads where the topic ends and which zones are evacuated, within a time, and applies the latter.
    /// Returns the end of the topic.
    pub(crate) async fn read_evacuations(&self, limit: Duration) -> Result<LogOffset, StoreError> {
        let known_to = self.config.evacuations().read_to();
        let check = self.context.feed.check_topic(known_to, limit).await?;
        if let Some(evacuations) = check.evacuations {
            self.apply_evacuations(evacuations);
        }
        Ok(check.end)
    }

    /// Applies a state of the evacuated zones if it is newer than the known one.
    fn apply_evacuations(&self, evacuations: ZoneEvacuations) {
        let Some(change) = self.config.replace_evacuations(evacuations.clone()) else {
            return;
        };
        let (offset, count) = (evacuations.read_to(), evacuations.len());
        for zone in &change.begun {
            log::warn!(zone:% = zone, offset:% = offset, evacuated = count; "zone evacuation started");
        }
        for zone in &change.ended {
            log::warn!(zone:% = zone, offset:% = offset, evacuated = count; "zone evacuation cancelled");
        }
        let gauge = i64::try_from(count).unwrap_or(i64::MAX);
        self.metrics().evacuated_zones.set(gauge);
        if let Some(handle) = self.view().handle.clone() {
            handle.replace_evacuations(evacuations);
        }
    }

    /// Reads the whole configuration in the store, which has to begin its answer within a time.
    async fn read_store(&self, limit: Duration) {
        let source = ConfigSource::Store;
        let read = ConfigRead::start(&source);
        let known_end = self.config.published();
        match self.context.feed.config(known_end, limit).await {
            Ok((bytes, end)) => {
                if let Some(bytes) = bytes {
                    read.finish(self.metrics(), bytes.len());
                    let started = Instant::now();
                    if let Some(config) = self.context.feed.decode(&bytes) {
                        log_decoded(&source, config.version, started.elapsed(), self.metrics());
                        self.apply_config(&source, config);
                    }
                }
                self.config.store_answered(Some(end));
            }
            Err(error) => {
                read.fail(self.metrics(), &error);
                self.config.store_answered(None);
            }
        }
    }

    /// Asks another node for what has changed.
    async fn read_peer(&self, member: &MemberIdentity) {
        let source = ConfigSource::Peer(member.name.clone());
        let query = ConfigQueryWire {
            base: self.config.version().0,
            published: self.config.published().0,
        };
        let read = ConfigRead::start(&source);
        let reply = self
            .config_pool
            .config_update(member.address, query, PEER_TIMEOUT)
            .await;
        match reply {
            Ok(reply) => {
                if !reply.update.is_empty() {
                    read.finish(self.metrics(), reply.update.len());
                }
                let answer = self.apply_update(&source, &reply);
                self.config.peer_answered(member, answer);
            }
            Err(error) => {
                read.fail(self.metrics(), &error);
                self.config.peer_answered(member, None);
            }
        }
    }

    /// Puts what a peer has sent in force. Returns what the answer tells, or `None` if it is invalid.
    fn apply_update(&self, source: &ConfigSource, reply: &ConfigReplyWire) -> Option<PeerAnswer> {
        let answer = PeerAnswer {
            covered: LogOffset(reply.covered),
            can_read_store: reply.can_read_store,
        };
        if reply.update.is_empty() {
            return Some(answer);
        }
        let started = Instant::now();
        let decoded = decode::<ConfigUpdateWire>(&reply.update).and_then(ConfigUpdate::try_from);
        let update = decoded
            .inspect_err(|error| {
                log::error!(source:% = source, error:% = error; "changes of the configuration are invalid");
            })
            .ok()?;
        let version = update.version;
        let current = self.config.config().unwrap_or_default();
        if current.version >= version {
            return Some(answer);
        }
        let Some(config) = current.updated(update) else {
            log::info!(
                source:% = source,
                version = version.0,
                current = current.version.0;
                "changes of the configuration are based on another version"
            );
            // What the peer has read counts only with its version in force.
            let covered = LogOffset(0);
            return Some(PeerAnswer { covered, ..answer });
        };
        log_decoded(source, version, started.elapsed(), self.metrics());
        self.apply_config(source, config);
        Some(answer)
    }

    /// Puts a configuration in force if it is newer than the current one.
    fn apply_config(&self, source: &ConfigSource, config: SiteConfig) {
        let config = Arc::new(config);
        let waited = self.config.waiting();
        let Some(replaced) = self.config.replace(&config) else {
            return;
        };
        log::info!(
            version = config.version.0,
            replaced = replaced.0,
            queues = config.routes.len(),
            source:% = source,
            noticed_ms = whole_millis(waited);
            "configuration is in force"
        );
        let metrics = self.metrics();
        metrics.config_version.set(config.version.0.cast_signed());
        metrics.config_apply_seconds.observe(waited.as_secs_f64());
        if let Some(handle) = self.view().handle.clone() {
            handle.replace_queues(config.routes.queues());
        }
    }
}
