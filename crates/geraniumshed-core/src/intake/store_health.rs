//! Judges whether the store serves a node, from the node's own calls and the leader's reports.
//!
//! An append may take seconds while the store is slow, since the store takes the appends of a topic one
//! at a time. Reads don't queue, so the verdict that the store is silent or refuses a node needs a read
//! without an answer, or a refused one.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;

/// The time without an answer after which a call makes the store suspect. An answer of a slow store takes
/// about 120 ms, and an append that takes longer only causes a read.
const SUSPICION_AGE: Duration = Duration::from_millis(150);
/// The shortest time without an answer after which a read counts as evidence that the store is silent. It
/// is more than twice the time of a read of a slow store.
const MIN_SILENCE: Duration = Duration::from_millis(300);
/// The longest such time. Clients wait for three seconds.
const MAX_SILENCE: Duration = Duration::from_secs(2);
/// The multiple of the time of the last answered read after which a read counts as such evidence.
const SILENCE_FACTOR: u32 = 3;
/// The number of calls without an answer that make the store silent. One answer may be lost on its way.
const SILENT_CALLS: usize = 2;
/// The number of refusals in a row that make the store refuse a node. A single one may be due to a full
/// queue.
const REFUSED_CALLS: u32 = 2;
/// The time since the last answer after which a node asks the store again before it sends jobs. A job that
/// is sent to a store that has fallen silent may be stored, so that its client can't try again. A read takes
/// some milliseconds, and nodes that send several jobs a second need none.
const CONFIRMATION_AGE: Duration = Duration::from_millis(200);
/// The interval between two probes. It bounds how long a verdict outlasts an outage.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// The time for which a report of the leader counts: two heartbeats, and the time to answer one.
const REPORT_TTL: Duration = Duration::from_millis(700);
/// The interval between two questions to peers whether the store answers them. All nodes ask the leader.
const PEER_PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// The time for which the answer of a peer counts: two intervals.
const PEER_ANSWER_TTL: Duration = Duration::from_secs(2);
/// The time for which a slow answer counts.
const SLOW_STATE_DURATION: Duration = Duration::from_millis(1500);
/// The time between two checks after which the process must have been suspended, so that answers may have
/// arrived that it hasn't seen.
const SUSPENSION_GAP: Duration = Duration::from_millis(250);

/// Whether the store serves a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StoreVerdict {
    /// It answers as usual.
    #[default]
    Serving,
    /// It takes long to answer appends.
    Slow,
    /// It refuses the node's calls.
    Refusing,
    /// It answers no call.
    Silent,
}

impl StoreVerdict {
    /// Returns whether jobs can't be stored by this node.
    pub fn is_outage(self) -> bool {
        matches!(self, Self::Refusing | Self::Silent)
    }
}

impl Display for StoreVerdict {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Serving => "serving",
            Self::Slow => "slow",
            Self::Refusing => "refusing",
            Self::Silent => "silent",
        })
    }
}

/// The kind of a call to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreCall {
    /// An append, which waits for earlier ones of the same topic.
    Append,
    /// A read that the store answers at once.
    Read,
}

/// How a call to the store ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreReply {
    /// The store answered.
    Served,
    /// The store refused the call, which had no effect.
    Refused,
    /// No answer came in time, or the connection failed.
    Lost,
}

/// Identifies a call in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallTicket(u64);

/// Where a new job is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobRoute {
    /// To the store, by this node.
    Store,
    /// To another node, which may reach the store.
    Peers,
    /// Nowhere: no node is known to reach the store.
    Nowhere,
}

/// What a verdict is based on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreEvidence {
    /// The calls without an answer.
    pub unanswered: usize,
    /// The refusals since the last call that was served.
    pub refusals: u32,
    /// The time since the last answer, or since the process was last suspended.
    pub last_answer: Duration,
    /// What the leader last reported: whether the store is slow to answer it.
    pub leader_slow: Option<bool>,
}

/// A change of the verdict.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VerdictChange {
    /// The verdict before.
    pub from: StoreVerdict,
    /// The verdict from now on.
    pub to: StoreVerdict,
    /// The time since the first sign of the last outage, if the verdict before or from now on is one.
    pub outage: Option<Duration>,
    /// What the new verdict is based on.
    pub evidence: StoreEvidence,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PendingCall {
    ticket: CallTicket,
    call: StoreCall,
    sent_at: TimePoint,
}

