//! Whether a new job can still be of use to its client.
//!
//! A job in a lasting overload that would start only after the end of its late period takes capacity
//! from jobs that could be in time. Its client is better served by a rejection on arrival.

use std::sync::Arc;
use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;

use crate::assignment::{QueueWait, WaitForecast};
use crate::job::{JobRequest, QueueName, QueuePolicy, USABLE_FACTOR, chains_from};

/// The age from which on a forecast isn't used. The leader renews it four times a second while tasks
/// wait.
const MAX_FORECAST_AGE: Duration = Duration::from_secs(1);
/// The factor by which the wait may be shorter than forecast. Clients' estimates are off by up to a
/// factor of two, in the work ahead as in the rate at which it is started, so that a common error
/// cancels out.
const FORECAST_MARGIN: f64 = 1.5;
/// The factor by which the estimate of the job itself may be too long.
const ESTIMATE_MARGIN: u32 = 2;
/// The shortest wait that leads to a rejection. `Retry-After` counts whole seconds, and a single value
/// would bring all clients back at once.
const MIN_REJECTED_WAIT: Duration = Duration::from_secs(2);
/// The longest delay that clients are told, in seconds. Loads change within less.
const MAX_RETRY_SECONDS: u64 = 30;

/// A job that would be of no use to its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobOverload {
    /// The delay in whole seconds after which a return pays.
    pub retry_after: Duration,
    /// How long the job would wait for a worker.
    pub wait: Duration,
    /// The age of the forecast.
    pub forecast_age: Duration,
    /// The time up to which the job would be in time.
    pub allowed: Duration,
}

/// Whether a job is admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionVerdict {
    /// It is.
    Admit,
    /// The job would be of no use to its client.
    Reject(JobOverload),
}

/// The newest forecast that a node knows.
#[derive(Debug, Clone, Default)]
pub struct AdmissionTable {
    forecast: Arc<WaitForecast>,
    made_at: TimePoint,
}

impl AdmissionTable {
    /// Replaces the forecast by one that was made at a time or later.
    pub fn replace(&mut self, forecast: Arc<WaitForecast>, made_at: TimePoint) {
        self.forecast = forecast;
        self.made_at = made_at;
    }

    /// Returns how long a new job of a queue would wait, if that is known.
    pub fn queue_wait(&self, now: TimePoint, queue: &QueueName) -> Option<&QueueWait> {
        if now.since(self.made_at) > MAX_FORECAST_AGE {
            return None;
        }
        self.forecast.queues.iter().find(|one| one.queue == *queue)
    }

    /// Judges a new job. The random number from 0 to 1 spreads the returns of rejected clients.
    pub fn judge(
        &self,
        now: TimePoint,
        job: &JobRequest,
        policy: &QueuePolicy,
        random: f64,
    ) -> AdmissionVerdict {
        let Some(forecast) = self.queue_wait(now, &job.queue) else {
            return AdmissionVerdict::Admit;
        };
        if job.repeat.is_some() || job.steps.iter().any(|step| step.is_long_running) {
            return AdmissionVerdict::Admit;
        }
        let chain = chains_from(&job.steps).into_iter().max();
        let chain = chain.unwrap_or_default();
        let allowed = policy.allowed_time(chain);
        let slack = allowed.saturating_sub(chain);
        let wait = job_wait(forecast, slack);
        let soonest_end = wait.div_f64(FORECAST_MARGIN) + chain / ESTIMATE_MARGIN;
        let is_of_use = soonest_end <= allowed.saturating_mul(USABLE_FACTOR);
        if is_of_use || wait < MIN_REJECTED_WAIT {
            return AdmissionVerdict::Admit;
        }
        AdmissionVerdict::Reject(JobOverload {
            retry_after: retry_delay(wait, slack, random),
            wait,
            forecast_age: now.since(self.made_at),
            allowed,
        })
    }
}

/// Returns how long a job would wait: it loses its rank once its slack is used up.
fn job_wait(forecast: &QueueWait, slack: Duration) -> Duration {
    if forecast.in_time.div_f64(FORECAST_MARGIN) <= slack {
        forecast.in_time
    } else {
        forecast.late
    }
}

/// Returns a delay between the half and the whole of the time after which the wait has fallen to the
/// job's slack, in whole seconds.
fn retry_delay(wait: Duration, slack: Duration, random: f64) -> Duration {
    let excess = wait.saturating_sub(slack).as_secs();
    let longest = excess.clamp(2, MAX_RETRY_SECONDS).min(wait.as_secs());
    let shortest = longest.div_ceil(2);
    let values = longest - shortest + 1;
    Duration::from_secs(shortest + spread_index(values, random))
}

/// Returns an index below a count that a random number from 0 to 1 chooses.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "the count is at most MAX_RETRY_SECONDS, and the index is cut to it"
)]
fn spread_index(count: u64, random: f64) -> u64 {
    let index = (random.clamp(0.0, 1.0) * count as f64) as u64;
    index.min(count.saturating_sub(1))
}
