//! The operators' listener.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, Method};
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::{GracefulShutdown, Watcher};
use hyper_util::service::TowerToHyperService;
use log::{debug, warn};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
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
            connections: Arc::new(Semaphore::new(settings.connection_limit)),
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

/// The state that all connections share.
#[derive(Debug, Clone)]
struct OperatorServer<B> {
    connections: Arc<Semaphore>,
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
                Ok((stream, _)) => spawn_connection(&server, stream, &graceful),
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

/// Spawns a background task that serves a connection, unless the limit of connections is reached.
fn spawn_connection<B: OperatorBackend>(
    server: &OperatorServer<B>,
    stream: TcpStream,
    graceful: &GracefulShutdown,
) {
    let Ok(permit) = Arc::clone(&server.connections).try_acquire_owned() else {
        warn!("operators' listener: closing a new connection, since too many are open");
        return;
    };
    let server = server.clone();
    let watcher = graceful.watcher();
    tokio::spawn(serve_stream(server, stream, watcher, permit));
}

async fn serve_stream<B: OperatorBackend>(
    server: OperatorServer<B>,
    stream: TcpStream,
    watcher: Watcher,
    permit: OwnedSemaphorePermit,
) {
    let Some(tls) = server.tls.clone() else {
        serve_connection(server, stream, watcher).await;
        drop(permit);
        return;
    };
    let handshake_timeout = server.context.settings.header_timeout;
    match timeout(
        handshake_timeout,
        TlsAcceptor::from(tls.config()).accept(stream),
    )
    .await
    {
        Ok(Ok(stream)) => serve_connection(server, stream, watcher).await,
        Ok(Err(error)) => warn!("operators' listener: TLS handshake failed: {error}"),
        Err(_) => warn!("operators' listener: TLS handshake timed out"),
    }
    drop(permit);
}

async fn serve_connection<B: OperatorBackend, S>(
    server: OperatorServer<B>,
    stream: S,
    watcher: Watcher,
) where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let settings = Arc::clone(&server.context.settings);
    let service = TowerToHyperService::new(warp::service(operator_filter(server.context)));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(settings.header_timeout)
        .max_buf_size((settings.header_limit * 2).max(HEADER_BUFFER_MIN))
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = watcher.watch(connection).await {
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
