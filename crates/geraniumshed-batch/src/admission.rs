//! Admission of new jobs by the leader's forecast of waits.

use std::time::Duration;

use geraniumshed_core::intake::{AdmissionVerdict, JobOverload};
use geraniumshed_core::job::{JobId, JobRequest, QueuePolicy};
use geraniumshed_model::prelude::whole_millis;
use tokio::time::{Instant, sleep};

use crate::service::{ANSWER_MARGIN, CallOutcome, JobService};
use crate::site::{SiteFeed, WorkerCaller};
use crate::store::StoreClient;
use crate::telemetry::AdmissionName;
use crate::wire::JobCallWire;

/// The time within which the leader has to tell that it doesn't know a job before it is rejected.
const KNOWN_TIMEOUT: Duration = Duration::from_millis(200);
/// The part of that time in which the leader reads a job that another node has just stored. It reads
/// every 15 ms while jobs arrive.
const READ_DELAY: Duration = Duration::from_millis(60);

impl<S: StoreClient, F: SiteFeed, W: WorkerCaller> JobService<S, F, W> {
    /// Returns the delay after which a client should return whose job would be of no use now, or
    /// `None` if the job is admitted. A rejected job is certainly not stored.
    pub(crate) async fn reject(&self, id: JobId, job: &JobRequest) -> Option<Duration> {
        let now = self.shared.clock().now();
        let wait = self.shared.context.forecasts.queue_wait(now, job)?;
        let policy = self.queue_policy(job)?;
        let verdict = self.shared.context.forecasts.judge(now, job, &policy);
        let name = match verdict {
            AdmissionVerdict::Admit => AdmissionName::Admitted,
            AdmissionVerdict::Reject(_) => self.unknown_to_leader(id).await,
        };
        self.metrics().record_admission(policy.priority, name, wait);
        match verdict {
            AdmissionVerdict::Reject(overload) if name == AdmissionName::Rejected => {
                log_rejection(id, job, &overload);
                Some(overload.retry_after)
            }
            AdmissionVerdict::Reject(_) | AdmissionVerdict::Admit => None,
        }
    }

    /// Asks the leader whether it knows a job that is to be rejected.
    async fn unknown_to_leader(&self, id: JobId) -> AdmissionName {
        let limit = Instant::now() + KNOWN_TIMEOUT;
        sleep(READ_DELAY).await;
        let call = JobCallWire::Status(id.0);
        let answer = tokio::time::timeout_at(limit, self.ask_leader(call, limit + ANSWER_MARGIN));
        match answer.await {
            Ok(CallOutcome::Unknown) => AdmissionName::Rejected,
            Ok(CallOutcome::Status(_)) => AdmissionName::Known,
            Ok(_) | Err(_) => AdmissionName::Unconfirmed,
        }
    }

    /// Returns the policy of a job's queue in the configuration in force.
    fn queue_policy(&self, job: &JobRequest) -> Option<QueuePolicy> {
        let config = self.shared.config.config()?;
        let mut entries = config.routes.iter().map(|(_, entry)| entry);
        let entry = entries.find(|entry| entry.queue == job.queue)?;
        Some(entry.policy.clone())
    }
}

fn log_rejection(id: JobId, job: &JobRequest, overload: &JobOverload) {
    log::info!(
        job:% = id,
        queue:% = job.queue,
        forecast_wait_ms = whole_millis(overload.wait),
        forecast_age_ms = whole_millis(overload.forecast_age),
        allowed_ms = whole_millis(overload.allowed),
        retry_after_s = overload.retry_after.as_secs();
        "job is rejected, since it would start too late to be of use"
    );
}
