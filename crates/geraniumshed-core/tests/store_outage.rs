//! What a leader that the store doesn't answer may conclude from the answers of the other members.

use geraniumshed_core::leadership::MemberAnswer::{Down, NoStore, ReachesStore, Silent};
use geraniumshed_core::leadership::OutageVerdict::{DownForAll, Replaceable, Unclear};
use geraniumshed_core::leadership::{LeaderTerm, MemberAnswer, OutageVerdict, judge_outage};
use rstest::rstest;

const OWN: LeaderTerm = LeaderTerm(4);

// Guards against a leader that takes the store for down, although a member may have been elected that it doesn't
// reach, or that has lost the store since: it would extend leases that its successor counts as shorter.
#[rstest]
#[case::no_other_member(&[], DownForAll)]
#[case::none_reaches_the_store(&[NoStore(Some(OWN)), NoStore(Some(LeaderTerm(3))), NoStore(None)], DownForAll)]
#[case::one_is_down(&[Down, NoStore(Some(OWN))], DownForAll)]
#[case::one_is_silent(&[NoStore(Some(OWN)), Silent, NoStore(Some(OWN))], Unclear)]
#[case::one_is_silent_and_one_down(&[Silent, Down], Unclear)]
#[case::all_are_silent(&[Silent, Silent], Unclear)]
#[case::one_knows_a_later_leader(&[NoStore(Some(LeaderTerm(5))), NoStore(Some(OWN))], Unclear)]
#[case::one_reaches_the_store(&[Silent, NoStore(Some(LeaderTerm(5))), ReachesStore], Replaceable)]
fn outage_is_judged_by_all_members(
    #[case] answers: &[MemberAnswer],
    #[case] expected: OutageVerdict,
) {
    assert_eq!(judge_outage(OWN, answers.iter().copied()), expected);
}
