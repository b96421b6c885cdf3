//! The checker reports each broken promise and accepts every history without one.

use geraniumshed_standin::history::{
    CallerRecord, CheckLimits, ExecutionEnd, ExecutionRecord, LeavingRecord, OverloadRecord,
    PlacementEnd, PlacementRecord, PromiseKind, RefusalCause, RefusalRecord, RunHistory, VmRecord,
    check_promises,
};
use geraniumshed_wire::common::ResourceSizeWire;
use rstest::rstest;

/// The time after which leaving endpoints may receive no requests, by default.
const LEAVING_LIMIT_MICROS: u64 = 3_000_000;

fn processors(processors: u32) -> ResourceSizeWire {
    ResourceSizeWire {
        processors: processors * 1000,
        ..ResourceSizeWire::default()
    }
}

fn placement(
    task: &str,
    attempt: u32,
    begin: u64,
    end: u64,
    outcome: PlacementEnd,
) -> PlacementRecord {
    PlacementRecord {
        task: task.into(),
        attempt,
        vm: "w1".into(),
        boot: 1,
        batch: true,
        idempotent: false,
        size: processors(2),
        resumed_from: None,
        work_before: 0,
        work_after: 0,
        work_total: 0,
        begin,
        end: Some(end),
        outcome: Some(outcome),
    }
}

fn resumed(checkpoint: &str, placement: PlacementRecord) -> PlacementRecord {
    PlacementRecord {
        resumed_from: Some(checkpoint.into()),
        ..placement
    }
}

fn stopped(checkpoint: &str) -> PlacementEnd {
    PlacementEnd::Stopped {
        checkpoint: Some(checkpoint.into()),
    }
}

fn execution(request: &str, key: &str, begin: u64) -> ExecutionRecord {
    ExecutionRecord {
        request: request.into(),
        key: (!key.is_empty()).then(|| key.into()),
        idempotent: false,
        service: "booking".into(),
        endpoint: "booking/0/0@1".into(),
        vm: "w1".into(),
        path: "/book".into(),
        begin,
        end: Some(begin + 10),
        outcome: Some(ExecutionEnd::Answered),
    }
}

fn caller(request: &str, told: &str) -> CallerRecord {
    CallerRecord {
        request: request.into(),
        key: None,
        told: told.into(),
        own_answer: (told == "ran").then_some(true),
        cut_off: false,
    }
}

/// The input of the check.
struct CheckInput {
    history: RunHistory,
    callers: Vec<CallerRecord>,
}

/// Returns a history that breaks no promise and has a case for each.
fn valid_input() -> CheckInput {
    let history = RunHistory {
        vms: vec![VmRecord {
            vm: "w1".into(),
            size: processors(4),
        }],
        executions: vec![execution("r1", "k1", 100), execution("r2", "", 200)],
        refusals: Vec::new(),
        placements: vec![
            placement("regrade/1/0", 1, 0, 50, stopped("c1")),
            resumed(
                "c1",
                placement("regrade/1/0", 2, 60, 90, PlacementEnd::Completed),
            ),
            placement("regrade/1/1", 1, 0, 60, PlacementEnd::Completed),
            placement("regrade/1/2", 1, 60, 90, PlacementEnd::Completed),
        ],
        overloads: Vec::new(),
        leavings: vec![LeavingRecord {
            name: "w1".into(),
            since: 1000,
        }],
    };
    let callers = vec![caller("r1", "ran"), caller("r3", "not-run")];
    CheckInput { history, callers }
}

fn broken_promises(input: &CheckInput) -> Vec<PromiseKind> {
    let report = check_promises(&input.history, &input.callers, CheckLimits::default());
    let rows = report.rows.iter().filter(|row| !row.held());
    rows.map(|row| row.promise).collect()
}

#[test]
fn a_valid_history_passes_and_covers_each_promise() {
    let input = valid_input();
    let limits = CheckLimits {
        settled: true,
        ..CheckLimits::default()
    };
    let report = check_promises(&input.history, &input.callers, limits);
    assert!(report.held(), "{report}");
    assert!(report.counted(), "{report}");
}

#[test]
fn an_empty_history_passes_and_counts_nothing() {
    let report = check_promises(&RunHistory::default(), &[], CheckLimits::default());
    assert!(report.held() && !report.counted());
    assert!(report.to_string().contains("nothing counted"));
}

type Mutation = fn(&mut CheckInput);

