//! A running endpoint.

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
use crate::http::{HttpServer, ServerMode};
use crate::proxy::FaultProxy;
use crate::truth::{ExecutionEnd, LeavingRecord, TruthLedger};

/// What one endpoint is.
#[derive(Debug, Clone)]
pub struct EndpointConfig {
    /// The endpoint, as `task@attempt`.
    pub name: SmolStr,
    /// The service.
    pub service: SmolStr,
    /// The VM.
    pub vm: SmolStr,
    /// The requests that are served at once.
    pub slots: usize,
    /// The connections that are taken at once.
    pub connections: usize,
    /// The command.
    pub command: SimulateCommand,
    /// The seed of the times to serve and of the proxy.
    pub seed: u64,
    /// Whether a fault proxy stands in front of the endpoint.
    pub proxied: bool,
}

/// A running endpoint; dropping it drops all its connections.
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
    pub fn bind(config: EndpointConfig, ledger: TruthLedger) -> io::Result<Self> {
        let times = ServiceTimes::new(config.seed, &config.name, &config.command);
        let connections = config.connections;
        let seed = config.seed;
        let proxied = config.proxied;
        let inner = Arc::new(EndpointInner {
            slots: Semaphore::new(config.slots),
            config,
            ledger,
            present: AtomicUsize::new(0),
            serving: AtomicUsize::new(0),
            leaving: AtomicBool::new(false),
            dropped: Arc::new(Mutex::new(ExecutionEnd::Abandoned)),
            slowdown: AtomicU32::new(1000),
            fault: Mutex::default(),
            times: Mutex::new(times),
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

    /// Returns the address of the endpoint.
    pub fn address(&self) -> SocketAddr {
        self.proxy
            .as_ref()
            .map_or_else(|| self.server.address(), FaultProxy::address)
    }

    /// Returns the fault proxy in front of the endpoint, if there is one.
    pub fn proxy(&self) -> Option<&FaultProxy> {
        self.proxy.as_ref()
    }

    /// Changes how the endpoint fails.
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

    /// Returns how the endpoint fails.
    pub fn fault(&self) -> EndpointFault {
        *self.inner.fault()
    }

    /// Changes how the endpoint treats connections.
    pub fn set_server_mode(&self, mode: ServerMode) {
        self.server.set_mode(mode);
    }

    /// Makes the endpoint refuse new requests and finish those that it has.
    pub fn leave(&self) {
        if self.inner.leaving.swap(true, Ordering::SeqCst) {
            return;
        }
        self.inner.ledger.add_leaving(LeavingRecord {
            name: self.inner.config.name.clone(),
            since: self.inner.ledger.clock().now().0,
        });
    }

    /// Ends the endpoint, and the requests that it still serves as told.
    pub fn end(self, dropped: ExecutionEnd) {
        let mut cause = self
            .inner
            .dropped
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *cause = dropped;
    }

    /// Tells whether the endpoint has finished its requests and got none for its time to linger.
    pub fn is_drained(&self) -> bool {
        let idle = self.inner.last_activity().elapsed();
        self.in_flight() == 0 && idle >= self.inner.config.command.linger
    }

    /// Returns the number of requests that wait or are served.
    pub fn in_flight(&self) -> usize {
        self.inner.present.load(Ordering::SeqCst)
    }

    /// Returns the part of the slots that is in use, from 0 to 1.
    pub fn load(&self) -> f64 {
        let serving = self.inner.serving.load(Ordering::SeqCst);
        serving as f64 / self.inner.config.slots.max(1) as f64
    }

    /// Changes the slowdown by neighbours, in thousandths.
    pub fn set_slowdown(&self, slowdown: u32) {
        self.inner.slowdown.store(slowdown, Ordering::Relaxed);
    }

    /// Returns the 99th percentile of the latest latencies.
    pub fn percentile_99(&self) -> TimeSpan {
        TimeSpan(self.inner.times().percentile_99())
    }
}

impl Drop for EndpointServer {
    fn drop(&mut self) {
        if let Some(flapping) = self.flapping.take() {
            flapping.abort();
        }
    }
}

async fn flap(server: Arc<HttpServer>, period: Duration) {
    for mode in [ServerMode::Refusing, ServerMode::Open].iter().cycle() {
        server.set_mode(*mode);
        sleep(period).await;
    }
}
