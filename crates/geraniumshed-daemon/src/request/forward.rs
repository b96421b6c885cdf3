//! Types and traits for forwarding requests between daemons.
//!
//! The `peer` module implements the transport over tarpc.

use std::net::SocketAddr;

use bytes::Bytes;
use geraniumshed_model::prelude::{DaemonIncarnation, RecordName, ShardId, ShardTerm, TimeSpan};
use smol_str::SmolStr;

/// A header of a request or an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeaderPair {
    /// The name in lower case.
    pub name: SmolStr,
    /// The value.
    pub value: Bytes,
}

/// A complete request for another daemon to dispatch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardRequest {
    /// The incarnation that has to dispatch the request, if only one may; any other one rejects it
    /// without running it.
    pub incarnation: Option<DaemonIncarnation>,
    /// The name of the binding or service in the caller's path.
    pub service: RecordName,
    /// The method.
    pub method: SmolStr,
    /// The path and query within the service, with a leading slash.
    pub target: SmolStr,
    /// The caller's headers, including the idempotency key and the trace context.
    pub headers: Vec<HeaderPair>,
    /// The body.
    pub body: Bytes,
    /// The time left until the request's deadline.
    pub remaining: TimeSpan,
}

/// The complete answer of the daemon that dispatched a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The headers, including the outcome.
    pub headers: Vec<HeaderPair>,
    /// The body.
    pub body: Bytes,
}

/// An error in forwarding a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ForwardError {
    /// The request did not reach the peer.
    NotSent,
    /// The request may have reached the peer, but its answer was lost.
    Lost,
}

/// The daemon that may dispatch the requests whose idempotency keys belong to a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum KeyOwner {
    /// This daemon, in the given term.
    Own(ShardTerm),
    /// The daemon whose peer interface is at this address.
    Peer(SocketAddr),
    /// No daemon owns the shard at present.
    Unowned,
}

/// Forwards requests to other daemons and looks up which daemon is responsible for a key.
pub trait PeerForwarder: Clone + Send + Sync + 'static {
    /// Returns the peer address of the daemon with an incarnation, if it is known to be alive.
    fn issuer(&self, incarnation: DaemonIncarnation) -> Option<SocketAddr>;

    /// Returns the current owner of a shard.
    fn owner(&self, shard: ShardId) -> KeyOwner;

    /// Forwards a request and waits for its complete answer.
    ///
    /// # Errors
    ///
    /// Returns [`ForwardError::NotSent`] only if the request certainly did not reach the peer.
    fn forward(
        &self,
        peer: SocketAddr,
        request: ForwardRequest,
    ) -> impl Future<Output = Result<ForwardAnswer, ForwardError>> + Send;
}

/// Serves requests that other daemons forward; called by the server of the peer interface.
pub trait ForwardService: Clone + Send + Sync + 'static {
    /// Dispatches a request and returns its complete answer.
    fn serve(&self, request: ForwardRequest) -> impl Future<Output = ForwardAnswer> + Send;
}
