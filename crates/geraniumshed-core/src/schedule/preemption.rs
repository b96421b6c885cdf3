//! Preemption of batch tasks by services and urgent tasks.

use std::collections::BTreeMap;
use std::time::Duration;

use geraniumshed_model::prelude::{ResourceSize, TaskId, TaskSpec, TimePoint, UrgencyClass, VmId};

use super::scheduler::ShardScheduler;
use super::worker_entry::{AttemptKey, StopReason, WorkerEntry};

/// The tasks for which a preemption is under way, with the time until which it may take.
#[derive(Debug, Clone, Default)]
pub struct PreemptionTable {
    until: BTreeMap<TaskId, TimePoint>,
}

impl PreemptionTable {
    /// Removes the preemptions that took too long, so that they can be repeated.
    fn expire(&mut self, now: TimePoint) {
        self.until.retain(|_, until| now < *until);
    }

    /// Removes a task that was placed.
    pub fn remove(&mut self, task: &TaskId) {
        self.until.remove(task);
    }
}

/// The attempts to preempt on one worker.
#[derive(Debug)]
struct VictimChoice {
    worker: VmId,
    victims: Vec<AttemptKey>,
    non_idempotent_count: usize,
}

/// The time after the grace period until a preemption counts as failed.
const GRACE_MARGIN: Duration = Duration::from_secs(2);

impl ShardScheduler {
    /// Preempts batch tasks for an urgent task or a replica, unless a preemption is under way.
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
            let usable = worker.is_placeable() && self.is_accepting(now, id);
            usable.then(|| choose_victims(id, worker, &size)).flatten()
        });
        let best = choices.min_by_key(|choice| (choice.non_idempotent_count, choice.victims.len()));
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

/// Chooses the attempts to preempt on a worker to make room for a size.
///
/// Idempotent tasks come first, since the outcome of any other task is unknown if it can't write
/// its checkpoint in time. Then, lower urgency and larger size come first, to stop few attempts.
fn choose_victims(id: &VmId, worker: &WorkerEntry, size: &ResourceSize) -> Option<VictimChoice> {
    let mut candidates: Vec<_> =
        worker
            .attempts
            .iter()
            .filter_map(|(key, worker_attempt)| {
                let spec = worker_attempt.spec.as_ref()?;
                let lower = worker_attempt.is_batch() && spec.urgency < UrgencyClass::Urgent;
                (lower && worker_attempt.is_confirmed() && worker_attempt.stop.is_none())
                    .then_some((key, worker_attempt, spec))
            })
            .collect();
    candidates.sort_by_key(|(_, worker_attempt, spec)| {
        let size = (worker_attempt.size.processors, worker_attempt.size.memory);
        (!spec.idempotent, spec.urgency, std::cmp::Reverse(size))
    });
    let mut reserved = worker.reserved();
    let mut choice = VictimChoice {
        worker: id.clone(),
        victims: Vec::new(),
        non_idempotent_count: 0,
    };
    for (key, worker_attempt, spec) in candidates {
        if reserved.plus(size).fits(&worker.size) {
            break;
        }
        reserved = reserved.minus(&worker_attempt.size);
        choice.victims.push(key.clone());
        choice.non_idempotent_count += usize::from(!spec.idempotent);
    }
    let fits = reserved.plus(size).fits(&worker.size);
    (fits && !choice.victims.is_empty()).then_some(choice)
}
