//! Starts and stops the daemon.

use std::fmt::{self, Display, Formatter};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use geraniumshed_core::member::OwnershipTiming;
use geraniumshed_core::schedule::ShardMap;
use geraniumshed_model::id::ParseIdError;
use geraniumshed_model::prelude::{DaemonIncarnation, PeerIdentity, VmId};
use geraniumshed_platform::{HttpLog, HttpVmList, HttpWorkers};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::timeout;

use super::backend::{LevelControl, NodeBackend, NodeParts};
use super::shard_runners::ShardRunners;
use crate::clock::ProcessClock;
use crate::log::{KeyStreams, LogContext, TaskGuard};
use crate::operator::{OperatorHandle, OperatorListener};
use crate::ownership::{OwnershipContext, OwnershipHandle, ShardSupervisor};
use crate::peer::{
    LocalState, PeerHeartbeat, PeerHub, PeerPool, PeerServer, PeerSettings, PooledForwarder,
};
use crate::request::{EntryContext, EntryHandle, EntryListener, EntryStatus};
use crate::schedule::{LogStreams, ShardContext};
use crate::settings::DaemonSettings;
use crate::state::{
    ConfigFeed, ConfigSnapshots, EndpointFeed, SnapshotSettings, VmFeed, VmFeedSettings,
};
use crate::telemetry::{MetricReporter, ReporterHandle};

/// The maximum time that a graceful stop waits for the release of the shards.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(10);

/// The log streams of this daemon's schedulers.
pub(super) type NodeStreams = LogStreams<HttpLog>;

/// The schedulers of this daemon.
pub(super) type NodeRunners = ShardRunners<NodeStreams, HttpWorkers>;

/// The request path of this daemon.
type NodeEntry = EntryHandle<PooledForwarder, KeyStreams<HttpLog>>;

/// An error that prevents the daemon from starting.
#[derive(Debug)]
pub enum StartError {
    /// An address can't be bound.
    Bind {
        /// Whom the listener serves.
        listener: &'static str,
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        error: io::Error,
    },
    /// The daemon's id is not a valid VM id.
    Identity(ParseIdError),
    /// The socket for metrics can't be opened.
    Metrics(io::Error),
}

impl Display for StartError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bind {
                listener,
                address,
                error,
            } => write!(
                f,
                "the listener for {listener} can't bind {address}: {error} (hint: check that no \
                 other process uses the address and that it is one of this VM)"
            ),
            Self::Identity(error) => write!(f, "the daemon's id is not valid: {error}"),
            Self::Metrics(error) => write!(f, "metrics can't be sent: {error}"),
        }
    }
}

impl std::error::Error for StartError {}

/// Starts the daemon.
#[derive(Debug)]
pub struct Daemon;

/// The running daemon; dropping it aborts all background tasks, like a crash.
#[derive(Debug)]
pub struct DaemonHandle {
    identity: PeerIdentity,
    entry: NodeEntry,
    operators: OperatorHandle,
    ownership: OwnershipHandle,
    hub: PeerHub,
    caught_up: watch::Receiver<bool>,
    background: BackgroundTasks,
}

/// The background tasks of the daemon, which are aborted on drop.
#[derive(Debug)]
struct BackgroundTasks {
    _supervisor: ShardSupervisor,
    _snapshots: ConfigSnapshots,
    _server: PeerServer,
    heartbeat: PeerHeartbeat,
    _reporter: Option<ReporterHandle>,
    _feeds: NodeFeeds,
    _serving: TaskGuard,
}

/// The feeds that follow the log and the list of VMs.
#[derive(Debug)]
struct NodeFeeds {
    config: ConfigFeed,
    endpoints: EndpointFeed,
    vms: VmFeed,
}

