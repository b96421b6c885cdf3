//! The reports of the peers and of this daemon.

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

/// The sources of the reports that a daemon sends to its peers.
#[derive(Debug, Clone)]
pub struct LocalState {
    /// The identity of the daemon.
    pub identity: PeerIdentity,
    /// The addresses of peers from the settings.
    pub seeds: Vec<SocketAddr>,
    /// The records in force.
    pub config: ConfigView,
    /// The VMs that the platform lists.
    pub vms: VmView,
    /// The tracker of whether the log answers.
    pub log: LogHealth,
    /// Whether the daemon has caught up and accepts requests.
    pub serving: watch::Receiver<bool>,
}

/// Holds the last reports of the peers and creates this daemon's own; clones share their state.
#[derive(Debug, Clone)]
pub struct PeerHub {
    shared: Arc<HubShared>,
}

#[derive(Debug)]
struct HubShared {
    own: LocalState,
    clock: ProcessClock,
    leaving: AtomicBool,
    table: Mutex<PeerTable>,
    leaving_table: Mutex<LeavingEndpoints>,
}

impl PeerHub {
    /// Creates a hub without any peer.
    pub fn open(own: LocalState, timing: PeerTiming, clock: ProcessClock) -> Self {
        let table = PeerTable::new(own.identity.address, timing);
        Self {
            shared: Arc::new(HubShared {
                own,
                clock,
                leaving: AtomicBool::new(false),
                table: Mutex::new(table),
                leaving_table: Mutex::default(),
            }),
        }
    }

    /// Returns the identity of this daemon.
    pub fn identity(&self) -> &PeerIdentity {
        &self.shared.own.identity
    }

    /// Returns this daemon's current report to its peers.
    pub fn report(&self) -> PeerReport {
        let own = &self.shared.own;
        PeerReport {
            identity: own.identity.clone(),
            applied: own.config.borrow().applied(),
            serving: *own.serving.borrow(),
            log_silent: own.log.is_silent(),
            leaving: self.shared.leaving.load(Ordering::Relaxed),
            leaving_endpoints: self.leaving_table().recent(self.now()),
        }
    }

    /// Returns the last reports of all peers that are not suspected, without this daemon's own.
    pub fn live(&self) -> Vec<PeerReport> {
        self.table().live(self.now()).cloned().collect()
    }

    /// Returns the last known status of each peer that has ever answered, including suspected ones.
    pub fn peer_statuses(&self) -> Vec<PeerStatus> {
        self.table().peer_statuses(self.now()).collect()
    }

    /// Returns the peer address of an incarnation that is not suspected.
    pub fn address_of(&self, incarnation: DaemonIncarnation) -> Option<SocketAddr> {
        if incarnation == self.identity().incarnation {
            return Some(self.identity().address);
        }
        self.table().address_of(incarnation, self.now())
    }

    /// Returns whether the list of VMs has been read and each peer has answered or is suspected.
    pub fn is_settled(&self) -> bool {
        self.shared.own.vms.borrow().as_of().is_some() && self.table().is_settled(self.now())
    }

    /// Returns whether the log has been answering this daemon for some time.
    pub fn is_log_steady(&self) -> bool {
        self.shared.own.log.is_steady()
    }

    /// Returns the offset of `config` that all daemons have applied that are not suspected,
    /// according to their last reports.
    pub fn applied_everywhere(&self) -> LogOffset {
        let own = self.shared.own.config.borrow().applied();
        let peers = self.table().least_applied(self.now());
        peers.map_or(own, |peers| peers.min(own))
    }

    /// Marks this daemon as leaving in all reports from now on.
    pub fn set_leaving(&self) {
        self.shared.leaving.store(true, Ordering::Relaxed);
    }

    /// Records that an endpoint is leaving, which is reported to the peers.
    pub fn record_leaving(&self, endpoint: EndpointId) {
        let now = self.now();
        self.leaving_table().add(now, endpoint);
    }

    /// Returns the endpoints that this daemon or a peer has recently recorded as leaving.
    pub fn leaving_endpoints(&self) -> Vec<EndpointId> {
        self.leaving_table().recent(self.now())
    }

    /// Sets the daemons that get a heartbeat in every round.
    pub fn set_needed(&self, needed: BTreeSet<DaemonId>) {
        self.table().set_needed(needed);
    }

    /// Records a peer's report.
    pub(super) fn record_report(&self, mut report: PeerReport) {
        let now = self.now();
        let leaving = std::mem::take(&mut report.leaving_endpoints);
        self.leaving_table().add_reported(now, leaving);
        self.table().heard(report);
    }

    /// Records that a heartbeat sent at `sent` was not answered.
    pub(super) fn record_missed(&self, address: SocketAddr, sent: TimePoint) {
        self.table().missed(address, sent);
    }

    /// Returns the peers to which a heartbeat is due.
    pub(super) fn due(&self) -> Vec<SocketAddr> {
        let listed = self.listed();
        let now = self.now();
        let mut table = self.table();
        table.set_listed(&listed, now);
        table.due(now)
    }

    /// Returns the addresses of all known peers, including suspected ones.
    pub(super) fn addresses(&self) -> BTreeSet<SocketAddr> {
        self.table().addresses().collect()
    }

    /// Returns the current time.
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

    fn leaving_table(&self) -> MutexGuard<'_, LeavingEndpoints> {
        self.shared
            .leaving_table
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
