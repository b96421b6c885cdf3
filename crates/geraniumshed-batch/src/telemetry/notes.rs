//! The log lines of the planner's decisions.

use std::collections::BTreeMap;
use std::fmt::Display;

use geraniumshed_core::assignment::{JobSummary, LostRun, PlacementNote, PlannerNote};
use geraniumshed_model::prelude::whole_millis;

use super::metrics::{in_time, phase_name};

/// Writes the line of a decision.
pub(crate) fn write_note(note: &PlannerNote) {
    match note {
        PlannerNote::StepPlaced(placement) => write_placement(placement),
        PlannerNote::StepWaits(placement, refusals) => {
            let refusals = listed(refusals);
            log::info!(
                job:% = placement.job,
                occurrence = placement.occurrence,
                step = placement.step,
                waiting = placement.waiting,
                age_ms = whole_millis(placement.age),
                slack_ms = placement.slack_ms,
                refusals:% = refusals;
                "tasks wait, since no worker takes them"
            );
        }
        PlannerNote::RunLost(lost) => write_lost_run(lost),
        PlannerNote::JobEnded(summary) => write_summary(summary),
        PlannerNote::WorkerPaused(worker) => {
            log::info!(worker:% = worker; "worker gets no tasks for a while, since it failed some");
        }
        PlannerNote::WorkerLapsed(worker) => {
            log::info!(worker:% = worker; "worker is given up: its leases ran out or it was replaced");
        }
        PlannerNote::WorkerReborn(worker) => {
            log::info!(worker:% = worker; "worker has started anew and lost its runs");
        }
    }
}

fn write_placement(placement: &PlacementNote) {
    log::info!(
        job:% = placement.job,
        occurrence = placement.occurrence,
        step = placement.step,
        placed = placement.placed,
        waiting = placement.waiting,
        age_ms = whole_millis(placement.age),
        slack_ms = placement.slack_ms;
        "tasks got workers"
    );
}

fn write_lost_run(lost: &LostRun) {
    log::info!(
        job:% = lost.task.job,
        task:% = lost.task,
        run = lost.run,
        worker:% = lost.worker,
        reason = lost.reason;
        "run ended without success"
    );
}

fn write_summary(summary: &JobSummary) {
    log::info!(
        job:% = summary.job,
        queue:% = summary.queue,
        phase = phase_name(summary.phase),
        in_time = in_time(summary),
        age_ms = whole_millis(summary.age),
        allowed_ms = summary.allowed.map(whole_millis),
        first_placed_ms = summary.first_placed.map(whole_millis),
        lost_runs:% = listed(&summary.lost_runs);
        "job ended"
    );
}

/// Lists counts by name, as in `no-room:3 pressed:12`.
fn listed<K: Display>(counts: &BTreeMap<K, u32>) -> String {
    let words = counts.iter().map(|(name, count)| format!("{name}:{count}"));
    words.collect::<Vec<_>>().join(" ")
}
