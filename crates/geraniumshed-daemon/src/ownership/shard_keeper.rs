//! Starts and stops what runs for each shard that this daemon owns.

use std::collections::BTreeMap;
use std::sync::Arc;

use geraniumshed_core::member::OwnerMap;
use geraniumshed_model::prelude::{ShardId, ShardTerm};
use tokio::task::JoinSet;

use super::handle::OwnershipHandle;
use crate::log::TaskGuard;

/// Starts and stops what runs for one shard.
pub trait ShardRunner: Send + 'static {
    /// What runs for one shard; dropping it ends it at once.
    type Running: Send + 'static;

    /// Starts what runs for a shard that was claimed under a term.
    fn start(&mut self, shard: ShardId, term: ShardTerm) -> Self::Running;

    /// Ends what runs for a shard that is to be given up, in good order.
    fn stop(
        &mut self,
        shard: ShardId,
        running: Self::Running,
    ) -> impl Future<Output = ()> + Send + 'static;
}

/// The running keeper; dropping it ends what runs for all shards.
#[derive(Debug)]
pub struct ShardKeeper {
    _task: TaskGuard,
}

impl ShardKeeper {
    /// Spawns the keeper.
    pub fn spawn<R: ShardRunner>(ownership: OwnershipHandle, runner: R) -> Self {
        let state = KeeperState {
            ownership,
            runner,
            running: BTreeMap::new(),
            stopping: JoinSet::new(),
        };
        Self {
            _task: TaskGuard::spawn(keep(state)),
        }
    }
}

/// What the keeper's task knows.
struct KeeperState<R: ShardRunner> {
    ownership: OwnershipHandle,
    runner: R,
    /// What runs, or `None` for a shard that has been stopped to be given up.
    running: BTreeMap<ShardId, (ShardTerm, Option<R::Running>)>,
    stopping: JoinSet<()>,
}

async fn keep<R: ShardRunner>(mut state: KeeperState<R>) {
    let mut view = state.ownership.view();
    loop {
        let owners = Arc::clone(&view.borrow_and_update());
        state.drop_lost(&owners);
        state.start_new(&owners);
        state.stop_yielding(&owners);
        while state.stopping.try_join_next().is_some() {}
        if view.changed().await.is_err() {
            return;
        }
    }
}

impl<R: ShardRunner> KeeperState<R> {
    /// Ends at once what runs under a term that is over.
    fn drop_lost(&mut self, owners: &OwnerMap) {
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
                self.tell_stopped(shard, None);
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
            self.tell_stopped(shard, Some(running));
        }
    }

    /// Ends what runs for a shard, and then lets the shard be released.
    fn tell_stopped(&mut self, shard: ShardId, running: Option<R::Running>) {
        let stop = running.map(|running| self.runner.stop(shard, running));
        let ownership = self.ownership.clone();
        self.stopping.spawn(async move {
            if let Some(stop) = stop {
                stop.await;
            }
            ownership.stopped(shard).await;
        });
    }
}
