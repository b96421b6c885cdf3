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
    /// The client's estimate of the run time.
    pub estimate: Duration,
    /// Whether the run goes on until its job is cancelled.
    pub is_long_running: bool,
    /// The share of its speed at which the run was last told to work.
    pub pace_percent: u32,
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
}
