//! What operators see of a shard.

use geraniumshed_model::prelude::{AttemptPhase, ShardId, ShardTerm, TaskId, VmId};
use smol_str::SmolStr;

use super::scheduler::{OwnerStage, ShardScheduler};
use super::task_entry::TaskPhase;
use super::task_queue::WaitReason;
use super::wanted::TaskGroup;
use super::worker_entry::AttemptStage;

/// Tasks of one record that wait, and why.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingStatus {
    /// The record and its generation.
    pub group: TaskGroup,
    /// The number of tasks.
    pub tasks: u32,
    /// Why they wait.
    pub reason: WaitReason,
}

/// What operators see of one worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerStatus {
    /// The worker.
    pub worker: VmId,
    /// Whether its inventory is known under the present term.
    pub seized: bool,
    /// Whether it is being emptied.
    pub leaving: bool,
    /// Whether it gets no tasks since it failed those of several jobs.
    pub quarantined: bool,
    /// The attempts that it runs or is to run.
    pub attempts: u32,
}

/// What operators see of a shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardStatus {
    /// The shard.
    pub shard: ShardId,
    /// The owner's term.
    pub term: ShardTerm,
    /// How far the owner has come.
    pub stage: OwnerStage,
    /// The tasks that wait.
    pub waiting: Vec<WaitingStatus>,
    /// The tasks that are placed and do not run yet.
    pub starting: u32,
    /// The tasks that run.
    pub running: u32,
    /// The tasks that stop.
    pub stopping: u32,
    /// The tasks whose outcome nobody knows, for operators to decide.
    pub unknown: Vec<TaskId>,
    /// The workers.
    pub workers: Vec<WorkerStatus>,
    /// The number of endpoints that daemons were told of.
    pub endpoints: u32,
    /// What was done under the present term.
    pub counters: ShardCounters,
}

/// What was done under the present term.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ShardCounters {
    /// The attempts whose start a worker confirmed.
    pub starts: u64,
    /// The batch attempts that were stopped for work of a higher urgency.
    pub preempted: u64,
    /// The batch attempts that were stopped since they slowed services down.
    pub evicted: u64,
    /// The batch attempts that were throttled since they slowed services down.
    pub throttled: u64,
    /// The attempts that were stopped since their worker is emptied.
    pub drained: u64,
    /// The tasks that went to another shard.
    pub moved: u64,
}

impl ShardScheduler {
    /// Returns what operators see of the shard.
    pub fn status(&self) -> ShardStatus {
        let stages = self
            .workers
            .values()
            .flat_map(|worker| worker.attempts.values().map(|known| &known.stage));
        let (mut starting, mut running, mut stopping) = (0, 0, 0);
        for stage in stages {
            match stage {
                AttemptStage::Intended
                | AttemptStage::Placed { .. }
                | AttemptStage::Inherited
                | AttemptStage::Held(AttemptPhase::Starting) => starting += 1,
                AttemptStage::Held(AttemptPhase::Running) => running += 1,
                AttemptStage::Held(AttemptPhase::Stopping) => stopping += 1,
                AttemptStage::Ended(_) | AttemptStage::Logged => {}
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
        groups.chain(self.held_status()).collect()
    }

    /// Returns the groups whose tasks wait since the log dropped what it knew of them.
    fn held_status(&self) -> impl Iterator<Item = WaitingStatus> {
        self.held.iter().filter_map(|group| {
            let wanted = self.wanted.group(group)?;
            let home = wanted.home.iter().map(|index| group.task(*index));
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

/// A short name of a stage of ownership, for operators.
pub fn stage_name(stage: OwnerStage) -> SmolStr {
    SmolStr::new_static(match stage {
        OwnerStage::Replaying => "replaying",
        OwnerStage::Ready => "ready",
        OwnerStage::Suspended => "suspended",
        OwnerStage::Superseded => "superseded",
    })
}
