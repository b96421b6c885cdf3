//! Protection of tail latencies by slowing down or moving best-effort runs on the same worker.

use std::collections::BTreeMap;
use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;
use smol_str::SmolStr;

use super::interference::{InterferenceModel, LoadShare};
use crate::job::TaskKey;
use crate::worker::{FULL_PERCENT, PaceOrder, RunEntry, RunPhase, WorkerEntry};

/// The smallest increase of speed that is worth a call, in percentage points. An increase to full
/// speed is always worth it.
const MIN_PACE_INCREASE: u32 = 20;
/// The pressure that is kept free below a target, to absorb changes until the next reading.
const PRESSURE_MARGIN: f64 = 0.05;
/// The pressure up to which a run's interference is ignored.
pub(super) const NEGLIGIBLE_PRESSURE: f64 = 0.012;
/// The window over which workers measure tail latencies.
const TAIL_WINDOW: Duration = Duration::from_millis(500);
/// The time constant of the exponential moving averages of loads and pressures.
const AVERAGE_TIME_CONSTANT: Duration = Duration::from_secs(1);
/// The change of load, in processors, up to which it is ignored.
const MIN_LOAD_CHANGE: f64 = 0.01;
/// The delay until a change of speed takes effect.
pub(super) const PACE_DELAY: Duration = Duration::from_millis(100);
/// The time above a target after which all best-effort runs on the worker are suspended.
const SUSPEND_AFTER: Duration = Duration::from_millis(1300);
/// The time after a run's start during which its tail latency is ignored, since it is due to the
/// start itself.
const WARM_UP: Duration = Duration::from_millis(1500);
/// The speed up to which moving a run to another worker is considered, in percent.
const MOVE_PERCENT: u32 = 30;
/// The least remaining work with which a run is moved.
const MIN_MOVE_WORK: Duration = Duration::from_secs(1);
/// The number of the last run of a task that may be moved.
const MOVED_RUN_LIMIT: u32 = 2;

/// The changes on a worker that keep its tail latencies below their targets.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct PacePlan {
    /// The changes of speed.
    pub(super) orders: Vec<PaceOrder>,
    /// The runs to move to another worker if there is a better one.
    pub(super) moves: Vec<TaskKey>,
}

/// The newest tail latency of a run with a latency target.
#[derive(Debug, Clone, PartialEq)]
struct TailReading {
    image: SmolStr,
    target: Duration,
    tail: Duration,
}

/// The pressure that best-effort runs on a worker may add to a served image.
#[derive(Debug, Clone, PartialEq)]
struct PressureHeadroom {
    image: SmolStr,
    /// The headroom that is still available. Negative if the image's own load is too high already.
    available: f64,
    /// The headroom that is predicted for the next second.
    predicted: f64,
}

/// What the runs of a served image on a worker have in common.
#[derive(Debug, Clone, Copy, Default)]
struct ServedRuns {
    /// The number of runs with a reading.
    count: u32,
    /// The pressure that the best-effort load beside them adds.
    added_pressure: f64,
}

/// The served images of a worker, which has runs of a few.
#[derive(Debug, Default)]
struct ServedImages(Vec<(SmolStr, ServedRuns)>);

impl ServedImages {
    /// Counts a run of an image. The pressure that is added to the image is computed for the first one.
    fn count(&mut self, image: &SmolStr, added_pressure: impl FnOnce() -> f64) -> ServedRuns {
        let known = self.0.iter().position(|(known, _)| known == image);
        let position = known.unwrap_or_else(|| {
            let runs = ServedRuns {
                count: 0,
                added_pressure: added_pressure(),
            };
            self.0.push((image.clone(), runs));
            self.0.len() - 1
        });
        let (_, runs) = &mut self.0[position];
        runs.count += 1;
        *runs
    }

