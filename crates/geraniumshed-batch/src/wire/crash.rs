//! The stored form of the crashes under a job's tasks.

use geraniumshed_core::job::{
    CrashEvidence, CrashHistory, JobId, RunSuspicion, TaskCrashes, TaskKey,
};
use serde::{Deserialize, Serialize};

/// The crashes under a job's tasks, as they are stored.
///
/// They have a record of their own, since earlier releases can't decode a longer record of a job's
/// progress.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobCrashesWire {
    tasks: Vec<TaskCrashesWire>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct TaskCrashesWire {
    occurrence: u32,
    step: u32,
    index: u32,
    total: u32,
    score: u32,
    suspicion: Option<RunSuspicionWire>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct RunSuspicionWire {
    run: u32,
    evidence: CrashEvidenceWire,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
enum CrashEvidenceWire {
    None,
    Shared,
    Possible,
    Likely,
    AtStart,
}

impl JobCrashesWire {
    /// Returns the crashes under the tasks of the job whose record this is.
    pub fn into_crashes(self, job: JobId) -> Vec<TaskCrashes> {
        let tasks = self.tasks.into_iter();
        tasks.map(|task| task.into_crashes(job)).collect()
    }
}

impl From<Vec<TaskCrashes>> for JobCrashesWire {
    fn from(crashes: Vec<TaskCrashes>) -> Self {
        Self {
            tasks: crashes.into_iter().map(TaskCrashesWire::from).collect(),
        }
    }
}

impl TaskCrashesWire {
    fn into_crashes(self, job: JobId) -> TaskCrashes {
        TaskCrashes {
            task: TaskKey {
                job,
                occurrence: self.occurrence,
                step: self.step,
                index: self.index,
            },
            history: CrashHistory {
                total: self.total,
                score: self.score,
            },
            suspicion: self.suspicion.map(RunSuspicion::from),
        }
    }
}

impl From<TaskCrashes> for TaskCrashesWire {
    fn from(crashes: TaskCrashes) -> Self {
        Self {
            occurrence: crashes.task.occurrence,
            step: crashes.task.step,
            index: crashes.task.index,
            total: crashes.history.total,
            score: crashes.history.score,
            suspicion: crashes.suspicion.map(RunSuspicionWire::from),
        }
    }
}

impl From<RunSuspicion> for RunSuspicionWire {
    fn from(suspicion: RunSuspicion) -> Self {
        Self {
            run: suspicion.run,
            evidence: suspicion.evidence.into(),
        }
    }
}

impl From<RunSuspicionWire> for RunSuspicion {
    fn from(wire: RunSuspicionWire) -> Self {
        Self {
            run: wire.run,
            evidence: wire.evidence.into(),
        }
    }
}

impl From<CrashEvidence> for CrashEvidenceWire {
    fn from(evidence: CrashEvidence) -> Self {
        match evidence {
            CrashEvidence::None => Self::None,
            CrashEvidence::Shared => Self::Shared,
            CrashEvidence::Possible => Self::Possible,
            CrashEvidence::Likely => Self::Likely,
            CrashEvidence::AtStart => Self::AtStart,
        }
    }
}

impl From<CrashEvidenceWire> for CrashEvidence {
    fn from(wire: CrashEvidenceWire) -> Self {
        match wire {
            CrashEvidenceWire::None => Self::None,
            CrashEvidenceWire::Shared => Self::Shared,
            CrashEvidenceWire::Possible => Self::Possible,
            CrashEvidenceWire::Likely => Self::Likely,
            CrashEvidenceWire::AtStart => Self::AtStart,
        }
    }
}
