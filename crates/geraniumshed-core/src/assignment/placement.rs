//! The choice of a worker for a task.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};

use geraniumshed_model::prelude::TimePoint;
use smol_str::SmolStr;

use super::advice::StepAdvice;
use super::interference::InterferenceModel;
use super::pacing::SLIGHT_PRESSURE;
use crate::job::{ServiceName, StepRequest, TaskKey, WorkerId};
use crate::worker::WorkerEntry;

/// The part of its processors that a run with a latency target is taken to use.
const TARGET_LOAD: f64 = 0.5;
/// The processors, in thousandths, that a worker in the wanted rack is worth.
const RACK_BONUS: f64 = 64_000.0;
/// The processors, in thousandths, that one more run of the same step counts against a worker.
const SPREAD_PENALTY: f64 = 4_000.0;
/// The same for tasks with a latency target, which had better not be lost together.
const TARGET_SPREAD_PENALTY: f64 = 16_000.0;
/// The processors, in thousandths, that full speed is worth to a best-effort run over none.
const SPEED_BONUS: f64 = 24_000.0;
/// The processors, in thousandths, that a best-effort run forgoes to spare others all of the
/// pressure that they can bear.
const PRESSURE_PENALTY: f64 = 6_000.0;
/// The workers that are weighed against each other for most tasks.
const CANDIDATE_LIMIT: usize = 64;
/// The least room by which a run's part of it is judged, as a pressure.
const LEAST_LEFT: f64 = 0.02;
/// The processors, in thousandths, that each image which must keep away from a worker is worth to a
/// task that needn't; it leaves other workers to those that have no choice.
const CLOSED_BONUS: f64 = 9_000.0;
/// The processors, in thousandths, that a run of the same image is worth to one with a latency
/// target; images kept apart leave more workers to best-effort runs that disturb one of them.
const SAME_IMAGE_BONUS: f64 = 60_000.0;
/// The processors, in thousandths, that a run of another image counts against a worker for one with
/// a latency target.
const OTHER_IMAGE_PENALTY: f64 = 120_000.0;

/// Why a worker can't take a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PlacementRefusal {
    /// It is silent, about to leave, or not trusted for now.
    Unavailable,
    /// It is kept free for a long-running task.
    Held,
    /// The task doesn't fit beside what runs there.
    NoRoom,
    /// It lacks the label that the step requires.
    NoLabel,
    /// As many tasks of the step run there as may.
    WorkerLimit,
    /// The task failed there.
    Avoided,
    /// A best-effort task would be slow there, or disturb others.
    Pressed,
    /// The queue's policy doesn't name it.
    NoAdvice,
}

impl Display for PlacementRefusal {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unavailable => "unavailable",
            Self::Held => "held",
            Self::NoRoom => "no-room",
            Self::NoLabel => "no-label",
            Self::WorkerLimit => "worker-limit",
            Self::Avoided => "avoided",
            Self::Pressed => "pressed",
            Self::NoAdvice => "no-advice",
        })
    }
}

