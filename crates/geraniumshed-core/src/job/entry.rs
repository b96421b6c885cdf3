//! A job with the state of all its tasks.

use std::sync::Arc;
use std::time::Duration;

use geraniumshed_model::prelude::whole_millis;

use super::chain::chains_from;
use super::crash::{CrashHistory, TaskCrashes};
use super::diagnostics::JobDiagnostics;
use super::id::{JobId, TaskKey, WorkerId};
use super::request::{JobRequest, StepRequest};
use super::stored::{StoredJob, StoredOccurrence, StoredTask, TaskStage};
use super::task::{TaskEntry, TaskPhase};

/// The number of steps and tasks in progress up to which a job begins further occurrences, so that a
/// schedule with any number of occurrences in the past uses a bounded amount of memory.
const MAX_SIZE_IN_PROGRESS: usize = 20_000;

/// The state of a job as reported to clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobPhase {
    /// No task is known to have started, although some may be placed on workers.
    Queued,
    /// A worker has begun a task.
    Running,
    /// All tasks have succeeded.
    Completed,
    /// A task failed too often.
    Failed,
    /// The client cancelled the job.
    Cancelled,
}

impl JobPhase {
    /// Returns whether the phase is final.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// One execution of all steps of a job. A job that doesn't repeat has a single occurrence.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Occurrence {
    /// The number of the occurrence, counted from 0.
    pub number: u32,
    /// The tasks by step.
    pub steps: Vec<Vec<TaskEntry>>,
}

impl Occurrence {
    fn new(number: u32, request: &JobRequest) -> Self {
        let tasks = |step: &StepRequest| vec![TaskEntry::default(); step.task_count as usize];
        Self {
            number,
            steps: request.steps.iter().map(tasks).collect(),
        }
    }

    /// Returns the number of steps and tasks.
    fn size(&self) -> usize {
        self.steps.iter().map(|tasks| 1 + tasks.len()).sum()
    }

    /// Returns whether all tasks of a step have succeeded.
    pub fn is_step_done(&self, step: usize) -> bool {
        self.steps
            .get(step)
            .is_some_and(|tasks| tasks.iter().all(TaskEntry::is_done))
    }

    /// Returns whether all tasks have succeeded.
    pub fn is_done(&self) -> bool {
        (0..self.steps.len()).all(|step| self.is_step_done(step))
    }

    /// Returns whether a step whose turn has come has a task that waits to be placed.
    fn has_tasks_to_place(&self, request: &JobRequest) -> bool {
        let is_waiting = |task: &TaskEntry| task.phase == TaskPhase::Waiting;
        let mut steps = request.steps.iter().zip(&self.steps);
        steps.any(|(step, tasks)| tasks.iter().any(is_waiting) && self.is_step_due(step))
    }

    /// Returns whether all steps that a step depends on are done.
    pub fn is_step_due(&self, request: &StepRequest) -> bool {
        request
            .after
            .iter()
            .all(|step| self.is_step_done(*step as usize))
    }
}

/// A job with the state of all its tasks.
#[derive(Debug, Clone)]
pub struct JobEntry {
    /// The id, which the client chose.
    pub id: JobId,
    /// The job as the client submitted it.
    pub request: Arc<JobRequest>,
    /// The state that is reported to clients once it is stored.
    pub phase: JobPhase,
    /// The occurrences in progress.
    pub occurrences: Vec<Occurrence>,
    /// The number of occurrences that have ended.
    pub ended_occurrences: u32,
    /// When the job ended, in milliseconds of Unix time, or 0 if it hasn't ended.
    pub ended_unix_ms: u64,
    /// The delays and failures of the job, which are logged when it ends.
    pub diagnostics: JobDiagnostics,
    /// Whether the store may hold crashes under the job's tasks.
    pub has_stored_crashes: bool,
    /// The estimated time of the longest chain of dependent steps that starts with each step.
    chains: Vec<Duration>,
}

impl JobEntry {
    /// Creates a job without any run.
    pub fn new(id: JobId, request: JobRequest) -> Self {
        Self {
            id,
            chains: chains_from(&request.steps),
            request: Arc::new(request),
            phase: JobPhase::Queued,
            occurrences: Vec::new(),
            ended_occurrences: 0,
            ended_unix_ms: 0,
            diagnostics: JobDiagnostics::default(),
            has_stored_crashes: false,
        }
    }

