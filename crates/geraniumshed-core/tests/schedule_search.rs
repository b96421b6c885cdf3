//! A breadth-first search over the real aggregates: 2 daemons, 1 shard, 2 workers, 2 tasks.
//!
//! Each step lets one daemon catch up with the log, lets one call to a worker happen or lose its
//! answer, restarts a worker, ends a task or starts the second daemon. States are told apart by
//! a hash. With all rules on, no reachable state shows a task that ran where it must not; with one
//! rule off, the search finds and prints the shortest way to such a state.

mod schedule_support;

use std::collections::{HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use geraniumshed_core::schedule::{
    ProtocolRules, SchedulerSettings, ShardAction, ShardInput, stable_hash,
};
use geraniumshed_model::prelude::*;
use schedule_support::fixture::{job, workers};
use schedule_support::{FakeCluster, WorkFate, judge_runs};

/// One step of the search.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SearchStep {
    /// The daemon's appends take effect and it reads the log to its end.
    CatchUp(usize),
    /// The daemon's call to the worker happens.
    Call(usize, usize),
    /// The daemon's call to the worker takes effect and its answer is lost.
    LoseAnswer(usize, usize),
    /// The daemon acts on what it knows.
    Tick(usize),
    /// The worker restarts.
    Reboot(usize),
    /// The worker's tasks end.
    Complete(usize),
    /// The second daemon claims the shard.
    TakeOver,
}

/// A state with the way to it.
#[derive(Clone)]
struct SearchNode {
    cluster: FakeCluster,
    way: Vec<SearchStep>,
    reboots: u32,
    losses: u32,
}

/// What a search came to.
struct SearchResult {
    states: usize,
    depth: usize,
    violation: Option<(Vec<SearchStep>, Vec<String>)>,
}

/// The most states that one search looks at.
const STATE_LIMIT: usize = 12_000;

/// Returns the limit, which `SEARCH_STATES` raises for longer runs by hand.
fn state_limit() -> usize {
    let text = std::env::var("SEARCH_STATES").ok();
    let limit = text.and_then(|text| text.parse().ok());
    limit.unwrap_or(STATE_LIMIT)
}

#[test]
fn all_rules_hold() {
    let result = search(ProtocolRules::default());
    println!(
        "all rules on: {} states, depth {}",
        result.states, result.depth
    );
    assert!(
        result.states > 1_000,
        "the search sees {} states",
        result.states
    );
    if let Some((way, faults)) = result.violation {
        panic!("{faults:?} by {way:#?}");
    }
}

#[rstest::rstest]
#[case::term_check(ProtocolRules { check_term: false, ..ProtocolRules::default() }, "over its size")]
#[case::boot_check(ProtocolRules { check_boot: false, ..ProtocolRules::default() }, "ran again")]
#[case::log_before_start(
    ProtocolRules { log_before_start: false, ..ProtocolRules::default() },
    "two places"
)]
fn missing_rule_is_found(#[case] rules: ProtocolRules, #[case] fault: &str) {
    let result = search(rules);
    let (way, faults) = result.violation.expect("the search finds the fault");
    println!("{rules:?}: {} states, {} steps", result.states, way.len());
    println!("  {way:?}\n  {faults:?}");
    assert!(faults.iter().any(|text| text.contains(fault)), "{faults:?}");
}

fn search(rules: ProtocolRules) -> SearchResult {
    let mut seen = HashSet::new();
    let mut queue = VecDeque::from([start(rules)]);
    let mut depth = 0;
    let limit = state_limit();
    while let Some(node) = queue.pop_front() {
        depth = depth.max(node.way.len());
        let faults = judge_runs(&node.cluster, false);
        if !faults.is_empty() {
            return SearchResult {
                states: seen.len(),
                depth,
                violation: Some((node.way, faults)),
            };
        }
        if seen.len() >= limit {
            continue;
        }
        for step in steps(&node) {
            let next = take(&node, step);
            if seen.insert(digest(&next)) {
                queue.push_back(next);
            }
        }
    }
    SearchResult {
        states: seen.len(),
        depth,
        violation: None,
    }
}

fn start(rules: ProtocolRules) -> SearchNode {
    let settings = SchedulerSettings {
        rules,
        call_retry: Duration::ZERO,
        ..SchedulerSettings::default()
    };
    let mut cluster = FakeCluster::new(settings, workers(2));
    // Urgent tasks are placed as soon as any worker is seized, which gives the shortest ways.
    let tasks = JobSpec {
        urgency: UrgencyClass::Urgent,
        command: "run until ended".into(),
        ..job(2, 8, false)
    };
    cluster.publish("regrade", RecordSpec::Job(tasks));
    cluster.take_over();
    // The first daemon opens the shard and seizes both workers before anything goes wrong.
    catch_up(&mut cluster, 0);
    call(&mut cluster, 0, 0);
    call(&mut cluster, 0, 1);
    SearchNode {
        cluster,
        way: Vec::new(),
        reboots: 0,
        losses: 0,
    }
}

