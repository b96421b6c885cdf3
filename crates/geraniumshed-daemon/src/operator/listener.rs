//! The operators' listener.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use geraniumshed_gate::{
    ClientGate, ConnectionAccount, GateSettings, serve_connection as serve_gated,
};
use http::{HeaderMap, Method};
use hyper_util::server::graceful::{GracefulShutdown, Watcher};
use hyper_util::service::TowerToHyperService;
use log::{debug, warn};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::timeout;
use tokio_rustls::TlsAcceptor;
use warp::Filter as _;
use warp::filters::path::FullPath;
use warp::reply::Response;

use super::backend::OperatorBackend;
use super::serve::{OperatorContext, OperatorRequest, serve_request};
use super::tls::{TlsLoader, TlsReloader};
use crate::settings::OperatorSettings;

/// The delay after a failure to accept a connection, such as too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The minimum size in bytes of the buffer for headers.
const HEADER_BUFFER_MIN: usize = 64 * 1024;
/// The memory of all operators' requests together, as a multiple of the largest one.
const REQUEST_MEMORY_FACTOR: usize = 8;
/// The maximum time that a graceful stop waits for requests in flight.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// The operators' listener.
#[derive(Debug)]
pub struct OperatorListener;

/// The running listener.
#[derive(Debug)]
pub struct OperatorHandle {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl OperatorListener {
    /// Binds the listener and starts serving operators.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound or the certificates can't be used.
    pub async fn bind<B: OperatorBackend>(
        backend: B,
        settings: OperatorSettings,
    ) -> io::Result<OperatorHandle> {
        let tls = match settings.tls.clone().map(TlsLoader::new) {
            Some(loader) => Some(TlsReloader::spawn(loader).map_err(io::Error::other)?),
            None => None,
        };
        let listener = TcpListener::bind(settings.listen).await?;
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let server = OperatorServer {
            gate: ClientGate::open(gate_settings(&settings)),
            context: OperatorContext {
                backend,
                settings: Arc::new(settings),
            },
            tls,
        };
        let task = tokio::spawn(accept_operators(listener, server, stopped));
        Ok(OperatorHandle {
            address,
            stop,
            task,
        })
    }
}

impl OperatorHandle {
    /// Returns the address at which operators are served.
    pub fn local_addr(&self) -> SocketAddr {
        self.address
    }

    /// Stops gracefully: accepts no new connections and finishes the requests in flight.
    pub async fn stop(self) {
        // The send fails only if the listener has ended.
        let _ = self.stop.send(true);
        drop(timeout(STOP_TIMEOUT, self.task).await);
    }
}

/// Returns the settings of the operators' gate, which is apart from that of the callers.
fn gate_settings(settings: &OperatorSettings) -> GateSettings {
    let header_bytes = (settings.header_limit * 2).max(HEADER_BUFFER_MIN);
    let body_limit = usize::try_from(settings.body_limit).unwrap_or(usize::MAX);
    let connection_memory = header_bytes.saturating_add(body_limit);
    GateSettings {
        peer: "operator",
        memory_limit: connection_memory.saturating_mul(REQUEST_MEMORY_FACTOR),
        connection_memory,
        connection_limit: settings.connection_limit,
        header_bytes,
        header_timeout: settings.header_timeout,
        body_timeout: settings.body_timeout,
        ..GateSettings::default()
    }
}

/// The state that all connections share.
#[derive(Debug, Clone)]
struct OperatorServer<B> {
    gate: ClientGate,
    context: OperatorContext<B>,
    tls: Option<Arc<TlsReloader>>,
}

async fn accept_operators<B: OperatorBackend>(
    listener: TcpListener,
    server: OperatorServer<B>,
    mut stopped: watch::Receiver<bool>,
) {
    let graceful = GracefulShutdown::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    if let Some(account) = server.gate.admit().await {
                        let watcher = graceful.watcher();
                        tokio::spawn(serve_stream(server.clone(), stream, watcher, account));
                    }
                }
                Err(error) => {
                    warn!("operators' listener: accepting a connection failed: {error}");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            _ = stopped.changed() => break,
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

/// Serves a connection, after its TLS handshake if operators are served over TLS.
async fn serve_stream<B: OperatorBackend>(
    server: OperatorServer<B>,
    stream: TcpStream,
    watcher: Watcher,
    account: ConnectionAccount,
) {
    let Some(tls) = server.tls.clone() else {
        serve_connection(server, stream, watcher, account).await;
        return;
    };
    let handshake_timeout = server.context.settings.header_timeout;
    match timeout(
        handshake_timeout,
        TlsAcceptor::from(tls.config()).accept(stream),
    )
    .await
    {
        Ok(Ok(stream)) => serve_connection(server, stream, watcher, account).await,
        Ok(Err(error)) => warn!("operators' listener: TLS handshake failed: {error}"),
        Err(_) => warn!("operators' listener: TLS handshake timed out"),
    }
}

async fn serve_connection<B: OperatorBackend, S>(
    server: OperatorServer<B>,
    stream: S,
    watcher: Watcher,
    account: ConnectionAccount,
) where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let service = TowerToHyperService::new(warp::service(operator_filter(server.context)));
    if let Err(error) = serve_gated(account, stream, service, watcher).await {
        debug!("operators' listener: a connection failed: {error}");
    }
}

/// Accepts every request, so that all errors are answered as problem documents.
fn operator_filter<B: OperatorBackend>(
    context: OperatorContext<B>,
) -> impl warp::Filter<Extract = (Response,), Error = warp::Rejection> + Clone {
    let query =
        warp::query::raw().or_else(|_| async { Ok::<_, warp::Rejection>((String::new(),)) });
    warp::method()
        .and(warp::path::full())
        .and(query)
        .and(warp::header::headers_cloned())
        .and(warp::body::stream())
        .then(
            move |method: Method, path: FullPath, query: String, headers: HeaderMap, body| {
                let request = OperatorRequest {
                    method,
                    path: path.as_str().to_owned(),
                    query,
                    headers,
                };
                let reply = serve_request(context.clone(), request, body);
                async move { reply.await.into_response() }
            },
        )
}
