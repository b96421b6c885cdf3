//! Bounds on a worker's clock whose readings are out of range.

use std::time::Duration;

use geraniumshed_core::job::{CrashEvidence, CrashHistory};
use geraniumshed_core::worker::{WorkerClock, WorkerTime};
use geraniumshed_model::prelude::TimePoint;
use proptest::prelude::*;
use rstest::rstest;

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(12),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Any reading of a worker's clock leaves the bounds in order: the lower bound is at least the
    /// reading, and a later point is reached no earlier.
    #[test]
    fn bounds_of_any_reading_hold(reading: u64, read_at: u64, point: u64, later in 0..=u64::MAX) {
        let clock = WorkerClock::new(WorkerTime(reading), TimePoint(read_at), TimePoint(read_at));
        prop_assert!(clock.earliest(TimePoint(later)) >= WorkerTime(reading));
        let passed = clock.passed_at(WorkerTime(point));
        prop_assert!(passed >= TimePoint(read_at));
        prop_assert!(clock.passed_at(WorkerTime(point.saturating_add(later))) >= passed);
        prop_assert!(WorkerTime(point).plus(Duration::from_millis(later)) >= WorkerTime(point));
    }
}

#[rstest]
#[case::largest(u64::MAX, u64::MAX)]
#[case::far_ahead(0, u64::MAX)]
#[case::product_overflows(0, u64::MAX / 1000 + 1)]
fn a_reading_out_of_range_ends_no_planner(#[case] reading: u64, #[case] point: u64) {
    let clock = WorkerClock::new(WorkerTime(reading), TimePoint(5), TimePoint(5));
    let later = TimePoint(1_000_000);
    let extended = clock.earliest(later).plus(Duration::from_secs(1));
    assert!(extended > WorkerTime(0));
    let expected = u128::from(point - reading) * 1000 / 980 * 1000;
    let passed = clock.passed_at(WorkerTime(point));
    assert!(u128::from(passed.0) >= expected.min(u128::from(u64::MAX)));
}

/// The counts come from a record in the store.
#[test]
fn crashes_beyond_the_largest_count_saturate() {
    let mut history = CrashHistory {
        total: u32::MAX,
        score: u32::MAX,
    };
    history.record(CrashEvidence::AtStart);
    assert_eq!(history.total, u32::MAX);
    assert!(history.is_at_limit(true));
}
