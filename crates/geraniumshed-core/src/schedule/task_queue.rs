//! The tasks that wait to be placed.

use std::collections::{BTreeMap, BTreeSet};

use geraniumshed_model::prelude::{ShardEvent, TaskId, TimePoint};
use smol_str::SmolStr;

use super::scheduler::ShardScheduler;
use super::task_entry::{TaskEntry, TaskPhase};
use super::wanted::{TaskGroup, WantedGroup};

/// Why a group's tasks wait.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WaitReason {
    /// No worker has room at present.
    NoRoom,
    /// The team's quota is used up.
    Quota,
    /// No worker of the cluster is large enough.
    Infeasible(SmolStr),
    /// The log dropped entries that may tell of earlier runs.
    HistoryLost,
}

/// The tasks of one group that wait.
#[derive(Debug, Clone, Default)]
pub struct WaitingGroup {
    /// The indices of the tasks.
    pub indices: BTreeSet<u32>,
    /// Since when the group's tasks wait for room.
    pub blocked_since: Option<TimePoint>,
    /// Why they wait.
    pub reason: Option<WaitReason>,
}

/// The tasks that wait to be placed.
#[derive(Debug, Clone, Default)]
pub struct TaskQueue {
    groups: BTreeMap<TaskGroup, WaitingGroup>,
    intents: BTreeSet<TaskId>,
    cancels: BTreeSet<TaskGroup>,
}

impl TaskQueue {
    /// Returns the groups that have tasks waiting.
    pub fn groups(&self) -> impl Iterator<Item = (&TaskGroup, &WaitingGroup)> {
        self.groups.iter()
    }

    /// Returns a group for change.
    pub fn group_mut(&mut self, group: &TaskGroup) -> Option<&mut WaitingGroup> {
        self.groups.get_mut(group)
    }

    /// Lets a task wait.
    pub fn push(&mut self, task: &TaskId) {
        let group = self.groups.entry(TaskGroup::of(task)).or_default();
        group.indices.insert(task.index);
    }

    /// Takes a task out.
    pub fn remove(&mut self, task: &TaskId) {
        let key = TaskGroup::of(task);
        if let Some(group) = self.groups.get_mut(&key) {
            group.indices.remove(&task.index);
            if group.indices.is_empty() {
                self.groups.remove(&key);
            }
        }
    }

    /// Takes all tasks of a group out.
    pub fn remove_group(&mut self, group: &TaskGroup) {
        self.groups.remove(group);
    }

    /// Notes that an event which takes the task out of the queue was given to the log.
    pub fn add_intent(&mut self, task: &TaskId) {
        self.intents.insert(task.clone());
        self.remove(task);
    }

    /// Notes that the log settled the event.
    pub fn remove_intent(&mut self, task: &TaskId) {
        self.intents.remove(task);
    }

    /// Tells whether an event about the task is with the log.
    pub fn has_intent(&self, task: &TaskId) -> bool {
        self.intents.contains(task)
    }

    /// Notes that a group's cancellation has to be given to the log.
    pub fn cancel(&mut self, group: &TaskGroup) {
        self.cancels.insert(group.clone());
    }

    /// Returns the groups whose cancellation has to be given to the log, once.
    pub fn take_cancels(&mut self) -> BTreeSet<TaskGroup> {
        std::mem::take(&mut self.cancels)
    }
}

impl ShardScheduler {
    /// Decides for all tasks of some groups whether they wait.
    pub(super) fn refresh_groups(&mut self, groups: &BTreeSet<TaskGroup>) {
        for group in groups {
            self.queue.remove_group(group);
            let mut tasks = BTreeSet::new();
            let logged = self.state.is_cancelled(&group.record, group.generation);
            if let Some(wanted) = self.wanted.group(group) {
                if wanted.cancelled && !logged {
                    self.queue.cancel(group);
                }
                tasks.extend(wanted.home.iter().map(|index| group.task(*index)));
            }
            let known = self.state.tasks_of(&group.record, group.generation);
            tasks.extend(known.map(|(task, _)| task.clone()));
            for task in &tasks {
                self.refresh_task(task);
            }
            self.refresh_specs(group);
        }
        self.plan_due = true;
    }

    /// Decides whether a task waits.
    pub(super) fn refresh_task(&mut self, task: &TaskId) {
        if self.is_waiting(task) {
            self.queue.push(task);
            self.plan_due = true;
        } else {
            self.queue.remove(task);
        }
    }

    fn is_waiting(&self, task: &TaskId) -> bool {
        let Some(wanted) = self.wanted.group(&TaskGroup::of(task)) else {
            return false;
        };
        let cancelled = wanted.cancelled || self.state.is_cancelled(&task.record, task.generation);
        if task.index >= wanted.count || cancelled || self.queue.has_intent(task) {
            return false;
        }
        match self.state.task(task) {
            Some(entry) => self.entry_waits(task, entry, wanted),
            None if self.held.contains(&TaskGroup::of(task)) => false,
            None => wanted.home.binary_search(&task.index).is_ok(),
        }
    }

    fn entry_waits(&self, task: &TaskId, entry: &TaskEntry, wanted: &WantedGroup) -> bool {
        if entry.phase != TaskPhase::Open || wanted.is_failed(entry) {
            return false;
        }
        if entry.hop == 0 && wanted.home.binary_search(&task.index).is_err() {
            return false;
        }
        // A replica whose attempts are all about to stop gets its replacement first.
        entry.placements.iter().all(|placement| {
            let worker = self.workers.get(&placement.worker);
            let attempt =
                worker.and_then(|worker| worker.attempts.get(&(task.clone(), placement.attempt)));
            wanted.template.class.is_latency_critical()
                && attempt.is_some_and(|attempt| attempt.stop.is_some())
        })
    }

    /// Gives the cancellations that operators published to the log, one event a job.
    pub(super) fn propose_cancels(&mut self) {
        for group in self.queue.take_cancels() {
            self.outbox.push(ShardEvent::Cancelled {
                job: group.record,
                generation: group.generation,
            });
        }
    }
}