/// Calls that were lost since the last answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct LostCalls {
    count: usize,
    first_sent_at: Option<TimePoint>,
    first_read_sent_at: Option<TimePoint>,
}

/// Calls that were refused since the last one that was served.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct RefusedCalls {
    count: u32,
    reads: u32,
    first_at: Option<TimePoint>,
}

/// Judges whether the store serves a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreHealth {
    pending: Vec<PendingCall>,
    next_ticket: u64,
    lost: LostCalls,
    refused: RefusedCalls,
    /// The time from which missing answers count: that of the last answer or suspension.
    heard_at: TimePoint,
    /// The time that the last answered read took.
    read_time: Duration,
    /// The time of the last append that took long.
    slow_at: Option<TimePoint>,
    /// The last report of the leader, and when it came.
    leader_report: Option<(TimePoint, bool)>,
    /// When a peer last reported that the store answers it.
    peer_served_at: Option<TimePoint>,
    peers_probed_at: Option<TimePoint>,
    checked_at: TimePoint,
    probed_at: Option<TimePoint>,
    verdict: StoreVerdict,
    /// Whether any call was answered since the store was last judged silent.
    is_heard: bool,
    /// The time of the first sign of the outage.
    outage_began: Option<TimePoint>,
}

impl StoreHealth {
    /// Creates the state of a node that has made no call yet.
    pub fn new(now: TimePoint) -> Self {
        Self {
            pending: Vec::new(),
            next_ticket: 0,
            lost: LostCalls::default(),
            refused: RefusedCalls::default(),
            heard_at: now,
            read_time: Duration::ZERO,
            slow_at: None,
            leader_report: None,
            peer_served_at: None,
            peers_probed_at: None,
            checked_at: now,
            probed_at: None,
            verdict: StoreVerdict::default(),
            is_heard: false,
            outage_began: None,
        }
    }

    /// Returns the verdict.
    pub fn verdict(&self) -> StoreVerdict {
        self.verdict
    }

    /// Records that a call was sent.
    pub fn call_sent(&mut self, now: TimePoint, call: StoreCall) -> CallTicket {
        let ticket = CallTicket(self.next_ticket);
        self.next_ticket += 1;
        let sent_at = now;
        self.pending.push(PendingCall {
            ticket,
            call,
            sent_at,
        });
        ticket
    }

    /// Records the end of a call. Returns the change of the verdict, if there is one.
    pub fn call_ended(
        &mut self,
        now: TimePoint,
        ticket: CallTicket,
        reply: StoreReply,
    ) -> Option<VerdictChange> {
        let position = self.pending.iter().position(|one| one.ticket == ticket)?;
        let ended = self.pending.swap_remove(position);
        let taken = now.since(ended.sent_at);
        match reply {
            StoreReply::Served => self.record_served(now, &ended),
            StoreReply::Refused if taken < SUSPICION_AGE => self.record_refused(now, ended.call),
            // No connection could be opened for some time, so no answer came either.
            StoreReply::Refused | StoreReply::Lost => self.record_lost(&ended),
        }
        self.judge(now)
    }

    /// Records that nobody waits for the answer to a call any more.
    pub fn call_dropped(&mut self, ticket: CallTicket) {
        self.pending.retain(|one| one.ticket != ticket);
    }

    /// Records whether the leader reports that the store is slow to answer it.
    pub fn leader_reported(&mut self, now: TimePoint, is_slow: bool) {
        self.leader_report = Some((now, is_slow));
    }

    /// Records that the store answers a peer.
    pub fn peer_served(&mut self, now: TimePoint) {
        self.peer_served_at = Some(now);
    }

    /// Returns whether peers should be asked now whether the store answers them, and records that they are.
    /// The leader's reports don't tell a slow store from a silent one.
    pub fn take_peer_probe(&mut self, now: TimePoint) -> bool {
        let is_rested = |at: TimePoint| now.since(at) >= PEER_PROBE_INTERVAL;
        let is_silent = self.verdict == StoreVerdict::Silent;
        let is_unknown = self.leader_slow(now) != Some(false);
        let is_due = is_silent && is_unknown && self.peers_probed_at.is_none_or(is_rested);
        if is_due {
            self.peers_probed_at = Some(now);
        }
        is_due
    }

