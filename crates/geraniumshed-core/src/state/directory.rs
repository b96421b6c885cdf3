//! The endpoints of all services, derived from the `endpoints` stream.

use std::collections::BTreeMap;

use geraniumshed_model::prelude::{
    EndpointEntry, EndpointEvent, EndpointId, RecordName, ShardId, ShardTerm,
};

/// The endpoints of all services.
#[derive(Debug, Clone, Default)]
pub struct EndpointDirectory {
    services: BTreeMap<RecordName, BTreeMap<EndpointId, EndpointEntry>>,
    shards: BTreeMap<EndpointId, ShardId>,
    terms: BTreeMap<ShardId, ShardTerm>,
}

impl EndpointDirectory {
    /// Returns the endpoints of a service, in the order of their ids.
    pub fn endpoints(&self, service: &RecordName) -> impl Iterator<Item = &EndpointEntry> {
        self.services
            .get(service)
            .into_iter()
            .flat_map(BTreeMap::values)
    }

    /// Applies an event that an owner appended under a term.
    ///
    /// Events of a term lower than one seen before for the same shard are dropped.
    pub fn apply(&mut self, term: ShardTerm, event: &EndpointEvent) {
        let shard = match event {
            EndpointEvent::Full { shard, .. }
            | EndpointEvent::Changed { shard, .. }
            | EndpointEvent::Removed { shard, .. } => *shard,
        };
        let held = self.terms.entry(shard).or_insert(term);
        if term < *held {
            return;
        }
        *held = term;
        match event {
            EndpointEvent::Full { entries, .. } => self.replace_shard(shard, entries),
            EndpointEvent::Changed { entry, .. } => self.insert(shard, entry.clone()),
            EndpointEvent::Removed { endpoint, .. } => self.remove(endpoint),
        }
    }

    fn replace_shard(&mut self, shard: ShardId, entries: &[EndpointEntry]) {
        let stale: Vec<_> = self
            .shards
            .iter()
            .filter(|(_, owner)| **owner == shard)
            .map(|(endpoint, _)| endpoint.clone())
            .collect();
        for endpoint in &stale {
            self.remove(endpoint);
        }
        for entry in entries {
            self.insert(shard, entry.clone());
        }
    }

    fn insert(&mut self, shard: ShardId, entry: EndpointEntry) {
        self.shards.insert(entry.endpoint.clone(), shard);
        let service = self.services.entry(entry.service.clone()).or_default();
        service.insert(entry.endpoint.clone(), entry);
    }

    fn remove(&mut self, endpoint: &EndpointId) {
        self.shards.remove(endpoint);
        self.services.retain(|_, endpoints| {
            endpoints.remove(endpoint);
            !endpoints.is_empty()
        });
    }
}
