//! The HTTP control interface of a worker and its injected faults.

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
use crate::clock::StandinClock;
use crate::endpoint::EndpointFault;
use crate::http::{
    ConnectionAborted, HttpHandler, HttpResponse, HttpServer, ServerMode, TrafficReport,
    binary_response, error_response, read_body,
};
use crate::proxy::FaultProxy;

/// The maximum number of concurrent connections to a worker.
const CONNECTION_LIMIT: usize = 256;

/// The interval at which an idle worker updates its state.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// A fault to inject into a worker or to clear.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkerSwitch {
    /// The VM crashes with all its tasks and stays down.
    Kill,
    /// The VM crashes with all its tasks and restarts.
    Reboot,
    /// The VM is unreachable while its tasks keep running.
    Partition,
    /// Only the worker's control interface is unreachable.
    PartitionControl,
    /// The VM is reachable again.
    Heal,
    /// Every attempt that starts fails.
    FailEverything,
    /// Attempts no longer fail.
    FailNothing,
    /// The next exchange takes effect, but its response is lost.
    LoseAnswer,
}

/// A running stand-in for a worker.
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
                clock: config.recorder.clock(),
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

    /// Returns the traffic of the worker's control interface so far.
    pub fn traffic(&self) -> TrafficReport {
        self.server.traffic()
    }

    /// Injects or clears a fault.
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

    /// Sets the fault of a task's endpoint, or of all endpoints, and returns how many changed.
    pub fn set_endpoint_fault(&self, task: Option<&TaskId>, fault: EndpointFault) -> usize {
        let mut state = self.shared.state();
        let mut changed = 0;
        for (owner, endpoint) in state.endpoints() {
            if task.is_none_or(|task| task == owner) {
                endpoint.set_fault(fault);
                changed += 1;
            }
        }
        changed
    }

    /// Returns the addresses of the worker's endpoints by task.
    pub fn endpoints(&self) -> Vec<(TaskId, SocketAddr)> {
        let mut state = self.shared.state();
        state
            .endpoints()
            .map(|(task, endpoint)| (task.clone(), endpoint.address()))
            .collect()
    }

    /// Calls `apply` on the fault proxy of a task's endpoint, or of all endpoints.
    pub fn for_each_endpoint_proxy(&self, task: Option<&TaskId>, apply: impl Fn(&FaultProxy)) {
        let mut state = self.shared.state();
        let matching = state
            .endpoints()
            .filter(|(owner, _)| task.is_none_or(|task| task == *owner));
        for (_, endpoint) in matching {
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
    clock: StandinClock,
    state: Mutex<WorkerState>,
    wake: Notify,
    lost_answers: Mutex<u32>,
}

/// Advances the worker's state whenever a change is due.
async fn run_timer(inner: Arc<WorkerInner>) {
    loop {
        let due = advance(&inner);
        tokio::select! {
            () = inner.wake.notified() => {}
            () = sleep_until(inner.clock.instant(due).into()) => {}
        }
    }
}

/// Advances the worker to the current time and returns when the next update is due.
fn advance(inner: &WorkerInner) -> TimePoint {
    let now = inner.clock.now();
    let mut state = inner.state.lock().unwrap_or_else(PoisonError::into_inner);
    state.advance(now);
    state.next_change(now).unwrap_or(now + IDLE_INTERVAL)
}

/// Handles the calls to one worker.
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

    async fn handle(&self, request: Request<Incoming>) -> Result<HttpResponse, ConnectionAborted> {
        let path = request.uri().path().to_owned();
        if request.method() != Method::POST {
            return Ok(error_response(&unknown_route_error(&path)));
        }
        let body = read_body(request).await?;
        let reply = match path.as_str() {
            "/seize" => self.seize(&body),
            "/exchange" => self.exchange(&body)?,
            _ => error_response(&unknown_route_error(&path)),
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

    fn seize(&self, body: &[u8]) -> HttpResponse {
        let request: SeizeRequest = match decode::<SeizeRequestWire>(body) {
            Ok(wire) => wire.into(),
            Err(error) => return error_response(&decode_error(&error)),
        };
        match self.state().seize(self.inner.clock.now(), &request) {
            Ok(reply) => binary_response(encode(&SeizeReplyWire::from(&reply))),
            Err(refusal) => error_response(&refusal_error(&refusal)),
        }
    }

    fn exchange(&self, body: &[u8]) -> Result<HttpResponse, ConnectionAborted> {
        let request: Result<ExchangeRequest, WireError> =
            decode::<ExchangeRequestWire>(body).and_then(TryInto::try_into);
        let request = match request {
            Ok(request) => request,
            Err(error) => return Ok(error_response(&decode_error(&error))),
        };
        let result = self.state().exchange(self.inner.clock.now(), request);
        let reply = match result {
            Ok(reply) => reply,
            Err(refusal) => return Ok(error_response(&refusal_error(&refusal))),
        };
        let mut lost_answers = self.lost_answers();
        if *lost_answers > 0 {
            *lost_answers -= 1;
            return Err(ConnectionAborted);
        }
        Ok(binary_response(encode(&ExchangeReplyWire::from(&reply))))
    }
}

fn refusal_error(refusal: &WorkerRefusal) -> ErrorWire {
    match refusal {
        WorkerRefusal::StaleTerm(held) => ErrorWire::StaleTerm { held: held.0 },
        WorkerRefusal::WrongBoot(boot) => ErrorWire::WrongBoot { boot: boot.0 },
        WorkerRefusal::StaleSequence(last) => ErrorWire::Rejected {
            reason: format_smolstr!("exchange {last} came before this one"),
        },
    }
}

fn decode_error(error: &WireError) -> ErrorWire {
    ErrorWire::Rejected {
        reason: format_smolstr!("{error}"),
    }
}

fn unknown_route_error(path: &str) -> ErrorWire {
    ErrorWire::Rejected {
        reason: format_smolstr!("there is no route `POST {path}`"),
    }
}
