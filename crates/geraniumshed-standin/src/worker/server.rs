//! A worker's HTTP interface and the faults of a worker.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use geraniumshed_model::prelude::{ExchangeRequest, SeizeRequest, TaskId, TimePoint};
use geraniumshed_wire::common::WireError;
use geraniumshed_wire::platform::{
    ErrorWire, ExchangeReplyWire, ExchangeRequestWire, SeizeReplyWire, SeizeRequestWire, decode,
    encode,
};
use http::{Method, Request};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use smol_str::format_smolstr;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::sleep_until;

use super::state::{WorkerConfig, WorkerRefusal, WorkerState};
use crate::clock::TruthClock;
use crate::endpoint::EndpointFault;
use crate::http::{
    BrokenOff, HttpHandler, HttpReply, HttpServer, ServerMode, TrafficReport, binary_reply,
    error_reply, read_body,
};
use crate::proxy::FaultProxy;

/// The connections that a worker takes at once.
const CONNECTION_LIMIT: usize = 256;

/// The pause after which a worker without anything to wait for looks again.
const IDLE_PAUSE: Duration = Duration::from_secs(1);

/// A fault of a worker, or its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkerSwitch {
    /// The VM dies with everything on it.
    Kill,
    /// The VM dies and boots anew.
    Reboot,
    /// Nobody reaches the VM, and its tasks run on.
    Partition,
    /// Only the worker's control interface can't be reached.
    PartitionControl,
    /// The VM is reached again.
    Heal,
    /// Every attempt that starts fails.
    FailEverything,
    /// Attempts no longer fail.
    FailNothing,
    /// The next exchange takes effect and its answer is lost.
    LoseAnswer,
}

/// The running stand-in of a worker.
#[derive(Debug)]
pub struct WorkerServer {
    server: HttpServer,
    shared: WorkerHandler,
    timer: JoinHandle<()>,
}

impl WorkerServer {
    /// Binds a worker to a port.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket if the port can't be taken.
    pub fn bind(port: u16, config: WorkerConfig) -> io::Result<Self> {
        let shared = WorkerHandler {
            inner: Arc::new(WorkerInner {
                clock: config.ledger.clock(),
                state: Mutex::new(WorkerState::new(config)),
                wake: Notify::new(),
                lost_answers: Mutex::new(0),
            }),
        };
        let server = HttpServer::bind(port, CONNECTION_LIMIT, shared.clone())?;
        let timer = tokio::spawn(run_timer(Arc::clone(&shared.inner)));
        Ok(Self {
            server,
            shared,
            timer,
        })
    }

    /// Returns the address of the worker's control interface.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns what went through the worker's control interface so far.
    pub fn traffic(&self) -> TrafficReport {
        self.server.traffic()
    }

    /// Switches a fault.
    pub fn switch(&self, switch: WorkerSwitch) {
        match switch {
            WorkerSwitch::Kill => {
                self.server.set_mode(ServerMode::Refusing);
                self.reboot();
            }
            WorkerSwitch::Reboot => {
                self.reboot();
                self.server.set_mode(ServerMode::Open);
            }
            WorkerSwitch::Partition => self.set_modes(ServerMode::Silent),
            WorkerSwitch::PartitionControl => self.server.set_mode(ServerMode::Silent),
            WorkerSwitch::Heal => self.set_modes(ServerMode::Open),
            WorkerSwitch::FailEverything => self.shared.state().set_fails_everything(true),
            WorkerSwitch::FailNothing => self.shared.state().set_fails_everything(false),
            WorkerSwitch::LoseAnswer => *self.shared.lost_answers() += 1,
        }
    }

    /// Changes how an endpoint of the worker fails, or how all do, and returns how many were met.
    pub fn set_endpoint_fault(&self, task: Option<&TaskId>, fault: EndpointFault) -> usize {
        let mut state = self.shared.state();
        let mut met = 0;
        for (owner, endpoint) in state.endpoints() {
            if task.is_none_or(|task| task == owner) {
                endpoint.set_fault(fault);
                met += 1;
            }
        }
        met
    }

    /// Returns the endpoints of the worker with their addresses.
    pub fn endpoints(&self) -> Vec<(TaskId, SocketAddr)> {
        let mut state = self.shared.state();
        state
            .endpoints()
            .map(|(task, endpoint)| (task.clone(), endpoint.address()))
            .collect()
    }

    /// Applies a change to the proxies of the worker's endpoints.
    pub fn with_endpoint_proxies(&self, task: Option<&TaskId>, apply: impl Fn(&FaultProxy)) {
        let mut state = self.shared.state();
        let concerned = state
            .endpoints()
            .filter(|(owner, _)| task.is_none_or(|task| task == *owner));
        for (_, endpoint) in concerned {
            if let Some(proxy) = endpoint.proxy() {
                apply(proxy);
            }
        }
    }

