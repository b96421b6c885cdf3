//! The publication of the endpoints of a shard's replicas to all daemons.

use std::collections::BTreeMap;

use geraniumshed_model::prelude::{
    AttemptPhase, EndpointEntry, EndpointEvent, EndpointId, EndpointPhase, TimePoint,
};

use super::message::ShardAction;
use super::scheduler::ShardScheduler;
use super::task_entry::is_replica;
use super::worker_entry::{AttemptKey, AttemptStage, WorkerAttempt, WorkerEntry};

/// The endpoints of the shard's replicas that were published to all daemons.
#[derive(Debug, Clone, Default)]
pub struct EndpointFeed {
    published: BTreeMap<EndpointId, EndpointEntry>,
    /// When the full list is published next.
    full_due: TimePoint,
    is_changed: bool,
}

impl EndpointFeed {
    /// Marks that endpoints may have changed.
    pub fn mark_changed(&mut self) {
        self.is_changed = true;
    }

    /// Marks everything to be published again, since an append was not confirmed.
    pub fn republish_all(&mut self) {
        self.published.clear();
        self.full_due = TimePoint::default();
        self.is_changed = true;
    }

    /// Returns the published endpoints.
    pub fn published(&self) -> impl Iterator<Item = &EndpointEntry> {
        self.published.values()
    }
}

impl ShardScheduler {
    /// Publishes the changed endpoints, or the full list if that is due.
    pub(super) fn publish_endpoints(&mut self, now: TimePoint) {
        let refresh = now >= self.endpoints.full_due && self.has_all_replica_reports();
        if !refresh && !self.endpoints.is_changed {
            return;
        }
        self.endpoints.is_changed = false;
        let entries = self.present_endpoints();
        let events = if refresh {
            self.endpoints.full_due = now + self.settings.endpoint_refresh;
            vec![EndpointEvent::Full {
                shard: self.shard,
                entries: entries.values().cloned().collect(),
            }]
        } else {
            self.endpoint_changes(&entries)
        };
        self.endpoints.published = entries;
        if !events.is_empty() {
            self.actions.push(ShardAction::Publish(events));
        }
    }

    /// Returns whether workers have reported on all replicas that earlier owners placed.
    ///
    /// Until then, a full list would omit endpoints that are in use.
    fn has_all_replica_reports(&self) -> bool {
        let attempts = self.workers.values().flat_map(|w| w.attempts.iter());
        let mut inherited = attempts.filter(|(key, worker_attempt)| {
            is_replica(&key.0) && worker_attempt.stage == AttemptStage::Inherited
        });
        inherited.next().is_none()
    }

    fn endpoint_changes(
        &self,
        entries: &BTreeMap<EndpointId, EndpointEntry>,
    ) -> Vec<EndpointEvent> {
        let shard = self.shard;
        let published = &self.endpoints.published;
        let changed = entries
            .iter()
            .filter(|(id, entry)| published.get(*id) != Some(entry))
            .map(|(_, entry)| EndpointEvent::Changed {
                shard,
                entry: entry.clone(),
            });
        let removed = published
            .keys()
            .filter(|id| !entries.contains_key(*id))
            .map(|id| EndpointEvent::Removed {
                shard,
                endpoint: id.clone(),
            });
        changed.chain(removed).collect()
    }

    fn present_endpoints(&self) -> BTreeMap<EndpointId, EndpointEntry> {
        let entries = self.workers.values().flat_map(|worker| {
            let attempts = worker.attempts.iter();
            attempts.filter_map(|(key, worker_attempt)| endpoint_entry(worker, key, worker_attempt))
        });
        entries
            .map(|entry| (entry.endpoint.clone(), entry))
            .collect()
    }
}

fn endpoint_entry(
    worker: &WorkerEntry,
    key: &AttemptKey,
    worker_attempt: &WorkerAttempt,
) -> Option<EndpointEntry> {
    let phase = match worker_attempt.stage {
        AttemptStage::Confirmed(AttemptPhase::Running)
            if worker_attempt.leaving_since.is_none() =>
        {
            EndpointPhase::Ready
        }
        AttemptStage::Confirmed(AttemptPhase::Running | AttemptPhase::Stopping) => {
            EndpointPhase::Leaving
        }
        AttemptStage::Confirmed(AttemptPhase::Starting)
        | AttemptStage::Proposed
        | AttemptStage::Placed { .. }
        | AttemptStage::Inherited
        | AttemptStage::Ended(_)
        | AttemptStage::EndLogged => return None,
    };
    let vm = worker.vm.as_ref()?;
    let spec = worker_attempt.spec.as_ref()?;
    let (task, attempt) = key;
    is_replica(task).then_some(())?;
    Some(EndpointEntry {
        endpoint: EndpointId {
            task: task.clone(),
            attempt: *attempt,
        },
        service: task.record.clone(),
        address: worker_attempt.endpoint?,
        vm: vm.vm.clone(),
        zone: vm.zone.clone(),
        slots: spec.slots,
        connections: spec.connections,
        phase,
    })
}
