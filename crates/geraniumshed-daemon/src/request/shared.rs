//! The state that all requests of one daemon share.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::time::Duration;

use geraniumshed_core::request::router::RouteView;
use geraniumshed_core::request::{DispatchPolicy, TeamRates};
use geraniumshed_gate::ClientGate;
use geraniumshed_model::prelude::{
    DaemonIncarnation, RecordName, RequestId, ServiceSpec, TimePoint, VmId, VmPhase, VmRole,
    ZoneName,
};

use super::body::BodyMemory;
use super::gate::gate_settings;
use super::settings::EntrySettings;
use super::shared_dispatcher::SharedDispatcher;
use super::status::EntryCounters;
use super::target::services;
use crate::clock::ProcessClock;
use crate::view::{CatchUpView, ConfigView, EndpointView, VmView};

/// The state that all requests of one daemon share.
#[derive(Debug)]
pub struct EntryShared {
    /// The settings.
    pub settings: EntrySettings,
    /// The counters.
    pub counters: EntryCounters,
    /// The limits on what callers hold.
    pub gate: ClientGate,
    /// The limit on the memory of buffered request bodies.
    pub memory: BodyMemory,
    /// The records that are in force in this daemon.
    pub config: ConfigView,
    /// Whether a planned stop has begun.
    pub draining: AtomicBool,
    config_caught_up: CatchUpView,
    was_ready: AtomicBool,
    clock: ProcessClock,
    seed: u64,
    own: VmId,
    zone: ZoneName,
    incarnation: DaemonIncarnation,
    endpoints: EndpointView,
    vms: VmView,
    dispatchers: RwLock<HashMap<RecordName, Arc<SharedDispatcher>>>,
    rates: Mutex<TeamRates>,
    daemons: RwLock<BTreeMap<VmId, ZoneName>>,
    next_request: AtomicU64,
}

