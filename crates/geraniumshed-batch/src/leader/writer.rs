//! Stores the planner's changes, one batch after the other.

use std::time::Duration;

use geraniumshed_core::assignment::{StoreBatch, StoreChange};
use geraniumshed_core::membership::LeaderTerm;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::event::{LeaderEvent, LeaderHandle};
use super::load::PRODUCER;
use super::run::LeaderContext;
use crate::pace::StorePace;
use crate::store::{AnswerTime, AppendCondition, KeyedRecord, StoreClient, StoreError, WriterMark};
use crate::telemetry::{DependencyWatch, NodeMetrics};
use crate::topic::{INTERFERENCE_KEY, PROGRESS, REQUESTS, job_key};
use crate::wire::{InterferenceWire, JobImageWire, encode};

/// The time within which the store answers that requests are dropped.
const DROP_LIMIT: Duration = Duration::from_millis(500);
/// The pause before a refused append is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// Stores batches in order until a later leader takes over.
#[derive(Debug)]
pub(super) struct BatchWriter<S> {
    store: S,
    handle: LeaderHandle,
    mark: WriterMark,
    answer_time: AnswerTime,
    /// When the store last answered an append, for the leader to judge its silence.
    answered: tokio::sync::watch::Sender<Option<Instant>>,
    pace: StorePace,
    metrics: NodeMetrics,
    watch: DependencyWatch,
}

/// Since when an append has waited for the store, if one does.
pub(super) type WaitingSince = tokio::sync::watch::Receiver<Option<Instant>>;

impl<S: StoreClient> BatchWriter<S> {
    /// Spawns a writer and returns where it takes batches, and since when it has waited.
    pub(super) fn spawn<F, W>(
        context: &LeaderContext<S, F, W>,
        handle: LeaderHandle,
        term: LeaderTerm,
    ) -> (mpsc::UnboundedSender<StoreBatch>, WaitingSince) {
        let (sender, batches) = mpsc::unbounded_channel();
        let (answered, waiting) = tokio::sync::watch::channel(None);
        let mark = WriterMark {
            producer: PRODUCER,
            epoch: term.0,
            sequence: 0,
        };
        let writer = Self {
            store: context.store.clone(),
            handle,
            mark,
            answer_time: AnswerTime::default(),
            answered,
            pace: context.progress_pace.clone(),
            metrics: context.metrics.clone(),
            watch: DependencyWatch::new("store, for progress"),
        };
        tokio::spawn(writer.run(batches));
        (sender, waiting)
    }

    async fn run(mut self, mut batches: mpsc::UnboundedReceiver<StoreBatch>) {
        while let Some(batch) = batches.recv().await {
            let number = batch.number;
            let forgotten = forgotten_requests(&batch);
            if !self.store_progress(batch).await {
                self.handle.send(LeaderEvent::Deposed);
                return;
            }
            self.handle.send(LeaderEvent::Stored(number));
            self.drop_requests(forgotten).await;
        }
    }

    /// Stores a batch and returns whether this leader may still write.
    async fn store_progress(&mut self, batch: StoreBatch) -> bool {
        let records: Vec<KeyedRecord> = batch.changes.into_iter().map(progress_record).collect();
        self.mark.sequence += 1;
        self.answered.send_replace(Some(Instant::now()));
        loop {
            let condition = AppendCondition::Writer(self.mark);
            let started = Instant::now();
            self.pace.sent();
            let limit = self.answer_time.limit();
            let appended = self
                .store
                .append(PROGRESS, records.clone(), condition, limit)
                .await;
            self.answer_time.learn(&appended, started.elapsed());
            self.metrics.appended(&appended, started.elapsed());
            self.pace.answered(appended.is_ok());
            self.watch.saw(&appended);
            match appended {
                Ok(_) => break,
                Err(StoreError::Refused | StoreError::Unanswered) => {
                    if self.handle.is_closed() {
                        return false;
                    }
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
                Err(error) => {
                    log::warn!(batch = batch.number, epoch = self.mark.epoch, error:% = error; "progress was not stored");
                    return false;
                }
            }
        }
        self.answered.send_replace(None);
        true
    }

    /// Drops the requests of forgotten jobs; what fails here is dropped by the next leader.
    async fn drop_requests(&self, records: Vec<KeyedRecord>) {
        if records.is_empty() {
            return;
        }
        let appended = self
            .store
            .append(REQUESTS, records, AppendCondition::None, DROP_LIMIT)
            .await;
        if let Err(error) = appended {
            log::warn!(error:% = error; "requests of old jobs were not dropped");
        }
    }
}

fn progress_record(change: StoreChange) -> KeyedRecord {
    match change {
        StoreChange::Progress(id, image) => KeyedRecord {
            key: job_key(id),
            value: encode(&JobImageWire::from(image)),
        },
        StoreChange::Forget(id) => KeyedRecord {
            key: job_key(id),
            value: bytes::Bytes::new(),
        },
        StoreChange::Interference(image) => KeyedRecord {
            key: INTERFERENCE_KEY,
            value: encode(&InterferenceWire::from(image)),
        },
    }
}

fn forgotten_requests(batch: &StoreBatch) -> Vec<KeyedRecord> {
    batch
        .changes
        .iter()
        .filter_map(|change| match change {
            StoreChange::Forget(id) => Some(KeyedRecord {
                key: job_key(*id),
                value: bytes::Bytes::new(),
            }),
            StoreChange::Progress(..) | StoreChange::Interference(_) => None,
        })
        .collect()
}