    /// Restores a job from its stored form.
    pub fn restore(id: JobId, request: JobRequest, stored: StoredJob) -> Self {
        let mut job = Self::new(id, request);
        job.phase = stored.phase;
        job.ended_unix_ms = stored.ended_unix_ms;
        job.ended_occurrences = stored.ended_occurrences;
        job.occurrences = stored
            .occurrences
            .into_iter()
            .map(|occurrence| restore_occurrence(occurrence, &job.request))
            .collect();
        job
    }

    /// Returns the stored form of the job.
    pub fn stored(&self) -> StoredJob {
        let occurrences = if self.phase.is_final() {
            Vec::new()
        } else {
            self.occurrences.iter().map(stored_occurrence).collect()
        };
        StoredJob {
            phase: self.phase,
            ended_unix_ms: self.ended_unix_ms,
            occurrences,
            ended_occurrences: self.ended_occurrences,
        }
    }

    /// Returns the estimated time of the longest chain of dependent steps (the critical path).
    pub fn longest_chain(&self) -> Duration {
        self.chains.iter().max().copied().unwrap_or_default()
    }

    /// Returns the estimated time of the longest chain of dependent steps that starts with a step.
    pub fn chain_from(&self, step: u32) -> Duration {
        let chain = self.chains.get(step as usize);
        chain.copied().unwrap_or_default()
    }

    /// Returns the number of occurrences, which is 1 for a job that doesn't repeat.
    pub fn occurrence_count(&self) -> u32 {
        self.request.repeat.map_or(1, |repeat| repeat.count)
    }

    /// Returns when an occurrence is due, in milliseconds of Unix time.
    pub fn due_unix_ms(&self, number: u32) -> u64 {
        let Some(repeat) = self.request.repeat else {
            return self.request.submitted_unix_ms;
        };
        let interval = whole_millis(repeat.interval);
        let delay = interval.saturating_mul(u64::from(number));
        repeat.first_unix_ms.saturating_add(delay)
    }

    /// Starts the occurrences that are due and returns whether there were any.
    ///
    /// While many tasks are in progress, the next occurrence is only started once others have ended.
    pub fn begin_due(&mut self, now_unix_ms: u64) -> bool {
        if self.phase.is_final() {
            return false;
        }
        let mut next = self.next_occurrence();
        let first = next;
        let mut size: usize = self.occurrences.iter().map(Occurrence::size).sum();
        let is_due = |job: &Self, number| {
            number < job.occurrence_count() && job.due_unix_ms(number) <= now_unix_ms
        };
        while is_due(self, next) && (self.occurrences.is_empty() || size < MAX_SIZE_IN_PROGRESS) {
            let occurrence = Occurrence::new(next, &self.request);
            size += occurrence.size();
            self.occurrences.push(occurrence);
            next += 1;
        }
        next > first
    }

    /// Returns when the next occurrence is due, in milliseconds of Unix time, if there is one.
    pub fn next_due_unix_ms(&self) -> Option<u64> {
        let next = self.next_occurrence();
        let has_next = !self.phase.is_final() && next < self.occurrence_count();
        has_next.then(|| self.due_unix_ms(next))
    }

    fn next_occurrence(&self) -> u32 {
        let begun = self
            .occurrences
            .iter()
            .map(|occurrence| occurrence.number.saturating_add(1))
            .max();
        begun.unwrap_or(0).max(self.ended_occurrences)
    }

    /// Removes the leading occurrences that are done and returns whether the job is complete.
    pub fn end_done(&mut self) -> bool {
        while self.occurrences.first().is_some_and(Occurrence::is_done) {
            let ended = self.occurrences.remove(0);
            self.ended_occurrences = ended.number.saturating_add(1);
        }
        self.ended_occurrences >= self.occurrence_count()
    }

    /// Returns a task of an occurrence in progress.
    pub fn task(&self, key: TaskKey) -> Option<&TaskEntry> {
        self.occurrence(key.occurrence)?
            .steps
            .get(key.step as usize)?
            .get(key.index as usize)
    }

    /// Returns a task of an occurrence in progress for changes.
    pub fn task_mut(&mut self, key: TaskKey) -> Option<&mut TaskEntry> {
        self.occurrences
            .iter_mut()
            .find(|occurrence| occurrence.number == key.occurrence)?
            .steps
            .get_mut(key.step as usize)?
            .get_mut(key.index as usize)
    }

