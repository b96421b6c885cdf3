//! The queue of tasks that wait to be placed.

use std::collections::{BTreeMap, BTreeSet};

use geraniumshed_model::prelude::{ShardEvent, TaskId, TimePoint};
use smol_str::SmolStr;

use super::desired::{DesiredGroup, TaskGroup};
use super::scheduler::ShardScheduler;
use super::task_entry::{TaskEntry, TaskPhase};

/// Why a group's tasks wait.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WaitReason {
    /// No worker has room at present.
    NoRoom,
    /// The team's quota is used up.
    Quota,
    /// No shard has a worker and a part of the team's quota that are large enough; with a
    /// description for operators.
    Infeasible(SmolStr),
    /// The log dropped entries that may have recorded earlier runs.
    HistoryLost,
}

/// The waiting tasks of one group.
#[derive(Debug, Clone, Default)]
pub struct WaitingGroup {
    /// The indices of the tasks.
    pub indices: BTreeSet<u32>,
    /// When placing the group's tasks first failed, since the last time that it succeeded.
    pub blocked_since: Option<TimePoint>,
    /// Why the last placement failed.
    pub reason: Option<WaitReason>,
}

/// The queue of tasks that wait to be placed.
#[derive(Debug, Clone, Default)]
pub struct TaskQueue {
    groups: BTreeMap<TaskGroup, WaitingGroup>,
    /// The tasks about which a proposed event has neither been read back nor been rejected.
    proposals: BTreeSet<TaskId>,
    /// The groups whose cancellation has to be proposed.
    cancels: BTreeSet<TaskGroup>,
}

impl TaskQueue {
    /// Returns the groups that have waiting tasks.
    pub fn groups(&self) -> impl Iterator<Item = (&TaskGroup, &WaitingGroup)> {
        self.groups.iter()
    }

    /// Returns a group for modification.
    pub fn group_mut(&mut self, group: &TaskGroup) -> Option<&mut WaitingGroup> {
        self.groups.get_mut(group)
    }

    /// Adds a task.
    pub fn push(&mut self, task: &TaskId) {
        let group = self.groups.entry(TaskGroup::of(task)).or_default();
        group.indices.insert(task.index);
    }

    /// Removes a task.
    pub fn remove(&mut self, task: &TaskId) {
        let key = TaskGroup::of(task);
        if let Some(group) = self.groups.get_mut(&key) {
            group.indices.remove(&task.index);
            if group.indices.is_empty() {
                self.groups.remove(&key);
            }
        }
    }

    /// Removes all tasks of a group.
    pub fn remove_group(&mut self, group: &TaskGroup) {
        self.groups.remove(group);
    }

    /// Marks that an event about a task was proposed, and removes the task from the queue.
    pub fn add_proposal(&mut self, task: &TaskId) {
        self.proposals.insert(task.clone());
        self.remove(task);
    }

    /// Marks that the event was read back or that its append failed.
    pub fn remove_proposal(&mut self, task: &TaskId) {
        self.proposals.remove(task);
    }

    /// Returns whether an event about a task is proposed.
    pub fn has_proposal(&self, task: &TaskId) -> bool {
        self.proposals.contains(task)
    }

    /// Marks that the cancellation of a group has to be proposed.
    pub fn cancel(&mut self, group: &TaskGroup) {
        self.cancels.insert(group.clone());
    }

    /// Removes and returns the groups whose cancellation has to be proposed.
    pub fn take_cancels(&mut self) -> BTreeSet<TaskGroup> {
        std::mem::take(&mut self.cancels)
    }
}

impl ShardScheduler {
    /// Updates the queue for all tasks of some groups.
    pub(super) fn refresh_groups(&mut self, groups: &BTreeSet<TaskGroup>) {
        for group in groups {
            self.queue.remove_group(group);
            let mut tasks = BTreeSet::new();
            let logged = self.state.is_cancelled(&group.record, group.generation);
            if let Some(desired) = self.desired.group(group) {
                if desired.cancelled && !logged {
                    self.queue.cancel(group);
                }
                tasks.extend(desired.home.iter().map(|index| group.task(*index)));
            }
            let logged_tasks = self.state.tasks_of(&group.record, group.generation);
            tasks.extend(logged_tasks.map(|(task, _)| task.clone()));
            for task in &tasks {
                self.refresh_task(task);
            }
            self.refresh_specs(group);
        }
        self.is_placement_due = true;
    }

    /// Adds a task to the queue if it waits to be placed, and removes it otherwise.
    pub(super) fn refresh_task(&mut self, task: &TaskId) {
        if self.is_waiting(task) {
            self.queue.push(task);
            self.is_placement_due = true;
        } else {
            self.queue.remove(task);
        }
    }

    fn is_waiting(&self, task: &TaskId) -> bool {
        let Some(desired) = self.desired.group(&TaskGroup::of(task)) else {
            return false;
        };
        let cancelled = desired.cancelled || self.state.is_cancelled(&task.record, task.generation);
        if task.index >= desired.count || cancelled || self.queue.has_proposal(task) {
            return false;
        }
        match self.state.task(task) {
            Some(entry) => self.is_entry_waiting(task, entry, desired),
            None if self.held_groups.contains(&TaskGroup::of(task)) => false,
            None => desired.home.binary_search(&task.index).is_ok(),
        }
    }

    fn is_entry_waiting(&self, task: &TaskId, entry: &TaskEntry, desired: &DesiredGroup) -> bool {
        if entry.phase != TaskPhase::Open || desired.is_failed(entry) {
            return false;
        }
        if entry.hop == 0 && desired.home.binary_search(&task.index).is_err() {
            return false;
        }
        // If all attempts of a replica are to stop, a replacement is placed before they do.
        entry.placements.iter().all(|placement| {
            let worker = self.workers.get(&placement.worker);
            let attempt =
                worker.and_then(|worker| worker.attempts.get(&(task.clone(), placement.attempt)));
            desired.template.class.is_latency_critical()
                && attempt.is_some_and(|attempt| attempt.stop.is_some())
        })
    }

    /// Proposes the cancellations that operators published, with one event for each job.
    pub(super) fn propose_cancels(&mut self) {
        for group in self.queue.take_cancels() {
            self.outbox.push(ShardEvent::Cancelled {
                job: group.record,
                generation: group.generation,
            });
        }
    }
}
