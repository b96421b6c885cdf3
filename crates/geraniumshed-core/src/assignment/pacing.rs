//! The protection of tail latencies from best-effort runs beside them.

use std::collections::BTreeMap;
use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;
use smol_str::SmolStr;

use super::interference::{InterferenceModel, LoadShare};
use crate::job::TaskKey;
use crate::worker::{PaceOrder, RunEntry, RunPhase, WorkerEntry};

/// The full speed, in percent.
pub(super) const FULL_PERCENT: u32 = 100;
/// The least gain of speed that is worth an order, in percent.
const LEAST_GAIN: u32 = 20;
/// The pressure that is kept free below a target, for what changes until the next reading.
const PRESSURE_MARGIN: f64 = 0.05;
/// The pressure of a run that is too small to matter.
pub(super) const SLIGHT_PRESSURE: f64 = 0.012;
/// The time over which a tail is measured.
const TAIL_WINDOW: Duration = Duration::from_millis(500);
/// The time by which usual loads and pressures lag behind.
const USUAL_SPAN: Duration = Duration::from_secs(1);
/// The processors below which a change of load doesn't count.
const LEAST_LOAD: f64 = 0.01;
/// The time after which an order to change speed takes effect.
const PACE_DELAY: Duration = Duration::from_millis(100);
/// The time above a target after which all best-effort runs beside it stand still.
const STANDSTILL_LIMIT: Duration = Duration::from_millis(1300);
/// The time after its start in which a run's tail is its own.
const WARM_UP: Duration = Duration::from_millis(1500);
/// The speed up to which a run had better go on elsewhere, in percent.
const MOVE_SPEED: u32 = 30;
/// The least work before a run for which it moves.
const MOVE_REST: Duration = Duration::from_secs(1);
/// The number of the last run of a task that is moved.
const MOVED_RUN_LIMIT: u32 = 2;

/// What has to change on a worker so that its tails stay below their targets.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct PacePlan {
    /// The changes of speed.
    pub(super) orders: Vec<PaceOrder>,
    /// The runs that had better go on elsewhere.
    pub(super) moves: Vec<TaskKey>,
}

/// A run with a latency target and its newest tail.
#[derive(Debug, Clone, PartialEq)]
struct TailReading {
    image: SmolStr,
    target: Duration,
    tail: Duration,
}

/// The pressure that best-effort runs may add to an image on a worker now.
#[derive(Debug, Clone, PartialEq)]
struct PressureRoom {
    image: SmolStr,
    /// What is left of it; below zero if the image's own load is too high already.
    left: f64,
    /// The same for the next seconds.
    coming: f64,
}

/// Learns from the newest tails of a worker, and plans what has to change there.
pub(super) fn pace_worker(
    worker: &mut WorkerEntry,
    model: &mut InterferenceModel,
    now: TimePoint,
) -> PacePlan {
    let load = recent_load(worker, now);
    learn(worker, &load, model, now);
    let readings = tail_readings(worker, now);
    let is_above = readings.iter().any(|one| one.tail > one.target);
    worker.tails_above_since = worker.tails_above_since.or(Some(now)).filter(|_| is_above);
    let above_since = worker.tails_above_since.unwrap_or(now);
    let must_stand_still = is_above && now.since(above_since) >= STANDSTILL_LIMIT;
    let mut rooms = pressure_rooms(worker, &load, model, now);
    let coming = rooms.iter().map(|room| (room.image.clone(), room.coming));
    worker.set_rooms(coming.collect());
    let mut plan = PacePlan::default();
    for key in by_pressure(worker, &rooms, model) {
        let Some(run) = worker.runs.get_mut(&key) else {
            continue;
        };
        let percent = if must_stand_still {
            0
        } else {
            take_room(run, &mut rooms, model)
        };
        if percent <= MOVE_SPEED && may_move(run) {
            plan.moves.push(key);
        }
        if is_worth_an_order(run.pace_percent, percent) {
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

fn tail_readings(worker: &WorkerEntry, now: TimePoint) -> Vec<TailReading> {
    let runs = worker.runs.values();
    runs.filter_map(|run| tail_reading(run, now)).collect()
}

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

/// Returns the processors that best-effort runs have used in the time that tails are measured over.
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
        let part = part_of_window(now.since(since));
        run.is_best_effort.then(|| share.scaled(part))
    });
    let ended = worker
        .ended_loads
        .iter()
        .map(|(share, ended_at)| share.scaled(1.0 - part_of_window(now.since(*ended_at))));
    running.chain(ended).collect()
}

/// Returns the processors that a run has used at its recent speed.
pub(super) fn recent_share(run: &RunEntry, now: TimePoint) -> LoadShare {
    let percent = run.mean_pace(now, PACE_DELAY, TAIL_WINDOW);
    LoadShare {
        image: run.image.clone().unwrap_or_default(),
        processors: run.whole_processors() * percent / f64::from(FULL_PERCENT),
    }
}

fn part_of_window(span: Duration) -> f64 {
    (span.as_secs_f64() / TAIL_WINDOW.as_secs_f64()).min(1.0)
}

