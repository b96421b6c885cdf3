//! An in-memory platform: a store, one worker and a configuration.

mod store;
mod worker;

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use geraniumshed_batch::store::{KeyedRecord, TopicName};
use geraniumshed_batch::topic::{LEASES_KEY, PROGRESS, REQUESTS, WAITS_KEY, job_key};
use geraniumshed_batch::wire::{LeaseSnapshotWire, WaitSnapshotWire, decode};
use geraniumshed_batch::{BatchNode, DEFAULT_COURIER_DENSITY, NodeSettings};
use geraniumshed_core::assignment::{PlannerSettings, WaitSnapshot};
use geraniumshed_core::job::{JobId, JobRequest, StepRequest};
use geraniumshed_core::leadership::MemberIdentity;
use geraniumshed_core::worker::{RunEnd, RunReport, WorkerTime};
use geraniumshed_model::prelude::{AcceleratorCount, MemorySize, ProcessorShare, ResourceSize};
use smol_str::SmolStr;
use tokio::runtime::{Builder, Runtime};
use tokio::time::Instant;

pub use self::store::NodeStore;

/// The timeout for a condition that a test waits for.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// A node on the in-memory platform.
pub type Node = BatchNode<NodeStore, NodeStore, Site>;

/// The time until heartbeats have informed each node of all others.
const SETTLE_TIME: Duration = Duration::from_millis(700);

/// A number that is larger than that of the nodes of any test.
const NODE_LIMIT: usize = 100;

#[derive(Debug, Default)]
struct TopicState {
    records: Vec<KeyedRecord>,
    epochs: BTreeMap<&'static str, u64>,
    /// When each append was carried out, and the end of the topic after it.
    ends: Vec<(Instant, usize)>,
}

impl TopicState {
    /// Returns the end of the topic as it was some time ago.
    fn end_before(&self, age: Duration) -> usize {
        let is_shown = |appended: &&(Instant, usize)| appended.0.elapsed() >= age;
        let shown = self.ends.iter().rev().find(is_shown);
        shown.map_or(0, |(_, end)| *end)
    }
}

