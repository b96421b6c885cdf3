//! The dispatcher of one service, shared by its requests through a mutex.
//!
//! A mutex is cheaper than an actor: a decision takes about a microsecond, while a message to an
//! actor and back wakes two tasks.

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

/// The time after which an attempt counts as stalled, as a multiple of the 99th latency percentile.
const STALL_FACTOR: u32 = 4;

/// The dispatcher of one service, with the connection pools of its endpoints.
#[derive(Debug)]
pub struct SharedDispatcher {
    state: Mutex<DispatcherState>,
}

#[derive(Debug)]
struct DispatcherState {
    dispatcher: ServiceDispatcher,
    policy: DispatchPolicy,
    action_senders: HashMap<RequestId, UnboundedSender<DispatchAction>>,
    pools: HashMap<EndpointIndex, Arc<EndpointPool>>,
}

impl SharedDispatcher {
    /// Creates the dispatcher of a service; `seed` seeds its random choices.
    pub fn new(policy: DispatchPolicy, seed: u64) -> Self {
        let state = DispatcherState {
            dispatcher: ServiceDispatcher::new(policy.clone(), seed),
            policy,
            action_senders: HashMap::new(),
            pools: HashMap::new(),
        };
        Self {
            state: Mutex::new(state),
        }
    }

    /// Applies a policy and the current view of endpoints and daemons.
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

    /// Handles the arrival of a request; all actions for it are sent to `action_sender`.
    pub fn add_request(
        &self,
        now: TimePoint,
        id: RequestId,
        event: DispatchEvent,
        action_sender: UnboundedSender<DispatchAction>,
    ) {
        let mut state = self.lock();
        state.action_senders.insert(id, action_sender);
        let actions = state.dispatcher.handle(now, event);
        state.deliver(actions);
    }

    /// Handles an event and sends the resulting actions to their requests.
    pub fn handle(&self, now: TimePoint, event: DispatchEvent) {
        let mut state = self.lock();
        let actions = state.dispatcher.handle(now, event);
        state.deliver(actions);
    }

    /// Re-examines the waiting requests, since passing time alone can free capacity.
    pub fn tick(&self, now: TimePoint) {
        let mut state = self.lock();
        if state.dispatcher.waiting() > 0 {
            let actions = state.dispatcher.handle(now, DispatchEvent::Tick);
            state.deliver(actions);
        }
    }

    /// Removes a request that needs no further actions.
    pub fn remove_request(&self, id: RequestId) {
        self.lock().action_senders.remove(&id);
    }

    /// Returns the connection pool of an endpoint and the time after which an attempt counts as
    /// stalled.
    pub fn pool_and_stall_time(
        &self,
        endpoint: EndpointIndex,
    ) -> (Option<Arc<EndpointPool>>, Option<Duration>) {
        let state = self.lock();
        let pool = state.pools.get(&endpoint).map(Arc::clone);
        let p99 = state.dispatcher.latency().p99();
        (pool, p99.map(|p99| p99 * STALL_FACTOR))
    }

    fn lock(&self) -> MutexGuard<'_, DispatcherState> {
        self.state
            .lock()
            .expect("no thread panics while it holds the lock")
    }
}

impl DispatcherState {
    /// Sends each action to its request.
    fn deliver(&self, actions: Vec<DispatchAction>) {
        for action in actions {
            let id = match &action {
                DispatchAction::Send { request, .. }
                | DispatchAction::Wait { request, .. }
                | DispatchAction::Fail { request, .. } => *request,
            };
            if let Some(action_sender) = self.action_senders.get(&id) {
                drop(action_sender.send(action));
            }
        }
    }

    /// Opens pools for new endpoints and drops those of removed ones.
    fn sync_pools(&mut self, settings: &EntrySettings) {
        let router = self.dispatcher.router();
        self.pools
            .retain(|index, _| router.endpoint(*index).is_some());
        for (index, endpoint) in router.endpoints() {
            let address = endpoint.entry().address;
            let pool = self.pools.get(&index);
            if pool.is_none_or(|pool| pool.address() != address) {
                let pool = EndpointPool::new(address, settings);
                self.pools.insert(index, Arc::new(pool));
            }
        }
    }
}