/// Learns from tails; those that overlap with the ones before count less.
///
/// Only changes count: a run's own load swings slowly and differs between runs, while best-effort
/// runs come and go within seconds.
fn learn(
    worker: &mut WorkerEntry,
    load: &[LoadShare],
    model: &mut InterferenceModel,
    now: TimePoint,
) {
    let span = now.since(worker.tails_learned_at);
    worker.tails_learned_at = now;
    let weight = part_of_window(span);
    let fading = (-span.as_secs_f64() / USUAL_SPAN.as_secs_f64()).exp();
    let change = changed_load(load, &worker.usual_load);
    let mut counts: BTreeMap<SmolStr, u32> = BTreeMap::new();
    for reading in tail_readings(worker, now) {
        *counts.entry(reading.image).or_default() += 1;
    }
    for run in worker.runs.values_mut() {
        let Some(reading) = tail_reading(run, now) else {
            continue;
        };
        // Runs of one image swing together, so that they are no more evidence than one.
        let count = counts.get(&reading.image).copied().unwrap_or(1);
        let weight = weight / f64::from(count);
        let pressure = model.saw_tail(&reading.image, reading.tail);
        let own = pressure - model.added(&reading.image, load);
        model.saw_own_pressure(&reading.image, own, weight);
        let usual = run.usual_pressure.unwrap_or(pressure);
        if run.usual_pressure.is_some() {
            model.saw_change(&reading.image, pressure - usual, &change, weight);
        }
        run.usual_pressure = Some(pressure + (usual - pressure) * fading);
        let usual_own = run.usual_own_pressure.unwrap_or(own);
        run.usual_own_pressure = Some(own + (usual_own - own) * fading);
    }
    for share in change {
        let usual = worker.usual_load.entry(share.image).or_default();
        *usual += share.processors * (1.0 - fading);
    }
}

/// Returns how a load differs from the usual one.
fn changed_load(load: &[LoadShare], usual: &BTreeMap<SmolStr, f64>) -> Vec<LoadShare> {
    let mut change: BTreeMap<SmolStr, f64> = usual
        .iter()
        .map(|(image, processors)| (image.clone(), -processors))
        .collect();
    for share in load {
        *change.entry(share.image.clone()).or_default() += share.processors;
    }
    change.retain(|_, processors| processors.abs() > LEAST_LOAD);
    let share = |(image, processors)| LoadShare { image, processors };
    change.into_iter().map(share).collect()
}

/// Returns what best-effort runs may add to each image that the worker serves.
fn pressure_rooms(
    worker: &WorkerEntry,
    load: &[LoadShare],
    model: &InterferenceModel,
    now: TimePoint,
) -> Vec<PressureRoom> {
    let mut rooms: Vec<PressureRoom> = Vec::new();
    for run in worker.runs.values() {
        let Some(reading) = tail_reading(run, now) else {
            continue;
        };
        let added = model.added(&reading.image, load);
        let own = (model.pressure(&reading.image, reading.tail) - added).max(0.0);
        let limit = model.pressure(&reading.image, reading.target) - PRESSURE_MARGIN;
        let room = PressureRoom {
            left: limit - own,
            coming: limit - coming_pressure(own, run.usual_own_pressure),
            image: reading.image,
        };
        match rooms.iter_mut().find(|known| known.image == room.image) {
            Some(known) => {
                known.left = known.left.min(room.left);
                known.coming = known.coming.min(room.coming);
            }
            None => rooms.push(room),
        }
    }
    rooms
}

/// Returns the pressure that a run's own load makes in a second, if it goes on as in the last one.
fn coming_pressure(own: f64, usual: Option<f64>) -> f64 {
    let usual = usual.unwrap_or(own);
    own.max(usual) + (own - usual).max(0.0)
}

/// Returns the best-effort runs at work, those that press least first.
fn by_pressure(
    worker: &WorkerEntry,
    rooms: &[PressureRoom],
    model: &InterferenceModel,
) -> Vec<TaskKey> {
    let mut runs: Vec<(f64, TaskKey)> = worker
        .runs
        .iter()
        .filter_map(|(key, run)| {
            let image = best_effort_image(run)?;
            let pressure = |room: &PressureRoom| model.slope(&room.image, &image);
            let most = rooms.iter().map(pressure).fold(0.0, f64::max);
            Some((most * run.whole_processors(), *key))
        })
        .collect();
    runs.sort_by(|(one, _), (other, _)| one.total_cmp(other));
    runs.into_iter().map(|(_, key)| key).collect()
}

/// Takes a run's part of the room, and returns the speed that it leaves the run, in percent.
fn take_room(run: &RunEntry, rooms: &mut [PressureRoom], model: &InterferenceModel) -> u32 {
    let image = run.image.clone().unwrap_or_default();
    let pressure = |room: &PressureRoom| model.slope(&room.image, &image) * run.whole_processors();
    let part = |room: &PressureRoom| match pressure(room) {
        pressure if pressure <= SLIGHT_PRESSURE => 1.0,
        pressure => (room.left / pressure).clamp(0.0, 1.0),
    };
    let part = rooms.iter().map(part).fold(1.0, f64::min);
    for room in rooms.iter_mut() {
        room.left -= part * pressure(room);
    }
    // Tens of percent are fine enough.
    let tens = (1..=10).rev().find(|tens| f64::from(*tens) <= part * 10.0);
    tens.unwrap_or(0) * 10
}

/// Tells whether a run has so much before it that a move may be worth it.
fn may_move(run: &RunEntry) -> bool {
    let rest = run.estimate * FULL_PERCENT.saturating_sub(run.percent) / FULL_PERCENT;
    run.run <= MOVED_RUN_LIMIT && rest >= MOVE_REST
}

fn is_worth_an_order(current: u32, wanted: u32) -> bool {
    let is_full = wanted == FULL_PERCENT && current < FULL_PERCENT;
    wanted < current || is_full || wanted >= current + LEAST_GAIN
}

/// Returns the image of a best-effort run that is at work and stays.
fn best_effort_image(run: &RunEntry) -> Option<SmolStr> {
    let is_running = matches!(run.phase, RunPhase::Running(_));
    let counts = run.is_best_effort && is_running && !run.is_stopping();
    counts.then(|| run.image.clone().unwrap_or_default())
}
