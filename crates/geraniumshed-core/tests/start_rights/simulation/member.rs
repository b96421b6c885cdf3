//! The nodes as members of the election.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use geraniumshed_core::leadership::{
    BeatVerdict, ElectionAction, LeaderElection, LeaderRecord, LeaderTerm,
    MemberAnswer as ProbeAnswer, MemberIdentity, OutageVerdict, judge_outage,
};
use geraniumshed_model::prelude::TimePoint;

use super::fault::Place;
use super::leading::Lead;
use super::store::{StoreAnswer, StoreRequestBody};
use super::{Event, Simulation};
use crate::leader::Leader;

/// The time that an exchange on sound paths takes.
const EXCHANGE_TIME: Duration = Duration::from_millis(2);
/// The timeout for the answer to a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(400);
/// The timeout for reading the leader's record, and for claims.
const RECORD_TIMEOUT: Duration = Duration::from_secs(1);
/// The timeout for an append during a takeover.
const TAKEOVER_APPEND_TIMEOUT: Duration = Duration::from_millis(800);
/// The timeout for reading the stored state.
const READ_TIMEOUT: Duration = Duration::from_secs(4);
/// The number of takeover attempts.
const TAKEOVER_ATTEMPTS: u32 = 5;
/// The rank of a former leader in the next election.
const FORMER_LEADER_RANK: u32 = 3;
/// The interval between renewals of a leader's membership.
const JOIN_INTERVAL: Duration = Duration::from_millis(300);
/// The time after which a membership ends that isn't renewed.
const MEMBER_LIFETIME: Duration = Duration::from_secs(1);
/// The time for which a node that sent a heartbeat counts as alive.
const MEMBER_TTL: Duration = Duration::from_millis(1200);
/// The time for which a node that sent a heartbeat is asked in an outage of the store.
const RECENT_MEMBER_TTL: Duration = Duration::from_mins(1);
/// The time after which a leader that stores progress has got heartbeats from all nodes that it reaches.
const MEETING_TIME: Duration = Duration::from_secs(10);
/// The timeout for the probe of a node.
const PROBE_TIMEOUT: Duration = Duration::from_millis(700);

/// What a leader learns about an outage of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProbeResult {
    pub term: LeaderTerm,
    pub asked_at: TimePoint,
    /// Whether the store answers the leader.
    pub is_store_reached: bool,
    /// What the other nodes answered.
    pub verdict: OutageVerdict,
    /// Whether the leader can know all other nodes.
    pub knows_all: bool,
}

/// The outcome of an action of a member.
#[derive(Debug, Clone)]
pub enum MemberAnswer {
    /// The verdict on the leader, the own rank, and the leader and the live nodes that it knows.
    Heartbeat(BeatVerdict, Option<u32>, BTreeSet<usize>),
    /// The newest claim, and the number of claims.
    Record(Option<LeaderRecord>, usize),
    IsMember(bool),
    /// The store didn't answer.
    NoStore,
}

/// How far a takeover has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Takeover {
    pub term: LeaderTerm,
    attempts: u32,
    /// When the newest fence was sent.
    sent_at: TimePoint,
    fenced_at: Option<TimePoint>,
}

/// A node.
#[derive(Debug)]
pub struct Node {
    number: usize,
    /// The number of the node's process.
    pub process: u64,
    pub is_up: bool,
    pub election: LeaderElection,
    /// The number of the operation whose answer the member waits for.
    pub operation: u64,
    claim_end: usize,
    pub takeover: Option<Takeover>,
    pub lead: Option<Lead>,
    lead_request: Option<(LeaderTerm, TimePoint)>,
    /// When each other node last sent a heartbeat to this one.
    heard: Vec<Option<TimePoint>>,
    /// The term of the leader that this node followed last.
    followed_term: Option<LeaderTerm>,
    /// The leaders that this node followed and the live nodes that they knew, with the times at which they
    /// were last named.
    named: BTreeMap<usize, TimePoint>,
}

