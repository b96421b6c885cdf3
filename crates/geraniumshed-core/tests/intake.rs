//! Simulates many nodes that accept jobs while the store is slow.
//!
//! The store is modelled as a queue with a single server: it processes appends one at a time, and
//! refuses an append if more than two seconds of work are queued.

use std::time::Duration;

use geraniumshed_core::intake::{AppendMonitor, AppendRoute};
use geraniumshed_model::prelude::TimePoint;
use rstest::rstest;

const STEP: Duration = Duration::from_millis(10);
const NODES: usize = 40;
const LEADER: usize = 0;
/// The time between two jobs.
const JOB_INTERVAL: Duration = Duration::from_millis(40);
/// The time between two heartbeats of the leader.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// The maximum amount of work that is queued at the store.
const QUEUE_LIMIT: Duration = Duration::from_secs(2);
/// The time for which clients wait for an answer.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(2900);

/// An append in flight, with the submission times of its jobs.
struct Append {
    node: usize,
    jobs: Vec<TimePoint>,
    answered_at: TimePoint,
}

/// Nodes with at most one append in flight each, and a store that processes one append at a time.
struct Model {
    now: TimePoint,
    monitors: Vec<AppendMonitor>,
    /// The submission times of the jobs that wait for the next append of each node.
    waiting: Vec<Vec<TimePoint>>,
    appends: Vec<Append>,
    /// When the store has processed all accepted appends.
    free_at: TimePoint,
    append_time: Duration,
    answer_time: Duration,
    /// The latencies of the jobs that were stored in time.
    accepted: Vec<Duration>,
    submitted: usize,
    /// Tracks the leader's appends of progress, which are sent one after the other and don't share
    /// the queue of the jobs.
    progress: AppendMonitor,
    progress_ends_at: TimePoint,
    next_heartbeat: TimePoint,
}

impl Model {
    fn new(append_time: Duration, answer_time: Duration) -> Self {
        Self {
            now: TimePoint(1_000_000),
            monitors: vec![AppendMonitor::default(); NODES],
            waiting: vec![Vec::new(); NODES],
            appends: Vec::new(),
            free_at: TimePoint(0),
            append_time,
            answer_time,
            accepted: Vec::new(),
            submitted: 0,
            progress: AppendMonitor::default(),
            progress_ends_at: TimePoint(0),
            next_heartbeat: TimePoint(0),
        }
    }

    fn run(&mut self, span: Duration, route: impl Fn(&AppendMonitor, TimePoint) -> AppendRoute) {
        let end = self.now + span;
        let mut next_job = self.now;
        // Waits for the answers of the last jobs.
        while self.now < end + CLIENT_TIMEOUT {
            if next_job <= self.now && self.now < end {
                next_job = next_job + JOB_INTERVAL;
                let node = (self.submitted * 7) % NODES;
                self.submitted += 1;
                let writer = match route(&self.monitors[node], self.now) {
                    AppendRoute::Local => node,
                    AppendRoute::Leader => LEADER,
                };
                self.waiting[writer].push(self.now);
            }
            self.answer();
            self.send();
            self.write_progress();
            self.send_heartbeat();
            self.now = self.now + STEP;
        }
    }

    fn answer(&mut self) {
        let now = self.now;
        let appends = std::mem::take(&mut self.appends);
        let (done, rest): (Vec<_>, Vec<_>) = appends
            .into_iter()
            .partition(|append| append.answered_at <= now);
        self.appends = rest;
        for append in done {
            self.monitors[append.node].append_answered(now, true);
            let taken = append.jobs.iter().map(|at| now.since(*at));
            self.accepted
                .extend(taken.filter(|taken| *taken <= CLIENT_TIMEOUT));
        }
    }

    fn send(&mut self) {
        for node in 0..NODES {
            let is_busy = self.appends.iter().any(|append| append.node == node);
            if is_busy || self.waiting[node].is_empty() {
                continue;
            }
            let jobs = std::mem::take(&mut self.waiting[node]);
            self.monitors[node].append_sent(self.now);
            let begin = self.free_at.max(self.now);
            if begin.since(self.now) > QUEUE_LIMIT {
                self.monitors[node].append_answered(self.now, false);
                continue;
            }
            self.free_at = begin + self.append_time;
            self.appends.push(Append {
                node,
                jobs,
                answered_at: self.free_at + self.answer_time,
            });
        }
    }

