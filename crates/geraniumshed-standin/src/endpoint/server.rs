//! The server of an endpoint and its lifecycle.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use geraniumshed_model::prelude::TimeSpan;
use smol_str::SmolStr;
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use super::fault::EndpointFault;
use super::handler::{EndpointHandler, EndpointInner};
use super::service_time::ServiceTimes;
use crate::command::SimulateCommand;
use crate::history::{ExecutionEnd, HistoryRecorder, LeavingRecord};
use crate::http::{HttpServer, ServerMode};
use crate::proxy::FaultProxy;

/// The configuration of an endpoint.
#[derive(Debug, Clone)]
pub struct EndpointConfig {
    /// The endpoint, as `task@attempt`.
    pub name: SmolStr,
    /// The service.
    pub service: SmolStr,
    /// The VM.
    pub vm: SmolStr,
    /// The maximum number of requests that run concurrently.
    pub slots: usize,
    /// The maximum number of concurrent connections.
    pub connections: usize,
    /// The command to simulate.
    pub command: SimulateCommand,
    /// The seed of the service times and of the proxy.
    pub seed: u64,
    /// Whether the endpoint is behind a fault proxy.
    pub proxied: bool,
}

/// A running endpoint; dropping it closes all its connections.
#[derive(Debug)]
pub struct EndpointServer {
    server: Arc<HttpServer>,
    proxy: Option<FaultProxy>,
    inner: Arc<EndpointInner>,
    flapping: Option<JoinHandle<()>>,
}

impl EndpointServer {
    /// Binds an endpoint to any free port.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket if there is no free port.
    pub fn bind(config: EndpointConfig, recorder: HistoryRecorder) -> io::Result<Self> {
        let service_times = ServiceTimes::new(config.seed, &config.name, &config.command);
        let connections = config.connections;
        let seed = config.seed;
        let proxied = config.proxied;
        let inner = Arc::new(EndpointInner {
            slots: Semaphore::new(config.slots),
            config,
            recorder,
            in_flight: AtomicUsize::new(0),
            executing: AtomicUsize::new(0),
            leaving: AtomicBool::new(false),
            end_on_drop: Arc::new(Mutex::new(ExecutionEnd::Abandoned)),
            slowdown: AtomicU32::new(1000),
            fault: Mutex::default(),
            service_times: Mutex::new(service_times),
            last_activity: Mutex::new(Instant::now()),
        });
        let handler = EndpointHandler {
            inner: Arc::clone(&inner),
        };
        let server = Arc::new(HttpServer::bind(0, connections, handler)?);
        let proxy = proxied
            .then(|| FaultProxy::bind(0, server.address(), seed))
            .transpose()?;
        Ok(Self {
            server,
            proxy,
            inner,
            flapping: None,
        })
    }

    /// Returns the address of the endpoint, or of the proxy in front of it.
    pub fn address(&self) -> SocketAddr {
        self.proxy
            .as_ref()
            .map_or_else(|| self.server.address(), FaultProxy::address)
    }

    /// Returns the fault proxy in front of the endpoint, if there is one.
    pub fn proxy(&self) -> Option<&FaultProxy> {
        self.proxy.as_ref()
    }

    /// Sets the injected fault.
    pub fn set_fault(&mut self, fault: EndpointFault) {
        if let Some(flapping) = self.flapping.take() {
            flapping.abort();
        }
        *self.inner.fault() = fault;
        self.server.set_mode(match fault {
            EndpointFault::Refuse => ServerMode::Refusing,
            EndpointFault::Silent => ServerMode::Silent,
            _ => ServerMode::Open,
        });
        if let EndpointFault::Flap { period_ms } = fault {
            let period = Duration::from_millis(period_ms);
            self.flapping = Some(tokio::spawn(flap(Arc::clone(&self.server), period)));
        }
    }

    /// Returns the injected fault.
    pub fn fault(&self) -> EndpointFault {
        *self.inner.fault()
    }

    /// Sets how the endpoint handles connections.
    pub fn set_server_mode(&self, mode: ServerMode) {
        self.server.set_mode(mode);
    }

    /// Begins a graceful stop: refuses new requests while those in flight complete.
    pub fn leave(&self) {
        if self.inner.leaving.swap(true, Ordering::SeqCst) {
            return;
        }
        self.inner.recorder.add_leaving(LeavingRecord {
            name: self.inner.config.name.clone(),
            since: self.inner.recorder.clock().now().0,
        });
    }

    /// Stops the endpoint and records `end_on_drop` as the outcome of unfinished requests.
    pub fn end(self, end_on_drop: ExecutionEnd) {
        let mut cause = self
            .inner
            .end_on_drop
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *cause = end_on_drop;
    }

    /// Returns whether no request is in flight and none arrived during the linger time.
    pub fn is_drained(&self) -> bool {
        let idle = self.inner.last_activity().elapsed();
        self.in_flight() == 0 && idle >= self.inner.config.command.linger
    }

    /// Returns the number of requests that are queued or running.
    pub fn in_flight(&self) -> usize {
        self.inner.in_flight.load(Ordering::SeqCst)
    }

    /// Returns the fraction of the slots in use, from 0 to 1.
    pub fn load(&self) -> f64 {
        let executing = self.inner.executing.load(Ordering::SeqCst);
        executing as f64 / self.inner.config.slots.max(1) as f64
    }

    /// Sets the slowdown that neighbours cause, in thousandths.
    pub fn set_slowdown(&self, slowdown: u32) {
        self.inner.slowdown.store(slowdown, Ordering::Relaxed);
    }

    /// Returns the 99th percentile of recent latencies.
    pub fn p99_latency(&self) -> TimeSpan {
        TimeSpan(self.inner.service_times().p99_latency())
    }
}

impl Drop for EndpointServer {
    fn drop(&mut self) {
        if let Some(flapping) = self.flapping.take() {
            flapping.abort();
        }
    }
}

/// Alternates between refusing and accepting connections.
async fn flap(server: Arc<HttpServer>, period: Duration) {
    for mode in [ServerMode::Refusing, ServerMode::Open].iter().cycle() {
        server.set_mode(*mode);
        sleep(period).await;
    }
}