/// On which workers a queue's policy lets a step run.
#[derive(Debug, Clone, Copy)]
pub(super) enum StepPermission<'a> {
    /// On all.
    Anywhere,
    /// It wasn't asked yet.
    Unknown,
    /// On those that the advice names.
    Advised(&'a StepAdvice),
}

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
    /// The pressure that the task, if it is a best-effort one, adds to each served image.
    pub(super) pressures: BTreeMap<SmolStr, f64>,
    /// Which workers the queue's policy lets the step run on, where it asks for that.
    pub(super) advice: StepPermission<'a>,
    /// The part of its speed that a best-effort task has to find.
    pub(super) least_speed: f64,
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
            .filter(|worker| self.is_allowed(worker) && self.has_permission(worker))
            .take(self.candidate_limit())
            .map(|worker| (self.score(worker), worker))
            .max_by(|(one, _), (other, _)| one.total_cmp(other));
        best.map(|(_, worker)| worker.id().clone())
    }

    /// Returns the number of workers that are weighed against each other.
    ///
    /// Which worker is the best of all matters where images or racks are kept together.
    fn candidate_limit(&self) -> usize {
        let wants_place = self.step.data_rack.is_some() || self.step.wants_one_rack;
        if wants_place || self.step.latency_target.is_some() {
            usize::MAX
        } else {
            CANDIDATE_LIMIT
        }
    }

    /// Returns the workers that could take the task if the queue's policy lets them, best first.
    pub(super) fn ranked<'w>(
        &self,
        workers: impl Iterator<Item = &'w WorkerEntry>,
    ) -> Vec<WorkerId> {
        let mut ranked: Vec<(f64, &WorkerEntry)> = workers
            .filter(|worker| self.is_allowed(worker))
            .map(|worker| (self.score(worker), worker))
            .collect();
        ranked.sort_by(|(one, _), (other, _)| other.total_cmp(one));
        let ids = ranked.into_iter().map(|(_, worker)| worker.id().clone());
        ids.collect()
    }

    /// Tells whether the queue's policy lets the worker run the task, as far as that is known.
    fn has_permission(&self, worker: &WorkerEntry) -> bool {
        match self.advice {
            StepPermission::Anywhere => true,
            StepPermission::Unknown => false,
            StepPermission::Advised(advice) => advice.allows(worker.id(), worker.life, self.now),
        }
    }

    /// Counts the service's workers by why they can't take the task.
    pub(super) fn refusals<'w>(
        &self,
        workers: impl Iterator<Item = &'w WorkerEntry>,
    ) -> BTreeMap<PlacementRefusal, u32> {
        let own = workers.filter(|worker| worker.listing.service == *self.service);
        let mut counts = BTreeMap::new();
        for worker in own {
            let no_advice = (!self.has_permission(worker)).then_some(PlacementRefusal::NoAdvice);
            if let Some(refusal) = self.refusal(worker).or(no_advice) {
                *counts.entry(refusal).or_default() += 1;
            }
        }
        counts
    }

    /// Tells whether the worker could run the task once its short tasks have ended.
    pub(super) fn would_fit(&self, worker: &WorkerEntry) -> bool {
        let is_full = matches!(self.refusal(worker), Some(PlacementRefusal::NoRoom));
        worker.listing.service == *self.service
            && is_full
            && self.has_label(worker)
            && self.is_below_limit(worker)
            && self
                .step
                .reserved_size()
                .fits(&worker.size_beside_lasting())
    }

    /// Tells whether the worker may run the task and has room for it.
    fn is_allowed(&self, worker: &WorkerEntry) -> bool {
        worker.listing.service == *self.service && self.refusal(worker).is_none()
    }

    /// Returns why a worker of the service can't take the task.
    fn refusal(&self, worker: &WorkerEntry) -> Option<PlacementRefusal> {
        if !worker.takes_tasks(self.now) {
            Some(PlacementRefusal::Unavailable)
        } else if worker.held_for.is_some_and(|task| task != self.task) {
            Some(PlacementRefusal::Held)
        } else if !self.step.reserved_size().fits(&worker.free_size()) {
            Some(PlacementRefusal::NoRoom)
        } else if !self.has_label(worker) {
            Some(PlacementRefusal::NoLabel)
        } else if !self.is_below_limit(worker) {
            Some(PlacementRefusal::WorkerLimit)
        } else if self.avoided.contains(worker.id()) {
            Some(PlacementRefusal::Avoided)
        } else if self.step.is_best_effort && !self.suits_best_effort(worker) {
            Some(PlacementRefusal::Pressed)
        } else {
            None
        }
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

    /// Tells whether a best-effort run would find processors, and speed enough beside the images
    /// that the worker serves.
    fn suits_best_effort(&self, worker: &WorkerEntry) -> bool {
        let asked = f64::from(self.step.size.processors.0);
        idle_processors(worker) >= asked && self.pressure_on(worker).speed >= self.least_speed
    }

    /// Returns what becomes of the pressure on the images that a worker serves.
    fn pressure_on(&self, worker: &WorkerEntry) -> PressureForecast {
        let mut forecast = PressureForecast::default();
        for (served, left) in worker.pressure_left(|| pressure_left(worker, self.interference)) {
            let pressure = self.pressures.get(served).copied();
            forecast.add(*left, pressure.unwrap_or_default());
        }
        forecast
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
        let served = &worker.load.served;
        let has_same = served.contains_key(&image);
        let has_other = served.len() > usize::from(has_same);
        let mut score = f64::from(worker.free_size().processors.0);
        score -= as_score(self.sibling_count(worker)) * TARGET_SPREAD_PENALTY;
        if has_same {
            score += SAME_IMAGE_BONUS;
        }
        if has_other {
            score -= OTHER_IMAGE_PENALTY;
        }
        score
    }

    /// Returns how well a worker suits a task without a latency target.
    fn batch_score(&self, worker: &WorkerEntry) -> f64 {
        let mut score = idle_processors(worker);
        let served = worker.load.served.iter();
        let closed = served.map(|(image, load)| self.interference.closed_count(image, load.target));
        score += as_score(closed.max().unwrap_or_default()) * CLOSED_BONUS;
        if self.step.is_best_effort {
            let forecast = self.pressure_on(worker);
            score += forecast.speed * SPEED_BONUS;
            score -= forecast.taken * PRESSURE_PENALTY;
        }
        score
    }
}

