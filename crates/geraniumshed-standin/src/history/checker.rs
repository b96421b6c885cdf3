//! Checks the promises against the recorded history.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use geraniumshed_model::prelude::ResourceSize;
use smol_str::{SmolStr, format_smolstr};

use super::record::{CallerRecord, ExecutionEnd, PlacementEnd, PlacementRecord, RunHistory};
use super::report::{PromiseKind, PromiseReport, PromiseRow};
use crate::clock::micros;

/// The parameters of the check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CheckLimits {
    /// The time after which a leaving endpoint may receive no new requests.
    pub leaving: Duration,
    /// Whether the workload is complete, so that every checkpoint must have been resumed.
    pub settled: bool,
}

impl Default for CheckLimits {
    fn default() -> Self {
        Self {
            leaving: Duration::from_secs(3),
            settled: false,
        }
    }
}

/// Checks all promises that the history and the callers' observations cover.
pub fn check_promises(
    history: &RunHistory,
    callers: &[CallerRecord],
    limits: CheckLimits,
) -> PromiseReport {
    PromiseReport {
        rows: vec![
            check_capacity(history),
            check_single_run(history),
            check_resumes(history, limits),
            check_answers(callers),
            check_refusals(history, callers),
            check_at_most_once(history),
            check_leaving(history, limits),
            check_stops(history, callers),
        ],
    }
}

/// Checks that the attempts on each worker never exceed its size.
///
/// An attempt that ends frees its size before another one starts at the same time.
fn check_capacity(history: &RunHistory) -> PromiseRow {
    let mut row = PromiseRow::new(PromiseKind::Capacity);
    for vm in &history.vms {
        let size = ResourceSize::from(vm.size);
        let mut changes: Vec<(u64, bool, &PlacementRecord)> = Vec::new();
        for placement in history.placements.iter().filter(|p| p.vm == vm.vm) {
            row.counted += 1;
            changes.push((placement.begin, true, placement));
            if let Some(end) = placement.end {
                changes.push((end, false, placement));
            }
        }
        changes.sort_by_key(|(at, begins, _)| (*at, *begins));
        let mut reserved = ResourceSize::default();
        for (at, begins, placement) in changes {
            if !begins {
                reserved = reserved.minus(&placement.size.into());
                continue;
            }
            reserved = reserved.plus(&placement.size.into());
            if !reserved.fits(&size) {
                row.breaches.push(format_smolstr!(
                    "{} exceeded its size at {at} with {}",
                    vm.vm,
                    attempt_name(placement)
                ));
            }
        }
    }
    for overload in &history.overloads {
        row.breaches.push(format_smolstr!(
            "{} was told to start {}@{} beyond its size at {}",
            overload.vm,
            overload.task,
            overload.attempt,
            overload.at
        ));
    }
    row
}

/// Checks that the attempts of a batch task neither overlap nor start after completion.
fn check_single_run(history: &RunHistory) -> PromiseRow {
    let mut row = PromiseRow::new(PromiseKind::SingleRun);
    for attempts in batch_attempts(history).values() {
        row.counted += attempts.len() as u64;
        for pair in attempts.windows(2) {
            let [earlier, later] = pair else { continue };
            if earlier.outcome == Some(PlacementEnd::Completed) {
                row.breaches.push(format_smolstr!(
                    "{} ran after {} had completed",
                    attempt_name(later),
                    attempt_name(earlier)
                ));
            }
            if earlier.end.is_none_or(|end| end > later.begin) {
                row.breaches.push(format_smolstr!(
                    "{} on {} overlapped with {} on {}",
                    attempt_name(earlier),
                    earlier.vm,
                    attempt_name(later),
                    later.vm
                ));
            }
        }
    }
    row
}

/// Checks that each attempt of a batch task resumes from the last checkpoint, and that no
/// non-idempotent task runs again after a worker crash, since nobody can know what the killed
/// attempt had done.
fn check_resumes(history: &RunHistory, limits: CheckLimits) -> PromiseRow {
    let mut row = PromiseRow::new(PromiseKind::ResumeOnce);
    for attempts in batch_attempts(history).values() {
        let mut checkpoint: Option<&SmolStr> = None;
        let mut is_resume_due = false;
        for (index, placement) in attempts.iter().enumerate() {
            if placement.resumed_from.as_ref() != checkpoint {
                row.breaches.push(format_smolstr!(
                    "{} started from checkpoint {:?} instead of {:?}",
                    attempt_name(placement),
                    placement.resumed_from,
                    checkpoint
                ));
            }
            let was_killed = index > 0 && attempts[index - 1].outcome == Some(PlacementEnd::Killed);
            if was_killed && !placement.idempotent {
                row.breaches.push(format_smolstr!(
                    "{} ran again after its last attempt was killed, though it is not idempotent",
                    attempt_name(placement)
                ));
            }
            is_resume_due = false;
            if let Some(PlacementEnd::Stopped {
                checkpoint: Some(taken),
            }) = &placement.outcome
            {
                row.counted += 1;
                checkpoint = Some(taken);
                is_resume_due = true;
            }
        }
        if is_resume_due && limits.settled {
            row.breaches.push(format_smolstr!(
                "{} was stopped with a checkpoint and never resumed",
                attempts[0].task
            ));
        }
    }
    row
}

