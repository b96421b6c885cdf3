//! How daemons pass requests on to the one that may dispatch them.
//!
//! The request path defines the types and traits; the daemon's `peer` side carries them over tarpc.

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

/// A whole request that another daemon has to dispatch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardRequest {
    /// The incarnation that has to dispatch the request; any other one refuses it unrun.
    pub incarnation: Option<DaemonIncarnation>,
    /// The binding or service that the caller named.
    pub service: RecordName,
    /// The method.
    pub method: SmolStr,
    /// The path and query within the service, with a leading slash.
    pub target: SmolStr,
    /// The headers that the caller sent, with its idempotency key and its trace context.
    pub headers: Vec<HeaderPair>,
    /// The body.
    pub body: Bytes,
    /// The time left until the request's deadline.
    pub remaining: TimeSpan,
}

/// The whole answer of the daemon that dispatched a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The headers, with the outcome.
    pub headers: Vec<HeaderPair>,
    /// The body.
    pub body: Bytes,
}

/// Why a request could not be passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ForwardError {
    /// The peer certainly did not get the request.
    NotSent,
    /// The peer may have got the request, and its answer is lost.
    Lost,
}

/// Who may dispatch the requests whose keys fall to a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum KeyOwner {
    /// This daemon, under a term.
    Own(ShardTerm),
    /// The daemon whose peer interface is at this address.
    Peer(SocketAddr),
    /// No daemon holds the shard now.
    Nobody,
}

/// Passes requests on to peers, and knows which peer is which.
pub trait PeerForwarder: Clone + Send + Sync + 'static {
    /// Returns the peer interface of a daemon's incarnation, if it is known to live.
    fn issuer(&self, incarnation: DaemonIncarnation) -> Option<SocketAddr>;

    /// Returns the present owner of a shard.
    fn owner(&self, shard: ShardId) -> KeyOwner;

    /// Passes a request on and waits for its whole answer.
    ///
    /// # Errors
    ///
    /// Returns [`ForwardError::NotSent`] only if the peer certainly did not get the request.
    fn forward(
        &self,
        peer: SocketAddr,
        request: ForwardRequest,
    ) -> impl Future<Output = Result<ForwardAnswer, ForwardError>> + Send;
}

/// Takes requests that peers pass on; the peer interface's server calls it.
pub trait ForwardService: Clone + Send + Sync + 'static {
    /// Dispatches a request and returns its whole answer.
    fn serve(&self, request: ForwardRequest) -> impl Future<Output = ForwardAnswer> + Send;
}
