//! The platform's list of VMs: gone VMs, and implausible lists that are ignored.

use std::time::Duration;

use geraniumshed_core::state::VmTable;
use geraniumshed_model::prelude::*;
use rstest::rstest;

fn entry(number: usize) -> VmEntry {
    VmEntry {
        vm: format!("vm-{number}").parse().unwrap(),
        role: VmRole::Worker,
        phase: VmPhase::Live,
        region: "r".parse().unwrap(),
        zone: "z".parse().unwrap(),
        rack: "k".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        size: ResourceSize::default(),
    }
}

fn second(number: u64) -> TimePoint {
    TimePoint(number * 1_000_000)
}

#[rstest]
#[case::most_stay(6, true, 6)]
#[case::half_stays(5, true, 5)]
#[case::most_are_missing(4, false, 10)]
#[case::empty(0, false, 10)]
fn a_list_without_most_vms_is_ignored_for_a_minute(
    #[case] kept: usize,
    #[case] is_accepted: bool,
    #[case] live: usize,
) {
    let mut table = VmTable::default();
    let age = Duration::from_secs(3);
    assert!(table.apply(second(10), age, true, (0..10).map(entry).collect()));
    let list = || (0..kept).map(entry).collect();
    assert_eq!(table.apply(second(20), age, true, list()), is_accepted);
    assert_eq!(table.live(VmRole::Worker).count(), live);
    let as_of = if is_accepted { second(17) } else { second(7) };
    assert_eq!(table.as_of(), Some(as_of));

    assert!(
        table.apply(second(81), age, true, list()),
        "the list is accepted after a minute"
    );
    assert_eq!(table.live(VmRole::Worker).count(), kept);
}

#[test]
fn a_plausible_list_restarts_the_time_for_which_lists_are_ignored() {
    let mut table = VmTable::default();
    let age = Duration::ZERO;
    let whole = || (0..10).map(entry).collect();
    assert!(table.apply(second(1), age, true, whole()));
    assert!(!table.apply(second(2), age, true, Vec::new()));
    assert!(table.apply(second(3), age, true, whole()));
    assert!(!table.apply(second(70), age, true, Vec::new()));
    assert_eq!(table.live(VmRole::Worker).count(), 10);
}