    /// Judges what is known by now. Has to be called several times a second. Returns the change of the
    /// verdict, if there is one.
    pub fn check(&mut self, now: TimePoint) -> Option<VerdictChange> {
        if now.since(self.checked_at) > SUSPENSION_GAP {
            self.heard_at = now;
            self.lost = LostCalls::default();
        }
        self.checked_at = now;
        self.judge(now)
    }

    /// Returns whether a probe, which is a cheap read, should be sent now, and records that it is.
    pub fn take_probe(&mut self, now: TimePoint) -> bool {
        let is_rested = |at: TimePoint| now.since(at) >= PROBE_INTERVAL;
        let is_due = self.probed_at.is_none_or(is_rested) && self.needs_probe(now);
        if is_due {
            self.probed_at = Some(now);
        }
        is_due
    }

    /// Returns whether the store hasn't answered lately while no outage is known. Jobs that are held back
    /// until it answers or is judged are certainly not stored.
    pub fn is_doubtful(&self, now: TimePoint) -> bool {
        !self.verdict.is_outage() && now.since(self.heard_at) >= CONFIRMATION_AGE
    }

    /// Returns whether a probe should be sent now, since a job waits for the answer, and records that it is.
    /// A read that is under way already serves as one.
    pub fn take_confirmation(&mut self, now: TimePoint) -> bool {
        let is_due = self.is_doubtful(now) && self.newest_reads().next().is_none();
        if is_due {
            self.probed_at = Some(now);
        }
        is_due
    }

    /// Returns where a new job is sent.
    pub fn route(&self, now: TimePoint) -> JobRoute {
        match self.verdict {
            StoreVerdict::Serving | StoreVerdict::Slow => JobRoute::Store,
            StoreVerdict::Refusing => JobRoute::Peers,
            StoreVerdict::Silent if self.is_peer_served(now) => JobRoute::Peers,
            StoreVerdict::Silent => JobRoute::Nowhere,
        }
    }

    /// Returns the time since the first sign of the outage, if there is one.
    pub fn outage_age(&self, now: TimePoint) -> Option<Duration> {
        let began = self.outage_began.filter(|_| self.verdict.is_outage())?;
        Some(now.since(began))
    }

    fn record_served(&mut self, now: TimePoint, ended: &PendingCall) {
        let taken = now.since(ended.sent_at);
        self.record_heard(now);
        self.refused = RefusedCalls::default();
        match ended.call {
            StoreCall::Read => self.read_time = taken,
            StoreCall::Append => self.slow_at = (taken >= SUSPICION_AGE).then_some(now),
        }
    }

    fn record_refused(&mut self, now: TimePoint, call: StoreCall) {
        self.record_heard(now);
        self.refused.count += 1;
        self.refused.reads += u32::from(call == StoreCall::Read);
        self.refused.first_at.get_or_insert(now);
    }

    fn record_heard(&mut self, now: TimePoint) {
        self.heard_at = now;
        self.lost = LostCalls::default();
        self.is_heard = true;
    }

    fn record_lost(&mut self, ended: &PendingCall) {
        // A later answer shows that the store isn't silent.
        if ended.sent_at < self.heard_at {
            return;
        }
        self.lost.count += 1;
        self.lost.first_sent_at.get_or_insert(ended.sent_at);
        if ended.call == StoreCall::Read {
            self.lost.first_read_sent_at.get_or_insert(ended.sent_at);
        }
    }

    fn judge(&mut self, now: TimePoint) -> Option<VerdictChange> {
        let from = self.verdict;
        let to = self.judged(now);
        if from == to {
            return None;
        }
        self.verdict = to;
        if to == StoreVerdict::Silent {
            self.is_heard = false;
        }
        if to.is_outage() && !from.is_outage() {
            self.outage_began = Some(self.first_sign(now));
        }
        let began = self
            .outage_began
            .filter(|_| from.is_outage() || to.is_outage());
        Some(VerdictChange {
            from,
            to,
            outage: began.map(|began| now.since(began)),
            evidence: self.evidence(now),
        })
    }

