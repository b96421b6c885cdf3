//! Crowds at the listeners of `geraniumshed run`.

use std::net::SocketAddr;
use std::time::Duration;

use nix::sys::resource::{Resource, getrlimit, setrlimit};
use rstest::rstest;
use tokio::time::sleep;

use crate::PROCESSES;
use crate::crowd::{Conduct, Crowd};
use crate::harness::{Cluster, ClusterPlan, OPERATOR_SECRET, TEAM, job, within};
use crate::process_size::{ProcessSize, reset_peak};

/// The memory for callers' unanswered requests in the test's settings, in bytes.
const BUDGET_BYTES: usize = 8_000_000;
/// The memory beside the budget that a crowd may cause: tasks, buffers of the HTTP library, answers,
/// and the allocator's reserve.
const ALLOWANCE_BYTES: usize = 16_000_000;
/// The descriptors that the process may have in the test.
const DESCRIPTORS: usize = 240;
/// The time for which a crowd keeps its connections open.
const CROWD_TIME: Duration = Duration::from_millis(2500);
/// The time after which a crowd has sent most of what it sends.
const CROWD_LEAD: Duration = Duration::from_millis(700);
/// The interval at which the process's size is read.
const WATCH_INTERVAL: Duration = Duration::from_millis(50);
/// The longest time that a test waits for a job. It is far longer than any job takes.
const JOB_LIMIT: Duration = Duration::from_secs(40);

/// The crowds, with the number of clients of each.
const CROWDS: [(Conduct, usize); 10] = [
    (Conduct::StopsShort, 96),
    (Conduct::SmallChunks, 32),
    (Conduct::SmallWrites, 32),
    (Conduct::HugeDeclared, 16),
    (Conduct::HugeChunked, 16),
    (Conduct::ManyHeaders, 48),
    (Conduct::ManyParameters, 48),
    (Conduct::Pipelined, 64),
    (Conduct::SlowSender, 64),
    (Conduct::Silent, 260),
];

/// Guards against a daemon that runs out of memory or descriptors, or stops serving, because of
/// clients that send much and don't finish, or don't read.
#[rstest]
#[case::service(false, "POST /services/booking/ID")]
#[case::no_route(false, "POST /nothing/ID")]
#[case::health(false, "GET /health")]
#[case::metrics(true, "GET /operator/metrics")]
#[case::records(true, "POST /operator/records")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowds_leave_the_daemon_within_its_machine(
    #[case] is_operator: bool,
    #[case] target: &str,
) {
    let _processes = PROCESSES.lock().await;
    // Set before the daemon starts, which inherits it, and derives its limit of connections from it.
    let own = DescriptorLimit::lower(DESCRIPTORS);
    let plan = ClusterPlan {
        daemons: 1,
        settings: vec![
            ("callers", "request_total: 8MB"),
            ("callers", "buffer_total: 8MB"),
            ("callers", "body_limit: 262144B"),
        ],
        ..ClusterPlan::default()
    };
    let cluster = Cluster::open(plan).await;
    drop(own);
    cluster.publish(0, TEAM).await;
    cluster.serve_bookings().await;
    let daemon = &cluster.daemons[0];
    let pid = daemon.process.id();
    let address: SocketAddr = if is_operator {
        daemon.operators
    } else {
        daemon.callers
    };
    let before = ProcessSize::read(pid);
    println!("{target}: {before:?}");
    let mut faults = Vec::new();
    for (number, (conduct, clients)) in (0..).zip(CROWDS) {
        reset_peak(pid);
        let crowd = Crowd {
            conduct,
            clients,
            address,
            target: target.to_owned(),
            host: "bookings.example",
        };
        let pressing = tokio::spawn(crowd.press(CROWD_TIME));
        sleep(CROWD_LEAD).await;
        let name = format!("job-{number}");
        let working = async {
            publish_patiently(&cluster, &job(&name, 1, "simulate run=100ms", true)).await;
            cluster.await_completed(&name, 1, JOB_LIMIT).await;
        };
        tokio::pin!(working);
        let (mut is_done, mut descriptors) = (false, 0);
        while !(is_done && pressing.is_finished()) {
            tokio::select! {
                () = &mut working, if !is_done => is_done = true,
                () = sleep(WATCH_INTERVAL) => {
                    descriptors = descriptors.max(ProcessSize::read(pid).descriptors);
                }
            }
        }
        cluster.await_service("booking").await;
        let size = ProcessSize::read(pid);
        let grown = size.peak_bytes.saturating_sub(before.peak_bytes);
        let found = format!("{conduct:?}: {grown} bytes more, {descriptors} descriptors");
        println!("{target}: {found}");
        let is_within = grown <= BUDGET_BYTES + ALLOWANCE_BYTES && descriptors < DESCRIPTORS;
        faults.extend((!is_within).then_some(found));
    }
    assert!(
        faults.is_empty(),
        "{target}: beyond the limits: {faults:#?}"
    );
}

/// Publishes a record. A crowd may keep single requests out, so it is tried until it is accepted.
async fn publish_patiently(cluster: &Cluster, record: &str) {
    within(JOB_LIMIT, "a job is accepted", async || {
        let url = format!("http://{}/operator/records", cluster.daemons[0].operators);
        let request = cluster.caller.client().post(url).body(record.to_owned());
        let request = request.bearer_auth(OPERATOR_SECRET);
        let response = request.timeout(Duration::from_secs(3)).send().await.ok()?;
        response.status().is_success().then_some(())
    })
    .await;
}

/// The limit of descriptors that new processes inherit; the former one is set again on drop.
struct DescriptorLimit(u64);

impl DescriptorLimit {
    fn lower(limit: usize) -> Self {
        let (former, most) = getrlimit(Resource::RLIMIT_NOFILE).unwrap();
        setrlimit(Resource::RLIMIT_NOFILE, limit as u64, most).unwrap();
        Self(former)
    }
}

impl Drop for DescriptorLimit {
    fn drop(&mut self) {
        let (_, most) = getrlimit(Resource::RLIMIT_NOFILE).unwrap();
        setrlimit(Resource::RLIMIT_NOFILE, self.0, most).unwrap();
    }
}
