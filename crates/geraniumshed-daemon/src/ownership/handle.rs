//! The handle of the ownership actor.

use std::sync::Arc;
use std::time::Duration;

use geraniumshed_core::member::{OwnershipPlan, OwnershipTiming};
use geraniumshed_core::schedule::ShardMap;
use geraniumshed_model::prelude::{ClaimEvent, LogOffset, LogStream, ShardId};
use geraniumshed_platform::LogClient;
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval};
use xtra::{Address, Mailbox, WeakAddress};

use super::actor::{ClaimsItem, Leave, OwnershipActor, ShardStopped, Tick};
use crate::log::{LogContext, StreamFollower, StreamWriter};
use crate::peer::PeerHub;
use crate::view::OwnershipView;

/// The interval at which the ownership plan is re-evaluated.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// The dependencies of the ownership actor.
#[derive(Debug, Clone)]
pub struct OwnershipContext {
    /// The reports of the peers.
    pub hub: PeerHub,
    /// The assignment of workers and tasks to shards.
    pub map: ShardMap,
    /// The timeouts and intervals of claims.
    pub timing: OwnershipTiming,
}

/// A handle of the running ownership actor; the actor stops when the last handle is dropped.
#[derive(Debug, Clone)]
pub struct OwnershipHandle {
    address: Address<OwnershipActor>,
    view: OwnershipView,
}

impl OwnershipHandle {
    /// Spawns the actor and the follower of the `claims` stream.
    pub fn spawn<L: LogClient>(context: &Arc<LogContext<L>>, own: OwnershipContext) -> Self {
        let follower = StreamFollower::spawn(context, LogStream::Claims, LogOffset(0));
        let (view_sender, view) = watch::channel(Arc::default());
        let (address, mailbox) = Mailbox::unbounded();
        let identity = own.hub.identity().clone();
        let actor = OwnershipActor {
            plan: OwnershipPlan::new(identity, own.map, own.timing),
            hub: own.hub,
            writer: StreamWriter::spawn(context, LogStream::Claims, follower.pending_appends()),
            address: address.downgrade(),
            view: view_sender,
            appending: false,
        };
        tokio::spawn(xtra::run(mailbox, actor));
        tokio::spawn(forward_claims(address.downgrade(), follower));
        tokio::spawn(forward_ticks(address.downgrade()));
        Self { address, view }
    }

    /// Returns the view of the current shard owners.
    pub fn view(&self) -> OwnershipView {
        self.view.clone()
    }

    /// Reports that the scheduler of a shard has stopped, so that the shard can be released.
    pub async fn report_stopped(&self, shard: ShardId) {
        // A stopped actor releases nothing, so the report can be dropped.
        let _ = self.address.send(ShardStopped(shard)).await;
    }

    /// Releases all shards and waits until the log confirms that this daemon owns none.
    ///
    /// Waits without a limit while the log is down; the caller sets a timeout.
    pub async fn leave(&self) {
        if self.address.send(Leave).await.is_err() {
            return;
        }
        let mut view = self.view.clone();
        // The sender is dropped with the actor, which also ends the wait.
        let _ = view
            .wait_for(|owners| owners.own_shards().next().is_none())
            .await;
    }
}

async fn forward_claims(
    address: WeakAddress<OwnershipActor>,
    mut follower: StreamFollower<ClaimEvent>,
) {
    while let Some(item) = follower.next().await {
        if address.send(ClaimsItem(item)).await.is_err() {
            return;
        }
    }
}

async fn forward_ticks(address: WeakAddress<OwnershipActor>) {
    let mut interval = interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if address.send(Tick).await.is_err() {
            return;
        }
    }
}
