//! Tables of what a node sees of the store, and the verdict that follows.

use std::collections::BTreeSet;
use std::time::Duration;

use geraniumshed_core::intake::{
    CallTicket, JobRoute, RetryDelay, StoreCall, StoreHealth, StoreReply, StoreVerdict,
};
use geraniumshed_model::prelude::TimePoint;
use rstest::rstest;

/// The interval at which a node checks for overdue answers.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The time between two heartbeats of the leader.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// The timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(750);
/// The timeout of an append.
const APPEND_TIMEOUT: Duration = Duration::from_millis(1500);

/// How a store treats a call.
#[derive(Debug, Clone, Copy)]
struct Treatment {
    reply: StoreReply,
    after: Duration,
}

const fn treated(reply: StoreReply, after_ms: u64) -> Treatment {
    Treatment {
        reply,
        after: Duration::from_millis(after_ms),
    }
}

const SERVED: Treatment = treated(StoreReply::Served, 5);
const REFUSED: Treatment = treated(StoreReply::Refused, 5);
const RESET: Treatment = treated(StoreReply::Lost, 5);
const UNANSWERED: Treatment = treated(StoreReply::Lost, u64::MAX);

/// How the store treats a node from now on.
#[derive(Debug, Clone, Copy)]
struct StoreMode {
    append: Treatment,
    read: Treatment,
    /// Which calls are left unanswered: one of so many.
    lost_one_of: u32,
    leader_slow: Option<bool>,
}

const fn mode(append: Treatment, read: Treatment, leader_slow: Option<bool>) -> StoreMode {
    StoreMode {
        append,
        read,
        lost_one_of: u32::MAX,
        leader_slow,
    }
}

struct OpenCall {
    ticket: CallTicket,
    reply: StoreReply,
    ends_at: TimePoint,
}

/// A node that appends jobs one at a time and probes the store when asked to.
struct NodeModel {
    now: TimePoint,
    health: StoreHealth,
    mode: StoreMode,
    calls: Vec<OpenCall>,
    append_ends_at: TimePoint,
    next_job: TimePoint,
    next_report: TimePoint,
    job_interval: Duration,
    calls_made: u32,
}

impl NodeModel {
    fn new(job_interval: Duration) -> Self {
        let now = TimePoint(1_000_000);
        Self {
            now,
            health: StoreHealth::new(now),
            mode: mode(SERVED, SERVED, Some(false)),
            calls: Vec::new(),
            append_ends_at: now,
            next_job: now,
            next_report: now,
            job_interval,
            calls_made: 0,
        }
    }

    /// Runs for a time, and returns the verdicts at its checks.
    fn run(&mut self, mode: StoreMode, time: Duration) -> Vec<StoreVerdict> {
        self.mode = mode;
        let end = self.now + time;
        let mut verdicts = Vec::new();
        while self.now < end {
            self.now = self.now + CHECK_INTERVAL;
            self.step();
            verdicts.push(self.health.verdict());
        }
        verdicts
    }

    fn step(&mut self) {
        let now = self.now;
        let (ended, open) = self.calls.drain(..).partition(|one| one.ends_at <= now);
        self.calls = open;
        let ended: Vec<OpenCall> = ended;
        for call in ended {
            self.health.call_ended(now, call.ticket, call.reply);
        }
        if let Some(is_slow) = self.mode.leader_slow.filter(|_| now >= self.next_report) {
            self.health.leader_reported(now, is_slow);
            self.next_report = now + HEARTBEAT_INTERVAL;
        }
        self.health.check(now);
        if self.health.take_probe(now) {
            self.call(StoreCall::Read, self.mode.read, PROBE_TIMEOUT);
        }
        let is_sent = self.health.route(now) == JobRoute::Store;
        if is_sent && now >= self.next_job && now >= self.append_ends_at {
            self.next_job = now + self.job_interval;
            self.append_ends_at = self.call(StoreCall::Append, self.mode.append, APPEND_TIMEOUT);
        }
    }

    fn call(&mut self, call: StoreCall, treatment: Treatment, timeout: Duration) -> TimePoint {
        self.calls_made += 1;
        let is_lost = self.calls_made.is_multiple_of(self.mode.lost_one_of);
        let treatment = if is_lost { UNANSWERED } else { treatment };
        let ends_at = self.now + treatment.after.min(timeout);
        self.calls.push(OpenCall {
            ticket: self.health.call_sent(self.now, call),
            reply: treatment.reply,
            ends_at,
        });
        ends_at
    }
}

