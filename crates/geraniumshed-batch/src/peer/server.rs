//! Listens for the calls of other nodes.

use std::io;
use std::net::SocketAddr;

use futures::StreamExt;
use tarpc::serde_transport;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::Framed;
use tokio::net::{TcpListener, TcpStream};

use super::stream::frame_codec;
use crate::handler::PeerHandler;
use crate::net::{accept_stream, prepare_stream};
use crate::site::{SiteFeed, WorkerCaller};
use crate::store::StoreClient;
use crate::wire::NodePeer;

/// The largest number of calls in flight on one connection.
const MAX_CONCURRENT_CALLS: usize = 256;

/// A running server for the calls of other nodes.
#[derive(Debug)]
pub struct PeerServer {
    address: SocketAddr,
}

impl PeerServer {
    /// Listens at an address, and serves other nodes until the process exits.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the address can't be listened on.
    pub(crate) async fn bind<S, F, W>(
        address: SocketAddr,
        handler: PeerHandler<S, F, W>,
    ) -> io::Result<Self>
    where
        S: StoreClient,
        F: SiteFeed,
        W: WorkerCaller,
    {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        tokio::spawn(accept(listener, handler));
        Ok(Self { address })
    }

    /// Returns the address at which the server listens.
    pub fn local_addr(&self) -> SocketAddr {
        self.address
    }
}

async fn accept<S, F, W>(listener: TcpListener, handler: PeerHandler<S, F, W>)
where
    S: StoreClient,
    F: SiteFeed,
    W: WorkerCaller,
{
    loop {
        let stream = accept_stream(&listener, "node").await;
        if let Err(error) = prepare_stream(&stream) {
            log::debug!("could not configure the connection of a node: {error}");
            continue;
        }
        tokio::spawn(serve(stream, handler.clone()));
    }
}

async fn serve<S, F, W>(stream: TcpStream, handler: PeerHandler<S, F, W>)
where
    S: StoreClient,
    F: SiteFeed,
    W: WorkerCaller,
{
    let transport = serde_transport::new(Framed::new(stream, frame_codec()), Bincode::default());
    BaseChannel::with_defaults(transport)
        .execute(handler.serve())
        .for_each_concurrent(MAX_CONCURRENT_CALLS, |call| call)
        .await;
}
