//! Decides when a member claims to lead.

use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;

use super::record::{LeaderRecord, LeaderTerm, MemberIdentity};

/// The time between two heartbeats to the leader.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// The time without an answer after which the leader is suspected.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(900);
/// The delay per rank before a member acts on a lost leader, so that members claim one after the
/// other. Rank 0 goes first.
const RANK_DELAY: Duration = Duration::from_millis(150);
/// The delay before the next heartbeat to a leader that is silent but still in the store's group.
const RECHECK_DELAY: Duration = Duration::from_millis(400);
/// The time that a new leader has to learn that its claim is stored.
const CLAIM_ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// The delay before the next heartbeat to a leader that hasn't learned that its claim is stored.
const UNAWARE_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The delay before a retry when the store gave no answer.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// The result of a heartbeat to the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BeatVerdict {
    /// The process answers that it leads in the known term.
    Leading,
    /// The process answers that it doesn't lead, or nothing listens at its address.
    NotLeading,
    /// The process doesn't know its claim as stored yet.
    Unaware,
    /// No answer came.
    Silent,
}

/// The next action of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ElectionAction {
    /// Wait for this long.
    Wait(Duration),
    /// Send a heartbeat to the known leader.
    SendHeartbeat,
    /// Read the newest leader record from the store.
    ReadRecord,
    /// Ask the store whether the known leader is still a member of the group.
    CheckMembership,
    /// Claim to lead, on the condition that the store has no newer record than the known one.
    Claim,
}

/// How certain a member is that the leader is gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Suspicion {
    /// The leader answers, or its silence is within the timeout.
    None,
    /// The leader is silent, possibly because this member is cut off.
    Silent,
    /// The known leader no longer leads.
    Certain,
}

/// Decides when a member claims to lead.
///
/// A known leader that answers that it doesn't lead is replaced at once. A silent one is replaced
/// only after its membership in the store's group has expired, so that a member that is cut off
/// from its peers doesn't replace a healthy leader.
#[derive(Debug, Clone)]
pub struct LeaderElection {
    own: MemberIdentity,
    known: Option<LeaderRecord>,
    heard_at: TimePoint,
    suspicion: Suspicion,
    rank: u32,
    next: ElectionAction,
    next_at: TimePoint,
}

impl LeaderElection {
    /// Creates the election of a member that knows no leader.
    ///
    /// The member waits in proportion to its rank, so that rank 0 claims first.
    pub fn new(own: MemberIdentity, now: TimePoint, rank: u32) -> Self {
        Self {
            own,
            known: None,
            heard_at: now,
            suspicion: Suspicion::None,
            rank,
            next: ElectionAction::ReadRecord,
            next_at: now + RANK_DELAY * rank,
        }
    }

    /// Returns the newest leader record that the member knows.
    pub fn known(&self) -> Option<&LeaderRecord> {
        self.known.as_ref()
    }

    /// Returns the next action.
    pub fn next_action(&self, now: TimePoint) -> ElectionAction {
        if now < self.next_at {
            return ElectionAction::Wait(self.next_at.since(now));
        }
        self.next
    }

    /// Records the newest leader record in the store.
    pub fn record_read(&mut self, now: TimePoint, record: Option<LeaderRecord>) {
        let is_newer = |known: &LeaderRecord| record.as_ref().is_some_and(|r| r.term > known.term);
        let has_changed = self.known.as_ref().is_none_or(is_newer);
        if has_changed && record.is_some() {
            self.known = record;
            self.follow(now);
            return;
        }
        match self.suspicion {
            Suspicion::Silent => self.plan(ElectionAction::CheckMembership, now),
            Suspicion::Certain => self.plan(ElectionAction::Claim, now),
            Suspicion::None if self.known.is_none() => self.plan(ElectionAction::Claim, now),
            Suspicion::None => self.plan(ElectionAction::SendHeartbeat, now),
        }
    }

    /// Records that the store gave no answer.
    pub fn store_failed(&mut self, now: TimePoint) {
        self.plan(ElectionAction::ReadRecord, now + RETRY_DELAY);
    }

    /// Records the result of a heartbeat, and the rank of this member among the possible
    /// successors.
    pub fn heartbeat_answered(&mut self, now: TimePoint, verdict: BeatVerdict, rank: Option<u32>) {
        self.rank = rank.unwrap_or(self.rank);
        match verdict {
            BeatVerdict::Leading => {
                self.heard_at = now;
                self.suspicion = Suspicion::None;
                self.plan(ElectionAction::SendHeartbeat, now + HEARTBEAT_INTERVAL);
            }
            BeatVerdict::Unaware if now.since(self.heard_at) < CLAIM_ANSWER_TIMEOUT => {
                self.plan(ElectionAction::SendHeartbeat, now + UNAWARE_RETRY_DELAY);
            }
            BeatVerdict::NotLeading | BeatVerdict::Unaware => {
                self.suspicion = Suspicion::Certain;
                self.plan(ElectionAction::ReadRecord, now + RANK_DELAY * self.rank);
            }
            BeatVerdict::Silent if now.since(self.heard_at) >= HEARTBEAT_TIMEOUT => {
                self.suspicion = Suspicion::Silent;
                self.plan(ElectionAction::ReadRecord, now + RANK_DELAY * self.rank);
            }
            BeatVerdict::Silent => self.plan(ElectionAction::SendHeartbeat, now),
        }
    }

    /// Records whether the known leader is still a member of the store's group.
    pub fn membership_checked(&mut self, now: TimePoint, is_member: bool) {
        if is_member {
            self.plan(ElectionAction::SendHeartbeat, now + RECHECK_DELAY);
        } else {
            self.suspicion = Suspicion::Certain;
            self.plan(ElectionAction::Claim, now);
        }
    }

    /// Records that a claim was refused because another record was added first.
    pub fn claim_lost(&mut self, now: TimePoint) {
        self.plan(ElectionAction::ReadRecord, now);
    }

    /// Records that a claim was accepted.
    pub fn claim_won(&mut self, now: TimePoint, record: LeaderRecord) {
        self.known = Some(record);
        self.follow(now);
    }

    /// Records that the leader of a term asked this member to lead. Does nothing if another leader
    /// has been elected since.
    pub fn lead_requested(&mut self, now: TimePoint, term: LeaderTerm) {
        if self.known.as_ref().is_none_or(|known| known.term <= term) {
            self.leader_resigned(now, 0);
        }
    }

    /// Records that this member no longer leads.
    pub fn leader_resigned(&mut self, now: TimePoint, rank: u32) {
        self.suspicion = Suspicion::Certain;
        self.plan(ElectionAction::ReadRecord, now + RANK_DELAY * rank);
    }

    /// Returns whether the newest known record names this process as the leader.
    pub fn names_self(&self) -> bool {
        self.known
            .as_ref()
            .is_some_and(|record| record.member == self.own)
    }

    fn follow(&mut self, now: TimePoint) {
        self.heard_at = now;
        self.suspicion = Suspicion::None;
        self.plan(ElectionAction::SendHeartbeat, now);
    }

    fn plan(&mut self, next: ElectionAction, at: TimePoint) {
        self.next = next;
        self.next_at = at;
    }
}
