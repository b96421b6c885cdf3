//! How often workers crash by themselves, against which the crashes under a task are weighed.

use std::collections::VecDeque;
use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;

use crate::job::CrashRate;

/// The time over which crashes are counted.
const WINDOW: Duration = Duration::from_secs(10);
/// The time within which a crash follows a start by chance.
const COINCIDENCE_TIME: Duration = Duration::from_secs(1);
/// The chance of a coincidence below which crashes are rare.
const RARE_CHANCE: f64 = 0.01;
/// The same above which they are frequent.
const FREQUENT_CHANCE: f64 = 0.05;

/// The crashes of workers that had no task on trial, and since when this planner has counted them.
#[derive(Debug, Clone, Default)]
pub(super) struct CrashLog {
    /// When each crash was learned, oldest first.
    crashes: VecDeque<TimePoint>,
    since: Option<TimePoint>,
}

impl CrashLog {
    /// Begins to count.
    pub(super) fn begin(&mut self, now: TimePoint) {
        self.since.get_or_insert(now);
    }

    /// Counts a crash.
    pub(super) fn record(&mut self, now: TimePoint) {
        while self
            .crashes
            .pop_front_if(|at| now.since(*at) > WINDOW)
            .is_some()
        {}
        self.crashes.push_back(now);
    }

    /// Returns how often one of a number of workers crashes. A planner that hasn't counted for long
    /// enough can't tell that crashes are rare.
    pub(super) fn rate(&self, now: TimePoint, workers: usize) -> CrashRate {
        let recent = self.crashes.iter().filter(|at| now.since(**at) <= WINDOW);
        let windows = WINDOW.as_secs_f64() / COINCIDENCE_TIME.as_secs_f64();
        let chance = recent.count() as f64 / (workers.max(1) as f64 * windows);
        let has_counted = self.since.is_some_and(|since| now.since(since) >= WINDOW);
        if chance > FREQUENT_CHANCE {
            CrashRate::Frequent
        } else if chance > RARE_CHANCE || !has_counted {
            CrashRate::Occasional
        } else {
            CrashRate::Rare
        }
    }
}
