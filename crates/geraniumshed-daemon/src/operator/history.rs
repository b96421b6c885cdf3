//! The publications of a record, read back from the log.

use std::time::Duration;

use geraniumshed_core::state::{ConfigState, PublishVerdict};
use geraniumshed_model::prelude::{
    ConfigEvent, ErrorKind, LogBatch, LogOffset, LogStream, ProblemError, RecordKey,
};
use geraniumshed_platform::{LogClient, LogPage, PlatformError};
use geraniumshed_wire::log::decode_batch;
use geraniumshed_wire::operator::HistoryEntry;
use smol_str::{SmolStr, ToSmolStr};

/// Reads all publications of a record that the log still keeps.
///
/// # Errors
///
/// Returns `LogUnavailable` if the log can't be read.
pub async fn read_history<L: LogClient>(
    log: &L,
    key: &RecordKey,
) -> Result<Vec<HistoryEntry>, ProblemError> {
    let mut state = ConfigState::default();
    let mut entries = Vec::new();
    let mut offset = LogOffset(0);
    loop {
        let page = read_page(log, offset).await?;
        for entry in &page.entries {
            offset = entry.offset.next();
            let Ok(batch) = decode_batch::<ConfigEvent>(&entry.body) else {
                continue;
            };
            append_batch(&mut entries, &mut state, key, entry.offset, &batch);
        }
        if page.entries.is_empty() || offset >= page.end {
            return Ok(entries);
        }
    }
}

/// Reads a page, from the first offset that is still kept if the wanted one is not.
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
            "ask again when the log can be reached",
        )
    })
}

fn append_batch(
    entries: &mut Vec<HistoryEntry>,
    state: &mut ConfigState,
    key: &RecordKey,
    offset: LogOffset,
    batch: &LogBatch<ConfigEvent>,
) {
    for event in &batch.events {
        let verdict = state.apply(offset, event);
        let (found, action, schema, replaces) = match event {
            ConfigEvent::Publish {
                key,
                schema,
                replaces,
                ..
            } => (key, "publish", schema.0, replaces.0),
            ConfigEvent::Withdraw { key, replaces } => (key, "withdraw", 0, replaces.0),
            ConfigEvent::Progress { .. } | ConfigEvent::Snapshot(_) => continue,
        };
        if found != key {
            continue;
        }
        let (verdict, generation) = match verdict {
            PublishVerdict::Accepted(generation) => ("accepted", generation.0),
            PublishVerdict::Held(generation) => ("held", generation.0),
            PublishVerdict::Conflict { current, .. } => ("conflict", current.0),
            PublishVerdict::NotPublished => continue,
        };
        entries.push(HistoryEntry {
            offset: offset.0,
            action: SmolStr::new_static(action),
            schema,
            replaces,
            verdict: SmolStr::new_static(verdict),
            generation,
        });
    }
}
