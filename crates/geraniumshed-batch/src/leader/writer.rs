//! Stores the planner's changes, one batch at a time.

use std::collections::BTreeSet;
use std::time::Duration;

use geraniumshed_core::assignment::{StoreBatch, StoreChange};
use geraniumshed_core::job::JobId;
use geraniumshed_core::leadership::LeaderTerm;
use geraniumshed_model::prelude::LogOffset;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::event::{LeaderEvent, LeaderHandle};
use super::run::LeaderContext;
use super::takeover::PRODUCER;
use crate::store::{
    AppendCondition, KeyedRecord, ResponseTime, StoreClient, StoreError, WriterMark,
};
use crate::store_health::HealthMonitor;
use crate::store_monitor::StoreMonitor;
use crate::telemetry::{DependencyWatch, NodeMetrics};
use crate::topic::{
    INTERFERENCE_KEY, LEASES_KEY, PROGRESS, REQUESTS, TRACKS_KEY, WAITS_KEY, crashes_key, job_key,
    queue_key,
};
use crate::wire::{
    InterferenceWire, JobCrashesWire, LeaseSnapshotWire, QueuePolicyWire, StoredJobWire,
    TrackSnapshotWire, WaitSnapshotWire, encode,
};

/// The timeout for deleting requests.
const DELETE_TIMEOUT: Duration = Duration::from_millis(500);
/// The delay before a deletion of requests that failed is tried again.
const DELETE_RETRY_DELAY: Duration = Duration::from_secs(5);
/// The delay before a refused or unanswered append is retried.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// Stores batches in order until a later leader takes over.
#[derive(Debug)]
pub(super) struct BatchWriter<S> {
    store: S,
    handle: LeaderHandle,
    term: LeaderTerm,
    mark: WriterMark,
    response_time: ResponseTime,
    /// When the batch that the store has not confirmed yet was first sent, for the leader task to
    /// watch.
    unanswered_sender: tokio::sync::watch::Sender<Option<Instant>>,
    monitor: StoreMonitor,
    health: HealthMonitor,
    metrics: NodeMetrics,
    watch: DependencyWatch,
    /// The end of the topic after the last batch that the store has confirmed.
    stored_end: LogOffset,
    /// The jobs that the planner has forgotten and whose requests aren't known to be deleted.
    forgotten: BTreeSet<JobId>,
    /// The earliest time of the next deletion of requests.
    next_deletion: Instant,
    /// The jobs whose requests are deleted and whose progress the next batch deletes.
    deleted: BTreeSet<JobId>,
}

/// When the batch that the store has not confirmed yet was first sent, if there is one.
pub(super) type UnansweredSince = tokio::sync::watch::Receiver<Option<Instant>>;

impl<S: StoreClient> BatchWriter<S> {
    /// Spawns a writer, and returns the sender of its batches and the time of the batch in flight.
    pub(super) fn spawn<F, W>(
        context: &LeaderContext<S, F, W>,
        handle: LeaderHandle,
        term: LeaderTerm,
    ) -> (mpsc::UnboundedSender<StoreBatch>, UnansweredSince) {
        let (sender, batches) = mpsc::unbounded_channel();
        let (unanswered_sender, unanswered_since) = tokio::sync::watch::channel(None);
        let mark = WriterMark {
            producer: PRODUCER,
            epoch: term.0,
            sequence: 0,
        };
        let writer = Self {
            store: context.store.clone(),
            handle,
            term,
            mark,
            response_time: ResponseTime::default(),
            unanswered_sender,
            monitor: context.progress_monitor.clone(),
            health: context.store_health.clone(),
            metrics: context.metrics.clone(),
            watch: DependencyWatch::new("store, for progress"),
            stored_end: LogOffset(0),
            forgotten: BTreeSet::new(),
            next_deletion: Instant::now(),
            deleted: BTreeSet::new(),
        };
        tokio::spawn(writer.run(batches));
        (sender, unanswered_since)
    }

    /// Stores batches until the leader task ends or a later leader has taken over.
    async fn run(mut self, mut batches: mpsc::UnboundedReceiver<StoreBatch>) {
        while let Some(batch) = batches.recv().await {
            let number = batch.number;
            let changes = self.take_forgotten(batch.changes);
            let batch = StoreBatch { number, changes };
            if !self.store_progress(batch).await {
                self.handle.send(LeaderEvent::Deposed);
                break;
            }
            self.handle.send(LeaderEvent::BatchStored(number));
            self.delete_requests().await;
        }
        log::info!(term:% = self.term, stored_end:% = self.stored_end; "storing no more progress in this term");
    }

