//! The schedulers of the shards that this daemon owns.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use geraniumshed_core::schedule::{ShardSnapshot, ShardStatus};
use geraniumshed_model::prelude::{ShardId, ShardTerm, TaskId};
use geraniumshed_platform::WorkerClient;
use tokio::sync::watch;

use crate::log::TaskGuard;
use crate::ownership::ShardRunner;
use crate::schedule::{ShardContext, ShardHandle, ShardStreams};

/// The running schedulers by shard; clones share them.
#[derive(Debug)]
pub struct ShardRunners<S: ShardStreams, W: WorkerClient> {
    context: ShardContext<S, W>,
    caught_up: watch::Receiver<bool>,
    running: RunningTable<S, W>,
}

/// The handles of the running schedulers.
type RunningTable<S, W> = Arc<Mutex<BTreeMap<ShardId, ShardHandle<S, W>>>>;

/// A scheduler that runs, or starts once the daemon has caught up; dropping the value stops it.
#[derive(Debug)]
pub struct RunningShard<S: ShardStreams, W: WorkerClient> {
    shard: ShardId,
    table: RunningTable<S, W>,
    _start: TaskGuard,
}

impl<S: ShardStreams, W: WorkerClient> Drop for RunningShard<S, W> {
    fn drop(&mut self) {
        lock(&self.table).remove(&self.shard);
    }
}

impl<S: ShardStreams, W: WorkerClient> Clone for ShardRunners<S, W> {
    fn clone(&self) -> Self {
        Self {
            context: self.context.clone(),
            caught_up: self.caught_up.clone(),
            running: Arc::clone(&self.running),
        }
    }
}

impl<S: ShardStreams, W: WorkerClient> ShardRunners<S, W> {
    /// Creates an empty table; no scheduler starts before the daemon has caught up.
    pub fn new(context: ShardContext<S, W>, caught_up: watch::Receiver<bool>) -> Self {
        Self {
            context,
            caught_up,
            running: Arc::default(),
        }
    }

    /// Returns the status of each shard whose scheduler runs.
    pub async fn statuses(&self) -> BTreeMap<ShardId, ShardStatus> {
        let mut statuses = BTreeMap::new();
        for (shard, handle) in self.handles() {
            if let Some(status) = handle.status().await {
                statuses.insert(shard, status);
            }
        }
        statuses
    }

    /// Takes a snapshot of a shard, or returns `None` if its scheduler is not ready.
    pub async fn snapshot(&self, shard: ShardId) -> Option<ShardSnapshot> {
        let handle = lock(&self.running).get(&shard).cloned()?;
        handle.snapshot().await
    }

    /// Passes an operator's decision about a task with an unknown outcome to its shard; returns
    /// whether a shard of this daemon waits for it.
    pub async fn resolve(&self, task: &TaskId, rerun: bool) -> bool {
        for (_, handle) in self.handles() {
            let Some(status) = handle.status().await else {
                continue;
            };
            if status.unknown.contains(task) {
                handle.resolve(task.clone(), rerun).await;
                return true;
            }
        }
        false
    }

    fn handles(&self) -> Vec<(ShardId, ShardHandle<S, W>)> {
        let running = lock(&self.running);
        running
            .iter()
            .map(|(shard, handle)| (*shard, handle.clone()))
            .collect()
    }
}

impl<S: ShardStreams, W: WorkerClient> ShardRunner for ShardRunners<S, W> {
    type Running = RunningShard<S, W>;

    fn start(&mut self, shard: ShardId, term: ShardTerm) -> Self::Running {
        let context = self.context.clone();
        let table = Arc::clone(&self.running);
        let mut caught_up = self.caught_up.clone();
        let start = TaskGuard::spawn(async move {
            if caught_up.wait_for(|caught_up| *caught_up).await.is_ok() {
                let handle = ShardHandle::spawn(context, shard, term);
                lock(&table).insert(shard, handle);
            }
        });
        RunningShard {
            shard,
            table: Arc::clone(&self.running),
            _start: start,
        }
    }

    fn stop(
        &mut self,
        shard: ShardId,
        running: Self::Running,
    ) -> impl Future<Output = ()> + Send + 'static {
        let handle = lock(&self.running).remove(&shard);
        async move {
            if let Some(handle) = handle {
                handle.stop().await;
            }
            drop(running);
        }
    }
}

fn lock<S: ShardStreams, W: WorkerClient>(
    table: &Mutex<BTreeMap<ShardId, ShardHandle<S, W>>>,
) -> MutexGuard<'_, BTreeMap<ShardId, ShardHandle<S, W>>> {
    table.lock().unwrap_or_else(PoisonError::into_inner)
}
