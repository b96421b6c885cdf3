//! The state that all followers and writers of one daemon share.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use geraniumshed_core::state::{AppendBudget, RetryDelay};
use geraniumshed_model::prelude::{DaemonIncarnation, LogOffset, LogStream, TimePoint};
use geraniumshed_platform::{LogClient, LogPage, PlatformError};

use super::health::LogHealth;
use super::settings::LogSettings;
use crate::clock::ProcessClock;

/// The number and size of a daemon's appends and reads since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LogUsage {
    /// The number of appends that were sent.
    pub appends: u64,
    /// The bytes of those appends.
    pub append_bytes: u64,
    /// The number of reads that were sent.
    pub reads: u64,
    /// The bytes of the entries that were read.
    pub read_bytes: u64,
}

/// The log client, the append budget and the sequence numbers that all followers and writers of one
/// daemon share.
#[derive(Debug)]
pub struct LogContext<L> {
    client: L,
    incarnation: DaemonIncarnation,
    settings: LogSettings,
    clock: ProcessClock,
    budget: Mutex<AppendBudget>,
    sequences: Mutex<BTreeMap<LogStream, u64>>,
    appends: AtomicU64,
    append_bytes: AtomicU64,
    reads: AtomicU64,
    read_bytes: AtomicU64,
    /// The time of the last successful call, in microseconds.
    last_answer: AtomicU64,
    health: LogHealth,
}

impl<L: LogClient> LogContext<L> {
    /// Creates the context of one incarnation of a daemon.
    pub fn open(
        client: L,
        incarnation: DaemonIncarnation,
        settings: LogSettings,
        clock: ProcessClock,
    ) -> Arc<Self> {
        let budget = AppendBudget::new(settings.append_rate, settings.append_burst);
        Arc::new(Self {
            client,
            incarnation,
            settings,
            clock,
            budget: Mutex::new(budget),
            sequences: Mutex::default(),
            appends: AtomicU64::new(0),
            append_bytes: AtomicU64::new(0),
            reads: AtomicU64::new(0),
            read_bytes: AtomicU64::new(0),
            last_answer: AtomicU64::new(0),
            health: LogHealth::start(clock),
        })
    }

    /// Returns the incarnation with which the daemon's appends are marked.
    pub fn incarnation(&self) -> DaemonIncarnation {
        self.incarnation
    }

    /// Returns the settings.
    pub fn settings(&self) -> &LogSettings {
        &self.settings
    }

    /// Returns the tracker of whether the log answers.
    pub fn health(&self) -> LogHealth {
        self.health.clone()
    }

    /// Returns the usage of the log so far.
    pub fn usage(&self) -> LogUsage {
        LogUsage {
            appends: self.appends.load(Ordering::Relaxed),
            append_bytes: self.append_bytes.load(Ordering::Relaxed),
            reads: self.reads.load(Ordering::Relaxed),
            read_bytes: self.read_bytes.load(Ordering::Relaxed),
        }
    }

    /// Returns the current time.
    pub(super) fn now(&self) -> TimePoint {
        self.clock.now()
    }

    /// Returns the time since the last successful call.
    pub fn silence(&self) -> Duration {
        let last_answer = TimePoint(self.last_answer.load(Ordering::Relaxed));
        self.clock.now().since(last_answer)
    }

    fn record_answer(&self) {
        self.last_answer
            .store(self.clock.now().0, Ordering::Relaxed);
    }

    /// Waits until the append budget allows one more append.
    pub(super) async fn wait_for_budget(&self) {
        let wait = self
            .budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .reserve(self.clock.now());
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
    }

    /// Returns the sequence number of the daemon's next batch in a stream.
    pub(super) fn next_sequence(&self, stream: LogStream) -> u64 {
        let mut sequences = self
            .sequences
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let sequence = sequences.entry(stream).or_default();
        *sequence += 1;
        *sequence
    }

    /// Returns the retry delay for a series of calls on a stream.
    pub(super) fn retry_delay(&self, stream: LogStream) -> RetryDelay {
        let seed = geraniumshed_core::schedule::stable_hash(&stream) ^ self.incarnation.0;
        RetryDelay::new(self.settings.retry_floor, self.settings.retry_ceiling, seed)
    }

    /// Appends an entry, without retries.
    pub(super) async fn append(
        &self,
        stream: LogStream,
        body: Bytes,
    ) -> Result<LogOffset, PlatformError> {
        self.appends.fetch_add(1, Ordering::Relaxed);
        let length = u64::try_from(body.len()).unwrap_or(u64::MAX);
        self.append_bytes.fetch_add(length, Ordering::Relaxed);
        let offset = self.client.append(stream, body).await?;
        self.record_answer();
        Ok(offset)
    }

    /// Reads a page, without retries, and waits up to `wait` for the first entry.
    pub(super) async fn read(
        &self,
        stream: LogStream,
        from: LogOffset,
        wait: std::time::Duration,
    ) -> Result<LogPage, PlatformError> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        let read = self.client.read(stream, from, wait).await;
        if matches!(read, Ok(_) | Err(PlatformError::Expired { .. })) {
            self.health.record_answer();
        }
        let page = read?;
        self.record_answer();
        let length: usize = page.entries.iter().map(|entry| entry.body.len()).sum();
        let length = u64::try_from(length).unwrap_or(u64::MAX);
        self.read_bytes.fetch_add(length, Ordering::Relaxed);
        Ok(page)
    }
}
