//! A node is the part of a daemon that handles batch jobs.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use geraniumshed_core::assignment::PlannerSettings;
use geraniumshed_core::intake::StoreVerdict;
use geraniumshed_core::leadership::{LeaderRecord, LeaderTerm, MemberIdentity};
use geraniumshed_model::prelude::{ProcessorShare, TimePoint};
use tokio::sync::Notify;

use crate::cancel::ActiveCancels;
use crate::clock::NodeClock;
use crate::config::{ConfigState, follow_config};
use crate::courier::{CourierRoster, CourierSessions};
use crate::forecast::{ForecastBoard, follow_forecasts};
use crate::handler::PeerHandler;
use crate::intake::RequestWriter;
use crate::leader::{LeaderContext, LeaderHandle};
use crate::member::MemberTask;
use crate::peer::{PeerPool, PeerServer};
use crate::service::JobService;
use crate::site::{SiteFeed, WorkerCaller};
use crate::store::StoreClient;
use crate::store_health::{HealthMonitor, watch_store};
use crate::store_monitor::StoreMonitor;
use crate::telemetry::NodeMetrics;

/// The time since its last heartbeat after which a member no longer counts as alive.
const MEMBER_TTL: Duration = Duration::from_millis(1200);

/// The time since its last heartbeat for which a member that may be cut off is asked nevertheless.
pub(crate) const RECENT_MEMBER_TTL: Duration = Duration::from_mins(1);

/// The default number of couriers for a thousand workers.
pub const DEFAULT_COURIER_DENSITY: usize = 4;

/// The settings of a node.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeSettings {
    /// The identity of this process.
    pub identity: MemberIdentity,
    /// The processors of the entry VM, by which nodes of a new cluster and successors are ranked.
    pub processors: ProcessorShare,
    /// The rank among the nodes of a new cluster; the node with the lowest rank claims to lead
    /// first.
    pub first_rank: u32,
    /// The planner's settings.
    pub planner: PlannerSettings,
    /// The number of nodes, for a thousand workers, that call workers on behalf of the leader.
    pub courier_density: usize,
}

/// A member that sends heartbeats to this process.
#[derive(Debug, Clone)]
pub(crate) struct TrackedMember {
    pub(crate) member: MemberIdentity,
    pub(crate) last_heartbeat: TimePoint,
    pub(crate) first_heartbeat: TimePoint,
    pub(crate) is_stopping: bool,
    pub(crate) processors: ProcessorShare,
}

/// The request of a leader that this process become the leader.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LeadRequest {
    /// The term of the leader that resigned.
    pub(crate) term: LeaderTerm,
    /// When the request arrived.
    pub(crate) at: TimePoint,
}

/// What this process knows about the leader and the other members.
#[derive(Debug, Default)]
pub(crate) struct MemberView {
    /// The newest known leader.
    pub(crate) leader: Option<LeaderRecord>,
    /// Whether this process leads, which includes the takeover.
    pub(crate) is_leading: bool,
    /// The handle of the running leader task, while this process leads.
    pub(crate) handle: Option<LeaderHandle>,
    /// The members that send heartbeats to this process.
    pub(crate) tracked_members: BTreeMap<SocketAddr, TrackedMember>,
    /// The live members that the leader knows.
    pub(crate) peers: Vec<MemberIdentity>,
    /// The term of the leader that this process followed last.
    pub(crate) followed_term: Option<LeaderTerm>,
    /// The leaders that this process followed and the live members that they knew, with the times at which
    /// they were last named.
    pub(crate) named_members: BTreeMap<MemberIdentity, TimePoint>,
    /// This node's rank among the candidates to succeed the leader, if the leader has told it.
    pub(crate) rank: Option<u32>,
    /// The newest request to become the leader.
    pub(crate) lead_request: Option<LeadRequest>,
}

impl MemberView {
    /// Records that this process leads since its claim was stored.
    pub(crate) fn begin_leading(&mut self, record: LeaderRecord) {
        self.leader = Some(record);
        self.is_leading = true;
    }

    /// Records that this process no longer leads.
    pub(crate) fn end_leading(&mut self) {
        self.handle = None;
        self.is_leading = false;
    }

    /// Returns the members that sent a heartbeat recently, also those that have fallen silent since.
    pub(crate) fn recent_members(&self, now: TimePoint) -> Vec<MemberIdentity> {
        let is_recent = |one: &&TrackedMember| now.since(one.last_heartbeat) < RECENT_MEMBER_TTL;
        let members = self.tracked_members.values().filter(is_recent);
        members.map(|one| one.member.clone()).collect()
    }

    /// Records a leader that has answered a heartbeat, and the live members that it knows.
    pub(crate) fn follow(
        &mut self,
        now: TimePoint,
        leader: &LeaderRecord,
        peers: Vec<MemberIdentity>,
    ) {
        self.followed_term = Some(leader.term);
        let named = peers.iter().chain([&leader.member]);
        let named = named.map(|member| (member.clone(), now));
        self.named_members.extend(named);
        self.named_members
            .retain(|_, named_at| now.since(*named_at) < RECENT_MEMBER_TTL);
        self.peers = peers;
    }

