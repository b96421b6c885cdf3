//! Measures what the steps of the leader task take.

use std::time::Duration;

use geraniumshed_core::assignment::PlannerWork;
use geraniumshed_model::prelude::whole_millis;
use tokio::time::Instant;

use crate::telemetry::NodeMetrics;

/// The duration from which on a step is logged.
const LONG_STEP: Duration = Duration::from_millis(50);
/// The minimum interval between two log lines about long steps.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// A part of a step of the leader task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StepPart {
    /// Handling the answers of workers and the store, new jobs and queries.
    Events,
    /// Placing tasks and checking leases and runs.
    Plan,
    /// Collecting the changes to store.
    Collect,
    /// Sending calls to workers, and logging decisions.
    Order,
}

impl StepPart {
    /// All parts, in the order in which a step does them.
    pub(crate) const ALL: [Self; 4] = [Self::Events, Self::Plan, Self::Collect, Self::Order];

    /// Returns the name in logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Events => "events",
            Self::Plan => "plan",
            Self::Collect => "collect",
            Self::Order => "order",
        }
    }
}

/// Measures the parts of a step, and logs the steps that take long.
#[derive(Debug, Default)]
pub(super) struct StepTimer {
    /// The durations of the parts of the present step, in the order of [`StepPart::ALL`].
    parts: [Duration; StepPart::ALL.len()],
    /// The number of events that were handled for the present step.
    events: u64,
    /// The longest time that one of them was queued.
    longest_queued: Duration,
    /// The planner's work before the present step.
    work: PlannerWork,
    /// The number of long steps since the last log line.
    long_steps: u64,
    logged_at: Option<Instant>,
}

impl StepTimer {
    /// Records an event that was queued for the given time.
    pub(super) fn record_event(&mut self, queued: Duration) {
        self.events += 1;
        self.longest_queued = self.longest_queued.max(queued);
    }

    /// Adds to the duration of a part of the present step.
    pub(super) fn record_part(&mut self, part: StepPart, taken: Duration) {
        self.parts[part as usize] += taken;
    }

    /// Ends the present step, passes what it took to the metrics, and logs it if it was long.
    pub(super) fn finish_step(&mut self, now: Instant, work: PlannerWork, metrics: &NodeMetrics) {
        let done = work.since(&self.work);
        self.work = work;
        for part in StepPart::ALL {
            metrics.record_step_part(part, self.parts[part as usize]);
        }
        if self.events > 0 {
            metrics.record_queue_time(self.longest_queued);
        }
        metrics.record_work(&done);
        if self.parts.iter().sum::<Duration>() >= LONG_STEP {
            self.long_steps += 1;
            self.log_step(now, &done);
        }
        self.parts = Default::default();
        self.events = 0;
        self.longest_queued = Duration::ZERO;
    }

    fn log_step(&mut self, now: Instant, done: &PlannerWork) {
        let is_recent = |at: Instant| now.duration_since(at) < LOG_INTERVAL;
        if self.logged_at.is_some_and(is_recent) {
            return;
        }
        self.logged_at = Some(now);
        let part_ms = |part: StepPart| whole_millis(self.parts[part as usize]);
        log::info!(
            events_ms = part_ms(StepPart::Events),
            plan_ms = part_ms(StepPart::Plan),
            collect_ms = part_ms(StepPart::Collect),
            order_ms = part_ms(StepPart::Order),
            events = self.events,
            queued_ms = whole_millis(self.longest_queued),
            passes = done.passes,
            examined_jobs = done.examined_jobs,
            ready_steps = done.ready_steps,
            searches = done.searches,
            compared_workers = done.compared_workers,
            pressure_forecasts = done.pressure_forecasts,
            placed = done.placed_tasks,
            long_steps = self.long_steps;
            "a step of the leader took long"
        );
        self.long_steps = 0;
    }
}
