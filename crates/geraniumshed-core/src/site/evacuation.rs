//! The availability zones that operators have evacuated.

use std::collections::{BTreeSet, btree_set};

use geraniumshed_model::prelude::LogOffset;
use smol_str::SmolStr;

/// The availability zones in which no task may start, as they were read from the operators' topic.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ZoneEvacuations {
    zones: BTreeSet<SmolStr>,
    /// The offset up to which the topic was read.
    read_to: LogOffset,
}

/// The difference between two states of the evacuated zones.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EvacuationChange {
    /// The zones that are evacuated from now on.
    pub begun: Vec<SmolStr>,
    /// The zones that are evacuated no longer.
    pub ended: Vec<SmolStr>,
}

impl EvacuationChange {
    /// Returns whether the same zones are evacuated as before.
    pub fn is_empty(&self) -> bool {
        self.begun.is_empty() && self.ended.is_empty()
    }

    /// Returns the zones that have changed.
    pub fn zones(&self) -> impl Iterator<Item = &SmolStr> {
        self.begun.iter().chain(&self.ended)
    }
}

impl ZoneEvacuations {
    /// Creates the state of a topic that was read up to an offset.
    pub fn new(zones: impl IntoIterator<Item = SmolStr>, read_to: LogOffset) -> Self {
        Self {
            zones: zones.into_iter().collect(),
            read_to,
        }
    }

    /// Returns the offset up to which the topic was read.
    pub fn read_to(&self) -> LogOffset {
        self.read_to
    }

    /// Returns whether a zone is evacuated.
    pub fn contains(&self, zone: &SmolStr) -> bool {
        self.zones.contains(zone)
    }

    /// Returns whether no zone is evacuated.
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }

    /// Returns the number of evacuated zones.
    pub fn len(&self) -> usize {
        self.zones.len()
    }

    /// Returns the evacuated zones in ascending order.
    pub fn iter(&self) -> btree_set::Iter<'_, SmolStr> {
        self.zones.iter()
    }

    /// Replaces the state by one that was read at a later offset, and returns the difference. A state
    /// that was read at the same or an earlier offset is ignored, since reads may be outdated and
    /// arrive in any order.
    pub fn replace(&mut self, newer: Self) -> Option<EvacuationChange> {
        if newer.read_to <= self.read_to {
            return None;
        }
        let change = EvacuationChange {
            begun: newer.zones.difference(&self.zones).cloned().collect(),
            ended: self.zones.difference(&newer.zones).cloned().collect(),
        };
        *self = newer;
        Some(change)
    }
}

impl<'a> IntoIterator for &'a ZoneEvacuations {
    type Item = &'a SmolStr;
    type IntoIter = btree_set::Iter<'a, SmolStr>;

    fn into_iter(self) -> Self::IntoIter {
        self.iter()
    }
}
