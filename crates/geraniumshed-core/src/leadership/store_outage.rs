//! What a leader that the store doesn't answer may conclude from the answers of the other members.
//!
//! A successor needs the store to be elected. If no member has reached it, none was elected, and the leader
//! may go on. A member that doesn't answer may be the successor.

use super::record::LeaderTerm;

/// What a member says when it is asked whether it reaches the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberAnswer {
    /// It reaches the store.
    ReachesStore,
    /// It doesn't, and knows this leader as the newest one, or an earlier one, or none.
    NoStore(Option<LeaderTerm>),
    /// No process listens at its address.
    Down,
    /// No answer came.
    Silent,
}

/// What the answers of all members show.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutageVerdict {
    /// A member reaches the store and can lead instead.
    Replaceable,
    /// No member reaches the store, so that none can have been elected.
    DownForAll,
    /// A member that reaches the store may have been elected.
    Unclear,
}

/// Judges a store that doesn't answer the leader of a term, by the answers of all other members.
pub fn judge_outage(
    term: LeaderTerm,
    answers: impl IntoIterator<Item = MemberAnswer>,
) -> OutageVerdict {
    let mut verdict = OutageVerdict::DownForAll;
    for answer in answers {
        match answer {
            MemberAnswer::ReachesStore => return OutageVerdict::Replaceable,
            MemberAnswer::NoStore(Some(known)) if known > term => verdict = OutageVerdict::Unclear,
            MemberAnswer::NoStore(_) | MemberAnswer::Down => {}
            MemberAnswer::Silent => verdict = OutageVerdict::Unclear,
        }
    }
    verdict
}
