//! The protection of tail latencies from best-effort runs beside them.

use std::time::Duration;

use geraniumshed_model::prelude::{ProcessorShare, TimePoint};

use crate::job::TaskKey;
use crate::worker::{PaceOrder, RunPhase, WorkerEntry};

/// The part of its target, in percent, above which a tail counts as endangered.
const DANGER_PERCENT: u128 = 92;
/// The part of its target, in percent, below which best-effort runs may speed up.
const CALM_PERCENT: u128 = 70;
/// The speed of best-effort runs beside a tail above its target, in percent.
const SLOW_PERCENT: u32 = 15;
/// The speed of best-effort runs beside an endangered tail, in percent.
const CAREFUL_PERCENT: u32 = 50;
/// The part by which the limit of best-effort processors shrinks when a tail suffers, in percent.
const LIMIT_CUT_PERCENT: u32 = 70;
/// The processors, in thousandths, by which the limit grows while tails are calm.
const LIMIT_GROWTH: u32 = 1_500;
/// The time without new best-effort runs after a tail was above its target.
const START_PAUSE: Duration = Duration::from_millis(1500);

/// How the tails of a worker stand against their targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum TailState {
    Calm,
    Near,
    Endangered,
    Above,
}

/// Adapts the limit of best-effort processors to the newest tails, and returns the changes of speed.
pub(super) fn pace_worker(worker: &mut WorkerEntry, now: TimePoint) -> Vec<PaceOrder> {
    let Some(state) = tail_state(worker) else {
        return Vec::new();
    };
    let load = worker.best_effort_load().0;
    let limit = worker
        .best_effort_limit
        .map_or(worker.listing.capacity.processors.0, |limit| limit.0);
    match state {
        TailState::Above | TailState::Endangered => {
            if state == TailState::Above {
                worker.best_effort_pause = now + START_PAUSE;
            }
            // Without best-effort runs the tail has another cause.
            if load > 0 {
                let cut = limit.min(load) / 100 * LIMIT_CUT_PERCENT;
                worker.best_effort_limit = Some(ProcessorShare(cut));
            }
        }
        TailState::Near => {}
        TailState::Calm => {
            if let Some(limit) = worker.best_effort_limit {
                let grown = limit.0 + LIMIT_GROWTH;
                let most = worker.listing.capacity.processors.0;
                worker.best_effort_limit = Some(ProcessorShare(grown.min(most)));
            }
        }
    }
    let pace = match state {
        TailState::Above => Some(SLOW_PERCENT),
        TailState::Endangered => Some(CAREFUL_PERCENT),
        TailState::Near => None,
        TailState::Calm => Some(100),
    };
    pace.map(|percent| pace_runs(worker, percent, state))
        .unwrap_or_default()
}

fn tail_state(worker: &WorkerEntry) -> Option<TailState> {
    let states = worker.runs.values().filter_map(|run| {
        let target = run.latency_target?.as_millis().max(1);
        let percent = run.tail_latency.as_millis() * 100 / target;
        Some(match percent {
            p if p > 100 => TailState::Above,
            p if p > DANGER_PERCENT => TailState::Endangered,
            p if p > CALM_PERCENT => TailState::Near,
            _ => TailState::Calm,
        })
    });
    states.max()
}

fn pace_runs(worker: &mut WorkerEntry, percent: u32, state: TailState) -> Vec<PaceOrder> {
    let mut orders = Vec::new();
    for (key, run) in &mut worker.runs {
        let is_running = matches!(run.phase, RunPhase::Running(_));
        if !run.is_best_effort || !is_running || run.is_stopping() {
            continue;
        }
        let wanted = match state {
            TailState::Calm => percent,
            TailState::Near | TailState::Endangered | TailState::Above => {
                percent.min(run.pace_percent)
            }
        };
        if wanted != run.pace_percent {
            run.pace_percent = wanted;
            orders.push(pace_order(*key, run.run, wanted));
        }
    }
    orders
}

fn pace_order(task: TaskKey, run: u32, percent: u32) -> PaceOrder {
    PaceOrder { task, run, percent }
}