impl Daemon {
    /// Starts a daemon. It schedules once it has caught up with the log and the list of VMs, and
    /// serves callers once it has read the records.
    ///
    /// # Errors
    ///
    /// Returns an error if a listener can't be bound, the daemon's id is not a VM id, or the socket
    /// for metrics can't be opened.
    pub async fn spawn<C: LevelControl>(
        settings: DaemonSettings,
        level: C,
    ) -> Result<DaemonHandle, StartError> {
        let clock = ProcessClock::start();
        let incarnation = DaemonIncarnation(rand::random());
        let timeouts = settings.platform.timeouts();
        let log = HttpLog::open(settings.platform.log, timeouts);
        let context = LogContext::open(log.clone(), incarnation, settings.log.clone(), clock);
        let listener = bind_peers(settings.peers.listen).await?;
        let identity = peer_identity(&settings, incarnation, &listener)?;

        let feeds = NodeFeeds::spawn(&settings, &context, clock);
        let (serving_sender, caught_up) = watch::channel(false);
        let serving = TaskGuard::spawn(track_catch_up(feeds.caught_up(), serving_sender));

        let peer_settings = PeerSettings::default();
        let own = LocalState {
            identity: identity.clone(),
            seeds: settings.peers.seeds.clone(),
            config: feeds.config.view(),
            vms: feeds.vms.view(),
            log: context.health(),
            serving: caught_up.clone(),
        };
        let hub = PeerHub::open(own, peer_settings.timing, clock);
        let pool = PeerPool::open(peer_settings.clone());
        let heartbeat = PeerHeartbeat::spawn(hub.clone(), pool.clone(), &peer_settings);

        let map = ShardMap::new(settings.cluster.shards, settings.cluster.regions.clone());
        let scheduling = feeds.shard_context(&settings, &context, clock, map.clone());
        let runners = ShardRunners::new(scheduling, caught_up.clone());
        let own = OwnershipContext {
            hub: hub.clone(),
            map: map.clone(),
            timing: OwnershipTiming::default(),
        };
        let ownership = OwnershipHandle::spawn(&context, own);
        let supervisor = ShardSupervisor::spawn(ownership.clone(), runners.clone());
        let snapshots = SnapshotSettings::default();
        let snapshots = ConfigSnapshots::spawn(&feeds.config, ownership.view(), snapshots);

        let entry_context = EntryContext {
            clock,
            seed: incarnation.0,
            own: own_vm(&settings)?,
            zone: settings.identity.zone.clone(),
            incarnation,
            config: feeds.config.view(),
            config_caught_up: feeds.config.caught_up(),
            endpoints: feeds.endpoints.view(),
            vms: feeds.vms.view(),
            forwarder: PooledForwarder::open(hub.clone(), pool.clone(), ownership.view()),
            key_log: KeyStreams::open(&context),
        };
        let entry = EntryListener::bind(entry_context, settings.entry.clone())
            .await
            .map_err(|error| bind_error("callers", settings.entry.listen, error))?;
        let forwards = entry.forward_service();
        let server = PeerServer::bind(listener, hub.clone(), forwards, peer_settings)
            .map_err(|error| bind_error("peers", settings.peers.listen, error))?;

        let parts = NodeParts {
            config: feeds.config.view(),
            publisher: feeds.config.publisher(),
            endpoints: feeds.endpoints.view(),
            hub: hub.clone(),
            pool,
            owners: ownership.view(),
            runners,
            map,
            context,
            log,
            entry: entry.status_reader(),
            caught_up: caught_up.clone(),
            clock,
        };
        let backend = NodeBackend::new(parts, level);
        let operators = OperatorListener::bind(backend.clone(), settings.operators.clone())
            .await
            .map_err(|error| bind_error("operators", settings.operators.listen, error))?;
        let reporter = spawn_reporter(&settings, backend)?;

        let background = BackgroundTasks {
            _supervisor: supervisor,
            _snapshots: snapshots,
            _server: server,
            heartbeat,
            _reporter: reporter,
            _feeds: feeds,
            _serving: serving,
        };
        Ok(DaemonHandle {
            identity,
            entry,
            operators,
            ownership,
            hub,
            caught_up,
            background,
        })
    }
}

/// Returns the id of the VM that the daemon runs on, which equals the daemon's id.
fn own_vm(settings: &DaemonSettings) -> Result<VmId, StartError> {
    let id = settings.identity.id.as_str();
    id.parse().map_err(StartError::Identity)
}

impl NodeFeeds {
    /// Spawns all feeds.
    fn spawn(
        settings: &DaemonSettings,
        context: &Arc<LogContext<HttpLog>>,
        clock: ProcessClock,
    ) -> Self {
        let vm_list = HttpVmList::open(settings.platform.vm_list, settings.platform.timeouts());
        let seed = context.incarnation().0;
        Self {
            config: ConfigFeed::spawn(context, clock),
            endpoints: EndpointFeed::spawn(context),
            vms: VmFeed::spawn(vm_list, VmFeedSettings::default(), clock, seed),
        }
    }