#[rstest]
#[case::beyond_size(PromiseKind::Capacity, |s: &mut CheckInput| {
    s.history.placements.push(placement("x/1/0", 1, 80, 85, PlacementEnd::Completed));
})]
#[case::never_ended_beyond_size(PromiseKind::Capacity, |s: &mut CheckInput| {
    let mut unfinished = placement("x/1/0", 1, 95, 0, PlacementEnd::Completed);
    unfinished.end = None;
    s.history.placements.push(PlacementRecord { task: "y/1/0".into(), ..unfinished.clone() });
    s.history.placements.push(PlacementRecord { task: "z/1/0".into(), ..unfinished.clone() });
    s.history.placements.push(unfinished);
})]
#[case::start_refused_beyond_size(PromiseKind::Capacity, |s: &mut CheckInput| {
    let overload = OverloadRecord { vm: "w1".into(), task: "x/1/0".into(), attempt: 1, at: 5 };
    s.history.overloads.push(overload);
})]
#[case::overlap(PromiseKind::SingleRun, |s: &mut CheckInput| {
    s.history.placements[1].begin = 49;
    s.history.placements[1].vm = "w2".into();
})]
#[case::overlap_without_end(PromiseKind::SingleRun, |s: &mut CheckInput| {
    s.history.placements[0].end = None;
    s.history.placements[0].vm = "w2".into();
})]
#[case::after_completion(PromiseKind::SingleRun, |s: &mut CheckInput| {
    s.history.placements.push(placement("regrade/1/1", 2, 95, 99, PlacementEnd::Failed));
})]
#[case::without_the_checkpoint(PromiseKind::ResumeOnce, |s: &mut CheckInput| {
    s.history.placements[1].resumed_from = None;
})]
#[case::twice_from_one_checkpoint(PromiseKind::ResumeOnce, |s: &mut CheckInput| {
    s.history.placements[1].outcome = Some(stopped("c2"));
    let again = placement("regrade/1/0", 3, 95, 99, PlacementEnd::Completed);
    s.history.placements.push(resumed("c1", again));
})]
#[case::non_idempotent_rerun_after_a_kill(PromiseKind::ResumeOnce, |s: &mut CheckInput| {
    s.history.placements[1].outcome = Some(PlacementEnd::Killed);
    let again = placement("regrade/1/0", 3, 95, 99, PlacementEnd::Completed);
    s.history.placements.push(resumed("c1", again));
})]
#[case::answer_to_another_request(PromiseKind::OwnAnswer, |s: &mut CheckInput| {
    s.callers[0].own_answer = Some(false);
})]
#[case::false_refusal(PromiseKind::TrueRefusal, |s: &mut CheckInput| {
    s.callers.push(caller("r2", "not-run"));
})]
#[case::doubled_request(PromiseKind::AtMostOnce, |s: &mut CheckInput| {
    s.history.executions.push(execution("r1", "", 300));
})]
#[case::doubled_key(PromiseKind::AtMostOnce, |s: &mut CheckInput| {
    s.history.executions.push(execution("r9", "k1", 300));
})]
#[case::late_run(PromiseKind::LeavingQuiet, |s: &mut CheckInput| {
    s.history.executions.push(execution("r9", "", 1001 + LEAVING_LIMIT_MICROS));
})]
#[case::late_arrival(PromiseKind::LeavingQuiet, |s: &mut CheckInput| {
    s.history.refusals.push(RefusalRecord {
        request: "r9".into(),
        endpoint: "booking/0/0@1".into(),
        vm: "w1".into(),
        at: 1001 + LEAVING_LIMIT_MICROS,
        cause: RefusalCause::Leaving,
    });
})]
#[case::cut_at_endpoint(PromiseKind::GracefulStop, |s: &mut CheckInput| {
    s.history.executions[0].outcome = Some(ExecutionEnd::CutOff);
})]
#[case::cut_at_caller(PromiseKind::GracefulStop, |s: &mut CheckInput| s.callers[0].cut_off = true)]
fn only_the_broken_promise_is_reported(#[case] promise: PromiseKind, #[case] mutate: Mutation) {
    let mut input = valid_input();
    mutate(&mut input);
    assert_eq!(broken_promises(&input), [promise]);
}

#[test]
fn an_unresumed_checkpoint_is_a_breach_only_after_the_workload() {
    let mut input = valid_input();
    input.history.placements.remove(1);
    assert!(broken_promises(&input).is_empty());
    let limits = CheckLimits {
        settled: true,
        ..CheckLimits::default()
    };
    let report = check_promises(&input.history, &input.callers, limits);
    assert!(!report.row(PromiseKind::ResumeOnce).unwrap().held());
}

#[rstest]
#[case::idempotent_rerun_after_a_kill(|s: &mut CheckInput| {
    s.history.placements[2].outcome = Some(PlacementEnd::Killed);
    s.history.placements[2].idempotent = true;
    let again = placement("regrade/1/1", 2, 95, 99, PlacementEnd::Completed);
    s.history.placements.push(PlacementRecord { idempotent: true, ..again });
})]
#[case::idempotent_request_hedged(|s: &mut CheckInput| {
    let read = ExecutionRecord { idempotent: true, ..execution("r9", "", 100) };
    s.history.executions.push(read.clone());
    s.history.executions.push(read);
})]
#[case::just_in_time(|s: &mut CheckInput| {
    s.history.executions.push(execution("r9", "", 1000 + LEAVING_LIMIT_MICROS));
})]
#[case::hand_over_at_the_same_time(|s: &mut CheckInput| {
    s.history.placements[1].begin = 50;
    s.history.placements[2].end = Some(50);
})]
#[case::two_copies_of_a_replica(|s: &mut CheckInput| {
    let replica = PlacementRecord {
        batch: false,
        size: processors(0),
        ..placement("booking/0/0", 1, 0, 90, PlacementEnd::Killed)
    };
    s.history.placements.push(PlacementRecord { attempt: 2, begin: 10, ..replica.clone() });
    s.history.placements.push(replica);
})]
fn an_allowed_history_breaks_no_promise(#[case] mutate: Mutation) {
    let mut input = valid_input();
    mutate(&mut input);
    assert!(broken_promises(&input).is_empty());
}
