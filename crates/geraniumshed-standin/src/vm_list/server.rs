//! The VM list's HTTP interface.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use geraniumshed_model::prelude::{VmEntry, VmId, VmPhase};
use geraniumshed_wire::platform::{ErrorWire, VmPageWire};
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;

use super::store::VmStore;
use crate::clock::{TruthClock, micros};
use crate::http::{
    BrokenOff, HttpHandler, HttpReply, HttpServer, ServerMode, TrafficReport, error_reply,
    json_reply, query_value,
};

/// The connections that the list takes at once.
const CONNECTION_LIMIT: usize = 1024;

/// How the list treats calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct VmListMode {
    /// How old what the list shows is.
    pub lag: Duration,
    /// Whether the list shows no VM at all.
    pub empty: bool,
    /// Whether the list takes no call.
    pub down: bool,
}

/// The running stand-in of the VM list.
#[derive(Debug)]
pub struct VmListServer {
    server: HttpServer,
    shared: VmListHandler,
}

impl VmListServer {
    /// Binds a list without VMs to a port.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket if the port can't be taken.
    pub fn bind(port: u16, clock: TruthClock, mode: VmListMode) -> io::Result<Self> {
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

    /// Adds a VM or changes it.
    pub fn set(&self, entry: VmEntry) {
        let now = self.shared.inner.clock.now();
        self.shared.state().store.set(now, entry);
    }

    /// Changes the state of a VM and tells whether there is such a VM.
    pub fn set_phase(&self, vm: &VmId, phase: VmPhase) -> bool {
        let now = self.shared.inner.clock.now();
        self.shared.state().store.set_phase(now, vm, phase)
    }

    /// Changes how the list treats calls.
    pub fn set_mode(&self, mode: VmListMode) {
        self.shared.state().mode = mode;
    }

    /// Returns how the list treats calls.
    pub fn mode(&self) -> VmListMode {
        self.shared.state().mode
    }

    /// Returns what went through the list so far.
    pub fn traffic(&self) -> TrafficReport {
        self.server.traffic()
    }

    /// Changes how the list treats connections.
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
    clock: TruthClock,
    state: Mutex<VmListState>,
}

/// Answers the calls of the list.
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

    fn page(&self, since: u64) -> HttpReply {
        let state = self.state();
        let mode = state.mode;
        if mode.down {
            return error_reply(&ErrorWire::Unavailable {
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
            // The version stays 0, so that the whole list is read once it is back.
            page.version = 0;
            page.whole = true;
            page.entries.clear();
        }
        json_reply(StatusCode::OK, &page)
    }
}

impl HttpHandler for VmListHandler {
    fn route(&self, _: &Request<Incoming>) -> &'static str {
        "vms"
    }

    async fn handle(&self, request: Request<Incoming>) -> Result<HttpReply, BrokenOff> {
        let since = query_value(request.uri().query(), "since").unwrap_or("0");
        let known_route = request.method() == Method::GET && request.uri().path() == "/vms";
        match since.parse() {
            Ok(since) if known_route => Ok(self.page(since)),
            _ => Ok(error_reply(&ErrorWire::Rejected {
                reason: "use `GET /vms?since=VERSION`, with a whole number".into(),
            })),
        }
    }
}
