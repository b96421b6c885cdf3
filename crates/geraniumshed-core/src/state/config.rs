//! The records in force, derived from the `config` stream.

use std::collections::BTreeMap;

use geraniumshed_model::prelude::{
    ConfigEvent, LogOffset, OperatorRecord, RecordBody, RecordGeneration, RecordKey, RecordKind,
};

/// What became of a published or withdrawn record; the same in every daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PublishVerdict {
    /// The record is in force as this generation.
    Accepted(RecordGeneration),
    /// The record's schema is unknown; the previous generation stays in force.
    Held,
    /// Another operator came first.
    Conflict {
        /// The generation that is in force, or zero if there is none.
        current: RecordGeneration,
        /// The generation that the operator meant to replace.
        replaces: RecordGeneration,
    },
    /// The event publishes nothing.
    NotPublished,
}

/// The records in force.
#[derive(Debug, Clone, Default)]
pub struct ConfigState {
    records: BTreeMap<RecordKey, OperatorRecord>,
    generations: BTreeMap<RecordKey, RecordGeneration>,
    applied: LogOffset,
}

impl ConfigState {
    /// Returns the record of a key, if one is in force.
    pub fn record(&self, key: &RecordKey) -> Option<&OperatorRecord> {
        self.records.get(key)
    }

    /// Returns all records of a kind in force, in the order of their names.
    pub fn records(&self, kind: RecordKind) -> impl Iterator<Item = &OperatorRecord> {
        self.records
            .values()
            .filter(move |record| record.key.kind == kind)
    }

    /// Returns the offset after the last entry that was applied.
    pub fn applied(&self) -> LogOffset {
        self.applied
    }

    /// Applies one event of the entry at `offset`.
    pub fn apply(&mut self, offset: LogOffset, event: &ConfigEvent) -> PublishVerdict {
        self.applied = offset.next();
        match event {
            ConfigEvent::Publish {
                key,
                schema,
                replaces,
                body,
            } => {
                let current = self.generation(key);
                if current != *replaces {
                    return PublishVerdict::Conflict {
                        current,
                        replaces: *replaces,
                    };
                }
                let RecordBody::Known(spec) = body else {
                    return PublishVerdict::Held;
                };
                let generation = current.next();
                let record = OperatorRecord {
                    key: key.clone(),
                    schema: *schema,
                    generation,
                    spec: spec.clone(),
                };
                self.generations.insert(key.clone(), generation);
                self.records.insert(key.clone(), record);
                PublishVerdict::Accepted(generation)
            }
            ConfigEvent::Withdraw { key, replaces } => {
                let current = self.generation(key);
                if current != *replaces {
                    return PublishVerdict::Conflict {
                        current,
                        replaces: *replaces,
                    };
                }
                let generation = current.next();
                self.generations.insert(key.clone(), generation);
                self.records.remove(key);
                PublishVerdict::Accepted(generation)
            }
            ConfigEvent::Progress { .. } | ConfigEvent::Snapshot(_) => PublishVerdict::NotPublished,
        }
    }

    /// Returns the last generation of a key, also if it was withdrawn, or zero if there is none.
    pub fn generation(&self, key: &RecordKey) -> RecordGeneration {
        self.generations.get(key).copied().unwrap_or_default()
    }
}
