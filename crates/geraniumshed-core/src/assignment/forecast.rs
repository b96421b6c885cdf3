//! The forecast of how long a new job of each queue would wait for a worker.
//!
//! It is derived from what the planner holds in memory, so a new planner begins without a forecast.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use geraniumshed_model::prelude::{TimePoint, whole_millis};

use super::action::PlannerTime;
use super::backlog_walk::{BacklogWalk, WaitingQueue};
use super::planner::JobPlanner;
use super::start_history::{ServiceLevel, StartHistory, StartedTasks};
use super::step_placement::StartableStep;
use crate::job::{JobEntry, QueueName, ServiceName};

/// The least interval between two forecasts.
const FORECAST_INTERVAL: Duration = Duration::from_millis(250);
/// The number of queues that a forecast tells about: those with the longest waits.
pub const MAX_FORECAST_QUEUES: usize = 32;
/// The longest name of a queue that a forecast tells about, in bytes, which bounds its size.
const MAX_QUEUE_NAME_BYTES: usize = 64;
/// The time after a takeover without a forecast. Until then, workers aren't adopted yet, or are
/// called for the first time.
const TAKEOVER_REST: Duration = Duration::from_secs(3);
/// The time without an answer of the store after which there is no forecast: fewer placements are
/// stored than the workers could start.
const STORE_SILENCE: Duration = Duration::from_millis(500);
/// The longest wait that a forecast tells. Longer ones make no difference to any client.
const MAX_WAIT: Duration = Duration::from_hours(1);

/// How long a new job of a queue would wait for a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueWait {
    /// The queue.
    pub queue: QueueName,
    /// The wait behind the steps that rank ahead of the job while it can be in time.
    pub in_time: Duration,
    /// The wait behind those that rank ahead of it once it is late.
    pub late: Duration,
}

/// How long new jobs would wait, for the queues with waiting tasks. Without an entry, nothing is
/// known, and the job may start at once.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WaitForecast {
    /// The waits, the longest first.
    pub queues: Vec<QueueWait>,
}

/// What the planner records for the forecast.
#[derive(Debug, Default)]
pub(super) struct ForecastRecord {
    /// The levels with steps that found no worker in the present placement pass.
    blocked_now: BTreeSet<ServiceLevel>,
    /// The levels of which some step found no worker in each pass since a time.
    blocked_since: BTreeMap<ServiceLevel, TimePoint>,
    history: StartHistory,
    /// When the planner began to place tasks.
    began_at: Option<TimePoint>,
    next_at: TimePoint,
    /// The newest forecast, until it is taken.
    due: Option<WaitForecast>,
    /// Whether the newest forecast tells about any queue.
    has_queues: bool,
}

impl ForecastRecord {
    /// Forgets what was observed, since it no longer shows what the workers can do.
    fn interrupt(&mut self) {
        self.blocked_now.clear();
        self.blocked_since.clear();
        self.history.clear();
        self.publish(WaitForecast::default());
    }

    /// Updates since when each level waits for workers.
    fn finish_pass(&mut self, now: TimePoint) {
        let blocked = std::mem::take(&mut self.blocked_now);
        self.blocked_since
            .retain(|level, _| blocked.contains(level));
        for level in blocked {
            self.blocked_since.entry(level).or_insert(now);
        }
    }

    /// Makes a forecast due. One that tells about no queue is due once.
    fn publish(&mut self, forecast: WaitForecast) {
        let has_queues = !forecast.queues.is_empty();
        if has_queues || self.has_queues {
            self.due = Some(forecast);
        }
        self.has_queues = has_queues;
    }

    /// Returns how long a new job of a queue would wait, if that is certain enough.
    fn queue_wait(
        &self,
        now: PlannerTime,
        name: &QueueName,
        waiting: &WaitingQueue,
        backlog: &BacklogWalk,
    ) -> Option<QueueWait> {
        let level = &waiting.level;
        let since = *self.blocked_since.get(level)?;
        if self.history.starts_at_once(name, since) {
            return None;
        }
        let ahead = backlog.more_urgent(level);
        let mut levels = ahead.levels;
        levels.push(level.clone());
        let rate = self
            .history
            .rate(&levels, &level.service, since, now.point)?;
        let own = backlog.own_work(level, waiting.latest_start_of_new_job(now.unix_ms));
        // Late jobs get what those that come and can be in time leave to them.
        let late_fraction = self.history.late_fraction(level, since, now.point);
        let late_rate = rate * late_fraction.unwrap_or(1.0);
        let before_late = wait(ahead.work + own.in_time, rate);
        let late = before_late + wait(own.late, late_rate);
        Some(QueueWait {
            queue: name.clone(),
            in_time: wait(ahead.work + own.sooner, rate),
            late: late.min(MAX_WAIT),
        })
    }
}

