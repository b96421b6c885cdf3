//! An in-memory platform: a store, one worker and a configuration.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use geraniumshed_batch::site::{PublishedConfig, RenewOutcome, SiteFeed, WorkerCaller};
use geraniumshed_batch::store::{
    AppendCondition, KeyedRecord, NewestPage, ReadBatch, StoreClient, StoreError, TopicName,
};
use geraniumshed_batch::topic::{LEASES_KEY, PROGRESS, WAITS_KEY};
use geraniumshed_batch::wire::{LeaseSnapshotWire, WaitSnapshotWire, decode};
use geraniumshed_batch::{BatchNode, NodeSettings};
use geraniumshed_core::assignment::{PlannerSettings, WaitSnapshot};
use geraniumshed_core::job::{JobRequest, QueueName, QueuePolicy, StepRequest, WorkerId};
use geraniumshed_core::leadership::MemberIdentity;
use geraniumshed_core::site::{ConfigVersion, RouteEntry, RouteKey, SiteConfig};
use geraniumshed_core::worker::{
    AdviceReply, AdviceRequest, EndKind, PaceOrder, RenewReply, RenewRequest, RunEnd, StartOrder,
    StartReply, StopOrder, WorkerCall, WorkerChange, WorkerFailure, WorkerIncarnation,
    WorkerListing, WorkerTime,
};
use geraniumshed_model::prelude::{
    AcceleratorCount, LogOffset, MemorySize, ProcessorShare, ResourceSize,
};
use smol_str::SmolStr;
use tokio::runtime::{Builder, Runtime};
use tokio::time::Instant;

/// The timeout for a condition that a test waits for.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// A node on the in-memory platform.
pub type Node = BatchNode<NodeStore, NodeStore, Site>;

/// The time until heartbeats have informed each node of all others.
const SETTLE_TIME: Duration = Duration::from_millis(700);

#[derive(Debug, Default)]
struct TopicState {
    records: Vec<KeyedRecord>,
    epochs: BTreeMap<&'static str, u64>,
}

#[derive(Debug, Default)]
struct SiteState {
    topics: BTreeMap<TopicName, TopicState>,
    members: Vec<SmolStr>,
    refused: BTreeSet<usize>,
    config_version: u64,
    is_worker_hidden: bool,
    is_worker_failing: bool,
    takeover_delay: Duration,
    starts: usize,
    ended: Vec<RunEnd>,
    next_end: u64,
}

/// The in-memory platform. Clones share its state.
#[derive(Debug, Clone)]
pub struct Site {
    state: Arc<Mutex<SiteState>>,
    started: Instant,
}

impl Site {
    pub fn new() -> Self {
        Self {
            state: Arc::default(),
            started: Instant::now(),
        }
    }

    /// Spawns nodes that listen on consecutive ports, and waits until they are ready.
    pub async fn spawn_nodes(&self, count: u16, first_port: u16) -> Vec<Node> {
        let mut nodes = Vec::new();
        for index in 0..count {
            nodes.push(self.spawn_node(index, first_port).await);
        }
        wait_for(async || nodes.iter().all(|node| node.service().is_ready())).await;
        nodes
    }

    /// Spawns a node on a VM of the given size, and waits until it is ready. The index sets its
    /// port and rank.
    pub async fn spawn_sized(&self, index: u16, first_port: u16, processors: u32) -> Node {
        let node = self.spawn_node_on(index, first_port, ProcessorShare(processors));
        let node = node.await;
        wait_for(async || node.service().is_ready()).await;
        node
    }

    /// Spawns nodes like [`Self::spawn_nodes`], each in its own runtime, whose shutdown kills the
    /// node.
    pub async fn spawn_processes(&self, count: u16, first_port: u16) -> Vec<(Runtime, Node)> {
        let mut processes = Vec::new();
        for index in 0..count {
            let runtime = Builder::new_multi_thread()
                .worker_threads(1)
                .enable_all()
                .build()
                .unwrap();
            let site = self.clone();
            let spawned = runtime.spawn(async move { site.spawn_node(index, first_port).await });
            processes.push((runtime, spawned.await.unwrap()));
        }
        wait_for(async || processes.iter().all(|(_, node)| node.service().is_ready())).await;
        processes
    }

