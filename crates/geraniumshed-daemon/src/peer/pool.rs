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

/// What connections are used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum CallKind {
    Beat,
    Forward,
}

/// Why a call to a peer failed.
#[derive(Debug)]
pub(super) enum CallError {
    /// The peer certainly did not get the call.
    NotSent(io::Error),
    /// The peer may have got the call.
    Lost(RpcError),
    /// No answer came in time.
    TimedOut,
    /// The answer breaks a rule.
    Invalid,
}

impl Display for CallError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(error) => write!(f, "no connection could be made: {error}"),
            Self::Lost(error) => write!(f, "the answer was lost: {error}"),
            Self::TimedOut => f.write_str("no answer came in time"),
            Self::Invalid => f.write_str("the answer is not valid"),
        }
    }
}

/// Open connections by their address and use.
type ConnectionMap = BTreeMap<(SocketAddr, CallKind), Arc<PeerConnection>>;

/// The connections to all peers; its clones share them.
#[derive(Debug, Clone)]
pub struct PeerPool {
    settings: PeerSettings,
    connections: Arc<Mutex<ConnectionMap>>,
    beats: Arc<ByteCounter>,
    forwards: Arc<ByteCounter>,
}

impl PeerPool {
    /// Opens a pool without any connection.
    pub fn open(settings: PeerSettings) -> Self {
        Self {
            settings,
            connections: Arc::default(),
            beats: Arc::default(),
            forwards: Arc::default(),
        }
    }

    /// Returns the bytes of heartbeats and of requests that were passed on.
    pub fn traffic(&self) -> (TrafficCount, TrafficCount) {
        (self.beats.count(), self.forwards.count())
    }

    /// Sends a heartbeat and returns the peer's report.
    pub(super) async fn beat(
        &self,
        address: SocketAddr,
        report: PeerReport,
    ) -> Result<PeerReport, CallError> {
        let connection = self.connection(address, CallKind::Beat).await?;
        let limit = self.settings.beat_timeout;
        let call = connection.client().beat(call_context(limit), report.into());
        let answer = self.finish(address, CallKind::Beat, limit, call).await?;
        answer.try_into().map_err(|_| CallError::Invalid)
    }

    /// Passes a request on and waits for its answer.
    pub(super) async fn forward(
        &self,
        address: SocketAddr,
        request: ForwardRequestWire,
    ) -> Result<ForwardAnswerWire, CallError> {
        let connection = self.connection(address, CallKind::Forward).await?;
        // The peer answers by the request's deadline itself.
        let limit = Duration::from_micros(request.remaining_us) + self.settings.beat_timeout;
        let call = connection.client().forward(call_context(limit), request);
        self.finish(address, CallKind::Forward, limit, call).await
    }

    /// Waits for an answer, and drops the connection if none comes.
    async fn finish<T>(
        &self,
        address: SocketAddr,
        kind: CallKind,
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
        kind: CallKind,
    ) -> Result<Arc<PeerConnection>, CallError> {
        let held = self.connections().get(&(address, kind)).cloned();
        if let Some(connection) = held.filter(|connection| connection.is_open()) {
            return Ok(connection);
        }
        let counter = match kind {
            CallKind::Beat => &self.beats,
            CallKind::Forward => &self.forwards,
        };
        let connection = PeerConnection::open(address, &self.settings, Arc::clone(counter))
            .await
            .map_err(CallError::NotSent)?;
        let connection = Arc::new(connection);
        self.connections()
            .insert((address, kind), Arc::clone(&connection));
        Ok(connection)
    }

    /// Closes the connections to peers that are no longer known.
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
