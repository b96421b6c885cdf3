//! Logs the events of the planner.

use std::collections::BTreeMap;
use std::fmt::Display;

use geraniumshed_core::assignment::{
    AdoptedWorker, AnsweringWorker, DepartingWorker, EndedLocalityWait, JobSummary, LocalityWait,
    LostRun, LostWorker, MissingRuns, MovedRun, NewProcess, PlacementSummary, PlannerEvent,
    RestartSign, RestartedWorker, RunStart, SilentWorker, TaskTrial, UnexpectedRun, ZoneMove,
};
use geraniumshed_core::job::CrashEvidence;
use geraniumshed_core::worker::{EndKind, WorkerStanding};
use geraniumshed_model::prelude::whole_millis;
use log::Level;

use super::metrics::{in_time, phase_name};

/// Logs an event of the planner.
pub(crate) fn log_event(event: &PlannerEvent) {
    match event {
        PlannerEvent::StepPlaced(placement) => log_placement(placement),
        PlannerEvent::StepWaiting(placement, refusals) => {
            let refusals = format_counts(refusals);
            log::info!(
                job:% = placement.job,
                occurrence = placement.occurrence,
                step = placement.step,
                waiting = placement.waiting,
                class = placement.class.name(),
                age_ms = whole_millis(placement.age),
                slack_ms = placement.slack_ms,
                refusals:% = refusals;
                "tasks wait, since no worker takes them"
            );
        }
        PlannerEvent::LocalityWaitBegan(wait) => log_locality_wait(wait),
        PlannerEvent::LocalityWaitEnded(ended) => log_locality_end(ended),
        PlannerEvent::PressureBegan(group) => log::info!(
            service:% = group.service,
            priority = group.priority;
            "capacity is divided among queues and jobs, since tasks wait"
        ),
        PlannerEvent::PressureEnded(ended) => log::info!(
            service:% = ended.group.service,
            priority = ended.group.priority,
            lasted_ms = whole_millis(ended.lasted);
            "tasks no longer wait for capacity"
        ),
        // These are too many for a line each.
        PlannerEvent::RunStarted(_) | PlannerEvent::RenewalSent(_) => {}
        PlannerEvent::RunLost(lost) => log_lost_run(lost),
        PlannerEvent::RunUnexpected(unexpected) => log_unexpected_run(unexpected),
        PlannerEvent::JobEnded(summary) => log_job_end(summary),
        PlannerEvent::WorkerQuarantined(worker) => {
            log::info!(worker:% = worker; "worker gets no tasks for a while, since it failed some");
        }
        PlannerEvent::WorkerSlow(slow) => log::info!(
            worker:% = slow.worker,
            speed_percent = slow.speed_percent,
            runs = slow.runs;
            "worker is slow compared with others; gets tasks only if others have no room"
        ),
        PlannerEvent::WorkerUsual(usual) => log::info!(
            worker:% = usual.worker,
            slow_ms = whole_millis(usual.slow_for),
            runs = usual.runs;
            "worker isn't known to be slow any longer"
        ),
        PlannerEvent::RunMoved(moved) => log_moved_run(moved),
        PlannerEvent::WorkerSilent(silent) => log_silent_worker(silent),
        PlannerEvent::WorkerAnswering(answering) => log_answering_worker(answering),
        PlannerEvent::WorkerDeparting(departing) => log_departing_worker(departing),
        PlannerEvent::WorkerLost(lost) => log_lost_worker(lost),
        PlannerEvent::WorkerRestarted(process) => log_new_process(process),
        PlannerEvent::RestartSeen(restarted) => log_restart_sign(restarted),
        PlannerEvent::EndsUnlisted(unlisted) => log::info!(
            worker:% = unlisted.worker,
            listed = unlisted.listed,
            runs = unlisted.runs;
            "worker lists only some of the runs that have ended; giving up none that are missing"
        ),
        PlannerEvent::EndsSkipped(skipped) => log::warn!(
            worker:% = skipped.worker,
            process = skipped.process.map(|process| process.0),
            processed = skipped.processed,
            listed = skipped.listed;
            "worker has dropped ends of runs before this leader learned of them"
        ),
        PlannerEvent::RunsMissing(missing) => log_missing_runs(missing),
        PlannerEvent::WorkerAdopted(adopted) => log_adopted_worker(adopted),
        PlannerEvent::TrialBegun(trial) => log_trial(
            Level::Info,
            trial,
            "task is on trial, since workers crashed under it",
        ),
        PlannerEvent::TaskGivenUp(trial) => log_trial(
            Level::Warn,
            trial,
            "task is given up with its job, since it crashes workers",
        ),
        PlannerEvent::ZoneMoveBegun(moved) => log_zone_move(moved),
        PlannerEvent::ZoneUnknown(zone) => {
            log::warn!(zone:% = zone; "evacuated zone has no workers");
        }
    }
}

