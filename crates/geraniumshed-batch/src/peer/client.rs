//! The connections to other nodes.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use tarpc::client::{Config, NewClient, RpcError};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::Framed;
use tarpc::{context, serde_transport};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::stream::{frame_codec, prepare_stream};
use crate::wire::{BeatReplyWire, BeatWire, JobAnswerWire, JobCallWire, NodePeerClient};

/// The time to make a connection.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);

/// Why a call to a node has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerFailure {
    /// Nothing listens at the node's address.
    Refused,
    /// No connection could be made, so that nothing was sent.
    NotSent,
    /// The call may have been carried out.
    Unanswered,
}

/// The connections to other nodes; its clones share them.
#[derive(Debug, Clone, Default)]
pub struct PeerPool {
    clients: Arc<Mutex<BTreeMap<SocketAddr, NodePeerClient>>>,
}

impl PeerPool {
    /// Sends a heartbeat.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub async fn beat(
        &self,
        address: SocketAddr,
        beat: BeatWire,
        limit: Duration,
    ) -> Result<BeatReplyWire, PeerFailure> {
        let client = self.client(address).await?;
        let answer = timeout(limit, client.beat(call_context(limit), beat)).await;
        self.finish(address, answer.ok())
    }

    /// Passes a client's call on.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub async fn call(
        &self,
        address: SocketAddr,
        call: JobCallWire,
        limit: Duration,
    ) -> Result<JobAnswerWire, PeerFailure> {
        let client = self.client(address).await?;
        let answer = timeout(limit, client.call(call_context(limit), call)).await;
        self.finish(address, answer.ok())
    }

    /// Reads the configuration that a node has in force.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub async fn config(&self, address: SocketAddr, limit: Duration) -> Result<Bytes, PeerFailure> {
        let client = self.client(address).await?;
        let answer = timeout(limit, client.config(call_context(limit))).await;
        self.finish(address, answer.ok())
    }

    /// Asks a node whether the store answers its calls.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub async fn probe_store(
        &self,
        address: SocketAddr,
        limit: Duration,
    ) -> Result<bool, PeerFailure> {
        let client = self.client(address).await?;
        let answer = timeout(limit, client.probe_store(call_context(limit))).await;
        self.finish(address, answer.ok())
    }

    /// Asks a node to lead.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub async fn succeed(
        &self,
        address: SocketAddr,
        term: u64,
        limit: Duration,
    ) -> Result<(), PeerFailure> {
        let client = self.client(address).await?;
        let answer = timeout(limit, client.succeed(call_context(limit), term)).await;
        self.finish(address, answer.ok())
    }

    /// Drops the connection of a call without an answer, so that the next call makes a fresh one.
    fn finish<T>(
        &self,
        address: SocketAddr,
        answer: Option<Result<T, RpcError>>,
    ) -> Result<T, PeerFailure> {
        if let Some(Ok(answer)) = answer {
            return Ok(answer);
        }
        self.lock().remove(&address);
        Err(PeerFailure::Unanswered)
    }

    async fn client(&self, address: SocketAddr) -> Result<NodePeerClient, PeerFailure> {
        if let Some(client) = self.lock().get(&address) {
            return Ok(client.clone());
        }
        let connecting = timeout(CONNECT_LIMIT, TcpStream::connect(address)).await;
        let stream = connecting
            .map_err(|_| PeerFailure::NotSent)?
            .map_err(|error| match error.kind() {
                io::ErrorKind::ConnectionRefused => PeerFailure::Refused,
                _ => PeerFailure::NotSent,
            })?;
        prepare_stream(&stream).map_err(|_| PeerFailure::NotSent)?;
        let transport =
            serde_transport::new(Framed::new(stream, frame_codec()), Bincode::default());
        let NewClient { client, dispatch } = NodePeerClient::new(Config::default(), transport);
        let pool = self.clone();
        tokio::spawn(async move {
            if let Err(error) = dispatch.await {
                log::debug!("the connection to node {address} ended: {error}");
            }
            pool.lock().remove(&address);
        });
        self.lock().insert(address, client.clone());
        Ok(client)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<SocketAddr, NodePeerClient>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn call_context(limit: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + limit;
    context
}