/// Guards against a node that learns too late that the store doesn't serve it. The first job after the
/// begin of the outage may come a second later.
#[rstest]
#[case::silent_for_all(mode(UNANSWERED, UNANSWERED, Some(true)), StoreVerdict::Silent, 700)]
#[case::silent_for_this_node(mode(UNANSWERED, UNANSWERED, Some(false)), StoreVerdict::Silent, 1600)]
#[case::silent_without_leader(mode(UNANSWERED, UNANSWERED, None), StoreVerdict::Silent, 1600)]
#[case::refusing(mode(REFUSED, REFUSED, Some(false)), StoreVerdict::Refusing, 1300)]
#[case::connections_reset(mode(RESET, RESET, Some(true)), StoreVerdict::Silent, 800)]
#[case::no_connection(
    mode(
        treated(StoreReply::Refused, 400),
        treated(StoreReply::Refused, 400),
        Some(true)
    ),
    StoreVerdict::Silent,
    800
)]
fn an_outage_is_noticed(
    #[case] outage: StoreMode,
    #[case] expected: StoreVerdict,
    #[case] limit_ms: u64,
) {
    let mut node = NodeModel::new(Duration::from_secs(1));
    node.run(
        mode(SERVED, SERVED, Some(false)),
        Duration::from_millis(900),
    );
    let limit = Duration::from_millis(limit_ms);
    let verdicts = node.run(outage, limit);
    assert_eq!(verdicts.last(), Some(&expected), "{verdicts:?}");
    let later = node.run(outage, Duration::from_secs(10));
    assert!(later.iter().all(|one| *one == expected), "{later:?}");
}

/// Guards against jobs that are refused although the store would take them.
#[rstest]
#[case::calm(mode(SERVED, SERVED, Some(false)))]
#[case::sixty_times_slower(mode(
    treated(StoreReply::Served, 120),
    treated(StoreReply::Served, 120),
    Some(true)
))]
#[case::two_seconds_of_queued_appends(mode(
    treated(StoreReply::Lost, 2000),
    treated(StoreReply::Served, 120),
    Some(true)
))]
#[case::full_queue_of_appends(mode(REFUSED, treated(StoreReply::Served, 120), Some(true)))]
#[case::leader_slow_but_own_store_answers(mode(SERVED, SERVED, Some(true)))]
#[case::answers_to_appends_lost(mode(UNANSWERED, SERVED, Some(false)))]
#[case::one_of_three_answers_lost(StoreMode {
    lost_one_of: 3,
    ..mode(SERVED, SERVED, Some(false))
})]
fn a_store_that_answers_is_in_no_outage(#[case] store: StoreMode) {
    let mut node = NodeModel::new(Duration::from_millis(300));
    let verdicts = node.run(store, Duration::from_secs(20));
    assert!(!verdicts.iter().any(|one| one.is_outage()), "{verdicts:?}");
}

/// Guards against jobs that are refused although the store is back.
#[rstest]
#[case::after_silence(mode(UNANSWERED, UNANSWERED, Some(true)), SERVED)]
#[case::after_refusals(mode(REFUSED, REFUSED, Some(true)), SERVED)]
#[case::back_but_slow(
    mode(UNANSWERED, UNANSWERED, Some(true)),
    treated(StoreReply::Served, 120)
)]
fn the_end_of_an_outage_is_noticed(#[case] outage: StoreMode, #[case] read: Treatment) {
    let mut node = NodeModel::new(Duration::from_secs(1));
    node.run(outage, Duration::from_secs(4));
    assert!(node.health.verdict().is_outage());
    assert!(node.health.outage_age(node.now) > Some(Duration::from_secs(2)));
    // Heartbeats still call the store slow.
    let verdicts = node.run(mode(SERVED, read, Some(true)), Duration::from_millis(450));
    assert!(!verdicts.last().unwrap().is_outage(), "{verdicts:?}");
    assert_eq!(node.health.route(node.now), JobRoute::Store);
    assert_eq!(node.health.outage_age(node.now), None);
}