    /// Returns what is known of an image that was counted.
    fn get(&self, image: &SmolStr) -> ServedRuns {
        let known = self.0.iter().find(|(known, _)| known == image);
        let unknown = ServedRuns {
            count: 1,
            added_pressure: 0.0,
        };
        known.map_or(unknown, |(_, runs)| *runs)
    }
}

/// Updates the model with the newest tail latencies of a worker, and plans the changes on it.
pub(super) fn pace_worker(
    worker: &mut WorkerEntry,
    model: &mut InterferenceModel,
    now: TimePoint,
) -> PacePlan {
    let load = recent_load(worker, now);
    update_model(worker, &load, model, now);
    let readings = tail_readings(worker, now);
    let is_above = readings.iter().any(|one| one.tail > one.target);
    worker.tails_above_since = worker.tails_above_since.or(Some(now)).filter(|_| is_above);
    let above_since = worker.tails_above_since.unwrap_or(now);
    let must_suspend = is_above && now.since(above_since) >= SUSPEND_AFTER;
    let mut headrooms = pressure_headrooms(worker, &load, model, now);
    let predicted = headrooms
        .iter()
        .map(|headroom| (headroom.image.clone(), headroom.predicted));
    worker.set_headroom(predicted.collect());
    let mut plan = PacePlan::default();
    for key in runs_by_pressure(worker, &headrooms, model) {
        let Some(run) = worker.runs.get_mut(&key) else {
            continue;
        };
        let percent = if must_suspend {
            0
        } else {
            claim_headroom(run, &mut headrooms, model)
        };
        if percent <= MOVE_PERCENT && may_move(run) {
            plan.moves.push(key);
        }
        if is_worth_sending(run.pace_percent, percent) || is_first_order_due(run, now) {
            run.change_pace(percent, now);
            plan.orders.push(PaceOrder {
                task: key,
                run: run.run,
                percent,
            });
        }
    }
    plan
}

/// Returns the newest tail latencies of all runs past their warm-up.
fn tail_readings(worker: &WorkerEntry, now: TimePoint) -> Vec<TailReading> {
    let runs = worker.runs.values();
    runs.filter_map(|run| tail_reading(run, now)).collect()
}

/// Returns the newest tail latency of a run, if it has a latency target and is past its warm-up.
fn tail_reading(run: &RunEntry, now: TimePoint) -> Option<TailReading> {
    let target = run.latency_target?;
    let RunPhase::Running(since) = run.phase else {
        return None;
    };
    let is_warm = now.since(since) >= WARM_UP && !target.is_zero();
    is_warm.then(|| TailReading {
        image: run.image.clone().unwrap_or_default(),
        target,
        tail: run.tail_latency,
    })
}

/// Returns the processors that best-effort runs have used over the measurement window of tail
/// latencies.
fn recent_load(worker: &mut WorkerEntry, now: TimePoint) -> Vec<LoadShare> {
    let is_recent = |ended_at: TimePoint| now.since(ended_at) < TAIL_WINDOW;
    worker
        .ended_loads
        .retain(|(_, ended_at)| is_recent(*ended_at));
    let running = worker.runs.values().filter_map(|run| {
        let RunPhase::Running(since) = run.phase else {
            return None;
        };
        let share = recent_share(run, now);
        let fraction = window_fraction(now.since(since));
        run.is_best_effort.then(|| share.scaled(fraction))
    });
    let ended = worker
        .ended_loads
        .iter()
        .map(|(share, ended_at)| share.scaled(1.0 - window_fraction(now.since(*ended_at))));
    running.chain(ended).collect()
}

/// Returns the processors that a run has used at its mean speed over the measurement window.
pub(super) fn recent_share(run: &RunEntry, now: TimePoint) -> LoadShare {
    let percent = run.mean_pace(now, PACE_DELAY, TAIL_WINDOW);
    LoadShare {
        image: run.image.clone().unwrap_or_default(),
        processors: run.whole_processors() * percent / f64::from(FULL_PERCENT),
    }
}

