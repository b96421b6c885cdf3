//! Crowds at the listeners of `geraniumshed serve`.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use geraniumshed_soak::checker::RunChecker;
use geraniumshed_soak::clients::{Clients, HOST, TrafficSettings};
use geraniumshed_soak::clock::RunClock;
use geraniumshed_soak::daemon::{Daemon, DaemonIndex, DaemonSettings};
use geraniumshed_soak::jobs::{JobClass, JobPlan, JobRegistry};
use geraniumshed_soak::limits::SiteLimits;
use geraniumshed_soak::store::{EpochCheck, OPERATOR_TOPIC, StandInStore};
use geraniumshed_soak::worker::{EndForgetting, Fleet, FleetSettings, SERVICE};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use crate::PROCESSES;
use crate::crowd::{Conduct, Crowd, send_legal};
use crate::process_size::{ProcessSize, reset_peak};

/// The memory of the machine in the test's settings, in megabytes.
const MACHINE_MEMORY_MB: u32 = 32;
/// The descriptors of the machine in the test's settings.
const MACHINE_MAX_FDS: u32 = 160;
/// The part of the memory that clients' unanswered requests may have, as documented.
const BUDGET_BYTES: usize = MACHINE_MEMORY_MB as usize * 1_000_000 / 4;
/// The memory beside the budget that a crowd may cause: tasks, buffers of the HTTP library, and the
/// allocator's reserve.
const ALLOWANCE_BYTES: usize = 12_000_000;
/// The port on which metrics are served.
const METRICS_PORT: u16 = 8169;
/// The time for which a crowd keeps its connections open.
const CROWD_TIME: Duration = Duration::from_millis(2500);
/// The time after which a crowd has sent most of what it sends.
const CROWD_LEAD: Duration = Duration::from_millis(700);
/// The interval at which the process's size is read.
const WATCH_INTERVAL: Duration = Duration::from_millis(50);
/// The longest time that a test waits for a state. It is far longer than any state takes.
const STATE_LIMIT: Duration = Duration::from_secs(30);

/// The memory of the smallest entry VM, in megabytes.
const SMALLEST_MEMORY_MB: u32 = 160;
/// The descriptors of the smallest entry VM.
const SMALLEST_MAX_FDS: u32 = 4100;
/// The number of clients that send the largest requests at once.
const LEGAL_CLIENTS: usize = 64;

/// The crowds, with the number of clients of each.
const CROWDS: [(Conduct, usize); 13] = [
    (Conduct::StopsShort, 96),
    (Conduct::SmallChunks, 32),
    (Conduct::SmallWrites, 32),
    (Conduct::HugeDeclared, 16),
    (Conduct::HugeChunked, 16),
    (Conduct::ManyHeaders, 48),
    (Conduct::ManyParameters, 48),
    (Conduct::ManyMembers, 16),
    (Conduct::ManyObjects, 16),
    (Conduct::NestedLists, 16),
    (Conduct::Pipelined, 64),
    (Conduct::SlowSender, 64),
    (Conduct::Silent, 220),
];

/// Where a crowd sends its requests.
#[derive(Debug, Clone, Copy)]
enum Place {
    Route,
    NoRoute,
    Readiness,
    Metrics,
}

/// A daemon on stand-ins of the platform.
struct Site {
    daemon: Arc<Daemon>,
    clients: Arc<Clients>,
    checker: Arc<Mutex<RunChecker>>,
    address: Ipv4Addr,
    _fleet: Fleet,
}

impl Site {
    /// Opens a site on a machine of the crowds' size.
    async fn open(name: &str) -> Self {
        Self::open_on(name, MACHINE_MEMORY_MB, MACHINE_MAX_FDS).await
    }

