//! The daemon's implementation of the operators' interface.

use std::sync::Arc;
use std::time::Duration;

use geraniumshed_core::schedule::ShardMap;
use geraniumshed_core::state::ConfigState;
use geraniumshed_model::prelude::{
    ErrorKind, ProblemError, RecordGeneration, RecordKey, RecordKind, TaskId, whole_millis,
};
use geraniumshed_platform::HttpLog;
use geraniumshed_wire::operator::{
    ClusterStatus, DaemonState, HistoryEntry, LogState, MetricValue, TaskDecision,
};
use smol_str::{SmolStr, ToSmolStr, format_smolstr};
use tokio::sync::watch;

use super::daemon::NodeRunners;
use super::metrics::collect_metrics;
use super::status::{config_progress, job_progress, peer_state, shard_state, task_states};
use crate::clock::ProcessClock;
use crate::log::LogContext;
use crate::operator::{
    ConfigCommand, OperatorBackend, read_history, summarize_jobs, summarize_services,
};
use crate::peer::{PeerHub, PeerPool};
use crate::request::StatusReader;
use crate::state::ConfigPublisher;
use crate::telemetry::{MetricName, MetricSet};
use crate::view::{ConfigView, EndpointView, OwnershipView};

/// The time without a successful call after which the log counts as unreachable; without faults it
/// is read more often than that.
const LOG_SILENCE_LIMIT: Duration = Duration::from_secs(30);

/// Sets the level of the process's log lines.
pub trait LevelControl: Clone + Send + Sync + 'static {
    /// Sets the level, which may differ by module.
    ///
    /// # Errors
    ///
    /// Returns `Malformed` if the level can't be parsed.
    fn set_level(&self, level: &str) -> Result<(), ProblemError>;
}

/// The components of the daemon that the operators' interface uses.
#[derive(Debug, Clone)]
pub struct NodeParts {
    /// The records in force.
    pub config: ConfigView,
    /// The publisher of records.
    pub publisher: ConfigPublisher,
    /// The endpoints of all services.
    pub endpoints: EndpointView,
    /// The reports of the peers.
    pub hub: PeerHub,
    /// The connections to the peers.
    pub pool: PeerPool,
    /// The owner of each shard.
    pub owners: OwnershipView,
    /// The schedulers of the shards that this daemon owns.
    pub(super) runners: NodeRunners,
    /// The assignment of workers and tasks to shards.
    pub map: ShardMap,
    /// The context of the log, for its usage and the time since its last answer.
    pub context: Arc<LogContext<HttpLog>>,
    /// The client of the log, which reads the history of records.
    pub log: HttpLog,
    /// The counters of the request path.
    pub entry: StatusReader,
    /// Whether the daemon has caught up.
    pub caught_up: watch::Receiver<bool>,
    /// The daemon's clock.
    pub clock: ProcessClock,
}

/// Implements the operators' interface with the daemon's components.
#[derive(Debug, Clone)]
pub struct NodeBackend<C> {
    parts: Arc<NodeParts>,
    level: C,
}

impl<C: LevelControl> NodeBackend<C> {
    /// Creates the backend from a daemon's components.
    pub fn new(parts: NodeParts, level: C) -> Self {
        Self {
            parts: Arc::new(parts),
            level,
        }
    }

    /// Reads the current values of all metrics.
    pub async fn read_metrics(&self) -> MetricSet {
        let mut set = collect_metrics(&self.status().await, &self.parts.entry.status());
        let (heartbeats, forwards) = self.parts.pool.traffic();
        let bytes = heartbeats.read + heartbeats.written + forwards.read + forwards.written;
        set.count(MetricName::PeersBytes, bytes);
        set
    }

    fn daemon_state(&self) -> DaemonState {
        let report = self.parts.hub.report();
        let phase = match (report.leaving, *self.parts.caught_up.borrow()) {
            (true, _) => "stopping",
            (false, true) => "serving",
            (false, false) => "catching-up",
        };
        let uptime = self.parts.clock.now().0 / 1000;
        DaemonState {
            id: report.identity.daemon.to_smolstr(),
            region: report.identity.region.to_smolstr(),
            zone: report.identity.zone.to_smolstr(),
            incarnation: report.identity.incarnation.0,
            phase: SmolStr::new_static(phase),
            version: SmolStr::new_static(env!("CARGO_PKG_VERSION")),
            uptime_ms: uptime,
        }
    }

    fn log_state(&self) -> LogState {
        let usage = self.parts.context.usage();
        let silent = self.parts.context.silence();
        LogState {
            reachable: silent < LOG_SILENCE_LIMIT,
            silent_ms: whole_millis(silent),
            appends: usage.appends,
            append_bytes: usage.append_bytes,
        }
    }
}

impl<C: LevelControl> OperatorBackend for NodeBackend<C> {
    fn config(&self) -> Arc<ConfigState> {
        Arc::clone(&self.parts.config.borrow())
    }

    fn generation(&self, key: &RecordKey) -> RecordGeneration {
        self.parts.config.borrow().generation(key)
    }

    async fn change(&self, command: ConfigCommand) -> Result<RecordGeneration, ProblemError> {
        let publisher = &self.parts.publisher;
        match command {
            ConfigCommand::Publish {
                key,
                schema,
                replaces,
                body,
            } => {
                let replaces = replaces.unwrap_or_else(|| self.generation(&key));
                publisher.publish(key, schema, replaces, body).await
            }
            ConfigCommand::Withdraw { key, replaces } => {
                let replaces = replaces.unwrap_or_else(|| self.generation(&key));
                publisher.withdraw(key, replaces).await
            }
        }
    }

    async fn history(&self, key: &RecordKey) -> Result<Vec<HistoryEntry>, ProblemError> {
        read_history(&self.parts.log, key).await
    }

    async fn resolve(&self, task: TaskId, decision: TaskDecision) -> Result<(), ProblemError> {
        let rerun = matches!(decision, TaskDecision::Rerun);
        if self.parts.runners.resolve(&task, rerun).await {
            return Ok(());
        }
        Err(ProblemError::new(
            ErrorKind::NotFound,
            format_smolstr!("task {task} does not wait for a decision in any shard of this daemon"),
            "ask the daemon that owns the task's shard; its `status` lists the task",
        ))
    }

    async fn status(&self) -> ClusterStatus {
        let config = self.config();
        let endpoints = Arc::clone(&self.parts.endpoints.borrow());
        let owners = Arc::clone(&self.parts.owners.borrow());
        let own = self.parts.runners.statuses().await;
        let peers = self.parts.hub.peer_statuses();
        let progress = |key: &RecordKey| match key.kind {
            RecordKind::Job => job_progress(&config, &key.name),
            _ => (0, 0),
        };
        let shards = self.parts.map.shards();
        ClusterStatus {
            daemon: self.daemon_state(),
            config: config_progress(&config, &peers),
            log: self.log_state(),
            peers: peers.iter().map(peer_state).collect(),
            shards: shards
                .map(|shard| shard_state(shard, &owners, own.get(&shard)))
                .collect(),
            services: summarize_services(&config, &endpoints),
            jobs: summarize_jobs(&config, progress),
            tasks: own.values().flat_map(task_states).collect(),
        }
    }

    async fn metrics(&self) -> Vec<MetricValue> {
        self.read_metrics().await.to_wire()
    }

    fn set_log_level(&self, level: &str) -> Result<(), ProblemError> {
        self.level.set_level(level)
    }
}
