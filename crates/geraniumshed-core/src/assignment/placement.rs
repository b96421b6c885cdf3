//! The choice of a worker for a task.

use std::collections::BTreeMap;
use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;
use smol_str::SmolStr;

use super::interference::{InterferenceModel, LoadShare};
use crate::job::{ServiceName, StepRequest, TaskKey, WorkerId};
use crate::worker::WorkerEntry;

/// The part of its processors that a run with a latency target is taken to use.
const TARGET_LOAD: f64 = 0.42;
/// The processors, in thousandths, that a worker in the wanted rack is worth.
const RACK_BONUS: f64 = 64_000.0;
/// The processors, in thousandths, that one more run of the same step counts against a worker.
const SPREAD_PENALTY: f64 = 4_000.0;
/// The same for tasks with a latency target, which had better not be lost together.
const TARGET_SPREAD_PENALTY: f64 = 16_000.0;
/// The processors, in thousandths, that a best-effort run forgoes to spare others all of the
/// pressure that they can bear.
const PRESSURE_PENALTY: f64 = 20_000.0;
/// The pressure that counts as much as unlimited room.
const LARGE_ROOM: f64 = 0.3;
/// The processors, in thousandths, that each image which must keep away from a worker is worth to a
/// task that needn't; it leaves other workers to those that have no choice.
const CLOSED_BONUS: f64 = 9_000.0;
/// The processors, in thousandths, that a run of the same image is worth to one with a latency
/// target; images kept apart leave more workers to best-effort runs that disturb one of them.
const SAME_IMAGE_BONUS: f64 = 60_000.0;
/// The processors, in thousandths, that a run of another image counts against a worker for one with
/// a latency target.
const OTHER_IMAGE_PENALTY: f64 = 120_000.0;

/// What a task asks of its worker.
#[derive(Debug, Clone)]
pub(super) struct PlacementQuery<'a> {
    /// The service that the worker must belong to.
    pub(super) service: &'a ServiceName,
    /// The step.
    pub(super) step: &'a StepRequest,
    /// The task.
    pub(super) task: TaskKey,
    /// The workers on which the task failed.
    pub(super) avoided: &'a [WorkerId],
    /// The rack in which the step's other tasks run.
    pub(super) rack: Option<&'a SmolStr>,
    /// Which images disturb each other.
    pub(super) interference: &'a InterferenceModel,
    /// Whether the task waits rather than disturb others.
    pub(super) is_patient: bool,
    /// The time.
    pub(super) now: TimePoint,
}

