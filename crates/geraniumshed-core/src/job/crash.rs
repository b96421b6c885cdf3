//! The crashes of workers under the runs of a task.

use super::id::TaskKey;

/// The score from which on the next run of a task is a trial.
const TRIAL_SCORE: u32 = 1;
/// The number of crashes under any run of a task after which its next run is a trial.
const TRIAL_TOTAL: u32 = 2;
/// The score that gives a task up after a crash in a trial.
const SCORE_LIMIT: u32 = 6;
/// The number of crashes under any run that give a task up after a crash in a trial.
const TOTAL_LIMIT: u32 = 5;

/// What the crash of a worker says about one of its runs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum CrashEvidence {
    /// Another cause is likely, or the run wasn't started.
    #[default]
    None,
    /// The run had just started, and so had others of its job on most of the workers that were lost at
    /// the same time.
    Shared,
    /// The run may be at fault, like others on the worker.
    Possible,
    /// The run had just started, or was on trial.
    Likely,
    /// The same, and the worker had never reported the run.
    AtStart,
}

impl CrashEvidence {
    /// Returns what the evidence adds to the score of a task.
    fn score(self) -> u32 {
        match self {
            Self::None | Self::Shared | Self::Possible => 0,
            Self::Likely => 1,
            Self::AtStart => 3,
        }
    }

    /// Returns whether the crash counts as one under the run.
    fn counts(self) -> bool {
        match self {
            Self::None | Self::Shared => false,
            Self::Possible | Self::Likely | Self::AtStart => true,
        }
    }
}

/// The crashes of workers under the runs of a task.
///
/// A task that crashes its workers can't be told from its neighbours by a single crash. It is, once
/// its runs crash workers in trials, during which no other run is started there. A run that survives a
/// trial clears the task.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CrashHistory {
    /// The number of crashes under runs of the task.
    pub total: u32,
    /// How much they point at the task.
    pub score: u32,
}

impl CrashHistory {
    /// Counts a crash under a run of the task.
    pub fn record(&mut self, evidence: CrashEvidence) {
        self.total = self.total.saturating_add(u32::from(evidence.counts()));
        self.score = self.score.saturating_add(evidence.score());
        if evidence == CrashEvidence::Shared {
            // However often it comes, a common cause outside of the job remains as likely.
            self.score = self.score.max(TRIAL_SCORE);
        }
    }

    /// Returns whether the next run of the task has to be a trial.
    pub fn needs_trial(&self) -> bool {
        self.score >= TRIAL_SCORE || self.total >= TRIAL_TOTAL
    }

    /// Returns whether the task has to be given up after a crash that was just counted.
    pub fn is_at_limit(&self, was_trial: bool) -> bool {
        let is_proved = self.score >= SCORE_LIMIT || self.total >= TOTAL_LIMIT;
        was_trial && is_proved
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