#[derive(Debug, Default)]
struct SiteState {
    topics: BTreeMap<TopicName, TopicState>,
    members: Vec<SmolStr>,
    refused: BTreeSet<usize>,
    /// The nodes of which the store answers no call.
    silent: BTreeSet<usize>,
    /// Whether the store carries out the appends that it doesn't answer.
    is_appending_silently: bool,
    /// How long an append of jobs takes.
    request_delay: Duration,
    /// How long a read takes.
    read_delay: Duration,
    /// The nodes that have tried to append jobs, in order.
    request_appends: Vec<usize>,
    /// Whether the store refuses appends of progress.
    is_refusing_progress: bool,
    config_version: u64,
    evacuated_zones: BTreeSet<SmolStr>,
    /// The number of evacuations and cancellations so far.
    evacuation_count: u64,
    is_worker_hidden: bool,
    is_worker_failing: bool,
    takeover_delay: Duration,
    /// How old what is read of each topic is.
    read_ages: BTreeMap<TopicName, Duration>,
    progress_delay: Duration,
    /// How long nodes that are spawned from now on keep ended jobs, if not for the default time.
    job_retention: Option<Duration>,
    /// The number of couriers for a thousand workers of nodes that are spawned from now on, if not the
    /// default.
    courier_density: Option<usize>,
    /// Whether the store refuses to delete requests.
    is_keeping_requests: bool,
    /// The keys of the last append of progress, which may still be in flight.
    progress_keys: Vec<SmolStr>,
    started_runs: Vec<u32>,
    starts: usize,
    ended: Vec<RunEnd>,
    next_end: u64,
    /// Whether runs go on without an end.
    is_keeping_runs: bool,
    running: Vec<RunReport>,
    /// When a call last extended the worker's lease.
    extended_at: Option<Instant>,
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
            processes.push(self.spawn_process(index, first_port).await);
        }
        wait_for(async || processes.iter().all(|(_, node)| node.service().is_ready())).await;
        processes
    }

    /// Spawns a node in its own runtime like [`Self::spawn_processes`], and doesn't wait until it is ready.
    pub async fn spawn_process(&self, index: u16, first_port: u16) -> (Runtime, Node) {
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .unwrap();
        let site = self.clone();
        let spawned = runtime.spawn(async move { site.spawn_node(index, first_port).await });
        let node = spawned.await.unwrap();
        (runtime, node)
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
                address: SocketAddr::from((own_loopback(), first_port + index)),
            },
            processors,
            first_rank: u32::from(index),
            planner: self.planner_settings(),
            courier_density: self
                .lock()
                .courier_density
                .unwrap_or(DEFAULT_COURIER_DENSITY),
        };
        let store = NodeStore {
            site: self.clone(),
            node: usize::from(index),
        };
        BatchNode::spawn(settings, store.clone(), store, self.clone())
            .await
            .unwrap()
    }

    fn planner_settings(&self) -> PlannerSettings {
        let defaults = PlannerSettings::default();
        let job_retention = self.lock().job_retention;
        PlannerSettings {
            job_retention: job_retention.unwrap_or(defaults.job_retention),
            ..defaults
        }
    }

    /// Makes the store refuse the calls of these nodes, and only of these.
    pub fn refuse(&self, nodes: impl IntoIterator<Item = usize>) {
        self.lock().refused = nodes.into_iter().collect();
    }

    /// Makes the store answer no call of any node.
    pub fn silence(&self) {
        self.silence_for(0..NODE_LIMIT);
    }

    /// Makes the store answer no call of these nodes, and all of the others.
    pub fn silence_for(&self, nodes: impl IntoIterator<Item = usize>) {
        self.lock().silent = nodes.into_iter().collect();
    }

    /// Makes the store carry out the appends that it doesn't answer.
    pub fn append_silently(&self) {
        self.lock().is_appending_silently = true;
    }

    /// Makes appends of jobs and of progress, and reads, take longer.
    pub fn slow_down(&self, appends: Duration, reads: Duration) {
        let mut state = self.lock();
        state.request_delay = appends;
        state.progress_delay = appends;
        state.read_delay = reads;
    }

    /// Returns the nodes that have tried to append jobs, in order.
    pub fn request_appends(&self) -> Vec<usize> {
        self.lock().request_appends.clone()
    }

    /// Makes the store refuse appends of progress, and no other calls.
    pub fn refuse_progress(&self) {
        self.lock().is_refusing_progress = true;
    }

    /// Publishes a configuration with the given version.
    pub fn publish(&self, version: u64) {
        self.lock().config_version = version;
    }

    /// Evacuates a zone, or cancels its evacuation.
    pub fn evacuate(&self, zone: &str, is_evacuated: bool) {
        let mut state = self.lock();
        state.evacuation_count += 1;
        if is_evacuated {
            state.evacuated_zones.insert(zone.into());
        } else {
            state.evacuated_zones.remove(zone);
        }
    }

    /// Delays the read of stored progress, and so each takeover.
    pub fn delay_takeover(&self, delay: Duration) {
        self.lock().takeover_delay = delay;
    }

    /// Shows topics as they were some time ago.
    pub fn outdate(&self, topics: &[TopicName], age: Duration) {
        let ages = topics.iter().map(|topic| (*topic, age));
        self.lock().read_ages = ages.collect();
    }

    /// Makes nodes that are spawned from now on forget ended jobs at their next clean-up, and the store
    /// refuse to delete their requests.
    pub fn forget_jobs_without_requests(&self) {
        let mut state = self.lock();
        state.job_retention = Some(Duration::ZERO);
        state.is_keeping_requests = true;
    }

    /// Makes nodes that are spawned from now on use a number of couriers for the only worker.
    pub fn use_couriers(&self, count: usize) {
        self.lock().courier_density = Some(count * 1000);
    }

    /// Delays each append of progress.
    pub fn delay_progress(&self, delay: Duration) {
        self.lock().progress_delay = delay;
    }

    /// Returns whether the last append of progress, finished or not, has a record with this key.
    pub fn is_appending(&self, key: &str) -> bool {
        self.lock().progress_keys.iter().any(|one| one == key)
    }

    fn begin_progress(&self, records: &[KeyedRecord]) -> Duration {
        let mut state = self.lock();
        state.progress_keys = records.iter().map(|record| record.key.clone()).collect();
        state.progress_delay
    }

    /// Returns the numbers of all runs that were started, in order.
    pub fn started_runs(&self) -> Vec<u32> {
        self.lock().started_runs.clone()
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

    /// Makes the runs that are started from now on go on without an end.
    pub fn keep_runs(&self) {
        self.lock().is_keeping_runs = true;
    }

    /// Returns the time since a call last extended the worker's lease.
    pub fn lease_age(&self) -> Duration {
        let extended_at = self.lock().extended_at;
        extended_at.map_or(Duration::MAX, |at| at.elapsed())
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
        topic.ends.push((Instant::now(), topic.records.len()));
    }

    /// Returns whether the store has the request of a job.
    pub fn has_request(&self, id: JobId) -> bool {
        let key = job_key(id);
        let state = self.lock();
        let requests = state.topics.get(&REQUESTS);
        requests.is_some_and(|topic| topic.records.iter().any(|record| record.key == key))
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

/// Returns a loopback address of this process, so that test processes don't share ports.
fn own_loopback() -> Ipv4Addr {
    let [.., high, middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 1 + high % 254, middle, low)
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