    /// Starts the stand-ins and the daemon, and waits until the daemon is ready.
    async fn open_on(name: &str, memory_mb: u32, max_fds: u32) -> Self {
        let clock = RunClock::start();
        let store = StandInStore::new(clock, EpochCheck::WhenExecuted);
        store.publish(OPERATOR_TOPIC, "config", config().into());
        let jobs = Arc::new(JobRegistry::default());
        let checker = Arc::new(Mutex::new(RunChecker::default()));
        let fleet = Fleet::start(
            clock,
            fleet_settings(),
            store.clone(),
            Arc::clone(&jobs),
            Arc::clone(&checker),
            vec!["zone-a".to_owned()],
        );
        let fleet = fleet.await.unwrap();
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("clients-{name}"));
        std::fs::create_dir_all(&directory).unwrap();
        let octet = |value: u32| u8::try_from(value).unwrap();
        let own = std::process::id();
        let address = Ipv4Addr::new(127, octet(32 + own % 30), octet(own / 30 % 256), 1);
        let index = DaemonIndex(0);
        let daemon = Daemon::start(DaemonSettings {
            index,
            program: PathBuf::from(env!("CARGO_BIN_EXE_geraniumshed")),
            ip: address,
            zone: "zone-a".to_owned(),
            cpu_share: 0.5,
            limits: SiteLimits::default(),
            store: store.listen(index, index.worker_address()).await.unwrap(),
            memory_mb,
            max_fds,
            arguments: vec!["--metrics-port".to_owned(), METRICS_PORT.to_string()],
            directory,
        });
        let daemon = daemon.unwrap();
        let traffic = TrafficSettings {
            book_rate: 0.0,
            shift_rate: 0.0,
            listen_rate: 0.0,
            long_rate: 0.0,
            cancel_share: 0.0,
            repeat_share: 0.0,
        };
        let daemons = vec![Arc::clone(&daemon)];
        let clients = Clients::new(clock, traffic, jobs, Arc::clone(&checker), daemons);
        clients.check_readiness();
        let site = Self {
            daemon,
            clients,
            checker,
            address,
            _fleet: fleet,
        };
        // A job that runs shows that the daemon leads and knows its workers.
        site.submit_job(1).await;
        site.await_run(1).await;
        site
    }

    fn address_of(&self, place: Place) -> SocketAddr {
        match place {
            Place::Route | Place::NoRoute => self.daemon.front(),
            Place::Readiness => self.daemon.ready(),
            Place::Metrics => SocketAddr::new(self.address.into(), METRICS_PORT),
        }
    }

    /// Submits a job of long-running tasks, and waits until it is accepted.
    async fn submit_job(&self, seed: u64) {
        let started = Instant::now();
        let (_, before) = self.clients.counts();
        let random = ChaCha8Rng::seed_from_u64(seed);
        while self.clients.counts().1 == before {
            assert!(started.elapsed() < STATE_LIMIT, "no job is accepted");
            Arc::clone(&self.clients)
                .submit_standing(1, random.clone())
                .await;
        }
    }

    /// Waits until a task of the job with a seed has been started.
    async fn await_run(&self, seed: u64) {
        let plan = JobPlan::draw(
            JobClass::Listen,
            false,
            &mut ChaCha8Rng::seed_from_u64(seed),
        );
        let started = Instant::now();
        let has_run = || {
            let checker = self.checker.lock().unwrap();
            plan.tasks().any(|task| !checker.runs(task).is_empty())
        };
        while !has_run() {
            assert!(started.elapsed() < STATE_LIMIT, "the job never runs");
            sleep(WATCH_INTERVAL).await;
        }
    }

    /// Presses the daemon with a crowd while a job is submitted, which has to run, and submits
    /// another one afterwards. Returns the largest size of the process.
    async fn press(&self, crowd: Crowd, seed: u64) -> ProcessSize {
        reset_peak(self.pid());
        let pressing = tokio::spawn(crowd.press(CROWD_TIME));
        let mut descriptors = 0;
        let submitting = async {
            sleep(CROWD_LEAD).await;
            self.submit_job(seed).await;
        };
        tokio::pin!(submitting);
        let mut is_submitted = false;
        while !(is_submitted && pressing.is_finished()) {
            tokio::select! {
                () = &mut submitting, if !is_submitted => is_submitted = true,
                () = sleep(WATCH_INTERVAL) => descriptors = descriptors.max(self.size().descriptors),
            }
        }
        self.await_run(seed).await;
        self.submit_job(seed + 1).await;
        ProcessSize {
            descriptors,
            ..self.size()
        }
    }

    fn pid(&self) -> i32 {
        let pid = self.daemon.process().expect("the process has ended");
        pid.as_raw()
    }

    fn size(&self) -> ProcessSize {
        ProcessSize::read(self.pid())
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.clients.finish();
        self.daemon.finish();
    }
}

