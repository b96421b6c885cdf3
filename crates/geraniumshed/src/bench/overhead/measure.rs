//! Measures the latency that the daemon adds to a request, over TCP on loopback.
//!
//! The same open-loop load is sent to an endpoint directly and through a daemon. Latencies are
//! measured from the scheduled send time, so that a stalled sender does not hide latency.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use geraniumshed_core::state::{ConfigState, EndpointDirectory, VmTable};
use geraniumshed_daemon::clock::ProcessClock;
use geraniumshed_daemon::request::{EntryContext, EntryListener, EntrySettings};
use geraniumshed_model::prelude::{
    AttemptNumber, ConfigEvent, DaemonIncarnation, EndpointEntry, EndpointEvent, EndpointId,
    EndpointPhase, LogOffset, RecordBody, RecordGeneration, RecordKey, RecordKind, RecordSpec,
    ResourceSize, SchemaVersion, ServiceSpec, ShardId, ShardTerm, SlotCount, TaskId, TimeSpan,
    UrgencyClass,
};
use gumdrop::Options;
use hdrhistogram::Histogram;
use serde::Serialize;
use tokio::sync::watch;

use super::echo::EchoEndpoint;
use super::stubs::{NoPeers, UnavailableKeyLog};
use crate::output::ExitStatus;

/// The number of endpoints of the service.
const ENDPOINT_COUNT: u32 = 8;

/// The first part of a run, whose latencies are not recorded.
const WARM_UP: Duration = Duration::from_secs(1);

/// The options of `bench overhead`.
#[derive(Debug, Clone, Options)]
pub struct OverheadOptions {
    /// Whether to show the help.
    #[options(help = "show this help")]
    pub help: bool,
    /// The request rate, in requests per second.
    #[options(help = "requests per second", default = "2000")]
    pub rate: u32,
    /// The measured length of each run, in seconds.
    #[options(help = "measured seconds of each run", default = "8")]
    pub seconds: u64,
}

/// The outcomes and latencies of one path, direct or through a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct PathFigures {
    /// The number of requests answered with success.
    pub answered: u64,
    /// The number of requests that failed.
    pub failed: u64,
    /// The median latency, in microseconds.
    pub p50_us: u64,
    /// The 99th percentile of the latency, in microseconds.
    pub p99_us: u64,
    /// The 99.9th percentile of the latency, in microseconds.
    pub p999_us: u64,
}

/// Runs the command with the arguments after its name.
pub fn run_overhead(arguments: &[String]) -> ExitStatus {
    let options = match OverheadOptions::parse_args_default(arguments) {
        Ok(options) => options,
        Err(error) => {
            eprintln!("error: {error}\n\n{}", OverheadOptions::usage());
            return ExitStatus::Usage;
        }
    };
    if options.help {
        println!("{}", OverheadOptions::usage());
        return ExitStatus::Done;
    }
    match measure(&options) {
        Ok((direct, through)) => {
            print_figures("direct", &direct);
            print_figures("through the daemon", &through);
            let added = |get: fn(&PathFigures) -> u64| get(&through).saturating_sub(get(&direct));
            println!(
                "added: p50 {} us, p99 {} us, p99.9 {} us",
                added(|f| f.p50_us),
                added(|f| f.p99_us),
                added(|f| f.p999_us)
            );
            ExitStatus::Done
        }
        Err(error) => {
            eprintln!("error: {error}");
            ExitStatus::Failure
        }
    }
}

fn print_figures(name: &str, figures: &PathFigures) {
    println!(
        "{name:<20} answered {:>7} failed {:>4}  p50 {:>6} us  p99 {:>6} us  p99.9 {:>6} us",
        figures.answered, figures.failed, figures.p50_us, figures.p99_us, figures.p999_us
    );
}

/// Measures the direct path, then the path through a daemon.
///
/// # Errors
///
/// Returns an I/O error if a listener or the runtime can't be set up.
pub fn measure(options: &OverheadOptions) -> io::Result<(PathFigures, PathFigures)> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    // `reqwest` needs a crypto provider even for plain HTTP. Installing a second one fails
    // harmlessly.
    drop(rustls::crypto::ring::default_provider().install_default());
    runtime.block_on(async {
        let mut addresses = Vec::new();
        for _ in 0..ENDPOINT_COUNT {
            addresses.push(EchoEndpoint::spawn().await?);
        }
        let entry =
            EntryListener::bind(standalone_context(&addresses), EntrySettings::default()).await?;
        let direct = send_load(options, format!("http://{}/book", addresses[0])).await;
        let url = format!("http://{}/services/booking/book", entry.local_addr());
        let through = send_load(options, url).await;
        Ok((direct, through))
    })
}

