//! Decides where a node reads the configuration, and when.

use std::time::Duration;

use geraniumshed_model::prelude::{LogOffset, TimePoint};

use super::config::ConfigVersion;
use crate::leadership::MemberIdentity;

/// The time between the leader's checks of the topic.
const LEADER_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// The time between the checks of other nodes.
const FOLLOWER_CHECK_INTERVAL: Duration = Duration::from_millis(800);
/// The time that the leader has to pass on a published configuration before another node reads it
/// in the store.
const LEADER_HEAD_START: Duration = Duration::from_millis(900);
/// The additional time for each rank among the nodes, so that they don't all read at once.
const RANK_DELAY: Duration = Duration::from_millis(150);
/// The largest rank that adds to the time.
const MAX_DELAY_RANK: u32 = 5;
/// The time that a node has to answer before another one is asked as well.
const PEER_PATIENCE: Duration = Duration::from_millis(700);
/// The delay after a read that failed or returned an outdated configuration.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// The time until the first answer of the store has to begin.
const MIN_STORE_TIMEOUT: Duration = Duration::from_secs(1);
/// How often this time is doubled at most.
const MAX_TIMEOUT_DOUBLINGS: u32 = 3;
/// The longest wait without anything to do.
const IDLE_WAIT: Duration = Duration::from_secs(1);

/// What a node does next to have the newest configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FollowAction {
    /// Ask the store where the topic of configurations ends.
    CheckTopic,
    /// Read the whole configuration in the store, whose answer has to begin within this time.
    ReadStore(Duration),
    /// Ask another node for the changes since the version in force.
    ReadPeer(MemberIdentity),
    /// Wait until something happens, at most for this time.
    Wait(Duration),
}

/// What a node knows about the leader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FollowRole {
    /// The node leads.
    Leading,
    /// Another node leads, and this node has the given rank among its successors.
    Following {
        /// The leader.
        leader: MemberIdentity,
        /// The rank; 0 is the first.
        rank: u32,
    },
    /// No leader is known.
    Alone,
}

impl FollowRole {
    fn leader(&self) -> Option<&MemberIdentity> {
        match self {
            Self::Following { leader, .. } => Some(leader),
            Self::Leading | Self::Alone => None,
        }
    }

    /// Returns the time between checks. Followers also learn of a configuration by heartbeats.
    fn check_interval(&self) -> Duration {
        match self {
            Self::Leading | Self::Alone => LEADER_CHECK_INTERVAL,
            Self::Following { .. } => FOLLOWER_CHECK_INTERVAL,
        }
    }

    /// Returns the time by which reads of nodes in the store are spread.
    fn rank_delay(&self) -> Duration {
        match self {
            Self::Following { rank, .. } => RANK_DELAY * (*rank).min(MAX_DELAY_RANK),
            Self::Leading | Self::Alone => Duration::ZERO,
        }
    }
}

/// What a peer has answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerAnswer {
    /// The offset before which the topic holds nothing newer than what the peer has in force.
    pub covered: LogOffset,
    /// Whether the store answers the peer.
    pub can_read_store: bool,
}

/// A read, of which at most one is in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadState {
    /// No read is in progress; the next one may start at this time.
    Idle(TimePoint),
    /// A read is in progress.
    Running,
}

/// A question to another node that is in progress.
#[derive(Debug, Clone, PartialEq, Eq)]
struct PeerQuestion {
    member: MemberIdentity,
    asked_at: TimePoint,
}

/// A node that has announced a version.
#[derive(Debug, Clone, PartialEq, Eq)]
struct ConfigOffer {
    version: ConfigVersion,
    member: MemberIdentity,
}

