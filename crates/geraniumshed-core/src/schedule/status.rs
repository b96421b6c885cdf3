//! The status of a shard, for operators.

use geraniumshed_model::prelude::{AttemptPhase, ShardId, ShardTerm, TaskId, VmId};
use smol_str::SmolStr;

use super::desired::TaskGroup;
use super::scheduler::{OwnerStage, ShardScheduler};
use super::task_entry::TaskPhase;
use super::task_queue::WaitReason;
use super::worker_entry::AttemptStage;

/// The waiting tasks of one record and the reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingStatus {
    /// The record and its generation.
    pub group: TaskGroup,
    /// The number of tasks.
    pub tasks: u32,
    /// Why the tasks wait.
    pub reason: WaitReason,
}

/// The status of one worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerStatus {
    /// The worker.
    pub worker: VmId,
    /// Whether the owner has seized the worker under its term and knows the inventory.
    pub seized: bool,
    /// Whether the worker is being drained.
    pub leaving: bool,
    /// Whether the worker is quarantined, since attempts of several records failed on it.
    pub quarantined: bool,
    /// The number of attempts that the worker runs or is to run.
    pub attempts: u32,
}

/// The status of a shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardStatus {
    /// The shard.
    pub shard: ShardId,
    /// The owner's term.
    pub term: ShardTerm,
    /// The owner's stage.
    pub stage: OwnerStage,
    /// The tasks that wait.
    pub waiting: Vec<WaitingStatus>,
    /// The number of attempts that are placed and not running yet.
    pub starting: u32,
    /// The number of running attempts.
    pub running: u32,
    /// The number of stopping attempts.
    pub stopping: u32,
    /// The tasks whose outcome is unknown, which operators have to resolve.
    pub unknown: Vec<TaskId>,
    /// The workers.
    pub workers: Vec<WorkerStatus>,
    /// The number of published endpoints.
    pub endpoints: u32,
    /// The counters of the owner's term.
    pub counters: ShardCounters,
}

/// Counts of what the scheduler did under the owner's term.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ShardCounters {
    /// The attempts whose start a worker confirmed.
    pub starts: u64,
    /// The batch attempts that were preempted by services or urgent tasks.
    pub preempted: u64,
    /// The batch attempts that were evicted, since they slowed services down.
    pub evicted: u64,
    /// The batch attempts that were throttled, since they slowed services down.
    pub throttled: u64,
    /// The attempts that were stopped, since their worker is drained.
    pub drained: u64,
    /// The tasks that moved to another shard.
    pub moved: u64,
}

impl ShardScheduler {
    /// Returns the status of the shard.
    pub fn status(&self) -> ShardStatus {
        let stages = self.workers.values().flat_map(|worker| {
            worker
                .attempts
                .values()
                .map(|worker_attempt| &worker_attempt.stage)
        });
        let (mut starting, mut running, mut stopping) = (0, 0, 0);
        for stage in stages {
            match stage {
                AttemptStage::Proposed
                | AttemptStage::Placed { .. }
                | AttemptStage::Inherited
                | AttemptStage::Confirmed(AttemptPhase::Starting) => starting += 1,
                AttemptStage::Confirmed(AttemptPhase::Running) => running += 1,
                AttemptStage::Confirmed(AttemptPhase::Stopping) => stopping += 1,
                AttemptStage::Ended(_) | AttemptStage::EndLogged => {}
            }
        }
        ShardStatus {
            shard: self.shard,
            term: self.term,
            stage: self.stage,
            waiting: self.waiting_status(),
            starting,
            running,
            stopping,
            unknown: self.unknown_tasks(),
            workers: self.worker_status(),
            endpoints: count(self.endpoints.published().count()),
            counters: self.counters,
        }
    }

    fn waiting_status(&self) -> Vec<WaitingStatus> {
        let groups = self.queue.groups().map(|(group, waiting)| WaitingStatus {
            group: group.clone(),
            tasks: count(waiting.indices.len()),
            reason: waiting.reason.clone().unwrap_or(WaitReason::NoRoom),
        });
        groups.chain(self.held_groups_status()).collect()
    }

    /// Returns the groups that are not placed, since the log dropped entries.
    fn held_groups_status(&self) -> impl Iterator<Item = WaitingStatus> {
        self.held_groups.iter().filter_map(|group| {
            let desired = self.desired.group(group)?;
            let home = desired.home.iter().map(|index| group.task(*index));
            let tasks = home.filter(|task| self.state.task(task).is_none()).count();
            (tasks > 0).then(|| WaitingStatus {
                group: group.clone(),
                tasks: count(tasks),
                reason: WaitReason::HistoryLost,
            })
        })
    }

    fn unknown_tasks(&self) -> Vec<TaskId> {
        let tasks = self.state.tasks();
        let unknown = tasks.filter(|(_, entry)| entry.phase == TaskPhase::Unknown);
        unknown.map(|(task, _)| task.clone()).collect()
    }

    fn worker_status(&self) -> Vec<WorkerStatus> {
        let workers = self.workers.iter().map(|(id, worker)| WorkerStatus {
            worker: id.clone(),
            seized: worker.is_seized(),
            leaving: worker.is_leaving(),
            quarantined: worker.health.quarantined_since().is_some(),
            attempts: count(worker.attempts.values().filter(|a| a.is_live()).count()),
        });
        workers.collect()
    }
}

impl std::fmt::Display for WaitReason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NoRoom => f.write_str("no worker has room"),
            Self::Quota => f.write_str("the team's quota is used up"),
            Self::HistoryLost => f.write_str("the log no longer tells whether they ran"),
            Self::Infeasible(reason) => write!(f, "infeasible: {reason}"),
        }
    }
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

/// Returns the name of an owner's stage, for operators.
pub fn stage_name(stage: OwnerStage) -> SmolStr {
    SmolStr::new_static(match stage {
        OwnerStage::Replaying => "replaying",
        OwnerStage::Ready => "ready",
        OwnerStage::Suspended => "suspended",
        OwnerStage::Superseded => "superseded",
    })
}
