//! What one pass over the steps that can start has shown.

use std::collections::BTreeMap;

use geraniumshed_model::prelude::ResourceSize;
use smol_str::SmolStr;

use crate::job::{ServiceName, StepRequest};

/// What one pass over the steps that can start has shown.
///
/// Within a pass room only shrinks, so that what found no worker once needn't be tried again.
#[derive(Debug, Default)]
pub(super) struct PlacementPass {
    failed: Vec<FailedQuery>,
    idle: BTreeMap<ServiceName, bool>,
}

/// What was asked of a worker when none could be found.
#[derive(Debug)]
struct FailedQuery {
    service: ServiceName,
    is_best_effort: bool,
    image: Option<SmolStr>,
    label: Option<SmolStr>,
    size: ResourceSize,
    least_speed: f64,
}

impl PlacementPass {
    /// Takes note that no worker was found for a task of a step.
    pub(super) fn query_failed(
        &mut self,
        service: &ServiceName,
        step: &StepRequest,
        least_speed: f64,
    ) {
        // A limit by worker depends on the step's own tasks.
        if step.worker_limit.is_none() {
            self.failed.push(FailedQuery {
                service: service.clone(),
                is_best_effort: step.is_best_effort,
                image: step.image.clone(),
                label: step.required_label.clone(),
                size: step.size,
                least_speed,
            });
        }
    }

    /// Tells whether a query that asks for no more has failed.
    pub(super) fn has_failed(
        &self,
        service: &ServiceName,
        step: &StepRequest,
        least_speed: f64,
    ) -> bool {
        self.failed.iter().any(|failed| {
            failed.service == *service
                && failed.is_best_effort == step.is_best_effort
                && failed.image == step.image
                && failed.label == step.required_label
                && failed.size.fits(&step.size)
                && failed.least_speed <= least_speed
        })
    }

    /// Returns whether most of a service's room is free, which is found out once.
    pub(super) fn is_mostly_idle(
        &mut self,
        service: &ServiceName,
        find_out: impl FnOnce() -> bool,
    ) -> bool {
        if let Some(is_idle) = self.idle.get(service) {
            return *is_idle;
        }
        let is_idle = find_out();
        self.idle.insert(service.clone(), is_idle);
        is_idle
    }
}
