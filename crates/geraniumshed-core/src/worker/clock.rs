//! A worker's clock, as far as the scheduler can know it.

use std::time::Duration;

use geraniumshed_model::prelude::{TimePoint, whole_millis};

/// The part by which a worker's clock may be slow, in thousandths.
const DRIFT_PER_MILLE: u64 = 20;

/// A point of a worker's own monotonic clock, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerTime(pub u64);

impl WorkerTime {
    /// Returns the point that comes a span later.
    #[must_use]
    pub fn plus(self, span: Duration) -> Self {
        Self(self.0 + whole_millis(span))
    }
}

/// The newest reading of a worker's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkerClock {
    reading: WorkerTime,
    read_at: TimePoint,
}

impl WorkerClock {
    /// Keeps a reading that arrived at the given time.
    pub fn new(reading: WorkerTime, read_at: TimePoint) -> Self {
        Self { reading, read_at }
    }

    /// Returns the least that the worker's clock shows now.
    ///
    /// The reading was taken before it arrived, and the clock may be slow.
    pub fn earliest(&self, now: TimePoint) -> WorkerTime {
        let elapsed = whole_millis(now.since(self.read_at));
        let drift = elapsed * DRIFT_PER_MILLE / 1000;
        WorkerTime(self.reading.0 + elapsed - drift)
    }

    /// Returns when the worker's clock has certainly reached a point.
    pub fn passed_at(&self, point: WorkerTime) -> TimePoint {
        let remaining = point.0.saturating_sub(self.reading.0);
        let slowest = remaining * 1000 / (1000 - DRIFT_PER_MILLE) + 1;
        self.read_at + Duration::from_millis(slowest)
    }
}
