//! The HTTP server that all stand-ins use.

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

use super::ResponseBody;
use super::traffic::{CountedStream, TrafficCounter, TrafficReport};

/// The maximum number of connections that wait to be accepted.
const BACKLOG_CONNECTIONS: u32 = 1024;

/// The interval between attempts to bind the port again after [`ServerMode::Refusing`].
const REBIND_INTERVAL: Duration = Duration::from_millis(5);

/// How a server handles connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerMode {
    /// Connections are served.
    Open,
    /// The port is closed and all connections are closed.
    Refusing,
    /// Connections are accepted, but requests get no response.
    Silent,
}

/// Signals that the connection is closed without a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionAborted;

impl Display for ConnectionAborted {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("the connection was aborted")
    }
}

impl std::error::Error for ConnectionAborted {}

/// Handles the requests to a server.
pub trait HttpHandler: Clone + Send + Sync + 'static {
    /// Returns the response to a request.
    ///
    /// # Errors
    ///
    /// Returns [`ConnectionAborted`] to close the connection without a response.
    fn handle(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Result<Response<ResponseBody>, ConnectionAborted>> + Send;

    /// Returns the route name under which the traffic report counts the request.
    fn route(&self, request: &Request<Incoming>) -> &'static str;
}

/// A running HTTP server; dropping it closes all its connections.
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
        let (mode, mode_receiver) = watch::channel(ServerMode::Open);
        let traffic = Arc::new(TrafficCounter::default());
        let acceptor = ConnectionAcceptor {
            address,
            mode: mode_receiver,
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

    /// Sets how the server handles connections.
    pub fn set_mode(&self, mode: ServerMode) {
        self.mode.send_replace(mode);
    }

    /// Returns the traffic of the server so far.
    pub fn traffic(&self) -> TrafficReport {
        self.traffic.report()
    }

    /// Returns how the server handles connections.
    pub fn mode(&self) -> ServerMode {
        *self.mode.borrow()
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Accepts the connections of a server.
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
            listener = self.rebind_after_refusal().await;
        }
    }

    /// Accepts connections until the mode changes, then closes the listener and all connections.
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

    /// Serves a connection, or closes it if the limit is reached.
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
            let service = service_fn(|request| respond(&handler, &traffic, mode.clone(), request));
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::trace!("connection failed: {error}");
            }
            drop(permit);
        });
    }

    async fn rebind_after_refusal(&mut self) -> Option<TcpListener> {
        let open = self
            .mode
            .wait_for(|mode| *mode != ServerMode::Refusing)
            .await;
        drop(open.ok()?);
        loop {
            if let Ok(listener) = open_listener(self.address) {
                return Some(listener);
            }
            sleep(REBIND_INTERVAL).await;
        }
    }
}

/// Handles a request, and waits while the server is silent before the request is handled and
/// before the response is sent.
async fn respond<H: HttpHandler>(
    handler: &H,
    traffic: &TrafficCounter,
    mut mode: watch::Receiver<ServerMode>,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, ConnectionAborted> {
    let open = mode.wait_for(|mode| *mode == ServerMode::Open).await;
    open.map_err(|_| ConnectionAborted).map(drop)?;
    let route = handler.route(&request);
    let reply = handler.handle(request).await?;
    traffic.add_call(route, reply.body().size_hint().exact().unwrap_or(0));
    let open = mode.wait_for(|mode| *mode == ServerMode::Open).await;
    open.map_err(|_| ConnectionAborted).map(drop)?;
    Ok(reply)
}

/// Opens a listener at an address that may have been closed just before.
pub(crate) fn open_listener(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG_CONNECTIONS)
}
