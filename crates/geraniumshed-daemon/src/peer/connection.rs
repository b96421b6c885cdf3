//! One connection to a peer.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use geraniumshed_wire::peer::PeerApiClient;
use socket2::{SockRef, TcpKeepalive};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::{Framed, LengthDelimitedCodec};
use tarpc::{client, serde_transport};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::settings::PeerSettings;
use super::traffic::{ByteCounter, CountedStream};
use crate::log::TaskGuard;

/// The idle time after which a connection is probed, and the interval of the probes.
const KEEPALIVE_TIME: Duration = Duration::from_secs(5);

/// An open connection to a peer; it is closed on drop.
#[derive(Debug)]
pub(super) struct PeerConnection {
    client: PeerApiClient,
    dispatch: TaskGuard,
}

impl PeerConnection {
    /// Opens a connection.
    pub(super) async fn open(
        address: SocketAddr,
        settings: &PeerSettings,
        counter: Arc<ByteCounter>,
    ) -> io::Result<Self> {
        let connecting = TcpStream::connect(address);
        let stream = timeout(settings.connect_timeout, connecting).await??;
        prepare_stream(&stream, settings)?;
        let framed = Framed::new(CountedStream::new(stream, counter), frame_codec(settings));
        let transport = serde_transport::new(framed, Bincode::default());
        let config = client::Config::default();
        let client::NewClient { client, dispatch } = PeerApiClient::new(config, transport);
        let dispatch = TaskGuard::spawn(async move {
            if let Err(error) = dispatch.await {
                log::debug!("connection to peer {address} ended: {error}");
            }
        });
        Ok(Self { client, dispatch })
    }

    /// Returns the RPC client of the connection.
    pub(super) fn client(&self) -> &PeerApiClient {
        &self.client
    }

    /// Returns whether the connection has not ended as far as is known.
    pub(super) fn is_open(&self) -> bool {
        !self.dispatch.is_finished()
    }
}

/// Sets the socket options, including those that detect a peer that no longer answers.
pub(super) fn prepare_stream(stream: &TcpStream, settings: &PeerSettings) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_TIME)
        .with_interval(KEEPALIVE_TIME);
    socket.set_tcp_keepalive(&keepalive)?;
    #[cfg(target_os = "linux")]
    socket.set_tcp_user_timeout(Some(settings.silence_timeout))?;
    Ok(())
}

/// Returns the codec of the frames, which is the same on both sides.
pub(super) fn frame_codec(settings: &PeerSettings) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(settings.frame_limit)
        .new_codec()
}