impl Node {
    pub fn new(number: usize, now: TimePoint) -> Self {
        let rank = u32::try_from(number).unwrap_or_default();
        Self {
            number,
            process: 0,
            is_up: true,
            election: LeaderElection::new(identity(number, 0), now, rank),
            operation: 0,
            claim_end: 0,
            takeover: None,
            lead: None,
            lead_request: None,
            heard: vec![None; 16],
            followed_term: None,
            named: BTreeMap::new(),
        }
    }

    pub fn identity(&self, process: u64) -> MemberIdentity {
        identity(self.number, process)
    }

    /// Returns the nodes that have sent a heartbeat within a time.
    fn heard_within(&self, now: TimePoint, time: Duration) -> Vec<usize> {
        let heard = self.heard.iter().enumerate();
        let is_recent = |at: &Option<TimePoint>| at.is_some_and(|at| now.since(at) < time);
        let recent = heard.filter(|(_, at)| is_recent(at));
        recent.map(|(node, _)| node).collect()
    }
}

fn identity(node: usize, process: u64) -> MemberIdentity {
    MemberIdentity {
        name: format!("node-{node}").into(),
        incarnation: process,
        address: SocketAddr::from(([10, 0, 1, u8::try_from(node).unwrap_or_default()], 80)),
    }
}

impl Simulation {
    pub(super) fn boot(&mut self, node: usize) {
        let now = self.now;
        let process = self.nodes[node].process;
        self.nodes[node] = Node::new(node, now);
        self.nodes[node].process = process + 1;
        self.nodes[node].election = LeaderElection::new(identity(node, process + 1), now, 2);
        self.push(now, Event::Member(node, process + 1));
    }

    pub(super) fn kill(&mut self, node: usize) {
        let one = &mut self.nodes[node];
        one.is_up = false;
        one.lead = None;
        self.log(|| format!("node {node} is killed"));
    }

    /// Takes the next action of a node that doesn't lead.
    pub(super) fn act_as_member(&mut self, node: usize) {
        let now = self.now;
        let one = &mut self.nodes[node];
        if one.lead.is_some() || one.takeover.is_some() {
            return;
        }
        one.operation += 1;
        let (process, operation) = (one.process, one.operation);
        match one.election.next_action(now) {
            ElectionAction::Wait(delay) => self.push_in(delay, Event::Member(node, process)),
            ElectionAction::SendHeartbeat => self.send_heartbeat(node),
            ElectionAction::ReadRecord => {
                let is_reached = self.plan.reaches(Place::Node(node), Place::Store, now);
                let answer = if is_reached {
                    MemberAnswer::Record(self.claims.last().cloned(), self.claims.len())
                } else {
                    MemberAnswer::NoStore
                };
                let delay = if is_reached {
                    EXCHANGE_TIME
                } else {
                    RECORD_TIMEOUT
                };
                self.push_in(delay, Event::MemberAnswer(node, process, operation, answer));
            }
            ElectionAction::CheckMembership => {
                let is_reached = self.plan.reaches(Place::Node(node), Place::Store, now);
                let known = self.nodes[node].election.known().cloned();
                let members = self.members.iter().filter(|(_, end)| *end > now);
                let members: Vec<&MemberIdentity> = members.map(|(member, _)| member).collect();
                let is_member = known.is_some_and(|one| members.contains(&&one.member));
                let answer = if is_reached {
                    MemberAnswer::IsMember(is_member)
                } else {
                    MemberAnswer::NoStore
                };
                let delay = if is_reached {
                    EXCHANGE_TIME
                } else {
                    RECORD_TIMEOUT
                };
                self.push_in(delay, Event::MemberAnswer(node, process, operation, answer));
            }
            ElectionAction::Claim => {
                let end = self.nodes[node].claim_end;
                let body = StoreRequestBody::Claim(end);
                self.ask_store(node, operation, body, TAKEOVER_APPEND_TIMEOUT);
            }
        }
    }

