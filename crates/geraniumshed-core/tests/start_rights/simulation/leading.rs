//! The nodes as leaders.

use std::collections::BTreeSet;
use std::time::Duration;

use geraniumshed_core::assignment::PlannerSettings;
use geraniumshed_model::prelude::TimePoint;

use super::fault::Place;
use super::member::ProbeResult;
use super::store::{StoreAnswer, StoreRequestBody};
use super::{Event, Simulation};
use crate::leader::{Leader, LeaderInput, LeaderPhase};
use crate::store::SentAppend;

/// The minimum delay between appends.
const APPEND_INTERVAL: Duration = Duration::from_millis(15);
/// The minimum interval between steps.
const STEP_INTERVAL: Duration = Duration::from_millis(3);
/// The maximum interval between steps.
const ADVANCE_INTERVAL: Duration = Duration::from_millis(50);
/// The interval between placement attempts without any event.
const REVISIT_INTERVAL: Duration = Duration::from_millis(200);
/// The time without an answer to an append after which other nodes are asked.
const STORE_PROBE_DELAY: Duration = Duration::from_millis(900);
/// The interval between reads of the registrations and of new jobs.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// The expected response time of the store before the first append.
const FIRST_RESPONSE_TIME: Duration = Duration::from_millis(100);
/// The limits of the time after which an append counts as unanswered.
const APPEND_TIMEOUTS: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(2));

/// A node's leadership.
#[derive(Debug)]
pub struct Lead {
    pub leader: Leader,
    /// When the process was last known to run.
    awake_at: TimePoint,
    pub begun_at: TimePoint,
    /// The leaders that this node followed and the nodes that they knew.
    pub named: BTreeSet<usize>,
    /// Whether this node followed the leader right before.
    pub has_followed_predecessor: bool,
    /// The nodes that are asked in the present outage of the store.
    pub probed: BTreeSet<usize>,
    stepped_at: TimePoint,
    next_append: TimePoint,
    next_revisit: TimePoint,
    probed_at: Option<TimePoint>,
    response_time: Duration,
    append_sent_at: TimePoint,
    /// The number of the append whose answer the writer waits for.
    append_number: u64,
    /// The number of the step that is planned.
    planned_step: u64,
    planned_at: Option<TimePoint>,
    /// The calls that the leader waits for.
    pub open_calls: BTreeSet<u64>,
}

impl Lead {
    /// Begins to lead with a leader that has read what earlier ones stored.
    pub fn open(
        leader: Leader,
        named: BTreeSet<usize>,
        has_followed_predecessor: bool,
        now: TimePoint,
    ) -> Self {
        Self {
            leader,
            awake_at: now,
            begun_at: now,
            named,
            has_followed_predecessor,
            probed: BTreeSet::new(),
            stepped_at: TimePoint::default(),
            next_append: TimePoint::default(),
            next_revisit: TimePoint::default(),
            probed_at: None,
            response_time: FIRST_RESPONSE_TIME,
            append_sent_at: TimePoint::default(),
            append_number: 0,
            planned_step: 0,
            planned_at: None,
            open_calls: BTreeSet::new(),
        }
    }

    /// Suspends orders if the process has stood still.
    fn watch_stalls(&mut self, now: TimePoint) {
        let stalled = now.since(self.awake_at);
        self.awake_at = now;
        self.leader.planner.process_stalled(now, stalled);
    }
}

impl Simulation {
    pub(super) fn planner_settings(&self) -> PlannerSettings {
        let defaults = PlannerSettings::default();
        PlannerSettings {
            longest_lease: self.setup.longest_lease,
            lease: defaults.lease.min(self.setup.longest_lease),
            ..defaults
        }
    }

    /// Passes an input to a leader.
    pub(super) fn pass_input(&mut self, node: usize, input: LeaderInput) {
        let now = self.planner_time();
        let Some(lead) = &mut self.nodes[node].lead else {
            return;
        };
        lead.watch_stalls(now.point);
        lead.leader.handle(now, input);
        self.after_input(node);
    }

