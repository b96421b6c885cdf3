//! The records of one kind, with their generations.

use std::collections::BTreeMap;
use std::sync::Arc;

use geraniumshed_model::prelude::{
    OperatorRecord, RecordBody, RecordGeneration, RecordKey, RecordName, SchemaVersion,
};
use smol_str::SmolStr;

/// A record whose schema version this build doesn't support.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldRecord {
    /// The key of the record.
    pub key: RecordKey,
    /// The schema version.
    pub schema: SchemaVersion,
    /// The generation under which a build that supports the schema puts the record in force.
    pub generation: RecordGeneration,
    /// The text of the record.
    pub text: SmolStr,
}

/// The state of one name.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RecordEntry {
    /// The generation that the next publication replaces.
    pub latest: RecordGeneration,
    /// The record in force.
    pub record: Option<OperatorRecord>,
    /// The record of the latest generation, if its schema version is unsupported.
    pub held: Option<HeldRecord>,
}

/// The records of one kind.
///
/// Clones of the table share its entries, so that a clone costs one pointer per record.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RecordTable {
    entries: BTreeMap<RecordName, Arc<RecordEntry>>,
    /// The generation above which new names start, at least the highest one of any withdrawn name.
    floor: RecordGeneration,
}

impl RecordTable {
    /// Returns the entry of a name.
    pub fn entry(&self, name: &RecordName) -> Option<&RecordEntry> {
        self.entries.get(name).map(AsRef::as_ref)
    }

    /// Returns all entries in the order of their names.
    pub fn entries(&self) -> impl Iterator<Item = (&RecordName, &RecordEntry)> {
        self.entries
            .iter()
            .map(|(name, entry)| (name, entry.as_ref()))
    }

    /// Returns the generation that the next publication of a name replaces, or zero.
    pub fn latest(&self, name: &RecordName) -> RecordGeneration {
        self.entry(name).map_or_else(Default::default, |e| e.latest)
    }

    /// Returns the generation above which new names start.
    pub fn floor(&self) -> RecordGeneration {
        self.floor
    }

    /// Raises the generation above which new names start, so that no generation is reused.
    pub fn raise_floor(&mut self, floor: RecordGeneration) {
        self.floor = self.floor.max(floor);
    }

    /// Puts a record in force, or holds it if its schema version is unsupported, and returns its
    /// new generation.
    pub fn publish(
        &mut self,
        key: &RecordKey,
        schema: SchemaVersion,
        body: &RecordBody,
    ) -> RecordGeneration {
        let last = self.entry(&key.name).map_or(self.floor, |e| e.latest);
        let generation = last.next();
        let entry = self.entries.entry(key.name.clone()).or_default();
        let entry = Arc::make_mut(entry);
        entry.latest = generation;
        match body {
            RecordBody::Known(spec) => {
                entry.held = None;
                entry.record = Some(OperatorRecord {
                    key: key.clone(),
                    schema,
                    generation,
                    spec: spec.clone(),
                });
            }
            RecordBody::Held(text) => {
                entry.held = Some(HeldRecord {
                    key: key.clone(),
                    schema,
                    generation,
                    text: text.clone(),
                });
            }
        }
        generation
    }

    /// Removes a name and returns the generation of its withdrawal.
    pub fn withdraw(&mut self, name: &RecordName) -> RecordGeneration {
        let latest = self.latest(name).next();
        self.entries.remove(name);
        self.raise_floor(latest);
        latest
    }

    /// Restores the entry of a name from a snapshot.
    pub fn restore(&mut self, name: RecordName, entry: RecordEntry) {
        self.entries.insert(name, Arc::new(entry));
    }
}