    fn send_heartbeat(&mut self, node: usize) {
        let now = self.now;
        let one = &self.nodes[node];
        let (process, operation) = (one.process, one.operation);
        let Some(record) = one.election.known().cloned() else {
            return;
        };
        let leader = usize::from(match record.member.address.ip() {
            std::net::IpAddr::V4(ip) => ip.octets()[3],
            std::net::IpAddr::V6(_) => 0,
        });
        if leader == node {
            let answer = MemberAnswer::Heartbeat(BeatVerdict::NotLeading, None, BTreeSet::new());
            let event = Event::MemberAnswer(node, process, operation, answer);
            return self.push_in(EXCHANGE_TIME, event);
        }
        let (from, to) = (Place::Node(node), Place::Node(leader));
        let is_awake = self.plan.awake_at(leader, now) <= now + Duration::from_millis(200);
        let is_reached = self.plan.reaches(from, to, now);
        let (verdict, delay) = if !is_reached || (self.nodes[leader].is_up && !is_awake) {
            (BeatVerdict::Silent, HEARTBEAT_TIMEOUT)
        } else if !self.nodes[leader].is_up {
            (BeatVerdict::NotLeading, EXCHANGE_TIME)
        } else {
            (self.verdict_of(leader, node, &record), EXCHANGE_TIME)
        };
        let heard = self.nodes[leader].heard_within(now, MEMBER_TTL);
        let rank = heard.iter().position(|one| *one == node);
        let rank = rank.and_then(|rank| u32::try_from(rank).ok());
        let rank = rank.filter(|_| verdict == BeatVerdict::Leading);
        let answer =
            MemberAnswer::Heartbeat(verdict, rank, heard.into_iter().chain([leader]).collect());
        self.push_in(delay, Event::MemberAnswer(node, process, operation, answer));
    }

    /// Lets a node that is asked whether it leads note who has asked, and returns what it answers.
    fn verdict_of(&mut self, leader: usize, asking: usize, record: &LeaderRecord) -> BeatVerdict {
        let now = self.now;
        let one = &mut self.nodes[leader];
        one.heard[asking] = Some(now);
        let leads = one.lead.is_some() || one.takeover.is_some();
        let known = one.election.known().map(|known| known.term);
        if one.process != record.member.incarnation {
            BeatVerdict::NotLeading
        } else if leads {
            BeatVerdict::Leading
        } else if known.is_none_or(|known| known < record.term) {
            BeatVerdict::Unaware
        } else {
            BeatVerdict::NotLeading
        }
    }

    pub(super) fn handle_member_answer(
        &mut self,
        node: usize,
        operation: u64,
        answer: MemberAnswer,
    ) {
        let now = self.now;
        let one = &mut self.nodes[node];
        if one.operation != operation {
            return;
        }
        match answer {
            MemberAnswer::Heartbeat(verdict, rank, members) => {
                let term = one.election.known().map(|record| record.term);
                if verdict == BeatVerdict::Leading {
                    one.followed_term = term;
                    one.named.extend(members.into_iter().map(|one| (one, now)));
                    one.named
                        .retain(|_, named_at| now.since(*named_at) < RECENT_MEMBER_TTL);
                }
                one.election.heartbeat_answered(now, verdict, rank);
            }
            MemberAnswer::Record(record, end) => {
                one.claim_end = end;
                one.election.record_read(now, record);
            }
            MemberAnswer::IsMember(is_member) => {
                one.election.membership_checked(now, is_member);
            }
            MemberAnswer::NoStore => one.election.store_failed(now),
        }
        self.act_as_member(node);
    }

    pub(super) fn handle_lead_request(&mut self, node: usize, term: LeaderTerm) {
        let now = self.now;
        let one = &mut self.nodes[node];
        one.lead_request = Some((term, now));
        if one.lead.is_none() && one.takeover.is_none() {
            one.election.lead_requested(now, term);
            self.act_as_member(node);
        }
    }

