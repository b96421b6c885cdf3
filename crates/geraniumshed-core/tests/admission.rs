//! Tests of the admission of single jobs by a forecast.

use std::sync::Arc;
use std::time::Duration;

use geraniumshed_core::assignment::{QueueWait, WaitForecast};
use geraniumshed_core::intake::{AdmissionTable, AdmissionVerdict};
use geraniumshed_core::job::{JobRequest, QueuePolicy, RepeatPlan, StepRequest};
use geraniumshed_model::prelude::TimePoint;
use rstest::rstest;

const MADE_AT: TimePoint = TimePoint(10_000_000);

fn policy() -> QueuePolicy {
    QueuePolicy {
        service: "s".into(),
        priority: 0,
        attempt_limit: 3,
        stretch: 2.0,
        latency_objective: Duration::from_secs(1),
        advice: None,
    }
}

/// Returns a job with a chain of two steps of a second, which is in time up to 5 s and of use up to
/// 15 s.
fn job() -> JobRequest {
    let step = |after| StepRequest {
        task_count: 1,
        estimate: Duration::from_secs(1),
        after,
        ..StepRequest::default()
    };
    JobRequest {
        queue: "q".into(),
        payload: "p".into(),
        steps: vec![step(vec![]), step(vec![0])],
        repeat: None,
        submitted_unix_ms: 0,
    }
}

fn table(queue: &str, in_time_s: u64, late_s: u64) -> AdmissionTable {
    let wait = QueueWait {
        queue: queue.into(),
        in_time: Duration::from_secs(in_time_s),
        late: Duration::from_secs(late_s),
    };
    let forecast = WaitForecast { queues: vec![wait] };
    let mut table = AdmissionTable::default();
    table.replace(Arc::new(forecast), MADE_AT);
    table
}

fn is_rejected(table: &AdmissionTable, now: TimePoint, job: &JobRequest) -> bool {
    let verdict = table.judge(now, job, &policy(), 0.5);
    matches!(verdict, AdmissionVerdict::Reject(_))
}

#[rstest]
#[case::in_time("q", 2, 2, false)]
#[case::late("q", 10, 10, false)]
// The wait may be a third shorter than forecast.
#[case::of_no_use_within_the_margin("q", 20, 20, false)]
#[case::of_no_use("q", 22, 22, true)]
// The job starts before its slack of 3 s is used up, whatever waits behind late jobs.
#[case::in_time_before_late_jobs("q", 3, 100, false)]
#[case::in_time_within_the_margin("q", 4, 100, false)]
#[case::loses_its_rank("q", 5, 100, true)]
#[case::other_queue("other", 100, 100, false)]
fn job_is_rejected_only_if_it_would_be_of_no_use(
    #[case] queue: &str,
    #[case] in_time_s: u64,
    #[case] late_s: u64,
    #[case] expected: bool,
) {
    let table = table(queue, in_time_s, late_s);
    assert_eq!(is_rejected(&table, MADE_AT, &job()), expected);
}

#[rstest]
#[case::recent(1_000, true)]
#[case::old(1_001, false)]
fn old_forecast_rejects_nothing(#[case] age_ms: u64, #[case] expected: bool) {
    let now = MADE_AT + Duration::from_millis(age_ms);
    assert_eq!(is_rejected(&table("q", 100, 100), now, &job()), expected);
}

#[test]
fn without_a_forecast_nothing_is_rejected() {
    assert!(!is_rejected(&AdmissionTable::default(), MADE_AT, &job()));
}

#[test]
fn long_running_and_repeating_jobs_are_admitted() {
    let mut serving = job();
    serving.steps[1].is_long_running = true;
    let repeat = RepeatPlan {
        first_unix_ms: 0,
        interval: Duration::from_mins(1),
        count: 3,
    };
    let repeating = JobRequest {
        repeat: Some(repeat),
        ..job()
    };
    let table = table("q", 100, 100);
    assert!(!is_rejected(&table, MADE_AT, &serving));
    assert!(!is_rejected(&table, MADE_AT, &repeating));
}

/// Guards against clients that all return at once, or later than the forecast.
#[rstest]
#[case::short(22)]
#[case::long(1_000)]
fn returns_are_spread_and_not_later_than_the_forecast(#[case] wait_s: u64) {
    let table = table("q", wait_s, wait_s);
    let delay = |random| match table.judge(MADE_AT, &job(), &policy(), random) {
        AdmissionVerdict::Reject(overload) => overload.retry_after.as_secs(),
        AdmissionVerdict::Admit => panic!("admitted"),
    };
    let mut delays: Vec<u64> = (0..=100).map(|one| delay(f64::from(one) / 100.0)).collect();
    assert!(delays.iter().all(|one| (1..=wait_s).contains(one)));
    delays.sort_unstable();
    delays.dedup();
    assert!(delays.len() >= 8, "{delays:?}");
}

/// Guards against a single value of `Retry-After`, and one of zero, for jobs of milliseconds.
#[test]
fn wait_of_less_than_two_seconds_rejects_nothing() {
    let mut short = job();
    for step in &mut short.steps {
        step.estimate = Duration::from_millis(1);
    }
    let policy = QueuePolicy {
        latency_objective: Duration::from_millis(10),
        ..policy()
    };
    let verdict = |wait_s| table("q", wait_s, wait_s).judge(MADE_AT, &short, &policy, 0.9);
    assert_eq!(verdict(1), AdmissionVerdict::Admit);
    assert!(matches!(verdict(2), AdmissionVerdict::Reject(_)));
}
