//! The actor that drives the plan of claims.

use std::sync::Arc;

use geraniumshed_core::member::{OwnerMap, OwnershipPlan, PeerView};
use geraniumshed_model::prelude::{ClaimEvent, ShardId, ShardTerm};
use tokio::sync::watch;
use xtra::{Actor, Context, Handler, WeakAddress};

use crate::log::{AppendError, FollowerItem, StreamWriter};
use crate::peer::PeerHub;

/// The actor that drives the plan of claims.
#[derive(Debug)]
pub(super) struct OwnershipActor {
    pub(super) plan: OwnershipPlan,
    pub(super) hub: PeerHub,
    pub(super) writer: StreamWriter<ClaimEvent>,
    pub(super) address: WeakAddress<Self>,
    pub(super) view: watch::Sender<Arc<OwnerMap>>,
    pub(super) appending: bool,
}

/// Something that was read from the `claims` stream.
#[derive(Debug)]
pub(super) struct ReadClaims(pub(super) FollowerItem<ClaimEvent>);

/// Some time has passed.
#[derive(Debug)]
pub(super) struct Tick;

/// An append to the `claims` stream has ended.
#[derive(Debug)]
pub(super) struct AppendEnded(Result<(), AppendError>);

/// Nothing runs for a shard any longer.
#[derive(Debug)]
pub(super) struct ShardStopped(pub(super) ShardId);

/// The daemon is about to stop.
#[derive(Debug)]
pub(super) struct Leave;

impl OwnershipActor {
    /// Decides what to append, and shows the others who owns what.
    fn advance(&mut self) {
        let live = self.hub.live();
        let sight = PeerView {
            live: &live,
            settled: self.hub.is_settled(),
            log_steady: self.hub.is_log_steady(),
        };
        if !self.appending {
            let events = self.plan.tick(self.hub.now(), sight);
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
            // An actor that has ended needs no answer.
            let _ = address.send(AppendEnded(appended.map(drop))).await;
        });
    }
}

impl Actor for OwnershipActor {
    type Stop = ();

    async fn stopped(self) {}
}

impl Handler<ReadClaims> for OwnershipActor {
    type Return = ();

    async fn handle(&mut self, message: ReadClaims, _: &mut Context<Self>) {
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
            // Holds are repeated well before the log drops them, so that each owner comes again.
            FollowerItem::Lost { .. } => self.plan.set_caught_up(false),
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
            log::warn!("claims were not confirmed: {error}");
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
