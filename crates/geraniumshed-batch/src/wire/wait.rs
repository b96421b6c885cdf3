//! The stored form of the waits of long-running tasks and of the runs without progress.

use std::time::Duration;

use geraniumshed_core::assignment::{IdleRun, StepWait, WaitSnapshot, WorkerHold};
use geraniumshed_core::job::{JobId, WorkerId};
use geraniumshed_model::prelude::whole_millis;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::task::TaskKeyWire;

/// The waits of long-running tasks, the workers held for them and the runs without progress, as they
/// are stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitSnapshotWire {
    steps: Vec<StepWaitWire>,
    /// Each held worker, and the task that it is held for.
    holds: Vec<(SmolStr, TaskKeyWire)>,
    idle_runs: Vec<IdleRunWire>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct IdleRunWire {
    task: TaskKeyWire,
    run: u32,
    percent: u32,
    idle_ms: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct StepWaitWire {
    job: u64,
    occurrence: u32,
    step: u32,
    since_unix_ms: u64,
}

impl From<WaitSnapshot> for WaitSnapshotWire {
    fn from(snapshot: WaitSnapshot) -> Self {
        let hold = |one: WorkerHold| (one.worker.0, TaskKeyWire::from(one.task));
        Self {
            steps: snapshot.steps.into_iter().map(StepWaitWire::from).collect(),
            holds: snapshot.holds.into_iter().map(hold).collect(),
            idle_runs: snapshot
                .idle_runs
                .into_iter()
                .map(IdleRunWire::from)
                .collect(),
        }
    }
}

impl From<WaitSnapshotWire> for WaitSnapshot {
    fn from(wire: WaitSnapshotWire) -> Self {
        let hold = |(worker, task): (SmolStr, TaskKeyWire)| WorkerHold {
            task: task.into(),
            worker: WorkerId(worker),
        };
        Self {
            steps: wire.steps.into_iter().map(StepWait::from).collect(),
            holds: wire.holds.into_iter().map(hold).collect(),
            idle_runs: wire.idle_runs.into_iter().map(IdleRun::from).collect(),
        }
    }
}

impl From<StepWait> for StepWaitWire {
    fn from(wait: StepWait) -> Self {
        Self {
            job: wait.job.0,
            occurrence: wait.occurrence,
            step: wait.step,
            since_unix_ms: wait.since_unix_ms,
        }
    }
}

impl From<StepWaitWire> for StepWait {
    fn from(wire: StepWaitWire) -> Self {
        Self {
            job: JobId(wire.job),
            occurrence: wire.occurrence,
            step: wire.step,
            since_unix_ms: wire.since_unix_ms,
        }
    }
}

impl From<IdleRun> for IdleRunWire {
    fn from(idle: IdleRun) -> Self {
        Self {
            task: idle.task.into(),
            run: idle.run,
            percent: idle.percent,
            idle_ms: whole_millis(idle.idle_time),
        }
    }
}

impl From<IdleRunWire> for IdleRun {
    fn from(wire: IdleRunWire) -> Self {
        Self {
            task: wire.task.into(),
            run: wire.run,
            percent: wire.percent,
            idle_time: Duration::from_millis(wire.idle_ms),
        }
    }
}
