//! Bounds on a worker's clock, derived from its readings.

use std::time::Duration;

use geraniumshed_model::prelude::{TimePoint, whole_millis};

/// The maximum drift by which a worker's clock may run slow, in parts per thousand.
const DRIFT_PER_MILLE: u64 = 20;

/// A point in time on a worker's own monotonic clock, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerTime(pub u64);

impl WorkerTime {
    /// Returns the point in time after a span.
    #[must_use]
    pub fn plus(self, span: Duration) -> Self {
        Self(self.0.saturating_add(whole_millis(span)))
    }
}

/// The newest reading of a worker's clock, with the times at which it was asked for and arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkerClock {
    reading: WorkerTime,
    asked_at: TimePoint,
    read_at: TimePoint,
}

impl WorkerClock {
    /// Creates a clock from a reading that was asked for and arrived at the given times.
    pub fn new(reading: WorkerTime, asked_at: TimePoint, read_at: TimePoint) -> Self {
        Self {
            reading,
            asked_at,
            read_at,
        }
    }

    /// Returns when the reading was asked for.
    pub fn asked_at(&self) -> TimePoint {
        self.asked_at
    }

    /// Returns when the reading arrived.
    pub fn read_at(&self) -> TimePoint {
        self.read_at
    }

    /// Returns a lower bound of what the worker's clock shows now.
    ///
    /// The reading was taken before it arrived, and since then the clock may have run slow.
    pub fn earliest(&self, now: TimePoint) -> WorkerTime {
        let elapsed = whole_millis(now.since(self.read_at));
        let drift = elapsed * DRIFT_PER_MILLE / 1000;
        WorkerTime(self.reading.0.saturating_add(elapsed - drift))
    }

    /// Returns the time by which the worker's clock has certainly reached a point, even if it runs
    /// slow.
    pub fn passed_at(&self, point: WorkerTime) -> TimePoint {
        let remaining = point.0.saturating_sub(self.reading.0);
        let slowest = remaining.saturating_mul(1000) / (1000 - DRIFT_PER_MILLE) + 1;
        self.read_at + Duration::from_millis(slowest)
    }
}
