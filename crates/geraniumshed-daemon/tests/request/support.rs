//! A small endpoint with injected faults, and a daemon's request path with views that tests set.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use geraniumshed_core::state::{ConfigState, EndpointDirectory, VmTable};
use geraniumshed_daemon::clock::ProcessClock;
use geraniumshed_daemon::request::{EntryContext, EntryHandle, EntryListener, EntrySettings};
use geraniumshed_model::prelude::*;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::keys::{TestLog, TestPeers};

/// The behaviour of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointFault {
    /// Runs the request and answers.
    None,
    /// Runs the request and answers after a delay.
    Slow(Duration),
    /// Rejects the request without running it, because the endpoint is leaving.
    Leaving,
    /// Rejects the request without running it, because the endpoint is busy.
    Busy,
    /// Runs the request, but answers with another request id.
    Mismatched,
    /// Runs the request, but closes the connection in the middle of the answer's body.
    Cut,
    /// Runs the request, but never answers.
    Silent,
    /// Closes each connection immediately.
    Closed,
    /// Runs the request and answers with this many bytes.
    Large(usize),
}

/// A running endpoint that records the requests it ran.
#[derive(Debug, Clone)]
pub struct TestEndpoint {
    pub address: SocketAddr,
    pub runs: Arc<Mutex<Vec<String>>>,
    pub fault: Arc<Mutex<EndpointFault>>,
    pub in_flight: Arc<AtomicUsize>,
    pub peak: Arc<AtomicUsize>,
}

impl TestEndpoint {
    pub async fn spawn(fault: EndpointFault) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let endpoint = Self {
            address: listener.local_addr().expect("an address"),
            runs: Arc::default(),
            fault: Arc::new(Mutex::new(fault)),
            in_flight: Arc::default(),
            peak: Arc::default(),
        };
        let served = endpoint.clone();
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.expect("a connection");
                tokio::spawn(served.clone().serve(stream));
            }
        });
        endpoint
    }

    pub fn runs(&self) -> Vec<String> {
        self.runs.lock().expect("not poisoned").clone()
    }

    pub fn set_fault(&self, fault: EndpointFault) {
        *self.fault.lock().expect("not poisoned") = fault;
    }

    fn fault(&self) -> EndpointFault {
        *self.fault.lock().expect("not poisoned")
    }

    async fn serve(self, stream: TcpStream) {
        match self.fault() {
            EndpointFault::Closed => return,
            EndpointFault::Cut => return self.cut(stream).await,
            _ => {}
        }
        let service = service_fn(move |request| self.clone().answer(request));
        let _ = hyper::server::conn::http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service)
            .await;
    }

    async fn answer(self, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
        let id = request.headers().get("geraniumshed-request-id").cloned();
        let path = request.uri().path().to_owned();
        let body = request.into_body().collect().await.expect("a body");
        let fault = self.fault();
        let mut response = Response::builder();
        if let Some(id) = &id {
            response = response.header("geraniumshed-request-id", id);
        }
        if matches!(fault, EndpointFault::Leaving | EndpointFault::Busy) {
            let leaving = if fault == EndpointFault::Leaving {
                "true"
            } else {
                "false"
            };
            let response = response
                .status(StatusCode::SERVICE_UNAVAILABLE)
                .header("geraniumshed-outcome", "not-run")
                .header("geraniumshed-leaving", leaving);
            return Ok(response.body(Full::default()).expect("valid"));
        }
        let now = self.in_flight.fetch_add(1, Ordering::SeqCst) + 1;
        self.peak.fetch_max(now, Ordering::SeqCst);
        let bytes = body.to_bytes();
        let text = String::from_utf8_lossy(&bytes).into_owned();
        self.runs
            .lock()
            .expect("not poisoned")
            .push(format!("{path} {text}"));
        match fault {
            EndpointFault::Slow(delay) => tokio::time::sleep(delay).await,
            EndpointFault::Silent => std::future::pending().await,
            EndpointFault::Mismatched => {
                response = Response::builder().header("geraniumshed-request-id", "other");
            }
            _ => {}
        }
        self.in_flight.fetch_sub(1, Ordering::SeqCst);
        let answer = match fault {
            EndpointFault::Large(size) => Bytes::from(vec![b'x'; size]),
            _ => bytes,
        };
        Ok(response.body(Full::new(answer)).expect("valid"))
    }

    /// Sends a raw answer whose body is shorter than its declared length.
    async fn cut(self, mut stream: TcpStream) {
        let mut head = vec![0; 16 * 1024];
        let mut length = 0;
        while !head[..length]
            .windows(4)
            .any(|window| window == b"\r\n\r\n")
        {
            length += stream.read(&mut head[length..]).await.expect("a request");
        }
        let text = String::from_utf8_lossy(&head[..length]).into_owned();
        let id = text
            .lines()
            .find_map(|line| line.strip_prefix("geraniumshed-request-id: "))
            .unwrap_or_default();
        self.runs.lock().expect("not poisoned").push("cut".into());
        let answer = format!(
            "HTTP/1.1 200 OK\r\ngeraniumshed-request-id: {id}\r\ncontent-length: 100\r\n\r\nhalf"
        );
        stream.write_all(answer.as_bytes()).await.expect("open");
    }
}

