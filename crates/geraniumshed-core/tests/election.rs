//! When a member claims to lead, and when it keeps following the leader.

use std::time::Duration;

use geraniumshed_core::leadership::{
    BeatVerdict, ElectionAction, LeaderElection, LeaderRecord, LeaderTerm, MemberIdentity,
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
fn following_election() -> LeaderElection {
    let mut election = LeaderElection::new(member(2), millis(0), 0);
    election.record_read(millis(0), Some(record(1, 1)));
    election.heartbeat_answered(millis(0), BeatVerdict::Leading, Some(0));
    election
}

/// Returns the next action that isn't a wait, with its time.
fn next_step(election: &LeaderElection, now: TimePoint) -> (ElectionAction, TimePoint) {
    match election.next_action(now) {
        ElectionAction::Wait(pause) => (election.next_action(now + pause), now + pause),
        step => (step, now),
    }
}

#[test]
fn a_member_of_a_new_cluster_claims_to_lead() {
    let mut election = LeaderElection::new(member(2), millis(0), 0);
    assert_eq!(election.next_action(millis(0)), ElectionAction::ReadRecord);
    election.record_read(millis(5), None);
    assert_eq!(election.next_action(millis(5)), ElectionAction::Claim);
}

#[rstest]
#[case::first(0, 0)]
#[case::third(2, 300)]
fn members_replace_a_resigned_leader_in_the_order_of_their_ranks(
    #[case] rank: u32,
    #[case] wait_ms: u64,
) {
    let mut election = following_election();
    election.heartbeat_answered(millis(250), BeatVerdict::NotLeading, Some(rank));
    let (step, at) = next_step(&election, millis(250));
    assert_eq!(
        (step, at),
        (ElectionAction::ReadRecord, millis(250 + wait_ms))
    );
    election.record_read(at, Some(record(1, 1)));
    assert_eq!(election.next_action(at), ElectionAction::Claim);
}

#[test]
fn a_member_follows_the_claim_of_another_member() {
    let mut election = following_election();
    election.heartbeat_answered(millis(250), BeatVerdict::NotLeading, Some(1));
    election.record_read(millis(400), Some(record(2, 3)));
    assert_eq!(
        election.next_action(millis(400)),
        ElectionAction::SendHeartbeat
    );
    assert_eq!(election.known(), Some(&record(2, 3)));
}

#[test]
fn a_silent_leader_is_kept_while_it_is_a_member_of_the_stores_group() {
    let mut election = following_election();
    election.heartbeat_answered(millis(650), BeatVerdict::Silent, None);
    assert_eq!(
        election.next_action(millis(650)),
        ElectionAction::SendHeartbeat
    );
    election.heartbeat_answered(millis(1_050), BeatVerdict::Silent, None);
    assert_eq!(
        election.next_action(millis(1_050)),
        ElectionAction::ReadRecord
    );
    election.record_read(millis(1_060), Some(record(1, 1)));
    assert_eq!(
        election.next_action(millis(1_060)),
        ElectionAction::CheckMembership
    );
    election.membership_checked(millis(1_070), true);
    let (step, at) = next_step(&election, millis(1_070));
    assert_eq!(step, ElectionAction::SendHeartbeat);
    election.heartbeat_answered(at, BeatVerdict::Silent, None);
    election.record_read(at, Some(record(1, 1)));
    election.membership_checked(at, false);
    assert_eq!(election.next_action(at), ElectionAction::Claim);
}

#[test]
fn a_silent_leader_is_replaced_within_1500_ms() {
    // The sequence is 900 ms of silence, a read of the record, and a read of the group, whose
    // members expire after 1 s.
    let mut election = following_election();
    let mut now = millis(0);
    let claimed_at = loop {
        now = now + Duration::from_millis(10);
        match election.next_action(now) {
            ElectionAction::Wait(_) => {}
            ElectionAction::SendHeartbeat => {
                now = now + Duration::from_millis(400);
                election.heartbeat_answered(now, BeatVerdict::Silent, None);
            }
            ElectionAction::ReadRecord => election.record_read(now, Some(record(1, 1))),
            ElectionAction::CheckMembership => {
                election.membership_checked(now, now < millis(1_000));
            }
            ElectionAction::Claim => break now,
        }
    };
    assert!(claimed_at <= millis(1_500), "{claimed_at:?}");
}

#[test]
fn a_read_without_an_answer_from_the_store_is_retried() {
    let mut election = following_election();
    election.heartbeat_answered(millis(250), BeatVerdict::NotLeading, Some(0));
    election.store_failed(millis(300));
    let (step, at) = next_step(&election, millis(300));
    assert_eq!((step, at), (ElectionAction::ReadRecord, millis(500)));
}

#[test]
fn later_terms_have_higher_fencing_tokens() {
    assert!(LeaderTerm(2).first_token() > LeaderTerm(1).first_token());
    assert!(LeaderTerm(1).first_token().0 > 0);
}

// Guards against members that depose a leader which has just been elected and hasn't got the store's
// answer to its claim yet.
#[rstest]
#[case::answer_arrives(100, BeatVerdict::Leading, ElectionAction::SendHeartbeat)]
#[case::answer_is_late(400, BeatVerdict::Unaware, ElectionAction::SendHeartbeat)]
#[case::answer_is_lost(600, BeatVerdict::Unaware, ElectionAction::ReadRecord)]
#[case::leader_resigns(100, BeatVerdict::NotLeading, ElectionAction::ReadRecord)]
fn a_new_leader_has_time_to_learn_that_it_leads(
    #[case] at_ms: u64,
    #[case] verdict: BeatVerdict,
    #[case] expected: ElectionAction,
) {
    let mut election = following_election();
    election.record_read(millis(1_000), Some(record(2, 3)));
    election.heartbeat_answered(millis(1_002), BeatVerdict::Unaware, Some(0));
    let (step, at) = next_step(&election, millis(1_002));
    assert_eq!(step, ElectionAction::SendHeartbeat);
    assert!(
        at > millis(1_002),
        "heartbeats have to leave time for the answer"
    );
    let now = millis(1_000 + at_ms);
    election.heartbeat_answered(now, verdict, Some(0));
    assert_eq!(next_step(&election, now).0, expected);
}

// Guards against a member that deposes the successor of the leader that asked it to lead.
#[rstest]
#[case::known_leader(1, ElectionAction::ReadRecord)]
#[case::earlier_leader(0, ElectionAction::SendHeartbeat)]
fn a_request_to_lead_replaces_only_the_leader_that_sent_it(
    #[case] term: u64,
    #[case] expected: ElectionAction,
) {
    let mut election = following_election();
    election.lead_requested(millis(10), LeaderTerm(term));
    assert_eq!(next_step(&election, millis(10)).0, expected);
}