    pub(super) fn handle_store_answer(&mut self, node: usize, operation: u64, answer: StoreAnswer) {
        if self.nodes[node].lead.is_some() {
            return self.handle_append_answer(node, operation, answer);
        }
        if self.nodes[node].operation != operation {
            return;
        }
        self.nodes[node].operation += 1;
        match answer {
            StoreAnswer::Claimed(Some(record)) => self.win_claim(node, record),
            StoreAnswer::Fenced(result) => {
                let is_fenced = result == crate::store::AppendResult::Fenced;
                if is_fenced {
                    return self.end_takeover(node);
                }
                let now = self.now;
                if let Some(takeover) = &mut self.nodes[node].takeover {
                    takeover.fenced_at = Some(now);
                }
                let operation = self.nodes[node].operation;
                self.ask_store(node, operation, StoreRequestBody::Read, READ_TIMEOUT);
            }
            StoreAnswer::State(state) => self.lead(node, &state),
            StoreAnswer::None if self.nodes[node].takeover.is_some() => self.retry_takeover(node),
            StoreAnswer::Claimed(None) | StoreAnswer::None | StoreAnswer::Appended(..) => {
                let now = self.now;
                self.nodes[node].election.claim_lost(now);
                self.act_as_member(node);
            }
        }
    }

    fn win_claim(&mut self, node: usize, record: LeaderRecord) {
        let now = self.now;
        let term = record.term;
        self.log(|| format!("node {node} is elected in term {term}"));
        let one = &mut self.nodes[node];
        one.election.claim_won(now, record);
        one.takeover = Some(Takeover {
            term,
            attempts: 0,
            sent_at: now,
            fenced_at: None,
        });
        let process = one.process;
        self.push(now, Event::Join(node, process));
        self.fence(node, term);
    }

    fn fence(&mut self, node: usize, term: LeaderTerm) {
        let now = self.now;
        if let Some(takeover) = &mut self.nodes[node].takeover {
            takeover.sent_at = now;
        }
        let operation = self.nodes[node].operation;
        let body = StoreRequestBody::Fence(term);
        self.ask_store(node, operation, body, TAKEOVER_APPEND_TIMEOUT);
    }

    fn retry_takeover(&mut self, node: usize) {
        let Some(takeover) = &mut self.nodes[node].takeover else {
            return;
        };
        takeover.attempts += 1;
        if takeover.attempts >= TAKEOVER_ATTEMPTS {
            return self.end_takeover(node);
        }
        let term = takeover.term;
        self.fence(node, term);
    }

    fn end_takeover(&mut self, node: usize) {
        self.nodes[node].takeover = None;
        self.return_to_members(node);
    }

    /// Makes a node that doesn't lead any more take part in elections.
    pub(super) fn return_to_members(&mut self, node: usize) {
        let now = self.now;
        let election = &mut self.nodes[node].election;
        election.leader_resigned(now, FORMER_LEADER_RANK);
        self.act_as_member(node);
    }

    fn lead(&mut self, node: usize, state: &crate::store::StoreModel) {
        let now = self.planner_time();
        let Some(takeover) = self.nodes[node].takeover.take() else {
            return;
        };
        let term = takeover.term;
        let request = self.nodes[node].lead_request;
        let requested_at = request.filter(|(earlier, _)| earlier.precedes(term));
        let requested_at = requested_at.map(|(_, at)| at);
        let counted_from = takeover.fenced_at.unwrap_or(now.point);
        let settings = self.planner_settings();
        let mut leader = Leader::with_settings(term, settings);
        leader.requested_at = requested_at;
        leader.fenced(takeover.sent_at, counted_from);
        leader.read(state, now);
        let one = &self.nodes[node];
        let named = one.named.keys().copied().collect();
        let followed = one.followed_term;
        let has_followed = followed.is_some_and(|before| before.precedes(term));
        self.nodes[node].lead = Some(Lead::open(leader, named, has_followed, now.point));
        let inherited = state.leases.clone();
        self.log(|| format!("node {node} leads in term {term}, leases {inherited:?}"));
        let process = self.nodes[node].process;
        self.push(now.point, Event::Poll(node, process));
        self.step(node);
    }