impl JobPlanner {
    /// Takes the newest forecast of waits, if there is one that wasn't taken yet.
    pub fn take_forecast(&mut self) -> Option<WaitForecast> {
        self.forecast.due.take()
    }

    /// Records the placement of a step's startable tasks for the forecast.
    pub(super) fn observe_placement(
        &mut self,
        now: PlannerTime,
        startable: &StartableStep<'_>,
        placed: usize,
    ) {
        let StartableStep { step, policy, .. } = startable;
        if step.is_long_running {
            return;
        }
        let level = ServiceLevel {
            service: policy.service.clone(),
            priority: policy.priority,
        };
        if placed < startable.keys.len() {
            self.forecast.blocked_now.insert(level.clone());
        }
        let Some(job) = self.jobs.get(&startable.ready.job) else {
            return;
        };
        if placed == 0 {
            return;
        }
        let due_unix_ms = job.due_unix_ms(startable.ready.occurrence);
        let wait = Duration::from_millis(now.unix_ms.saturating_sub(due_unix_ms));
        self.forecast.history.record(StartedTasks {
            level,
            queue: &job.request.queue,
            count: placed,
            work: step.task_work() * placed as f64,
            is_late: startable.ready.rank.latest_start_unix_ms < now.unix_ms,
            first_wait: step.after.is_empty().then_some(wait),
        });
    }

    /// Makes a forecast after a placement pass, if one is due.
    pub(super) fn update_forecast(&mut self, now: PlannerTime, has_no_starts_left: bool) {
        let began_at = *self.forecast.began_at.get_or_insert(now.point);
        let is_new = now.point.since(began_at) < TAKEOVER_REST;
        // Starts that wait for answers, or for the store, don't show what the workers can do.
        if is_new
            || has_no_starts_left
            || self.order_permit.is_store_silent(now.point, STORE_SILENCE)
        {
            self.forecast.interrupt();
            return;
        }
        self.forecast.finish_pass(now.point);
        if self.forecast.blocked_since.is_empty() {
            self.forecast.interrupt();
            return;
        }
        if self.forecast.next_at > now.point {
            return;
        }
        self.forecast.next_at = now.point + FORECAST_INTERVAL;
        let capacity = self.blocked_capacity();
        self.forecast.history.begin_sample(now.point, capacity);
        let forecast = self.forecast_waits(now);
        self.forecast.publish(forecast);
    }

    /// Returns the processors of the workers that take tasks, by service with waiting tasks.
    fn blocked_capacity(&self) -> BTreeMap<ServiceName, f64> {
        let levels = self.forecast.blocked_since.keys();
        let services: BTreeSet<&ServiceName> = levels.map(|level| &level.service).collect();
        let services = services.into_iter();
        services
            .map(|service| (service.clone(), self.worker_index.open_processors(service)))
            .collect()
    }

    fn forecast_waits(&mut self, now: PlannerTime) -> WaitForecast {
        let mut backlog = BacklogWalk::default();
        let jobs = self.jobs_to_place.iter();
        for job in jobs.filter_map(|id| self.jobs.get(id)) {
            if let Some(policy) = self.queues.policy(&job.request.queue) {
                backlog.add_job(job, policy, now);
            }
        }
        self.work.forecast_jobs += self.jobs_to_place.len() as u64;
        backlog.finish();
        let waits = backlog
            .queues()
            .filter(|(name, _)| name.0.len() <= MAX_QUEUE_NAME_BYTES)
            .filter_map(|(name, waiting)| self.forecast.queue_wait(now, name, waiting, &backlog));
        let mut queues: Vec<QueueWait> = waits.collect();
        queues.sort_by_key(|one| Reverse(one.late));
        queues.truncate(MAX_FORECAST_QUEUES);
        WaitForecast { queues }
    }
}

/// Returns how long work takes at a rate.
fn wait(work: f64, rate: f64) -> Duration {
    if work <= 0.0 {
        return Duration::ZERO;
    }
    let wait = Duration::try_from_secs_f64(work / rate);
    wait.unwrap_or(MAX_WAIT).min(MAX_WAIT)
}

/// Returns the end of an occurrence's late period, after which its result is of no use, in
/// milliseconds of Unix time.
pub(super) fn useless_unix_ms(job: &JobEntry, occurrence: u32, allowed: Duration) -> u64 {
    let usable = allowed.saturating_mul(crate::job::USABLE_FACTOR);
    job.due_unix_ms(occurrence)
        .saturating_add(whole_millis(usable))
}
