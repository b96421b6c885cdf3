//! By which node a job is stored, judged by how long the store takes.

use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;

/// The time of an append from which on the store counts as slow.
const SLOW_APPEND: Duration = Duration::from_millis(150);
/// The time for which the store counts as slow without any news.
const SLOW_MEMORY: Duration = Duration::from_millis(1500);

/// By which node a job is stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendRoute {
    /// By the node that took it.
    Own,
    /// By the leader, which stores the jobs of all nodes together.
    Collector,
}

/// How long a node's appends take.
///
/// The store takes appends one at a time. While it is slow, an append for each node and job would
/// make a queue that only grows, so that nodes leave their jobs to one that stores them together.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AppendPace {
    /// When the append on its way was sent.
    sent_at: Option<TimePoint>,
    /// When the store was last seen to be slow.
    slow_at: Option<TimePoint>,
}

impl AppendPace {
    /// Takes note that an append was sent.
    pub fn append_sent(&mut self, now: TimePoint) {
        self.sent_at = Some(now);
    }

    /// Takes note of what became of the append on its way.
    ///
    /// A store that refuses or loses it may serve other nodes, and isn't slow by that.
    pub fn append_answered(&mut self, now: TimePoint, is_stored: bool) {
        let taken = self.sent_at.take().map(|sent_at| now.since(sent_at));
        if let Some(taken) = taken.filter(|_| is_stored) {
            self.slow_at = (taken >= SLOW_APPEND).then_some(now);
        }
    }

    /// Takes note that the leader has stored a job, and how long that took.
    ///
    /// A long time may be the leader's own, and says nothing of the store.
    pub fn collector_answered(&mut self, taken: Duration) {
        if taken < SLOW_APPEND {
            self.slow_at = None;
        }
    }

    /// Takes note that the leader sees a slow store.
    pub fn leader_told(&mut self, now: TimePoint) {
        self.slow_at = Some(now);
    }

    /// Tells whether the store is slow.
    pub fn is_slow(&self, now: TimePoint) -> bool {
        let waits = |sent_at: TimePoint| now.since(sent_at) >= SLOW_APPEND;
        let is_recent = |slow_at: TimePoint| now.since(slow_at) < SLOW_MEMORY;
        self.sent_at.is_some_and(waits) || self.slow_at.is_some_and(is_recent)
    }

    /// Returns by which node the next job is stored.
    pub fn route(&self, now: TimePoint) -> AppendRoute {
        if self.is_slow(now) {
            AppendRoute::Collector
        } else {
            AppendRoute::Own
        }
    }
}
