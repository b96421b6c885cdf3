//! The encoding of snapshots of the records in force.

use geraniumshed_model::config_snapshot::{
    ConfigSnapshot, FinishedSnapshot, JobSnapshot, NameSnapshot,
};
use geraniumshed_model::prelude::{
    LogOffset, OperatorRecord, RecordGeneration, RecordKey, RecordSpec, SchemaVersion, ShardId,
};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::codec::{DecodeError, EncodeError};
use super::config::{RecordKeyWire, RecordKindWire};
use super::name::{name_text, parse_name};
use super::spec::RecordSpecWire;

/// The version of the encoding, which is the first byte of each snapshot.
const SNAPSHOT_VERSION: u8 = 1;

#[derive(Debug, Serialize, Deserialize)]
struct ConfigSnapshotWire {
    applied: u64,
    names: Vec<NameWire>,
    floors: Vec<(RecordKindWire, u64)>,
    jobs: Vec<JobWire>,
    finished: Vec<FinishedWire>,
}

#[derive(Debug, Serialize, Deserialize)]
struct NameWire {
    key: RecordKeyWire,
    latest: u64,
    record: Option<RecordWire>,
    held: Option<(u16, SmolStr)>,
}

#[derive(Debug, Serialize, Deserialize)]
struct RecordWire {
    schema: u16,
    generation: u64,
    spec: RecordSpecWire,
}

#[derive(Debug, Serialize, Deserialize)]
struct JobWire {
    name: SmolStr,
    generation: u64,
    shards: Vec<(u16, u32, u32)>,
}

#[derive(Debug, Serialize, Deserialize)]
struct FinishedWire {
    name: SmolStr,
    generation: u64,
    completed: u32,
    failed: u32,
}

/// Encodes a snapshot of the records in force.
///
/// # Errors
///
/// Returns an error if the serialiser fails, which doesn't happen for any snapshot.
pub fn encode_config_snapshot(snapshot: ConfigSnapshot) -> Result<Vec<u8>, EncodeError> {
    let wire = ConfigSnapshotWire::from(snapshot);
    postcard::to_extend(&wire, vec![SNAPSHOT_VERSION]).map_err(|_| EncodeError)
}

/// Decodes a snapshot of the records in force.
///
/// # Errors
///
/// Returns an error if the bytes are not a valid snapshot. Doesn't panic on any input.
pub fn decode_config_snapshot(bytes: &[u8]) -> Result<ConfigSnapshot, DecodeError> {
    let (version, rest) = bytes.split_first().ok_or(DecodeError::Empty)?;
    if *version != SNAPSHOT_VERSION {
        return Err(DecodeError::UnknownVersion(*version));
    }
    let (wire, rest) = postcard::take_from_bytes::<ConfigSnapshotWire>(rest)
        .map_err(|_| DecodeError::Malformed)?;
    if !rest.is_empty() {
        return Err(DecodeError::TrailingBytes(rest.len()));
    }
    wire.try_into()
}

impl From<ConfigSnapshot> for ConfigSnapshotWire {
    fn from(snapshot: ConfigSnapshot) -> Self {
        Self {
            applied: snapshot.applied.0,
            names: snapshot.names.into_iter().map(Into::into).collect(),
            floors: snapshot
                .floors
                .into_iter()
                .map(|(kind, floor)| (kind.into(), floor.0))
                .collect(),
            jobs: snapshot.jobs.into_iter().map(Into::into).collect(),
            finished: snapshot.finished.into_iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<ConfigSnapshotWire> for ConfigSnapshot {
    type Error = DecodeError;

    fn try_from(wire: ConfigSnapshotWire) -> Result<Self, Self::Error> {
        Ok(Self {
            applied: LogOffset(wire.applied),
            names: convert_all(wire.names)?,
            floors: wire
                .floors
                .into_iter()
                .map(|(kind, floor)| (kind.into(), RecordGeneration(floor)))
                .collect(),
            jobs: convert_all(wire.jobs)?,
            finished: convert_all(wire.finished)?,
        })
    }
}

fn convert_all<W, T: TryFrom<W, Error = DecodeError>>(wire: Vec<W>) -> Result<Vec<T>, DecodeError> {
    wire.into_iter().map(TryInto::try_into).collect()
}

impl From<NameSnapshot> for NameWire {
    fn from(name: NameSnapshot) -> Self {
        Self {
            key: name.key.into(),
            latest: name.latest.0,
            record: name.record.map(|record| RecordWire {
                schema: record.schema.0,
                generation: record.generation.0,
                spec: record.spec.into(),
            }),
            held: name.held.map(|(schema, text)| (schema.0, text)),
        }
    }
}

impl TryFrom<NameWire> for NameSnapshot {
    type Error = DecodeError;

    fn try_from(wire: NameWire) -> Result<Self, Self::Error> {
        let key = RecordKey::try_from(wire.key)?;
        let record = wire
            .record
            .map(|record| convert_record(&key, record))
            .transpose()?;
        Ok(Self {
            key,
            latest: RecordGeneration(wire.latest),
            record,
            held: wire
                .held
                .map(|(schema, text)| (SchemaVersion(schema), text)),
        })
    }
}

fn convert_record(key: &RecordKey, wire: RecordWire) -> Result<OperatorRecord, DecodeError> {
    let spec = RecordSpec::try_from(wire.spec)?;
    if spec.kind() != key.kind {
        return Err(DecodeError::KindMismatch);
    }
    Ok(OperatorRecord {
        key: key.clone(),
        schema: SchemaVersion(wire.schema),
        generation: RecordGeneration(wire.generation),
        spec,
    })
}

impl From<JobSnapshot> for JobWire {
    fn from(job: JobSnapshot) -> Self {
        Self {
            name: name_text(&job.name),
            generation: job.generation.0,
            shards: job
                .shards
                .into_iter()
                .map(|(shard, completed, failed)| (shard.0, completed, failed))
                .collect(),
        }
    }
}

impl TryFrom<JobWire> for JobSnapshot {
    type Error = DecodeError;

    fn try_from(wire: JobWire) -> Result<Self, Self::Error> {
        Ok(Self {
            name: parse_name(&wire.name)?,
            generation: RecordGeneration(wire.generation),
            shards: wire
                .shards
                .into_iter()
                .map(|(shard, completed, failed)| (ShardId(shard), completed, failed))
                .collect(),
        })
    }
}

impl From<FinishedSnapshot> for FinishedWire {
    fn from(job: FinishedSnapshot) -> Self {
        Self {
            name: name_text(&job.name),
            generation: job.generation.0,
            completed: job.completed,
            failed: job.failed,
        }
    }
}

impl TryFrom<FinishedWire> for FinishedSnapshot {
    type Error = DecodeError;

    fn try_from(wire: FinishedWire) -> Result<Self, Self::Error> {
        Ok(Self {
            name: parse_name(&wire.name)?,
            generation: RecordGeneration(wire.generation),
            completed: wire.completed,
            failed: wire.failed,
        })
    }
}