    async fn spawn_node(&self, index: u16, first_port: u16) -> Node {
        self.spawn_node_on(index, first_port, ProcessorShare(100))
            .await
    }

    async fn spawn_node_on(&self, index: u16, first_port: u16, processors: ProcessorShare) -> Node {
        let settings = NodeSettings {
            identity: MemberIdentity {
                name: format!("d-{index}").into(),
                incarnation: u64::from(index) + 1,
                address: SocketAddr::from(([127, 0, 0, 1], first_port + index)),
            },
            processors,
            first_rank: u32::from(index),
            planner: PlannerSettings::default(),
        };
        let store = NodeStore {
            site: self.clone(),
            node: usize::from(index),
        };
        BatchNode::spawn(settings, store.clone(), store, self.clone())
            .await
            .unwrap()
    }

    /// Makes the store refuse the calls of these nodes, and only of these.
    pub fn refuse(&self, nodes: impl IntoIterator<Item = usize>) {
        self.lock().refused = nodes.into_iter().collect();
    }

    /// Publishes a configuration with the given version.
    pub fn publish(&self, version: u64) {
        self.lock().config_version = version;
    }

    /// Delays the read of stored progress, and so each takeover.
    pub fn delay_takeover(&self, delay: Duration) {
        self.lock().takeover_delay = delay;
    }

    /// Returns the members of the group of leaders.
    pub fn members(&self) -> Vec<SmolStr> {
        self.lock().members.clone()
    }

    /// Hides the worker from the registered ones, or shows it again.
    pub fn hide_worker(&self, is_hidden: bool) {
        self.lock().is_worker_hidden = is_hidden;
    }

    /// Makes the worker stop answering any call from its next start on.
    pub fn fail_worker(&self) {
        self.lock().is_worker_failing = true;
    }

    /// Returns the newest record of silent workers' leases.
    pub fn stored_leases(&self) -> Option<LeaseSnapshotWire> {
        let value = self.newest_progress(&LEASES_KEY)?;
        Some(decode(&value).unwrap())
    }

    /// Returns the newest record of the waits of long-running tasks.
    pub fn stored_waits(&self) -> Option<WaitSnapshot> {
        let value = self.newest_progress(&WAITS_KEY)?;
        Some(decode::<WaitSnapshotWire>(&value).unwrap().into())
    }

    /// Stores a record of progress that no leader has written.
    pub fn put_progress(&self, key: SmolStr, value: Bytes) {
        let record = KeyedRecord { key, value };
        let mut state = self.lock();
        let topic = state.topics.entry(PROGRESS).or_default();
        topic.records.push(record);
    }

    fn newest_progress(&self, key: &SmolStr) -> Option<Bytes> {
        let state = self.lock();
        let mut records = state.topics.get(&PROGRESS)?.records.iter().rev();
        let record = records.find(|record| record.key == *key)?;
        Some(record.value.clone())
    }

    pub fn start_count(&self) -> usize {
        self.lock().starts
    }

    fn lock(&self) -> MutexGuard<'_, SiteState> {
        self.state.lock().unwrap()
    }

    fn clock(&self) -> WorkerTime {
        WorkerTime(u64::try_from(self.started.elapsed().as_millis()).unwrap())
    }
}

/// The client of the store and the platform for one node.
#[derive(Debug, Clone)]
pub struct NodeStore {
    site: Site,
    node: usize,
}

impl NodeStore {
    /// Locks the state, unless the store refuses this node.
    fn access(&self) -> Result<MutexGuard<'_, SiteState>, StoreError> {
        let state = self.site.lock();
        if state.refused.contains(&self.node) {
            return Err(StoreError::Refused);
        }
        Ok(state)
    }

    fn topic<T>(
        &self,
        topic: TopicName,
        change: impl FnOnce(&mut TopicState) -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        let mut state = self.access()?;
        change(state.topics.entry(topic).or_default())
    }

    fn config_version(&self) -> Result<u64, StoreError> {
        let state = self.access()?;
        // There is always a configuration, since nodes only become ready with one.
        Ok(state.config_version.max(1))
    }
}

