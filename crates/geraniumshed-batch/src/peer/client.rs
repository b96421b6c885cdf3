//! The client side of the calls between nodes.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use geraniumshed_core::job::JobId;
use tarpc::client::{Config, NewClient, RpcError};
use tarpc::context::{self, Context};
use tarpc::serde_transport;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::Framed;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::stream::frame_codec;
use crate::net::prepare_stream;
use crate::wire::{
    ConfigQueryWire, ConfigReplyWire, CourierReplyBatchWire, CourierRequestWire, ForecastQueryWire,
    ForecastReplyWire, HeartbeatReplyWire, HeartbeatWire, JobAnswerWire, JobCallWire,
    NodePeerClient,
};

/// The timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The reason why a call to a node has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerFailure {
    /// Nothing listens at the node's address.
    Refused,
    /// No connection could be made, so that nothing was sent.
    NotSent,
    /// The call may have been carried out.
    Unanswered,
}

/// The connections to other nodes. Clones share them.
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
    pub async fn heartbeat(
        &self,
        address: SocketAddr,
        heartbeat: HeartbeatWire,
        limit: Duration,
    ) -> Result<HeartbeatReplyWire, PeerFailure> {
        self.request(address, limit, async |client, context| {
            client.heartbeat(context, heartbeat).await
        })
        .await
    }

    /// Forwards a client's call.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub async fn forward_call(
        &self,
        address: SocketAddr,
        call: JobCallWire,
        limit: Duration,
    ) -> Result<JobAnswerWire, PeerFailure> {
        self.request(address, limit, async |client, context| {
            client.forward_call(context, call).await
        })
        .await
    }

    /// Asks a node what has changed in the configuration.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub async fn config_update(
        &self,
        address: SocketAddr,
        query: ConfigQueryWire,
        limit: Duration,
    ) -> Result<ConfigReplyWire, PeerFailure> {
        self.request(address, limit, async |client, context| {
            client.config_update(context, query).await
        })
        .await
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
        self.request(address, limit, async |client, context| {
            client.probe_store(context).await
        })
        .await
    }

    /// Asks a node to send the cancellation of a job to the leader as well.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub async fn replicate_cancel(
        &self,
        address: SocketAddr,
        job: JobId,
        limit: Duration,
    ) -> Result<(), PeerFailure> {
        self.request(address, limit, async |client, context| {
            client.replicate_cancel(context, job.0).await
        })
        .await
    }

    /// Returns the jobs whose cancellation is active on a node.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub async fn active_cancels(
        &self,
        address: SocketAddr,
        limit: Duration,
    ) -> Result<Vec<JobId>, PeerFailure> {
        let jobs = self.request(address, limit, async |client, context| {
            client.active_cancels(context).await
        });
        Ok(jobs.await?.into_iter().map(JobId).collect())
    }

    /// Asks a node to become the leader after the leader of a term has resigned.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub async fn become_leader(
        &self,
        address: SocketAddr,
        term: u64,
        limit: Duration,
    ) -> Result<(), PeerFailure> {
        self.request(address, limit, async |client, context| {
            client.become_leader(context, term).await
        })
        .await
    }

    /// Passes calls to workers to a courier.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub async fn call_workers(
        &self,
        address: SocketAddr,
        request: CourierRequestWire,
        limit: Duration,
    ) -> Result<CourierReplyBatchWire, PeerFailure> {
        self.request(address, limit, async |client, context| {
            client.call_workers(context, request).await
        })
        .await
    }

    /// Asks a node for another forecast of waits than the caller knows.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub async fn wait_forecast(
        &self,
        address: SocketAddr,
        query: ForecastQueryWire,
        limit: Duration,
    ) -> Result<ForecastReplyWire, PeerFailure> {
        self.request(address, limit, async |client, context| {
            client.wait_forecast(context, query).await
        })
        .await
    }

    /// Makes a call. Drops the connection if there is no answer, so that the next call opens a new
    /// one.
    async fn request<T>(
        &self,
        address: SocketAddr,
        limit: Duration,
        call: impl AsyncFnOnce(NodePeerClient, Context) -> Result<T, RpcError>,
    ) -> Result<T, PeerFailure> {
        let client = self.client(address).await?;
        let mut context = context::current();
        context.deadline = Instant::now() + limit;
        if let Ok(Ok(answer)) = timeout(limit, call(client, context)).await {
            return Ok(answer);
        }
        self.lock().remove(&address);
        Err(PeerFailure::Unanswered)
    }

    /// Returns the client of an address, and connects if there is none.
    async fn client(&self, address: SocketAddr) -> Result<NodePeerClient, PeerFailure> {
        if let Some(client) = self.lock().get(&address) {
            return Ok(client.clone());
        }
        let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
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
                log::debug!("the connection to node {address} failed: {error}");
            }
            pool.lock().remove(&address);
        });
        self.lock().insert(address, client.clone());
        Ok(client)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, NodePeerClient>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
