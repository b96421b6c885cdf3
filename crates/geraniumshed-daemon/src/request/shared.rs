//! What all requests of one daemon share.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::time::Duration;

use geraniumshed_core::request::router::RouteView;
use geraniumshed_core::request::{DispatchPolicy, TeamRates};
use geraniumshed_model::prelude::{
    DaemonIncarnation, RecordName, RequestId, ServiceSpec, TimePoint, VmId, VmPhase, VmRole,
    ZoneName,
};

use super::body::BodyMemory;
use super::gate::ServiceGate;
use super::settings::EntrySettings;
use super::status::EntryCounters;
use super::target::services;
use crate::clock::ProcessClock;
use crate::view::{CatchUpView, ConfigView, EndpointView, VmView};

/// What all requests of one daemon share.
#[derive(Debug)]
pub struct EntryShared {
    /// The settings.
    pub settings: EntrySettings,
    /// The counters.
    pub counters: EntryCounters,
    /// The limit of the memory that bodies take.
    pub memory: BodyMemory,
    /// The records in force.
    pub config: ConfigView,
    /// Whether a planned stop has begun.
    pub draining: AtomicBool,
    config_read: CatchUpView,
    was_ready: AtomicBool,
    clock: ProcessClock,
    seed: u64,
    own: VmId,
    zone: ZoneName,
    incarnation: DaemonIncarnation,
    endpoints: EndpointView,
    vms: VmView,
    gates: RwLock<HashMap<RecordName, Arc<ServiceGate>>>,
    rates: Mutex<TeamRates>,
    daemons: RwLock<BTreeMap<VmId, ZoneName>>,
    next_request: AtomicU64,
}

impl EntryShared {
    /// Creates the shared parts from the daemon's context.
    pub fn new<P, K>(context: &super::EntryContext<P, K>, settings: EntrySettings) -> Self {
        Self {
            memory: BodyMemory::new(settings.buffer_total),
            settings,
            counters: EntryCounters::default(),
            config: context.config.clone(),
            draining: AtomicBool::new(false),
            config_read: context.config_read.clone(),
            was_ready: AtomicBool::new(false),
            clock: context.clock,
            seed: context.seed,
            own: context.own.clone(),
            zone: context.zone.clone(),
            incarnation: context.incarnation,
            endpoints: context.endpoints.clone(),
            vms: context.vms.clone(),
            gates: RwLock::default(),
            rates: Mutex::default(),
            daemons: RwLock::default(),
            next_request: AtomicU64::new(0),
        }
    }

    /// Returns the present point of time.
    pub fn now(&self) -> TimePoint {
        self.clock.now()
    }

    /// Returns the incarnation of the daemon.
    pub fn incarnation(&self) -> DaemonIncarnation {
        self.incarnation
    }

    /// Returns whether all records that the log holds are in force here, so that a name which isn't
    /// among them certainly doesn't exist.
    pub fn knows_all_records(&self) -> bool {
        *self.config_read.borrow()
    }

    /// Returns whether requests may be sent here: the records were read once since the start. A
    /// daemon that reads them again after a pause goes on serving those that it knows.
    pub fn is_ready(&self) -> bool {
        let is_ready = self.knows_all_records() || self.was_ready.load(Ordering::Relaxed);
        self.was_ready.store(is_ready, Ordering::Relaxed);
        is_ready
    }

    /// Returns a new request id, unique over all daemons.
    pub fn next_id(&self) -> RequestId {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        RequestId(u128::from(self.incarnation.0) << 64 | u128::from(number))
    }

    /// Returns the number of live daemons.
    pub fn daemon_count(&self) -> usize {
        let daemons = self.daemons.read().expect("no reader panics");
        daemons.len().max(1)
    }

    /// Takes one request out of a team's rate.
    ///
    /// # Errors
    ///
    /// Returns the time after which the request may be sent again.
    pub fn take_rate(&self, target: &super::target::ServiceTarget) -> Result<(), Duration> {
        let Some(rate) = target.rate else {
            return Ok(());
        };
        let daemons = self.daemon_count();
        let mut rates = self.rates.lock().expect("no decision panics");
        rates.take(self.now(), &target.team, rate, daemons)
    }

    /// Returns the gate of a service, which is opened if the service is new.
    pub fn gate(&self, service: &RecordName, spec: &ServiceSpec) -> Arc<ServiceGate> {
        if let Some(gate) = self.known_gate(service) {
            return gate;
        }
        let mut gates = self.gates.write().expect("no writer panics");
        if let Some(gate) = gates.get(service) {
            return Arc::clone(gate);
        }
        let policy = self.policy(spec);
        let gate = Arc::new(ServiceGate::open(policy.clone(), self.seed));
        let view = self.route_view(service);
        gate.update(self.now(), policy, &view, &self.settings);
        gates.insert(service.clone(), Arc::clone(&gate));
        gate
    }

    /// Returns all gates.
    pub fn gates(&self) -> Vec<Arc<ServiceGate>> {
        let gates = self.gates.read().expect("no reader panics");
        gates.values().map(Arc::clone).collect()
    }

    /// Takes over what the views show now.
    pub fn refresh(&self) {
        self.refresh_daemons();
        let config = Arc::clone(&self.config.borrow());
        for (name, spec) in services(&config) {
            if let Some(gate) = self.known_gate(name) {
                let view = self.route_view(name);
                gate.update(self.now(), self.policy(spec), &view, &self.settings);
            }
        }
    }

    /// Takes over the live daemons, unless the list is empty, which no working list is.
    pub fn refresh_daemons(&self) {
        let vms = Arc::clone(&self.vms.borrow());
        let listed: BTreeMap<_, _> = vms
            .live(VmRole::Entry)
            .filter(|vm| vm.phase == VmPhase::Live)
            .map(|vm| (vm.vm.clone(), vm.zone.clone()))
            .collect();
        let mut daemons = self.daemons.write().expect("no writer panics");
        if !listed.is_empty() || daemons.is_empty() {
            *daemons = listed;
        }
        daemons.insert(self.own.clone(), self.zone.clone());
    }

    fn known_gate(&self, service: &RecordName) -> Option<Arc<ServiceGate>> {
        let gates = self.gates.read().expect("no reader panics");
        gates.get(service).map(Arc::clone)
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
        // A list without a single worker is taken for a fault of the list.
        let phases = if any_worker {
            endpoints
                .iter()
                .filter_map(|entry| Some((entry.vm.clone(), vms.vm(&entry.vm)?.phase)))
                .collect()
        } else {
            BTreeMap::new()
        };
        let daemons = self.daemons.read().expect("no reader panics").clone();
        RouteView {
            own: self.own.clone(),
            daemons,
            endpoints,
            vms: phases,
        }
    }
}
