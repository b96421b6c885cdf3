//! Several daemons that claim shards and forward requests to each other over TCP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use geraniumshed_core::member::{OwnershipTiming, PeerTiming};
use geraniumshed_core::schedule::ShardMap;
use geraniumshed_core::state::VmTable;
use geraniumshed_daemon::clock::ProcessClock;
use geraniumshed_daemon::log::{LogContext, LogSettings};
use geraniumshed_daemon::ownership::{
    OwnershipContext, OwnershipHandle, ShardRunner, ShardSupervisor,
};
use geraniumshed_daemon::peer::{
    LocalState, PeerHeartbeat, PeerHub, PeerPool, PeerServer, PeerSettings, PooledForwarder,
};
use geraniumshed_daemon::request::{
    ForwardAnswer, ForwardError, ForwardRequest, ForwardService, HeaderPair, KeyOwner,
    PeerForwarder,
};
use geraniumshed_daemon::state::ConfigFeed;
use geraniumshed_model::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

use crate::fake_log::FakeLog;

const SHARDS: u16 = 8;

/// The time limit of each step of these tests.
const LIMIT: Duration = Duration::from_secs(20);

/// Answers requests with their own headers and body; `/silent` exceeds the time limit.
#[derive(Clone)]
struct EchoService;

impl ForwardService for EchoService {
    async fn serve(&self, request: ForwardRequest) -> ForwardAnswer {
        if request.target.as_str() == "/silent" {
            sleep(LIMIT).await;
        }
        ForwardAnswer {
            status: 200,
            headers: request.headers,
            body: request.body,
        }
    }
}

/// Counts the running shards.
struct CountingRunner {
    running: watch::Sender<usize>,
}

/// A running shard, which decrements the count on drop.
struct Running(watch::Sender<usize>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.send_modify(|count| *count -= 1);
    }
}

impl ShardRunner for CountingRunner {
    type Running = Running;

    fn start(&mut self, _: ShardId, _: ShardTerm) -> Running {
        self.running.send_modify(|count| *count += 1);
        Running(self.running.clone())
    }

    fn stop(&mut self, _: ShardId, running: Running) -> impl Future<Output = ()> + Send + 'static {
        drop(running);
        std::future::ready(())
    }
}

/// The components of a daemon that these tests need.
struct Daemon {
    hub: PeerHub,
    heartbeat: PeerHeartbeat,
    pool: PeerPool,
    context: Arc<LogContext<FakeLog>>,
    ownership: OwnershipHandle,
    forwarder: PooledForwarder,
    server: PeerServer,
    running: watch::Receiver<usize>,
    config: ConfigFeed,
    _supervisor: ShardSupervisor,
    _serving: watch::Sender<bool>,
    _vms: watch::Sender<Arc<VmTable>>,
}

fn settings() -> PeerSettings {
    PeerSettings {
        timing: PeerTiming {
            beat_interval: Duration::from_millis(100),
            suspect_after: Duration::from_millis(800),
        },
        ..PeerSettings::default()
    }
}

fn start(
    log: &FakeLog,
    listener: TcpListener,
    seeds: &[SocketAddr],
    number: u64,
    settings: &PeerSettings,
) -> Daemon {
    let clock = ProcessClock::start();
    let incarnation = DaemonIncarnation(number);
    let context = LogContext::open(log.clone(), incarnation, LogSettings::default(), clock);
    let config = ConfigFeed::spawn(&context, clock);
    let (serving, serving_view) = watch::channel(true);
    let mut table = VmTable::default();
    table.apply(clock.now(), Duration::ZERO, true, Vec::new());
    let (vms, vm_view) = watch::channel(Arc::new(table));
    let own = LocalState {
        identity: PeerIdentity {
            daemon: format!("d-{number}").parse().unwrap(),
            incarnation,
            region: "r".parse().unwrap(),
            zone: "z".parse().unwrap(),
            address: listener.local_addr().unwrap(),
        },
        seeds: seeds.to_vec(),
        config: config.view(),
        vms: vm_view,
        log: context.health(),
        serving: serving_view,
    };
    let hub = PeerHub::open(own, settings.timing, clock);
    let pool = PeerPool::open(settings.clone());
    let server = PeerServer::bind(listener, hub.clone(), EchoService, settings.clone()).unwrap();
    let heartbeat = PeerHeartbeat::spawn(hub.clone(), pool.clone(), settings);
    let own = OwnershipContext {
        hub: hub.clone(),
        map: ShardMap::new(SHARDS, vec!["r".parse().unwrap()]),
        timing: OwnershipTiming {
            settle_time: Duration::from_millis(500),
            yield_interval: Duration::from_millis(100),
            ..OwnershipTiming::default()
        },
    };
    let ownership = OwnershipHandle::spawn(&context, own);
    let (running_sender, running) = watch::channel(0);
    let runner = CountingRunner {
        running: running_sender,
    };
    Daemon {
        forwarder: PooledForwarder::open(hub.clone(), pool.clone(), ownership.view()),
        pool,
        context,
        _supervisor: ShardSupervisor::spawn(ownership.clone(), runner),
        hub,
        heartbeat,
        ownership,
        server,
        running,
        config,
        _serving: serving,
        _vms: vms,
    }
}

