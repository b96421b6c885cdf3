//! Queries that choose a worker for a task.
//!
//! Workers are compared by scores in thousandths of a processor. A _served image_ is an image whose
//! runs have a latency target, and _pressure_ is the extent to which load raises the tail latencies
//! of such runs (see [`InterferenceModel`]).

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;
use smol_str::SmolStr;

use super::advice::StepAdvice;
use super::interference::InterferenceModel;
use super::pacing::NEGLIGIBLE_PRESSURE;
use super::zone_evacuation::ZoneLedger;
use crate::job::{ServiceName, StepRequest, TaskKey, WorkerId};
use crate::worker::{RunEntry, WorkerEntry};

/// The score, in thousandths of a processor, for a worker in the preferred rack.
const RACK_BONUS: f64 = 64_000.0;
/// The penalty, in thousandths of a processor, for each run of the same step on a worker.
const SPREAD_PENALTY: f64 = 4_000.0;
/// The additional penalty for tasks with a latency target, which should not fail together with one
/// worker.
const SERVED_SPREAD_PENALTY: f64 = 16_000.0;
/// The score, in thousandths of a processor, for a worker that offers a best-effort run full speed
/// rather than none.
const SPEED_BONUS: f64 = 24_000.0;
/// The penalty, in thousandths of a processor, for a best-effort run that would use up all headroom
/// of a served image.
const PRESSURE_PENALTY: f64 = 6_000.0;
/// The penalty of a worker for a trial, in thousandths of a processor, for each other run there.
const TRIAL_NEIGHBOUR_PENALTY: f64 = 16_000.0;
/// The penalty of a worker for a trial, in thousandths of a processor, for each other run that has
/// just started there, and for a worker that is new.
const TRIAL_DOUBT_PENALTY: f64 = 64_000.0;
/// The time after which a worker no longer counts as new, which may just have crashed by itself.
const NEW_WORKER_TIME: Duration = Duration::from_secs(10);
/// The number of suitable workers that are compared for most tasks.
const CANDIDATE_LIMIT: usize = 64;
/// The same for each task of a step, if that is more.
const CANDIDATES_PER_TASK: usize = 4;
/// The lower bound of the headroom, as a pressure, when a run's share of it is computed.
const MIN_HEADROOM: f64 = 0.02;
/// The score, in thousandths of a processor, for each best-effort image that can't run beside the
/// most sensitive image of a worker. It steers tasks that can run there away from the workers that
/// remain for those images.
const EXCLUSION_BONUS: f64 = 9_000.0;
/// The score, in thousandths of a processor, for a worker that already serves the image of a task
/// with a latency target. Keeping images apart leaves more workers to best-effort runs that disturb
/// only one of them.
const SAME_IMAGE_BONUS: f64 = 60_000.0;
/// The penalty, in thousandths of a processor, for a worker that serves another image than that of
/// a task with a latency target.
const OTHER_IMAGE_PENALTY: f64 = 120_000.0;
/// The factor of the penalty for a bad track record for a long-running task.
const LONG_RUNNING_TRACK_FACTOR: f64 = 2.0;
/// The same for a best-effort task.
const BEST_EFFORT_TRACK_FACTOR: f64 = 0.5;

/// Why a worker can't take a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PlacementRefusal {
    /// It doesn't answer, is draining, or is in quarantine.
    Unavailable,
    /// Its availability zone is evacuated.
    ZoneEvacuated,
    /// It is held for a long-running task.
    Held,
    /// A run of a task under which workers have crashed is on trial there, or the task needs a trial and
    /// other runs are just starting there.
    OnTrial,
    /// Its free capacity is too small for the task.
    NoRoom,
    /// It lacks the label that the step requires.
    NoLabel,
    /// The step's limit of tasks per worker is reached.
    WorkerLimit,
    /// The task avoids the worker because a run of it failed, stalled or went missing there.
    Avoided,
    /// A best-effort task would find too few idle processors there, or would have to be slowed down
    /// too much to protect tail latencies.
    Pressed,
    /// The queue's policy requires advice, and the advice doesn't allow the worker.
    NoAdvice,
}

impl Display for PlacementRefusal {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unavailable => "unavailable",
            Self::ZoneEvacuated => "zone-evacuated",
            Self::Held => "held",
            Self::OnTrial => "on-trial",
            Self::NoRoom => "no-room",
            Self::NoLabel => "no-label",
            Self::WorkerLimit => "worker-limit",
            Self::Avoided => "avoided",
            Self::Pressed => "pressed",
            Self::NoAdvice => "no-advice",
        })
    }
}

