//! The newest forecast that a node knows, and the newest that it has made as the leader.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use geraniumshed_core::assignment::WaitForecast;
use geraniumshed_core::intake::{AdmissionTable, AdmissionVerdict};
use geraniumshed_core::job::{JobRequest, QueuePolicy};
use geraniumshed_model::prelude::TimePoint;
use tokio::sync::watch;
use tokio::time::timeout;

/// A forecast that this node has made as the leader.
#[derive(Debug, Clone, Default)]
pub(super) struct PublishedForecast {
    /// The number of the forecast in this process, or 0 before the first.
    pub(super) number: u64,
    /// When it was made.
    pub(super) made_at: TimePoint,
    pub(super) forecast: Arc<WaitForecast>,
}

/// The forecasts that a node knows. Clones share them.
#[derive(Debug, Clone, Default)]
pub(crate) struct ForecastBoard {
    table: Arc<Mutex<AdmissionTable>>,
    published: Arc<watch::Sender<PublishedForecast>>,
}

impl ForecastBoard {
    /// Publishes a forecast that this node has made as the leader.
    pub(crate) fn publish(&self, now: TimePoint, forecast: WaitForecast) {
        let forecast = Arc::new(forecast);
        self.receive(now, Arc::clone(&forecast));
        self.published.send_modify(|published| {
            *published = PublishedForecast {
                number: published.number + 1,
                made_at: now,
                forecast,
            };
        });
    }

    /// Records the forecast of the leader, which was made at the given time or later.
    pub(super) fn receive(&self, made_at: TimePoint, forecast: Arc<WaitForecast>) {
        self.lock().replace(forecast, made_at);
    }

    /// Returns the newest published forecast once it is another one than the given number, or when
    /// the time is over.
    pub(super) async fn next(&self, known: u64, hold: Duration) -> PublishedForecast {
        let mut receiver = self.published.subscribe();
        let is_other = |published: &PublishedForecast| published.number != known;
        if let Ok(Ok(published)) = timeout(hold, receiver.wait_for(is_other)).await {
            return published.clone();
        }
        self.published.borrow().clone()
    }

    /// Returns the forecast wait of a job's queue, if it is known and recent.
    pub(crate) fn queue_wait(&self, now: TimePoint, job: &JobRequest) -> Option<Duration> {
        let table = self.lock();
        table.queue_wait(now, &job.queue).map(|wait| wait.late)
    }

    /// Judges a new job.
    pub(crate) fn judge(
        &self,
        now: TimePoint,
        job: &JobRequest,
        policy: &QueuePolicy,
    ) -> AdmissionVerdict {
        self.lock().judge(now, job, policy, rand::random())
    }

    fn lock(&self) -> MutexGuard<'_, AdmissionTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