    /// Takes the jobs that are forgotten out of a batch's changes, and returns the others.
    fn take_forgotten(&mut self, changes: Vec<StoreChange>) -> Vec<StoreChange> {
        let mut others = Vec::with_capacity(changes.len());
        for change in changes {
            match change {
                StoreChange::Forget(id) => {
                    self.forgotten.insert(id);
                }
                StoreChange::Progress(..)
                | StoreChange::Interference(_)
                | StoreChange::Leases(_)
                | StoreChange::Waits(_)
                | StoreChange::Tracks(_)
                | StoreChange::Crashes(..)
                | StoreChange::Queue(..) => others.push(change),
            }
        }
        others
    }

    /// Stores a batch, retrying until the store answers, and returns whether this leader may still
    /// write.
    async fn store_progress(&mut self, batch: StoreBatch) -> bool {
        let deleted = std::mem::take(&mut self.deleted);
        let deletions = deleted.into_iter().map(StoreChange::Forget);
        let records: Vec<KeyedRecord> = batch
            .changes
            .into_iter()
            .chain(deletions)
            .map(|change| progress_record(self.term, change))
            .collect();
        self.mark.sequence += 1;
        self.unanswered_sender.send_replace(Some(Instant::now()));
        loop {
            let condition = AppendCondition::Writer(self.mark);
            let started = Instant::now();
            self.monitor.append_sent();
            let timeout = self.response_time.timeout();
            let appending = self
                .store
                .append(PROGRESS, records.clone(), condition, timeout);
            let appended = self.health.observe_append(appending).await;
            self.response_time.record_call(&appended, started.elapsed());
            self.metrics.record_append(&appended, started.elapsed());
            self.monitor.append_answered(appended.is_ok());
            self.watch.record_call(&appended);
            match appended {
                Ok(end) => {
                    self.stored_end = end;
                    break;
                }
                Err(StoreError::Refused | StoreError::Unanswered) => {
                    if self.handle.is_closed() {
                        return false;
                    }
                    tokio::time::sleep(RETRY_DELAY).await;
                }
                Err(error) => {
                    log::warn!(batch = batch.number, epoch = self.mark.epoch, error:% = error; "could not store progress; ending leadership");
                    return false;
                }
            }
        }
        self.unanswered_sender.send_replace(None);
        true
    }

    /// Deletes the requests of forgotten jobs, or tries again after a later batch.
    ///
    /// Their progress is deleted afterwards: a request without progress is that of a new job.
    async fn delete_requests(&mut self) {
        if self.forgotten.is_empty() || Instant::now() < self.next_deletion {
            return;
        }
        let keys = self.forgotten.iter().map(|id| job_key(*id));
        let records = keys.map(KeyedRecord::deletion).collect();
        let appended = self
            .store
            .append(REQUESTS, records, AppendCondition::None, DELETE_TIMEOUT)
            .await;
        match appended {
            Ok(_) => self.deleted.append(&mut self.forgotten),
            Err(error) => {
                self.next_deletion = Instant::now() + DELETE_RETRY_DELAY;
                log::warn!(jobs = self.forgotten.len(), error:% = error; "could not delete the requests of old jobs");
            }
        }
    }
}

/// Returns the record that stores a change.
fn progress_record(term: LeaderTerm, change: StoreChange) -> KeyedRecord {
    match change {
        StoreChange::Progress(id, stored) => KeyedRecord {
            key: job_key(id),
            value: encode(&StoredJobWire::from(stored)),
        },
        StoreChange::Forget(id) => KeyedRecord::deletion(job_key(id)),
        StoreChange::Interference(snapshot) => KeyedRecord {
            key: INTERFERENCE_KEY,
            value: encode(&InterferenceWire::from(snapshot)),
        },
        StoreChange::Leases(snapshot) => KeyedRecord {
            key: LEASES_KEY,
            value: encode(&LeaseSnapshotWire::new(term, snapshot)),
        },
        StoreChange::Waits(snapshot) => KeyedRecord {
            key: WAITS_KEY,
            value: encode(&WaitSnapshotWire::from(snapshot)),
        },
        StoreChange::Tracks(snapshot) => KeyedRecord {
            key: TRACKS_KEY,
            value: encode(&TrackSnapshotWire::from(snapshot)),
        },
        StoreChange::Crashes(id, crashes) if crashes.is_empty() => {
            KeyedRecord::deletion(crashes_key(id))
        }
        StoreChange::Crashes(id, crashes) => KeyedRecord {
            key: crashes_key(id),
            value: encode(&JobCrashesWire::from(crashes)),
        },
        StoreChange::Queue(queue, None) => KeyedRecord::deletion(queue_key(&queue)),
        StoreChange::Queue(queue, Some(policy)) => KeyedRecord {
            key: queue_key(&queue),
            value: encode(&QueuePolicyWire::from(policy)),
        },
    }
}