/// Returns the steps that may follow.
fn steps(node: &SearchNode) -> Vec<SearchStep> {
    let cluster = &node.cluster;
    let mut steps = Vec::new();
    for owner in 0..cluster.owners.len() {
        if has_log_work(cluster, owner) {
            steps.push(SearchStep::CatchUp(owner));
        }
        steps.push(SearchStep::Tick(owner));
        for worker in 0..2 {
            if let Some(index) = find_call(cluster, owner, worker) {
                steps.push(SearchStep::Call(owner, worker));
                if node.losses == 0 && carries_commands(cluster, index) {
                    steps.push(SearchStep::LoseAnswer(owner, worker));
                }
            }
        }
    }
    for worker in 0..2 {
        let entry = cluster.workers.values().nth(worker);
        if entry.is_some_and(|entry| entry.live_count() > 0) {
            steps.push(SearchStep::Complete(worker));
            if node.reboots == 0 {
                steps.push(SearchStep::Reboot(worker));
            }
        }
    }
    if cluster.owners.len() < 2 {
        steps.push(SearchStep::TakeOver);
    }
    steps
}

fn take(node: &SearchNode, step: SearchStep) -> SearchNode {
    let mut next = node.clone();
    next.way.push(step);
    let cluster = &mut next.cluster;
    match step {
        SearchStep::CatchUp(owner) => catch_up(cluster, owner),
        SearchStep::Call(owner, worker) => call(cluster, owner, worker),
        SearchStep::LoseAnswer(owner, worker) => {
            let index = find_call(cluster, owner, worker).expect("a call");
            cluster.perform(index, WorkFate::AnswerLost);
            next.losses += 1;
        }
        SearchStep::Tick(owner) => cluster.input(owner, ShardInput::Tick),
        SearchStep::Reboot(worker) => {
            let worker = cluster.workers.values_mut().nth(worker);
            worker.expect("a worker").reboot();
            next.reboots += 1;
        }
        SearchStep::Complete(worker) => {
            let now = cluster.now;
            let worker = cluster.workers.values_mut().nth(worker);
            worker.expect("a worker").complete_batch(now);
        }
        SearchStep::TakeOver => {
            cluster.take_over();
        }
    }
    next
}

/// Lets a call happen, and the renewals of the lease that follow it.
fn call(cluster: &mut FakeCluster, owner: usize, worker: usize) {
    let index = find_call(cluster, owner, worker).expect("a call");
    cluster.perform(index, WorkFate::Done);
    while let Some(index) = find_call(cluster, owner, worker)
        && !carries_commands(cluster, index)
    {
        cluster.perform(index, WorkFate::Done);
    }
}

fn carries_commands(cluster: &FakeCluster, index: usize) -> bool {
    match &cluster.pending[index].action {
        ShardAction::Exchange { request, .. } => !request.commands.is_empty(),
        ShardAction::Seize { .. }
        | ShardAction::Append(_)
        | ShardAction::Publish(_)
        | ShardAction::Report(_)
        | ShardAction::Move { .. }
        | ShardAction::Superseded => true,
    }
}

fn catch_up(cluster: &mut FakeCluster, owner: usize) {
    while let Some(index) = find_log_work(cluster, owner) {
        cluster.perform(index, WorkFate::Done);
    }
    while cluster.read_next(owner) {}
}

fn has_log_work(cluster: &FakeCluster, owner: usize) -> bool {
    let unread = cluster.owners[owner].read < cluster.log.len();
    unread || find_log_work(cluster, owner).is_some()
}

fn find_log_work(cluster: &FakeCluster, owner: usize) -> Option<usize> {
    cluster.pending.iter().position(|work| {
        let log = !matches!(
            work.action,
            ShardAction::Seize { .. } | ShardAction::Exchange { .. }
        );
        work.owner == owner && log
    })
}

fn find_call(cluster: &FakeCluster, owner: usize, worker: usize) -> Option<usize> {
    let id = cluster.workers.keys().nth(worker)?;
    cluster.pending.iter().position(|work| {
        let callee = match &work.action {
            ShardAction::Seize { worker, .. } | ShardAction::Exchange { worker, .. } => worker,
            ShardAction::Append(_)
            | ShardAction::Publish(_)
            | ShardAction::Report(_)
            | ShardAction::Move { .. }
            | ShardAction::Superseded => return false,
        };
        work.owner == owner && callee == id
    })
}

/// Returns a hash of everything that decides how the state goes on.
fn digest(node: &SearchNode) -> (u64, u64) {
    let cluster = &node.cluster;
    let state = format!(
        "{:?}{:?}{:?}{}{}",
        cluster.log, cluster.workers, cluster.pending, node.reboots, node.losses
    );
    let owners: Vec<_> = cluster.owners.iter().map(owner_digest).collect();
    let mut hasher = DefaultHasher::new();
    owners.hash(&mut hasher);
    (stable_hash(&state), hasher.finish())
}

fn owner_digest(owner: &schedule_support::FakeOwner) -> (usize, u64) {
    (owner.read, stable_hash(&format!("{:?}", owner.scheduler)))
}
