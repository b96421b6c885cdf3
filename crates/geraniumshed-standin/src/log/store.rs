//! The in-memory storage of the log.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use bytes::Bytes;
use geraniumshed_model::prelude::TimePoint;
use smol_str::SmolStr;

/// The size of the entries at which a page ends.
const PAGE_LIMIT_BYTES: usize = 1_000_000;

/// The retention limits of the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Retention {
    /// The maximum number of entries per stream.
    pub entries: Option<usize>,
    /// The maximum age of an entry.
    pub age: Option<Duration>,
}

/// A stored entry and the time of its append.
#[derive(Debug, Clone)]
struct StoredEntry {
    at: TimePoint,
    body: Bytes,
}

/// A stream: the retained entries and the offset of the first one.
#[derive(Debug, Default)]
struct LogStream {
    first: u64,
    entries: VecDeque<StoredEntry>,
}

impl LogStream {
    fn end(&self) -> u64 {
        self.first + self.entries.len() as u64
    }
}

/// A contiguous range of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredPage {
    /// The first retained offset.
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

    /// Changes the retention limits and drops entries beyond them.
    pub fn set_retention(&mut self, now: TimePoint, retention: Retention) {
        self.retention = retention;
        for stream in self.streams.values_mut() {
            expire_entries(stream, retention, now);
        }
    }

    /// Drops all but the last `keep` entries of each stream.
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
        stream.entries.push_back(StoredEntry { at: now, body });
        expire_entries(stream, self.retention, now);
        offset
    }

    /// Returns the number of appends so far.
    pub fn appends(&self) -> u64 {
        self.appends
    }

    /// Reads a page of entries starting at an offset.
    ///
    /// # Errors
    ///
    /// Returns the first retained offset if the requested one has expired.
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