    /// Marks all members of a gang as done after the success of a run. Returns those that are placed as
    /// another run, with their workers.
    pub fn finish_gang(&mut self, key: TaskKey, run: u32) -> Vec<(TaskKey, WorkerId)> {
        let mut occurrences = self.occurrences.iter_mut();
        let occurrence = occurrences.find(|occurrence| occurrence.number == key.occurrence);
        let members = occurrence.and_then(|one| one.steps.get_mut(key.step as usize));
        let mut repeated = Vec::new();
        for (index, member) in (0..).zip(members.into_iter().flatten()) {
            let phase = std::mem::replace(&mut member.phase, TaskPhase::Done);
            if let TaskPhase::Placed(worker) = phase
                && member.run != run
            {
                repeated.push((TaskKey { index, ..key }, worker));
            }
        }
        repeated
    }

    /// Returns an occurrence in progress.
    pub fn occurrence(&self, number: u32) -> Option<&Occurrence> {
        self.occurrences
            .iter()
            .find(|occurrence| occurrence.number == number)
    }

    /// Returns whether any task waits to be placed and its turn has come. It may still have to wait
    /// for the end of a retry delay.
    pub fn has_tasks_to_place(&self) -> bool {
        let mut occurrences = self.occurrences.iter();
        occurrences.any(|occurrence| occurrence.has_tasks_to_place(&self.request))
    }

    /// Returns the keys of all tasks that are placed on a worker and may be running.
    pub fn placed_tasks(&self) -> Vec<TaskKey> {
        self.keys_where(|task| matches!(task.phase, TaskPhase::Placed(_)))
    }

    /// Returns the crashes under the tasks, or none once the job has ended.
    pub fn crashes(&self) -> Vec<TaskCrashes> {
        if self.phase.is_final() {
            return Vec::new();
        }
        let has_crashes = |task: &TaskEntry| {
            let has_any = task.crashes != CrashHistory::default() || task.suspicion.is_some();
            has_any && !task.is_done()
        };
        let tasks = self.keys_where(has_crashes).into_iter();
        let crashes = tasks.filter_map(|key| {
            let task = self.task(key)?;
            Some(TaskCrashes {
                task: key,
                history: task.crashes,
                suspicion: task.suspicion,
            })
        });
        crashes.collect()
    }

    fn keys_where(&self, matches: impl Fn(&TaskEntry) -> bool) -> Vec<TaskKey> {
        let mut keys = Vec::new();
        for occurrence in &self.occurrences {
            for (step, tasks) in (0..).zip(&occurrence.steps) {
                let found = (0..).zip(tasks).filter(|(_, task)| matches(task));
                keys.extend(found.map(|(index, _)| TaskKey {
                    job: self.id,
                    occurrence: occurrence.number,
                    step,
                    index,
                }));
            }
        }
        keys
    }
}

fn stored_occurrence(occurrence: &Occurrence) -> StoredOccurrence {
    StoredOccurrence {
        number: occurrence.number,
        tasks: occurrence.steps.iter().flatten().map(stored_task).collect(),
    }
}

fn stored_task(task: &TaskEntry) -> StoredTask {
    let stage = match &task.phase {
        TaskPhase::Waiting => TaskStage::Waiting,
        TaskPhase::Placed(worker) => TaskStage::Placed(worker.clone()),
        TaskPhase::Done => TaskStage::Done,
    };
    StoredTask {
        stage,
        run: task.run,
        failures: task.failures,
        // No run resumes a task that is done.
        checkpoint: task.checkpoint.clone().filter(|_| !task.is_done()),
    }
}

fn restore_occurrence(stored: StoredOccurrence, request: &JobRequest) -> Occurrence {
    let mut occurrence = Occurrence::new(stored.number, request);
    let tasks = occurrence.steps.iter_mut().flatten();
    for (task, stored) in tasks.zip(stored.tasks) {
        task.phase = match stored.stage {
            TaskStage::Waiting => TaskPhase::Waiting,
            TaskStage::Placed(worker) => TaskPhase::Placed(worker),
            TaskStage::Done => TaskPhase::Done,
        };
        task.run = stored.run;
        task.failures = stored.failures;
        task.checkpoint = stored.checkpoint;
    }
    for (step, tasks) in request.steps.iter().zip(&mut occurrence.steps) {
        restore_gang(step, tasks);
    }
    occurrence
}

/// Marks all members of a gang as done if one is. Earlier releases stored that of each member alone.
fn restore_gang(step: &StepRequest, members: &mut [TaskEntry]) {
    if step.is_gang && members.iter().any(TaskEntry::is_done) {
        for member in members {
            member.phase = TaskPhase::Done;
        }
    }
}