/// Returns the fraction of the measurement window that a span covers.
fn window_fraction(span: Duration) -> f64 {
    (span.as_secs_f64() / TAIL_WINDOW.as_secs_f64()).min(1.0)
}

/// Updates the model with the tail latencies of a worker. Readings whose windows overlap with those
/// of the previous readings have less weight.
///
/// The added pressures are learned from changes only. A run's own load changes slowly and differs
/// between runs, while best-effort runs come and go within seconds, so fast changes of pressure are
/// due to them.
fn update_model(
    worker: &mut WorkerEntry,
    load: &[LoadShare],
    model: &mut InterferenceModel,
    now: TimePoint,
) {
    let span = now.since(worker.tails_learned_at);
    worker.tails_learned_at = now;
    let weight = window_fraction(span);
    let decay = (-span.as_secs_f64() / AVERAGE_TIME_CONSTANT.as_secs_f64()).exp();
    let change = load_change(load, &worker.smoothed_load);
    let mut images = ServedImages::default();
    for reading in tail_readings(worker, now) {
        images.count(&reading.image, || {
            model.added_pressure(&reading.image, load)
        });
    }
    for run in worker.runs.values_mut() {
        let Some(reading) = tail_reading(run, now) else {
            continue;
        };
        // The load of an image's runs varies in step, so all of them together count as one.
        let served = images.get(&reading.image);
        let weight = weight / f64::from(served.count);
        let pressure = model.observe_tail(&reading.image, reading.tail);
        let own = pressure - served.added_pressure;
        model.observe_own_pressure(&reading.image, own, weight);
        let smoothed = run.smoothed_pressure.unwrap_or(pressure);
        if run.smoothed_pressure.is_some() {
            model.observe_change(&reading.image, pressure - smoothed, &change, weight);
        }
        run.smoothed_pressure = Some(pressure + (smoothed - pressure) * decay);
        let usual_own = run.smoothed_own_pressure.unwrap_or(own);
        run.smoothed_own_pressure = Some(own + (usual_own - own) * decay);
    }
    for share in change {
        let smoothed = worker.smoothed_load.entry(share.image).or_default();
        *smoothed += share.processors * (1.0 - decay);
    }
}

/// Returns the difference of a load from its moving average.
fn load_change(load: &[LoadShare], smoothed: &BTreeMap<SmolStr, f64>) -> Vec<LoadShare> {
    let mut change: BTreeMap<SmolStr, f64> = smoothed
        .iter()
        .map(|(image, processors)| (image.clone(), -processors))
        .collect();
    for share in load {
        *change.entry(share.image.clone()).or_default() += share.processors;
    }
    change.retain(|_, processors| processors.abs() > MIN_LOAD_CHANGE);
    let share = |(image, processors)| LoadShare { image, processors };
    change.into_iter().map(share).collect()
}

/// Returns the headroom of each image that the worker serves.
fn pressure_headrooms(
    worker: &WorkerEntry,
    load: &[LoadShare],
    model: &InterferenceModel,
    now: TimePoint,
) -> Vec<PressureHeadroom> {
    let mut headrooms: Vec<PressureHeadroom> = Vec::new();
    let mut images = ServedImages::default();
    for run in worker.runs.values() {
        let Some(reading) = tail_reading(run, now) else {
            continue;
        };
        let added = || model.added_pressure(&reading.image, load);
        let added_pressure = images.count(&reading.image, added).added_pressure;
        let own = (model.pressure(&reading.image, reading.tail) - added_pressure).max(0.0);
        let limit = model.pressure(&reading.image, reading.target) - PRESSURE_MARGIN;
        let headroom = PressureHeadroom {
            available: limit - own,
            predicted: limit - predicted_pressure(own, run.smoothed_own_pressure),
            image: reading.image,
        };
        match headrooms
            .iter_mut()
            .find(|known| known.image == headroom.image)
        {
            Some(known) => {
                known.available = known.available.min(headroom.available);
                known.predicted = known.predicted.min(headroom.predicted);
            }
            None => headrooms.push(headroom),
        }
    }
    headrooms
}

