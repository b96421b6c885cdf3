//! The actor that claims, renews and releases shards.

use std::sync::Arc;

use geraniumshed_core::member::{OwnerMap, OwnershipPlan, PeerView};
use geraniumshed_model::prelude::{ClaimEvent, ShardId, ShardTerm};
use tokio::sync::watch;
use xtra::{Actor, Context, Handler, WeakAddress};

use crate::log::{AppendError, FollowerItem, StreamWriter};
use crate::peer::PeerHub;

/// Drives the [`OwnershipPlan`] with claims from the log, peer reports and ticks.
#[derive(Debug)]
pub(super) struct OwnershipActor {
    pub(super) plan: OwnershipPlan,
    pub(super) hub: PeerHub,
    pub(super) writer: StreamWriter<ClaimEvent>,
    pub(super) address: WeakAddress<Self>,
    pub(super) view: watch::Sender<Arc<OwnerMap>>,
    /// Whether an append is in flight; only one is sent at a time.
    pub(super) appending: bool,
}

/// An item read from the `claims` stream.
#[derive(Debug)]
pub(super) struct ClaimsItem(pub(super) FollowerItem<ClaimEvent>);

/// The periodic tick.
#[derive(Debug)]
pub(super) struct Tick;

/// The result of an append to the `claims` stream.
#[derive(Debug)]
pub(super) struct AppendEnded(Result<(), AppendError>);

/// The scheduler of a shard that is being released has stopped.
#[derive(Debug)]
pub(super) struct ShardStopped(pub(super) ShardId);

/// Requests the release of all shards because the daemon is stopping.
#[derive(Debug)]
pub(super) struct Leave;

impl OwnershipActor {
    /// Appends the claim events that are due and publishes the current shard owners.
    fn advance(&mut self) {
        let live = self.hub.live();
        let peer_view = PeerView {
            live: &live,
            settled: self.hub.is_settled(),
            log_steady: self.hub.is_log_steady(),
        };
        if !self.appending {
            let events = self.plan.tick(self.hub.now(), peer_view);
            self.append(events);
        }
        self.hub.set_needed(self.plan.needed_peers(&live));
        let map = self.plan.owner_map(&live);
        self.view.send_if_modified(|view| {
            let changed = **view != map;
            if changed {
                *view = Arc::new(map);
            }
            changed
        });
    }

    fn append(&mut self, events: Vec<ClaimEvent>) {
        if events.is_empty() {
            return;
        }
        self.appending = true;
        let writer = self.writer.clone();
        let address = self.address.clone();
        tokio::spawn(async move {
            let appended = writer.append(ShardTerm::default(), events).await;
            // The send fails only if the actor has stopped.
            let _ = address.send(AppendEnded(appended.map(drop))).await;
        });
    }
}

impl Actor for OwnershipActor {
    type Stop = ();

    async fn stopped(self) {}
}

impl Handler<ClaimsItem> for OwnershipActor {
    type Return = ();

    async fn handle(&mut self, message: ClaimsItem, _: &mut Context<Self>) {
        match message.0 {
            FollowerItem::Batch { offset, batch } => {
                for event in &batch.events {
                    self.plan.apply(offset, event);
                }
            }
            FollowerItem::CaughtUp { .. } => {
                self.plan.set_caught_up(true);
                self.advance();
            }
            // Owners repeat their holds well before the log's retention drops them, so the current
            // owners are read again.
            FollowerItem::EntriesLost { .. } => self.plan.set_caught_up(false),
            FollowerItem::Unreadable { .. } => {}
        }
    }
}

impl Handler<Tick> for OwnershipActor {
    type Return = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self>) {
        self.advance();
    }
}

impl Handler<AppendEnded> for OwnershipActor {
    type Return = ();

    async fn handle(&mut self, message: AppendEnded, _: &mut Context<Self>) {
        self.appending = false;
        self.plan.set_log_down(message.0.is_err());
        if let Err(error) = message.0 {
            log::warn!("appending to the claims stream failed: {error}");
        }
        self.advance();
    }
}

impl Handler<ShardStopped> for OwnershipActor {
    type Return = ();

    async fn handle(&mut self, message: ShardStopped, _: &mut Context<Self>) {
        self.plan.stopped(message.0);
        self.advance();
    }
}

impl Handler<Leave> for OwnershipActor {
    type Return = ();

    async fn handle(&mut self, _: Leave, _: &mut Context<Self>) {
        self.plan.leave();
        self.hub.set_leaving();
        self.advance();
    }
}
