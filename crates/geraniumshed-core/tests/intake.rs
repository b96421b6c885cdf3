//! Many nodes that take jobs while the store is slow.
//!
//! The pattern is a queue before a single server: the store takes appends one at a time, and refuses
//! them once more than two seconds of work are waiting.

use std::time::Duration;

use geraniumshed_core::intake::{AppendPace, AppendRoute};
use geraniumshed_model::prelude::TimePoint;
use rstest::rstest;

const STEP: Duration = Duration::from_millis(10);
const NODES: usize = 40;
const LEADER: usize = 0;
/// The time between two jobs.
const JOB_GAP: Duration = Duration::from_millis(40);
/// The time between two heartbeats.
const BEAT_PAUSE: Duration = Duration::from_millis(250);
/// The work that may wait at the store.
const QUEUE_LIMIT: Duration = Duration::from_secs(2);
/// The time that clients wait.
const PATIENCE: Duration = Duration::from_millis(2900);

/// An append on its way.
struct Append {
    node: usize,
    jobs: Vec<TimePoint>,
    answered_at: TimePoint,
}

/// Nodes, each with one append on its way at a time, before a store that takes one at a time.
struct Model {
    now: TimePoint,
    paces: Vec<AppendPace>,
    waiting: Vec<Vec<TimePoint>>,
    appends: Vec<Append>,
    /// When the store is done with what it has taken.
    free_at: TimePoint,
    append_time: Duration,
    answer_time: Duration,
    accepted: Vec<Duration>,
    handed_in: usize,
    /// The leader's appends of progress, one after the other to a queue of their own.
    progress: AppendPace,
    progress_ends_at: TimePoint,
    next_beat: TimePoint,
}

impl Model {
    fn new(append_time: Duration, answer_time: Duration) -> Self {
        Self {
            now: TimePoint(1_000_000),
            paces: vec![AppendPace::default(); NODES],
            waiting: vec![Vec::new(); NODES],
            appends: Vec::new(),
            free_at: TimePoint(0),
            append_time,
            answer_time,
            accepted: Vec::new(),
            handed_in: 0,
            progress: AppendPace::default(),
            progress_ends_at: TimePoint(0),
            next_beat: TimePoint(0),
        }
    }

    fn run(&mut self, span: Duration, route: impl Fn(&AppendPace, TimePoint) -> AppendRoute) {
        let end = self.now + span;
        let mut next_job = self.now;
        // The last clients are waited for.
        while self.now < end + PATIENCE {
            if next_job <= self.now && self.now < end {
                next_job = next_job + JOB_GAP;
                let node = (self.handed_in * 7) % NODES;
                self.handed_in += 1;
                let writer = match route(&self.paces[node], self.now) {
                    AppendRoute::Own => node,
                    AppendRoute::Collector => LEADER,
                };
                self.waiting[writer].push(self.now);
            }
            self.answer();
            self.send();
            self.write_progress();
            self.beat();
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
            self.paces[append.node].append_answered(now, true);
            let taken = append.jobs.iter().map(|at| now.since(*at));
            self.accepted
                .extend(taken.filter(|taken| *taken <= PATIENCE));
        }
    }

    fn send(&mut self) {
        for node in 0..NODES {
            let is_busy = self.appends.iter().any(|append| append.node == node);
            if is_busy || self.waiting[node].is_empty() {
                continue;
            }
            let jobs = std::mem::take(&mut self.waiting[node]);
            self.paces[node].append_sent(self.now);
            let begin = self.free_at.max(self.now);
            if begin.since(self.now) > QUEUE_LIMIT {
                self.paces[node].append_answered(self.now, false);
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

    /// Lets the leader tell all nodes whether it sees a slow store.
    fn beat(&mut self) {
        if self.next_beat > self.now {
            return;
        }
        self.next_beat = self.now + BEAT_PAUSE;
        if self.progress.is_slow(self.now) {
            for pace in &mut self.paces {
                pace.leader_told(self.now);
            }
        }
    }

    fn accepted_share(&self) -> f64 {
        self.accepted.len() as f64 / self.handed_in as f64
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
fn jobs_are_stored_in_time_also_by_a_slow_store(
    #[case] append_ms: u64,
    #[case] answer_ms: u64,
    #[case] least_share: f64,
    #[case] longest_median_ms: u64,
) {
    let append_time = Duration::from_millis(append_ms);
    let mut model = Model::new(append_time, Duration::from_millis(answer_ms));
    model.run(Duration::from_secs(10), AppendPace::route);
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
fn an_append_by_each_node_overwhelms_a_slow_store() {
    let mut model = Model::new(Duration::from_millis(120), Duration::from_millis(240));
    model.run(Duration::from_secs(10), |_, _| AppendRoute::Own);
    let share = model.accepted_share();
    assert!(share < 0.6, "{share} of all jobs were stored in time");
}

#[test]
fn a_node_stores_its_jobs_itself_again_once_the_leader_does_so_quickly() {
    let mut pace = AppendPace::default();
    let at = |ms: u64| TimePoint(0) + Duration::from_millis(ms);
    pace.append_sent(at(0));
    assert_eq!(pace.route(at(100)), AppendRoute::Own);
    assert_eq!(pace.route(at(200)), AppendRoute::Collector);
    pace.append_answered(at(400), true);
    assert_eq!(pace.route(at(500)), AppendRoute::Collector);
    pace.collector_answered(Duration::from_millis(380));
    assert_eq!(pace.route(at(1_800)), AppendRoute::Collector);
    assert_eq!(pace.route(at(1_900)), AppendRoute::Own);
    pace.leader_told(at(2_500));
    assert_eq!(pace.route(at(2_600)), AppendRoute::Collector);
    pace.collector_answered(Duration::from_millis(30));
    assert_eq!(pace.route(at(2_800)), AppendRoute::Own);
}

/// Pattern: one node is turned away. The leader is no better placed than a node by that.
#[test]
fn a_store_that_refuses_one_node_is_not_slow() {
    let mut pace = AppendPace::default();
    let at = |ms: u64| TimePoint(0) + Duration::from_millis(ms);
    pace.append_sent(at(0));
    pace.append_answered(at(10), false);
    assert_eq!(pace.route(at(20)), AppendRoute::Own);
    pace.append_sent(at(30));
    pace.append_answered(at(500), false);
    assert_eq!(pace.route(at(510)), AppendRoute::Own);
}
