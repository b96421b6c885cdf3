//! The actor that drives the scheduler of one shard.

use std::sync::Arc;

use geraniumshed_core::schedule::{
    OwnerStage, ShardAction, ShardInput, ShardScheduler, ShardSnapshot, ShardStatus,
};
use geraniumshed_core::state::ConfigState;
use geraniumshed_model::prelude::{ConfigEvent, EndpointEvent, ShardEvent, ShardId, ShardTerm};
use geraniumshed_platform::WorkerClient;
use tokio::sync::watch;
use xtra::{Actor, Context, Handler, WeakAddress};

use super::lane::EventLane;
use super::shard_handle::ShardContext;
use super::streams::ShardStreams;
use super::worker_link::worker_fault;
use crate::clock::ProcessClock;

/// The actor that drives the scheduler of one shard.
#[derive(Debug)]
pub struct ShardActor<S, W> {
    scheduler: ShardScheduler,
    clock: ProcessClock,
    streams: S,
    workers: W,
    config: Arc<ConfigState>,
    address: WeakAddress<Self>,
    events: EventLane<ShardEvent>,
    endpoints: EventLane<EndpointEvent>,
    reports: EventLane<ConfigEvent>,
    superseded: watch::Sender<bool>,
}

/// Asks for what operators see of the shard.
#[derive(Debug)]
pub struct ReadStatus;

/// Asks for a snapshot of the shard's state.
#[derive(Debug)]
pub struct TakeSnapshot;

/// Asks the actor to end.
#[derive(Debug)]
pub struct Release;

impl<S: ShardStreams, W: WorkerClient> ShardActor<S, W> {
    /// Creates the actor of a shard that was claimed under a term.
    pub(super) fn new(
        context: &ShardContext<S, W>,
        shard: ShardId,
        term: ShardTerm,
        address: WeakAddress<Self>,
        superseded: watch::Sender<bool>,
    ) -> Self {
        let clock = context.clock;
        let map = context.map.clone();
        let settings = context.settings.clone();
        let streams = &context.streams;
        Self {
            scheduler: ShardScheduler::new(shard, term, map, settings, clock.now()),
            clock,
            streams: streams.clone(),
            workers: context.workers.clone(),
            config: Arc::default(),
            events: spawn_events(streams, &address, shard, term),
            endpoints: spawn_endpoints(streams, &address, term),
            reports: spawn_reports(streams, &address),
            address,
            superseded,
        }
    }

    fn perform(&self, action: ShardAction) {
        match action {
            ShardAction::Append(events) => self.events.send(events),
            ShardAction::Publish(events) => self.endpoints.send(events),
            ShardAction::Report(events) => self.reports.send(events),
            ShardAction::Seize {
                worker,
                address,
                request,
            } => {
                let client = self.workers.clone();
                self.call(async move {
                    let reply = client.seize(address, request).await;
                    let outcome = reply.map_err(|error| worker_fault(&error));
                    ShardInput::Seized { worker, outcome }
                });
            }
            ShardAction::Exchange {
                worker,
                address,
                request,
            } => {
                let client = self.workers.clone();
                self.call(async move {
                    let sequence = request.sequence;
                    let reply = client.exchange(address, request).await;
                    let outcome = reply.map_err(|error| worker_fault(&error));
                    ShardInput::Exchanged {
                        worker,
                        sequence,
                        outcome,
                    }
                });
            }
            ShardAction::Move { to, event } => self.move_task(to, event),
            ShardAction::Superseded => {
                self.superseded.send_replace(true);
            }
        }
    }

    /// Makes a call and tells the scheduler what came of it.
    fn call(&self, call: impl Future<Output = ShardInput> + Send + 'static) {
        let address = self.address.clone();
        tokio::spawn(async move {
            let input = call.await;
            // An actor that has ended needs no answer.
            let _sent = address.send(input).await;
        });
    }