    /// Renews the membership of a node that leads.
    pub(super) fn join(&mut self, node: usize, process: u64) {
        let one = &self.nodes[node];
        if one.lead.is_none() && one.takeover.is_none() {
            return;
        }
        if self.plan.reaches(Place::Node(node), Place::Store, self.now) {
            let member = self.nodes[node].identity(process);
            let end = self.now + MEMBER_LIFETIME;
            self.members.retain(|(one, _)| *one != member);
            self.members.push((member, end));
        }
        self.push_in(JOIN_INTERVAL, Event::Join(node, process));
    }

    /// Asks the other nodes about the store and about leaders, and tells the leader some time later.
    pub(super) fn probe_peers(&mut self, node: usize, is_first: bool) {
        let now = self.now;
        let one = &mut self.nodes[node];
        let process = one.process;
        let recent = one.heard_within(now, RECENT_MEMBER_TTL);
        let has_heard_any = one.heard.iter().any(Option::is_some);
        let Some(lead) = &mut one.lead else {
            return;
        };
        let term = lead.leader.term;
        if is_first {
            lead.probed.clear();
        }
        lead.probed.extend(recent);
        if now.since(lead.begun_at) < RECENT_MEMBER_TTL {
            lead.probed.extend(&lead.named);
        }
        lead.probed.remove(&node);
        let unanswered_since = lead.leader.unanswered_since.unwrap_or(now);
        let has_met_all = unanswered_since.since(lead.begun_at) >= MEETING_TIME;
        let is_in_contact = !lead.probed.is_empty() || !has_heard_any;
        let knows_all = (has_met_all && is_in_contact) || lead.has_followed_predecessor;
        let members = lead.probed.clone();
        let answers = members.iter().map(|peer| self.probe_answer(node, *peer));
        let answers: Vec<ProbeAnswer> = answers.collect();
        let verdict = judge_outage(term, answers);
        let result = ProbeResult {
            term,
            asked_at: now,
            is_store_reached: self.plan.reaches(Place::Node(node), Place::Store, now),
            verdict,
            knows_all,
        };
        self.push_in(PROBE_TIMEOUT, Event::Probe(node, process, result));
    }

    /// Returns what a node answers to a probe. The leader learns of it later, so that the answer may be
    /// outdated by then.
    fn probe_answer(&mut self, node: usize, peer: usize) -> ProbeAnswer {
        let now = self.now;
        let (own, other) = (Place::Node(node), Place::Node(peer));
        let awake_at = self.plan.awake_at(peer, now);
        let is_late = awake_at >= now + PROBE_TIMEOUT;
        if !self.nodes[peer].is_up || is_late || !self.plan.reaches(own, other, now) {
            return ProbeAnswer::Silent;
        }
        let peer_node = &mut self.nodes[peer];
        peer_node.heard[node] = Some(now);
        let known = peer_node.election.known();
        ProbeAnswer::Alive {
            known: known.map(|record| record.term),
            reaches_store: self.plan.reaches(other, Place::Store, now),
        }
    }

    /// Asks a successor to lead, and ends the membership of a node that has resigned.
    pub(super) fn notify_successor(&mut self, node: usize, term: LeaderTerm) {
        let now = self.now;
        let live = self.nodes[node].heard_within(now, MEMBER_TTL);
        let successor = live.into_iter().find(|peer| {
            let place = Place::Node(*peer);
            self.nodes[*peer].is_up
                && self.plan.reaches(Place::Node(node), place, now)
                && self.plan.reaches(place, Place::Store, now)
        });
        if let Some(successor) = successor {
            self.push_in(EXCHANGE_TIME, Event::BecomeLeader(successor, term));
        }
        if self.plan.reaches(Place::Node(node), Place::Store, now) {
            let member = self.nodes[node].identity(self.nodes[node].process);
            self.members.retain(|(one, _)| *one != member);
        }
    }
}
