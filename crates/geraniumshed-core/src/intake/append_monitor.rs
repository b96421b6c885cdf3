//! Which node appends a job to the store, chosen by the store's latency.

use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;

/// The append latency at and above which the store counts as slow.
const SLOW_APPEND_LATENCY: Duration = Duration::from_millis(150);
/// The time for which the store still counts as slow after the last evidence.
const SLOW_STATE_DURATION: Duration = Duration::from_millis(1500);

/// The node that appends a job to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendRoute {
    /// The node that accepted the job appends it itself.
    Local,
    /// The leader appends the job, batched with those of all other nodes.
    Leader,
}

/// Tracks the latency of a node's appends and chooses the node that appends the next job.
///
/// The store processes appends one at a time. While it is slow, one append per node and job would
/// build up an ever-growing queue, so that nodes forward their jobs to the leader, which batches
/// them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AppendMonitor {
    /// When the append in flight was sent.
    sent_at: Option<TimePoint>,
    /// The time of the last evidence that the store is slow.
    slow_at: Option<TimePoint>,
}

impl AppendMonitor {
    /// Records that an append was sent.
    pub fn append_sent(&mut self, now: TimePoint) {
        self.sent_at = Some(now);
    }

    /// Records the outcome of the append in flight.
    ///
    /// A store that refuses or loses it may still serve other nodes, so that this is no evidence of
    /// a slow store.
    pub fn append_answered(&mut self, now: TimePoint, is_stored: bool) {
        let taken = self.sent_at.take().map(|sent_at| now.since(sent_at));
        if let Some(taken) = taken.filter(|_| is_stored) {
            self.slow_at = (taken >= SLOW_APPEND_LATENCY).then_some(now);
        }
    }

    /// Records that the leader has stored a job, and how long that took.
    ///
    /// A long time may be caused by the leader itself and is no evidence of a slow store.
    pub fn leader_answered(&mut self, taken: Duration) {
        if taken < SLOW_APPEND_LATENCY {
            self.slow_at = None;
        }
    }

    /// Records that the leader reports a slow store.
    pub fn leader_reported_slow(&mut self, now: TimePoint) {
        self.slow_at = Some(now);
    }

    /// Returns whether the store counts as slow.
    pub fn is_slow(&self, now: TimePoint) -> bool {
        let is_overdue = |sent_at: TimePoint| now.since(sent_at) >= SLOW_APPEND_LATENCY;
        let is_recent = |slow_at: TimePoint| now.since(slow_at) < SLOW_STATE_DURATION;
        self.sent_at.is_some_and(is_overdue) || self.slow_at.is_some_and(is_recent)
    }

    /// Returns the node that should append the next job.
    pub fn route(&self, now: TimePoint) -> AppendRoute {
        if self.is_slow(now) {
            AppendRoute::Leader
        } else {
            AppendRoute::Local
        }
    }
}
