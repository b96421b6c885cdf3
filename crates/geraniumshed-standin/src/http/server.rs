//! The server that all stand-ins share.

use std::fmt::{self, Display, Formatter};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::sleep;

use super::ReplyBody;
use super::traffic::{CountedStream, TrafficCounter, TrafficReport};

/// The connections that wait in the kernel for the server.
const BACKLOG_CONNECTIONS: u32 = 1024;

/// The pause between tries to take the port back after connections were refused.
const REBIND_PAUSE: Duration = Duration::from_millis(5);

/// How a server treats connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerMode {
    /// Connections are served.
    Open,
    /// The port is closed and all connections are dropped.
    Refusing,
    /// Connections are accepted and no request is answered.
    Silent,
}

/// The connection is dropped without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BrokenOff;

impl Display for BrokenOff {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("the connection is broken off")
    }
}

impl std::error::Error for BrokenOff {}

/// What a server does with a request.
pub trait HttpHandler: Clone + Send + Sync + 'static {
    /// Answers a request.
    ///
    /// # Errors
    ///
    /// Returns [`BrokenOff`] to drop the connection without an answer.
    fn handle(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Result<Response<ReplyBody>, BrokenOff>> + Send;

    /// Returns the name under which calls like this one are counted.
    fn route(&self, request: &Request<Incoming>) -> &'static str;
}

/// A running HTTP server; dropping it drops all its connections.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    mode: watch::Sender<ServerMode>,
    traffic: Arc<TrafficCounter>,
    task: JoinHandle<()>,
}

impl HttpServer {
    /// Binds a server to a port of the loopback address; port 0 takes any free one.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket if the port can't be taken.
    pub fn bind<H: HttpHandler>(port: u16, connections: usize, handler: H) -> io::Result<Self> {
        let listener = open_listener(SocketAddr::from((Ipv4Addr::LOCALHOST, port)))?;
        let address = listener.local_addr()?;
        let (mode, mode_view) = watch::channel(ServerMode::Open);
        let traffic = Arc::new(TrafficCounter::default());
        let acceptor = ConnectionAcceptor {
            address,
            mode: mode_view,
            permits: Arc::new(Semaphore::new(connections)),
            traffic: Arc::clone(&traffic),
            handler,
        };
        let task = tokio::spawn(acceptor.run(listener));
        Ok(Self {
            address,
            mode,
            traffic,
            task,
        })
    }

    /// Returns the address at which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes how the server treats connections.
    pub fn set_mode(&self, mode: ServerMode) {
        self.mode.send_replace(mode);
    }

    /// Returns what went through the server so far.
    pub fn traffic(&self) -> TrafficReport {
        self.traffic.report()
    }

    /// Returns how the server treats connections.
    pub fn mode(&self) -> ServerMode {
        *self.mode.borrow()
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Accepts the connections of one server.
struct ConnectionAcceptor<H> {
    address: SocketAddr,
    mode: watch::Receiver<ServerMode>,
    permits: Arc<Semaphore>,
    traffic: Arc<TrafficCounter>,
    handler: H,
}

impl<H: HttpHandler> ConnectionAcceptor<H> {
    async fn run(mut self, first: TcpListener) {
        let mut listener = Some(first);
        loop {
            let Some(open) = listener.take() else {
                return;
            };
            self.accept_until_refusing(open).await;
            listener = self.rebind_when_open().await;
        }
    }

    /// Accepts connections; the listener and all connections end with it.
    async fn accept_until_refusing(&mut self, listener: TcpListener) {
        let mut connections = JoinSet::new();
        let mut mode = self.mode.clone();
        loop {
            tokio::select! {
                changed = mode.wait_for(|mode| *mode == ServerMode::Refusing) => {
                    drop(changed);
                    return;
                }
                accepted = listener.accept() => {
                    if let Ok((stream, _)) = accepted {
                        self.serve(&mut connections, stream);
                    }
                }
                Some(_) = connections.join_next() => {}
            }
        }
    }

    /// Serves a connection, or drops it if there are too many.
    fn serve(&self, connections: &mut JoinSet<()>, stream: TcpStream) {
        let Ok(permit) = Arc::clone(&self.permits).try_acquire_owned() else {
            return;
        };
        drop(stream.set_nodelay(true));
        let handler = self.handler.clone();
        let mode = self.mode.clone();
        let traffic = Arc::clone(&self.traffic);
        let stream = CountedStream::new(stream, Arc::clone(&traffic));
        connections.spawn(async move {
            let service = service_fn(|request| answer(&handler, &traffic, mode.clone(), request));
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::trace!("a connection ended early: {error}");
            }
            drop(permit);
        });
    }

    async fn rebind_when_open(&mut self) -> Option<TcpListener> {
        let open = self
            .mode
            .wait_for(|mode| *mode != ServerMode::Refusing)
            .await;
        drop(open.ok()?);
        loop {
            if let Ok(listener) = open_listener(self.address) {
                return Some(listener);
            }
            sleep(REBIND_PAUSE).await;
        }
    }
}

/// Answers a request once the server is not silent.
async fn answer<H: HttpHandler>(
    handler: &H,
    traffic: &TrafficCounter,
    mut mode: watch::Receiver<ServerMode>,
    request: Request<Incoming>,
) -> Result<Response<ReplyBody>, BrokenOff> {
    let open = mode.wait_for(|mode| *mode == ServerMode::Open).await;
    open.map_err(|_| BrokenOff).map(drop)?;
    let route = handler.route(&request);
    let reply = handler.handle(request).await?;
    traffic.add_call(route, reply.body().size_hint().exact().unwrap_or(0));
    let open = mode.wait_for(|mode| *mode == ServerMode::Open).await;
    open.map_err(|_| BrokenOff).map(drop)?;
    Ok(reply)
}

/// Opens a listener at an address whose last listener may have closed just now.
pub(crate) fn open_listener(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG_CONNECTIONS)
}
