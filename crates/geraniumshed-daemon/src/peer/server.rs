//! Answers the calls of peers.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use geraniumshed_model::prelude::ErrorKind;
use geraniumshed_wire::peer::{ForwardAnswerWire, ForwardRequestWire, PeerApi, PeerReportWire};
use tarpc::context::Context;
use tarpc::serde_transport;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::Framed;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

use super::connection::{frame_codec, prepare_stream};
use super::hub::PeerHub;
use super::settings::PeerSettings;
use super::traffic::{ByteCounter, CountedStream, TrafficCount};
use crate::log::TaskGuard;
use crate::request::ForwardService;

/// The delay after a failure to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The running server of the peer interface; all connections are closed on drop.
#[derive(Debug)]
pub struct PeerServer {
    address: SocketAddr,
    counter: Arc<ByteCounter>,
    _task: TaskGuard,
}

impl PeerServer {
    /// Starts serving peers on a bound listener.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the listener has no address.
    pub fn bind<F: ForwardService>(
        listener: TcpListener,
        hub: PeerHub,
        forwards: F,
        settings: PeerSettings,
    ) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let counter = Arc::new(ByteCounter::default());
        let handler = PeerHandler { hub, forwards };
        let task = accept(listener, handler, settings, Arc::clone(&counter));
        Ok(Self {
            address,
            counter,
            _task: TaskGuard::spawn(task),
        })
    }

    /// Returns the address at which peers are served.
    pub fn local_addr(&self) -> SocketAddr {
        self.address
    }

    /// Returns the bytes of the calls that were served.
    pub fn traffic(&self) -> TrafficCount {
        self.counter.count()
    }
}

async fn accept<F: ForwardService>(
    listener: TcpListener,
    handler: PeerHandler<F>,
    settings: PeerSettings,
    counter: Arc<ByteCounter>,
) {
    let permits = Arc::new(Semaphore::new(settings.connection_limit));
    let mut connections = JoinSet::new();
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("accepting a peer's connection failed: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if let Err(error) = prepare_stream(&stream, &settings) {
            log::debug!("setting the socket options of a peer's connection failed: {error}");
            continue;
        }
        let serving = serve(
            stream,
            handler.clone(),
            settings.clone(),
            Arc::clone(&counter),
        );
        connections.spawn(async move {
            serving.await;
            drop(permit);
        });
        while connections.try_join_next().is_some() {}
    }
}

async fn serve<F: ForwardService>(
    stream: TcpStream,
    handler: PeerHandler<F>,
    settings: PeerSettings,
    counter: Arc<ByteCounter>,
) {
    let framed = Framed::new(CountedStream::new(stream, counter), frame_codec(&settings));
    let transport = serde_transport::new(framed, Bincode::default());
    BaseChannel::with_defaults(transport)
        .execute(handler.serve())
        .for_each_concurrent(settings.call_limit, |call| call)
        .await;
}

/// Answers the calls of one connection.
#[derive(Debug, Clone)]
struct PeerHandler<F> {
    hub: PeerHub,
    forwards: F,
}

impl<F: ForwardService> PeerApi for PeerHandler<F> {
    async fn beat(self, _: Context, report: PeerReportWire) -> PeerReportWire {
        match report.try_into() {
            Ok(report) => self.hub.record_report(report),
            Err(error) => log::warn!("a peer's report is not valid: {error}"),
        }
        self.hub.report().into()
    }

    async fn forward(self, _: Context, request: ForwardRequestWire) -> ForwardAnswerWire {
        match request.try_into() {
            Ok(request) => self.forwards.serve(request).await.into(),
            Err(error) => {
                log::warn!("a request from a peer is not valid: {error}");
                malformed_answer()
            }
        }
    }
}

fn malformed_answer() -> ForwardAnswerWire {
    ForwardAnswerWire {
        status: ErrorKind::Malformed.answer().status,
        headers: Vec::new(),
        body: Bytes::new(),
    }
}
