//! The limit of starts that are in flight.
//!
//! Without a limit, a planner that is slower than the jobs that come places all their tasks, and the
//! calls of these starts delay renewals of leases, ends of runs and cancellations behind them.

use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;

/// The number of starts that may be unanswered whatever the rate of answers.
const MIN_STARTS: usize = 256;
/// The time that answering all unanswered starts may take.
const TARGET_DELAY: Duration = Duration::from_millis(250);
/// The number of placed starts that may wait to be stored. It is higher, since a slow store takes as
/// long for many as for few.
const UNSTORED_STARTS: usize = 1024;
/// The interval over which answers are counted.
const COUNT_INTERVAL: Duration = Duration::from_millis(100);
/// The weight of the newest interval in the smoothed rate.
const RATE_WEIGHT: f64 = 0.3;

/// Limits the starts in flight to as many as are answered within a target delay.
#[derive(Debug, Clone, Default)]
pub(super) struct StartWindow {
    /// The number of starts that were sent and aren't answered yet.
    unanswered: usize,
    /// The number of answers in the present interval.
    answered: u32,
    /// When the present interval began.
    interval_begin: TimePoint,
    /// The smoothed number of answers per second.
    rate: f64,
}

impl StartWindow {
    /// Records that a start was sent.
    pub(super) fn record_sent(&mut self) {
        self.unanswered += 1;
    }

    /// Records that a start was answered or has failed.
    pub(super) fn record_answered(&mut self, now: TimePoint) {
        self.unanswered = self.unanswered.saturating_sub(1);
        self.answered += 1;
        let elapsed = now.since(self.interval_begin);
        if elapsed < COUNT_INTERVAL {
            return;
        }
        let newest = f64::from(self.answered) / elapsed.as_secs_f64();
        self.rate += (newest - self.rate) * RATE_WEIGHT;
        self.answered = 0;
        self.interval_begin = now;
    }

    /// Returns how many more starts may be placed, given the number of those that wait to be stored.
    pub(super) fn available(&self, unstored: usize) -> usize {
        let unanswered = self.limit().saturating_sub(self.unanswered);
        unanswered.min(UNSTORED_STARTS.saturating_sub(unstored))
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the rate is positive, and its fraction doesn't matter"
    )]
    fn limit(&self) -> usize {
        let answered_in_time = self.rate * TARGET_DELAY.as_secs_f64();
        MIN_STARTS.max(answered_in_time as usize)
    }
}
