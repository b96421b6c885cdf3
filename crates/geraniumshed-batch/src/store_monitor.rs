//! Tracks whether the store is slow to answer the appends of one writer.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use geraniumshed_core::intake::{AppendMonitor, AppendRoute};

use crate::clock::NodeClock;

/// Tracks whether the store is slow to answer the appends of one writer. Clones share the state.
#[derive(Debug, Clone)]
pub(crate) struct StoreMonitor {
    clock: NodeClock,
    state: Arc<Mutex<AppendMonitor>>,
}

impl StoreMonitor {
    /// Creates a monitor that has seen no append yet.
    pub(crate) fn new(clock: NodeClock) -> Self {
        Self {
            clock,
            state: Arc::default(),
        }
    }

    /// Records that an append was sent.
    pub(crate) fn append_sent(&self) {
        self.lock().append_sent(self.clock.now());
    }

    /// Records whether the append in flight was stored.
    pub(crate) fn append_answered(&self, is_stored: bool) {
        self.lock().append_answered(self.clock.now(), is_stored);
    }

    /// Records how long the leader took to store a job for this node.
    pub(crate) fn leader_stored(&self, taken: Duration) {
        self.lock().leader_answered(taken);
    }

    /// Records that the leader reported a slow store.
    pub(crate) fn leader_reported_slow(&self) {
        self.lock().leader_reported_slow(self.clock.now());
    }

    /// Returns whether the store is slow.
    pub(crate) fn is_slow(&self) -> bool {
        self.lock().is_slow(self.clock.now())
    }

    /// Returns which node should store the next job.
    pub(crate) fn route(&self) -> AppendRoute {
        self.lock().route(self.clock.now())
    }

    fn lock(&self) -> MutexGuard<'_, AppendMonitor> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
