//! A cluster of stand-ins and daemon processes, connected through proxies that inject faults.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use geraniumshed_standin::history::{
    CallerRecord, CheckLimits, PlacementEnd, PlacementRecord, PromiseReport, RunHistory,
    check_promises,
};
use geraniumshed_standin::set::{EntrySettings, FaultCommand};
use geraniumshed_standin::{FaultProxy, StandinSet, StandinSettings};
use serde_json::Value;
use tokio::sync::{Semaphore, SemaphorePermit};

use super::caller::Caller;
use super::load::TimedReply;
use super::process::{DaemonProcess, OPERATOR_SECRET};
use super::records::BOOKING;
use super::wait::{eventually, try_within, within};

/// Limits the number of clusters that run at once in this process.
static CLUSTERS: Semaphore = Semaphore::const_new(4);

/// The number of the next cluster of this process.
static NEXT_CLUSTER: AtomicU32 = AtomicU32::new(0);

/// The port on which a daemon serves callers.
const CALLER_PORT: u16 = 8080;

/// The port on which a daemon serves operators.
const OPERATOR_PORT: u16 = 8081;

/// The port on which a daemon serves peers.
const PEER_PORT: u16 = 8082;

/// The setup of a cluster.
#[derive(Debug, Clone)]
pub struct ClusterPlan {
    /// The number of daemons.
    pub daemons: usize,
    /// The settings of the stand-ins.
    pub standins: StandinSettings,
    /// Lines added to each daemon's settings, as pairs of section and line.
    pub settings: Vec<(&'static str, &'static str)>,
}

impl Default for ClusterPlan {
    fn default() -> Self {
        Self {
            daemons: 3,
            standins: StandinSettings {
                proxied: true,
                interference: false,
                ..StandinSettings::default()
            },
            settings: Vec::new(),
        }
    }
}

/// A daemon process with its addresses and proxies.
#[derive(Debug)]
pub struct ClusterDaemon {
    pub process: DaemonProcess,
    /// The address at which it serves callers.
    pub callers: SocketAddr,
    /// The address at which it serves operators.
    pub operators: SocketAddr,
    /// The proxy in front of its address for peers.
    pub peers: FaultProxy,
    /// The proxy between it and the log.
    pub log: FaultProxy,
    /// The proxy between it and the VM list.
    pub vm_list: FaultProxy,
    settings: PathBuf,
}

impl ClusterDaemon {
    /// Starts the daemon again after it has exited.
    pub fn restart(&mut self) {
        self.process = DaemonProcess::spawn(&self.settings);
    }
}

/// A running cluster, stopped when dropped.
#[derive(Debug)]
pub struct Cluster {
    pub set: Arc<StandinSet>,
    pub daemons: Vec<ClusterDaemon>,
    pub caller: Caller,
    _permit: SemaphorePermit<'static>,
}

impl Cluster {
    /// Opens a cluster and waits until all daemons are healthy.
    pub async fn open(plan: ClusterPlan) -> Self {
        let permit = CLUSTERS.acquire().await.unwrap();
        let set = Arc::new(StandinSet::open(plan.standins.clone()).unwrap());
        let network = Network::next();
        let mut daemons = Vec::new();
        for index in 0..plan.daemons {
            daemons.push(open_daemon(&set, &network, &plan, index));
        }
        let cluster = Self {
            set,
            daemons,
            caller: Caller::new(),
            _permit: permit,
        };
        for index in 0..plan.daemons {
            cluster.await_healthy(index).await;
        }
        cluster
    }

    /// Waits until a daemon's health check passes.
    pub async fn await_healthy(&self, index: usize) {
        let daemon = &self.daemons[index];
        let url = format!("http://{}/health", daemon.callers);
        eventually("the daemon is healthy", async || {
            let response = self.caller.client().get(&url).send().await.ok()?;
            (response.status().as_u16() == 200).then_some(())
        })
        .await;
    }