    /// Returns the live members that may lead next, the best first.
    ///
    /// Members on larger VMs come first, since planning takes more processor time than all other
    /// work of a node. Among equal VMs, the member whose first heartbeat is the most recent comes
    /// first: in a rolling restart, it has already been restarted.
    pub(crate) fn successors(&self, now: TimePoint) -> Vec<&TrackedMember> {
        let is_live =
            |one: &&TrackedMember| !one.is_stopping && now.since(one.last_heartbeat) < MEMBER_TTL;
        let mut members: Vec<&TrackedMember> =
            self.tracked_members.values().filter(is_live).collect();
        members.sort_by_key(|one| Reverse((one.processors, one.first_heartbeat)));
        members
    }
}

/// The state that the async tasks of a node share.
#[derive(Debug)]
pub(crate) struct NodeShared<S, F: SiteFeed, W> {
    pub(crate) settings: NodeSettings,
    pub(crate) context: LeaderContext<S, F, W>,
    pub(crate) pool: PeerPool,
    /// Connections for configurations, which would hold up heartbeats on a narrow link.
    pub(crate) config_pool: PeerPool,
    /// Connections for forecasts. A node of an earlier release closes them.
    pub(crate) forecast_pool: PeerPool,
    /// Connections to couriers.
    pub(crate) courier_pool: PeerPool,
    /// The sessions of leaders with this node as their courier.
    pub(crate) courier_sessions: CourierSessions,
    pub(crate) intake: RequestWriter,
    pub(crate) active_cancels: ActiveCancels,
    view: Mutex<MemberView>,
    pub(crate) config: ConfigState,
    pub(crate) is_stopping: AtomicBool,
    /// Notified when the former leader asks this process to lead.
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

    /// Records in the view and the metrics that this process no longer leads.
    pub(crate) fn end_leading(&self) {
        self.view().end_leading();
        self.metrics().leading.set(0);
        self.metrics().record_backlog(&BTreeMap::new());
    }

    /// Returns whether the store is slow to answer this process, or doesn't answer it.
    pub(crate) fn is_store_slow(&self) -> bool {
        self.context.progress_monitor.is_slow()
            || self.intake.monitor().is_slow()
            || self.context.store_health.verdict() == StoreVerdict::Silent
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
    /// Spawns a node, which listens for its peers at the address of its identity.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the address can't be listened on.
    pub async fn spawn(settings: NodeSettings, store: S, feed: F, caller: W) -> io::Result<Self> {
        let clock = NodeClock::start();
        let metrics = NodeMetrics::open();
        let context = LeaderContext {
            store,
            feed,
            caller,
            clock,
            progress_monitor: StoreMonitor::new(clock),
            store_health: HealthMonitor::new(clock, metrics.clone()),
            metrics,
            settings: settings.planner.clone(),
            couriers: CourierRoster::open(settings.courier_density),
            forecasts: ForecastBoard::default(),
        };
        let address = settings.identity.address;
        let intake = RequestWriter::spawn(
            context.store.clone(),
            context.clock,
            context.metrics.clone(),
            context.store_health.clone(),
        );
        let shared = Arc::new(NodeShared {
            settings,
            context,
            pool: PeerPool::default(),
            config_pool: PeerPool::default(),
            forecast_pool: PeerPool::default(),
            courier_pool: PeerPool::default(),
            courier_sessions: CourierSessions::default(),
            intake,
            active_cancels: ActiveCancels::default(),
            view: Mutex::default(),
            config: ConfigState::new(clock),
            is_stopping: AtomicBool::new(false),
            asked_to_lead: Notify::new(),
        });
        PeerServer::bind(address, PeerHandler::new(Arc::clone(&shared))).await?;
        tokio::spawn(follow_config(Arc::clone(&shared)));
        tokio::spawn(watch_store(Arc::clone(&shared)));
        tokio::spawn(follow_forecasts(Arc::clone(&shared)));
        tokio::spawn(MemberTask::new(Arc::clone(&shared)).run());
        Ok(Self { shared })
    }

    /// Returns the node's counters and histograms.
    pub fn metrics(&self) -> NodeMetrics {
        self.shared.metrics().clone()
    }

    /// Returns the service that answers clients' calls.
    pub fn service(&self) -> JobService<S, F, W> {
        JobService::new(Arc::clone(&self.shared))
    }

    /// Returns the address at which the node listens for its peers.
    pub fn address(&self) -> SocketAddr {
        self.shared.settings.identity.address
    }

    /// Returns whether this process leads.
    pub fn is_leading(&self) -> bool {
        self.shared.view().is_leading
    }

    /// Begins a planned stop: passes leadership to another node, and no longer takes part in
    /// elections.
    pub fn begin_stop(&self) {
        self.shared.is_stopping.store(true, Ordering::Relaxed);
        if let Some(handle) = &self.shared.view().handle {
            handle.resign();
        }
    }
}
