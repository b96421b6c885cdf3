//! Tests of the forecast of waits, and of the admission by it, under loads of clients.

use std::sync::Arc;
use std::time::Duration;

use geraniumshed_core::assignment::{PlannerEvent, QueueWait};
use geraniumshed_core::intake::{AdmissionTable, AdmissionVerdict};
use geraniumshed_core::job::{JobId, QueueName, QueuePolicy, StepRequest};

use crate::builders::{step, worker};
use crate::fixture::{BACKGROUND_QUEUE, Cluster, first_queues};

/// The urgent queue of the cluster.
const URGENT_QUEUE: &str = "q";
/// The interval between two waves of jobs.
const WAVE: Duration = Duration::from_millis(250);

/// Jobs that arrive in a queue with each wave.
#[derive(Debug, Clone, Copy)]
struct Stream {
    queue: &'static str,
    /// The number of jobs of one step of 16 tasks, each of which takes a second on two processors.
    jobs: u64,
}

/// Clients that submit jobs, which a node admits by the newest forecast.
struct Clients {
    cluster: Cluster,
    table: AdmissionTable,
    next_id: u64,
    admitted: Vec<(&'static str, JobId)>,
    /// The queue of each rejected job, with the delay that its client was told.
    rejected: Vec<(&'static str, Duration)>,
}

impl Clients {
    /// Creates clients of a cluster whose workers run 16 tasks at a time each.
    fn of_workers(count: usize) -> Self {
        let mut cluster = Cluster::with_workers(count);
        // There is no forecast right after a takeover.
        cluster.advance(Duration::from_secs(4));
        Self {
            cluster,
            table: AdmissionTable::default(),
            next_id: 1,
            admitted: Vec::new(),
            rejected: Vec::new(),
        }
    }

    fn policy(queue: &str) -> QueuePolicy {
        first_queues()[&QueueName::from(queue)].clone()
    }

    /// Submits waves of jobs for a time.
    fn submit(&mut self, span: Duration, streams: &[Stream]) {
        let end = self.cluster.now + span;
        while self.cluster.now < end {
            for stream in streams {
                for _ in 0..stream.jobs {
                    self.submit_job(stream.queue, vec![step(16)]);
                }
            }
            self.advance(WAVE);
        }
    }

    fn submit_job(&mut self, queue: &'static str, steps: Vec<StepRequest>) {
        let id = self.next_id;
        self.next_id += 1;
        match self.judge(queue, &steps, id) {
            AdmissionVerdict::Admit => {
                let id = self.cluster.submit_to(queue, id, steps);
                self.admitted.push((queue, id));
            }
            AdmissionVerdict::Reject(overload) => {
                self.rejected.push((queue, overload.retry_after));
            }
        }
    }

    fn judge(&self, queue: &str, steps: &[StepRequest], id: u64) -> AdmissionVerdict {
        let job = self.cluster.request(queue, steps.to_vec());
        let random = (id * 37 % 100) as f64 / 100.0;
        let policy = Self::policy(queue);
        self.table.judge(self.cluster.now, &job, &policy, random)
    }

    /// Advances the time, and passes the forecasts to the node.
    fn advance(&mut self, span: Duration) {
        let end = self.cluster.now + span;
        while self.cluster.now < end {
            self.cluster.advance(crate::fixture::STEP);
            if let Some(forecast) = self.cluster.planner.take_forecast() {
                self.table.replace(Arc::new(forecast), self.cluster.now);
            }
        }
    }

    fn wait_of(&self, queue: &str) -> Option<QueueWait> {
        let queue = QueueName::from(queue);
        self.table.queue_wait(self.cluster.now, &queue).cloned()
    }

    fn rejections(&self, queue: &str) -> usize {
        let rejected = self.rejected.iter();
        rejected.filter(|(name, _)| *name == queue).count()
    }

    /// Returns the numbers of admitted jobs of a queue that ended of use to their clients, and of all
    /// that ended.
    fn useful(&self, queue: &str) -> (usize, usize) {
        let ids = self.admitted.iter().filter(|(name, _)| *name == queue);
        let ids: Vec<JobId> = ids.map(|(_, id)| *id).collect();
        let ended = self.cluster.events.iter().filter_map(|event| match event {
            PlannerEvent::JobEnded(summary) if ids.contains(&summary.job) => Some(summary),
            _ => None,
        });
        let is_useful = |allowed: Option<Duration>, age| allowed.is_some_and(|one| age <= one * 3);
        let useful = ended
            .clone()
            .filter(|one| is_useful(one.allowed, one.age))
            .count();
        (useful, ended.count())
    }
}

fn urgent(jobs: u64) -> Stream {
    let queue = URGENT_QUEUE;
    Stream { queue, jobs }
}

fn background(jobs: u64) -> Stream {
    let queue = BACKGROUND_QUEUE;
    Stream { queue, jobs }
}

/// Load: capacity for all jobs. Four workers run 64 tasks a second, and 48 arrive.
#[test]
fn load_below_the_capacity_is_never_rejected() {
    let mut clients = Clients::of_workers(4);
    for _ in 0..20 {
        clients.submit(Duration::from_secs(1), &[background(0)]);
        for _ in 0..3 {
            clients.submit_job(URGENT_QUEUE, vec![step(16)]);
        }
        assert_eq!(clients.wait_of(BACKGROUND_QUEUE), None);
    }
    assert_eq!(clients.rejected, []);
}

/// Load: a burst of one queue, four times what the workers can do, for two seconds. It is over before
/// a new job would be of no use, so nothing is rejected.
#[test]
fn short_burst_is_not_rejected() {
    let mut clients = Clients::of_workers(4);
    clients.submit(Duration::from_secs(2), &[urgent(4)]);
    clients.submit(Duration::from_secs(10), &[urgent(0)]);
    assert_eq!(clients.rejected, []);
    let (useful, ended) = clients.useful(URGENT_QUEUE);
    assert_eq!((useful, ended), (32, 32));
}

/// Load: a lasting overload of four times what the workers can do. Jobs that would start after the end
/// of their late period are rejected, and the forecast is of the size of the real wait.
#[test]
fn lasting_overload_is_rejected_to_what_can_be_served() {
    let mut clients = Clients::of_workers(4);
    clients.submit(Duration::from_secs(30), &[urgent(4)]);
    let rejected = clients.rejections(URGENT_QUEUE);
    assert!(rejected > 100, "{rejected} rejected");
    let (_, ended) = clients.useful(URGENT_QUEUE);
    // 64 tasks a second make four jobs.
    assert!(ended >= 100, "{ended} ended");
    let delays = clients.rejected.iter().map(|(_, delay)| delay.as_secs());
    let mut delays: Vec<u64> = delays.collect();
    delays.sort_unstable();
    delays.dedup();
    assert!(delays.len() > 2, "{delays:?}");
}

/// Load: a step of more tasks than may be started at a time, ahead of a job like it.
#[test]
fn wide_step_delays_the_jobs_behind_it() {
    let mut clients = Clients::of_workers(4);
    clients.submit_job(BACKGROUND_QUEUE, vec![step(2_000)]);
    clients.advance(Duration::from_secs(3));
    // 64 tasks a second.
    let late = clients.wait_of(BACKGROUND_QUEUE).unwrap().late.as_secs();
    assert!((20..40).contains(&late), "{late}");
}

/// Load: a lasting overload of a low priority beside calm urgent work, which is never rejected for it.
#[test]
fn calm_urgent_work_is_not_rejected_for_an_overload_of_lower_priority() {
    let mut clients = Clients::of_workers(4);
    let streams = [urgent(0), background(4)];
    for _ in 0..30 {
        clients.submit_job(URGENT_QUEUE, vec![step(16)]);
        clients.submit(Duration::from_secs(1), &streams);
    }
    assert_eq!(clients.rejections(URGENT_QUEUE), 0);
    assert!(clients.rejections(BACKGROUND_QUEUE) > 50);
}

/// Load: half of the workers are lost in an overload. The capacity that is lost is taken out of the
/// forecast before the rate of the last seconds shows it.
#[test]
fn lost_workers_lengthen_the_forecast() {
    let mut clients = Clients::of_workers(4);
    clients.submit(Duration::from_secs(2), &[background(4)]);
    clients.advance(Duration::from_millis(1_300));
    let before = clients.wait_of(BACKGROUND_QUEUE).unwrap().late;
    for number in [0, 1] {
        clients.cluster.remove_worker(&worker(number));
    }
    clients.advance(Duration::from_millis(300));
    let after = clients.wait_of(BACKGROUND_QUEUE).unwrap().late;
    assert!(
        after.as_secs_f64() > before.as_secs_f64() * 1.3,
        "{before:?} {after:?}"
    );
}

/// Load: an overload with a takeover. The new leader knows no rate, so that nothing is rejected.
#[test]
fn new_leader_has_no_forecast() {
    let mut clients = Clients::of_workers(4);
    clients.submit(Duration::from_secs(12), &[urgent(4)]);
    assert!(clients.wait_of(URGENT_QUEUE).is_some());
    clients.cluster.replace_planner();
    clients.advance(Duration::from_millis(1_100));
    assert_eq!(clients.wait_of(URGENT_QUEUE), None);
    let rejected = clients.rejected.len();
    clients.submit(Duration::from_secs(1), &[urgent(1)]);
    assert_eq!(clients.rejected.len(), rejected);
}

/// Load: an overload while the store doesn't answer. Starts wait for the store, and tell nothing about
/// the workers.
#[test]
fn silent_store_ends_the_forecast() {
    let mut clients = Clients::of_workers(4);
    clients.submit(Duration::from_secs(12), &[urgent(4)]);
    assert!(clients.wait_of(URGENT_QUEUE).is_some());
    clients.cluster.is_store_up = false;
    clients.advance(Duration::from_millis(1_700));
    assert_eq!(clients.wait_of(URGENT_QUEUE), None);
}

/// Load: a task that fits no worker, beside work for which there is room. Its wait says nothing about
/// that of a new job.
#[test]
fn task_that_fits_no_worker_rejects_no_other() {
    let mut clients = Clients::of_workers(4);
    let unplaceable = StepRequest {
        required_label: Some("none".into()),
        estimate: Duration::from_mins(5),
        ..step(64)
    };
    clients.submit_job(URGENT_QUEUE, vec![unplaceable]);
    clients.submit(
        Duration::from_secs(20),
        &[Stream {
            queue: URGENT_QUEUE,
            jobs: 0,
        }],
    );
    for _ in 0..20 {
        clients.submit_job(URGENT_QUEUE, vec![step(16)]);
        clients.submit(Duration::from_secs(1), &[urgent(0)]);
    }
    assert_eq!(clients.rejected, []);
}

/// Load: an overload that ends. The forecast ends with the backlog, and clients that return are
/// admitted.
#[test]
fn clients_that_return_after_an_overload_are_admitted() {
    let mut clients = Clients::of_workers(4);
    clients.submit(Duration::from_secs(20), &[urgent(4)]);
    let longest = clients.rejected.iter().map(|(_, delay)| *delay).max();
    let before = clients.rejected.len();
    clients.advance(longest.unwrap() + Duration::from_secs(10));
    for _ in 0..4 {
        clients.submit_job(URGENT_QUEUE, vec![step(16)]);
    }
    assert_eq!(clients.rejected.len(), before);
}

/// Guards against forecasts that cost a planner without waiting tasks, or one with many, too much.
#[test]
fn forecasts_look_at_waiting_jobs_four_times_a_second_at_most() {
    let mut clients = Clients::of_workers(4);
    clients.submit(Duration::from_secs(5), &[urgent(0)]);
    assert_eq!(clients.cluster.planner.work().forecast_jobs, 0);
    for _ in 0..100 {
        clients.submit_job(URGENT_QUEUE, vec![step(16)]);
    }
    clients.advance(Duration::from_secs(2));
    let jobs = clients.cluster.planner.work().forecast_jobs;
    assert!((100..=900).contains(&jobs), "{jobs}");
}
