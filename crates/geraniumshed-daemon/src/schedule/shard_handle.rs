//! The running scheduler of one shard.

use std::time::Duration;

use geraniumshed_core::schedule::{
    SchedulerSettings, ShardInput, ShardMap, ShardSnapshot, ShardStatus,
};
use geraniumshed_model::prelude::{ShardId, ShardTerm, TaskId};
use geraniumshed_platform::WorkerClient;
use tokio::sync::watch;
use xtra::{Address, Mailbox, WeakAddress};

use super::shard_actor::{ReadStatus, Release, ShardActor, TakeSnapshot};
use super::streams::{ShardItem, ShardReader, ShardStreams};
use crate::clock::ProcessClock;
use crate::view::{ConfigView, VmView};

/// The time between two ticks of a scheduler.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// What the scheduler of a shard works with.
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
    /// The records in force; they must be known up to the time of the claim.
    pub config: ConfigView,
    /// The VMs that the platform lists.
    pub vms: VmView,
}

/// A handle of the running scheduler of one shard; it ends with its last handle.
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
    /// Spawns the scheduler of a shard that was claimed under a term.
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

    /// Returns what operators see of the shard, unless the scheduler has ended.
    pub async fn status(&self) -> Option<ShardStatus> {
        self.address.send(ReadStatus).await.ok()
    }

    /// Takes a snapshot of the shard's state, unless the scheduler is not ready.
    pub async fn snapshot(&self) -> Option<ShardSnapshot> {
        self.address.send(TakeSnapshot).await.ok().flatten()
    }

    /// Tells the scheduler what an operator decided about a task whose outcome is unknown.
    pub async fn resolve(&self, task: TaskId, rerun: bool) {
        let input = ShardInput::Resolve { task, rerun };
        // A scheduler that has ended decides nothing; the operator sees the task again.
        let _sent = self.address.send(input).await;
    }

    /// Waits until a newer owner holds the shard or the scheduler has ended.
    pub async fn superseded(&self) {
        let mut superseded = self.superseded.clone();
        // The sender goes with the actor.
        let _ended = superseded.wait_for(|superseded| *superseded).await;
    }

    /// Ends the scheduler before the daemon gives the shard up; its last calls are awaited.
    pub async fn release(&self) {
        let _ended = self.address.send(Release).await;
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
            ShardItem::Lost => ShardInput::EntriesLost,
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