/// Guards against a process that was suspended and takes answers that it hasn't read yet for missing, or
/// that forgets an outage.
#[test]
fn a_suspended_process_keeps_its_verdict() {
    let mut node = NodeModel::new(Duration::from_millis(100));
    node.run(
        mode(UNANSWERED, UNANSWERED, Some(true)),
        Duration::from_millis(100),
    );
    node.now = node.now + Duration::from_secs(2);
    node.health.check(node.now);
    assert!(!node.health.verdict().is_outage());
    node.run(
        mode(UNANSWERED, UNANSWERED, Some(true)),
        Duration::from_secs(1),
    );
    assert_eq!(node.health.verdict(), StoreVerdict::Silent);
    node.now = node.now + Duration::from_secs(2);
    node.health.check(node.now);
    assert_eq!(node.health.verdict(), StoreVerdict::Silent);
}

/// Guards against jobs that are sent to nodes which the store doesn't serve either, or kept from those that
/// it serves.
#[rstest]
#[case::silent_for_all(mode(UNANSWERED, UNANSWERED, Some(true)), JobRoute::Nowhere)]
#[case::silent_without_leader(mode(UNANSWERED, UNANSWERED, None), JobRoute::Nowhere)]
#[case::silent_for_this_node(mode(UNANSWERED, UNANSWERED, Some(false)), JobRoute::Peers)]
#[case::refusing(mode(REFUSED, REFUSED, Some(true)), JobRoute::Peers)]
fn jobs_go_where_the_store_answers(#[case] outage: StoreMode, #[case] expected: JobRoute) {
    let mut node = NodeModel::new(Duration::from_millis(300));
    node.run(outage, Duration::from_secs(3));
    assert_eq!(node.health.route(node.now), expected);
}

/// Guards against a job that is sent to a store which has fallen silent since its last answer. A store that
/// has just answered isn't asked again.
#[test]
fn a_node_asks_the_store_again_before_it_sends_a_job() {
    let start = TimePoint(1_000_000);
    let after = |millis| start + Duration::from_millis(millis);
    let mut health = StoreHealth::new(start);
    assert!(!health.is_doubtful(after(100)));
    assert!(!health.take_confirmation(after(100)));
    assert!(health.is_doubtful(after(900)));
    assert!(health.take_confirmation(after(900)));
    let ticket = health.call_sent(after(900), StoreCall::Read);
    assert!(!health.take_confirmation(after(901)));
    health.call_ended(after(905), ticket, StoreReply::Served);
    assert!(!health.is_doubtful(after(910)));
}

/// Guards against a node that the store doesn't answer and that refuses jobs which its peers could store,
/// since it leads, or since the store is slow to answer the leader.
#[rstest]
#[case::leading(None)]
#[case::slow_leader(Some(true))]
fn a_silent_store_that_answers_a_peer_gets_jobs_from_it(#[case] leader_slow: Option<bool>) {
    let silent = mode(UNANSWERED, UNANSWERED, leader_slow);
    let mut node = NodeModel::new(Duration::from_millis(300));
    assert!(!node.health.take_peer_probe(node.now));
    node.run(silent, Duration::from_secs(2));
    assert_eq!(node.health.route(node.now), JobRoute::Nowhere);
    assert!(node.health.take_peer_probe(node.now));
    assert!(!node.health.take_peer_probe(node.now));
    node.health.peer_served(node.now);
    assert_eq!(node.health.route(node.now), JobRoute::Peers);
    node.run(silent, Duration::from_secs(3));
    assert_eq!(node.health.route(node.now), JobRoute::Nowhere);
}

/// Guards against clients that use up their four retries before a store that is silent for some seconds is
/// back.
#[rstest]
#[case::shortest_waits(0)]
#[case::longest_waits(1)]
fn four_retries_bridge_an_outage_of_several_seconds(#[case] random: u32) {
    let mut age = Duration::from_millis(500);
    for _ in 0..4 {
        let delay = RetryDelay::during_outage(age, random);
        age += Duration::from_secs(delay.0.into());
    }
    assert!(age >= Duration::from_secs(6), "{age:?}");
    assert!(age <= Duration::from_secs(15), "{age:?}");
}

/// Guards against clients that are refused together and come back together.
#[test]
fn delays_are_spread_and_grow_with_the_outage() {
    let delays = |age_s| {
        let random = [0, 1, 2, u32::MAX];
        let delay = |one| RetryDelay::during_outage(Duration::from_secs(age_s), one);
        random.map(delay).into_iter().collect::<BTreeSet<_>>()
    };
    for age_s in 0..100 {
        assert!(delays(age_s).len() >= 2);
        assert!(delays(age_s).first() <= delays(age_s + 1).first());
    }
    assert!(delays(0).last() < delays(6).first());
    assert_eq!(delays(50), delays(10_000));
    assert_eq!(RetryDelay::default(), RetryDelay(1));
}
