//! One run of the daemon.

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
use crate::ownership::{OwnershipContext, OwnershipHandle, ShardKeeper};
use crate::peer::{OwnState, PeerBeat, PeerHub, PeerLink, PeerPool, PeerServer, PeerSettings};
use crate::request::{EntryContext, EntryHandle, EntryListener, EntryStatus};
use crate::schedule::{LogStreams, ShardContext};
use crate::settings::DaemonSettings;
use crate::state::{
    ConfigFeed, ConfigSnapshots, EndpointFeed, SnapshotSettings, VmFeed, VmFeedSettings,
};
use crate::telemetry::{MetricReporter, ReporterHandle};

/// The time that a planned stop gives the shards to be released.
const RELEASE_LIMIT: Duration = Duration::from_secs(10);

/// The streams as the schedulers of this daemon use them.
pub(super) type NodeStreams = LogStreams<HttpLog>;

/// The schedulers of this daemon.
pub(super) type NodeRunners = ShardRunners<NodeStreams, HttpWorkers>;

/// The request path of this daemon.
type NodeEntry = EntryHandle<PeerLink, KeyStreams<HttpLog>>;

/// Why a daemon could not start.
#[derive(Debug)]
pub enum StartError {
    /// An address can't be bound.
    Bind {
        /// Whose address it is.
        listener: &'static str,
        /// The address.
        address: SocketAddr,
        /// What the system reported.
        error: io::Error,
    },
    /// The daemon's id is no id of a VM.
    Identity(ParseIdError),
    /// The sink of metrics can't be opened.
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

/// The daemon.
#[derive(Debug)]
pub struct Daemon;

/// The running daemon; dropping it ends all its tasks at once, like a crash.
#[derive(Debug)]
pub struct DaemonHandle {
    identity: PeerIdentity,
    entry: NodeEntry,
    operators: OperatorHandle,
    ownership: OwnershipHandle,
    hub: PeerHub,
    caught_up: watch::Receiver<bool>,
    rest: NodeRest,
}

/// What runs for as long as the daemon does, and ends when it is dropped.
#[derive(Debug)]
struct NodeRest {
    _keeper: ShardKeeper,
    _snapshots: ConfigSnapshots,
    _server: PeerServer,
    beat: PeerBeat,
    _reporter: Option<ReporterHandle>,
    _feeds: NodeFeeds,
    _serving: TaskGuard,
}

/// What follows the log and the list of VMs.
#[derive(Debug)]
struct NodeFeeds {
    config: ConfigFeed,
    endpoints: EndpointFeed,
    vms: VmFeed,
}

impl Daemon {
    /// Starts a daemon. It schedules once it has caught up with the log; callers are served once it has
    /// read the records.
    ///
    /// # Errors
    ///
    /// Returns an error if one of its listeners can't be bound.
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
        let serving = TaskGuard::spawn(follow_catch_up(feeds.caught_up(), serving_sender));

        let peer_settings = PeerSettings::default();
        let own = OwnState {
            identity: identity.clone(),
            seeds: settings.peers.seeds.clone(),
            config: feeds.config.view(),
            vms: feeds.vms.view(),
            log: context.health(),
            serving: caught_up.clone(),
        };
        let hub = PeerHub::open(own, peer_settings.timing, clock);
        let pool = PeerPool::open(peer_settings.clone());
        let beat = PeerBeat::spawn(hub.clone(), pool.clone(), &peer_settings);

        let map = ShardMap::new(settings.cluster.shards, settings.cluster.regions.clone());
        let scheduling = feeds.shard_context(&settings, &context, clock, map.clone());
        let runners = ShardRunners::new(scheduling, caught_up.clone());
        let own = OwnershipContext {
            hub: hub.clone(),
            map: map.clone(),
            timing: OwnershipTiming::default(),
        };
        let ownership = OwnershipHandle::spawn(&context, own);
        let keeper = ShardKeeper::spawn(ownership.clone(), runners.clone());
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
            forwarder: PeerLink::open(hub.clone(), pool.clone(), ownership.view()),
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

        let rest = NodeRest {
            _keeper: keeper,
            _snapshots: snapshots,
            _server: server,
            beat,
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
            rest,
        })
    }
}

/// Returns the id of the VM that the daemon runs on, which is the daemon's own.
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

    /// Returns what the schedulers of shards work with.
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

    /// Returns what each feed tells of having caught up.
    fn caught_up(&self) -> [watch::Receiver<bool>; 3] {
        [
            self.config.caught_up(),
            self.endpoints.caught_up(),
            self.vms.caught_up(),
        ]
    }
}

impl DaemonHandle {
    /// Returns who the daemon is; its address is that of the peer interface.
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
        // The sender lives as long as this handle.
        let _ended = caught_up.wait_for(|caught_up| *caught_up).await;
    }

    /// Stops as planned: takes no new requests, finishes those in flight, gives its shards up.
    pub async fn drain(self) -> EntryStatus {
        self.hub.set_leaving();
        self.rest.beat.ask_all().await;
        let release = timeout(RELEASE_LIMIT, self.ownership.leave());
        let (status, released) = tokio::join!(self.entry.drain(), release);
        if released.is_err() {
            log::warn!("the log did not take the release of all shards; peers will claim them");
        }
        self.operators.stop().await;
        drop(self.rest);
        status
    }
}

/// Binds the peer interface, whose address the daemon has to know before it tells others.
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

/// Returns who the daemon is; a port that the system chose takes the place of port 0.
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

/// Tells that the daemon has caught up for as long as all of its feeds have.
async fn follow_catch_up(mut feeds: [watch::Receiver<bool>; 3], serving: watch::Sender<bool>) {
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

/// Starts the reports of metrics, if the settings name a server for them.
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
