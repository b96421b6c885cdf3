//! Stores clients' jobs, with one append for all jobs that wait.

use std::time::Duration;

use geraniumshed_core::intake::StoreVerdict;
use geraniumshed_core::job::JobId;
use geraniumshed_model::prelude::LogOffset;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::clock::NodeClock;
use crate::store::{AppendCondition, KeyedRecord, ResponseTime, StoreClient, StoreError};
use crate::store_health::HealthMonitor;
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
    health: HealthMonitor,
}

impl RequestWriter {
    /// Spawns the task that appends queued jobs.
    pub(crate) fn spawn<S: StoreClient>(
        store: S,
        clock: NodeClock,
        metrics: NodeMetrics,
        health: HealthMonitor,
    ) -> Self {
        let (sender, jobs) = mpsc::unbounded_channel();
        let monitor = StoreMonitor::new(clock);
        let task = WriterTask {
            store,
            metrics,
            monitor: monitor.clone(),
            health: health.clone(),
            watch: DependencyWatch::new("store, for requests"),
            response_time: ResponseTime::default(),
            queue: JobQueue {
                jobs,
                waiting: Vec::new(),
            },
        };
        tokio::spawn(task.run());
        Self {
            sender,
            monitor,
            health,
        }
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
        // A store that refuses calls is asked nevertheless: it may serve this node by now, and what it
        // refuses is certainly not stored.
        if self.health.verdict() == StoreVerdict::Silent {
            return Err(StoreError::Refused);
        }
        if self.sender.send(WaitingJob { record, done }).is_err() {
            return Err(StoreError::Refused);
        }
        result.await.unwrap_or(Err(StoreError::Unanswered))
    }
}

/// The jobs that no append has been sent for yet.
#[derive(Debug)]
struct JobQueue {
    jobs: mpsc::UnboundedReceiver<WaitingJob>,
    /// The jobs that were taken out of the channel, in reverse order.
    waiting: Vec<WaitingJob>,
}

impl JobQueue {
    /// Waits for jobs, and returns those of the next append; returns nothing once all senders are dropped.
    async fn next_batch(&mut self) -> Option<Vec<WaitingJob>> {
        loop {
            if self.waiting.is_empty() {
                let count = self.jobs.recv_many(&mut self.waiting, MAX_BATCH_JOBS).await;
                if count == 0 {
                    return None;
                }
                self.waiting.reverse();
            }
            // A caller that no longer waits may have stored its job through another node.
            self.waiting.retain(|job| !job.done.is_closed());
            let batch = take_batch(&mut self.waiting);
            if !batch.is_empty() {
                return Some(batch);
            }
        }
    }

    /// Refuses all jobs, none of which has been sent.
    fn refuse_all(&mut self) {
        let waiting = std::mem::take(&mut self.waiting);
        let queued = std::iter::from_fn(|| self.jobs.try_recv().ok());
        let jobs: Vec<WaitingJob> = waiting.into_iter().chain(queued).collect();
        if !jobs.is_empty() {
            log::info!(jobs = jobs.len(); "jobs that were not sent to the store are refused");
            finish(jobs, &Err(StoreError::Refused));
        }
    }
}

/// Takes jobs off the end that the store accepts in one append.
fn take_batch(waiting: &mut Vec<WaitingJob>) -> Vec<WaitingJob> {
    let mut batch = Vec::new();
    let mut size = 0;
    while let Some(job) = waiting.pop() {
        size += job.record.value.len();
        if size > MAX_BATCH_BYTES && !batch.is_empty() {
            waiting.push(job);
            break;
        }
        batch.push(job);
    }
    batch
}

/// Tells the callers of jobs how storing them ended.
fn finish(jobs: Vec<WaitingJob>, result: &Result<(), StoreError>) {
    for job in jobs {
        if job.done.send(result.clone()).is_err() {
            log::debug!("a client disconnected before its job was stored");
        }
    }
}

/// The async task that appends queued jobs.
#[derive(Debug)]
struct WriterTask<S> {
    store: S,
    metrics: NodeMetrics,
    monitor: StoreMonitor,
    health: HealthMonitor,
    watch: DependencyWatch,
    response_time: ResponseTime,
    queue: JobQueue,
}

impl<S: StoreClient> WriterTask<S> {
    /// Appends queued jobs until all senders are dropped.
    async fn run(mut self) {
        while let Some(batch) = self.queue.next_batch().await {
            self.health.confirm(&self.store).await;
            if self.health.verdict() == StoreVerdict::Silent {
                finish(batch, &Err(StoreError::Refused));
                self.queue.refuse_all();
                continue;
            }
            let records = batch.iter().map(|job| job.record.clone()).collect();
            let result = self.append(records).await.map(|_| ());
            finish(batch, &result);
        }
    }

    /// Appends records, and refuses the jobs that wait meanwhile if there is an outage.
    async fn append(&mut self, records: Vec<KeyedRecord>) -> Result<LogOffset, StoreError> {
        let started = Instant::now();
        self.monitor.append_sent();
        let timeout = self.response_time.timeout().max(MIN_APPEND_TIMEOUT);
        let (store, health) = (self.store.clone(), self.health.clone());
        let appending = store.append(REQUESTS, records, AppendCondition::None, timeout);
        let appending = health.observe_append(appending);
        let appended = await_append(appending, &health, &mut self.queue).await;
        self.response_time.record_call(&appended, started.elapsed());
        self.metrics.record_append(&appended, started.elapsed());
        self.monitor.append_answered(appended.is_ok());
        self.watch.record_call(&appended);
        appended
    }
}

/// Waits for the answer to an append, and refuses the jobs that wait behind it as soon as an outage is known.
async fn await_append(
    appending: impl Future<Output = Result<LogOffset, StoreError>>,
    health: &HealthMonitor,
    queue: &mut JobQueue,
) -> Result<LogOffset, StoreError> {
    tokio::pin!(appending);
    let mut verdicts = health.subscribe();
    loop {
        let is_outage = verdicts.borrow_and_update().is_outage();
        if is_outage {
            queue.refuse_all();
        }
        tokio::select! {
            appended = &mut appending => return appended,
            // A job may have been queued just before the verdict changed.
            Some(job) = queue.jobs.recv(), if is_outage => {
                finish(vec![job], &Err(StoreError::Refused));
            }
            // The monitor lives as long as this task.
            _ = verdicts.changed() => {}
        }
    }
}