/// Follows the configuration of the store, by itself or through other nodes.
///
/// A configuration can be large, and entry VMs may have narrow links and little processor time. So
/// the leader reads it in the store, and other nodes ask the leader for what has changed. They read
/// it in the store themselves only if that takes too long, and a read that is in progress is never
/// given up for another one.
#[derive(Debug, Clone)]
pub struct ConfigFollower {
    /// The version in force.
    version: ConfigVersion,
    /// The offset before which nothing newer than the version in force is stored.
    covered: LogOffset,
    /// The end of the topic, as far as it is known.
    published: LogOffset,
    /// The newest version that another node has announced.
    offer: Option<ConfigOffer>,
    /// Whether the configuration was read at least once.
    has_read: bool,
    /// When a configuration that isn't in force yet was noticed.
    noticed_at: Option<TimePoint>,
    /// Whether a peer has failed since then.
    has_peer_failed: bool,
    topic_check: ReadState,
    /// Whether the last check has failed.
    has_check_failed: bool,
    store_read: ReadState,
    /// The number of reads in the store that have failed in a row.
    store_failures: u32,
    /// The newest question to another node, while it is in progress.
    question: Option<PeerQuestion>,
    /// The earliest time of the next one.
    next_question_at: TimePoint,
}

impl ConfigFollower {
    /// Creates the follower of a node that has no configuration yet.
    pub fn new(now: TimePoint) -> Self {
        Self {
            version: ConfigVersion::default(),
            covered: LogOffset(0),
            published: LogOffset(0),
            offer: None,
            has_read: false,
            noticed_at: Some(now),
            has_peer_failed: false,
            topic_check: ReadState::Idle(now),
            has_check_failed: false,
            store_read: ReadState::Idle(now),
            store_failures: 0,
            question: None,
            next_question_at: now,
        }
    }

    /// Returns the offset before which nothing newer than the version in force is stored.
    pub fn covered(&self) -> LogOffset {
        self.covered
    }

    /// Returns the offset at which the next publication is expected.
    pub fn published(&self) -> LogOffset {
        self.published
    }

    /// Returns for how long a configuration that isn't in force has been noticed.
    pub fn waiting(&self, now: TimePoint) -> Option<Duration> {
        Some(now.since(self.noticed_at?))
    }

    /// Records the end of a check: the offset at which the topic ends, or `None` if the check failed.
    pub fn topic_checked(&mut self, now: TimePoint, end: Option<LogOffset>) {
        self.topic_check = ReadState::Idle(now);
        self.has_check_failed = end.is_none();
        self.topic_ended_at(now, end.unwrap_or_default());
    }

    /// Records that the topic ends at an offset, or later.
    pub fn topic_ended_at(&mut self, now: TimePoint, end: LogOffset) {
        self.published = self.published.max(end);
        self.update_notice(now);
    }

    /// Returns whether the store has failed to answer this node's last call.
    pub fn is_store_failing(&self) -> bool {
        self.has_check_failed || self.store_failures > 0
    }

    /// Records that another node has a version in force. Returns whether that is news.
    pub fn version_announced(
        &mut self,
        now: TimePoint,
        member: &MemberIdentity,
        version: ConfigVersion,
    ) -> bool {
        let known = self.offer.as_ref().map(|offer| offer.version);
        let is_news = version > self.version && Some(version) > known;
        if is_news {
            let member = member.clone();
            self.offer = Some(ConfigOffer { version, member });
            self.update_notice(now);
        }
        is_news
    }

