//! The configuration in force, and what the node knows of newer ones.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use geraniumshed_core::leadership::MemberIdentity;
use geraniumshed_core::site::{
    ConfigFollower, ConfigHistory, ConfigUpdate, ConfigVersion, EvacuationChange, FollowAction,
    FollowRole, PeerAnswer, SiteConfig, ZoneEvacuations,
};
use geraniumshed_model::prelude::{LogOffset, TimePoint};
use tokio::sync::{Notify, watch};
use tokio::time::timeout;

use crate::clock::NodeClock;
use crate::store::StoreError;
use crate::telemetry::DependencyWatch;

/// The configuration that a node has in force.
#[derive(Debug, Clone, Default)]
struct ConfigInForce {
    config: Option<Arc<SiteConfig>>,
    /// The offset before which nothing newer is stored.
    covered: LogOffset,
    /// Whether the store has failed to answer this node's last call.
    is_store_failing: bool,
}

impl ConfigInForce {
    fn version(&self) -> ConfigVersion {
        self.config
            .as_ref()
            .map_or_else(ConfigVersion::default, |config| config.version)
    }
}

/// The configuration in force and the state of following newer ones.
#[derive(Debug)]
pub(crate) struct ConfigState {
    clock: NodeClock,
    in_force: watch::Sender<ConfigInForce>,
    history: Mutex<ConfigHistory>,
    follower: Mutex<ConfigFollower>,
    /// The evacuated zones, as this node last read them.
    evacuations: Mutex<ZoneEvacuations>,
    /// Logs when the store stops telling where the topic ends.
    store_watch: Mutex<DependencyWatch>,
    /// Notified when there may be something new to do.
    changed: Notify,
}

impl ConfigState {
    /// Creates the state of a node without a configuration.
    pub(crate) fn new(clock: NodeClock) -> Self {
        Self {
            clock,
            in_force: watch::Sender::default(),
            history: Mutex::default(),
            follower: Mutex::new(ConfigFollower::new(clock.now())),
            evacuations: Mutex::default(),
            store_watch: Mutex::new(DependencyWatch::new("store, for configurations")),
            changed: Notify::new(),
        }
    }

    /// Returns the configuration in force.
    pub(crate) fn config(&self) -> Option<Arc<SiteConfig>> {
        self.in_force.borrow().config.clone()
    }

    /// Returns the version in force, 0 if there is none.
    pub(crate) fn version(&self) -> ConfigVersion {
        self.in_force.borrow().version()
    }

    /// Returns whether there is a configuration within a time.
    pub(crate) async fn is_read_within(&self, limit: Duration) -> bool {
        let mut in_force = self.in_force.subscribe();
        let is_some = |one: &ConfigInForce| one.config.is_some();
        timeout(limit, in_force.wait_for(is_some)).await.is_ok()
    }

    /// Puts a configuration in force if it is newer. Returns the version that it replaces, if it does.
    pub(super) fn replace(&self, config: &Arc<SiteConfig>) -> Option<ConfigVersion> {
        let mut replaced = None;
        self.in_force.send_if_modified(|in_force| {
            let version = in_force.version();
            if in_force.config.is_some() && version >= config.version {
                return false;
            }
            let earlier = in_force.config.replace(Arc::clone(config));
            self.history().record(earlier.as_deref(), config);
            replaced = Some(version);
            true
        });
        replaced
    }

    /// Returns the evacuated zones.
    pub(crate) fn evacuations(&self) -> ZoneEvacuations {
        self.lock_evacuations().clone()
    }

    /// Replaces the evacuated zones if the state is newer. Returns the difference, if it is.
    pub(super) fn replace_evacuations(&self, newer: ZoneEvacuations) -> Option<EvacuationChange> {
        self.lock_evacuations().replace(newer)
    }

    /// Returns what the node should do next.
    pub(super) fn next_action(&self, role: &FollowRole) -> FollowAction {
        self.follower().next_action(self.clock.now(), role)
    }

