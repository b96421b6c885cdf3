//! The handle of the scheduler of one shard.

use std::time::Duration;

use geraniumshed_core::schedule::{
    SchedulerSettings, ShardInput, ShardMap, ShardSnapshot, ShardStatus,
};
use geraniumshed_model::prelude::{ShardId, ShardTerm, TaskId};
use geraniumshed_platform::WorkerClient;
use tokio::sync::watch;
use xtra::{Address, Mailbox, WeakAddress};

use super::shard_actor::{ShardActor, SnapshotRequest, StatusRequest, StopRequest};
use super::streams::{ShardItem, ShardReader, ShardStreams};
use crate::clock::ProcessClock;
use crate::view::{ConfigView, VmView};

/// The interval between two ticks of a scheduler.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// The dependencies of a shard's scheduler.
#[derive(Debug, Clone)]
pub struct ShardContext<S, W> {
    /// The streams of the log.
    pub streams: S,
    /// The client of the workers.
    pub workers: W,
    /// The daemon's clock.
    pub clock: ProcessClock,
    /// The assignment of workers and tasks to shards.
    pub map: ShardMap,
    /// The settings.
    pub settings: SchedulerSettings,
    /// The records in force; they must be applied at least up to the time of the claim.
    pub config: ConfigView,
    /// The VMs that the platform lists.
    pub vms: VmView,
}

/// A handle of the running scheduler of one shard; the scheduler stops when the last handle is
/// dropped.
#[derive(Debug)]
pub struct ShardHandle<S: ShardStreams, W: WorkerClient> {
    address: Address<ShardActor<S, W>>,
    superseded: watch::Receiver<bool>,
}

impl<S: ShardStreams, W: WorkerClient> Clone for ShardHandle<S, W> {
    fn clone(&self) -> Self {
        Self {
            address: self.address.clone(),
            superseded: self.superseded.clone(),
        }
    }
}

impl<S: ShardStreams, W: WorkerClient> ShardHandle<S, W> {
    /// Spawns the scheduler of a shard that was claimed in a term.
    pub fn spawn(context: ShardContext<S, W>, shard: ShardId, term: ShardTerm) -> Self {
        let (superseded_sender, superseded) = watch::channel(false);
        let (address, mailbox) = Mailbox::unbounded();
        let weak = address.downgrade();
        let actor = ShardActor::new(&context, shard, term, weak.clone(), superseded_sender);
        tokio::spawn(xtra::run(mailbox, actor));
        tokio::spawn(forward_config(weak.clone(), context.config));
        tokio::spawn(forward_vms(weak.clone(), context.vms));
        tokio::spawn(forward_entries(weak.clone(), context.streams, shard));
        tokio::spawn(forward_ticks(weak));
        Self {
            address,
            superseded,
        }
    }

    /// Returns the status of the shard, or `None` if the scheduler has stopped.
    pub async fn status(&self) -> Option<ShardStatus> {
        self.address.send(StatusRequest).await.ok()
    }

    /// Takes a snapshot of the shard's state, or returns `None` if the scheduler is not ready.
    pub async fn snapshot(&self) -> Option<ShardSnapshot> {
        self.address.send(SnapshotRequest).await.ok().flatten()
    }

    /// Passes an operator's decision about a task with an unknown outcome to the scheduler.
    pub async fn resolve(&self, task: TaskId, rerun: bool) {
        let input = ShardInput::Resolve { task, rerun };
        // If the scheduler has stopped, the decision is lost and operators see the task again.
        let _sent = self.address.send(input).await;
    }

    /// Waits until a newer owner holds the shard or the scheduler has stopped.
    pub async fn wait_superseded(&self) {
        let mut superseded = self.superseded.clone();
        // The sender is dropped with the actor, which also ends the wait.
        let _ended = superseded.wait_for(|superseded| *superseded).await;
    }

    /// Stops the scheduler before the daemon releases the shard; messages that were sent earlier
    /// are handled first.
    pub async fn stop(&self) {
        let _ended = self.address.send(StopRequest).await;
    }
}

async fn forward_config<S: ShardStreams, W: WorkerClient>(
    address: WeakAddress<ShardActor<S, W>>,
    mut view: ConfigView,
) {
    loop {
        let config = view.borrow_and_update().clone();
        if address.send(ShardInput::Config(config)).await.is_err() || view.changed().await.is_err()
        {
            return;
        }
    }
}

async fn forward_vms<S: ShardStreams, W: WorkerClient>(
    address: WeakAddress<ShardActor<S, W>>,
    mut view: VmView,
) {
    loop {
        let vms = view.borrow_and_update().clone();
        if address.send(ShardInput::Vms(vms)).await.is_err() || view.changed().await.is_err() {
            return;
        }
    }
}

async fn forward_entries<S: ShardStreams, W: WorkerClient>(
    address: WeakAddress<ShardActor<S, W>>,
    streams: S,
    shard: ShardId,
) {
    let mut reader = streams.follow(shard);
    while let Some(item) = reader.next().await {
        let input = match item {
            ShardItem::Batch { offset, batch } => ShardInput::Read { offset, batch },
            ShardItem::EntriesLost => ShardInput::EntriesLost,
        };
        if address.send(input).await.is_err() {
            return;
        }
    }
}

async fn forward_ticks<S: ShardStreams, W: WorkerClient>(address: WeakAddress<ShardActor<S, W>>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if address.send(ShardInput::Tick).await.is_err() {
            return;
        }
    }
}