    /// Returns what to do next. `role` is what the node knows about the leader.
    pub fn next_action(&mut self, now: TimePoint, role: &FollowRole) -> FollowAction {
        let mut wait = IDLE_WAIT;
        if let ReadState::Idle(checked_at) = self.topic_check {
            let due = checked_at + role.check_interval();
            if due <= now {
                self.topic_check = ReadState::Running;
                return FollowAction::CheckTopic;
            }
            wait = wait.min(due.since(now));
        }
        let Some(noticed_at) = self.noticed_at else {
            return FollowAction::Wait(wait);
        };
        let offered = self.offer.as_ref().map(|offer| &offer.member);
        let peer = offered.or(role.leader()).cloned();
        let has_peer = peer.is_some();
        if let Some(member) = peer
            && let Some(due) = self.question_due(&member)
        {
            if due <= now {
                self.question = Some(PeerQuestion {
                    member: member.clone(),
                    asked_at: now,
                });
                return FollowAction::ReadPeer(member);
            }
            wait = wait.min(due.since(now));
        }
        if let ReadState::Idle(retry_at) = self.store_read {
            let due = self
                .store_read_due(noticed_at, has_peer, role)
                .max(retry_at);
            if due <= now {
                self.store_read = ReadState::Running;
                return FollowAction::ReadStore(self.store_timeout());
            }
            wait = wait.min(due.since(now));
        }
        FollowAction::Wait(wait)
    }

    /// Returns when a node may be asked, or `None` while its answer is awaited. Another node that was
    /// asked before has some time to answer first.
    fn question_due(&self, member: &MemberIdentity) -> Option<TimePoint> {
        match &self.question {
            None => Some(self.next_question_at),
            Some(question) if question.member != *member => Some(question.asked_at + PEER_PATIENCE),
            Some(_) => None,
        }
    }

    /// Returns when the node reads in the store what was noticed at a time.
    fn store_read_due(
        &self,
        noticed_at: TimePoint,
        has_peer: bool,
        role: &FollowRole,
    ) -> TimePoint {
        if !has_peer {
            return noticed_at;
        }
        if self.has_peer_failed {
            return noticed_at + role.rank_delay();
        }
        noticed_at + LEADER_HEAD_START + role.rank_delay()
    }

    /// Records the end of a read in the store: the version that is in force now, and the end of the
    /// topic at the read, or `None` if the read failed.
    pub fn store_answered(
        &mut self,
        now: TimePoint,
        version: ConfigVersion,
        covered: Option<LogOffset>,
    ) {
        self.store_read = ReadState::Idle(now + RETRY_DELAY);
        self.store_failures = match covered {
            Some(_) => 0,
            None => self.store_failures + 1,
        };
        self.read_ended(now, version, covered);
    }

    /// Records the end of a read from a peer: the version that is in force now, and the answer, or
    /// `None` if the read failed.
    pub fn peer_answered(
        &mut self,
        now: TimePoint,
        member: &MemberIdentity,
        version: ConfigVersion,
        answer: Option<PeerAnswer>,
    ) {
        if self
            .question
            .take_if(|question| question.member == *member)
            .is_some()
        {
            self.next_question_at = now + RETRY_DELAY;
        }
        if answer.is_none() {
            self.offer.take_if(|offer| offer.member == *member);
        }
        if !answer.is_some_and(|answer| answer.can_read_store) {
            self.has_peer_failed = true;
        }
        self.read_ended(now, version, answer.map(|answer| answer.covered));
    }

    /// Returns the time until an answer of the store has to begin. It grows with each failure, since a
    /// slow store may never answer in a shorter time.
    fn store_timeout(&self) -> Duration {
        let doublings = self.store_failures.min(MAX_TIMEOUT_DOUBLINGS);
        MIN_STORE_TIMEOUT * 2_u32.pow(doublings)
    }

    fn read_ended(&mut self, now: TimePoint, version: ConfigVersion, covered: Option<LogOffset>) {
        self.has_read |= covered.is_some();
        self.version = self.version.max(version);
        self.covered = self.covered.max(covered.unwrap_or_default());
        self.published = self.published.max(self.covered);
        let in_force = self.version;
        self.offer.take_if(|offer| offer.version <= in_force);
        self.update_notice(now);
    }

    fn update_notice(&mut self, now: TimePoint) {
        let is_behind = !self.has_read || self.published > self.covered || self.offer.is_some();
        if !is_behind {
            self.noticed_at = None;
            self.has_peer_failed = false;
        } else if self.noticed_at.is_none() {
            self.noticed_at = Some(now);
        }
    }
}
