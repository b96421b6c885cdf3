//! Summaries of how long the starts of runs take, for the log.

use std::collections::BTreeMap;
use std::time::Duration;

use geraniumshed_core::assignment::PlannerEvent;
use geraniumshed_model::prelude::whole_millis;
use hdrhistogram::Histogram;
use hdrhistogram::errors::CreationError;
use tokio::time::Instant;

/// The interval between two summaries.
const LOG_INTERVAL: Duration = Duration::from_secs(4);
/// The longest time that is told apart from longer ones, in milliseconds.
const MAX_MS: u64 = 60_000;
/// The number of significant digits of the percentiles.
const DIGITS: u8 = 2;

/// A stage of a run's start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StartStage {
    /// From when the step can first start until tasks of it are placed.
    Placed,
    /// Until the placement is stored and the order is sent.
    Stored,
    /// Until the worker's confirmation is handled.
    Confirmed,
}

impl StartStage {
    /// All stages, in their order.
    pub(crate) const ALL: [Self; 3] = [Self::Placed, Self::Stored, Self::Confirmed];

    /// Returns the name in logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Placed => "placed",
            Self::Stored => "stored",
            Self::Confirmed => "confirmed",
        }
    }
}

/// Collects how long the starts of runs take, and logs a summary for each priority at intervals.
#[derive(Debug, Default)]
pub(super) struct StartDelayLog {
    /// The delays since the last summary, by priority, in the order of [`StartStage::ALL`].
    delays: BTreeMap<u32, [StageDelays; StartStage::ALL.len()]>,
    /// The times without an open renewal since the last summary.
    renewal_gaps: StageDelays,
    logged_at: Option<Instant>,
}

impl StartDelayLog {
    /// Records the delays that an event of the planner tells.
    pub(super) fn record(&mut self, event: &PlannerEvent) {
        match event {
            PlannerEvent::StepPlaced(placement) => {
                let stage = StartStage::Placed;
                self.record_stage(stage, placement.priority, placement.ready_for);
            }
            PlannerEvent::RunStarted(delay) => {
                self.record_stage(StartStage::Stored, delay.priority, delay.stored);
                self.record_stage(StartStage::Confirmed, delay.priority, delay.confirmed);
            }
            PlannerEvent::RenewalSent(gap) => self.renewal_gaps.record(*gap),
            PlannerEvent::StepWaiting(..)
            | PlannerEvent::PressureBegan(_)
            | PlannerEvent::PressureEnded(_)
            | PlannerEvent::RunLost(_)
            | PlannerEvent::RunUnexpected(_)
            | PlannerEvent::JobEnded(_)
            | PlannerEvent::WorkerQuarantined(_)
            | PlannerEvent::WorkerSlow(_)
            | PlannerEvent::WorkerUsual(_)
            | PlannerEvent::RunMoved(_)
            | PlannerEvent::WorkerSilent(_)
            | PlannerEvent::WorkerAnswering(_)
            | PlannerEvent::WorkerDeparting(_)
            | PlannerEvent::WorkerLost(_)
            | PlannerEvent::WorkerRestarted(_)
            | PlannerEvent::RestartSeen(_)
            | PlannerEvent::EndsUnlisted(_)
            | PlannerEvent::EndsSkipped(_)
            | PlannerEvent::RunsMissing(_)
            | PlannerEvent::WorkerAdopted(_)
            | PlannerEvent::TrialBegun(_)
            | PlannerEvent::TaskGivenUp(_)
            | PlannerEvent::LocalityWaitBegan(_)
            | PlannerEvent::LocalityWaitEnded(_)
            | PlannerEvent::ZoneMoveBegun(_)
            | PlannerEvent::ZoneUnknown(_) => {}
        }
    }

    /// Logs a summary if one is due.
    pub(super) fn log_due(&mut self, now: Instant) {
        let logged_at = *self.logged_at.get_or_insert(now);
        if now.duration_since(logged_at) < LOG_INTERVAL {
            return;
        }
        self.logged_at = Some(now);
        let gaps = std::mem::take(&mut self.renewal_gaps);
        for (priority, [placed, stored, confirmed]) in std::mem::take(&mut self.delays) {
            log::info!(
                priority,
                starts = confirmed.count(),
                placed_p50_ms = placed.percentile_ms(50.0),
                placed_p95_ms = placed.percentile_ms(95.0),
                stored_p50_ms = stored.percentile_ms(50.0),
                stored_p95_ms = stored.percentile_ms(95.0),
                confirmed_p50_ms = confirmed.percentile_ms(50.0),
                confirmed_p95_ms = confirmed.percentile_ms(95.0),
                renewals = gaps.count(),
                renewal_gap_p50_ms = gaps.percentile_ms(50.0),
                renewal_gap_p95_ms = gaps.percentile_ms(95.0);
                "delays of starts"
            );
        }
    }

    fn record_stage(&mut self, stage: StartStage, priority: u32, delay: Duration) {
        self.delays.entry(priority).or_default()[stage as usize].record(delay);
    }
}

/// The distribution of a stage's delays, in milliseconds. Empty until the first one.
#[derive(Debug, Default)]
struct StageDelays(Option<Histogram<u64>>);

impl StageDelays {
    fn record(&mut self, delay: Duration) {
        if self.0.is_none() {
            self.0 = open_histogram()
                .inspect_err(
                    |error| log::error!(error:% = error; "delays of starts aren't counted"),
                )
                .ok();
        }
        if let Some(histogram) = &mut self.0 {
            histogram.saturating_record(whole_millis(delay));
        }
    }

    fn count(&self) -> u64 {
        self.0.as_ref().map_or(0, Histogram::len)
    }

    /// Returns a percentile in milliseconds, or nothing without any delay.
    fn percentile_ms(&self, percent: f64) -> Option<u64> {
        let histogram = self.0.as_ref()?;
        Some(histogram.value_at_percentile(percent))
    }
}

fn open_histogram() -> Result<Histogram<u64>, CreationError> {
    Histogram::new_with_bounds(1, MAX_MS, DIGITS)
}
