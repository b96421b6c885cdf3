//! The protection of tail latencies from best-effort runs beside them.

use std::collections::BTreeSet;
use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;
use smol_str::SmolStr;

use super::interference::InterferenceTable;
use crate::job::TaskKey;
use crate::worker::{PaceOrder, RunEntry, RunPhase, WorkerEntry};

/// The part of its target below which a tail is calm.
const CALM_TAIL: f64 = 0.75;
/// The multiple of its target above which the culprits stand still.
const SEVERE_TAIL: f64 = 1.6;
/// The speed of culprits beside a tail above its target, in percent.
const SLOW_PERCENT: u32 = 15;
/// The speed of known culprits beside a tail below its target, in percent.
const CAREFUL_PERCENT: u32 = 10;
/// The full speed, in percent.
const FULL_PERCENT: u32 = 100;
/// The time for which a tail is measured, so that what changed within it may not show yet.
const TAIL_WINDOW: Duration = Duration::from_millis(600);
/// The time above a target after which all best-effort runs beside it stand still.
const STANDSTILL_LIMIT: Duration = Duration::from_millis(1300);
/// The time after a change of speed until the tails show its effect.
const SETTLE_TIME: Duration = Duration::from_millis(900);
/// The time after its start in which a run's tail is its own.
const WARM_UP: Duration = Duration::from_millis(1500);
/// The progress up to which a culprit is moved elsewhere rather than slowed down, in percent.
const MOVE_PERCENT: u32 = 85;
/// The number of the last run of a task that is moved.
const MOVED_RUN_LIMIT: u32 = 3;

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
    /// The tail as a multiple of its target.
    ratio: f64,
}

/// Learns from the newest tails of a worker, and plans what has to change there.
pub(super) fn pace_worker(
    worker: &mut WorkerEntry,
    table: &mut InterferenceTable,
    now: TimePoint,
) -> PacePlan {
    let readings = tail_readings(worker, now);
    learn(worker, &readings, table, now);
    let is_above = readings.iter().any(|one| one.ratio > 1.0);
    worker.tails_above_since = worker.tails_above_since.or(Some(now)).filter(|_| is_above);
    let above_since = worker.tails_above_since.unwrap_or(now);
    let must_stand_still = is_above && now.since(above_since) >= STANDSTILL_LIMIT;
    let mut plan = PacePlan::default();
    for (key, run) in &mut worker.runs {
        let Some(image) = best_effort_image(run) else {
            continue;
        };
        let percent = if must_stand_still {
            0
        } else {
            wanted_percent(&image, run.pace_percent, &readings, table)
        };
        let is_culprit = readings
            .iter()
            .any(|one| one.ratio > 1.0 && table.is_harmful(&one.image, &image));
        if is_culprit && run.percent < MOVE_PERCENT && run.run <= MOVED_RUN_LIMIT {
            plan.moves.push(*key);
        }
        if percent != run.pace_percent {
            run.pace_percent = percent;
            run.paced_at = now;
            plan.orders.push(PaceOrder {
                task: *key,
                run: run.run,
                percent,
            });
        }
    }
    if !plan.orders.is_empty() || !plan.moves.is_empty() {
        worker.tails_settle_at = now + SETTLE_TIME;
    }
    plan
}

fn tail_readings(worker: &WorkerEntry, now: TimePoint) -> Vec<TailReading> {
    let reading = |run: &RunEntry| {
        let target = run.latency_target?.as_secs_f64();
        let RunPhase::Running(since) = run.phase else {
            return None;
        };
        if now.since(since) < WARM_UP || target <= 0.0 {
            return None;
        }
        Some(TailReading {
            image: run.image.clone().unwrap_or_default(),
            ratio: run.tail_latency.as_secs_f64() / target,
        })
    };
    worker.runs.values().filter_map(reading).collect()
}

fn learn(
    worker: &mut WorkerEntry,
    readings: &[TailReading],
    table: &mut InterferenceTable,
    now: TimePoint,
) {
    let steady = |run: &&RunEntry| {
        let since = match run.phase {
            RunPhase::Running(since) => since.max(run.paced_at),
            RunPhase::Storing | RunPhase::Ordered(_) | RunPhase::Unsettled(_) => return false,
        };
        now.since(since) >= TAIL_WINDOW
    };
    worker
        .ended_images
        .retain(|(_, ended_at)| now.since(*ended_at) < TAIL_WINDOW);
    let runs = worker.runs.values();
    let at_full_speed = |run: &&RunEntry| run.pace_percent == FULL_PERCENT;
    let fast = runs.clone().filter(steady).filter(at_full_speed);
    let fast = distinct(fast.filter_map(best_effort_image));
    let active = runs.filter(|run| run.pace_percent > SLOW_PERCENT);
    let ended = worker.ended_images.iter().map(|(image, _)| image.clone());
    let active = distinct(active.filter_map(best_effort_image).chain(ended));
    let is_settled = worker.tails_settle_at <= now;
    for reading in readings {
        if reading.ratio < CALM_TAIL {
            table.saw_calm(&reading.image, &fast);
        } else if reading.ratio > 1.0 && is_settled {
            table.saw_harm(&reading.image, &active, reading.ratio);
        }
    }
}

fn distinct(images: impl Iterator<Item = SmolStr>) -> Vec<SmolStr> {
    let images: BTreeSet<SmolStr> = images.collect();
    images.into_iter().collect()
}

/// Returns the image of a best-effort run that is at work and stays.
fn best_effort_image(run: &RunEntry) -> Option<SmolStr> {
    let is_running = matches!(run.phase, RunPhase::Running(_));
    let counts = run.is_best_effort && is_running && !run.is_stopping();
    counts.then(|| run.image.clone().unwrap_or_default())
}

/// Returns the speed that a best-effort run should have beside the given tails.
fn wanted_percent(
    image: &SmolStr,
    current: u32,
    readings: &[TailReading],
    table: &InterferenceTable,
) -> u32 {
    let wanted = readings.iter().map(|reading| {
        let is_harmful = table.is_harmful(&reading.image, image);
        let is_suspect = is_harmful || !table.is_harmless(&reading.image, image);
        match reading.ratio {
            ratio if ratio > SEVERE_TAIL && is_suspect => 0,
            ratio if ratio > 1.0 && is_suspect => SLOW_PERCENT,
            ratio if ratio > CALM_TAIL && is_suspect => current,
            _ if is_harmful => CAREFUL_PERCENT,
            _ => FULL_PERCENT,
        }
    });
    wanted.min().unwrap_or(FULL_PERCENT)
}