    /// Returns the addresses at which the daemons serve callers.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|daemon| daemon.callers).collect()
    }

    /// Publishes the records of a text, one by one, at a daemon.
    pub async fn publish(&self, index: usize, records: &str) {
        for record in records.split("\n---\n") {
            let (status, answer) = self.try_publish(index, record).await;
            assert!(status < 300, "{status}: {answer}");
        }
    }

    /// Publishes one record and returns the HTTP status and the answer.
    pub async fn try_publish(&self, index: usize, record: &str) -> (u16, Value) {
        let url = format!("http://{}/operator/records", self.daemons[index].operators);
        let request = self.caller.client().post(url).body(record.to_owned());
        let response = request.bearer_auth(OPERATOR_SECRET).send().await.unwrap();
        let status = response.status().as_u16();
        (status, response.json().await.unwrap_or_default())
    }

    /// Returns the waiting tasks and those that need an operator, as reported by all daemons.
    pub async fn open_tasks(&self) -> Vec<Value> {
        let mut tasks = Vec::new();
        for index in 0..self.daemons.len() {
            let status = self.status(index).await.unwrap_or_default();
            tasks.extend(status["tasks"].as_array().cloned().unwrap_or_default());
        }
        tasks
    }

    /// Returns the status of the cluster as a daemon reports it to operators.
    pub async fn status(&self, index: usize) -> Option<Value> {
        let url = format!("http://{}/operator/status", self.daemons[index].operators);
        let request = self.caller.client().get(url).bearer_auth(OPERATOR_SECRET);
        let request = request.timeout(Duration::from_secs(2));
        request.send().await.ok()?.json().await.ok()
    }

    /// Publishes the booking service and waits until all its replicas run.
    pub async fn serve_bookings(&self) {
        self.publish(0, BOOKING).await;
        self.await_service("booking").await;
        self.await_replicas("booking", 3).await;
    }

    /// Waits until every daemon serves a service.
    pub async fn await_service(&self, service: &str) {
        for daemon in &self.daemons {
            within(
                Duration::from_secs(30),
                "the service is served",
                async || {
                    let reply = self.caller.post(daemon.callers, service, "", None).await;
                    reply.is_served().then_some(())
                },
            )
            .await;
        }
    }

    /// Waits until a service has as many running endpoints as replicas.
    pub async fn await_replicas(&self, service: &str, replicas: usize) {
        let prefix = format!("{service}/");
        eventually("all replicas run", async || {
            let status = self.set.status();
            let endpoints = status
                .workers
                .iter()
                .flat_map(|worker| worker.endpoints.keys());
            let running = endpoints.filter(|task| task.starts_with(&prefix)).count();
            (running == replicas).then_some(())
        })
        .await;
    }

    /// Waits until the stand-ins' ledger meets a condition, and fails the test after `limit`.
    pub async fn await_record(
        &self,
        what: &str,
        limit: Duration,
        is_met: impl Fn(&RunHistory) -> bool,
    ) {
        let recorder = self.set.recorder();
        let check = async || is_met(&recorder.snapshot()).then_some(());
        if try_within(limit, check).await.is_some() {
            return;
        }
        let placements = recorder.snapshot().placements;
        let is_open = |p: &&PlacementRecord| p.outcome != Some(PlacementEnd::Completed);
        let unfinished: Vec<_> = placements.iter().filter(is_open).collect();
        panic!(
            "not within {limit:?}: {what}\nof {} attempts these did not complete: {unfinished:#?}\n\
             open tasks: {:#?}\n{}",
            placements.len(),
            self.open_tasks().await,
            self.last_lines()
        );
    }

    /// Returns how often the request with an id ran.
    pub fn runs_of(&self, id: &str) -> usize {
        let executions = self.set.recorder().snapshot().executions;
        let runs = executions.iter().filter(|run| path_id(&run.path) == id);
        runs.count()
    }

    /// Injects a fault into the stand-ins, or ends one.
    pub fn switch(&self, fault: &FaultCommand) {
        self.set.switch(fault).unwrap();
    }

    /// Checks all promises against the stand-ins' ledger and the callers' records.
    pub fn check_promises(&self, callers: &[CallerRecord], limits: CheckLimits) -> PromiseReport {
        let mut record = self.set.recorder().snapshot();
        for execution in &mut record.executions {
            // Callers identify a request by the id in its path, not by the daemon's request id.
            execution.request = path_id(&execution.path).into();
        }
        check_promises(&record, callers, limits)
    }

    /// Fails the test if the ledger or the callers' replies break a promise.
    pub fn assert_promises_held(&self, replies: &[TimedReply]) {
        let records: Vec<CallerRecord> = replies
            .iter()
            .map(|timed| timed.reply.record.clone())
            .collect();
        let report = self.check_promises(&records, CheckLimits::default());
        assert!(report.held(), "{report}\n{}", self.last_lines());
    }

    /// Fails the test if the ledger breaks a promise; with `settled`, all tasks must have resumed.
    pub fn assert_ledger_promises_held(&self, settled: bool) {
        let limits = CheckLimits {
            settled,
            ..CheckLimits::default()
        };
        let report = self.check_promises(&[], limits);
        assert!(report.held(), "{report}\n{}", self.last_lines());
    }

    /// Waits until at least a number of a job's tasks have completed.
    pub async fn await_completed(&self, job: &str, tasks: usize, limit: Duration) {
        let what = format!("{tasks} tasks of {job} complete");
        self.await_record(&what, limit, |record| completed(record, job) >= tasks)
            .await;
    }

    /// Waits until at least a number of a job's tasks run.
    pub async fn await_running(&self, job: &str, tasks: usize) {
        let limit = Duration::from_secs(30);
        self.await_record("the tasks run", limit, |record| {
            let of_job = record
                .placements
                .iter()
                .filter(|p| belongs_to(&p.task, job));
            of_job.filter(|p| p.end.is_none()).count() >= tasks
        })
        .await;
    }

    /// Returns the last lines that each daemon printed.
    pub fn last_lines(&self) -> String {
        let lines = self
            .daemons
            .iter()
            .map(|daemon| daemon.process.last_lines());
        lines.collect::<Vec<_>>().join("\n--\n")
    }
}