/// Guards against a process that runs out of memory or descriptors, or stops serving, because of
/// clients that send much and don't finish, or don't read.
#[rstest]
#[case::route(Place::Route, "POST /listen/ID")]
#[case::no_route(Place::NoRoute, "POST /nothing/ID")]
#[case::readiness(Place::Readiness, "GET /v1/ready")]
#[case::metrics(Place::Metrics, "GET /metrics")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowds_leave_the_adapter_within_its_machine(#[case] place: Place, #[case] target: &str) {
    let _processes = PROCESSES.lock().await;
    let site = Site::open(&format!("{place:?}")).await;
    let before = site.size();
    println!("{place:?}: {before:?}");
    let mut faults = Vec::new();
    for (seed, (conduct, clients)) in (2..).step_by(2).zip(CROWDS) {
        let crowd = Crowd {
            conduct,
            clients,
            address: site.address_of(place),
            target: target.to_owned(),
            host: HOST,
        };
        let size = site.press(crowd, seed).await;
        let grown = size.peak_bytes.saturating_sub(before.peak_bytes);
        let found = format!(
            "{conduct:?}: {grown} bytes more, {} descriptors",
            size.descriptors
        );
        println!("{place:?}: {found}");
        let is_within =
            grown <= BUDGET_BYTES + ALLOWANCE_BYTES && size.descriptors <= MACHINE_MAX_FDS as usize;
        faults.extend((!is_within).then_some(found));
    }
    assert_eq!(site.daemon.own_ends(), Vec::<String>::new());
    assert!(
        faults.is_empty(),
        "{place:?}: beyond the limits: {faults:#?}"
    );
}

/// Guards against limits that clients within the documented ones meet: on the smallest entry VM, 64
/// connections at once send jobs of the largest body with headers of 16,384 bytes, and some send
/// their headers slowly. All of them are answered, and none with a refusal for a limit.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn clients_within_the_limits_meet_none() {
    let _processes = PROCESSES.lock().await;
    let site = Site::open_on("legal", SMALLEST_MEMORY_MB, SMALLEST_MAX_FDS).await;
    let mut clients = JoinSet::new();
    for index in 0..LEGAL_CLIENTS {
        let address = site.daemon.front();
        clients.spawn(async move { send_legal(address, HOST, index).await.unwrap() });
    }
    for status in clients.join_all().await {
        assert_eq!(status, 200);
    }
}

/// Returns a configuration with the largest bodies that clients may send by default.
fn config() -> String {
    let name = JobClass::Listen.queue();
    let route = json!({
        "name": name, "host": HOST, "pathPrefix": format!("/{name}/"),
        "kind": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 2000,
        "priority": 0, "service": SERVICE, "maxAttempts": 4, "stretch": 2.0
    });
    json!({"version": 1, "routes": [route], "services": [{"name": SERVICE}],
        "limits": {"maxBodyBytes": 262_144}})
    .to_string()
}

fn fleet_settings() -> FleetSettings {
    FleetSettings {
        seed: 1,
        count: 12,
        limits: SiteLimits::default(),
        guards_capacity: false,
        delivers_to_next_life: false,
        serves_backlog: false,
        forgetting: EndForgetting::AtArrival,
    }
}
