//! What the shard tells all daemons of its services' endpoints.

use std::collections::BTreeMap;

use geraniumshed_model::prelude::{
    AttemptPhase, EndpointEntry, EndpointEvent, EndpointId, EndpointPhase, TimePoint,
};

use super::message::ShardAction;
use super::scheduler::ShardScheduler;
use super::task_entry::is_replica;
use super::worker_entry::{AttemptKey, AttemptStage, WorkerAttempt, WorkerEntry};

/// What the shard told all daemons of its services' endpoints.
#[derive(Debug, Clone, Default)]
pub struct EndpointFeed {
    published: BTreeMap<EndpointId, EndpointEntry>,
    full_due: TimePoint,
    touched: bool,
}

impl EndpointFeed {
    /// Notes that endpoints may have changed.
    pub fn touch(&mut self) {
        self.touched = true;
    }

    /// Notes that nothing of what was told may have arrived.
    pub fn republish(&mut self) {
        self.published.clear();
        self.full_due = TimePoint::default();
        self.touched = true;
    }

    /// Returns what was told.
    pub fn published(&self) -> impl Iterator<Item = &EndpointEntry> {
        self.published.values()
    }
}

impl ShardScheduler {
    /// Tells all daemons what changed, or everything from time to time.
    pub(super) fn feed_endpoints(&mut self, now: TimePoint) {
        let refresh = now >= self.endpoints.full_due && self.knows_all_replicas();
        if !refresh && !self.endpoints.touched {
            return;
        }
        self.endpoints.touched = false;
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

    /// Tells whether no replica is left of which only an earlier owner knew.
    fn knows_all_replicas(&self) -> bool {
        let attempts = self.workers.values().flat_map(|w| w.attempts.iter());
        let mut inherited = attempts
            .filter(|(key, known)| is_replica(&key.0) && known.stage == AttemptStage::Inherited);
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
            attempts.filter_map(|(key, known)| endpoint_entry(worker, key, known))
        });
        entries
            .map(|entry| (entry.endpoint.clone(), entry))
            .collect()
    }
}

fn endpoint_entry(
    worker: &WorkerEntry,
    key: &AttemptKey,
    known: &WorkerAttempt,
) -> Option<EndpointEntry> {
    let phase = match known.stage {
        AttemptStage::Held(AttemptPhase::Running) if known.leaving_since.is_none() => {
            EndpointPhase::Ready
        }
        AttemptStage::Held(AttemptPhase::Running | AttemptPhase::Stopping) => {
            EndpointPhase::Leaving
        }
        AttemptStage::Held(AttemptPhase::Starting)
        | AttemptStage::Intended
        | AttemptStage::Placed { .. }
        | AttemptStage::Inherited
        | AttemptStage::Ended(_)
        | AttemptStage::Logged => return None,
    };
    let vm = worker.vm.as_ref()?;
    let spec = known.spec.as_ref()?;
    let (task, attempt) = key;
    is_replica(task).then_some(())?;
    Some(EndpointEntry {
        endpoint: EndpointId {
            task: task.clone(),
            attempt: *attempt,
        },
        service: task.record.clone(),
        address: known.endpoint?,
        vm: vm.vm.clone(),
        zone: vm.zone.clone(),
        slots: spec.slots,
        connections: spec.connections,
        phase,
    })
}
