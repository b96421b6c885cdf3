//! The crashes of workers under the runs of a task.

use super::id::TaskKey;

/// The number of crashes of which the task is the likely cause, after which its next run is a trial.
const TRIAL_LIKELY: u32 = 1;
/// The number of crashes under any run of the task after which its next run is a trial.
const TRIAL_TOTAL: u32 = 2;
/// The number of crashes of which the task is the likely cause, the last one in a trial, that give it
/// up. A lower number would give up tasks that random crashes hit right after their starts.
const LIKELY_LIMIT: u32 = 3;

/// What the crash of a worker says about one of its runs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum CrashEvidence {
    /// Another cause is likely, or the run wasn't started.
    #[default]
    None,
    /// The run had just started, and so had others of its job on most of the workers that were lost at
    /// the same time.
    Shared,
    /// The run may be at fault, like others on the worker.
    Possible,
    /// The run is the likely cause: it had just started, or was alone in a trial.
    Likely,
}

/// The crashes of workers under the runs of a task.
///
/// A task that crashes its workers can't be told from its neighbours by a single crash. It is, once
/// its runs crash workers in trials, during which no other run is started there.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CrashHistory {
    /// The number of crashes under runs of the task.
    pub total: u32,
    /// The number of those of which the task is the likely cause.
    pub likely: u32,
}

impl CrashHistory {
    /// Counts a crash under a run of the task.
    pub fn record(&mut self, evidence: CrashEvidence) {
        match evidence {
            CrashEvidence::None => {}
            // However often it comes, a common cause outside of the job remains as likely.
            CrashEvidence::Shared => self.likely = self.likely.max(TRIAL_LIKELY),
            CrashEvidence::Possible => self.total += 1,
            CrashEvidence::Likely => {
                self.total += 1;
                self.likely += 1;
            }
        }
    }

    /// Returns whether the next run of the task has to be a trial.
    pub fn needs_trial(&self) -> bool {
        self.likely >= TRIAL_LIKELY || self.total >= TRIAL_TOTAL
    }

    /// Returns whether the task has to be given up after a crash that was just counted.
    pub fn is_at_limit(&self, was_trial: bool) -> bool {
        was_trial && self.likely >= LIKELY_LIMIT
    }
}

/// What speaks against a run whose worker is silent and may have crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunSuspicion {
    /// The number of the run.
    pub run: u32,
    /// What the crash says about the run, if the worker turns out to have crashed.
    pub evidence: CrashEvidence,
}

/// The crashes under a task, as they are stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskCrashes {
    /// The task.
    pub task: TaskKey,
    /// The crashes so far.
    pub history: CrashHistory,
    /// What speaks against the newest run, if its worker is silent.
    pub suspicion: Option<RunSuspicion>,
}