/// Logs what happens to a task under which workers have crashed.
fn log_trial(level: Level, trial: &TaskTrial, message: &str) {
    log::log!(
        level,
        job:% = trial.task.job,
        task:% = trial.task,
        worker:% = trial.worker,
        crashes = trial.crashes.total,
        score = trial.crashes.score;
        "{message}"
    );
}

fn log_zone_move(moved: &ZoneMove) {
    log::info!(
        job:% = moved.task.job,
        task:% = moved.task,
        worker:% = moved.worker,
        target:% = moved.target;
        "long-running task moves out of an evacuated zone"
    );
}

/// Logs that tasks of a step wait for places in a rack.
fn log_locality_wait(wait: &LocalityWait) {
    log::info!(
        job:% = wait.job,
        occurrence = wait.occurrence,
        step = wait.step,
        rack:? = wait.rack,
        expected_ms = whole_millis(wait.expected),
        saved_ms = whole_millis(wait.saved);
        "tasks wait for places in a rack"
    );
}

/// Logs that tasks of a step wait no longer for places in a rack.
fn log_locality_end(ended: &EndedLocalityWait) {
    log::info!(
        job:% = ended.job,
        occurrence = ended.occurrence,
        step = ended.step,
        rack:? = ended.rack,
        waited_ms = whole_millis(ended.waited),
        outcome = ended.outcome.name();
        "tasks wait no longer for places in a rack"
    );
}

fn log_placement(placement: &PlacementSummary) {
    log::info!(
        job:% = placement.job,
        occurrence = placement.occurrence,
        step = placement.step,
        placed = placement.placed,
        waiting = placement.waiting,
        ready_ms = whole_millis(placement.ready_for),
        age_ms = whole_millis(placement.age),
        slack_ms = placement.slack_ms;
        "tasks got workers"
    );
}

fn log_moved_run(moved: &MovedRun) {
    log::info!(
        job:% = moved.task.job,
        task:% = moved.task,
        run = moved.run,
        worker:% = moved.worker,
        target = moved.target.as_ref().map(|target| target.0.as_str()),
        cause = moved.cause.name(),
        percent = moved.percent,
        speed_percent = moved.speed_percent,
        here_ms = whole_millis(moved.here),
        elsewhere_ms = whole_millis(moved.elsewhere);
        "run is stopped to place its task on another worker"
    );
}

fn log_lost_run(lost: &LostRun) {
    log::info!(
        job:% = lost.task.job,
        task:% = lost.task,
        run = lost.run,
        worker:% = lost.worker,
        reason = lost.reason,
        start = lost.loss.map(|loss| start_name(loss.start)),
        run_age_ms = lost.loss.and_then(|loss| loss.age).map(whole_millis),
        silent_together = lost.loss.map(|loss| loss.silent_together),
        crash = lost.loss.map(|loss| loss.is_crash),
        evidence = lost.loss.map(|loss| evidence_name(loss.evidence)),
        trial = lost.loss.map(|loss| loss.was_trial);
        "run ended without success"
    );
}

fn log_unexpected_run(unexpected: &UnexpectedRun) {
    // A run that was given up may well end without success afterwards.
    let level = match unexpected.end {
        None | Some(EndKind::Done) => Level::Warn,
        Some(_) => Level::Info,
    };
    log::log!(
        level,
        job:% = unexpected.task.job,
        task:% = unexpected.task,
        run = unexpected.run,
        worker:% = unexpected.worker,
        end = unexpected.end.map(end_name),
        known_run = unexpected.known_run,
        placed_on = unexpected.placed_on.as_ref().map(|worker| worker.0.as_str()),
        is_done = unexpected.is_done;
        "worker lists a run that is not the newest one of its task"
    );
}

/// Returns the name of how a run ended, in logs.
fn end_name(kind: EndKind) -> &'static str {
    match kind {
        EndKind::Done => "done",
        EndKind::Failed => "failed",
        EndKind::Stopped => "stopped",
        EndKind::Lapsed => "lapsed",
        EndKind::Broken => "broken",
        EndKind::Alone => "alone",
    }
}

/// Returns the name of what is known of the start of a run, in logs.
fn start_name(start: RunStart) -> &'static str {
    match start {
        RunStart::NotSent => "not sent",
        RunStart::Unconfirmed => "unconfirmed",
        RunStart::Confirmed => "confirmed",
    }
}

