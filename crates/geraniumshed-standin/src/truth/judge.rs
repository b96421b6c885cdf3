//! The judgement of the promises on the record.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use geraniumshed_model::prelude::ResourceSize;
use smol_str::{SmolStr, format_smolstr};

use super::record::{CallerRecord, ExecutionEnd, PlacementEnd, PlacementRecord, TruthRecord};
use super::report::{PromiseKind, PromiseReport, PromiseRow};
use crate::clock::micros;

/// The bounds of the promises.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JudgeLimits {
    /// The time after which a leaving endpoint may receive no new work.
    pub leaving: Duration,
    /// Whether every checkpoint has to be resumed by the end of the record.
    pub settled: bool,
}

impl Default for JudgeLimits {
    fn default() -> Self {
        Self {
            leaving: Duration::from_secs(3),
            settled: false,
        }
    }
}

/// Judges the promises that show in the record and in what callers saw.
pub fn judge(record: &TruthRecord, callers: &[CallerRecord], limits: JudgeLimits) -> PromiseReport {
    PromiseReport {
        rows: vec![
            judge_capacity(record),
            judge_single_run(record),
            judge_resumes(record, limits),
            judge_answers(callers),
            judge_refusals(record, callers),
            judge_at_most_once(record),
            judge_leaving(record, limits),
            judge_stops(record, callers),
        ],
    }
}

