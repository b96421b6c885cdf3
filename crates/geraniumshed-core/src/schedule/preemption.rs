//! Room for urgent tasks, made by stopping batch tasks of a lower urgency.

use std::collections::BTreeMap;
use std::time::Duration;

use geraniumshed_model::prelude::{ResourceSize, TaskId, TaskSpec, TimePoint, UrgencyClass, VmId};

use super::scheduler::ShardScheduler;
use super::worker_entry::{AttemptKey, StopReason, WorkerEntry};

/// The urgent tasks for which room is being made.
#[derive(Debug, Clone, Default)]
pub struct PreemptionTable {
    until: BTreeMap<TaskId, TimePoint>,
}

impl PreemptionTable {
    /// Forgets the tasks whose room should have been made long ago.
    fn expire(&mut self, now: TimePoint) {
        self.until.retain(|_, until| now < *until);
    }

    /// Forgets a task that is placed.
    pub fn remove(&mut self, task: &TaskId) {
        self.until.remove(task);
    }
}

/// Attempts on one worker whose stop makes room.
#[derive(Debug)]
struct VictimChoice {
    worker: VmId,
    victims: Vec<AttemptKey>,
    risky: usize,
}

/// The time after the grace at which room counts as not having been made.
const GRACE_MARGIN: Duration = Duration::from_secs(2);

impl ShardScheduler {
    /// Stops batch tasks so that an urgent task or a replica gets room, unless that is under way.
    pub(super) fn preempt(&mut self, now: TimePoint, spec: &TaskSpec) {
        let critical = spec.class.is_latency_critical();
        if !critical && spec.urgency != UrgencyClass::Urgent {
            return;
        }
        self.preemption.expire(now);
        if self.preemption.until.contains_key(&spec.task) {
            return;
        }
        let size = self.reserved_size(spec);
        let choices = self.workers.iter().filter_map(|(id, worker)| {
            let usable = worker.is_placeable() && self.accepts(now, id);
            usable.then(|| choose_victims(id, worker, &size)).flatten()
        });
        let best = choices.min_by_key(|choice| (choice.risky, choice.victims.len()));
        let Some(choice) = best else {
            return;
        };
        let until = now + self.settings.batch_grace + GRACE_MARGIN;
        self.preemption.until.insert(spec.task.clone(), until);
        for key in &choice.victims {
            self.counters.preempted += 1;
            self.stop_attempt(now, &choice.worker, key, StopReason::Preempted);
        }
    }
}

/// Chooses the attempts on a worker whose stop makes room for a size, as few as possible.
///
/// Tasks that may not run twice are chosen last: if one can't write its checkpoint in time, its
/// outcome is unknown.
fn choose_victims(id: &VmId, worker: &WorkerEntry, size: &ResourceSize) -> Option<VictimChoice> {
    let mut candidates: Vec<_> = worker
        .attempts
        .iter()
        .filter_map(|(key, known)| {
            let spec = known.spec.as_ref()?;
            let lower = known.is_batch() && spec.urgency < UrgencyClass::Urgent;
            (lower && known.is_held() && known.stop.is_none()).then_some((key, known, spec))
        })
        .collect();
    candidates.sort_by_key(|(_, known, spec)| {
        let size = (known.size.processors, known.size.memory);
        (!spec.idempotent, spec.urgency, std::cmp::Reverse(size))
    });
    let mut reserved = worker.reserved();
    let mut choice = VictimChoice {
        worker: id.clone(),
        victims: Vec::new(),
        risky: 0,
    };
    for (key, known, spec) in candidates {
        if reserved.plus(size).fits(&worker.size) {
            break;
        }
        reserved = reserved.minus(&known.size);
        choice.victims.push(key.clone());
        choice.risky += usize::from(!spec.idempotent);
    }
    let fits = reserved.plus(size).fits(&worker.size);
    (fits && !choice.victims.is_empty()).then_some(choice)
}