/// Returns the id in the query of a request's path.
fn path_id(path: &str) -> &str {
    let (_, query) = path.split_once('?').unwrap_or_default();
    let id = query.split('&').find_map(|pair| pair.strip_prefix("id="));
    id.unwrap_or("")
}

/// Returns the number of a job's tasks that have completed.
pub fn completed(record: &RunHistory, job: &str) -> usize {
    let of_job = record
        .placements
        .iter()
        .filter(|p| belongs_to(&p.task, job));
    let done = of_job.filter(|p| p.outcome == Some(PlacementEnd::Completed));
    done.count()
}

/// Returns whether a task belongs to a record.
pub fn belongs_to(task: &str, name: &str) -> bool {
    task.split('/').next() == Some(name)
}

/// The loopback addresses and the directory of a cluster.
struct Network {
    /// The second and third octet of the addresses.
    middle_octets: (u8, u8),
    directory: PathBuf,
}

impl Network {
    /// Returns addresses that differ from those of other clusters, also of other test processes.
    fn next() -> Self {
        let process = std::process::id();
        let number = NEXT_CLUSTER.fetch_add(1, Ordering::SeqCst);
        let cluster_id = process.wrapping_mul(64).wrapping_add(number);
        let octet = |value: u32, base: u32, count: u32| u8::try_from(base + value % count).unwrap();
        let directory =
            PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("faults-{process}-{number}"));
        fs::create_dir_all(&directory).unwrap();
        Self {
            middle_octets: (octet(cluster_id / 250, 10, 240), octet(cluster_id, 1, 250)),
            directory,
        }
    }

    fn address(&self, index: usize, port: u16) -> SocketAddr {
        let last = u8::try_from(index + 1).unwrap();
        let (second, third) = self.middle_octets;
        SocketAddr::from((Ipv4Addr::new(127, second, third, last), port))
    }
}

fn open_daemon(
    set: &StandinSet,
    network: &Network,
    plan: &ClusterPlan,
    index: usize,
) -> ClusterDaemon {
    let seed = plan.standins.seed;
    let peer_listen = network.address(index, PEER_PORT);
    let proxy = |target| FaultProxy::bind(0, target, seed).unwrap();
    let (peers, log, vm_list) = (
        proxy(peer_listen),
        proxy(set.log_address()),
        proxy(set.vm_list_address()),
    );
    let zones = &plan.standins.zones;
    let zone = &zones[index % zones.len()];
    let entry = EntrySettings {
        vm: format!("entry-{index}").parse().unwrap(),
        zone: zone.name.clone(),
        address: peers.address(),
    };
    set.add_entry(&entry).unwrap();
    let callers = network.address(index, CALLER_PORT);
    let operators = network.address(index, OPERATOR_PORT);
    let mut sections = vec![
        ("daemon", format!("id: entry-{index}")),
        ("daemon", format!("region: {}", zone.region)),
        ("daemon", format!("zone: {}", zone.name)),
        ("cluster", "shards: 4".into()),
        ("platform", format!("log: {}", log.address())),
        ("platform", format!("vm_list: {}", vm_list.address())),
        ("callers", format!("listen: {callers}")),
        ("operators", format!("listen: {operators}")),
        ("peers", format!("listen: {peer_listen}")),
        ("peers", format!("advertise: {}", peers.address())),
    ];
    let added = plan.settings.iter();
    sections.extend(added.map(|(section, line)| (*section, (*line).to_owned())));
    let settings = network.directory.join(format!("entry-{index}.yaml"));
    fs::write(&settings, settings_text(&sections)).unwrap();
    ClusterDaemon {
        process: DaemonProcess::spawn(&settings),
        callers,
        operators,
        peers,
        log,
        vm_list,
        settings,
    }
}

/// Formats settings, with the lines of each section grouped.
fn settings_text(lines: &[(&str, String)]) -> String {
    let mut text = String::new();
    let mut done: Vec<&str> = Vec::new();
    for (section, _) in lines {
        if done.contains(section) {
            continue;
        }
        done.push(section);
        text.extend([section, ":\n"]);
        for (_, line) in lines.iter().filter(|(other, _)| other == section) {
            text.extend(["  ", line, "\n"]);
        }
    }
    text
}