/// Checks that each caller received the complete response to its own request.
fn check_answers(callers: &[CallerRecord]) -> PromiseRow {
    let mut row = PromiseRow::new(PromiseKind::OwnAnswer);
    for caller in callers {
        match caller.own_answer {
            None => {}
            Some(true) => row.counted += 1,
            Some(false) => {
                row.counted += 1;
                row.breaches.push(format_smolstr!(
                    "request {} received an incomplete response or that of another request",
                    caller.request
                ));
            }
        }
    }
    row
}

/// Checks that no request ran whose caller was told `not-run`.
fn check_refusals(history: &RunHistory, callers: &[CallerRecord]) -> PromiseRow {
    let mut row = PromiseRow::new(PromiseKind::TrueRefusal);
    let runs: BTreeSet<&SmolStr> = history.executions.iter().map(|run| &run.request).collect();
    for caller in callers.iter().filter(|caller| caller.told == "not-run") {
        row.counted += 1;
        if runs.contains(&caller.request) {
            row.breaches.push(format_smolstr!(
                "request {} ran, but its caller was told that it did not",
                caller.request
            ));
        }
    }
    row
}

/// Checks that each non-idempotent request and each idempotency key ran at most once.
fn check_at_most_once(history: &RunHistory) -> PromiseRow {
    let mut row = PromiseRow::new(PromiseKind::AtMostOnce);
    for (request, count) in count_runs(history) {
        row.counted += 1;
        if count > 1 {
            row.breaches
                .push(format_smolstr!("request {request} ran {count} times"));
        }
    }
    let mut keys: BTreeMap<(&SmolStr, &SmolStr), u64> = BTreeMap::new();
    for execution in &history.executions {
        if let Some(key) = &execution.key {
            *keys.entry((&execution.service, key)).or_default() += 1;
        }
    }
    for ((service, key), count) in keys {
        if count > 1 {
            row.breaches.push(format_smolstr!(
                "key {key} of service {service} ran {count} times"
            ));
        }
    }
    row
}

/// Checks that leaving endpoints and VMs receive no requests after the limit.
fn check_leaving(history: &RunHistory, limits: CheckLimits) -> PromiseRow {
    let mut row = PromiseRow::new(PromiseKind::LeavingQuiet);
    let arrivals = history
        .executions
        .iter()
        .map(|run| (&run.endpoint, &run.vm, run.begin));
    let refusals = history
        .refusals
        .iter()
        .map(|refusal| (&refusal.endpoint, &refusal.vm, refusal.at));
    let arrivals: Vec<_> = arrivals.chain(refusals).collect();
    for leaving in &history.leavings {
        row.counted += 1;
        let bound = leaving.since + micros(limits.leaving);
        for (endpoint, vm, at) in &arrivals {
            let matches = **endpoint == leaving.name || **vm == leaving.name;
            if matches && *at > bound {
                row.breaches.push(format_smolstr!(
                    "{endpoint} on {vm} received a request {} ms after it began to leave",
                    (at - leaving.since) / 1000
                ));
            }
        }
    }
    row
}

/// Checks that no planned stop interrupted a request.
fn check_stops(history: &RunHistory, callers: &[CallerRecord]) -> PromiseRow {
    let mut row = PromiseRow::new(PromiseKind::GracefulStop);
    for execution in &history.executions {
        row.counted += 1;
        if execution.outcome == Some(ExecutionEnd::CutOff) {
            row.breaches.push(format_smolstr!(
                "request {} was interrupted by the stop of {}",
                execution.request,
                execution.endpoint
            ));
        }
    }
    for caller in callers.iter().filter(|caller| caller.cut_off) {
        row.breaches.push(format_smolstr!(
            "the connection of the caller of request {} was cut off",
            caller.request
        ));
    }
    row
}

/// Returns the number of executions of each non-idempotent request that has an id.
fn count_runs(history: &RunHistory) -> BTreeMap<SmolStr, u64> {
    let mut runs = BTreeMap::new();
    let named = history.executions.iter().filter(|e| !e.request.is_empty());
    for execution in named.filter(|execution| !execution.idempotent) {
        *runs.entry(execution.request.clone()).or_default() += 1;
    }
    runs
}

/// Returns the attempts of each batch task, ordered by start time.
fn batch_attempts(history: &RunHistory) -> BTreeMap<&SmolStr, Vec<&PlacementRecord>> {
    let mut tasks: BTreeMap<&SmolStr, Vec<&PlacementRecord>> = BTreeMap::new();
    for placement in history.placements.iter().filter(|p| p.batch) {
        tasks.entry(&placement.task).or_default().push(placement);
    }
    for attempts in tasks.values_mut() {
        attempts.sort_by_key(|placement| (placement.begin, placement.attempt));
    }
    tasks
}

fn attempt_name(placement: &PlacementRecord) -> SmolStr {
    format_smolstr!("{}@{}", placement.task, placement.attempt)
}