    fn judged(&self, now: TimePoint) -> StoreVerdict {
        if self.is_silent(now) {
            StoreVerdict::Silent
        } else if self.refused.count >= REFUSED_CALLS && self.refused.reads > 0 {
            StoreVerdict::Refusing
        } else if self.is_slow(now) {
            StoreVerdict::Slow
        } else {
            StoreVerdict::Serving
        }
    }

    fn is_silent(&self, now: TimePoint) -> bool {
        if self.verdict == StoreVerdict::Silent && !self.is_heard {
            return true;
        }
        let limit = (self.read_time * SILENCE_FACTOR).clamp(MIN_SILENCE, MAX_SILENCE);
        let is_read_missing = self.read_age(now) >= limit;
        let is_confirmed =
            self.unanswered(now) >= SILENT_CALLS || self.leader_slow(now) == Some(true);
        is_read_missing && is_confirmed
    }

    fn is_slow(&self, now: TimePoint) -> bool {
        let is_recent = |at: TimePoint| now.since(at) < SLOW_STATE_DURATION;
        let is_overdue = |one: &PendingCall| now.since(one.sent_at) >= SUSPICION_AGE;
        let mut appends = self.pending_of(StoreCall::Append);
        self.slow_at.is_some_and(is_recent)
            || appends.any(is_overdue)
            || self.leader_slow(now) == Some(true)
    }

    fn needs_probe(&self, now: TimePoint) -> bool {
        let is_overdue = |one: &PendingCall| {
            // Answers to later calls don't tell whether the store still answers.
            now.since(one.sent_at.max(self.heard_at)) >= SUSPICION_AGE
        };
        self.verdict.is_outage()
            || self.lost.count > 0
            || self.pending.iter().any(is_overdue)
            || self.refused.count > 0
            || self.leader_slow(now) == Some(true)
    }

    /// Returns the number of calls without an answer, of those sent since the last answer to any call.
    /// Earlier ones were overtaken, so that only their answers may be late or lost.
    fn unanswered(&self, now: TimePoint) -> usize {
        let is_overdue = |one: &&PendingCall| now.since(one.sent_at) >= SUSPICION_AGE;
        self.lost.count + self.newest_pending().filter(is_overdue).count()
    }

    /// Returns the longest time for which the answer to a read has been missing, of those sent since the
    /// last answer to any call.
    fn read_age(&self, now: TimePoint) -> Duration {
        let reads = self.newest_reads().map(|one| one.sent_at);
        let oldest = reads.chain(self.lost.first_read_sent_at).min();
        oldest.map_or(Duration::ZERO, |sent_at| now.since(sent_at))
    }

    fn newest_reads(&self) -> impl Iterator<Item = &PendingCall> {
        self.newest_pending()
            .filter(|one| one.call == StoreCall::Read)
    }

    /// Returns the calls in flight that were sent since the last answer to any call.
    fn newest_pending(&self) -> impl Iterator<Item = &PendingCall> {
        self.pending
            .iter()
            .filter(|one| one.sent_at >= self.heard_at)
    }

    fn first_sign(&self, now: TimePoint) -> TimePoint {
        let sent = self.newest_pending().map(|one| one.sent_at);
        let unanswered = sent.chain(self.lost.first_sent_at).min().unwrap_or(now);
        self.refused
            .first_at
            .map_or(unanswered, |at| at.min(unanswered))
    }

    fn pending_of(&self, call: StoreCall) -> impl Iterator<Item = &PendingCall> {
        self.pending.iter().filter(move |one| one.call == call)
    }

    /// Returns whether the store is known to answer the leader or another node.
    fn is_peer_served(&self, now: TimePoint) -> bool {
        let is_recent = |at: TimePoint| now.since(at) < PEER_ANSWER_TTL;
        self.leader_slow(now) == Some(false) || self.peer_served_at.is_some_and(is_recent)
    }

    fn leader_slow(&self, now: TimePoint) -> Option<bool> {
        let (at, is_slow) = self.leader_report?;
        (now.since(at) < REPORT_TTL).then_some(is_slow)
    }

    fn evidence(&self, now: TimePoint) -> StoreEvidence {
        StoreEvidence {
            unanswered: self.unanswered(now),
            refusals: self.refused.count,
            last_answer: now.since(self.heard_at),
            leader_slow: self.leader_slow(now),
        }
    }
}
