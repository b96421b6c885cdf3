//! Stores clients' jobs, with one append for all jobs that wait.

use std::time::Duration;

use geraniumshed_core::job::JobId;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::clock::NodeClock;
use crate::store::{AppendCondition, KeyedRecord, ResponseTime, StoreClient, StoreError};
use crate::store_monitor::StoreMonitor;
use crate::telemetry::{DependencyWatch, NodeMetrics};
use crate::topic::{REQUESTS, job_key};
use crate::wire::{JobRequestWire, encode};

/// The largest number of jobs that one append stores.
const MAX_BATCH_JOBS: usize = 200;

/// The largest size of a job's record, in bytes, with a reserve for its key and lengths. The store rejects
/// records of more than 262,144 bytes, and with them all others of the same append.
const MAX_RECORD_BYTES: usize = 250_000;

/// The size up to which one append stores further jobs, in bytes. The store accepts 2,097,152.
const MAX_BATCH_BYTES: usize = 1_500_000;

/// The shortest time after which an append counts as lost. Until then, jobs are also stored through
/// other nodes, so an earlier retry would only add to the load of a slow store.
const MIN_APPEND_TIMEOUT: Duration = Duration::from_millis(1500);

/// A job that waits to be stored.
#[derive(Debug)]
struct WaitingJob {
    record: KeyedRecord,
    done: oneshot::Sender<Result<(), StoreError>>,
}

/// Stores clients' jobs. Clones share one queue.
///
/// Only one append is in flight at a time, so that a slow store gets few large appends instead of
/// many small ones.
#[derive(Debug, Clone)]
pub(crate) struct RequestWriter {
    sender: mpsc::UnboundedSender<WaitingJob>,
    monitor: StoreMonitor,
}

impl RequestWriter {
    /// Spawns the task that appends queued jobs.
    pub(crate) fn spawn<S: StoreClient>(store: S, clock: NodeClock, metrics: NodeMetrics) -> Self {
        let (sender, jobs) = mpsc::unbounded_channel();
        let monitor = StoreMonitor::new(clock);
        tokio::spawn(write(store, metrics, monitor.clone(), jobs));
        Self { sender, monitor }
    }

    /// Returns the monitor of the appends that store this node's jobs.
    pub(crate) fn monitor(&self) -> &StoreMonitor {
        &self.monitor
    }

    /// Stores a job.
    ///
    /// # Errors
    ///
    /// Returns why the job isn't stored, or [`StoreError::Unanswered`] if it may be stored.
    pub(crate) async fn store(&self, id: JobId, body: &JobRequestWire) -> Result<(), StoreError> {
        let (done, result) = oneshot::channel();
        let record = KeyedRecord {
            key: job_key(id),
            value: encode(body),
        };
        let size = record.value.len();
        if size > MAX_RECORD_BYTES {
            log::warn!(job:% = id, size, limit = MAX_RECORD_BYTES; "job is too large for the store");
            return Err(StoreError::Refused);
        }
        if self.sender.send(WaitingJob { record, done }).is_err() {
            return Err(StoreError::Refused);
        }
        result.await.unwrap_or(Err(StoreError::Unanswered))
    }
}

/// Appends queued jobs until all senders are dropped.
async fn write<S: StoreClient>(
    store: S,
    metrics: NodeMetrics,
    monitor: StoreMonitor,
    mut jobs: mpsc::UnboundedReceiver<WaitingJob>,
) {
    let mut watch = DependencyWatch::new("store, for requests");
    let mut response_time = ResponseTime::default();
    let mut waiting = Vec::new();
    while jobs.recv_many(&mut waiting, MAX_BATCH_JOBS).await > 0 {
        // A caller that no longer waits may have stored its job through another node.
        waiting.retain(|job: &WaitingJob| !job.done.is_closed());
        let batches = split_batches(waiting.drain(..));
        for batch in batches {
            let records = batch.iter().map(|job| job.record.clone()).collect();
            let started = Instant::now();
            monitor.append_sent();
            let timeout = response_time.timeout().max(MIN_APPEND_TIMEOUT);
            let appended = store
                .append(REQUESTS, records, AppendCondition::None, timeout)
                .await;
            response_time.record_call(&appended, started.elapsed());
            metrics.record_append(&appended, started.elapsed());
            monitor.append_answered(appended.is_ok());
            watch.record_call(&appended);
            let result = appended.map(|_| ());
            for job in batch {
                if job.done.send(result.clone()).is_err() {
                    log::debug!("a client disconnected before its job was stored");
                }
            }
        }
    }
}

/// Splits jobs into batches that the store accepts in one append each.
fn split_batches(jobs: impl Iterator<Item = WaitingJob>) -> Vec<Vec<WaitingJob>> {
    let mut batches: Vec<Vec<WaitingJob>> = Vec::new();
    let mut size = 0;
    for job in jobs {
        size += job.record.value.len();
        match batches.last_mut() {
            Some(batch) if size <= MAX_BATCH_BYTES => batch.push(job),
            Some(_) | None => {
                size = job.record.value.len();
                batches.push(vec![job]);
            }
        }
    }
    batches
}
