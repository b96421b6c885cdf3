//! The dispatcher of one service behind a lock, with the requests that wait for its word.
//!
//! A lock rather than an actor: a decision takes about a microsecond, while a message to an actor
//! and back wakes two tasks.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use geraniumshed_core::request::router::RouteView;
use geraniumshed_core::request::{
    DispatchAction, DispatchEvent, DispatchPolicy, EndpointIndex, ServiceDispatcher,
};
use geraniumshed_model::prelude::{RequestId, TimePoint};
use tokio::sync::mpsc::UnboundedSender;

use super::pool::EndpointPool;
use super::settings::EntrySettings;

/// The time after which an attempt looks stalled, in multiples of the 99th percentile.
const STALL_FACTOR: u32 = 4;

/// The dispatcher of one service behind a lock.
#[derive(Debug)]
pub struct ServiceGate {
    state: Mutex<GateState>,
}

#[derive(Debug)]
struct GateState {
    dispatcher: ServiceDispatcher,
    policy: DispatchPolicy,
    waiters: HashMap<RequestId, UnboundedSender<DispatchAction>>,
    pools: HashMap<EndpointIndex, Arc<EndpointPool>>,
}

impl ServiceGate {
    /// Opens the gate of a service.
    pub fn open(policy: DispatchPolicy, seed: u64) -> Self {
        let state = GateState {
            dispatcher: ServiceDispatcher::new(policy.clone(), seed),
            policy,
            waiters: HashMap::new(),
            pools: HashMap::new(),
        };
        Self {
            state: Mutex::new(state),
        }
    }

    /// Takes over a changed policy and a new view of the cluster.
    pub fn update(
        &self,
        now: TimePoint,
        policy: DispatchPolicy,
        view: &RouteView,
        settings: &EntrySettings,
    ) {
        let mut state = self.lock();
        if state.policy != policy {
            state.dispatcher.set_policy(policy.clone());
            state.policy = policy;
        }
        let actions = state.dispatcher.update(now, view);
        state.sync_pools(settings);
        state.deliver(actions);
    }

    /// Takes in a request; later actions for it go to `waiter`.
    pub fn arrive(
        &self,
        now: TimePoint,
        id: RequestId,
        event: DispatchEvent,
        waiter: UnboundedSender<DispatchAction>,
    ) {
        let mut state = self.lock();
        state.waiters.insert(id, waiter);
        let actions = state.dispatcher.handle(now, event);
        state.deliver(actions);
    }

    /// Takes an event.
    pub fn handle(&self, now: TimePoint, event: DispatchEvent) {
        let mut state = self.lock();
        let actions = state.dispatcher.handle(now, event);
        state.deliver(actions);
    }

    /// Lets waiting requests go on if time alone made room.
    pub fn tick(&self, now: TimePoint) {
        let mut state = self.lock();
        if state.dispatcher.waiting() > 0 {
            let actions = state.dispatcher.handle(now, DispatchEvent::Tick);
            state.deliver(actions);
        }
    }

    /// Forgets a request that needs no more actions.
    pub fn leave(&self, id: RequestId) {
        self.lock().waiters.remove(&id);
    }

    /// Returns the pool of an endpoint, and the time after which an attempt looks stalled.
    pub fn way_to(&self, endpoint: EndpointIndex) -> (Option<Arc<EndpointPool>>, Option<Duration>) {
        let state = self.lock();
        let pool = state.pools.get(&endpoint).map(Arc::clone);
        let p99 = state.dispatcher.latency().p99();
        (pool, p99.map(|p99| p99 * STALL_FACTOR))
    }

    fn lock(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().expect("no decision panics")
    }
}

impl GateState {
    fn deliver(&self, actions: Vec<DispatchAction>) {
        for action in actions {
            let id = match &action {
                DispatchAction::Send { request, .. }
                | DispatchAction::Wait { request, .. }
                | DispatchAction::Fail { request, .. } => *request,
            };
            if let Some(waiter) = self.waiters.get(&id) {
                drop(waiter.send(action));
            }
        }
    }

    fn sync_pools(&mut self, settings: &EntrySettings) {
        let router = self.dispatcher.router();
        self.pools
            .retain(|index, _| router.endpoint(*index).is_some());
        for (index, endpoint) in router.endpoints() {
            let address = endpoint.entry().address;
            let pool = self.pools.get(&index);
            if pool.is_none_or(|pool| pool.address() != address) {
                let pool = EndpointPool::open(address, settings);
                self.pools.insert(index, Arc::new(pool));
            }
        }
    }
}
