//! The actor that runs the scheduler of one shard.

use std::sync::Arc;

use geraniumshed_core::schedule::{
    OwnerStage, ShardAction, ShardInput, ShardScheduler, ShardSnapshot, ShardStatus,
};
use geraniumshed_core::state::ConfigState;
use geraniumshed_model::prelude::{ConfigEvent, EndpointEvent, ShardEvent, ShardId, ShardTerm};
use geraniumshed_platform::WorkerClient;
use tokio::sync::watch;
use xtra::{Actor, Context, Handler, WeakAddress};

use super::append_queue::AppendQueue;
use super::shard_handle::ShardContext;
use super::streams::ShardStreams;
use super::worker_fault::worker_fault;
use crate::clock::ProcessClock;

/// Passes inputs to the scheduler of one shard and performs the actions that it returns.
#[derive(Debug)]
pub struct ShardActor<S, W> {
    scheduler: ShardScheduler,
    clock: ProcessClock,
    streams: S,
    workers: W,
    config: Arc<ConfigState>,
    address: WeakAddress<Self>,
    events: AppendQueue<ShardEvent>,
    endpoints: AppendQueue<EndpointEvent>,
    reports: AppendQueue<ConfigEvent>,
    superseded: watch::Sender<bool>,
}

/// Requests the status of the shard that operators see.
#[derive(Debug)]
pub struct StatusRequest;

/// Requests a snapshot of the shard's state.
#[derive(Debug)]
pub struct SnapshotRequest;

/// Requests the actor to stop.
#[derive(Debug)]
pub struct StopRequest;

impl<S: ShardStreams, W: WorkerClient> ShardActor<S, W> {
    /// Creates the actor of a shard that was claimed in a term.
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
            events: spawn_event_queue(streams, &address, shard, term),
            endpoints: spawn_endpoint_queue(streams, &address, term),
            reports: spawn_report_queue(streams, &address),
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
                self.spawn_call(async move {
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
                self.spawn_call(async move {
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

    /// Spawns a call to a worker and passes its outcome to the scheduler.
    fn spawn_call(&self, call: impl Future<Output = ShardInput> + Send + 'static) {
        let address = self.address.clone();
        tokio::spawn(async move {
            let input = call.await;
            // The send fails only if the actor has stopped.
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

fn spawn_event_queue<S: ShardStreams, W: WorkerClient>(
    streams: &S,
    address: &WeakAddress<ShardActor<S, W>>,
    shard: ShardId,
    term: ShardTerm,
) -> AppendQueue<ShardEvent> {
    let streams = streams.clone();
    let address = address.clone();
    AppendQueue::spawn(
        move |events| {
            let streams = streams.clone();
            async move { streams.append_shard(shard, term, events).await }
        },
        move |events| send_input(&address, ShardInput::AppendFailed(events)),
    )
}

fn spawn_endpoint_queue<S: ShardStreams, W: WorkerClient>(
    streams: &S,
    address: &WeakAddress<ShardActor<S, W>>,
    term: ShardTerm,
) -> AppendQueue<EndpointEvent> {
    let streams = streams.clone();
    let address = address.clone();
    AppendQueue::spawn(
        move |events| {
            let streams = streams.clone();
            async move { streams.append_endpoints(term, events).await }
        },
        move |_| send_input(&address, ShardInput::PublishFailed),
    )
}

fn spawn_report_queue<S: ShardStreams, W: WorkerClient>(
    streams: &S,
    address: &WeakAddress<ShardActor<S, W>>,
) -> AppendQueue<ConfigEvent> {
    let streams = streams.clone();
    let address = address.clone();
    AppendQueue::spawn(
        move |events| {
            let streams = streams.clone();
            async move { streams.append_config(events).await }
        },
        move |_| send_input(&address, ShardInput::ReportFailed),
    )
}

/// Sends an input to the scheduler without waiting until it is handled.
fn send_input<S: ShardStreams, W: WorkerClient>(
    address: &WeakAddress<ShardActor<S, W>>,
    input: ShardInput,
) {
    let sent = address.send(input).detach();
    tokio::spawn(async move {
        // The send fails only if the actor has stopped.
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

impl<S: ShardStreams, W: WorkerClient> Handler<StatusRequest> for ShardActor<S, W> {
    type Return = ShardStatus;

    async fn handle(&mut self, _: StatusRequest, _: &mut Context<Self>) -> ShardStatus {
        self.scheduler.status()
    }
}

impl<S: ShardStreams, W: WorkerClient> Handler<SnapshotRequest> for ShardActor<S, W> {
    type Return = Option<ShardSnapshot>;

    async fn handle(&mut self, _: SnapshotRequest, _: &mut Context<Self>) -> Option<ShardSnapshot> {
        let ready = self.scheduler.stage() == OwnerStage::Ready;
        ready.then(|| self.scheduler.state().to_snapshot(&self.config))
    }
}

impl<S: ShardStreams, W: WorkerClient> Handler<StopRequest> for ShardActor<S, W> {
    type Return = ();

    async fn handle(&mut self, _: StopRequest, ctx: &mut Context<Self>) {
        ctx.stop_self();
    }
}