/// Returns the predicted pressure from a run's own load in a second, if the trend of the last
/// second continues.
fn predicted_pressure(own: f64, smoothed: Option<f64>) -> f64 {
    let smoothed = smoothed.unwrap_or(own);
    own.max(smoothed) + (own - smoothed).max(0.0)
}

/// Returns the active best-effort runs, in ascending order of the pressure that they add.
fn runs_by_pressure(
    worker: &WorkerEntry,
    headrooms: &[PressureHeadroom],
    model: &InterferenceModel,
) -> Vec<TaskKey> {
    let mut runs: Vec<(f64, TaskKey)> = worker
        .runs
        .iter()
        .filter_map(|(key, run)| {
            let image = best_effort_image(run)?;
            let pressure = |headroom: &PressureHeadroom| model.slope(&headroom.image, &image);
            let most = headrooms.iter().map(pressure).fold(0.0, f64::max);
            Some((most * run.whole_processors(), *key))
        })
        .collect();
    runs.sort_by(|(one, _), (other, _)| one.total_cmp(other));
    runs.into_iter().map(|(_, key)| key).collect()
}

/// Subtracts a run's pressure from the headroom, and returns the speed that the headroom allows the
/// run, in percent.
fn claim_headroom(
    run: &RunEntry,
    headrooms: &mut [PressureHeadroom],
    model: &InterferenceModel,
) -> u32 {
    let image = run.image.clone().unwrap_or_default();
    let pressure =
        |headroom: &PressureHeadroom| model.slope(&headroom.image, &image) * run.whole_processors();
    let pressures: Vec<f64> = headrooms.iter().map(pressure).collect();
    let fraction = |(headroom, pressure): (&PressureHeadroom, &f64)| {
        if *pressure <= NEGLIGIBLE_PRESSURE {
            1.0
        } else {
            (headroom.available / pressure).clamp(0.0, 1.0)
        }
    };
    let fractions = headrooms.iter().zip(&pressures).map(fraction);
    let fraction = fractions.fold(1.0, f64::min);
    for (headroom, pressure) in headrooms.iter_mut().zip(&pressures) {
        headroom.available -= fraction * pressure;
    }
    // Rounds down to multiples of ten percent, which are fine enough.
    let tens = (1..=10)
        .rev()
        .find(|tens| f64::from(*tens) <= fraction * 10.0);
    tens.unwrap_or(0) * 10
}

/// Returns whether a run has enough remaining work to be worth a move, and wasn't moved too often.
fn may_move(run: &RunEntry) -> bool {
    let remaining_percent = FULL_PERCENT.saturating_sub(run.percent);
    let remaining = run.estimate.saturating_mul(remaining_percent) / FULL_PERCENT;
    run.run <= MOVED_RUN_LIMIT && remaining >= MIN_MOVE_WORK
}

/// Returns whether a change of speed is worth a call to the worker.
fn is_worth_sending(current: u32, wanted: u32) -> bool {
    let is_full = wanted == FULL_PERCENT && current < FULL_PERCENT;
    wanted < current || is_full || wanted >= current + MIN_PACE_INCREASE
}

/// Returns whether an adopted run is due for the first order of this planner, which sets its unknown
/// speed. The runs beside it were adopted at the same time, so they are past their warm-up too.
fn is_first_order_due(run: &RunEntry, now: TimePoint) -> bool {
    let RunPhase::Running(since) = run.phase else {
        return false;
    };
    !run.is_pace_known && now.since(since) >= WARM_UP
}

/// Returns the image of a best-effort run that is running and isn't being stopped.
fn best_effort_image(run: &RunEntry) -> Option<SmolStr> {
    let is_running = matches!(run.phase, RunPhase::Running(_));
    let counts = run.is_best_effort && is_running && !run.is_stopping();
    counts.then(|| run.image.clone().unwrap_or_default())
}
