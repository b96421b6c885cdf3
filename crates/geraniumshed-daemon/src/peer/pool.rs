//! The connections to all peers.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use geraniumshed_model::prelude::PeerReport;
use geraniumshed_wire::peer::{ForwardAnswerWire, ForwardRequestWire};
use tarpc::client::RpcError;
use tarpc::context;
use tokio::time::timeout;

use super::connection::PeerConnection;
use super::settings::PeerSettings;
use super::traffic::{ByteCounter, TrafficCount};

/// The use of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ConnectionKind {
    Heartbeat,
    Forward,
}

/// Why a call to a peer failed.
#[derive(Debug)]
pub(super) enum CallError {
    /// The call was not sent.
    NotSent(io::Error),
    /// The peer may have received the call.
    Lost(RpcError),
    /// No answer arrived in time.
    TimedOut,
    /// The answer can't be converted from its wire type.
    Invalid,
}

impl Display for CallError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(error) => write!(f, "connecting failed: {error}"),
            Self::Lost(error) => write!(f, "the answer was lost: {error}"),
            Self::TimedOut => f.write_str("no answer arrived in time"),
            Self::Invalid => f.write_str("the answer is not valid"),
        }
    }
}

/// The open connections by their address and use.
type ConnectionMap = BTreeMap<(SocketAddr, ConnectionKind), Arc<PeerConnection>>;

/// The connections to all peers; clones share them.
#[derive(Debug, Clone)]
pub struct PeerPool {
    settings: PeerSettings,
    connections: Arc<Mutex<ConnectionMap>>,
    heartbeats: Arc<ByteCounter>,
    forwards: Arc<ByteCounter>,
}

impl PeerPool {
    /// Creates a pool without any connection.
    pub fn open(settings: PeerSettings) -> Self {
        Self {
            settings,
            connections: Arc::default(),
            heartbeats: Arc::default(),
            forwards: Arc::default(),
        }
    }

    /// Returns the bytes of heartbeats and of forwarded requests.
    pub fn traffic(&self) -> (TrafficCount, TrafficCount) {
        (self.heartbeats.count(), self.forwards.count())
    }

    /// Sends a heartbeat and returns the peer's report.
    pub(super) async fn heartbeat(
        &self,
        address: SocketAddr,
        report: PeerReport,
    ) -> Result<PeerReport, CallError> {
        let connection = self.connection(address, ConnectionKind::Heartbeat).await?;
        let limit = self.settings.heartbeat_timeout;
        let call = connection.client().beat(call_context(limit), report.into());
        let answer = self
            .finish(address, ConnectionKind::Heartbeat, limit, call)
            .await?;
        answer.try_into().map_err(|_| CallError::Invalid)
    }

    /// Forwards a request and waits for its answer.
    pub(super) async fn forward(
        &self,
        address: SocketAddr,
        request: ForwardRequestWire,
    ) -> Result<ForwardAnswerWire, CallError> {
        let connection = self.connection(address, ConnectionKind::Forward).await?;
        // The peer answers by the request's deadline; the rest is a margin for the connection.
        let limit = Duration::from_micros(request.remaining_us) + self.settings.heartbeat_timeout;
        let call = connection.client().forward(call_context(limit), request);
        self.finish(address, ConnectionKind::Forward, limit, call)
            .await
    }

    /// Waits for an answer, and removes the connection from the pool if none arrives.
    async fn finish<T>(
        &self,
        address: SocketAddr,
        kind: ConnectionKind,
        limit: Duration,
        call: impl Future<Output = Result<T, RpcError>>,
    ) -> Result<T, CallError> {
        let error = match timeout(limit, call).await {
            Ok(Ok(answer)) => return Ok(answer),
            Ok(Err(error)) => CallError::Lost(error),
            Err(_) => CallError::TimedOut,
        };
        self.connections().remove(&(address, kind));
        Err(error)
    }

    async fn connection(
        &self,
        address: SocketAddr,
        kind: ConnectionKind,
    ) -> Result<Arc<PeerConnection>, CallError> {
        let held = self.connections().get(&(address, kind)).cloned();
        if let Some(connection) = held.filter(|connection| connection.is_open()) {
            return Ok(connection);
        }
        let counter = match kind {
            ConnectionKind::Heartbeat => &self.heartbeats,
            ConnectionKind::Forward => &self.forwards,
        };
        let connection = PeerConnection::open(address, &self.settings, Arc::clone(counter))
            .await
            .map_err(CallError::NotSent)?;
        let connection = Arc::new(connection);
        self.connections()
            .insert((address, kind), Arc::clone(&connection));
        Ok(connection)
    }

    /// Removes ended connections and those to peers that are no longer known.
    pub(super) fn retain(&self, known: impl Fn(SocketAddr) -> bool) {
        self.connections()
            .retain(|(address, _), connection| connection.is_open() && known(*address));
    }

    fn connections(&self) -> MutexGuard<'_, ConnectionMap> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn call_context(limit: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = std::time::Instant::now() + limit;
    context
}
