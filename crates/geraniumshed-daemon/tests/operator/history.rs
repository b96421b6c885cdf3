//! The history of a record, read from a log with repeated appends, several pages and lost entries.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use geraniumshed_daemon::operator::read_history;
use geraniumshed_model::prelude::{
    ConfigEvent, DaemonIncarnation, LogBatch, LogOffset, LogStream, RecordBody, RecordGeneration,
    RecordKey, RecordKind, RecordSpec, SchemaVersion, ShardTerm, WriterMark,
};
use geraniumshed_platform::{LogClient, LogEntry, LogPage, PlatformError};
use geraniumshed_wire::log::encode_batch;
use rstest::rstest;

/// The maximum number of entries on one page.
const PAGE_SIZE: usize = 2;

/// An in-memory log that holds the entries from an offset onwards.
#[derive(Debug, Clone)]
struct MemoryLog {
    entries: Arc<Vec<LogEntry>>,
    first: LogOffset,
}

impl LogClient for MemoryLog {
    async fn append(&self, _: LogStream, _: Bytes) -> Result<LogOffset, PlatformError> {
        Err(PlatformError::Unavailable {
            reason: "read only".into(),
        })
    }

    async fn read(
        &self,
        _stream: LogStream,
        from: LogOffset,
        _wait: Duration,
    ) -> Result<LogPage, PlatformError> {
        if from < self.first {
            return Err(PlatformError::Expired { first: self.first });
        }
        let later = self.entries.iter().filter(|entry| entry.offset >= from);
        Ok(LogPage {
            first: self.first,
            end: LogOffset(self.entries.len() as u64),
            entries: later.take(PAGE_SIZE).cloned().collect(),
        })
    }
}

fn key(name: &str) -> RecordKey {
    RecordKey {
        kind: RecordKind::Stop,
        name: name.parse().unwrap(),
    }
}

fn publish(name: &str, replaces: u64) -> ConfigEvent {
    ConfigEvent::Publish {
        key: key(name),
        schema: SchemaVersion::V2,
        replaces: RecordGeneration(replaces),
        body: RecordBody::Known(RecordSpec::Stop),
    }
}

fn withdraw(name: &str, replaces: u64) -> ConfigEvent {
    ConfigEvent::Withdraw {
        key: key(name),
        replaces: RecordGeneration(replaces),
    }
}

/// Builds a log with one event per entry, each with its writer's sequence number.
fn log(events: &[(u64, ConfigEvent)], first: u64) -> MemoryLog {
    let encode = |(offset, (sequence, event)): (usize, &(u64, ConfigEvent))| LogEntry {
        offset: LogOffset(offset as u64),
        body: encode_batch(&LogBatch {
            mark: WriterMark {
                incarnation: DaemonIncarnation(1),
                sequence: *sequence,
            },
            term: ShardTerm(0),
            events: vec![event.clone()],
        })
        .unwrap(),
    };
    MemoryLog {
        entries: Arc::new(events.iter().enumerate().map(encode).collect()),
        first: LogOffset(first),
    }
}

#[rstest]
#[case::whole(0, &[(0, "publish", "accepted", 1), (3, "publish", "conflict", 1), (4, "publish", "accepted", 2), (5, "withdraw", "accepted", 3)])]
#[case::dropped(4, &[(4, "publish", "unknown", 0), (5, "withdraw", "unknown", 0)])]
#[tokio::test]
async fn each_publication_has_its_verdict(
    #[case] first: u64,
    #[case] expected: &[(u64, &str, &str, u64)],
) {
    let events = [
        (1, publish("a", 0)),
        (2, publish("b", 0)),
        // A repeat of the first append, whose answer was lost.
        (1, publish("a", 0)),
        (3, publish("a", 0)),
        (4, publish("a", 1)),
        (5, withdraw("a", 2)),
    ];
    let entries = read_history(&log(&events, first), &key("a")).await.unwrap();
    let found: Vec<_> = entries
        .iter()
        .map(|entry| {
            (
                entry.offset,
                &*entry.action,
                &*entry.verdict,
                entry.generation,
            )
        })
        .collect();
    assert_eq!(found, expected);
}
