//! Tests of the sums that a worker keeps of its runs' processors.

use std::time::Duration;

use geraniumshed_core::worker::{RunEntry, RunPhase, RunProgress, WorkerLoad};
use geraniumshed_model::prelude::{ProcessorShare, ResourceSize, TimePoint};
use rstest::rstest;

/// The kinds of run that a load tells apart.
#[derive(Debug, Clone, Copy)]
enum RunKind {
    Served,
    BestEffort,
    Other,
}

fn run(kind: RunKind, image: &str, processors: u32) -> RunEntry {
    RunEntry {
        run: 1,
        phase: RunPhase::Running(TimePoint::default()),
        is_reported: false,
        is_in_known_process: false,
        unconfirmed_until: None,
        ordered_at: None,
        placed_at: TimePoint::default(),
        reserved: ResourceSize::default(),
        processors: ProcessorShare(processors),
        image: Some(image.into()),
        is_best_effort: matches!(kind, RunKind::BestEffort),
        latency_target: matches!(kind, RunKind::Served).then_some(Duration::from_millis(20)),
        tail_latency: Duration::ZERO,
        smoothed_pressure: None,
        smoothed_own_pressure: None,
        estimate: Duration::from_secs(1),
        is_long_running: false,
        pace_percent: 100,
        is_pace_known: true,
        previous_percent: 100,
        paced_at: TimePoint::default(),
        percent: 0,
        progressed_at: TimePoint::default(),
        earlier_idle_time: Duration::ZERO,
        stop_sent_at: None,
        progress: RunProgress::default(),
    }
}

fn assert_sums(load: &WorkerLoad) {
    let served: u64 = load.served.values().map(|one| one.processors).sum();
    let best_effort: u64 = load.best_effort.values().sum();
    assert_eq!(load.served_sum, served);
    assert_eq!(load.best_effort_sum, best_effort);
}

/// The sums equal those of the images, whatever is added and removed, in any order.
#[rstest]
#[case::one_image(&[(RunKind::Served, "a", 500), (RunKind::Served, "a", 700)])]
#[case::two_images(&[(RunKind::Served, "a", 500), (RunKind::Served, "b", 700)])]
#[case::best_effort(&[(RunKind::BestEffort, "a", 300), (RunKind::BestEffort, "b", 0)])]
#[case::all_kinds(&[
    (RunKind::Served, "a", 500),
    (RunKind::BestEffort, "a", 300),
    (RunKind::Other, "a", 900),
    (RunKind::BestEffort, "c", 1),
])]
fn sums_follow_the_runs(#[case] kinds: &[(RunKind, &str, u32)]) {
    let runs: Vec<RunEntry> = kinds.iter().map(|one| run(one.0, one.1, one.2)).collect();
    let mut load = WorkerLoad::default();
    for one in &runs {
        load.add(one);
        assert_sums(&load);
    }
    for one in runs.iter().rev() {
        load.remove(one);
        assert_sums(&load);
    }
    assert_eq!(load, WorkerLoad::default());
}
