//! The platform's checkpoint storage, which outlives workers.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use geraniumshed_model::prelude::{AttemptNumber, CheckpointId, TaskId};

/// The checkpoints of all workers of one cluster.
#[derive(Debug, Clone, Default)]
pub struct CheckpointStore {
    inner: Arc<Mutex<CheckpointInner>>,
}

#[derive(Debug, Default)]
struct CheckpointInner {
    next: u64,
    saved: BTreeMap<CheckpointId, SavedCheckpoint>,
}

#[derive(Debug)]
struct SavedCheckpoint {
    task: TaskId,
    work: Duration,
}

impl CheckpointStore {
    /// Saves the work that an attempt has done.
    ///
    /// # Panics
    ///
    /// Panics if the generated checkpoint id is invalid, which no counter value causes.
    pub fn save(&self, task: &TaskId, attempt: AttemptNumber, work: Duration) -> CheckpointId {
        let mut inner = self.inner();
        inner.next += 1;
        let id: CheckpointId = format!("c{}-{attempt}", inner.next)
            .parse()
            .expect("a letter and digits form a valid name");
        let saved = SavedCheckpoint {
            task: task.clone(),
            work,
        };
        inner.saved.insert(id.clone(), saved);
        id
    }

    /// Returns the work stored in a checkpoint, if it exists and belongs to the task.
    pub fn work(&self, id: &CheckpointId, task: &TaskId) -> Option<Duration> {
        let inner = self.inner();
        let saved = inner.saved.get(id)?;
        (saved.task == *task).then_some(saved.work)
    }

    /// Deletes all checkpoints, as a storage failure would.
    pub fn lose_all(&self) {
        self.inner().saved.clear();
    }

    fn inner(&self) -> MutexGuard<'_, CheckpointInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
