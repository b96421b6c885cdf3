//! Tracks whether the log answers this daemon.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;

use crate::clock::ProcessClock;

/// The time without an answer after which the log counts as silent, twice the wait of a long read.
const SILENCE_LIMIT: Duration = Duration::from_secs(8);

/// The time without a silence after which the log counts as steady.
const STEADY_TIME: Duration = Duration::from_secs(10);

/// Tracks whether the log answers this daemon; clones share their state.
#[derive(Debug, Clone)]
pub struct LogHealth {
    clock: ProcessClock,
    times: Arc<AnswerTimes>,
}

/// The times of answers, in microseconds of the process clock.
#[derive(Debug)]
struct AnswerTimes {
    last: AtomicU64,
    steady_since: AtomicU64,
}

impl LogHealth {
    /// Creates a tracker that counts the log as answering from now on, but not yet as steady.
    pub(super) fn start(clock: ProcessClock) -> Self {
        let now = clock.now().0;
        Self {
            clock,
            times: Arc::new(AnswerTimes {
                last: AtomicU64::new(now),
                steady_since: AtomicU64::new(now),
            }),
        }
    }

    /// Records an answer of the log.
    pub(super) fn record_answer(&self) {
        let now = self.clock.now();
        let last = TimePoint(self.times.last.swap(now.0, Ordering::Relaxed));
        if now.since(last) >= SILENCE_LIMIT {
            self.times.steady_since.store(now.0, Ordering::Relaxed);
        }
    }

    /// Returns whether the log has not answered for at least the silence limit.
    pub fn is_silent(&self) -> bool {
        let last = TimePoint(self.times.last.load(Ordering::Relaxed));
        self.clock.now().since(last) >= SILENCE_LIMIT
    }

    /// Returns whether the log has been answering for some time without a silence.
    pub fn is_steady(&self) -> bool {
        let since = TimePoint(self.times.steady_since.load(Ordering::Relaxed));
        !self.is_silent() && self.clock.now().since(since) >= STEADY_TIME
    }
}
