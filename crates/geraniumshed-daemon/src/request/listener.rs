//! The callers' listener.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::FutureExt as _;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use warp::Filter as _;

use super::forward::PeerForwarder;
use super::intake::{IncomingRequest, answer_request};
use super::key_log::KeyLog;
use super::keyed::KeyedEntry;
use super::passing::PeerEntry;
use super::shared::EntryShared;
use super::status::{EntryStatus, add_one, take_one};
use super::{EntryContext, EntrySettings};

/// The interval at which waiting requests are looked at even if nothing happens.
const TICK: Duration = Duration::from_millis(5);

/// The pause after a failure to accept, such as too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The factor by which the library's own limit of headers is above ours, which is answered better.
const HEADER_SLACK: usize = 4;

/// The callers' listener.
#[derive(Debug)]
pub struct EntryListener;

/// The running listener.
#[derive(Debug)]
pub struct EntryHandle<P, K> {
    address: SocketAddr,
    shared: Arc<EntryShared>,
    keyed: Arc<KeyedEntry<P, K>>,
    stop: watch::Sender<bool>,
    served: tokio::task::JoinHandle<()>,
}

/// A reader of the request path's counters.
#[derive(Debug, Clone)]
pub struct StatusReader(Arc<EntryShared>);

impl StatusReader {
    /// Returns a snapshot of the counters.
    pub fn status(&self) -> EntryStatus {
        let draining = self.0.draining.load(Ordering::Relaxed);
        EntryStatus::read(&self.0.counters, draining)
    }
}

impl EntryListener {
    /// Binds the listener and starts serving callers.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the address can't be bound.
    pub async fn bind<P, K>(
        context: EntryContext<P, K>,
        settings: EntrySettings,
    ) -> io::Result<EntryHandle<P, K>>
    where
        P: PeerForwarder,
        K: KeyLog,
    {
        // The client library needs a provider even for plain HTTP; a second one changes nothing.
        drop(rustls::crypto::ring::default_provider().install_default());
        let listener = TcpListener::bind(settings.listen).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(EntryShared::new(&context, settings));
        shared.refresh();
        let keyed = Arc::new(KeyedEntry::open(
            Arc::clone(&shared),
            context.forwarder.clone(),
            context.key_log.clone(),
            context.seed,
        ));
        tokio::spawn(follow_views(context, Arc::clone(&shared)));
        let (stop, stopped) = watch::channel(false);
        let served = tokio::spawn(accept_callers(listener, Arc::clone(&keyed), stopped));
        Ok(EntryHandle {
            address,
            shared,
            keyed,
            stop,
            served,
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

    /// Returns a reader of the counters that outlives the handle.
    pub fn status_reader(&self) -> StatusReader {
        StatusReader(Arc::clone(&self.shared))
    }

    /// Returns what takes the requests that peers pass on.
    pub fn forward_service(&self) -> PeerEntry<P, K> {
        PeerEntry::new(Arc::clone(&self.keyed))
    }

    /// Stops gracefully: fails the health check, waits for the balancer, finishes what runs.
    pub async fn drain(self) -> EntryStatus {
        let settings = &self.shared.settings;
        self.shared.draining.store(true, Ordering::Relaxed);
        tokio::time::sleep(settings.drain_notice).await;
        let _ = self.stop.send(true);
        drop(tokio::time::timeout(settings.drain_limit, self.served).await);
        EntryStatus::read(&self.shared.counters, true)
    }
}

/// Accepts connections until the stop, then lets the open ones finish what they have.
async fn accept_callers<P: PeerForwarder, K: KeyLog>(
    listener: TcpListener,
    keyed: Arc<KeyedEntry<P, K>>,
    mut stopped: watch::Receiver<bool>,
) {
    let graceful = GracefulShutdown::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => serve_connection(stream, &keyed, &graceful),
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            },
            Ok(()) = stopped.changed() => break,
        }
    }
    // Connections that the system accepted before the stop are served like all others.
    while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
        serve_connection(stream, &keyed, &graceful);
    }
    drop(listener);
    graceful.shutdown().await;
    while keyed.shared.counters.active.load(Ordering::Relaxed) > 0 {
        tokio::time::sleep(TICK).await;
    }
}

/// Serves one connection in a task of its own, if the limit allows one more.
fn serve_connection<P: PeerForwarder, K: KeyLog>(
    stream: TcpStream,
    keyed: &Arc<KeyedEntry<P, K>>,
    graceful: &GracefulShutdown,
) {
    let shared = &keyed.shared;
    let settings = &shared.settings;
    if graceful.count() >= settings.connection_limit {
        return;
    }
    drop(stream.set_nodelay(true));
    let service = TowerToHyperService::new(warp::service(caller_routes(Arc::clone(keyed))));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(settings.header_timeout)
        .max_buf_size((settings.header_limit * HEADER_SLACK).max(64 * 1024))
        .serve_connection(TokioIo::new(stream), service);
    let watched = graceful.watch(connection);
    let shared = Arc::clone(shared);
    add_one(&shared.counters.connections);
    tokio::spawn(async move {
        drop(watched.await);
        take_one(&shared.counters.connections);
    });
}

/// Returns the one route that takes all requests of callers.
fn caller_routes<P: PeerForwarder, K: KeyLog>(
    keyed: Arc<KeyedEntry<P, K>>,
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

/// Takes over changes of the views, and looks after waiting requests.
async fn follow_views<P, K>(mut context: EntryContext<P, K>, shared: Arc<EntryShared>) {
    let mut tick = tokio::time::interval(TICK);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            Ok(()) = context.config.changed() => shared.refresh(),
            Ok(()) = context.endpoints.changed() => shared.refresh(),
            Ok(()) = context.vms.changed() => shared.refresh(),
            _ = tick.tick() => {
                for gate in shared.gates() {
                    gate.tick(shared.now());
                }
            }
        }
    }
}
