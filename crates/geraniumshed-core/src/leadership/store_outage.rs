//! What a leader that the store doesn't answer may conclude from the answers of the other members.
//!
//! A successor knows of its own term before it recovers any state. If no member knows a later leader, none had
//! recovered the state when it was asked. A member that doesn't answer may be the successor, also one whose
//! address refuses connections: a way that is cut may refuse them as well.

use super::record::LeaderTerm;

/// What a member says when the leader asks it about the store and about leaders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberAnswer {
    /// It answers.
    Alive {
        /// The term of the newest leader that it knows.
        known: Option<LeaderTerm>,
        /// Whether the store answers it.
        reaches_store: bool,
    },
    /// No answer came.
    Silent,
}

/// What the answers of all other members show.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OutageVerdict {
    /// Whether a later leader has been elected.
    pub is_replaced: bool,
    /// Whether a member reaches the store and can lead instead.
    pub is_replaceable: bool,
    /// Whether no successor had taken over when the members were asked.
    pub is_unreplaced: bool,
}

/// Judges the position of the leader of a term by the answers of all other members.
pub fn judge_outage(
    term: LeaderTerm,
    answers: impl IntoIterator<Item = MemberAnswer>,
) -> OutageVerdict {
    let mut verdict = OutageVerdict {
        is_replaced: false,
        is_replaceable: false,
        is_unreplaced: true,
    };
    for answer in answers {
        match answer {
            MemberAnswer::Alive {
                known,
                reaches_store,
            } => {
                verdict.is_replaceable |= reaches_store;
                verdict.is_replaced |= known > Some(term);
            }
            MemberAnswer::Silent => verdict.is_unreplaced = false,
        }
    }
    verdict.is_unreplaced &= !verdict.is_replaced;
    verdict
}