/// Walks through each worker's begins and ends, with ends before begins of the same time.
fn judge_capacity(record: &TruthRecord) -> PromiseRow {
    let mut row = PromiseRow::new(PromiseKind::Capacity);
    for vm in &record.vms {
        let size = ResourceSize::from(vm.size);
        let mut steps: Vec<(u64, bool, &PlacementRecord)> = Vec::new();
        for placement in record.placements.iter().filter(|p| p.vm == vm.vm) {
            row.counted += 1;
            steps.push((placement.begin, true, placement));
            if let Some(end) = placement.end {
                steps.push((end, false, placement));
            }
        }
        steps.sort_by_key(|(at, begins, _)| (*at, *begins));
        let mut held = ResourceSize::default();
        for (at, begins, placement) in steps {
            if !begins {
                held = held.minus(&placement.size.into());
                continue;
            }
            held = held.plus(&placement.size.into());
            if !held.fits(&size) {
                row.breaches.push(format_smolstr!(
                    "{} held more than its size at {at} with {}",
                    vm.vm,
                    attempt_name(placement)
                ));
            }
        }
    }
    for overload in &record.overloads {
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

/// Looks for attempts of one batch task that overlap, and for attempts after completion.
fn judge_single_run(record: &TruthRecord) -> PromiseRow {
    let mut row = PromiseRow::new(PromiseKind::SingleRun);
    for attempts in batch_attempts(record).values() {
        row.counted += attempts.len() as u64;
        for pair in attempts.windows(2) {
            let [earlier, later] = pair else { continue };
            if earlier.outcome == Some(PlacementEnd::Completed) {
                row.breaches.push(format_smolstr!(
                    "{} ran though {} had completed",
                    attempt_name(later),
                    attempt_name(earlier)
                ));
            }
            if earlier.end.is_none_or(|end| end > later.begin) {
                row.breaches.push(format_smolstr!(
                    "{} on {} ran beside {} on {}",
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

/// Follows each batch task from attempt to attempt.
fn judge_resumes(record: &TruthRecord, limits: JudgeLimits) -> PromiseRow {
    let mut row = PromiseRow::new(PromiseKind::ResumeOnce);
    for attempts in batch_attempts(record).values() {
        let mut checkpoint: Option<&SmolStr> = None;
        let mut open = false;
        for (index, placement) in attempts.iter().enumerate() {
            if placement.resumed_from.as_ref() != checkpoint {
                row.breaches.push(format_smolstr!(
                    "{} began from {:?} and not from {:?}",
                    attempt_name(placement),
                    placement.resumed_from,
                    checkpoint
                ));
            }
            let lost = index > 0 && attempts[index - 1].outcome == Some(PlacementEnd::Killed);
            if lost && !placement.idempotent {
                row.breaches.push(format_smolstr!(
                    "{} ran again though nobody could know what its last attempt had done",
                    attempt_name(placement)
                ));
            }
            open = false;
            if let Some(PlacementEnd::Stopped {
                checkpoint: Some(taken),
            }) = &placement.outcome
            {
                row.counted += 1;
                checkpoint = Some(taken);
                open = true;
            }
        }
        if open && limits.settled {
            row.breaches.push(format_smolstr!(
                "{} was stopped and never resumed",
                attempts[0].task
            ));
        }
    }
    row
}

fn judge_answers(callers: &[CallerRecord]) -> PromiseRow {
    let mut row = PromiseRow::new(PromiseKind::OwnAnswer);
    for caller in callers {
        match caller.own_answer {
            None => {}
            Some(true) => row.counted += 1,
            Some(false) => {
                row.counted += 1;
                row.breaches.push(format_smolstr!(
                    "request {} got a part of an answer or that of another request",
                    caller.request
                ));
            }
        }
    }
    row
}

fn judge_refusals(record: &TruthRecord, callers: &[CallerRecord]) -> PromiseRow {
    let mut row = PromiseRow::new(PromiseKind::TrueRefusal);
    let runs: BTreeSet<&SmolStr> = record.executions.iter().map(|run| &run.request).collect();
    for caller in callers.iter().filter(|caller| caller.told == "not-run") {
        row.counted += 1;
        if runs.contains(&caller.request) {
            row.breaches.push(format_smolstr!(
                "request {} ran, and its caller was told that it did not",
                caller.request
            ));
        }
    }
    row
}

fn judge_at_most_once(record: &TruthRecord) -> PromiseRow {
    let mut row = PromiseRow::new(PromiseKind::AtMostOnce);
    for (request, count) in count_runs(record) {
        row.counted += 1;
        if count > 1 {
            row.breaches
                .push(format_smolstr!("request {request} ran {count} times"));
        }
    }
    let mut keys: BTreeMap<(&SmolStr, &SmolStr), u64> = BTreeMap::new();
    for execution in &record.executions {
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

fn judge_leaving(record: &TruthRecord, limits: JudgeLimits) -> PromiseRow {
    let mut row = PromiseRow::new(PromiseKind::LeavingQuiet);
    let arrivals = record
        .executions
        .iter()
        .map(|run| (&run.endpoint, &run.vm, run.begin));
    let refusals = record
        .refusals
        .iter()
        .map(|refusal| (&refusal.endpoint, &refusal.vm, refusal.at));
    let arrivals: Vec<_> = arrivals.chain(refusals).collect();
    for leaving in &record.leavings {
        row.counted += 1;
        let bound = leaving.since + micros(limits.leaving);
        for (endpoint, vm, at) in &arrivals {
            let concerned = **endpoint == leaving.name || **vm == leaving.name;
            if concerned && *at > bound {
                row.breaches.push(format_smolstr!(
                    "{endpoint} on {vm} received work {} ms after it began to leave",
                    (at - leaving.since) / 1000
                ));
            }
        }
    }
    row
}

fn judge_stops(record: &TruthRecord, callers: &[CallerRecord]) -> PromiseRow {
    let mut row = PromiseRow::new(PromiseKind::GracefulStop);
    for execution in &record.executions {
        row.counted += 1;
        if execution.outcome == Some(ExecutionEnd::CutOff) {
            row.breaches.push(format_smolstr!(
                "request {} was cut off at {}",
                execution.request,
                execution.endpoint
            ));
        }
    }
    for caller in callers.iter().filter(|caller| caller.cut_off) {
        row.breaches.push(format_smolstr!(
            "the caller of request {} was cut off",
            caller.request
        ));
    }
    row
}

/// Counts the runs of each non-idempotent request.
fn count_runs(record: &TruthRecord) -> BTreeMap<SmolStr, u64> {
    let mut runs = BTreeMap::new();
    let named = record.executions.iter().filter(|e| !e.request.is_empty());
    for execution in named.filter(|execution| !execution.idempotent) {
        *runs.entry(execution.request.clone()).or_default() += 1;
    }
    runs
}

/// Returns the attempts of each batch task in the order of their begins.
fn batch_attempts(record: &TruthRecord) -> BTreeMap<&SmolStr, Vec<&PlacementRecord>> {
    let mut tasks: BTreeMap<&SmolStr, Vec<&PlacementRecord>> = BTreeMap::new();
    for placement in record.placements.iter().filter(|p| p.batch) {
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