/// Returns the name of what a crash says about a run, in logs.
fn evidence_name(evidence: CrashEvidence) -> &'static str {
    match evidence {
        CrashEvidence::None => "none",
        CrashEvidence::Shared => "shared",
        CrashEvidence::Possible => "possible",
        CrashEvidence::Likely => "likely",
        CrashEvidence::AtStart => "at start",
    }
}

fn log_silent_worker(silent: &SilentWorker) {
    log::info!(
        worker:% = silent.worker,
        runs = silent.runs,
        last_heard_ms = silent.last_heard.map(whole_millis),
        lease_remaining_ms = whole_millis(silent.lease_remaining),
        lease_inherited = silent.is_lease_inherited;
        "worker with runs is silent"
    );
}

fn log_answering_worker(answering: &AnsweringWorker) {
    log::info!(
        worker:% = answering.worker,
        runs = answering.runs,
        silent_ms = whole_millis(answering.silent);
        "silent worker answers again"
    );
}

fn log_restart_sign(restarted: &RestartedWorker) {
    log::info!(
        worker:% = restarted.worker,
        sign = sign_name(restarted.sign),
        runs = restarted.runs,
        lease_remaining_ms = whole_millis(restarted.lease_remaining);
        "worker has a later process; asking it for its runs"
    );
}

fn log_new_process(process: &NewProcess) {
    log::info!(
        worker:% = process.worker,
        process_before = process.before.map(|process| process.0),
        process = process.process.map(|process| process.0),
        clock_ms = process.clock.0,
        token:% = process.token,
        kept = process.kept,
        lease_remaining_ms = whole_millis(process.lease_remaining);
        "worker has restarted and lost its runs"
    );
}

/// Returns the name of how a restart was seen, in logs.
fn sign_name(sign: RestartSign) -> &'static str {
    match sign {
        RestartSign::Registration => "registration",
        RestartSign::StartAnswer => "start answer",
    }
}

fn log_departing_worker(departing: &DepartingWorker) {
    log::info!(
        worker:% = departing.worker,
        registration = standing_name(departing.standing),
        runs = departing.runs,
        lease_remaining_ms = whole_millis(departing.lease_remaining),
        lease_inherited = departing.is_lease_inherited;
        "worker with runs is leaving"
    );
}

fn log_lost_worker(lost: &LostWorker) {
    log::info!(
        worker:% = lost.worker,
        reason = lost.reason,
        registration = standing_name(lost.standing),
        runs = lost.runs,
        last_heard_ms = lost.last_heard.map(whole_millis),
        known_ms = whole_millis(lost.known),
        lease_inherited = lost.is_lease_inherited,
        address:% = lost.address,
        process = lost.process.map(|process| process.0),
        token:% = lost.token,
        last_extension_ms = lost.last_extension.map(whole_millis);
        "worker is given up"
    );
}

fn log_missing_runs(missing: &MissingRuns) {
    log::info!(
        worker:% = missing.worker,
        process = missing.process.map(|process| process.0),
        clock_ms = missing.clock.0,
        token:% = missing.token,
        asked_ms = whole_millis(missing.asked),
        listed = missing.listed,
        missing = missing.missing;
        "worker's answer lacks runs; giving them up"
    );
}

fn log_adopted_worker(adopted: &AdoptedWorker) {
    log::info!(
        worker:% = adopted.worker,
        process = adopted.process.map(|process| process.0),
        clock_ms = adopted.clock.0,
        token:% = adopted.token,
        lease_remaining_ms = whole_millis(adopted.lease_remaining),
        expected = adopted.expected,
        running = adopted.running,
        ended = adopted.ended;
        "worker has answered this leader for the first time"
    );
}

/// Returns the name of a standing in logs.
fn standing_name(standing: WorkerStanding) -> &'static str {
    match standing {
        WorkerStanding::Registered => "registered",
        WorkerStanding::Draining => "draining",
        WorkerStanding::Removed => "removed",
        WorkerStanding::Unregistered => "none",
    }
}

fn log_job_end(summary: &JobSummary) {
    log::info!(
        job:% = summary.job,
        queue:% = summary.queue,
        phase = phase_name(summary.phase),
        in_time = in_time(summary),
        age_ms = whole_millis(summary.age),
        allowed_ms = summary.allowed.map(whole_millis),
        first_placed_ms = summary.first_placed.map(whole_millis),
        lost_runs:% = format_counts(&summary.lost_runs);
        "job ended"
    );
}

/// Formats counts by name, such as `no-room:3 pressed:12`.
fn format_counts<K: Display>(counts: &BTreeMap<K, u32>) -> String {
    let words = counts.iter().map(|(name, count)| format!("{name}:{count}"));
    words.collect::<Vec<_>>().join(" ")
}