impl EntryShared {
    /// Creates the state from the daemon's context.
    pub fn new<P, K>(context: &super::EntryContext<P, K>, settings: EntrySettings) -> Self {
        Self {
            gate: ClientGate::open(gate_settings(&settings)),
            memory: BodyMemory::new(settings.buffer_total),
            settings,
            counters: EntryCounters::default(),
            config: context.config.clone(),
            draining: AtomicBool::new(false),
            config_caught_up: context.config_caught_up.clone(),
            was_ready: AtomicBool::new(false),
            clock: context.clock,
            seed: context.seed,
            own: context.own.clone(),
            zone: context.zone.clone(),
            incarnation: context.incarnation,
            endpoints: context.endpoints.clone(),
            vms: context.vms.clone(),
            dispatchers: RwLock::default(),
            rates: Mutex::default(),
            daemons: RwLock::default(),
            next_request: AtomicU64::new(0),
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> TimePoint {
        self.clock.now()
    }

    /// Returns the incarnation of the daemon.
    pub fn incarnation(&self) -> DaemonIncarnation {
        self.incarnation
    }

    /// Returns whether all records that the log holds are in force in this daemon, so that a name
    /// without a record certainly doesn't exist.
    pub fn has_all_records(&self) -> bool {
        *self.config_caught_up.borrow()
    }

    /// Returns whether the daemon can serve requests: it has read all records at least once since
    /// its start. A daemon that reads them again after a pause keeps serving those it knows.
    pub fn is_ready(&self) -> bool {
        let is_ready = self.has_all_records() || self.was_ready.load(Ordering::Relaxed);
        self.was_ready.store(is_ready, Ordering::Relaxed);
        is_ready
    }

    /// Returns a new request id that is unique across all daemons.
    pub fn next_id(&self) -> RequestId {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        RequestId(u128::from(self.incarnation.0) << 64 | u128::from(number))
    }

    /// Returns the number of live daemons.
    pub fn daemon_count(&self) -> usize {
        let daemons = self
            .daemons
            .read()
            .expect("no thread panics while it holds the lock");
        daemons.len().max(1)
    }

    /// Counts one request against the team's rate limit, if it has one.
    ///
    /// # Errors
    ///
    /// Returns the delay after which the request may be sent again.
    pub fn consume_rate(&self, target: &super::target::ServiceTarget) -> Result<(), Duration> {
        let Some(rate) = target.rate else {
            return Ok(());
        };
        let daemons = self.daemon_count();
        let mut rates = self
            .rates
            .lock()
            .expect("no thread panics while it holds the lock");
        rates.take(self.now(), &target.team, rate, daemons)
    }

    /// Returns the dispatcher of a service, and creates it if necessary.
    pub fn dispatcher(&self, service: &RecordName, spec: &ServiceSpec) -> Arc<SharedDispatcher> {
        if let Some(dispatcher) = self.find_dispatcher(service) {
            return dispatcher;
        }
        let mut dispatchers = self
            .dispatchers
            .write()
            .expect("no thread panics while it holds the lock");
        if let Some(dispatcher) = dispatchers.get(service) {
            return Arc::clone(dispatcher);
        }
        let policy = self.policy(spec);
        let dispatcher = Arc::new(SharedDispatcher::new(policy.clone(), self.seed));
        let view = self.route_view(service);
        dispatcher.update(self.now(), policy, &view, &self.settings);
        dispatchers.insert(service.clone(), Arc::clone(&dispatcher));
        dispatcher
    }

    /// Returns the dispatchers of all services that were requested so far.
    pub fn dispatchers(&self) -> Vec<Arc<SharedDispatcher>> {
        let dispatchers = self
            .dispatchers
            .read()
            .expect("no thread panics while it holds the lock");
        dispatchers.values().map(Arc::clone).collect()
    }

    /// Applies the current views to the list of live daemons and to the dispatchers.
    pub fn refresh(&self) {
        self.refresh_daemons();
        let config = Arc::clone(&self.config.borrow());
        for (name, spec) in services(&config) {
            if let Some(dispatcher) = self.find_dispatcher(name) {
                let view = self.route_view(name);
                dispatcher.update(self.now(), self.policy(spec), &view, &self.settings);
            }
        }
    }

    /// Updates the live daemons from the VM list. An empty list is ignored, since it can only come
    /// from a fault: at least this daemon is live.
    pub fn refresh_daemons(&self) {
        let vms = Arc::clone(&self.vms.borrow());
        let listed: BTreeMap<_, _> = vms
            .live(VmRole::Entry)
            .filter(|vm| vm.phase == VmPhase::Live)
            .map(|vm| (vm.vm.clone(), vm.zone.clone()))
            .collect();
        let mut daemons = self
            .daemons
            .write()
            .expect("no thread panics while it holds the lock");
        if !listed.is_empty() || daemons.is_empty() {
            *daemons = listed;
        }
        daemons.insert(self.own.clone(), self.zone.clone());
    }

    fn find_dispatcher(&self, service: &RecordName) -> Option<Arc<SharedDispatcher>> {
        let dispatchers = self
            .dispatchers
            .read()
            .expect("no thread panics while it holds the lock");
        dispatchers.get(service).map(Arc::clone)
    }

    fn policy(&self, spec: &ServiceSpec) -> DispatchPolicy {
        let queue_limit = usize::try_from(spec.queue_limit).unwrap_or(usize::MAX);
        DispatchPolicy {
            zone_distance: self.settings.zone_distance,
            ..DispatchPolicy::new(self.zone.clone(), queue_limit, spec.latency_goal.0)
        }
    }

    fn route_view(&self, service: &RecordName) -> RouteView {
        let endpoints = Arc::clone(&self.endpoints.borrow());
        let vms = Arc::clone(&self.vms.borrow());
        let endpoints: Vec<_> = endpoints.endpoints(service).cloned().collect();
        let any_worker = vms.live(VmRole::Worker).next().is_some();
        // A list without any worker is treated as faulty, so that the phases are left out.
        let phases = if any_worker {
            endpoints
                .iter()
                .filter_map(|entry| Some((entry.vm.clone(), vms.vm(&entry.vm)?.phase)))
                .collect()
        } else {
            BTreeMap::new()
        };
        let daemons = self
            .daemons
            .read()
            .expect("no thread panics while it holds the lock")
            .clone();
        RouteView {
            own: self.own.clone(),
            daemons,
            endpoints,
            vms: phases,
        }
    }
}
