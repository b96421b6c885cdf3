//! When a member claims to lead.

use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;

use super::record::{LeaderRecord, MemberIdentity};

/// The time between two heartbeats to the leader.
const BEAT_PAUSE: Duration = Duration::from_millis(250);
/// The time without an answer after which the leader may be gone.
const SILENCE_LIMIT: Duration = Duration::from_millis(900);
/// The time by which members of lower rank let those of higher rank go first.
const RANK_PAUSE: Duration = Duration::from_millis(150);
/// The pause before the store is asked again about a leader that only this member can't reach.
const RECHECK_PAUSE: Duration = Duration::from_millis(400);
/// The pause after the store gave no answer.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// What a heartbeat to the leader showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BeatVerdict {
    /// The process leads in the known term.
    Leading,
    /// The process answers and doesn't lead, or nothing listens at its address.
    NotLeading,
    /// No answer came.
    Silent,
}

/// What a member does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ElectionMove {
    /// It waits.
    Wait(Duration),
    /// It sends a heartbeat to the known leader.
    Beat,
    /// It reads the newest record from the store.
    ReadRecord,
    /// It asks the store whether the known leader is still a member of the group.
    CheckMembership,
    /// It claims to lead, unless another record was added since the newest that it knows.
    Claim,
}

/// How sure a member is that the leader is gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Suspicion {
    /// The leader answers, or isn't known to be silent for long.
    None,
    /// The leader is silent, which may be this member's own trouble.
    Silent,
    /// The leader doesn't lead any more.
    Certain,
}

/// Decides when a member claims to lead.
///
/// A leader that answers and says that it doesn't lead is replaced at once. One that is silent is
/// replaced only after its membership in the store's group has run out, so that a member that is
/// cut off from its peers unseats nobody.
#[derive(Debug, Clone)]
pub struct LeaderElection {
    own: MemberIdentity,
    known: Option<LeaderRecord>,
    heard_at: TimePoint,
    suspicion: Suspicion,
    rank: u32,
    next: ElectionMove,
    next_at: TimePoint,
}

impl LeaderElection {
    /// Creates the election of a member that knows no leader.
    ///
    /// Members of lower rank let those of higher rank go first.
    pub fn new(own: MemberIdentity, now: TimePoint, rank: u32) -> Self {
        Self {
            own,
            known: None,
            heard_at: now,
            suspicion: Suspicion::None,
            rank,
            next: ElectionMove::ReadRecord,
            next_at: now + RANK_PAUSE * rank,
        }
    }

    /// Returns the newest record that the member knows.
    pub fn known(&self) -> Option<&LeaderRecord> {
        self.known.as_ref()
    }

    /// Returns what to do next.
    pub fn next_move(&self, now: TimePoint) -> ElectionMove {
        if now < self.next_at {
            return ElectionMove::Wait(self.next_at.since(now));
        }
        self.next
    }

    /// Takes note of the newest record in the store.
    pub fn record_read(&mut self, now: TimePoint, record: Option<LeaderRecord>) {
        let is_newer = |known: &LeaderRecord| record.as_ref().is_some_and(|r| r.term > known.term);
        let has_changed = self.known.as_ref().is_none_or(is_newer);
        if has_changed && record.is_some() {
            self.known = record;
            self.follow(now);
            return;
        }
        match self.suspicion {
            Suspicion::Silent => self.plan(ElectionMove::CheckMembership, now),
            Suspicion::Certain => self.plan(ElectionMove::Claim, now),
            Suspicion::None if self.known.is_none() => self.plan(ElectionMove::Claim, now),
            Suspicion::None => self.plan(ElectionMove::Beat, now),
        }
    }

    /// Takes note that the store gave no answer.
    pub fn store_failed(&mut self, now: TimePoint) {
        self.plan(ElectionMove::ReadRecord, now + RETRY_PAUSE);
    }

    /// Takes note of what a heartbeat showed, and of the member's rank among those who may follow.
    pub fn beat_answered(&mut self, now: TimePoint, verdict: BeatVerdict, rank: Option<u32>) {
        self.rank = rank.unwrap_or(self.rank);
        match verdict {
            BeatVerdict::Leading => {
                self.heard_at = now;
                self.suspicion = Suspicion::None;
                self.plan(ElectionMove::Beat, now + BEAT_PAUSE);
            }
            BeatVerdict::NotLeading => {
                self.suspicion = Suspicion::Certain;
                self.plan(ElectionMove::ReadRecord, now + RANK_PAUSE * self.rank);
            }
            BeatVerdict::Silent if now.since(self.heard_at) >= SILENCE_LIMIT => {
                self.suspicion = Suspicion::Silent;
                self.plan(ElectionMove::ReadRecord, now + RANK_PAUSE * self.rank);
            }
            BeatVerdict::Silent => self.plan(ElectionMove::Beat, now),
        }
    }

    /// Takes note of whether the store still counts the leader among the group's members.
    pub fn membership_checked(&mut self, now: TimePoint, is_member: bool) {
        if is_member {
            self.plan(ElectionMove::Beat, now + RECHECK_PAUSE);
        } else {
            self.suspicion = Suspicion::Certain;
            self.plan(ElectionMove::Claim, now);
        }
    }

    /// Takes note that a claim was refused, since another record was added first.
    pub fn claim_lost(&mut self, now: TimePoint) {
        self.plan(ElectionMove::ReadRecord, now);
    }

    /// Takes note that a claim was accepted.
    pub fn claim_won(&mut self, now: TimePoint, record: LeaderRecord) {
        self.known = Some(record);
        self.follow(now);
    }

    /// Takes note that this member doesn't lead any more, or that the leader asks for a successor.
    pub fn leader_resigned(&mut self, now: TimePoint, rank: u32) {
        self.suspicion = Suspicion::Certain;
        self.plan(ElectionMove::ReadRecord, now + RANK_PAUSE * rank);
    }

    /// Tells whether the newest record names this very process.
    pub fn names_self(&self) -> bool {
        self.known
            .as_ref()
            .is_some_and(|record| record.member == self.own)
    }

    fn follow(&mut self, now: TimePoint) {
        self.heard_at = now;
        self.suspicion = Suspicion::None;
        self.plan(ElectionMove::Beat, now);
    }

    fn plan(&mut self, next: ElectionMove, at: TimePoint) {
        self.next = next;
        self.next_at = at;
    }
}
