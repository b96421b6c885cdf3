//! Starts and stops the scheduler of each shard that this daemon owns.

use std::collections::BTreeMap;
use std::sync::Arc;

use geraniumshed_core::member::OwnerMap;
use geraniumshed_model::prelude::{ShardId, ShardTerm};
use tokio::task::JoinSet;

use super::handle::OwnershipHandle;
use crate::log::TaskGuard;

/// Starts and stops the scheduler of a shard.
pub trait ShardRunner: Send + 'static {
    /// The running scheduler of one shard; dropping the value aborts it.
    type Running: Send + 'static;

    /// Starts the scheduler of a shard that was claimed in a term.
    fn start(&mut self, shard: ShardId, term: ShardTerm) -> Self::Running;

    /// Stops the scheduler of a shard gracefully before the shard is released.
    fn stop(
        &mut self,
        shard: ShardId,
        running: Self::Running,
    ) -> impl Future<Output = ()> + Send + 'static;
}

/// The running supervisor; dropping it aborts the schedulers of all shards.
#[derive(Debug)]
pub struct ShardSupervisor {
    _task: TaskGuard,
}

impl ShardSupervisor {
    /// Spawns the supervisor, which follows the ownership view.
    pub fn spawn<R: ShardRunner>(ownership: OwnershipHandle, runner: R) -> Self {
        let state = SupervisorState {
            ownership,
            runner,
            running: BTreeMap::new(),
            stopping: JoinSet::new(),
        };
        Self {
            _task: TaskGuard::spawn(supervise(state)),
        }
    }
}

/// The state of the supervisor.
struct SupervisorState<R: ShardRunner> {
    ownership: OwnershipHandle,
    runner: R,
    /// The term and the running scheduler by shard; `None` once the shard is being released.
    running: BTreeMap<ShardId, (ShardTerm, Option<R::Running>)>,
    stopping: JoinSet<()>,
}

async fn supervise<R: ShardRunner>(mut state: SupervisorState<R>) {
    let mut view = state.ownership.view();
    loop {
        let owners = Arc::clone(&view.borrow_and_update());
        state.drop_ended(&owners);
        state.start_new(&owners);
        state.stop_yielding(&owners);
        while state.stopping.try_join_next().is_some() {}
        if view.changed().await.is_err() {
            return;
        }
    }
}

impl<R: ShardRunner> SupervisorState<R> {
    /// Aborts the schedulers of shards whose term has ended.
    fn drop_ended(&mut self, owners: &OwnerMap) {
        self.running
            .retain(|shard, (term, _)| owners.own_term(*shard) == Some(*term));
    }

    fn start_new(&mut self, owners: &OwnerMap) {
        for (shard, term) in owners.own_shards() {
            if self.running.contains_key(&shard) {
                continue;
            }
            let running = (!owners.is_yielding(shard)).then(|| self.runner.start(shard, term));
            if running.is_none() {
                self.stop_shard(shard, None);
            }
            self.running.insert(shard, (term, running));
        }
    }

    fn stop_yielding(&mut self, owners: &OwnerMap) {
        let yielding: Vec<_> = self
            .running
            .iter_mut()
            .filter(|(shard, _)| owners.is_yielding(**shard))
            .filter_map(|(shard, (_, running))| Some((*shard, running.take()?)))
            .collect();
        for (shard, running) in yielding {
            self.stop_shard(shard, Some(running));
        }
    }

    /// Stops the scheduler of a shard, if it runs, and then reports the shard as stopped.
    fn stop_shard(&mut self, shard: ShardId, running: Option<R::Running>) {
        let stop = running.map(|running| self.runner.stop(shard, running));
        let ownership = self.ownership.clone();
        self.stopping.spawn(async move {
            if let Some(stop) = stop {
                stop.await;
            }
            ownership.report_stopped(shard).await;
        });
    }
}