    /// Plans the next step, or ends the leadership.
    fn after_input(&mut self, node: usize) {
        let Some(lead) = &self.nodes[node].lead else {
            return;
        };
        let due = lead.stepped_at + STEP_INTERVAL;
        match lead.leader.phase {
            LeaderPhase::Ended => self.end_lead(node),
            LeaderPhase::Resigning => self.advance_resigning(node),
            _ => self.plan_step(node, due),
        }
    }

    fn plan_step(&mut self, node: usize, at: TimePoint) {
        let at = at.max(self.now);
        let process = self.nodes[node].process;
        let Some(lead) = &mut self.nodes[node].lead else {
            return;
        };
        if lead.planned_at.is_some_and(|planned| planned <= at) {
            return;
        }
        lead.planned_at = Some(at);
        lead.planned_step += 1;
        let number = lead.planned_step;
        self.push(at, Event::Step(node, process, number));
    }

    pub(super) fn step_if_newest(&mut self, node: usize, number: u64) {
        let lead = self.nodes[node].lead.as_mut();
        if lead.is_none_or(|lead| lead.planned_step != number) {
            return;
        }
        self.step(node);
    }

    /// Advances the planner, stores its changes and sends its calls.
    pub(super) fn step(&mut self, node: usize) {
        let now = self.planner_time();
        let Some(lead) = &mut self.nodes[node].lead else {
            return;
        };
        if lead.leader.phase != LeaderPhase::Leading {
            return self.after_input(node);
        }
        lead.planned_at = None;
        lead.stepped_at = now.point;
        lead.watch_stalls(now.point);
        let is_slow = lead.leader.monitor.is_slow(now.point);
        let planner = &mut lead.leader.planner;
        if lead.next_revisit <= now.point {
            lead.next_revisit = now.point + REVISIT_INTERVAL;
            planner.request_placement();
        }
        planner.prolong_leases(is_slow);
        planner.advance(now);
        let is_free = lead.leader.in_flight.is_none() && lead.next_append <= now.point;
        let batch = if is_free {
            lead.leader.planner.take_batch(now)
        } else {
            None
        };
        if let Some(batch) = batch {
            lead.next_append = now.point + APPEND_INTERVAL;
            lead.leader.sequence += 1;
            lead.leader.in_flight = Some(batch);
            lead.leader.unanswered_since = Some(now.point);
            self.send_append(node);
        }
        self.take_actions(node);
        self.probe_stalled_store(node);
        let has_changes = self.nodes[node].lead.as_ref().is_some_and(|lead| {
            lead.leader.in_flight.is_none() && lead.leader.planner.has_changes()
        });
        let delay = if has_changes {
            APPEND_INTERVAL
        } else {
            ADVANCE_INTERVAL
        };
        self.plan_step(node, self.now + delay);
    }

    fn send_append(&mut self, node: usize) {
        let now = self.now;
        let Some(lead) = &mut self.nodes[node].lead else {
            return;
        };
        let Some(batch) = lead.leader.in_flight.clone() else {
            return;
        };
        lead.leader.monitor.append_sent(now);
        lead.append_sent_at = now;
        lead.append_number += 1;
        let number = lead.append_number;
        let (shortest, longest) = APPEND_TIMEOUTS;
        let timeout = (lead.response_time * 4).clamp(shortest, longest);
        let append = SentAppend {
            term: lead.leader.term,
            sequence: lead.leader.sequence,
            batch,
            is_admitted: false,
        };
        let body = StoreRequestBody::Append(append);
        self.ask_store(node, number, body, timeout);
    }

    pub(super) fn handle_append_answer(&mut self, node: usize, number: u64, answer: StoreAnswer) {
        let now = self.now;
        let Some(lead) = &mut self.nodes[node].lead else {
            return;
        };
        if lead.append_number != number {
            return;
        }
        match answer {
            StoreAnswer::Appended(batch, result) => {
                // Later answers to the same append have no effect.
                lead.append_number += 1;
                let taken = now.since(lead.append_sent_at);
                lead.response_time = (lead.response_time * 3 + taken) / 4;
                self.pass_input(node, LeaderInput::Appended(batch, result));
            }
            StoreAnswer::None => {
                lead.leader.monitor.append_answered(now, false);
                let (_, longest) = APPEND_TIMEOUTS;
                lead.response_time = (lead.response_time * 3 / 2).min(longest);
                self.send_append(node);
            }
            _ => {}
        }
    }

