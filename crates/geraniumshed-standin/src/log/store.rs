//! The entries that the log keeps.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use bytes::Bytes;
use geraniumshed_model::prelude::TimePoint;
use smol_str::SmolStr;

/// The bytes after which a page ends.
const PAGE_LIMIT_BYTES: usize = 1_000_000;

/// What the log keeps.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Retention {
    /// The number of entries that each stream keeps at most.
    pub entries: Option<usize>,
    /// The time for which an entry is kept.
    pub age: Option<Duration>,
}

/// One kept entry.
#[derive(Debug, Clone)]
struct KeptEntry {
    at: TimePoint,
    body: Bytes,
}

/// One stream: the kept entries and the offset of the first of them.
#[derive(Debug, Default)]
struct LogStream {
    first: u64,
    entries: VecDeque<KeptEntry>,
}

impl LogStream {
    fn end(&self) -> u64 {
        self.first + self.entries.len() as u64
    }
}

/// A part of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredPage {
    /// The first offset that is kept.
    pub first: u64,
    /// The offset after the last entry.
    pub end: u64,
    /// The entries with their offsets.
    pub entries: Vec<(u64, Bytes)>,
}

/// The streams of the log.
#[derive(Debug, Default)]
pub struct LogStore {
    streams: BTreeMap<SmolStr, LogStream>,
    retention: Retention,
    appends: u64,
}

impl LogStore {
    /// Creates a log without streams.
    pub fn new(retention: Retention) -> Self {
        Self {
            retention,
            ..Self::default()
        }
    }

    /// Changes what the log keeps.
    pub fn set_retention(&mut self, now: TimePoint, retention: Retention) {
        self.retention = retention;
        for stream in self.streams.values_mut() {
            expire_entries(stream, retention, now);
        }
    }

    /// Drops all entries but the last `keep` of each stream.
    pub fn expire(&mut self, keep: usize) {
        for stream in self.streams.values_mut() {
            while stream.entries.len() > keep {
                stream.entries.pop_front();
                stream.first += 1;
            }
        }
    }

    /// Appends an entry and returns its offset.
    pub fn append(&mut self, now: TimePoint, name: &str, body: Bytes) -> u64 {
        self.appends += 1;
        let stream = self.streams.entry(name.into()).or_default();
        let offset = stream.end();
        stream.entries.push_back(KeptEntry { at: now, body });
        expire_entries(stream, self.retention, now);
        offset
    }

    /// Returns the number of appends so far.
    pub fn appends(&self) -> u64 {
        self.appends
    }

    /// Reads entries from an offset onwards.
    ///
    /// # Errors
    ///
    /// Returns the first kept offset if the one asked for is no longer kept.
    pub fn read(&mut self, now: TimePoint, name: &str, from: u64) -> Result<StoredPage, u64> {
        let Some(stream) = self.streams.get_mut(name) else {
            return Ok(StoredPage {
                first: 0,
                end: 0,
                entries: Vec::new(),
            });
        };
        expire_entries(stream, self.retention, now);
        if from < stream.first {
            return Err(stream.first);
        }
        let mut entries = Vec::new();
        let mut size = 0;
        let skip = usize::try_from(from - stream.first).unwrap_or(usize::MAX);
        for (offset, entry) in (from..).zip(stream.entries.iter().skip(skip)) {
            size += entry.body.len();
            entries.push((offset, entry.body.clone()));
            if size >= PAGE_LIMIT_BYTES {
                break;
            }
        }
        Ok(StoredPage {
            first: stream.first,
            end: stream.end(),
            entries,
        })
    }
}

fn expire_entries(stream: &mut LogStream, retention: Retention, now: TimePoint) {
    let is_expired = |stream: &LogStream| {
        let Some(oldest) = stream.entries.front() else {
            return false;
        };
        let too_many = retention
            .entries
            .is_some_and(|limit| stream.entries.len() > limit);
        let too_old = retention
            .age
            .is_some_and(|limit| now.since(oldest.at) > limit);
        too_many || too_old
    };
    while is_expired(stream) {
        stream.entries.pop_front();
        stream.first += 1;
    }
}