/// Sends an open-loop load at even intervals, paced by a separate thread.
async fn send_load(options: &OverheadOptions, url: String) -> PathFigures {
    let client = reqwest::Client::builder()
        .no_proxy()
        .tls_certs_only([])
        .tcp_nodelay(true)
        .build()
        .expect("a client without certificates can always be set up");
    let histogram = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("valid bounds");
    let results = Arc::new(Mutex::new((histogram, 0_u64)));
    let handle = tokio::runtime::Handle::current();
    let shared = Arc::clone(&results);
    let (rate, seconds) = (options.rate, options.seconds);
    let pacer = std::thread::spawn(move || {
        let interval = Duration::from_secs(1) / rate;
        let begin = Instant::now();
        let length = WARM_UP + Duration::from_secs(seconds);
        let mut tasks = Vec::new();
        let mut at = Duration::ZERO;
        while at < length {
            std::thread::sleep((begin + at).saturating_duration_since(Instant::now()));
            let is_measured = at >= WARM_UP;
            let send = send_one(client.clone(), url.clone(), begin + at);
            let shared = Arc::clone(&shared);
            tasks.push(handle.spawn(async move {
                let latency = send.await;
                if is_measured {
                    record(&shared, latency);
                }
            }));
            at += interval;
        }
        tasks
    });
    let tasks = tokio::task::spawn_blocking(move || pacer.join())
        .await
        .expect("the pacer's waiter runs")
        .expect("the pacer does not panic");
    for task in tasks {
        drop(task.await);
    }
    let results = results.lock().expect("no recorder panics");
    figures(&results.0, results.1)
}

async fn send_one(client: reqwest::Client, url: String, scheduled: Instant) -> Option<Duration> {
    let response = client.post(url).body("call me back").send().await.ok()?;
    let is_ok = response.status().is_success();
    let body = response.bytes().await.ok()?;
    (is_ok && !body.is_empty()).then(|| scheduled.elapsed())
}

fn record(shared: &Mutex<(Histogram<u64>, u64)>, latency: Option<Duration>) {
    let mut results = shared.lock().expect("no recorder panics");
    match latency {
        Some(latency) => {
            let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
            results.0.saturating_record(micros);
        }
        None => results.1 += 1,
    }
}

fn figures(histogram: &Histogram<u64>, failed: u64) -> PathFigures {
    PathFigures {
        answered: histogram.len(),
        failed,
        p50_us: histogram.value_at_quantile(0.5),
        p99_us: histogram.value_at_quantile(0.99),
        p999_us: histogram.value_at_quantile(0.999),
    }
}

/// Returns the context of a daemon with one service and without peers or a log.
fn standalone_context(addresses: &[SocketAddr]) -> EntryContext<NoPeers, UnavailableKeyLog> {
    let (_, config) = watch::channel(Arc::new(one_service()));
    let (_, endpoints) = watch::channel(Arc::new(directory(addresses)));
    let (_, vms) = watch::channel(Arc::new(VmTable::default()));
    EntryContext {
        clock: ProcessClock::start(),
        seed: 1,
        own: "d0".parse().expect("a valid name"),
        zone: "a".parse().expect("a valid name"),
        incarnation: DaemonIncarnation(1),
        config,
        config_caught_up: watch::channel(true).1,
        endpoints,
        vms,
        forwarder: NoPeers,
        key_log: UnavailableKeyLog,
    }
}

fn one_service() -> ConfigState {
    let spec = ServiceSpec {
        team: "agents".parse().expect("a valid name"),
        replicas: ENDPOINT_COUNT,
        size: ResourceSize::default(),
        group: "booking".parse().expect("a valid name"),
        command: "echo".into(),
        slots: SlotCount(8),
        connections: 60,
        deadline: TimeSpan(Duration::from_secs(1)),
        latency_goal: TimeSpan(Duration::from_millis(250)),
        urgency: UrgencyClass::Normal,
        queue_limit: 1000,
        idempotent: false,
        listener: false,
    };
    let event = ConfigEvent::Publish {
        key: RecordKey {
            kind: RecordKind::Service,
            name: "booking".parse().expect("a valid name"),
        },
        schema: SchemaVersion::V2,
        replaces: RecordGeneration(0),
        body: RecordBody::Known(RecordSpec::Service(spec)),
    };
    let mut config = ConfigState::default();
    config.apply(LogOffset(0), &event);
    config
}

fn directory(addresses: &[SocketAddr]) -> EndpointDirectory {
    let entries = (0..)
        .zip(addresses)
        .map(|(index, address)| EndpointEntry {
            endpoint: EndpointId {
                task: TaskId {
                    record: "booking".parse().expect("a valid name"),
                    generation: RecordGeneration(0),
                    index,
                },
                attempt: AttemptNumber(1),
            },
            service: "booking".parse().expect("a valid name"),
            address: *address,
            vm: "w0".parse().expect("a valid name"),
            zone: "a".parse().expect("a valid name"),
            slots: SlotCount(8),
            connections: 60,
            phase: EndpointPhase::Ready,
        })
        .collect();
    let mut directory = EndpointDirectory::default();
    let shard = ShardId(0);
    directory.apply(ShardTerm(1), &EndpointEvent::Full { shard, entries });
    directory
}
