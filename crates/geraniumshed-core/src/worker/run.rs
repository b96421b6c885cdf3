//! A run that is placed on a worker.

use std::time::Duration;

use geraniumshed_model::prelude::{ProcessorShare, ResourceSize, TimePoint};
use smol_str::SmolStr;

use super::message::FenceToken;
use super::progress::RunProgress;

/// The full speed, in percent.
pub const FULL_PERCENT: u32 = 100;

/// The progress of the order to start a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunPhase {
    /// The placement isn't stored yet, and no order was sent.
    Storing,
    /// The order was sent with this fencing token and isn't answered yet.
    Ordered(FenceToken),
    /// The order with this token got no answer. The answer to a renewal with a higher token, after
    /// which the worker refuses the order, shows whether the run has started.
    Unsettled(FenceToken),
    /// The worker has confirmed the run at the given time.
    Running(TimePoint),
}

/// A run that is placed on a worker and whose end isn't known yet.
#[derive(Debug, Clone, PartialEq)]
pub struct RunEntry {
    /// The number of the run.
    pub run: u32,
    /// The progress of the start order.
    pub phase: RunPhase,
    /// Whether a renewal has reported the run to this planner.
    pub is_reported: bool,
    /// Whether the known process of the worker has confirmed the run. Until then, it may be one of a
    /// later process.
    pub is_in_known_process: bool,
    /// When the lease of any process has expired under which the run may be active, if an earlier planner
    /// stored the run as unconfirmed.
    pub unconfirmed_until: Option<TimePoint>,
    /// When this planner sent the start order, or `None` for a run of an earlier planner.
    pub ordered_at: Option<TimePoint>,
    /// The resources that the run reserves.
    pub reserved: ResourceSize,
    /// When the run was placed on the worker.
    pub placed_at: TimePoint,
    /// The processors that the run requests, whether they are reserved or not.
    pub processors: ProcessorShare,
    /// The image that the run executes, if it is known. Runs of the same image are assumed to
    /// behave alike.
    pub image: Option<SmolStr>,
    /// Whether the run uses only processor time that other runs leave idle.
    pub is_best_effort: bool,
    /// The tail latency that the run must stay below.
    pub latency_target: Option<Duration>,
    /// The newest reading of the tail latency.
    pub tail_latency: Duration,
    /// The pressure on a run with a latency target, smoothed over the last seconds.
    pub smoothed_pressure: Option<f64>,
    /// The part of that pressure that the run's own load causes.
    pub smoothed_own_pressure: Option<f64>,
    /// The client's estimate of the run time.
    pub estimate: Duration,
    /// Whether the run continues until its job is cancelled.
    pub is_long_running: bool,
    /// The speed that was last ordered, in percent of full speed.
    pub pace_percent: u32,
    /// Whether this planner knows the speed. An earlier planner may have slowed an adopted run.
    pub is_pace_known: bool,
    /// The speed before the last change, in percent of full speed.
    pub previous_percent: u32,
    /// When the last change of speed was ordered.
    pub paced_at: TimePoint,
    /// The newest reading of the progress, in percent.
    pub percent: u32,
    /// When the progress last changed.
    pub progressed_at: TimePoint,
    /// The time without progress at full speed before the last change of speed.
    pub earlier_idle_time: Duration,
    /// When the last order to stop the run was sent.
    pub stop_sent_at: Option<TimePoint>,
    /// The observed speed.
    pub progress: RunProgress,
}

impl RunEntry {
    /// Returns whether the run was ordered to stop.
    pub fn is_stopping(&self) -> bool {
        self.stop_sent_at.is_some()
    }

    /// Returns when the worker confirmed the run, if it has.
    pub fn started_at(&self) -> Option<TimePoint> {
        match self.phase {
            RunPhase::Running(since) => Some(since),
            RunPhase::Storing | RunPhase::Ordered(_) | RunPhase::Unsettled(_) => None,
        }
    }

    /// Returns the number of processors that the run requests, as a fraction.
    pub fn whole_processors(&self) -> f64 {
        f64::from(self.processors.0) / 1000.0
    }

    /// Returns whether the run is known to have its full speed.
    pub fn has_full_speed(&self) -> bool {
        self.is_pace_known && self.pace_percent >= FULL_PERCENT
    }

    /// Records a change of the progress, in percent.
    pub fn record_progress(&mut self, percent: u32, now: TimePoint) {
        self.percent = percent;
        self.progressed_at = now;
        self.earlier_idle_time = Duration::ZERO;
    }

    /// Returns how long the run has had its full speed without any progress. A slowed run may not
    /// progress at all, so that time doesn't count.
    pub fn idle_time(&self, now: TimePoint) -> Duration {
        if !self.has_full_speed() {
            return self.earlier_idle_time;
        }
        let since = self.progressed_at.max(self.paced_at);
        self.earlier_idle_time + now.since(since)
    }

    /// Records an order to change the speed, in percent of full speed.
    pub fn change_pace(&mut self, percent: u32, now: TimePoint) {
        self.earlier_idle_time = self.idle_time(now);
        self.previous_percent = self.pace_percent;
        self.pace_percent = percent;
        self.is_pace_known = true;
        self.paced_at = now;
    }

    /// Returns the mean speed over the last time window, in percent of full speed, given the delay
    /// after which an order takes effect.
    pub fn mean_pace(&self, now: TimePoint, delay: Duration, window: Duration) -> f64 {
        let in_force = now.since(self.paced_at).saturating_sub(delay);
        let part = (in_force.as_secs_f64() / window.as_secs_f64()).min(1.0);
        f64::from(self.pace_percent) * part + f64::from(self.previous_percent) * (1.0 - part)
    }
}
