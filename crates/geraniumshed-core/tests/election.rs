//! When a member claims to lead, and when it leaves the leader alone.

use std::time::Duration;

use geraniumshed_core::membership::{
    BeatVerdict, ElectionMove, LeaderElection, LeaderRecord, LeaderTerm, MemberIdentity,
};
use geraniumshed_model::prelude::TimePoint;
use rstest::rstest;

fn member(number: u64) -> MemberIdentity {
    MemberIdentity {
        name: format!("d-{number}").into(),
        incarnation: number,
        address: format!("10.0.0.{number}:7").parse().unwrap(),
    }
}

fn record(term: u64, number: u64) -> LeaderRecord {
    LeaderRecord {
        term: LeaderTerm(term),
        member: member(number),
    }
}

fn millis(number: u64) -> TimePoint {
    TimePoint(number * 1000)
}

/// Returns the election of member 2, which follows member 1 in term 1.
fn following() -> LeaderElection {
    let mut election = LeaderElection::new(member(2), millis(0), 0);
    election.record_read(millis(0), Some(record(1, 1)));
    election.beat_answered(millis(0), BeatVerdict::Leading, Some(0));
    election
}

/// Waits as long as the election asks for, and returns the next move with its time.
fn next(election: &LeaderElection, now: TimePoint) -> (ElectionMove, TimePoint) {
    match election.next_move(now) {
        ElectionMove::Wait(pause) => (election.next_move(now + pause), now + pause),
        step => (step, now),
    }
}

#[test]
fn a_member_of_a_new_cluster_claims() {
    let mut election = LeaderElection::new(member(2), millis(0), 0);
    assert_eq!(election.next_move(millis(0)), ElectionMove::ReadRecord);
    election.record_read(millis(5), None);
    assert_eq!(election.next_move(millis(5)), ElectionMove::Claim);
}

#[rstest]
#[case::first(0, 0)]
#[case::third(2, 300)]
fn a_leader_that_has_resigned_is_replaced_by_rank(#[case] rank: u32, #[case] wait_ms: u64) {
    let mut election = following();
    election.beat_answered(millis(250), BeatVerdict::NotLeading, Some(rank));
    let (step, at) = next(&election, millis(250));
    assert_eq!(
        (step, at),
        (ElectionMove::ReadRecord, millis(250 + wait_ms))
    );
    election.record_read(at, Some(record(1, 1)));
    assert_eq!(election.next_move(at), ElectionMove::Claim);
}

#[test]
fn a_claim_of_another_member_is_followed() {
    let mut election = following();
    election.beat_answered(millis(250), BeatVerdict::NotLeading, Some(1));
    election.record_read(millis(400), Some(record(2, 3)));
    assert_eq!(election.next_move(millis(400)), ElectionMove::Beat);
    assert_eq!(election.known(), Some(&record(2, 3)));
}

#[test]
fn a_silent_leader_that_the_store_still_counts_stays() {
    let mut election = following();
    election.beat_answered(millis(650), BeatVerdict::Silent, None);
    assert_eq!(election.next_move(millis(650)), ElectionMove::Beat);
    election.beat_answered(millis(1_050), BeatVerdict::Silent, None);
    assert_eq!(election.next_move(millis(1_050)), ElectionMove::ReadRecord);
    election.record_read(millis(1_060), Some(record(1, 1)));
    assert_eq!(
        election.next_move(millis(1_060)),
        ElectionMove::CheckMembership
    );
    election.membership_checked(millis(1_070), true);
    let (step, at) = next(&election, millis(1_070));
    assert_eq!(step, ElectionMove::Beat);
    election.beat_answered(at, BeatVerdict::Silent, None);
    election.record_read(at, Some(record(1, 1)));
    election.membership_checked(at, false);
    assert_eq!(election.next_move(at), ElectionMove::Claim);
}

#[test]
fn a_silent_leader_is_replaced_within_the_bound_of_a_takeover() {
    // 900 ms of silence, one read of the record, one of the group whose members lapse after 1 s.
    let mut election = following();
    let mut now = millis(0);
    let claimed_at = loop {
        now = now + Duration::from_millis(10);
        match election.next_move(now) {
            ElectionMove::Wait(_) => {}
            ElectionMove::Beat => {
                now = now + Duration::from_millis(400);
                election.beat_answered(now, BeatVerdict::Silent, None);
            }
            ElectionMove::ReadRecord => election.record_read(now, Some(record(1, 1))),
            ElectionMove::CheckMembership => {
                election.membership_checked(now, now < millis(1_000));
            }
            ElectionMove::Claim => break now,
        }
    };
    assert!(claimed_at <= millis(1_500), "{claimed_at:?}");
}

#[test]
fn a_store_that_is_silent_leads_to_another_read() {
    let mut election = following();
    election.beat_answered(millis(250), BeatVerdict::NotLeading, Some(0));
    election.store_failed(millis(300));
    let (step, at) = next(&election, millis(300));
    assert_eq!((step, at), (ElectionMove::ReadRecord, millis(500)));
}

#[test]
fn terms_give_rising_tokens() {
    assert!(LeaderTerm(2).first_token() > LeaderTerm(1).first_token());
    assert!(LeaderTerm(1).first_token().0 > 0);
}