/// A daemon's request path, with the senders of its views.
pub struct TestEntry {
    pub handle: EntryHandle<TestPeers, TestLog>,
    pub endpoints: watch::Sender<Arc<EndpointDirectory>>,
    pub config: watch::Sender<Arc<ConfigState>>,
    pub config_caught_up: watch::Sender<bool>,
    pub vms: watch::Sender<Arc<VmTable>>,
    pub client: reqwest::Client,
}

/// Returns settings with short timeouts.
pub fn quick_settings() -> EntrySettings {
    EntrySettings {
        connect_timeout: Duration::from_millis(200),
        drain_notice: Duration::from_millis(50),
        ..EntrySettings::default()
    }
}

/// Returns the service `booking` with a deadline.
pub fn booking(deadline: Duration, idempotent: bool) -> ServiceSpec {
    ServiceSpec {
        team: "agents".parse().expect("valid"),
        replicas: 1,
        size: ResourceSize::default(),
        group: "booking".parse().expect("valid"),
        command: "serve".into(),
        slots: SlotCount(8),
        connections: 60,
        deadline: TimeSpan(deadline),
        latency_goal: TimeSpan(deadline),
        urgency: UrgencyClass::Normal,
        queue_limit: 100,
        idempotent,
        listener: false,
    }
}

/// Returns a configuration with one service named `booking`.
pub fn config_with(spec: ServiceSpec) -> ConfigState {
    let mut config = ConfigState::default();
    config.apply(
        LogOffset(0),
        &ConfigEvent::Publish {
            key: RecordKey {
                kind: RecordKind::Service,
                name: "booking".parse().expect("valid"),
            },
            schema: SchemaVersion::V2,
            replaces: RecordGeneration(0),
            body: RecordBody::Known(RecordSpec::Service(spec)),
        },
    );
    config
}

/// Returns a directory with the endpoints of `booking`.
pub fn directory_of(addresses: &[SocketAddr]) -> EndpointDirectory {
    let entries = (0..)
        .zip(addresses)
        .map(|(index, address)| EndpointEntry {
            endpoint: EndpointId {
                task: TaskId {
                    record: "booking".parse().expect("valid"),
                    generation: RecordGeneration(0),
                    index,
                },
                attempt: AttemptNumber(1),
            },
            service: "booking".parse().expect("valid"),
            address: *address,
            vm: format!("w{index}").parse().expect("valid"),
            zone: "a".parse().expect("valid"),
            slots: SlotCount(8),
            connections: 60,
            phase: EndpointPhase::Ready,
        })
        .collect();
    let mut directory = EndpointDirectory::default();
    let shard = ShardId(0);
    directory.apply(ShardTerm(1), &EndpointEvent::Full { shard, entries });
    directory
}

impl TestEntry {
    pub async fn bind(spec: ServiceSpec, addresses: &[SocketAddr]) -> Self {
        Self::bind_with(spec, addresses, quick_settings()).await
    }

    pub async fn bind_with(
        spec: ServiceSpec,
        addresses: &[SocketAddr],
        settings: EntrySettings,
    ) -> Self {
        let peers = TestPeers::single();
        Self::bind_as(spec, addresses, settings, peers, TestLog::default()).await
    }

    /// Starts one daemon of several.
    pub async fn bind_as(
        spec: ServiceSpec,
        addresses: &[SocketAddr],
        settings: EntrySettings,
        peers: TestPeers,
        key_log: TestLog,
    ) -> Self {
        let (config, config_view) = watch::channel(Arc::new(config_with(spec)));
        let (config_caught_up, config_caught_up_view) = watch::channel(true);
        let (endpoints, endpoint_view) = watch::channel(Arc::new(directory_of(addresses)));
        let (vms, vm_view) = watch::channel(Arc::new(VmTable::default()));
        let context = EntryContext {
            clock: ProcessClock::start(),
            seed: 7,
            own: "d0".parse().expect("valid"),
            zone: "a".parse().expect("valid"),
            incarnation: peers.own,
            config: config_view,
            config_caught_up: config_caught_up_view,
            endpoints: endpoint_view,
            vms: vm_view,
            forwarder: peers.clone(),
            key_log,
        };
        let handle = EntryListener::bind(context, settings).await.expect("bound");
        peers.join(handle.forward_service());
        Self {
            handle,
            endpoints,
            config,
            config_caught_up,
            vms,
            client: reqwest::Client::builder()
                .no_proxy()
                .tls_certs_only([])
                .build()
                .expect("a client"),
        }
    }

    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.handle.local_addr())
    }

    pub async fn post(&self, path: &str, body: &str) -> reqwest::Response {
        self.client
            .post(self.url(path))
            .body(body.to_owned())
            .send()
            .await
            .expect("an answer")
    }
}

/// Returns the value of the outcome header.
pub fn outcome(response: &reqwest::Response) -> String {
    let value = response.headers().get("geraniumshed-outcome");
    value
        .expect("an outcome")
        .to_str()
        .expect("text")
        .to_owned()
}