impl PlacementQuery<'_> {
    /// Returns the best worker that can take the task.
    pub(super) fn choose<'w>(
        &self,
        workers: impl Iterator<Item = &'w WorkerEntry>,
    ) -> Option<WorkerId> {
        let best = workers
            .filter(|worker| self.is_allowed(worker))
            .map(|worker| (self.score(worker), worker))
            .max_by(|(one, _), (other, _)| one.total_cmp(other));
        best.map(|(_, worker)| worker.id().clone())
    }

    /// Tells whether the worker may run the task and has room for it.
    fn is_allowed(&self, worker: &WorkerEntry) -> bool {
        worker.listing.service == *self.service
            && worker.takes_tasks(self.now)
            && self.step.reserved_size().fits(&worker.free_size())
            && self.has_label(worker)
            && self.is_below_limit(worker)
            && !self.avoided.contains(worker.id())
            && (!self.step.is_best_effort || self.suits_best_effort(worker))
    }

    fn has_label(&self, worker: &WorkerEntry) -> bool {
        let required = self.step.required_label.as_ref();
        required.is_none_or(|label| worker.listing.labels.contains(label))
    }

    fn is_below_limit(&self, worker: &WorkerEntry) -> bool {
        let limit = self.step.worker_limit;
        limit.is_none_or(|limit| self.sibling_count(worker) < limit as usize)
    }

    /// Returns the number of the step's runs on a worker.
    fn sibling_count(&self, worker: &WorkerEntry) -> usize {
        let first = TaskKey {
            index: 0,
            ..self.task
        };
        let last = TaskKey {
            index: u32::MAX,
            ..self.task
        };
        worker.runs.range(first..=last).count()
    }

    /// Tells whether a best-effort run would find processors and disturb nobody.
    fn suits_best_effort(&self, worker: &WorkerEntry) -> bool {
        let asked = f64::from(self.step.size.processors.0);
        if idle_processors(worker) < asked {
            return false;
        }
        !self.is_patient || self.overload(worker) <= 0.0
    }

    /// Returns the pressure by which the best-effort runs of a worker, with this one, would exceed
    /// what the images that it serves can bear.
    fn overload(&self, worker: &WorkerEntry) -> f64 {
        let load = best_effort_load(worker);
        let own = LoadShare {
            image: self.step.image.clone().unwrap_or_default(),
            processors: f64::from(self.step.size.processors.0) / 1000.0,
        };
        let excess = |(served, target): (&SmolStr, Duration)| {
            let model = self.interference;
            let own = model.slope(served, &own.image) * own.processors;
            model.added(served, &load) + own - model.room(served, target)
        };
        served_images(worker)
            .map(excess)
            .fold(f64::NEG_INFINITY, f64::max)
    }

    /// Returns how well a worker suits the task; higher is better.
    fn score(&self, worker: &WorkerEntry) -> f64 {
        let mut score = match self.step.latency_target {
            Some(_) => self.target_score(worker),
            None => self.batch_score(worker),
        };
        score -= as_score(self.sibling_count(worker)) * SPREAD_PENALTY;
        let wanted = self.step.data_rack.as_ref().or(self.rack);
        if wanted.is_some() && wanted == worker.listing.rack.as_ref() {
            score += RACK_BONUS;
        }
        score
    }

    /// Returns how well a worker suits a task with a latency target.
    ///
    /// Workers get tasks of one image each, and a worker without any is taken last, so that as many as
    /// possible stay open to best-effort runs that would disturb the others.
    fn target_score(&self, worker: &WorkerEntry) -> f64 {
        let image = self.step.image.clone().unwrap_or_default();
        let (same, other): (Vec<_>, Vec<_>) =
            served_images(worker).partition(|(served, _)| **served == image);
        let mut score = f64::from(worker.free_size().processors.0);
        score -= as_score(self.sibling_count(worker)) * TARGET_SPREAD_PENALTY;
        if !same.is_empty() {
            score += SAME_IMAGE_BONUS;
        }
        if !other.is_empty() {
            score -= OTHER_IMAGE_PENALTY;
        }
        score
    }

    /// Returns how well a worker suits a task without a latency target.
    fn batch_score(&self, worker: &WorkerEntry) -> f64 {
        let mut score = idle_processors(worker);
        let closed = |(served, target)| self.interference.closed_count(served, target);
        let closed = served_images(worker).map(closed).max().unwrap_or_default();
        score += as_score(closed) * CLOSED_BONUS;
        if self.step.is_best_effort {
            score -= self.overload(worker).max(-LARGE_ROOM) * PRESSURE_PENALTY;
        }
        score
    }
}

fn as_score(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// Returns the processors that a worker's runs are expected to leave idle, in thousandths.
pub(super) fn idle_processors(worker: &WorkerEntry) -> f64 {
    let used: f64 = worker
        .runs
        .values()
        .map(|run| match run.latency_target {
            Some(_) => f64::from(run.processors.0) * TARGET_LOAD,
            None => f64::from(run.processors.0),
        })
        .sum();
    f64::from(worker.listing.capacity.processors.0) - used
}

/// Returns the images that a worker serves, with their targets, each once.
fn served_images(worker: &WorkerEntry) -> impl Iterator<Item = (&SmolStr, Duration)> {
    let served = worker.runs.values().filter_map(|run| {
        let target = run.latency_target?;
        Some((run.image.as_ref()?, target))
    });
    served.collect::<BTreeMap<_, _>>().into_iter()
}

/// Returns the load of a worker's best-effort runs at full speed.
fn best_effort_load(worker: &WorkerEntry) -> Vec<LoadShare> {
    let runs = worker.runs.values().filter(|run| run.is_best_effort);
    let load = runs.map(|run| LoadShare {
        image: run.image.clone().unwrap_or_default(),
        processors: run.whole_processors(),
    });
    load.collect()
}
