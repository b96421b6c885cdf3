//! What this daemon knows of its peers and tells them of itself.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use geraniumshed_core::member::{LeavingEndpoints, PeerStatus, PeerTable, PeerTiming};
use geraniumshed_model::prelude::{
    DaemonId, DaemonIncarnation, EndpointId, LogOffset, PeerIdentity, PeerReport, TimePoint,
    VmPhase, VmRole,
};
use tokio::sync::watch;

use crate::clock::ProcessClock;
use crate::log::LogHealth;
use crate::view::{ConfigView, VmView};

/// Where a daemon learns what it tells of itself.
#[derive(Debug, Clone)]
pub struct OwnState {
    /// Who the daemon is.
    pub identity: PeerIdentity,
    /// The addresses of peers that are known from the start.
    pub seeds: Vec<SocketAddr>,
    /// The records in force.
    pub config: ConfigView,
    /// The VMs that the platform lists.
    pub vms: VmView,
    /// Whether the log answers.
    pub log: LogHealth,
    /// Whether the daemon has caught up and takes requests.
    pub serving: watch::Receiver<bool>,
}

/// What this daemon knows of its peers and tells them of itself; its clones share it.
#[derive(Debug, Clone)]
pub struct PeerHub {
    shared: Arc<HubShared>,
}

#[derive(Debug)]
struct HubShared {
    own: OwnState,
    clock: ProcessClock,
    leaving: AtomicBool,
    table: Mutex<PeerTable>,
    notes: Mutex<LeavingEndpoints>,
}

impl PeerHub {
    /// Opens a hub that knows no peer yet.
    pub fn open(own: OwnState, timing: PeerTiming, clock: ProcessClock) -> Self {
        let table = PeerTable::new(own.identity.address, timing);
        Self {
            shared: Arc::new(HubShared {
                own,
                clock,
                leaving: AtomicBool::new(false),
                table: Mutex::new(table),
                notes: Mutex::default(),
            }),
        }
    }

    /// Returns who this daemon is.
    pub fn identity(&self) -> &PeerIdentity {
        &self.shared.own.identity
    }

    /// Returns what this daemon tells its peers now.
    pub fn report(&self) -> PeerReport {
        let own = &self.shared.own;
        PeerReport {
            identity: own.identity.clone(),
            applied: own.config.borrow().applied(),
            serving: *own.serving.borrow(),
            log_silent: own.log.is_silent(),
            leaving: self.shared.leaving.load(Ordering::Relaxed),
            leaving_endpoints: self.notes().recent(self.now()),
        }
    }

    /// Returns the last reports of all peers that seem alive, without this daemon's own.
    pub fn live(&self) -> Vec<PeerReport> {
        self.table().live(self.now()).cloned().collect()
    }

    /// Returns what is known of each peer that has ever answered, alive or not.
    pub fn peer_statuses(&self) -> Vec<PeerStatus> {
        self.table().peer_statuses(self.now()).collect()
    }

    /// Returns the peer interface of an incarnation that seems alive.
    pub fn address_of(&self, incarnation: DaemonIncarnation) -> Option<SocketAddr> {
        if incarnation == self.identity().incarnation {
            return Some(self.identity().address);
        }
        self.table().address_of(incarnation, self.now())
    }

    /// Tells whether each peer has answered or is suspected.
    pub fn is_settled(&self) -> bool {
        self.shared.own.vms.borrow().as_of().is_some() && self.table().is_settled(self.now())
    }

    /// Tells whether the log has been answering this daemon for some time.
    pub fn is_log_steady(&self) -> bool {
        self.shared.own.log.is_steady()
    }

    /// Returns the offset of `config` that every daemon that seems alive has applied, as far as
    /// their last reports tell.
    pub fn applied_everywhere(&self) -> LogOffset {
        let own = self.shared.own.config.borrow().applied();
        let peers = self.table().least_applied(self.now());
        peers.map_or(own, |peers| peers.min(own))
    }

    /// Tells peers from now on that this daemon is about to stop.
    pub fn set_leaving(&self) {
        self.shared.leaving.store(true, Ordering::Relaxed);
    }

    /// Takes note that an endpoint is leaving, to tell peers.
    pub fn note_leaving(&self, endpoint: EndpointId) {
        let now = self.now();
        self.notes().add(now, endpoint);
    }

    /// Returns the endpoints that this daemon or a peer has lately seen to be leaving.
    pub fn leaving_endpoints(&self) -> Vec<EndpointId> {
        self.notes().recent(self.now())
    }

    /// Sets the daemons that have to be watched closely.
    pub fn set_needed(&self, needed: BTreeSet<DaemonId>) {
        self.table().set_needed(needed);
    }

    /// Takes note of a peer's report.
    pub(super) fn heard(&self, mut report: PeerReport) {
        let now = self.now();
        let leaving = std::mem::take(&mut report.leaving_endpoints);
        self.notes().add_reported(now, leaving);
        self.table().heard(report);
    }

    /// Takes note that a heartbeat sent at `sent` got no answer.
    pub(super) fn missed(&self, address: SocketAddr, sent: TimePoint) {
        self.table().missed(address, sent);
    }

    /// Returns the peers to ask now.
    pub(super) fn due(&self) -> Vec<SocketAddr> {
        let listed = self.listed();
        let now = self.now();
        let mut table = self.table();
        table.set_listed(&listed, now);
        table.due(now)
    }

    /// Returns the peers that are known, alive or not.
    pub(super) fn addresses(&self) -> BTreeSet<SocketAddr> {
        self.table().addresses().collect()
    }

    /// Returns the present point of time.
    pub(crate) fn now(&self) -> TimePoint {
        self.shared.clock.now()
    }

    fn listed(&self) -> BTreeSet<SocketAddr> {
        let own = &self.shared.own;
        let vms = own.vms.borrow();
        let listed = vms
            .live(VmRole::Entry)
            .filter(|vm| vm.phase != VmPhase::Gone)
            .map(|vm| vm.address);
        listed.chain(own.seeds.iter().copied()).collect()
    }

    fn table(&self) -> MutexGuard<'_, PeerTable> {
        self.shared
            .table
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn notes(&self) -> MutexGuard<'_, LeavingEndpoints> {
        self.shared
            .notes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
