//! Stores clients' jobs, all that wait together in one append.

use std::time::Duration;

use geraniumshed_core::job::JobId;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::clock::NodeClock;
use crate::pace::StorePace;
use crate::store::{AnswerTime, AppendCondition, KeyedRecord, StoreClient, StoreError};
use crate::telemetry::{DependencyWatch, NodeMetrics};
use crate::topic::{REQUESTS, job_key};
use crate::wire::{JobRequestWire, encode};

/// The jobs that one append stores at most.
const APPEND_JOBS: usize = 200;

/// The shortest time after which an append counts as lost. Meanwhile, jobs are stored by way of
/// other nodes, so that a repeat would only add to the load of a slow store.
const SHORTEST_LIMIT: Duration = Duration::from_millis(1500);

/// A job that waits to be stored.
#[derive(Debug)]
struct WaitingJob {
    record: KeyedRecord,
    done: oneshot::Sender<Result<(), StoreError>>,
}

/// Stores clients' jobs; its clones share one queue.
///
/// One append is on its way at a time, so that a slow store gets few large appends instead of many
/// small ones.
#[derive(Debug, Clone)]
pub(crate) struct RequestWriter {
    sender: mpsc::UnboundedSender<WaitingJob>,
    pace: StorePace,
}

impl RequestWriter {
    /// Spawns a writer.
    pub(crate) fn spawn<S: StoreClient>(store: S, clock: NodeClock, metrics: NodeMetrics) -> Self {
        let (sender, jobs) = mpsc::unbounded_channel();
        let pace = StorePace::open(clock);
        tokio::spawn(write(store, metrics, pace.clone(), jobs));
        Self { sender, pace }
    }

    /// Returns how long the store takes for this node's jobs.
    pub(crate) fn pace(&self) -> &StorePace {
        &self.pace
    }

    /// Stores a job.
    ///
    /// # Errors
    ///
    /// Returns why the job isn't stored, or that this isn't known.
    pub(crate) async fn store(&self, id: JobId, body: &JobRequestWire) -> Result<(), StoreError> {
        let (done, result) = oneshot::channel();
        let record = KeyedRecord {
            key: job_key(id),
            value: encode(body),
        };
        if self.sender.send(WaitingJob { record, done }).is_err() {
            return Err(StoreError::Refused);
        }
        result.await.unwrap_or(Err(StoreError::Unanswered))
    }
}

async fn write<S: StoreClient>(
    store: S,
    metrics: NodeMetrics,
    pace: StorePace,
    mut jobs: mpsc::UnboundedReceiver<WaitingJob>,
) {
    let mut watch = DependencyWatch::new("store, for requests");
    let mut answer_time = AnswerTime::default();
    let mut waiting = Vec::new();
    while jobs.recv_many(&mut waiting, APPEND_JOBS).await > 0 {
        // A client that has gone may have been answered by way of another node.
        waiting.retain(|job: &WaitingJob| !job.done.is_closed());
        if waiting.is_empty() {
            continue;
        }
        let records = waiting.iter().map(|job| job.record.clone()).collect();
        let started = Instant::now();
        pace.sent();
        let limit = answer_time.limit().max(SHORTEST_LIMIT);
        let appended = store
            .append(REQUESTS, records, AppendCondition::None, limit)
            .await;
        answer_time.learn(&appended, started.elapsed());
        metrics.appended(&appended, started.elapsed());
        pace.answered(appended.is_ok());
        watch.saw(&appended);
        let result = appended.map(|_| ());
        for job in waiting.drain(..) {
            if job.done.send(result.clone()).is_err() {
                log::debug!("a client went before its job was stored");
            }
        }
    }
}