    fn write_progress(&mut self) {
        if self.progress_ends_at <= self.now {
            self.progress.append_answered(self.now, true);
            self.progress.append_sent(self.now);
            self.progress_ends_at = self.now + self.append_time + self.answer_time;
        }
    }

    /// Sends a heartbeat in which the leader reports a slow store to all nodes.
    fn send_heartbeat(&mut self) {
        if self.next_heartbeat > self.now {
            return;
        }
        self.next_heartbeat = self.now + HEARTBEAT_INTERVAL;
        if self.progress.is_slow(self.now) {
            for monitor in &mut self.monitors {
                monitor.leader_reported_slow(self.now);
            }
        }
    }

    fn accepted_share(&self) -> f64 {
        self.accepted.len() as f64 / self.submitted as f64
    }

    fn median(&self) -> Duration {
        let mut times = self.accepted.clone();
        times.sort_unstable();
        times.get(times.len() / 2).copied().unwrap_or(Duration::MAX)
    }
}

#[rstest]
#[case::calm(2, 4, 0.99, 30)]
#[case::sixty_times_slower(120, 240, 0.95, 700)]
#[case::hundred_times_slower(200, 400, 0.9, 1_200)]
fn jobs_are_stored_in_time_even_by_a_slow_store(
    #[case] append_ms: u64,
    #[case] answer_ms: u64,
    #[case] least_share: f64,
    #[case] longest_median_ms: u64,
) {
    let append_time = Duration::from_millis(append_ms);
    let mut model = Model::new(append_time, Duration::from_millis(answer_ms));
    model.run(Duration::from_secs(10), AppendMonitor::route);
    let share = model.accepted_share();
    assert!(
        share >= least_share,
        "{share} of all jobs were stored in time"
    );
    assert!(
        model.median() <= Duration::from_millis(longest_median_ms),
        "median {:?}",
        model.median()
    );
}

#[test]
fn separate_appends_of_each_node_overload_a_slow_store() {
    let mut model = Model::new(Duration::from_millis(120), Duration::from_millis(240));
    model.run(Duration::from_secs(10), |_, _| AppendRoute::Local);
    let share = model.accepted_share();
    assert!(share < 0.6, "{share} of all jobs were stored in time");
}

#[test]
fn a_node_appends_its_own_jobs_again_once_appends_of_the_leader_are_fast() {
    let mut monitor = AppendMonitor::default();
    let at = |ms: u64| TimePoint(0) + Duration::from_millis(ms);
    monitor.append_sent(at(0));
    assert_eq!(monitor.route(at(100)), AppendRoute::Local);
    assert_eq!(monitor.route(at(200)), AppendRoute::Leader);
    monitor.append_answered(at(400), true);
    assert_eq!(monitor.route(at(500)), AppendRoute::Leader);
    monitor.leader_answered(Duration::from_millis(380));
    assert_eq!(monitor.route(at(1_800)), AppendRoute::Leader);
    assert_eq!(monitor.route(at(1_900)), AppendRoute::Local);
    monitor.leader_reported_slow(at(2_500));
    assert_eq!(monitor.route(at(2_600)), AppendRoute::Leader);
    monitor.leader_answered(Duration::from_millis(30));
    assert_eq!(monitor.route(at(2_800)), AppendRoute::Local);
}

/// Guards against forwarding jobs to the leader because the store refuses or loses the appends of
/// one node, which is no evidence that the leader's appends would be faster.
#[test]
fn refused_appends_do_not_count_as_a_slow_store() {
    let mut monitor = AppendMonitor::default();
    let at = |ms: u64| TimePoint(0) + Duration::from_millis(ms);
    monitor.append_sent(at(0));
    monitor.append_answered(at(10), false);
    assert_eq!(monitor.route(at(20)), AppendRoute::Local);
    monitor.append_sent(at(30));
    monitor.append_answered(at(500), false);
    assert_eq!(monitor.route(at(510)), AppendRoute::Local);
}