impl StoreClient for NodeStore {
    async fn append(
        &self,
        topic: TopicName,
        records: Vec<KeyedRecord>,
        condition: AppendCondition,
        _: Duration,
    ) -> Result<LogOffset, StoreError> {
        self.topic(topic, |state| {
            let end = state.records.len() as u64;
            match condition {
                AppendCondition::None => {}
                AppendCondition::EndsAt(wanted) if wanted.0 == end => {}
                AppendCondition::EndsAt(_) => return Err(StoreError::EndMoved(LogOffset(end))),
                AppendCondition::Writer(mark) => {
                    let epoch = state.epochs.entry(mark.producer).or_default();
                    if mark.epoch < *epoch {
                        return Err(StoreError::Fenced);
                    }
                    *epoch = mark.epoch;
                }
            }
            state.records.extend(records);
            Ok(LogOffset(state.records.len() as u64))
        })
    }

    async fn newest(
        &self,
        topic: TopicName,
        _: Option<SmolStr>,
        timeout: Duration,
    ) -> Result<NewestPage, StoreError> {
        if topic == PROGRESS {
            let delay = self.site.lock().takeover_delay;
            tokio::time::sleep(delay.min(timeout)).await;
            if delay > timeout {
                return Err(StoreError::Unanswered);
            }
        }
        self.topic(topic, |state| {
            let mut newest = BTreeMap::new();
            for (offset, record) in (0..).zip(&state.records) {
                newest.insert(record.key.clone(), (LogOffset(offset), record.clone()));
            }
            newest.retain(|_, (_, record)| !record.value.is_empty());
            Ok(NewestPage {
                records: newest.into_values().collect(),
                end: LogOffset(state.records.len() as u64),
                has_more: false,
            })
        })
    }

