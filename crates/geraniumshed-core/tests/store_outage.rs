//! What a leader that the store doesn't answer may conclude from the answers of the other members.

use geraniumshed_core::leadership::MemberAnswer::Silent;
use geraniumshed_core::leadership::{LeaderTerm, MemberAnswer, judge_outage};
use rstest::rstest;

const OWN: LeaderTerm = LeaderTerm(4);

/// Returns the answer of a member that the store doesn't answer.
const fn without_store(known: Option<u64>) -> MemberAnswer {
    let known = match known {
        Some(term) => Some(LeaderTerm(term)),
        None => None,
    };
    MemberAnswer::Alive {
        known,
        reaches_store: false,
    }
}

const FOLLOWER: MemberAnswer = without_store(Some(4));
const STORE_READER: MemberAnswer = MemberAnswer::Alive {
    known: Some(OWN),
    reaches_store: true,
};

// Guards against a leader that goes on without the store, although a member may have been elected that it doesn't
// reach, or that has lost the store since: it would extend leases that its successor counts as shorter.
#[rstest]
#[case::no_other_member(&[], true)]
#[case::all_follow(&[FOLLOWER, without_store(Some(3)), without_store(None)], true)]
#[case::one_reaches_the_store(&[FOLLOWER, STORE_READER], true)]
#[case::one_is_silent(&[FOLLOWER, Silent, FOLLOWER], false)]
#[case::all_are_silent(&[Silent, Silent], false)]
#[case::one_knows_a_later_leader(&[without_store(Some(5)), FOLLOWER], false)]
fn leader_is_unreplaced_only_if_all_members_say_so(
    #[case] answers: &[MemberAnswer],
    #[case] expected: bool,
) {
    let verdict = judge_outage(OWN, answers.iter().copied());
    assert_eq!(verdict.is_unreplaced, expected);
}

#[rstest]
#[case::none(&[FOLLOWER, Silent], false)]
#[case::one(&[FOLLOWER, Silent, STORE_READER], true)]
fn leader_is_replaceable_by_a_member_that_reaches_the_store(
    #[case] answers: &[MemberAnswer],
    #[case] expected: bool,
) {
    let verdict = judge_outage(OWN, answers.iter().copied());
    assert_eq!(verdict.is_replaceable, expected);
}

// Guards against a leader that goes on once the member that told it of its successor has restarted.
#[rstest]
#[case::none(&[FOLLOWER, without_store(None), Silent], false)]
#[case::one(&[FOLLOWER, Silent, without_store(Some(5))], true)]
fn leader_is_replaced_if_a_member_knows_a_later_one(
    #[case] answers: &[MemberAnswer],
    #[case] expected: bool,
) {
    let verdict = judge_outage(OWN, answers.iter().copied());
    assert_eq!(verdict.is_replaced, expected);
}
