//! A run that was given to a worker.

use std::time::Duration;

use geraniumshed_model::prelude::{ProcessorShare, ResourceSize, TimePoint};
use smol_str::SmolStr;

use super::message::FenceToken;

/// How far the order to start a run is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunPhase {
    /// The placement isn't stored yet, so that nothing was sent.
    Storing,
    /// The order was sent with a token and isn't answered.
    Ordered(FenceToken),
    /// No answer came; a renewal with a higher token decides whether it runs.
    Unsettled(FenceToken),
    /// The worker has confirmed the run at the given time.
    Running(TimePoint),
}

/// A run that was given to a worker and whose end isn't known.
#[derive(Debug, Clone, PartialEq)]
pub struct RunEntry {
    /// The number of the run.
    pub run: u32,
    /// How far the order is.
    pub phase: RunPhase,
    /// What the run reserves.
    pub reserved: ResourceSize,
    /// The processors that the run asks for, reserved or not.
    pub processors: ProcessorShare,
    /// What the run executes, if it is known; runs of one image behave alike.
    pub image: Option<SmolStr>,
    /// Whether the run uses only processor time that others leave idle.
    pub is_best_effort: bool,
    /// The tail latency that the run has to stay below.
    pub latency_target: Option<Duration>,
    /// The tail latency at the newest reading.
    pub tail_latency: Duration,
    /// The pressure on the run in the last seconds, for a run with a latency target.
    pub usual_pressure: Option<f64>,
    /// The part of it that the run's own load made.
    pub usual_own_pressure: Option<f64>,
    /// The client's estimate of the run time.
    pub estimate: Duration,
    /// Whether the run goes on until its job is cancelled.
    pub is_long_running: bool,
    /// The share of its speed at which the run was last told to work.
    pub pace_percent: u32,
    /// The speed before that.
    pub former_percent: u32,
    /// When the speed was last changed.
    pub paced_at: TimePoint,
    /// The progress at the newest reading, 0 to 100.
    pub percent: u32,
    /// When the progress last changed.
    pub progressed_at: TimePoint,
    /// When the run was last told to stop.
    pub stop_sent_at: Option<TimePoint>,
}

impl RunEntry {
    /// Tells whether the run is being stopped.
    pub fn is_stopping(&self) -> bool {
        self.stop_sent_at.is_some()
    }

    /// Returns the processors that the run asks for, in whole ones.
    pub fn whole_processors(&self) -> f64 {
        f64::from(self.processors.0) / 1000.0
    }

    /// Takes note of a new speed, in percent.
    pub fn change_pace(&mut self, percent: u32, now: TimePoint) {
        self.former_percent = self.pace_percent;
        self.pace_percent = percent;
        self.paced_at = now;
    }

    /// Returns the mean speed over the last window of time, in percent, if orders take effect after
    /// a delay.
    pub fn mean_pace(&self, now: TimePoint, delay: Duration, window: Duration) -> f64 {
        let in_force = now.since(self.paced_at).saturating_sub(delay);
        let part = (in_force.as_secs_f64() / window.as_secs_f64()).min(1.0);
        f64::from(self.pace_percent) * part + f64::from(self.former_percent) * (1.0 - part)
    }
}
