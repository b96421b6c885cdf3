//! The progress of jobs, summed over the shards.

use std::collections::{BTreeMap, VecDeque};

use geraniumshed_model::prelude::{RecordGeneration, RecordName, ShardId};

/// The maximum number of finished jobs that are remembered.
const FINISHED_LIMIT: usize = 1000;

/// The number of ended tasks of a job, by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EndedCount {
    /// The number of tasks that completed.
    pub completed: u32,
    /// The number of tasks that failed permanently or were cancelled.
    pub failed: u32,
}

impl EndedCount {
    /// Returns the number of tasks that have ended.
    pub fn total(self) -> u32 {
        self.completed.saturating_add(self.failed)
    }
}

/// The progress of one job.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct JobProgress {
    /// The generation of the job.
    pub generation: RecordGeneration,
    /// The total that each shard has reported.
    pub shards: BTreeMap<ShardId, EndedCount>,
}

impl JobProgress {
    /// Returns the sum over all shards.
    pub fn ended(&self) -> EndedCount {
        self.shards
            .values()
            .fold(EndedCount::default(), |sum, shard| EndedCount {
                completed: sum.completed.saturating_add(shard.completed),
                failed: sum.failed.saturating_add(shard.failed),
            })
    }
}

/// A job whose tasks have all ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FinishedJob {
    /// The name of the job.
    pub name: RecordName,
    /// The generation of the job.
    pub generation: RecordGeneration,
    /// The number of tasks by outcome.
    pub ended: EndedCount,
}

/// The progress of all jobs in force, and the most recently finished jobs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ProgressTable {
    jobs: BTreeMap<RecordName, JobProgress>,
    finished: VecDeque<FinishedJob>,
}

impl ProgressTable {
    /// Returns the progress of a job, if any was reported.
    pub fn job(&self, name: &RecordName) -> Option<&JobProgress> {
        self.jobs.get(name)
    }

    /// Returns the progress of all jobs for which any was reported.
    pub fn jobs(&self) -> impl Iterator<Item = (&RecordName, &JobProgress)> {
        self.jobs.iter()
    }

    /// Returns the most recently finished jobs, oldest first.
    pub fn finished(&self) -> impl DoubleEndedIterator<Item = &FinishedJob> {
        self.finished.iter()
    }

    /// Adds a shard's report of its total and returns the sum over all shards. Duplicate and
    /// outdated reports have no effect.
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
        let total = job.shards.entry(shard).or_default();
        total.completed = total.completed.max(count.completed);
        total.failed = total.failed.max(count.failed);
        job.ended()
    }

    /// Removes the progress of a job that is no longer in force.
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

    /// Restores the progress of a job from a snapshot.
    pub fn restore(&mut self, name: RecordName, job: JobProgress) {
        self.jobs.insert(name, job);
    }
}