    /// Waits until there may be something new to do, at most for the given time.
    pub(super) async fn wait(&self, limit: Duration) {
        // Running into the limit is as good as a notification.
        drop(timeout(limit, self.changed.notified()).await);
    }

    /// Returns the end of the topic, as far as it is known.
    pub(super) fn published(&self) -> LogOffset {
        self.follower().published()
    }

    /// Returns for how long a configuration that isn't in force has been noticed.
    pub(super) fn waiting(&self) -> Duration {
        let now = self.clock.now();
        self.follower().waiting(now).unwrap_or_default()
    }

    /// Records that another node has a version in force.
    pub(crate) fn version_announced(&self, member: &MemberIdentity, version: ConfigVersion) {
        let now = self.clock.now();
        let is_news = self.follower().version_announced(now, member, version);
        // Most heartbeats announce nothing new.
        if is_news {
            self.changed.notify_one();
            log::info!(version = version.0, source:% = member.name; "node has a newer configuration");
        }
    }

    /// Records where the topic ends, or that the store didn't tell.
    pub(super) fn topic_checked(&self, end: Result<LogOffset, StoreError>) {
        let mut watch = self
            .store_watch
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        watch.record_call(&end);
        drop(watch);
        let known = self.published();
        match &end {
            Ok(end) if *end > known => {
                log::info!(offset:% = end, known:% = known; "operators' topic has grown");
            }
            Ok(_) => {}
            Err(error) => log::debug!("could not read the end of the configurations: {error}"),
        }
        self.change(|follower, now| follower.topic_checked(now, end.ok()));
    }

    /// Records the end of a read in the store.
    pub(super) fn store_answered(&self, covered: Option<LogOffset>) {
        let version = self.version();
        self.change(|follower, now| follower.store_answered(now, version, covered));
    }

    /// Records the end of a read from a peer.
    pub(super) fn peer_answered(&self, member: &MemberIdentity, answer: Option<PeerAnswer>) {
        let version = self.version();
        self.change(|follower, now| follower.peer_answered(now, member, version, answer));
    }

    /// Waits until the node has a later version than `base` in force or has read the topic up to
    /// `published`, at most for the given time, and not if the store fails to answer. Returns how far
    /// it has read the topic, and the changes since `base`, if there are any.
    pub(super) async fn update_from(
        &self,
        base: ConfigVersion,
        published: LogOffset,
        limit: Duration,
    ) -> (PeerAnswer, Option<ConfigUpdate>) {
        self.change(|follower, now| follower.topic_ended_at(now, published));
        let mut in_force = self.in_force.subscribe();
        let is_answer = |one: &ConfigInForce| {
            one.version() > base || one.covered >= published || one.is_store_failing
        };
        // Without anything newer in time, the answer says so.
        drop(timeout(limit, in_force.wait_for(is_answer)).await);
        let in_force = self.in_force.borrow().clone();
        let config = in_force.config.filter(|config| config.version > base);
        let update = config.map(|config| self.history().update_from(base, &config));
        let answer = PeerAnswer {
            covered: in_force.covered,
            can_read_store: !in_force.is_store_failing,
        };
        (answer, update)
    }

    /// Changes the follower, and tells those who wait for what it knows.
    fn change(&self, change: impl FnOnce(&mut ConfigFollower, TimePoint)) {
        let (covered, is_store_failing) = {
            let mut follower = self.follower();
            change(&mut follower, self.clock.now());
            (follower.covered(), follower.is_store_failing())
        };
        self.in_force.send_if_modified(|in_force| {
            let before = (in_force.covered, in_force.is_store_failing);
            in_force.covered = covered;
            in_force.is_store_failing = is_store_failing;
            before != (covered, is_store_failing)
        });
        self.changed.notify_one();
    }

    fn follower(&self) -> MutexGuard<'_, ConfigFollower> {
        self.follower.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_evacuations(&self) -> MutexGuard<'_, ZoneEvacuations> {
        self.evacuations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn history(&self) -> MutexGuard<'_, ConfigHistory> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