async fn start_all(log: &FakeLog, count: u64) -> Vec<Daemon> {
    start_all_with(log, count, &settings()).await
}

async fn start_all_with(log: &FakeLog, count: u64, settings: &PeerSettings) -> Vec<Daemon> {
    let mut listeners = Vec::new();
    for _ in 0..count {
        listeners.push(TcpListener::bind("127.0.0.1:0").await.unwrap());
    }
    let seeds: Vec<_> = listeners.iter().map(|l| l.local_addr().unwrap()).collect();
    let mut daemons = Vec::new();
    for (listener, number) in listeners.into_iter().zip(1..) {
        daemons.push(start(log, listener, &seeds, number, settings));
    }
    daemons
}

/// Waits until a daemon runs `count` shards.
async fn wait_running(daemon: &Daemon, count: usize) {
    let mut running = daemon.running.clone();
    let waited = timeout(LIMIT, running.wait_for(|running| *running == count)).await;
    let seen = *daemon.running.borrow();
    waited
        .unwrap_or_else(|_| panic!("runs {seen} shards instead of {count}"))
        .unwrap();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn shards_move_to_live_daemons_and_stop_before_a_daemon_leaves() {
    let log = FakeLog::default();
    let mut daemons = start_all(&log, 4).await;
    for daemon in &daemons {
        wait_running(daemon, 2).await;
    }

    drop(daemons.remove(0));
    let sum = async {
        while daemons.iter().map(|d| *d.running.borrow()).sum::<usize>() < usize::from(SHARDS) {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(LIMIT, sum).await.unwrap();

    let leaving = daemons.remove(0);
    timeout(LIMIT, leaving.ownership.leave()).await.unwrap();
    assert_eq!(*leaving.running.borrow(), 0);
    for daemon in &daemons {
        wait_running(daemon, 4).await;
    }
}

fn request(target: &str, remaining: Duration) -> ForwardRequest {
    ForwardRequest {
        incarnation: Some(DaemonIncarnation(2)),
        service: "booking".parse().unwrap(),
        method: "POST".into(),
        target: target.into(),
        headers: vec![HeaderPair {
            name: "traceparent".into(),
            value: Bytes::from_static(b"00-ff"),
        }],
        body: Bytes::from(vec![7; 1_000_000]),
        remaining: TimeSpan(remaining),
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_are_forwarded_unchanged() {
    let log = FakeLog::default();
    let mut daemons = start_all(&log, 2).await;
    wait_running(&daemons[0], 4).await;
    wait_running(&daemons[1], 4).await;
    let peer = daemons[0].forwarder.issuer(DaemonIncarnation(2)).unwrap();
    assert_eq!(peer, daemons[1].server.local_addr());
    // A daemon reads its peer's claims from the log a little later than the peer itself.
    let owners_seen = async {
        loop {
            let owners = (0..SHARDS).map(|shard| daemons[0].forwarder.owner(ShardId(shard)));
            let owners: Vec<_> = owners.collect();
            let own = owners.iter().filter(|o| matches!(o, KeyOwner::Own(_)));
            let of_peer = owners.iter().filter(|o| **o == KeyOwner::Peer(peer));
            if (own.count(), of_peer.count()) == (4, 4) {
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(LIMIT, owners_seen).await.unwrap();

    let answer = daemons[0]
        .forwarder
        .forward(peer, request("/", LIMIT))
        .await;
    let answer = answer.unwrap();
    assert_eq!((answer.status, answer.body.len()), (200, 1_000_000));
    assert_eq!(answer.headers, request("/", LIMIT).headers);

    let begin = Instant::now();
    let short = Duration::from_millis(200);
    let silent = daemons[0]
        .forwarder
        .forward(peer, request("/silent", short))
        .await;
    assert_eq!(silent, Err(ForwardError::Lost));
    assert!(begin.elapsed() < LIMIT);

    drop(daemons.remove(1));
    sleep(Duration::from_millis(50)).await;
    let gone = daemons[0]
        .forwarder
        .forward(peer, request("/", LIMIT))
        .await;
    assert_eq!(gone, Err(ForwardError::NotSent));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn daemons_know_when_a_change_is_in_force_everywhere() {
    let log = FakeLog::default();
    let daemons = start_all(&log, 3).await;
    for daemon in &daemons {
        let settled = async {
            while !daemon.hub.is_settled() || daemon.hub.live().len() < 2 {
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(LIMIT, settled).await.unwrap();
    }
    let key = RecordKey {
        kind: RecordKind::Stop,
        name: "a".parse().unwrap(),
    };
    let publisher = daemons[0].config.publisher();
    let body = RecordBody::Known(RecordSpec::Stop);
    publisher
        .publish(key, SchemaVersion::V2, RecordGeneration(0), body)
        .await
        .unwrap();
    let everywhere = async {
        while daemons[0].hub.applied_everywhere() < LogOffset(1) {
            daemons[0].heartbeat.send_to_all().await;
        }
    };
    timeout(LIMIT, everywhere).await.unwrap();
    for daemon in &daemons {
        assert_eq!(daemon.config.view().borrow().applied(), LogOffset(1));
    }
}

/// Prints the traffic of 24 idle daemons; run with `--ignored --no-capture`.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
#[ignore = "measures"]
async fn measure_idle_traffic() {
    const SECONDS: u64 = 20;
    let log = FakeLog::default();
    let daemons = start_all_with(&log, 24, &PeerSettings::default()).await;
    sleep(Duration::from_secs(10)).await;
    let snapshot = || -> Vec<_> {
        daemons
            .iter()
            .map(|daemon| {
                let sent = daemon.pool.traffic().0;
                let served = daemon.server.traffic();
                let usage = daemon.context.usage();
                let bytes = sent.written + sent.read + served.written + served.read;
                (bytes, usage.appends, usage.reads)
            })
            .collect()
    };
    let before = snapshot();
    sleep(Duration::from_secs(SECONDS)).await;
    let rate = |count: u64| count as f64 / SECONDS as f64;
    let rates: Vec<_> = before
        .iter()
        .zip(snapshot())
        .map(|(before, after)| {
            let bytes = rate(after.0 - before.0);
            (bytes, rate(after.1 - before.1), rate(after.2 - before.2))
        })
        .collect();
    let most = rates.iter().map(|rate| rate.0).fold(0.0, f64::max);
    let mean = rates.iter().map(|rate| rate.0).sum::<f64>() / rates.len() as f64;
    println!("peer bytes a second, both ways: mean {mean:.0}, most {most:.0}");
    let appends: f64 = rates.iter().map(|rate| rate.1).sum();
    let reads: f64 = rates.iter().map(|rate| rate.2).sum();
    println!("all 24 daemons: {appends:.2} appends and {reads:.2} reads a second");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_bytes_close_only_their_own_connection() {
    let log = FakeLog::default();
    let daemons = start_all(&log, 2).await;
    let address = daemons[1].server.local_addr();
    let frame = [&[0, 0, 0, 8][..], &[0xff; 8]].concat();
    let too_large = [0xff; 64].to_vec();
    for bytes in [frame, too_large, b"GET / HTTP/1.1\r\n\r\n".to_vec()] {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(&bytes).await.unwrap();
        let mut answer = Vec::new();
        let closed = timeout(LIMIT, stream.read_to_end(&mut answer)).await;
        // A reset closes the connection as well.
        drop(closed.expect("the connection was not closed"));
        assert!(answer.is_empty(), "{answer:?}");
    }
    let answer = daemons[0]
        .forwarder
        .forward(address, request("/", LIMIT))
        .await;
    assert_eq!(answer.unwrap().status, 200);
}
