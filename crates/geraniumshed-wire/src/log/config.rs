//! Events of the `config` stream on the wire.

use geraniumshed_model::prelude::{
    ConfigEvent, RecordBody, RecordGeneration, RecordKey, RecordKind, SchemaVersion, ShardId,
};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::codec::DecodeError;
use super::name::{name_text, parse_name};
use super::snapshot::SnapshotPartWire;
use super::spec::RecordSpecWire;

/// A [`RecordKind`] on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordKindWire {
    /// A team.
    Team,
    /// A service.
    Service,
    /// A binding.
    Binding,
    /// A job.
    Job,
    /// A drain.
    Drain,
    /// A cancellation.
    Cancel,
    /// A stop.
    Stop,
}

impl From<RecordKind> for RecordKindWire {
    fn from(kind: RecordKind) -> Self {
        match kind {
            RecordKind::Team => Self::Team,
            RecordKind::Service => Self::Service,
            RecordKind::Binding => Self::Binding,
            RecordKind::Job => Self::Job,
            RecordKind::Drain => Self::Drain,
            RecordKind::Cancel => Self::Cancel,
            RecordKind::Stop => Self::Stop,
        }
    }
}

impl From<RecordKindWire> for RecordKind {
    fn from(kind: RecordKindWire) -> Self {
        match kind {
            RecordKindWire::Team => Self::Team,
            RecordKindWire::Service => Self::Service,
            RecordKindWire::Binding => Self::Binding,
            RecordKindWire::Job => Self::Job,
            RecordKindWire::Drain => Self::Drain,
            RecordKindWire::Cancel => Self::Cancel,
            RecordKindWire::Stop => Self::Stop,
        }
    }
}

/// A [`RecordKey`] on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordKeyWire {
    kind: RecordKindWire,
    name: SmolStr,
}

impl From<RecordKey> for RecordKeyWire {
    fn from(key: RecordKey) -> Self {
        Self {
            kind: key.kind.into(),
            name: name_text(&key.name),
        }
    }
}

impl TryFrom<RecordKeyWire> for RecordKey {
    type Error = DecodeError;

    fn try_from(wire: RecordKeyWire) -> Result<Self, Self::Error> {
        Ok(Self {
            kind: wire.kind.into(),
            name: parse_name(&wire.name)?,
        })
    }
}

/// A [`RecordBody`] on the wire.
///
/// Only records of the schemas 1 and 2 are encoded in binary. A record of a later schema has to be
/// sent as text, so that programs without support for the schema keep it complete.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordBodyWire {
    /// The content of the record.
    Known(RecordSpecWire),
    /// The text of the record.
    Held(SmolStr),
}

impl From<RecordBody> for RecordBodyWire {
    fn from(body: RecordBody) -> Self {
        match body {
            RecordBody::Known(spec) => Self::Known(spec.into()),
            RecordBody::Held(text) => Self::Held(text),
        }
    }
}

impl TryFrom<RecordBodyWire> for RecordBody {
    type Error = DecodeError;

    fn try_from(wire: RecordBodyWire) -> Result<Self, Self::Error> {
        Ok(match wire {
            RecordBodyWire::Known(spec) => Self::Known(spec.try_into()?),
            RecordBodyWire::Held(text) => Self::Held(text),
        })
    }
}

/// A [`ConfigEvent`] on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigEventWire {
    /// An operator publishes a record.
    Publish {
        /// The key of the record.
        key: RecordKeyWire,
        /// The schema.
        schema: u16,
        /// The generation that it replaces, or zero if the record is new.
        replaces: u64,
        /// The content of the record.
        body: RecordBodyWire,
    },
    /// An operator withdraws a record.
    Withdraw {
        /// The key of the record.
        key: RecordKeyWire,
        /// The generation that is withdrawn.
        replaces: u64,
    },
    /// A shard's owner reports the progress of a job.
    Progress {
        /// The shard.
        shard: u16,
        /// The job.
        job: RecordKeyWire,
        /// The generation of the job.
        generation: u64,
        /// The number of completed tasks.
        completed: u32,
        /// The number of tasks that failed permanently or were cancelled.
        failed: u32,
    },
    /// A part of a snapshot.
    Snapshot(SnapshotPartWire),
}

impl From<ConfigEvent> for ConfigEventWire {
    fn from(event: ConfigEvent) -> Self {
        match event {
            ConfigEvent::Publish {
                key,
                schema,
                replaces,
                body,
            } => Self::Publish {
                key: key.into(),
                schema: schema.0,
                replaces: replaces.0,
                body: body.into(),
            },
            ConfigEvent::Withdraw { key, replaces } => Self::Withdraw {
                key: key.into(),
                replaces: replaces.0,
            },
            ConfigEvent::Progress {
                shard,
                job,
                generation,
                completed,
                failed,
            } => Self::Progress {
                shard: shard.0,
                job: job.into(),
                generation: generation.0,
                completed,
                failed,
            },
            ConfigEvent::Snapshot(part) => Self::Snapshot(part.into()),
        }
    }
}

impl TryFrom<ConfigEventWire> for ConfigEvent {
    type Error = DecodeError;

    fn try_from(wire: ConfigEventWire) -> Result<Self, Self::Error> {
        Ok(match wire {
            ConfigEventWire::Publish {
                key,
                schema,
                replaces,
                body,
            } => {
                let key = RecordKey::try_from(key)?;
                let body = RecordBody::try_from(body)?;
                check_kind(&key, &body)?;
                Self::Publish {
                    key,
                    schema: SchemaVersion(schema),
                    replaces: RecordGeneration(replaces),
                    body,
                }
            }
            ConfigEventWire::Withdraw { key, replaces } => Self::Withdraw {
                key: key.try_into()?,
                replaces: RecordGeneration(replaces),
            },
            ConfigEventWire::Progress {
                shard,
                job,
                generation,
                completed,
                failed,
            } => Self::Progress {
                shard: ShardId(shard),
                job: job.try_into()?,
                generation: RecordGeneration(generation),
                completed,
                failed,
            },
            ConfigEventWire::Snapshot(part) => Self::Snapshot(part.into()),
        })
    }
}

/// Checks that a record's content has the kind that its key names.
fn check_kind(key: &RecordKey, body: &RecordBody) -> Result<(), DecodeError> {
    match body {
        RecordBody::Known(spec) if spec.kind() != key.kind => Err(DecodeError::KindMismatch),
        RecordBody::Known(_) | RecordBody::Held(_) => Ok(()),
    }
}