    /// Returns the dependencies of the shards' schedulers.
    fn shard_context(
        &self,
        settings: &DaemonSettings,
        context: &Arc<LogContext<HttpLog>>,
        clock: ProcessClock,
        map: ShardMap,
    ) -> ShardContext<NodeStreams, HttpWorkers> {
        ShardContext {
            streams: LogStreams::open(context, self.endpoints.writer(), self.config.publisher()),
            workers: HttpWorkers::open(settings.platform.timeouts()),
            clock,
            map,
            settings: settings.scheduler.clone(),
            config: self.config.view(),
            vms: self.vms.view(),
        }
    }

    /// Returns the views of whether each feed has caught up.
    fn caught_up(&self) -> [watch::Receiver<bool>; 3] {
        [
            self.config.caught_up(),
            self.endpoints.caught_up(),
            self.vms.caught_up(),
        ]
    }
}

impl DaemonHandle {
    /// Returns the identity of the daemon; its address is that of the peer interface.
    pub fn identity(&self) -> &PeerIdentity {
        &self.identity
    }

    /// Returns the address at which callers are served.
    pub fn entry_address(&self) -> SocketAddr {
        self.entry.local_addr()
    }

    /// Returns the address at which operators are served.
    pub fn operator_address(&self) -> SocketAddr {
        self.operators.local_addr()
    }

    /// Waits until the daemon has caught up with the log and the list of VMs.
    pub async fn wait_serving(&self) {
        let mut caught_up = self.caught_up.clone();
        // The sender exists as long as this handle.
        let _ended = caught_up.wait_for(|caught_up| *caught_up).await;
    }

    /// Stops gracefully: refuses new requests, finishes those in flight and releases the shards.
    pub async fn drain(self) -> EntryStatus {
        self.hub.set_leaving();
        self.background.heartbeat.send_to_all().await;
        let release = timeout(RELEASE_TIMEOUT, self.ownership.leave());
        let (status, released) = tokio::join!(self.entry.drain(), release);
        if released.is_err() {
            log::warn!(
                "the log did not confirm the release of all shards in time; peers will claim them"
            );
        }
        self.operators.stop().await;
        drop(self.background);
        status
    }
}

/// Binds the peer interface, whose address is part of the daemon's identity.
async fn bind_peers(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .map_err(|error| bind_error("peers", address, error))
}

fn bind_error(listener: &'static str, address: SocketAddr, error: io::Error) -> StartError {
    StartError::Bind {
        listener,
        address,
        error,
    }
}

/// Returns the identity of the daemon; port 0 is replaced by the port that the system chose.
fn peer_identity(
    settings: &DaemonSettings,
    incarnation: DaemonIncarnation,
    listener: &TcpListener,
) -> Result<PeerIdentity, StartError> {
    let bound = listener
        .local_addr()
        .map_err(|error| bind_error("peers", settings.peers.listen, error))?;
    let mut address = settings.peers.advertise;
    if address.port() == 0 {
        address.set_port(bound.port());
    }
    Ok(PeerIdentity {
        daemon: settings.identity.id.clone(),
        incarnation,
        region: settings.identity.region.clone(),
        zone: settings.identity.zone.clone(),
        address,
    })
}

/// Keeps `serving` true while all feeds have caught up.
async fn track_catch_up(mut feeds: [watch::Receiver<bool>; 3], serving: watch::Sender<bool>) {
    loop {
        let caught_up = feeds.iter_mut().all(|feed| *feed.borrow_and_update());
        serving.send_if_modified(|serving| std::mem::replace(serving, caught_up) != caught_up);
        let [first, second, third] = &mut feeds;
        let changed = tokio::select! {
            changed = first.changed() => changed,
            changed = second.changed() => changed,
            changed = third.changed() => changed,
        };
        if changed.is_err() {
            return;
        }
    }
}

/// Spawns the reporter of metrics if the settings name a server.
fn spawn_reporter<C: LevelControl>(
    settings: &DaemonSettings,
    backend: NodeBackend<C>,
) -> Result<Option<ReporterHandle>, StartError> {
    let Some(server) = settings.telemetry.statsd else {
        return Ok(None);
    };
    let reporter = MetricReporter::open(server).map_err(StartError::Metrics)?;
    let interval = settings.telemetry.metric_interval;
    let handle = reporter.spawn(interval, move || {
        let backend = backend.clone();
        async move { backend.read_metrics().await }
    });
    Ok(Some(handle))
}
