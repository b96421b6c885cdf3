//! How far jobs have come, summed over the shards.

use std::collections::{BTreeMap, VecDeque};

use geraniumshed_model::prelude::{RecordGeneration, RecordName, ShardId};

/// The finished jobs that are remembered.
const FINISHED_LIMIT: usize = 1000;

/// The tasks of a job that have ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EndedCount {
    /// The tasks that completed.
    pub completed: u32,
    /// The tasks that failed for good or were cancelled.
    pub failed: u32,
}

impl EndedCount {
    /// Returns the number of tasks that have ended.
    pub fn total(self) -> u32 {
        self.completed.saturating_add(self.failed)
    }
}

/// How far one job has come.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct JobProgress {
    /// The generation of the job.
    pub generation: RecordGeneration,
    /// What each shard has reported, in all.
    pub shards: BTreeMap<ShardId, EndedCount>,
}

impl JobProgress {
    /// Returns the sum over the shards.
    pub fn ended(&self) -> EndedCount {
        self.shards
            .values()
            .fold(EndedCount::default(), |sum, shard| EndedCount {
                completed: sum.completed.saturating_add(shard.completed),
                failed: sum.failed.saturating_add(shard.failed),
            })
    }
}

/// A job all of whose tasks have ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FinishedJob {
    /// The name of the job.
    pub name: RecordName,
    /// The generation.
    pub generation: RecordGeneration,
    /// The tasks by their end.
    pub ended: EndedCount,
}

/// The progress of all jobs in force, and the last jobs that finished.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ProgressTable {
    jobs: BTreeMap<RecordName, JobProgress>,
    finished: VecDeque<FinishedJob>,
}

impl ProgressTable {
    /// Returns the progress of a job.
    pub fn job(&self, name: &RecordName) -> Option<&JobProgress> {
        self.jobs.get(name)
    }

    /// Returns the progress of all jobs of which anything was reported.
    pub fn jobs(&self) -> impl Iterator<Item = (&RecordName, &JobProgress)> {
        self.jobs.iter()
    }

    /// Returns the last jobs that finished, the oldest first.
    pub fn finished(&self) -> impl DoubleEndedIterator<Item = &FinishedJob> {
        self.finished.iter()
    }

    /// Folds a cumulative report; repeated and outdated reports change nothing.
    pub fn report(
        &mut self,
        name: &RecordName,
        generation: RecordGeneration,
        shard: ShardId,
        count: EndedCount,
    ) -> EndedCount {
        let job = self.jobs.entry(name.clone()).or_default();
        if job.generation != generation {
            *job = JobProgress {
                generation,
                shards: BTreeMap::new(),
            };
        }
        let held = job.shards.entry(shard).or_default();
        held.completed = held.completed.max(count.completed);
        held.failed = held.failed.max(count.failed);
        job.ended()
    }

    /// Forgets the progress of a job that is no longer in force.
    pub fn forget(&mut self, name: &RecordName) {
        self.jobs.remove(name);
    }

    /// Moves a job to the finished ones.
    pub fn finish(&mut self, job: FinishedJob) {
        self.jobs.remove(&job.name);
        self.finished.push_back(job);
        if self.finished.len() > FINISHED_LIMIT {
            self.finished.pop_front();
        }
    }

    /// Puts the progress of a job as it was.
    pub fn restore(&mut self, name: RecordName, job: JobProgress) {
        self.jobs.insert(name, job);
    }
}
