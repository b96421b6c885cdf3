//! An in-memory log with injected faults, for the tests of the log's followers and writers.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use geraniumshed_model::prelude::{LogOffset, LogStream};
use geraniumshed_platform::{LogClient, LogEntry, LogPage, PlatformError};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout_at};

/// The maximum number of entries on one page.
const PAGE_LENGTH: usize = 3;

/// The fault that is injected into one append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendFault {
    /// The append takes effect and is answered.
    None,
    /// The append never arrives, and the caller gets a definite error.
    Unreachable,
    /// The append never arrives, but the caller can't tell.
    RequestLost,
    /// The append takes effect, but its answer is lost.
    AnswerLost,
    /// The append takes effect only after the next append, and its answer is lost.
    Late,
    /// The append takes effect and is answered after two seconds.
    Slow,
}

#[derive(Debug, Default)]
struct FakeStream {
    first: u64,
    entries: VecDeque<Bytes>,
    late: Vec<Bytes>,
}

impl FakeStream {
    fn end(&self) -> u64 {
        self.first + self.entries.len() as u64
    }

    fn push(&mut self, body: Bytes) -> LogOffset {
        let offset = LogOffset(self.end());
        self.entries.push_back(body);
        for late in std::mem::take(&mut self.late) {
            self.entries.push_back(late);
        }
        offset
    }
}

#[derive(Debug, Default)]
struct FakeState {
    streams: BTreeMap<LogStream, FakeStream>,
    faults: VecDeque<AppendFault>,
    down: bool,
    latency: Duration,
    appends: u64,
}

/// An in-memory log; clones share their entries.
#[derive(Debug, Clone, Default)]
pub struct FakeLog {
    state: Arc<Mutex<FakeState>>,
    changed: Arc<Notify>,
}

impl FakeLog {
    fn state(&self) -> MutexGuard<'_, FakeState> {
        self.state.lock().unwrap()
    }

    /// Sets the faults of the next appends, in their order.
    pub fn plan(&self, faults: impl IntoIterator<Item = AppendFault>) {
        self.state().faults.extend(faults);
    }

    /// Sets the latency of each append.
    pub fn set_latency(&self, latency: Duration) {
        self.state().latency = latency;
    }

    /// Takes the log down or brings it back.
    pub fn set_down(&self, down: bool) {
        self.state().down = down;
        self.changed.notify_waiters();
    }

    /// Drops all but the last entries of a stream.
    pub fn expire(&self, stream: LogStream, keep: usize) {
        let mut state = self.state();
        let stream = state.streams.entry(stream).or_default();
        while stream.entries.len() > keep {
            stream.entries.pop_front();
            stream.first += 1;
        }
    }

    /// Adds an entry without any fault.
    pub fn push(&self, stream: LogStream, body: Bytes) -> LogOffset {
        let offset = self.state().streams.entry(stream).or_default().push(body);
        self.changed.notify_waiters();
        offset
    }

    /// Returns the number of append calls.
    pub fn appends(&self) -> u64 {
        self.state().appends
    }

    /// Returns the number of entries of a stream.
    pub fn len(&self, stream: LogStream) -> usize {
        self.state()
            .streams
            .get(&stream)
            .map_or(0, |stream| stream.entries.len())
    }

    fn page(&self, stream: LogStream, from: LogOffset) -> Result<LogPage, PlatformError> {
        let mut state = self.state();
        if state.down {
            return Err(unavailable());
        }
        let stream = state.streams.entry(stream).or_default();
        let first = LogOffset(stream.first);
        if from < first {
            return Err(PlatformError::Expired { first });
        }
        let skip = usize::try_from(from.0 - stream.first).unwrap();
        let entries = stream.entries.iter().enumerate().skip(skip);
        Ok(LogPage {
            first,
            end: LogOffset(stream.end()),
            entries: entries
                .take(PAGE_LENGTH)
                .map(|(index, body)| LogEntry {
                    offset: LogOffset(stream.first + index as u64),
                    body: body.clone(),
                })
                .collect(),
        })
    }
}

fn unavailable() -> PlatformError {
    PlatformError::Unavailable {
        reason: "down".into(),
    }
}

fn lost() -> PlatformError {
    PlatformError::AnswerLost {
        reason: "planned".into(),
    }
}

impl LogClient for FakeLog {
    async fn append(&self, stream: LogStream, body: Bytes) -> Result<LogOffset, PlatformError> {
        let latency = self.state().latency;
        sleep(latency).await;
        let fault = {
            let mut state = self.state();
            state.appends += 1;
            if state.down {
                return Err(unavailable());
            }
            state.faults.pop_front().unwrap_or(AppendFault::None)
        };
        match fault {
            AppendFault::None => Ok(self.push(stream, body)),
            AppendFault::Unreachable => Err(PlatformError::Unreachable {
                reason: "planned".into(),
            }),
            AppendFault::RequestLost => Err(lost()),
            AppendFault::AnswerLost => {
                self.push(stream, body);
                Err(lost())
            }
            AppendFault::Late => {
                let mut state = self.state();
                state.streams.entry(stream).or_default().late.push(body);
                Err(lost())
            }
            AppendFault::Slow => {
                sleep(Duration::from_secs(2)).await;
                Ok(self.push(stream, body))
            }
        }
    }

    async fn read(
        &self,
        stream: LogStream,
        from: LogOffset,
        wait: Duration,
    ) -> Result<LogPage, PlatformError> {
        let deadline = Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            let page = self.page(stream, from)?;
            if !page.entries.is_empty() || timeout_at(deadline, changed).await.is_err() {
                return Ok(page);
            }
        }
    }
}
