//! A node: the part of a daemon that handles batch jobs.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use geraniumshed_core::assignment::PlannerSettings;
use geraniumshed_core::membership::{LeaderRecord, MemberIdentity};
use geraniumshed_model::prelude::{ProcessorShare, TimePoint};
use tokio::sync::Notify;

use crate::cancel::CancelPursuits;
use crate::clock::NodeClock;
use crate::config::follow_config;
use crate::handler::PeerHandler;
use crate::intake::RequestWriter;
use crate::leader::{LeaderContext, LeaderHandle};
use crate::member::MemberTask;
use crate::pace::StorePace;
use crate::peer::{PeerPool, PeerServer};
use crate::service::JobService;
use crate::site::{ConfigVersion, SiteConfig, SiteFeed, WorkerCaller};
use crate::store::StoreClient;
use crate::telemetry::NodeMetrics;

/// The time after its last heartbeat for which a member counts as alive.
const MEMBER_MEMORY: Duration = Duration::from_millis(1200);

/// The settings of a node.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeSettings {
    /// This process.
    pub identity: MemberIdentity,
    /// The processors of the entry VM, by which nodes of a new cluster and successors are ranked.
    pub processors: ProcessorShare,
    /// The place among nodes of a new cluster; the lowest claims to lead first.
    pub first_rank: u32,
    /// The planner's settings.
    pub planner: PlannerSettings,
}

/// A member that sends heartbeats to this process.
#[derive(Debug, Clone)]
pub(crate) struct HeardMember {
    pub(crate) member: MemberIdentity,
    pub(crate) heard_at: TimePoint,
    pub(crate) first_heard_at: TimePoint,
    pub(crate) is_stopping: bool,
    pub(crate) processors: ProcessorShare,
}

/// What this process knows of the others.
#[derive(Debug, Default)]
pub(crate) struct MemberView {
    /// The newest leader.
    pub(crate) leader: Option<LeaderRecord>,
    /// Whether this process leads, also while it still takes over.
    pub(crate) is_leading: bool,
    /// The planner, while this process leads.
    pub(crate) handle: Option<LeaderHandle>,
    /// The members that send heartbeats to this process.
    pub(crate) heard: BTreeMap<SocketAddr, HeardMember>,
    /// The members that the leader hears of.
    pub(crate) peers: Vec<MemberIdentity>,
}

impl MemberView {
    /// Takes note that this process leads from its claim on.
    pub(crate) fn begin_leading(&mut self, record: LeaderRecord) {
        self.leader = Some(record);
        self.is_leading = true;
    }

    /// Takes note that this process doesn't lead any more.
    pub(crate) fn end_leading(&mut self) {
        self.handle = None;
        self.is_leading = false;
    }

    /// Returns the live members that may lead next, the best first.
    ///
    /// Members on large VMs go first, since planning takes more processor time than all else. Of
    /// equal ones the member that was heard of last goes first: in a rolling restart it has its
    /// restart behind it.
    pub(crate) fn successors(&self, now: TimePoint) -> Vec<&HeardMember> {
        let is_live =
            |one: &&HeardMember| !one.is_stopping && now.since(one.heard_at) < MEMBER_MEMORY;
        let mut members: Vec<&HeardMember> = self.heard.values().filter(is_live).collect();
        members.sort_by_key(|one| Reverse((one.processors, one.first_heard_at)));
        members
    }
}

/// What the tasks of a node share.
#[derive(Debug)]
pub(crate) struct NodeShared<S, F: SiteFeed, W> {
    pub(crate) settings: NodeSettings,
    pub(crate) context: LeaderContext<S, F, W>,
    pub(crate) pool: PeerPool,
    pub(crate) intake: RequestWriter,
    pub(crate) pursuits: CancelPursuits,
    view: Mutex<MemberView>,
    pub(crate) config: Mutex<Option<Arc<SiteConfig<F::Routes>>>>,
    pub(crate) is_stopping: AtomicBool,
    /// Notified when this process is asked to lead.
    pub(crate) asked_to_lead: Notify,
}

impl<S: StoreClient, F: SiteFeed, W: WorkerCaller> NodeShared<S, F, W> {
    pub(crate) fn metrics(&self) -> &NodeMetrics {
        &self.context.metrics
    }

    pub(crate) fn clock(&self) -> NodeClock {
        self.context.clock
    }

    pub(crate) fn view(&self) -> MutexGuard<'_, MemberView> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes note that this process doesn't lead any more.
    pub(crate) fn end_leading(&self) {
        self.view().end_leading();
        self.metrics().leading.set(0);
    }

    pub(crate) fn config(&self) -> Option<Arc<SiteConfig<F::Routes>>> {
        let config = self.config.lock().unwrap_or_else(PoisonError::into_inner);
        config.clone()
    }

    pub(crate) fn config_version(&self) -> ConfigVersion {
        self.config().map_or(ConfigVersion(0), |one| one.version)
    }

    /// Tells whether the store is slow for this process.
    pub(crate) fn sees_slow_store(&self) -> bool {
        self.context.progress_pace.is_slow() || self.intake.pace().is_slow()
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }
}

/// A running node.
#[derive(Debug)]
pub struct BatchNode<S, F: SiteFeed, W> {
    shared: Arc<NodeShared<S, F, W>>,
}

impl<S: StoreClient, F: SiteFeed, W: WorkerCaller> BatchNode<S, F, W> {
    /// Spawns a node, which serves its peers at the address of its identity.
    ///
    /// # Errors
    ///
    /// Returns the system's error if peers can't be served.
    pub async fn spawn(settings: NodeSettings, store: S, feed: F, caller: W) -> io::Result<Self> {
        let clock = NodeClock::start();
        let context = LeaderContext {
            store,
            feed,
            caller,
            clock,
            progress_pace: StorePace::open(clock),
            metrics: NodeMetrics::open(),
            settings: settings.planner.clone(),
        };
        let address = settings.identity.address;
        let intake = RequestWriter::spawn(
            context.store.clone(),
            context.clock,
            context.metrics.clone(),
        );
        let shared = Arc::new(NodeShared {
            settings,
            context,
            pool: PeerPool::default(),
            intake,
            pursuits: CancelPursuits::default(),
            view: Mutex::default(),
            config: Mutex::default(),
            is_stopping: AtomicBool::new(false),
            asked_to_lead: Notify::new(),
        });
        PeerServer::bind(address, PeerHandler::new(Arc::clone(&shared))).await?;
        tokio::spawn(follow_config(Arc::clone(&shared)));
        tokio::spawn(MemberTask::new(Arc::clone(&shared)).run());
        Ok(Self { shared })
    }

    /// Returns the node's counters and histograms.
    pub fn metrics(&self) -> NodeMetrics {
        self.shared.metrics().clone()
    }

    /// Returns the service that takes clients' calls.
    pub fn service(&self) -> JobService<S, F, W> {
        JobService::new(Arc::clone(&self.shared))
    }

    /// Returns the address at which the node serves its peers.
    pub fn address(&self) -> SocketAddr {
        self.shared.settings.identity.address
    }

    /// Tells whether this process leads.
    pub fn is_leading(&self) -> bool {
        self.shared.view().is_leading
    }

    /// Begins a planned stop: hands the lead on, and takes no part in elections any more.
    pub fn begin_stop(&self) {
        self.shared.is_stopping.store(true, Ordering::Relaxed);
        if let Some(handle) = &self.shared.view().handle {
            handle.resign();
        }
    }
}