    fn move_task(&self, to: ShardId, event: ShardEvent) {
        let ShardEvent::MovedIn { task, .. } = event.clone() else {
            return;
        };
        let streams = self.streams.clone();
        let address = self.address.clone();
        tokio::spawn(async move {
            let appended = streams.append_shard(to, ShardTerm::default(), vec![event]);
            if appended.await.is_err() {
                let _sent = address.send(ShardInput::MoveFailed(task)).await;
            }
        });
    }
}

fn spawn_events<S: ShardStreams, W: WorkerClient>(
    streams: &S,
    address: &WeakAddress<ShardActor<S, W>>,
    shard: ShardId,
    term: ShardTerm,
) -> EventLane<ShardEvent> {
    let streams = streams.clone();
    let address = address.clone();
    EventLane::spawn(
        move |events| {
            let streams = streams.clone();
            async move { streams.append_shard(shard, term, events).await }
        },
        move |events| tell(&address, ShardInput::AppendFailed(events)),
    )
}

fn spawn_endpoints<S: ShardStreams, W: WorkerClient>(
    streams: &S,
    address: &WeakAddress<ShardActor<S, W>>,
    term: ShardTerm,
) -> EventLane<EndpointEvent> {
    let streams = streams.clone();
    let address = address.clone();
    EventLane::spawn(
        move |events| {
            let streams = streams.clone();
            async move { streams.append_endpoints(term, events).await }
        },
        move |_| tell(&address, ShardInput::PublishFailed),
    )
}

fn spawn_reports<S: ShardStreams, W: WorkerClient>(
    streams: &S,
    address: &WeakAddress<ShardActor<S, W>>,
) -> EventLane<ConfigEvent> {
    let streams = streams.clone();
    let address = address.clone();
    EventLane::spawn(
        move |events| {
            let streams = streams.clone();
            async move { streams.append_config(events).await }
        },
        move |_| tell(&address, ShardInput::ReportFailed),
    )
}

/// Tells the scheduler something without waiting until it has taken it in.
fn tell<S: ShardStreams, W: WorkerClient>(
    address: &WeakAddress<ShardActor<S, W>>,
    input: ShardInput,
) {
    let sent = address.send(input).detach();
    tokio::spawn(async move {
        // An actor that has ended needs no news.
        let _handled = sent.await;
    });
}

impl<S: ShardStreams, W: WorkerClient> Actor for ShardActor<S, W> {
    type Stop = ();

    async fn stopped(self) {}
}

impl<S: ShardStreams, W: WorkerClient> Handler<ShardInput> for ShardActor<S, W> {
    type Return = ();

    async fn handle(&mut self, message: ShardInput, _: &mut Context<Self>) {
        if let ShardInput::Config(config) = &message {
            self.config = Arc::clone(config);
        }
        for action in self.scheduler.handle(self.clock.now(), message) {
            self.perform(action);
        }
    }
}

impl<S: ShardStreams, W: WorkerClient> Handler<ReadStatus> for ShardActor<S, W> {
    type Return = ShardStatus;

    async fn handle(&mut self, _: ReadStatus, _: &mut Context<Self>) -> ShardStatus {
        self.scheduler.status()
    }
}

impl<S: ShardStreams, W: WorkerClient> Handler<TakeSnapshot> for ShardActor<S, W> {
    type Return = Option<ShardSnapshot>;

    async fn handle(&mut self, _: TakeSnapshot, _: &mut Context<Self>) -> Option<ShardSnapshot> {
        let ready = self.scheduler.stage() == OwnerStage::Ready;
        ready.then(|| self.scheduler.state().to_snapshot(&self.config))
    }
}

impl<S: ShardStreams, W: WorkerClient> Handler<Release> for ShardActor<S, W> {
    type Return = ();

    async fn handle(&mut self, _: Release, ctx: &mut Context<Self>) {
        ctx.stop_self();
    }
}
