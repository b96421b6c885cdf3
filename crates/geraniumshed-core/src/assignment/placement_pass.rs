//! Results that are shared between the steps of one placement pass.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use geraniumshed_model::prelude::ResourceSize;
use smol_str::SmolStr;

use super::rank::ReadyStep;
use crate::job::{ServiceName, StepKey, StepRequest};

/// Results that are shared between the steps of one placement pass.
///
/// Free capacity only shrinks within a pass, so a query that found no worker isn't repeated.
#[derive(Debug, Default)]
pub(super) struct PlacementPass {
    failed: Vec<FailedQuery>,
    /// The number of starts that this pass may still place.
    remaining_starts: usize,
    /// Whether any startable task was left out for want of starts.
    is_exhausted: bool,
    /// The steps with startable tasks that found no worker.
    waiting: Vec<ReadyStep>,
    mostly_idle: BTreeMap<ServiceName, bool>,
    /// The number of tasks that wait for a place in each rack.
    rack_waits: BTreeMap<SmolStr, usize>,
    /// When places for the tasks of a step become free in its rack.
    rack_places: BTreeMap<StepKey, Vec<Duration>>,
    /// The steps placed in several turns that found no worker for some task.
    stuck: BTreeSet<StepKey>,
}

/// The requirements of a query that found no worker.
#[derive(Debug)]
struct FailedQuery {
    service: ServiceName,
    is_best_effort: bool,
    image: Option<SmolStr>,
    label: Option<SmolStr>,
    size: ResourceSize,
    min_speed: f64,
}

impl PlacementPass {
    /// Creates a pass that may place the given number of starts.
    pub(super) fn with_starts(remaining_starts: usize) -> Self {
        Self {
            remaining_starts,
            ..Self::default()
        }
    }

    /// Returns how many of a step's startable tasks may be placed.
    pub(super) fn allow_starts(&mut self, wanted: usize) -> usize {
        self.is_exhausted |= wanted > self.remaining_starts;
        wanted.min(self.remaining_starts)
    }

    /// Subtracts placed tasks from the starts that remain.
    pub(super) fn use_starts(&mut self, placed: usize) {
        self.remaining_starts = self.remaining_starts.saturating_sub(placed);
    }

    /// Records that a step that is placed in several turns found no worker for some task.
    pub(super) fn record_stuck(&mut self, step: StepKey) {
        self.stuck.insert(step);
    }

    /// Returns whether an earlier turn of a step found no worker for some task.
    pub(super) fn is_stuck(&self, step: StepKey) -> bool {
        self.stuck.contains(&step)
    }

    /// Returns whether any startable task was left out for want of starts.
    pub(super) fn is_exhausted(&self) -> bool {
        self.is_exhausted
    }

    /// Records that startable tasks of a step found no worker.
    pub(super) fn record_waiting(&mut self, step: ReadyStep) {
        self.waiting.push(step);
    }

    /// Returns the steps with startable tasks that found no worker, in the order of their ranks.
    pub(super) fn waiting_steps(&self) -> &[ReadyStep] {
        &self.waiting
    }

    /// Returns whether no start remains, so that steps may wait for answers to starts.
    pub(super) fn has_no_starts_left(&self) -> bool {
        self.remaining_starts == 0
    }

    /// Records that no worker was found for a task of a step.
    pub(super) fn record_failure(
        &mut self,
        service: &ServiceName,
        step: &StepRequest,
        min_speed: f64,
    ) {
        // With a limit per worker, the result depends on the step's own tasks and says nothing
        // about other steps.
        if step.worker_limit.is_none() {
            self.failed.push(FailedQuery {
                service: service.clone(),
                is_best_effort: step.is_best_effort,
                image: step.image.clone(),
                label: step.required_label.clone(),
                size: step.size,
                min_speed,
            });
        }
    }

    /// Returns whether a query with the same or lower requirements has failed.
    pub(super) fn has_failed(
        &self,
        service: &ServiceName,
        step: &StepRequest,
        min_speed: f64,
    ) -> bool {
        self.failed.iter().any(|failed| {
            failed.service == *service
                && failed.is_best_effort == step.is_best_effort
                && failed.image == step.image
                && failed.label == step.required_label
                && failed.size.fits(&step.size)
                && failed.min_speed <= min_speed
        })
    }

    /// Returns the number of tasks that wait for a place in a rack, as decided in this pass.
    pub(super) fn rack_waits(&self, rack: &SmolStr) -> usize {
        self.rack_waits.get(rack).copied().unwrap_or_default()
    }

    /// Records that a task waits for a place in a rack.
    pub(super) fn add_rack_wait(&mut self, rack: &SmolStr) {
        *self.rack_waits.entry(rack.clone()).or_default() += 1;
    }

    /// Returns when places for the tasks of a step become free in its rack, if that was computed.
    pub(super) fn rack_places(&self, step: StepKey) -> Option<&[Duration]> {
        self.rack_places.get(&step).map(Vec::as_slice)
    }

    /// Records when places for the tasks of a step become free in its rack.
    pub(super) fn set_rack_places(&mut self, step: StepKey, places: Vec<Duration>) {
        self.rack_places.insert(step, places);
    }

    /// Returns whether most of a service's capacity is idle, computed once per pass.
    pub(super) fn is_mostly_idle(
        &mut self,
        service: &ServiceName,
        compute: impl FnOnce() -> bool,
    ) -> bool {
        if let Some(is_idle) = self.mostly_idle.get(service) {
            return *is_idle;
        }
        let is_idle = compute();
        self.mostly_idle.insert(service.clone(), is_idle);
        is_idle
    }
}