    async fn read(
        &self,
        topic: TopicName,
        from: LogOffset,
        wait: Duration,
    ) -> Result<ReadBatch, StoreError> {
        let deadline = Instant::now() + wait;
        loop {
            let records = self.topic(topic, |state| {
                let first = usize::try_from(from.0).unwrap();
                Ok(state.records[first..].to_vec())
            })?;
            if !records.is_empty() || Instant::now() >= deadline {
                let next = LogOffset(from.0 + records.len() as u64);
                return Ok(ReadBatch { records, next });
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    async fn join(&self, _: TopicName, member: SmolStr, _: Duration) -> Result<(), StoreError> {
        let mut state = self.site.lock();
        state.members.retain(|one| *one != member);
        state.members.push(member);
        Ok(())
    }

    async fn leave(&self, _: TopicName, member: SmolStr) -> Result<(), StoreError> {
        self.site.lock().members.retain(|one| *one != member);
        Ok(())
    }

    async fn members(&self, _: TopicName) -> Result<Vec<SmolStr>, StoreError> {
        Ok(self.site.lock().members.clone())
    }
}

impl SiteFeed for NodeStore {
    async fn config(&self, _: LogOffset, _: Duration) -> Result<PublishedConfig, StoreError> {
        let version = self.config_version()?;
        let source = Bytes::copy_from_slice(&version.to_be_bytes());
        Ok((Some(source), LogOffset(version)))
    }

    async fn config_end(&self, _: Duration) -> Result<LogOffset, StoreError> {
        Ok(LogOffset(self.config_version()?))
    }

    fn decode(&self, source: &Bytes) -> Option<SiteConfig> {
        let version = u64::from_be_bytes(source.as_ref().try_into().ok()?);
        let policy = QueuePolicy {
            service: "s".into(),
            priority: 0,
            attempt_limit: 3,
            stretch: 2.0,
            latency_objective: Duration::from_secs(1),
            advice: None,
        };
        let entry = RouteEntry {
            queue: QueueName::from("q"),
            policy,
        };
        Some(SiteConfig {
            version: ConfigVersion(version),
            body_limit: 1000,
            routes: [(RouteKey::new("h", "/q/".into()), entry)]
                .into_iter()
                .collect(),
        })
    }

    async fn workers(&self) -> Result<(Vec<WorkerListing>, LogOffset), StoreError> {
        let state = self.access()?;
        let is_shown = !state.is_worker_hidden;
        let listings = is_shown.then(worker_listing).into_iter().collect();
        Ok((listings, LogOffset(0)))
    }

    async fn worker_changes(
        &self,
        from: LogOffset,
        wait: Duration,
    ) -> Result<(Vec<WorkerChange>, LogOffset), StoreError> {
        tokio::time::sleep(wait).await;
        let state = self.access()?;
        let change = if state.is_worker_hidden {
            WorkerChange::Gone(worker_listing().id)
        } else {
            WorkerChange::Listed(worker_listing())
        };
        Ok((vec![change], from))
    }
}

fn worker_listing() -> WorkerListing {
    WorkerListing {
        id: WorkerId("w".into()),
        service: "s".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: "z".into(),
        incarnation: Some(WorkerIncarnation(1)),
        capacity: size(32_000),
        labels: Vec::new(),
        rack: None,
        is_draining: false,
    }
}

/// The only worker, whose runs end as soon as they start.
impl WorkerCaller for Site {
    async fn start(&self, call: WorkerCall<StartOrder>) -> Result<StartReply, WorkerFailure> {
        let mut state = self.lock();
        state.starts += 1;
        if state.is_worker_failing {
            return Err(WorkerFailure::Unanswered);
        }
        state.next_end += 1;
        let end = RunEnd {
            number: state.next_end,
            task: call.body.task,
            run: call.body.run,
            kind: EndKind::Done,
            checkpoint: None,
        };
        state.ended.push(end);
        Ok(StartReply::Started)
    }

    async fn stop(&self, _: WorkerCall<StopOrder>) -> Result<(), WorkerFailure> {
        Ok(())
    }

    async fn pace(&self, _: WorkerCall<PaceOrder>) -> Result<(), WorkerFailure> {
        Ok(())
    }

    async fn advise(&self, request: &AdviceRequest) -> Result<AdviceReply, WorkerFailure> {
        let ticket = |worker: &WorkerId| (worker.clone(), SmolStr::new("ticket"));
        Ok(AdviceReply {
            tickets: request.workers.iter().map(ticket).collect(),
            validity: Duration::from_secs(3),
        })
    }

    async fn renew(&self, call: WorkerCall<RenewRequest>) -> RenewOutcome {
        tokio::time::sleep(Duration::from_millis(10)).await;
        let mut state = self.lock();
        if state.is_worker_failing && state.starts > 0 {
            return RenewOutcome::Failed(WorkerFailure::Unanswered);
        }
        let seen = call.body.last_stored_end;
        state.ended.retain(|end| end.number > seen);
        let ended = state.ended.clone();
        drop(state);
        RenewOutcome::Answered(RenewReply {
            clock: self.clock(),
            incarnation: Some(WorkerIncarnation(1)),
            running: Vec::new(),
            ended,
        })
    }
}

fn size(processors: u32) -> ResourceSize {
    ResourceSize {
        processors: ProcessorShare(processors),
        memory: MemorySize(1_000_000_000),
        accelerators: AcceleratorCount(0),
    }
}

/// Returns the request of a job with one step.
pub fn job(task_count: u32) -> JobRequest {
    JobRequest {
        queue: "q".into(),
        payload: "p".into(),
        steps: vec![StepRequest {
            task_count,
            size: ResourceSize {
                memory: MemorySize(1_000_000),
                ..size(100)
            },
            estimate: Duration::from_millis(10),
            ..StepRequest::default()
        }],
        repeat: None,
        submitted_unix_ms: geraniumshed_batch::clock::unix_millis(),
    }
}

/// Returns a deadline for a client's call.
pub fn deadline() -> Instant {
    Instant::now() + Duration::from_secs(5)
}

/// Waits until a condition holds.
pub async fn wait_for(condition: impl AsyncFn() -> bool) {
    let limit = Instant::now() + WAIT_LIMIT;
    while !condition().await {
        assert!(Instant::now() < limit, "the condition was not met in time");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Waits until one of the nodes leads and heartbeats have informed each node of all others, and
/// returns the index of the leader.
pub async fn settled_leader(nodes: &[Node]) -> usize {
    wait_for(async || nodes.iter().any(BatchNode::is_leading)).await;
    tokio::time::sleep(SETTLE_TIME).await;
    nodes.iter().position(BatchNode::is_leading).unwrap()
}
