//! The endpoints of all services, derived from the `endpoints` stream.

use std::collections::BTreeMap;
use std::sync::Arc;

use geraniumshed_model::prelude::{
    EndpointEntry, EndpointEvent, EndpointId, RecordName, ShardId, ShardTerm,
};

/// The endpoints of one service.
type ServiceEndpoints = BTreeMap<EndpointId, EndpointEntry>;

/// The endpoints that one shard announces, each with its service.
type ShardEndpoints = BTreeMap<EndpointId, RecordName>;

/// The endpoints of all services.
///
/// Clones share unchanged services and shards.
#[derive(Debug, Clone, Default)]
pub struct EndpointDirectory {
    services: BTreeMap<RecordName, Arc<ServiceEndpoints>>,
    shards: BTreeMap<ShardId, Arc<ShardEndpoints>>,
    terms: BTreeMap<ShardId, ShardTerm>,
}

impl EndpointDirectory {
    /// Returns the endpoints of a service, in the order of their ids.
    pub fn endpoints(&self, service: &RecordName) -> impl Iterator<Item = &EndpointEntry> {
        self.services
            .get(service)
            .into_iter()
            .flat_map(|endpoints| endpoints.values())
    }

    /// Returns the number of endpoints of all services.
    pub fn len(&self) -> usize {
        self.services
            .values()
            .map(|endpoints| endpoints.len())
            .sum()
    }

    /// Returns whether there is no endpoint.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    /// Applies an event that the owner of a shard appended under a term.
    ///
    /// An event with a lower term than an earlier one of the same shard is ignored.
    pub fn apply(&mut self, term: ShardTerm, event: &EndpointEvent) {
        let shard = match event {
            EndpointEvent::Full { shard, .. }
            | EndpointEvent::Changed { shard, .. }
            | EndpointEvent::Removed { shard, .. } => *shard,
        };
        let highest = self.terms.entry(shard).or_insert(term);
        if term < *highest {
            return;
        }
        *highest = term;
        match event {
            EndpointEvent::Full { entries, .. } => self.replace_shard(shard, entries),
            EndpointEvent::Changed { entry, .. } => self.insert(shard, entry.clone()),
            EndpointEvent::Removed { endpoint, .. } => self.remove(shard, endpoint),
        }
    }

    fn replace_shard(&mut self, shard: ShardId, entries: &[EndpointEntry]) {
        let previous = self.shards.remove(&shard).unwrap_or_default();
        for (endpoint, service) in previous.iter() {
            self.remove_from_service(service, endpoint);
        }
        for entry in entries {
            self.insert(shard, entry.clone());
        }
    }

    fn insert(&mut self, shard: ShardId, entry: EndpointEntry) {
        let owned = Arc::make_mut(self.shards.entry(shard).or_default());
        owned.insert(entry.endpoint.clone(), entry.service.clone());
        let service = self.services.entry(entry.service.clone()).or_default();
        Arc::make_mut(service).insert(entry.endpoint.clone(), entry);
    }

    fn remove(&mut self, shard: ShardId, endpoint: &EndpointId) {
        let Some(owned) = self.shards.get_mut(&shard) else {
            return;
        };
        if let Some(service) = Arc::make_mut(owned).remove(endpoint) {
            self.remove_from_service(&service, endpoint);
        }
    }

    fn remove_from_service(&mut self, service: &RecordName, endpoint: &EndpointId) {
        let Some(endpoints) = self.services.get_mut(service) else {
            return;
        };
        Arc::make_mut(endpoints).remove(endpoint);
        if endpoints.is_empty() {
            self.services.remove(service);
        }
    }
}