/// The workers on which a queue's policy allows a step to run.
#[derive(Debug, Clone, Copy)]
pub(super) enum StepPermission<'a> {
    /// All workers.
    Anywhere,
    /// Not known, since advice hasn't been requested yet.
    Unknown,
    /// The workers that the advice allows.
    Advised(&'a StepAdvice),
}

/// The requirements of a task on its worker.
#[derive(Debug, Clone)]
pub(super) struct PlacementQuery<'a> {
    /// The service that the worker must belong to.
    pub(super) service: &'a ServiceName,
    /// The step.
    pub(super) step: &'a StepRequest,
    /// The task.
    pub(super) task: TaskKey,
    /// The workers that the task avoids.
    pub(super) avoided: &'a [WorkerId],
    /// The rack of the step's other tasks, if the step asks for a single rack.
    pub(super) rack: Option<&'a SmolStr>,
    /// The model of the interference between images.
    pub(super) interference: &'a InterferenceModel,
    /// The pressure that a best-effort task adds to each served image. Empty for other tasks.
    pub(super) pressures: &'a BTreeMap<SmolStr, f64>,
    /// The workers on which the queue's policy allows the step to run.
    pub(super) advice: StepPermission<'a>,
    /// The fraction of full speed that a best-effort task needs.
    pub(super) min_speed: f64,
    /// The evacuated availability zones.
    pub(super) zones: &'a ZoneLedger,
    /// Whether the run will be a trial.
    pub(super) is_trial: bool,
    /// The time of the query.
    pub(super) now: TimePoint,
}