    fn reboot(&self) {
        let now = self.shared.inner.clock.now();
        self.shared.state().reboot(now);
    }

    fn set_modes(&self, mode: ServerMode) {
        self.server.set_mode(mode);
        for (_, endpoint) in self.shared.state().endpoints() {
            endpoint.set_server_mode(mode);
        }
    }
}

impl Drop for WorkerServer {
    fn drop(&mut self) {
        self.timer.abort();
    }
}

#[derive(Debug)]
struct WorkerInner {
    clock: TruthClock,
    state: Mutex<WorkerState>,
    wake: Notify,
    lost_answers: Mutex<u32>,
}

/// Settles the worker whenever something is due.
async fn run_timer(inner: Arc<WorkerInner>) {
    loop {
        let due = settle(&inner);
        tokio::select! {
            () = inner.wake.notified() => {}
            () = sleep_until(inner.clock.instant(due).into()) => {}
        }
    }
}

/// Brings the worker up to the present time and returns when it has to be done again.
fn settle(inner: &WorkerInner) -> TimePoint {
    let now = inner.clock.now();
    let mut state = inner.state.lock().unwrap_or_else(PoisonError::into_inner);
    state.settle(now);
    state.next_change(now).unwrap_or(now + IDLE_PAUSE)
}

/// Answers the calls of one worker.
#[derive(Debug, Clone)]
struct WorkerHandler {
    inner: Arc<WorkerInner>,
}

impl HttpHandler for WorkerHandler {
    fn route(&self, request: &Request<Incoming>) -> &'static str {
        match request.uri().path() {
            "/seize" => "seize",
            "/exchange" => "exchange",
            _ => "other",
        }
    }

    async fn handle(&self, request: Request<Incoming>) -> Result<HttpReply, BrokenOff> {
        let path = request.uri().path().to_owned();
        if request.method() != Method::POST {
            return Ok(error_reply(&unknown_route(&path)));
        }
        let body = read_body(request).await?;
        let reply = match path.as_str() {
            "/seize" => self.seize(&body),
            "/exchange" => self.exchange(&body)?,
            _ => error_reply(&unknown_route(&path)),
        };
        self.inner.wake.notify_one();
        Ok(reply)
    }
}

impl WorkerHandler {
    fn state(&self) -> MutexGuard<'_, WorkerState> {
        self.inner
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn lost_answers(&self) -> MutexGuard<'_, u32> {
        self.inner
            .lost_answers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn seize(&self, body: &[u8]) -> HttpReply {
        let request: SeizeRequest = match decode::<SeizeRequestWire>(body) {
            Ok(wire) => wire.into(),
            Err(error) => return error_reply(&unreadable(&error)),
        };
        match self.state().seize(self.inner.clock.now(), &request) {
            Ok(reply) => binary_reply(encode(&SeizeReplyWire::from(&reply))),
            Err(refusal) => error_reply(&refusal_wire(&refusal)),
        }
    }

    fn exchange(&self, body: &[u8]) -> Result<HttpReply, BrokenOff> {
        let request: Result<ExchangeRequest, WireError> =
            decode::<ExchangeRequestWire>(body).and_then(TryInto::try_into);
        let request = match request {
            Ok(request) => request,
            Err(error) => return Ok(error_reply(&unreadable(&error))),
        };
        let result = self.state().exchange(self.inner.clock.now(), request);
        let reply = match result {
            Ok(reply) => reply,
            Err(refusal) => return Ok(error_reply(&refusal_wire(&refusal))),
        };
        let mut lost_answers = self.lost_answers();
        if *lost_answers > 0 {
            *lost_answers -= 1;
            return Err(BrokenOff);
        }
        Ok(binary_reply(encode(&ExchangeReplyWire::from(&reply))))
    }
}

fn refusal_wire(refusal: &WorkerRefusal) -> ErrorWire {
    match refusal {
        WorkerRefusal::StaleTerm(held) => ErrorWire::StaleTerm { held: held.0 },
        WorkerRefusal::WrongBoot(boot) => ErrorWire::WrongBoot { boot: boot.0 },
        WorkerRefusal::StaleSequence(last) => ErrorWire::Rejected {
            reason: format_smolstr!("exchange {last} came before this one"),
        },
    }
}

fn unreadable(error: &WireError) -> ErrorWire {
    ErrorWire::Rejected {
        reason: format_smolstr!("{error}"),
    }
}

fn unknown_route(path: &str) -> ErrorWire {
    ErrorWire::Rejected {
        reason: format_smolstr!("there is no route `POST {path}`"),
    }
}
