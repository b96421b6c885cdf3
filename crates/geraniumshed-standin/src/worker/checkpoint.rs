//! The checkpoints, which the platform keeps beyond the life of a worker.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use geraniumshed_model::prelude::{AttemptNumber, CheckpointId, TaskId};

/// The checkpoints of all workers of one set.
#[derive(Debug, Clone, Default)]
pub struct CheckpointStore {
    inner: Arc<Mutex<CheckpointInner>>,
}

#[derive(Debug, Default)]
struct CheckpointInner {
    next: u64,
    kept: BTreeMap<CheckpointId, KeptCheckpoint>,
}

#[derive(Debug)]
struct KeptCheckpoint {
    task: TaskId,
    work: Duration,
}

impl CheckpointStore {
    /// Keeps the work that an attempt has done.
    ///
    /// # Panics
    ///
    /// Panics if the name that it forms is not valid, which no number makes it.
    pub fn keep(&self, task: &TaskId, attempt: AttemptNumber, work: Duration) -> CheckpointId {
        let mut inner = self.inner();
        inner.next += 1;
        let id: CheckpointId = format!("c{}-{attempt}", inner.next)
            .parse()
            .expect("a letter and digits form a valid name");
        let kept = KeptCheckpoint {
            task: task.clone(),
            work,
        };
        inner.kept.insert(id.clone(), kept);
        id
    }

    /// Returns the work that a checkpoint of a task holds.
    pub fn work(&self, id: &CheckpointId, task: &TaskId) -> Option<Duration> {
        let inner = self.inner();
        let kept = inner.kept.get(id)?;
        (kept.task == *task).then_some(kept.work)
    }

    /// Loses all checkpoints.
    pub fn lose_all(&self) {
        self.inner().kept.clear();
    }

    fn inner(&self) -> MutexGuard<'_, CheckpointInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
