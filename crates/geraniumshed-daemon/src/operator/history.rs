//! The publications of a record, read back from the log.

use std::time::Duration;

use geraniumshed_core::state::{ConfigState, EntryFilter, EntryVerdict, PublishVerdict};
use geraniumshed_model::prelude::{
    ConfigEvent, ErrorKind, LogBatch, LogOffset, LogStream, ProblemError, RecordKey,
};
use geraniumshed_platform::{LogClient, LogPage, PlatformError};
use geraniumshed_wire::log::decode_batch;
use geraniumshed_wire::operator::HistoryEntry;
use smol_str::{SmolStr, ToSmolStr};

/// Reads all publications of a record that the log still holds.
///
/// Repeated appends are included once. If the log has dropped entries, it no longer shows which
/// generation was in force, so the verdicts are `unknown`.
///
/// # Errors
///
/// Returns `LogUnavailable` if the log can't be read.
pub async fn read_history<L: LogClient>(
    log: &L,
    key: &RecordKey,
) -> Result<Vec<HistoryEntry>, ProblemError> {
    let mut reader = HistoryReader::new(key);
    let mut offset = LogOffset(0);
    loop {
        let page = read_page(log, offset).await?;
        if page.first > offset {
            reader.is_complete = false;
        }
        for entry in &page.entries {
            offset = entry.offset.next();
            if let Ok(batch) = decode_batch::<ConfigEvent>(&entry.body) {
                reader.read_batch(entry.offset, &batch);
            }
        }
        if page.entries.is_empty() || offset >= page.end {
            return Ok(reader.entries);
        }
    }
}

/// Reads a page from an offset, or from the first available one if the log has dropped it.
async fn read_page<L: LogClient>(log: &L, from: LogOffset) -> Result<LogPage, ProblemError> {
    let read = match log.read(LogStream::Config, from, Duration::ZERO).await {
        Err(PlatformError::Expired { first }) => {
            log.read(LogStream::Config, first, Duration::ZERO).await
        }
        read => read,
    };
    read.map_err(|error| {
        ProblemError::new(
            ErrorKind::LogUnavailable,
            error.to_smolstr(),
            "try again when the log can be reached",
        )
    })
}

/// A reader of the `config` stream that collects the events of one record.
#[derive(Debug)]
struct HistoryReader<'a> {
    key: &'a RecordKey,
    filter: EntryFilter,
    state: ConfigState,
    /// Whether the log has not dropped any entry of the stream.
    is_complete: bool,
    entries: Vec<HistoryEntry>,
}

impl<'a> HistoryReader<'a> {
    fn new(key: &'a RecordKey) -> Self {
        Self {
            key,
            filter: EntryFilter::default(),
            state: ConfigState::default(),
            is_complete: true,
            entries: Vec::new(),
        }
    }

    fn read_batch(&mut self, offset: LogOffset, batch: &LogBatch<ConfigEvent>) {
        if self.filter.judge_shared(offset, batch.mark) != EntryVerdict::Valid {
            return;
        }
        for event in &batch.events {
            let verdict = self.state.apply(offset, event);
            let (key, action, schema, replaces) = match event {
                ConfigEvent::Publish {
                    key,
                    schema,
                    replaces,
                    ..
                } => (key, "publish", schema.0, replaces.0),
                ConfigEvent::Withdraw { key, replaces } => (key, "withdraw", 0, replaces.0),
                ConfigEvent::Progress { .. } | ConfigEvent::Snapshot(_) => continue,
            };
            if key != self.key {
                continue;
            }
            let (verdict, generation) = self.describe(&verdict);
            self.entries.push(HistoryEntry {
                offset: offset.0,
                action: SmolStr::new_static(action),
                schema,
                replaces,
                verdict: SmolStr::new_static(verdict),
                generation,
            });
        }
    }

    fn describe(&self, verdict: &PublishVerdict) -> (&'static str, u64) {
        if !self.is_complete {
            return ("unknown", 0);
        }
        match verdict {
            PublishVerdict::Accepted(generation) => ("accepted", generation.0),
            PublishVerdict::Held(generation) => ("held", generation.0),
            PublishVerdict::Conflict { current, .. } => ("conflict", current.0),
            PublishVerdict::NotPublished => ("not published", 0),
        }
    }
}