    fn probe_stalled_store(&mut self, node: usize) {
        let now = self.now;
        let Some(lead) = &mut self.nodes[node].lead else {
            return;
        };
        let Some(since) = lead.leader.unanswered_since else {
            lead.probed_at = None;
            return;
        };
        let last = lead.probed_at.map_or(since, |asked| asked.max(since));
        if now.since(last) < STORE_PROBE_DELAY {
            return;
        }
        let is_first = lead.probed_at.replace(now).is_none();
        self.probe_peers(node, is_first);
    }

    pub(super) fn handle_probe(&mut self, node: usize, result: ProbeResult) {
        let now = self.now;
        self.log(|| format!("node {node}: {result:?}"));
        let lead = self.nodes[node].lead.as_mut();
        let Some(lead) = lead.filter(|lead| lead.leader.term == result.term) else {
            return;
        };
        lead.watch_stalls(now);
        let verdict = result.verdict;
        if verdict.is_replaced {
            return self.end_lead(node);
        }
        if verdict.is_unreplaced && result.knows_all {
            lead.leader.planner.resume_leases(result.asked_at);
        }
        if !result.is_store_reached && verdict.is_replaceable {
            self.resign(node);
        }
    }

    pub(super) fn resign(&mut self, node: usize) {
        let now = self.planner_time();
        let Some(lead) = &mut self.nodes[node].lead else {
            return;
        };
        if lead.leader.phase != LeaderPhase::Leading {
            return;
        }
        lead.watch_stalls(now.point);
        lead.leader.resign(now);
        let is_slow = lead.leader.monitor.is_slow(now.point);
        self.log(|| format!("node {node} resigns"));
        self.take_actions(node);
        if is_slow {
            return self.end_lead(node);
        }
        self.advance_resigning(node);
    }

    fn advance_resigning(&mut self, node: usize) {
        let now = self.planner_time();
        let Some(lead) = &mut self.nodes[node].lead else {
            return;
        };
        let batch = lead.leader.take_resigning_batch(now);
        if let Some(batch) = batch {
            lead.leader.sequence += 1;
            lead.leader.in_flight = Some(batch);
            self.send_append(node);
        }
        self.take_actions(node);
        let lead = self.nodes[node].lead.as_ref();
        if lead.is_some_and(|lead| lead.leader.phase == LeaderPhase::Ended) {
            self.end_lead(node);
        } else {
            self.plan_step(node, self.now + ADVANCE_INTERVAL);
            if let Some(lead) = &mut self.nodes[node].lead {
                lead.planned_at = None;
            }
        }
    }

    fn end_lead(&mut self, node: usize) {
        let Some(lead) = self.nodes[node].lead.take() else {
            return;
        };
        let term = lead.leader.term;
        self.log(|| format!("node {node} leads no more in term {term}"));
        if lead.leader.resigned_at > TimePoint::default() {
            self.notify_successor(node, term);
        }
        self.return_to_members(node);
    }

    /// Reads the registrations and new jobs, if the store answers.
    pub(super) fn poll_workers(&mut self, node: usize, process: u64) {
        let now = self.now;
        let reaches = self.plan.reaches(Place::Node(node), Place::Store, now);
        let listings = self.listings();
        let requests = self.store.requests.clone();
        let Some(lead) = &mut self.nodes[node].lead else {
            return;
        };
        if reaches {
            for (id, request) in requests {
                lead.leader.planner.submit(id, request);
            }
            if lead.leader.listed != listings {
                let event = Event::Listed(node, process, listings);
                self.push_in(Duration::from_millis(1), event);
            }
        }
        self.push_in(POLL_INTERVAL, Event::Poll(node, process));
    }
}
