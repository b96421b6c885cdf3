//! The HTTP listener for callers: accepts connections, and stops gracefully.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::FutureExt as _;
use geraniumshed_gate::{ConnectionAccount, serve_connection};
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use warp::Filter as _;

use super::forward::PeerForwarder;
use super::forwarding::ForwardServer;
use super::intake::{IncomingRequest, answer_request};
use super::key_log::KeyLog;
use super::keyed::KeyedHandler;
use super::shared::EntryShared;
use super::status::{EntryStatus, add_one, subtract_one};
use super::{EntryContext, EntrySettings};

/// The interval at which waiting requests are re-examined even without an event.
const TICK_INTERVAL: Duration = Duration::from_millis(5);

/// The delay after a failed accept, for example because of too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Binds the callers' listener.
#[derive(Debug)]
pub struct EntryListener;

/// A running listener.
#[derive(Debug)]
pub struct EntryHandle<P, K> {
    address: SocketAddr,
    shared: Arc<EntryShared>,
    keyed: Arc<KeyedHandler<P, K>>,
    stop: watch::Sender<bool>,
    accept_task: tokio::task::JoinHandle<()>,
}

/// Reads the request path's counters.
#[derive(Debug, Clone)]
pub struct StatusReader(Arc<EntryShared>);

impl StatusReader {
    /// Returns a snapshot of the counters.
    pub fn status(&self) -> EntryStatus {
        let draining = self.0.draining.load(Ordering::Relaxed);
        EntryStatus::read(&self.0.counters, &self.0.gate, draining)
    }
}

impl EntryListener {
    /// Binds the listener and starts to serve callers.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the address can't be bound.
    pub async fn bind<P, K>(
        context: EntryContext<P, K>,
        settings: EntrySettings,
    ) -> io::Result<EntryHandle<P, K>>
    where
        P: PeerForwarder,
        K: KeyLog,
    {
        // The HTTP client needs a default crypto provider even for plain HTTP. Installing a second
        // one fails without any effect.
        drop(rustls::crypto::ring::default_provider().install_default());
        let listener = TcpListener::bind(settings.listen).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(EntryShared::new(&context, settings));
        shared.refresh();
        let keyed = Arc::new(KeyedHandler::new(
            Arc::clone(&shared),
            context.forwarder.clone(),
            context.key_log.clone(),
            context.seed,
        ));
        tokio::spawn(follow_views(context, Arc::clone(&shared)));
        let (stop, stopped) = watch::channel(false);
        let accept_task = tokio::spawn(accept_callers(listener, Arc::clone(&keyed), stopped));
        Ok(EntryHandle {
            address,
            shared,
            keyed,
            stop,
            accept_task,
        })
    }
}

impl<P: PeerForwarder, K: KeyLog> EntryHandle<P, K> {
    /// Returns the address at which callers are served.
    pub fn local_addr(&self) -> SocketAddr {
        self.address
    }

    /// Returns a snapshot of the counters.
    pub fn status(&self) -> EntryStatus {
        self.status_reader().status()
    }

    /// Returns a reader of the counters that stays valid after the handle is dropped.
    pub fn status_reader(&self) -> StatusReader {
        StatusReader(Arc::clone(&self.shared))
    }

    /// Returns the service for requests that peers forward.
    pub fn forward_service(&self) -> ForwardServer<P, K> {
        ForwardServer::new(Arc::clone(&self.keyed))
    }

    /// Stops gracefully: fails the health check, waits until the load balancer has noticed, and
    /// finishes the requests in flight.
    pub async fn drain(self) -> EntryStatus {
        let settings = &self.shared.settings;
        self.shared.draining.store(true, Ordering::Relaxed);
        tokio::time::sleep(settings.drain_notice).await;
        let _ = self.stop.send(true);
        drop(tokio::time::timeout(settings.drain_limit, self.accept_task).await);
        EntryStatus::read(&self.shared.counters, &self.shared.gate, true)
    }
}

/// Accepts connections until the stop, then lets open connections finish their requests.
async fn accept_callers<P: PeerForwarder, K: KeyLog>(
    listener: TcpListener,
    keyed: Arc<KeyedHandler<P, K>>,
    mut stopped: watch::Receiver<bool>,
) {
    let graceful = GracefulShutdown::new();
    let gate = &keyed.shared.gate;
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    if let Some(account) = gate.admit().await {
                        spawn_connection(account, stream, &keyed, &graceful);
                    }
                }
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            },
            Ok(()) = stopped.changed() => break,
        }
    }
    // Connections that are already in the listen queue are still served.
    while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
        if let Some(account) = gate.admit().await {
            spawn_connection(account, stream, &keyed, &graceful);
        }
    }
    drop(listener);
    graceful.shutdown().await;
    while keyed.shared.counters.active.load(Ordering::Relaxed) > 0 {
        tokio::time::sleep(TICK_INTERVAL).await;
    }
}

/// Serves a connection in a background task.
fn spawn_connection<P: PeerForwarder, K: KeyLog>(
    account: ConnectionAccount,
    stream: TcpStream,
    keyed: &Arc<KeyedHandler<P, K>>,
    graceful: &GracefulShutdown,
) {
    drop(stream.set_nodelay(true));
    let service = TowerToHyperService::new(warp::service(caller_routes(Arc::clone(keyed))));
    let watcher = graceful.watcher();
    let shared = Arc::clone(&keyed.shared);
    add_one(&shared.counters.connections);
    tokio::spawn(async move {
        drop(serve_connection(account, stream, service, watcher).await);
        subtract_one(&shared.counters.connections);
    });
}

/// Returns the single route that handles all requests of callers.
fn caller_routes<P: PeerForwarder, K: KeyLog>(
    keyed: Arc<KeyedHandler<P, K>>,
) -> impl warp::Filter<Extract = (warp::reply::Response,), Error = warp::Rejection> + Clone {
    let query = warp::query::raw()
        .map(Some)
        .or(warp::any().map(|| None))
        .unify();
    warp::any()
        .map(move || Arc::clone(&keyed))
        .and(warp::method())
        .and(warp::path::full())
        .and(query)
        .and(warp::header::headers_cloned())
        .and(warp::body::stream())
        .then(
            |keyed, method, path: warp::path::FullPath, query, headers, stream| {
                let incoming = IncomingRequest {
                    method,
                    path: path.as_str().into(),
                    query,
                    headers,
                };
                answer_request(keyed, incoming, stream)
            },
        )
}

/// Applies changes of the views, and re-examines waiting requests at each tick.
async fn follow_views<P, K>(mut context: EntryContext<P, K>, shared: Arc<EntryShared>) {
    let mut tick = tokio::time::interval(TICK_INTERVAL);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            Ok(()) = context.config.changed() => shared.refresh(),
            Ok(()) = context.endpoints.changed() => shared.refresh(),
            Ok(()) = context.vms.changed() => shared.refresh(),
            _ = tick.tick() => {
                for dispatcher in shared.dispatchers() {
                    dispatcher.tick(shared.now());
                }
            }
        }
    }
}