/// What becomes of the images that a worker serves if one more best-effort run works there.
#[derive(Debug, Clone, Copy, PartialEq)]
struct PressureForecast {
    /// The part of its speed that is left to the run.
    speed: f64,
    /// The largest part of any image's room that the run would take.
    taken: f64,
}

impl PressureForecast {
    /// Takes an image into account that has some room left, and on which the run would press.
    fn add(&mut self, left: f64, pressure: f64) {
        if pressure > SLIGHT_PRESSURE {
            self.speed = self.speed.min((left / pressure).clamp(0.0, 1.0));
        }
        let taken = (pressure / left.max(LEAST_LEFT)).min(1.0);
        self.taken = self.taken.max(taken);
    }
}

impl Default for PressureForecast {
    fn default() -> Self {
        Self {
            speed: 1.0,
            taken: 0.0,
        }
    }
}

/// Returns what best-effort runs at full speed leave of the pressure that each served image bears.
fn pressure_left(worker: &WorkerEntry, model: &InterferenceModel) -> BTreeMap<SmolStr, f64> {
    let left = worker.load.served.iter().map(|(served, load)| {
        let usual = model.room(served, load.target);
        let coming = worker.rooms.get(served).copied().unwrap_or(usual);
        let beside = worker.load.best_effort.iter();
        let added: f64 = beside
            .map(|(image, processors)| model.slope(served, image) * whole_processors(*processors))
            .sum();
        (served.clone(), usual.min(coming) - added)
    });
    left.collect()
}

fn as_score(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// Returns the processors that a worker's runs are expected to leave idle, in thousandths.
pub(super) fn idle_processors(worker: &WorkerEntry) -> f64 {
    let served = worker.load.served.values().map(|load| load.processors);
    let best_effort = worker.load.best_effort.values();
    let used = whole_processors(served.sum::<u64>()) * TARGET_LOAD
        + whole_processors(best_effort.sum::<u64>() + worker.load.other);
    f64::from(worker.listing.capacity.processors.0) - used * 1000.0
}

/// Turns thousandths of a processor into whole ones.
fn whole_processors(thousandths: u64) -> f64 {
    f64::from(u32::try_from(thousandths).unwrap_or(u32::MAX)) / 1000.0
}
