//! A breadth-first search over the states of the real scheduler with 2 daemons, 1 shard, 2 workers
//! and 2 tasks.
//!
//! In each step, one daemon catches up with the log or gets a tick, one call to a worker is made or
//! loses its reply, a worker restarts, a worker's tasks end or the second daemon starts. States are
//! identified by a hash. With all protocol rules enforced, no state reached has a violation. With
//! one rule turned off, the search finds and prints a shortest path to a violation.

mod schedule_support;

use std::collections::{HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use geraniumshed_core::schedule::{
    ProtocolRules, SchedulerSettings, ShardAction, ShardInput, stable_hash,
};
use geraniumshed_model::prelude::*;
use schedule_support::fixture::{job, workers};
use schedule_support::{ActionOutcome, FakeCluster, find_violations};

/// One step of the search.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SearchStep {
    /// The daemon's appends take effect and it reads the log to its end.
    CatchUp(usize),
    /// The daemon's call to the worker succeeds.
    Call(usize, usize),
    /// The daemon's call to the worker takes effect and its reply is lost.
    LoseReply(usize, usize),
    /// The daemon gets a tick.
    Tick(usize),
    /// The worker restarts.
    Reboot(usize),
    /// The worker's tasks end.
    Complete(usize),
    /// The second daemon claims the shard.
    TakeOver,
}

/// A state with the path of steps to it.
#[derive(Clone)]
struct SearchNode {
    cluster: FakeCluster,
    path: Vec<SearchStep>,
    reboots: u32,
    losses: u32,
}

/// The result of a search.
struct SearchResult {
    states: usize,
    depth: usize,
    violation: Option<(Vec<SearchStep>, Vec<String>)>,
}

/// The largest number of states that one search visits.
const STATE_LIMIT: usize = 12_000;

/// Returns the limit; the environment variable `SEARCH_STATES` replaces it for manual runs.
fn state_limit() -> usize {
    let text = std::env::var("SEARCH_STATES").ok();
    let limit = text.and_then(|text| text.parse().ok());
    limit.unwrap_or(STATE_LIMIT)
}

#[test]
fn search_finds_no_violation_with_all_rules() {
    let result = search(ProtocolRules::default());
    println!(
        "all rules enforced: {} states, depth {}",
        result.states, result.depth
    );
    assert!(
        result.states > 1_000,
        "the search visits only {} states",
        result.states
    );
    if let Some((path, violations)) = result.violation {
        panic!("{violations:?} by {path:#?}");
    }
}

#[rstest::rstest]
#[case::term_check(ProtocolRules { check_term: false, ..ProtocolRules::default() }, "over its size")]
#[case::boot_check(ProtocolRules { check_boot: false, ..ProtocolRules::default() }, "ran again")]
#[case::log_before_start(
    ProtocolRules { log_before_start: false, ..ProtocolRules::default() },
    "two places"
)]
fn search_finds_the_violation_without_a_rule(
    #[case] rules: ProtocolRules,
    #[case] violation: &str,
) {
    let result = search(rules);
    let (path, violations) = result.violation.expect("the search finds a violation");
    println!("{rules:?}: {} states, {} steps", result.states, path.len());
    println!("  {path:?}\n  {violations:?}");
    assert!(
        violations.iter().any(|text| text.contains(violation)),
        "{violations:?}"
    );
}

fn search(rules: ProtocolRules) -> SearchResult {
    let mut seen = HashSet::new();
    let mut queue = VecDeque::from([start(rules)]);
    let mut depth = 0;
    let limit = state_limit();
    while let Some(node) = queue.pop_front() {
        depth = depth.max(node.path.len());
        let violations = find_violations(&node.cluster, false);
        if !violations.is_empty() {
            return SearchResult {
                states: seen.len(),
                depth,
                violation: Some((node.path, violations)),
            };
        }
        if seen.len() >= limit {
            continue;
        }
        for step in steps(&node) {
            let next = apply_step(&node, step);
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
    // Urgent tasks are placed as soon as any worker is seized, which gives the shortest paths.
    let tasks = JobSpec {
        urgency: UrgencyClass::Urgent,
        command: "run until ended".into(),
        ..job(2, 8, false)
    };
    cluster.publish("regrade", RecordSpec::Job(tasks));
    cluster.take_over();
    // The first daemon opens the shard and seizes both workers before any fault.
    catch_up(&mut cluster, 0);
    call(&mut cluster, 0, 0);
    call(&mut cluster, 0, 1);
    SearchNode {
        cluster,
        path: Vec::new(),
        reboots: 0,
        losses: 0,
    }
}

/// Returns the steps that are possible in a state.
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
                    steps.push(SearchStep::LoseReply(owner, worker));
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

fn apply_step(node: &SearchNode, step: SearchStep) -> SearchNode {
    let mut next = node.clone();
    next.path.push(step);
    let cluster = &mut next.cluster;
    match step {
        SearchStep::CatchUp(owner) => catch_up(cluster, owner),
        SearchStep::Call(owner, worker) => call(cluster, owner, worker),
        SearchStep::LoseReply(owner, worker) => {
            let index = find_call(cluster, owner, worker).expect("a call");
            cluster.perform(index, ActionOutcome::AnswerLost);
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

/// Performs a call and the calls after it that only renew the lease.
fn call(cluster: &mut FakeCluster, owner: usize, worker: usize) {
    let index = find_call(cluster, owner, worker).expect("a call");
    cluster.perform(index, ActionOutcome::Done);
    while let Some(index) = find_call(cluster, owner, worker)
        && !carries_commands(cluster, index)
    {
        cluster.perform(index, ActionOutcome::Done);
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
        cluster.perform(index, ActionOutcome::Done);
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

/// Returns a hash of everything that the next states depend on.
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
