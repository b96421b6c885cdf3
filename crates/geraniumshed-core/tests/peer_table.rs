//! Which peers get heartbeats, and when a peer is suspected to be dead.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use geraniumshed_core::member::{PeerTable, PeerTiming};
use geraniumshed_model::prelude::*;

fn address(number: usize) -> SocketAddr {
    format!("10.0.0.{number}:1").parse().unwrap()
}

fn report(number: usize, applied: u64) -> PeerReport {
    PeerReport {
        identity: PeerIdentity {
            daemon: format!("d-{number}").parse().unwrap(),
            incarnation: DaemonIncarnation(number as u64),
            region: "r".parse().unwrap(),
            zone: "z".parse().unwrap(),
            address: address(number),
        },
        applied: LogOffset(applied),
        serving: true,
        log_silent: false,
        leaving: false,
        leaving_endpoints: Vec::new(),
    }
}

fn millis(number: u64) -> TimePoint {
    TimePoint(number * 1_000)
}

/// Returns the table of daemon 0 after all of its peers have answered.
fn settled_table(count: usize) -> PeerTable {
    let mut table = PeerTable::new(address(0), PeerTiming::default());
    let listed: BTreeSet<_> = (0..count).map(address).collect();
    table.set_listed(&listed, millis(0));
    assert_eq!(table.is_settled(millis(0)), count == 1);
    for number in 1..count {
        table.heard(report(number, 10 + number as u64));
    }
    table
}

#[test]
fn the_number_of_heartbeats_does_not_grow_with_the_number_of_daemons() {
    let mut table = settled_table(24);
    let mut called = BTreeSet::new();
    for round in 0..24 {
        let due = table.due(millis(1_000 + round * 750));
        assert!(due.len() <= 2, "{due:?}");
        called.extend(due);
    }
    assert_eq!(called.len(), 23);
}

#[test]
fn a_needed_peer_is_suspected_within_4_s() {
    let mut table = settled_table(24);
    table.set_needed(["d-17".parse().unwrap()].into());
    let mut suspected_at = None;
    // The peer dies right after it has answered at 10 s.
    for round in 0..20 {
        let now = millis(10_000 + round * 750);
        for peer in table.due(now) {
            if peer == address(17) {
                table.missed(peer, now);
            }
        }
        if suspected_at.is_none()
            && table
                .live(now)
                .all(|peer| peer.identity.address != address(17))
        {
            suspected_at = Some(now);
        }
    }
    let suspected_at = suspected_at.unwrap();
    assert!(suspected_at <= millis(14_000), "{suspected_at:?}");
    table.heard(report(17, 0));
    assert_eq!(table.live(millis(30_000)).count(), 23);
}

#[test]
fn a_peer_with_an_unanswered_heartbeat_gets_more_until_it_is_suspected() {
    let mut table = settled_table(24);
    let mut now = millis(1_000);
    let mut misses = 0;
    while table.live(now).count() == 23 {
        for peer in table.due(now) {
            if peer == address(12) {
                misses += 1;
                table.missed(peer, now);
            }
        }
        now = TimePoint(now.0 + 750_000);
        assert!(now < millis(30_000));
    }
    assert!(
        misses >= 3,
        "suspected after {misses} unanswered heartbeats"
    );
}

#[test]
fn a_table_is_settled_once_each_peer_has_answered_or_is_suspected() {
    let mut table = PeerTable::new(address(0), PeerTiming::default());
    let listed: BTreeSet<_> = (0..3).map(address).collect();
    table.set_listed(&listed, millis(0));
    table.heard(report(1, 5));
    table.missed(address(2), millis(100));
    assert!(!table.is_settled(millis(1_000)));
    assert!(table.is_settled(millis(2_600)));
    assert_eq!(table.least_applied(millis(2_600)), Some(LogOffset(5)));
}

#[test]
fn an_unlisted_peer_is_kept_while_it_answers() {
    let mut table = settled_table(3);
    table.set_listed(&BTreeSet::new(), millis(0));
    assert_eq!(table.live(millis(0)).count(), 2);
    table.missed(address(1), millis(0));
    table.set_listed(&BTreeSet::new(), millis(9_000));
    assert_eq!(table.addresses().count(), 1);
}
