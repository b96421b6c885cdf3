//! How long the store takes for the appends of one writer.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use geraniumshed_core::intake::{AppendPace, AppendRoute};

use crate::clock::NodeClock;

/// How long the store takes for the appends of one writer; its clones share it.
#[derive(Debug, Clone)]
pub(crate) struct StorePace {
    clock: NodeClock,
    pace: Arc<Mutex<AppendPace>>,
}

impl StorePace {
    /// Opens a pace of which nothing is known.
    pub(crate) fn open(clock: NodeClock) -> Self {
        Self {
            clock,
            pace: Arc::default(),
        }
    }

    /// Takes note that an append was sent.
    pub(crate) fn sent(&self) {
        self.lock().append_sent(self.clock.now());
    }

    /// Takes note of what became of the append on its way.
    pub(crate) fn answered(&self, is_stored: bool) {
        self.lock().append_answered(self.clock.now(), is_stored);
    }

    /// Takes note that the leader has stored a job, and how long that took.
    pub(crate) fn collector_answered(&self, taken: Duration) {
        self.lock().collector_answered(taken);
    }

    /// Takes note that the leader sees a slow store.
    pub(crate) fn leader_told(&self) {
        self.lock().leader_told(self.clock.now());
    }

    /// Tells whether the store is slow.
    pub(crate) fn is_slow(&self) -> bool {
        self.lock().is_slow(self.clock.now())
    }

    /// Returns by which node the next job is stored.
    pub(crate) fn route(&self) -> AppendRoute {
        self.lock().route(self.clock.now())
    }

    fn lock(&self) -> MutexGuard<'_, AppendPace> {
        self.pace.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
