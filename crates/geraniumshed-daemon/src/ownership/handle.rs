//! The handle of the actor that claims shards.

use std::sync::Arc;
use std::time::Duration;

use geraniumshed_core::member::{OwnershipPlan, OwnershipTiming};
use geraniumshed_core::schedule::ShardMap;
use geraniumshed_model::prelude::{ClaimEvent, LogOffset, LogStream, ShardId};
use geraniumshed_platform::LogClient;
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval};
use xtra::{Address, Mailbox, WeakAddress};

use super::actor::{Leave, OwnershipActor, ReadClaims, ShardStopped, Tick};
use crate::log::{LogContext, StreamFollower, StreamWriter};
use crate::peer::PeerHub;
use crate::view::OwnershipView;

/// The time between two looks at the peers.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// What the owner of shards works with.
#[derive(Debug, Clone)]
pub struct OwnershipContext {
    /// What is known of the peers.
    pub hub: PeerHub,
    /// The assignment of workers and tasks to shards.
    pub map: ShardMap,
    /// The times that govern claims.
    pub timing: OwnershipTiming,
}

/// The running owner of shards; it ends with its last handle.
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
            writer: StreamWriter::spawn(context, LogStream::Claims, follower.readback()),
            address: address.downgrade(),
            view: view_sender,
            appending: false,
        };
        tokio::spawn(xtra::run(mailbox, actor));
        tokio::spawn(forward_claims(address.downgrade(), follower));
        tokio::spawn(forward_ticks(address.downgrade()));
        Self { address, view }
    }

    /// Returns who owns which shard.
    pub fn view(&self) -> OwnershipView {
        self.view.clone()
    }

    /// Tells that nothing runs any longer for a shard that is to be given up.
    pub async fn stopped(&self, shard: ShardId) {
        // An actor that has ended gives nothing up.
        let _ = self.address.send(ShardStopped(shard)).await;
    }

    /// Gives up all shards, and waits until the log says that this daemon owns none.
    ///
    /// With the log down this may take long; whoever stops the daemon sets a limit.
    pub async fn leave(&self) {
        if self.address.send(Leave).await.is_err() {
            return;
        }
        let mut view = self.view.clone();
        // The sender goes with the actor.
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
        if address.send(ReadClaims(item)).await.is_err() {
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