impl PlacementQuery<'_> {
    /// Returns the best worker that can take the task.
    pub(super) fn choose<'w>(
        &self,
        workers: impl Iterator<Item = &'w WorkerEntry>,
    ) -> Option<WorkerId> {
        let best = workers
            .filter_map(|worker| Some((self.rate(worker)?, worker)))
            .take(self.candidate_limit(1))
            .max_by(|(one, _), (other, _)| one.total_cmp(other));
        best.map(|(_, worker)| worker.id().clone())
    }

    /// Returns the worker's score for the task if it can take the task. Higher is better.
    pub(super) fn rate(&self, worker: &WorkerEntry) -> Option<f64> {
        let can_take = self.is_allowed(worker) && self.has_permission(worker);
        can_take.then(|| self.score(worker))
    }

    /// Returns the number of suitable workers that are compared for a number of tasks.
    ///
    /// All are compared where the search must find the best worker, to keep images or racks
    /// together.
    pub(super) fn candidate_limit(&self, task_count: usize) -> usize {
        let has_locality_preference = self.step.data_rack.is_some() || self.step.wants_one_rack;
        if has_locality_preference || self.step.latency_target.is_some() {
            usize::MAX
        } else {
            CANDIDATE_LIMIT.max(task_count.saturating_mul(CANDIDATES_PER_TASK))
        }
    }

    /// Returns the workers that could take the task regardless of advice, best first.
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

    /// Returns whether the queue's policy is known to allow the task on the worker.
    fn has_permission(&self, worker: &WorkerEntry) -> bool {
        match self.advice {
            StepPermission::Anywhere => true,
            StepPermission::Unknown => false,
            StepPermission::Advised(advice) => {
                advice.allows(worker.id(), worker.incarnation, self.now)
            }
        }
    }

    /// Counts the service's workers by the reason why they can't take the task.
    pub(super) fn refusals<'w>(
        &self,
        workers: impl Iterator<Item = &'w WorkerEntry>,
    ) -> BTreeMap<PlacementRefusal, u32> {
        let service_workers = workers.filter(|worker| worker.listing.service == *self.service);
        let mut counts = BTreeMap::new();
        for worker in service_workers {
            let no_advice = (!self.has_permission(worker)).then_some(PlacementRefusal::NoAdvice);
            if let Some(refusal) = self.refusal(worker).or(no_advice) {
                *counts.entry(refusal).or_default() += 1;
            }
        }
        counts
    }

    /// Returns whether the worker could take the task once its short tasks have ended.
    pub(super) fn would_fit(&self, worker: &WorkerEntry) -> bool {
        let is_full = matches!(self.refusal(worker), Some(PlacementRefusal::NoRoom));
        worker.listing.service == *self.service
            && is_full
            && self.has_label(worker)
            && self.is_below_limit(worker)
            && self
                .step
                .reserved_size()
                .fits(&worker.size_beside_long_running())
    }

    /// Returns whether the worker takes the task now, or once enough of its short tasks have ended.
    pub(super) fn takes_eventually(&self, worker: &WorkerEntry) -> bool {
        let refusal = self.refusal(worker);
        worker.listing.service == *self.service
            && matches!(refusal, None | Some(PlacementRefusal::NoRoom))
            && self.has_permission(worker)
            && self.has_label(worker)
            && self.is_below_limit(worker)
    }

    /// Returns the number of tasks of the step that the worker may take by the step's limit.
    pub(super) fn free_task_count(&self, worker: &WorkerEntry) -> usize {
        let limit = self.step.worker_limit;
        limit.map_or(usize::MAX, |limit| {
            (limit as usize).saturating_sub(self.sibling_count(worker))
        })
    }

    /// Returns whether the worker belongs to the service and can take the task, regardless of
    /// advice.
    fn is_allowed(&self, worker: &WorkerEntry) -> bool {
        worker.listing.service == *self.service && self.refusal(worker).is_none()
    }

    /// Returns the reason why a worker of the service can't take the task, or `None` if it can.
    fn refusal(&self, worker: &WorkerEntry) -> Option<PlacementRefusal> {
        if !worker.takes_tasks(self.now) {
            Some(PlacementRefusal::Unavailable)
        } else if self.zones.is_evacuated(worker) {
            Some(PlacementRefusal::ZoneEvacuated)
        } else if worker.held_for.is_some_and(|task| task != self.task) {
            Some(PlacementRefusal::Held)
        } else if worker.trial.is_some() || self.is_trial && self.has_ambiguous_run(worker) {
            Some(PlacementRefusal::OnTrial)
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

    /// Returns whether a crash of the worker during a trial might be the fault of another run.
    fn has_ambiguous_run(&self, worker: &WorkerEntry) -> bool {
        let mut runs = worker.runs.values();
        runs.any(|run| run.is_ambiguous(self.now))
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

    /// Returns whether a best-effort run would find enough idle processors on the worker and enough
    /// speed beside the images that it serves.
    fn suits_best_effort(&self, worker: &WorkerEntry) -> bool {
        let required_processors = f64::from(self.step.size.processors.0);
        idle_processors(worker) >= required_processors
            && self.pressure_on(worker).speed >= self.min_speed
    }

    /// Predicts the effects of the run's pressure on the images that a worker serves.
    fn pressure_on(&self, worker: &WorkerEntry) -> PressureForecast {
        let mut forecast = PressureForecast::default();
        for (served, headroom) in
            worker.remaining_pressure(|| remaining_headroom(worker, self.interference))
        {
            let pressure = self.pressures.get(served).copied();
            forecast.add_image(*headroom, pressure.unwrap_or_default());
        }
        forecast
    }

    /// Returns the worker's score for the task. Higher is better.
    fn score(&self, worker: &WorkerEntry) -> f64 {
        let mut score = match self.step.latency_target {
            Some(_) => self.served_score(worker),
            None => self.batch_score(worker),
        };
        score -= as_score(self.sibling_count(worker)) * SPREAD_PENALTY;
        let wanted = self.step.data_rack.as_ref().or(self.rack);
        if wanted.is_some() && wanted == worker.listing.rack.as_ref() {
            score += RACK_BONUS;
        }
        if self.is_trial {
            score -= self.trial_penalty(worker);
        }
        score - self.track_penalty(worker)
    }

    /// Returns the penalty of a worker for its track record. It is higher for a long-running task, which
    /// stays there, and lower for best-effort work, which can wait.
    fn track_penalty(&self, worker: &WorkerEntry) -> f64 {
        let is_untested = |run: &&RunEntry| !run.is_long_running && run.progress.speed.is_none();
        let untested = || worker.runs.values().filter(is_untested).count();
        let factor = if self.step.is_long_running {
            LONG_RUNNING_TRACK_FACTOR
        } else if self.step.is_best_effort {
            BEST_EFFORT_TRACK_FACTOR
        } else {
            1.0
        };
        worker.track.penalty(self.now, untested) * factor
    }

    /// Returns the penalty of a worker for a trial, which takes down with it all other runs if the task
    /// crashes its worker, and shows nothing if something else does.
    fn trial_penalty(&self, worker: &WorkerEntry) -> f64 {
        let is_new = self.now.since(worker.up_since) < NEW_WORKER_TIME;
        let starting = worker.runs.values().filter(|run| run.is_starting(self.now));
        let doubts = usize::from(is_new) + starting.count();
        as_score(worker.runs.len()) * TRIAL_NEIGHBOUR_PENALTY
            + as_score(doubts) * TRIAL_DOUBT_PENALTY
    }

    /// Returns the score for a task with a latency target.
    ///
    /// Prefers workers that already serve the image, and takes workers that serve no image last.
    /// This keeps as many workers as possible usable for best-effort runs that disturb some of the
    /// images.
    fn served_score(&self, worker: &WorkerEntry) -> f64 {
        let image = self.step.image.clone().unwrap_or_default();
        let served = &worker.load.served;
        let has_same = served.contains_key(&image);
        let has_other = served.len() > usize::from(has_same);
        let mut score = f64::from(worker.free_size().processors.0);
        score -= as_score(self.sibling_count(worker)) * SERVED_SPREAD_PENALTY;
        if has_same {
            score += SAME_IMAGE_BONUS;
        }
        if has_other {
            score -= OTHER_IMAGE_PENALTY;
        }
        score
    }

    /// Returns the score for a task without a latency target.
    fn batch_score(&self, worker: &WorkerEntry) -> f64 {
        let mut score = idle_processors(worker);
        let served = worker.load.served.iter();
        let excluded =
            served.map(|(image, load)| self.interference.excluded_count(image, load.target));
        score += as_score(excluded.max().unwrap_or_default()) * EXCLUSION_BONUS;
        if self.step.is_best_effort {
            let forecast = self.pressure_on(worker);
            score += forecast.speed * SPEED_BONUS;
            score -= forecast.headroom_fraction * PRESSURE_PENALTY;
        }
        score
    }
}

/// The predicted effects of one more best-effort run beside the images that a worker serves.
#[derive(Debug, Clone, Copy, PartialEq)]
struct PressureForecast {
    /// The fraction of full speed that the run would get.
    speed: f64,
    /// The largest fraction of any image's headroom that the run would use.
    headroom_fraction: f64,
}

impl PressureForecast {
    /// Takes an image into account, with its headroom and the pressure that the run would add to
    /// it.
    fn add_image(&mut self, headroom: f64, pressure: f64) {
        if pressure > NEGLIGIBLE_PRESSURE {
            self.speed = self.speed.min((headroom / pressure).clamp(0.0, 1.0));
        }
        let headroom_fraction = (pressure / headroom.max(MIN_HEADROOM)).min(1.0);
        self.headroom_fraction = self.headroom_fraction.max(headroom_fraction);
    }
}

impl Default for PressureForecast {
    fn default() -> Self {
        Self {
            speed: 1.0,
            headroom_fraction: 0.0,
        }
    }
}

/// Returns the headroom of each served image that remains beside the worker's best-effort runs at
/// full speed.
fn remaining_headroom(worker: &WorkerEntry, model: &InterferenceModel) -> BTreeMap<SmolStr, f64> {
    let headroom = worker.load.served.iter().map(|(served, load)| {
        let typical = model.headroom(served, load.target);
        let predicted = worker.headroom.get(served).copied().unwrap_or(typical);
        let beside = worker.load.best_effort.iter();
        let added: f64 = beside
            .map(|(image, processors)| model.slope(served, image) * whole_processors(*processors))
            .sum();
        (served.clone(), typical.min(predicted) - added)
    });
    headroom.collect()
}

fn as_score(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// Returns the number of processors that a worker's runs are expected to leave idle, in
/// thousandths. A run with a latency target is assumed to use half of what it requests.
fn idle_processors(worker: &WorkerEntry) -> f64 {
    idle_half_units(worker) as f64 / 2.0
}

/// Returns the same in units of half a thousandth, which is exact since a run with a latency target
/// counts as half of what it requests.
pub(super) fn idle_half_units(worker: &WorkerEntry) -> i64 {
    let load = &worker.load;
    let used = load.served_sum + 2 * (load.best_effort_sum + load.other);
    i64::from(worker.listing.capacity.processors.0) * 2 - used.cast_signed()
}

/// Converts thousandths of a processor to processors.
fn whole_processors(thousandths: u64) -> f64 {
    f64::from(u32::try_from(thousandths).unwrap_or(u32::MAX)) / 1000.0
}
