//! The HTTP interface of the VM list.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use geraniumshed_model::prelude::{VmEntry, VmId, VmPhase};
use geraniumshed_wire::platform::{ErrorWire, VmPageWire};
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;

use super::store::VmStore;
use crate::clock::{StandinClock, micros};
use crate::http::{
    ConnectionAborted, HttpHandler, HttpResponse, HttpServer, ServerMode, TrafficReport,
    error_response, json_response, query_value,
};

/// The maximum number of concurrent connections to the list.
const CONNECTION_LIMIT: usize = 1024;

/// The delay and the faults of the list.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct VmListMode {
    /// The delay until changes are visible.
    pub lag: Duration,
    /// Whether the list is shown as empty.
    pub empty: bool,
    /// Whether all calls fail as unavailable.
    pub down: bool,
}

/// A running stand-in for the VM list.
#[derive(Debug)]
pub struct VmListServer {
    server: HttpServer,
    shared: VmListHandler,
}

impl VmListServer {
    /// Binds an empty list to a port.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket if the port can't be taken.
    pub fn bind(port: u16, clock: StandinClock, mode: VmListMode) -> io::Result<Self> {
        let shared = VmListHandler {
            inner: Arc::new(VmListInner {
                clock,
                state: Mutex::new(VmListState {
                    store: VmStore::default(),
                    mode,
                }),
            }),
        };
        let server = HttpServer::bind(port, CONNECTION_LIMIT, shared.clone())?;
        Ok(Self { server, shared })
    }

    /// Returns the address of the list.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Adds a VM or replaces its entry.
    pub fn set(&self, entry: VmEntry) {
        let now = self.shared.inner.clock.now();
        self.shared.state().store.set(now, entry);
    }

    /// Changes the phase of a VM and returns whether the VM exists.
    pub fn set_phase(&self, vm: &VmId, phase: VmPhase) -> bool {
        let now = self.shared.inner.clock.now();
        self.shared.state().store.set_phase(now, vm, phase)
    }

    /// Sets the delay and the faults.
    pub fn set_mode(&self, mode: VmListMode) {
        self.shared.state().mode = mode;
    }

    /// Returns the delay and the faults.
    pub fn mode(&self) -> VmListMode {
        self.shared.state().mode
    }

    /// Returns the traffic of the list so far.
    pub fn traffic(&self) -> TrafficReport {
        self.server.traffic()
    }

    /// Sets how the list handles connections.
    pub fn set_server_mode(&self, mode: ServerMode) {
        self.server.set_mode(mode);
    }
}

#[derive(Debug)]
struct VmListState {
    store: VmStore,
    mode: VmListMode,
}

#[derive(Debug)]
struct VmListInner {
    clock: StandinClock,
    state: Mutex<VmListState>,
}

/// Handles the calls to the list.
#[derive(Debug, Clone)]
struct VmListHandler {
    inner: Arc<VmListInner>,
}

impl VmListHandler {
    fn state(&self) -> MutexGuard<'_, VmListState> {
        self.inner
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn page(&self, since: u64) -> HttpResponse {
        let state = self.state();
        let mode = state.mode;
        if mode.down {
            return error_response(&ErrorWire::Unavailable {
                reason: "the VM list is down".into(),
            });
        }
        let changes = state.store.changes(self.inner.clock.now(), mode.lag, since);
        let mut page = VmPageWire {
            version: changes.version,
            age_micros: micros(mode.lag),
            whole: changes.whole,
            entries: changes.entries.iter().map(Into::into).collect(),
        };
        if mode.empty {
            // With version 0, clients read the whole list once the fault ends.
            page.version = 0;
            page.whole = true;
            page.entries.clear();
        }
        json_response(StatusCode::OK, &page)
    }
}

impl HttpHandler for VmListHandler {
    fn route(&self, _: &Request<Incoming>) -> &'static str {
        "vms"
    }

    async fn handle(&self, request: Request<Incoming>) -> Result<HttpResponse, ConnectionAborted> {
        let since = query_value(request.uri().query(), "since").unwrap_or("0");
        let known_route = request.method() == Method::GET && request.uri().path() == "/vms";
        match since.parse() {
            Ok(since) if known_route => Ok(self.page(since)),
            _ => Ok(error_response(&ErrorWire::Rejected {
                reason: "use `GET /vms?since=VERSION`, with a whole number".into(),
            })),
        }
    }
}
