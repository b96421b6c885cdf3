//! Faults of endpoints, daemons, connections and the platform, while callers send requests.

use std::time::{Duration, Instant};

use futures::future::join_all;
use geraniumshed_standin::endpoint::EndpointFault;
use geraniumshed_standin::proxy::ProxyPlan;
use geraniumshed_standin::set::{FaultCommand, LogFault, ProxyAction, ProxyTarget, VmListFault};
use nix::sys::signal::Signal;
use rstest::rstest;
use tokio::time::sleep;

use crate::harness::{
    Caller, CallerReply, Cluster, ClusterPlan, Load, LoadPlan, TEAM, TimedReply, within,
};

/// The time after which requests must be served again once all open connections are frozen.
const FREEZE_LIMIT: Duration = Duration::from_secs(2);

/// The duration of a fault, long enough to affect many requests.
const FAULT_TIME: Duration = Duration::from_millis(1500);

/// Opens a cluster that serves bookings.
async fn open_booking() -> Cluster {
    let cluster = Cluster::open(ClusterPlan::default()).await;
    cluster.publish(0, TEAM).await;
    cluster.serve_bookings().await;
    cluster
}

fn load(cluster: &Cluster) -> Load {
    Load::spawn(
        cluster.caller.clone(),
        cluster.callers(),
        LoadPlan::light("booking"),
    )
}

/// Fails the test unless every request was served.
fn assert_all_served(replies: &[TimedReply], what: &str) {
    let unserved = replies.iter().filter(|timed| !timed.reply.is_served());
    let unserved: Vec<_> = unserved.map(|timed| &timed.reply).collect();
    assert!(!replies.is_empty(), "{what}: nothing was sent");
    assert!(
        unserved.is_empty(),
        "{what}: {} of {} requests were not served, first {:?}",
        unserved.len(),
        replies.len(),
        unserved[0]
    );
}

/// Waits until a request at each daemon is served again.
async fn await_recovery(cluster: &Cluster, limit: Duration, what: &str) {
    for daemon in cluster.callers() {
        within(limit, what, async || {
            let reply = cluster.caller.post(daemon, "booking", "", None).await;
            reply.is_served().then_some(())
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn one_faulty_endpoint_of_three_breaks_no_promise_and_stops_no_service() {
    let cluster = open_booking().await;
    let faults = [
        EndpointFault::Refuse,
        EndpointFault::Silent,
        EndpointFault::Late { by_ms: 5_000 },
        EndpointFault::CutBody,
        EndpointFault::WrongRequest,
        EndpointFault::Slow { factor: 10 },
        EndpointFault::Flap { period_ms: 200 },
    ];
    for fault in faults {
        let load = load(&cluster);
        let task = Some("booking/0/0".into());
        cluster.switch(&FaultCommand::Endpoint {
            task: task.clone(),
            fault,
        });
        sleep(FAULT_TIME).await;
        cluster.switch(&FaultCommand::Endpoint {
            task,
            fault: EndpointFault::None,
        });
        let replies = load.stop().await;
        let served = replies
            .iter()
            .filter(|timed| timed.reply.is_served())
            .count();
        assert!(
            2 * served > replies.len(),
            "{fault:?}: {served} of {}",
            replies.len()
        );
        cluster.assert_promises_held(&replies);
        await_recovery(
            &cluster,
            Duration::from_secs(10),
            "bookings after the fault",
        )
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_served_two_seconds_after_all_connections_froze() {
    let cluster = open_booking().await;
    let load = load(&cluster);
    sleep(Duration::from_secs(1)).await;
    let frozen = Instant::now();
    cluster.switch(&FaultCommand::Proxy {
        target: ProxyTarget::All,
        action: ProxyAction::Freeze,
    });
    for daemon in &cluster.daemons {
        daemon.peers.freeze();
        daemon.log.freeze();
        daemon.vm_list.freeze();
    }
    sleep(FREEZE_LIMIT + Duration::from_secs(2)).await;
    let replies = load.stop().await;
    cluster.assert_promises_held(&replies);
    let late = replies
        .iter()
        .filter(|timed| timed.sent >= frozen + FREEZE_LIMIT);
    let late: Vec<TimedReply> = late.cloned().collect();
    assert_all_served(&late, "after the freeze");
}

#[tokio::test(flavor = "multi_thread")]
async fn delay_jitter_and_loss_between_zones_fail_no_request() {
    let cluster = open_booking().await;
    let plan = ProxyPlan {
        delay_us: 3_000,
        jitter_us: 2_000,
        loss: 0.01,
        ..ProxyPlan::default()
    };
    for daemon in &cluster.daemons {
        daemon.peers.set_plan(plan);
        daemon.log.set_plan(plan);
        daemon.vm_list.set_plan(plan);
    }
    cluster.switch(&FaultCommand::Proxy {
        target: ProxyTarget::All,
        action: ProxyAction::Plan(plan),
    });
    let load = load(&cluster);
    sleep(Duration::from_secs(3)).await;
    let replies = load.stop().await;
    assert_all_served(&replies, "over a lossy network");
    cluster.assert_promises_held(&replies);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_terminated_daemon_fails_no_request() {
    let mut cluster = open_booking().await;
    let load = load(&cluster);
    sleep(Duration::from_secs(1)).await;
    cluster.daemons[0].process.signal(Signal::SIGTERM);
    let status = cluster.daemons[0]
        .process
        .wait_exit(Duration::from_secs(30))
        .await;
    assert!(status.success(), "{status}\n{}", cluster.last_lines());
    sleep(Duration::from_secs(1)).await;
    let replies = load.stop().await;
    assert_all_served(&replies, "while a daemon stopped");
    cluster.assert_promises_held(&replies);
}

/// The kinds of idempotency keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum KeyKind {
    Ticket,
    CallerKey,
}

async fn new_key(cluster: &Cluster, kind: KeyKind) -> String {
    match kind {
        KeyKind::Ticket => cluster.caller.ticket(cluster.daemons[0].callers).await,
        KeyKind::CallerKey => Caller::next_id(),
    }
}

async fn post_keyed(cluster: &Cluster, daemon: usize, query: &str, key: &str) -> CallerReply {
    let address = cluster.daemons[daemon].callers;
    cluster
        .caller
        .post(address, "booking", query, Some(key))
        .await
}

#[rstest]
#[case::ticket(KeyKind::Ticket)]
#[case::caller_key(KeyKind::CallerKey)]
#[tokio::test(flavor = "multi_thread")]
async fn a_key_sent_to_all_daemons_a_hundred_times_at_once_runs_once(#[case] kind: KeyKind) {
    let cluster = open_booking().await;
    let key = new_key(&cluster, kind).await;
    let posts = (0..100).map(|index| post_keyed(&cluster, index % 3, "", &key));
    let replies = join_all(posts).await;
    assert_eq!(cluster.runs_of(&key), 1);
    for reply in &replies {
        assert!(reply.is_served(), "{reply:?}");
        assert_eq!(reply.record.own_answer, Some(true), "{reply:?}");
    }
}

#[rstest]
#[case::ticket_killed(KeyKind::Ticket, false)]
#[case::caller_key_killed(KeyKind::CallerKey, false)]
#[case::ticket_paused(KeyKind::Ticket, true)]
#[case::caller_key_paused(KeyKind::CallerKey, true)]
#[tokio::test(flavor = "multi_thread")]
async fn a_key_retried_after_its_daemon_failed_never_runs_twice(
    #[case] kind: KeyKind,
    #[case] paused: bool,
) {
    let mut cluster = open_booking().await;
    let mut keys = Vec::new();
    for _ in 0..24 {
        keys.push(new_key(&cluster, kind).await);
    }
    let address = cluster.daemons[0].callers;
    let first = keys.iter().map(|key| {
        let (caller, key) = (cluster.caller.clone(), key.clone());
        tokio::spawn(async move {
            let query = "serve=600ms";
            caller.post(address, "booking", query, Some(&key)).await
        })
    });
    let first: Vec<_> = first.collect();
    sleep(Duration::from_millis(300)).await;
    if paused {
        cluster.daemons[0].process.signal(Signal::SIGSTOP);
    } else {
        cluster.daemons[0].process.kill();
    }
    let again = keys
        .iter()
        .map(|key| post_keyed(&cluster, 1, "serve=600ms", key));
    let again = join_all(again).await;
    // Gives the keys' shards time to get a new owner, which must not run the requests again either.
    sleep(Duration::from_secs(6)).await;
    let later = keys
        .iter()
        .map(|key| post_keyed(&cluster, 2, "serve=600ms", key));
    let later = join_all(later).await;
    if paused {
        cluster.daemons[0].process.signal(Signal::SIGCONT);
    }
    sleep(Duration::from_secs(2)).await;
    for call in first {
        drop(call.await);
    }
    for (key, (again, later)) in keys.iter().zip(again.iter().zip(&later)) {
        let runs = cluster.runs_of(key);
        assert!(
            runs <= 1,
            "{key} ran {runs} times\n{}",
            cluster.last_lines()
        );
        let is_refused = later.record.told == "not-run";
        assert!(!is_refused || runs == 0, "{key} ran: {later:?}");
        for reply in [again, later] {
            if reply.is_served() {
                assert_eq!(
                    (reply.record.own_answer, runs),
                    (Some(true), 1),
                    "{reply:?}"
                );
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_ticket_of_a_restarted_issuer_is_unknown_and_runs_nothing() {
    let mut cluster = open_booking().await;
    let ticket = new_key(&cluster, KeyKind::Ticket).await;
    cluster.daemons[0].process.kill();
    cluster.daemons[0].restart();
    cluster.await_healthy(0).await;
    for daemon in 0..3 {
        let reply = post_keyed(&cluster, daemon, "", &ticket).await;
        assert_eq!(reply.record.told, "unknown", "{reply:?}");
        assert_eq!(reply.slug, "issuer-gone", "{reply:?}");
    }
    assert_eq!(cluster.runs_of(&ticket), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_retry_with_the_same_key_after_a_disconnect_gets_the_first_answer() {
    let cluster = open_booking().await;
    let keys: Vec<String> = (0..20).map(|_| Caller::next_id()).collect();
    let url = |key: &str| {
        let daemon = cluster.daemons[0].callers;
        format!("http://{daemon}/services/booking/book?id={key}&serve=400ms")
    };
    let cut = keys.iter().map(|key| {
        let request = cluster.caller.client().post(url(key));
        let request = request
            .header("Idempotency-Key", key)
            .body(format!("booking {key}"));
        request.timeout(Duration::from_millis(150)).send()
    });
    for answer in join_all(cut).await {
        assert!(answer.is_err_and(|error| error.is_timeout()));
    }
    for key in &keys {
        let reply = post_keyed(&cluster, 0, "serve=400ms", key).await;
        assert!(reply.is_served(), "{reply:?}");
        assert_eq!(reply.record.own_answer, Some(true), "{reply:?}");
        assert_eq!(cluster.runs_of(key), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_served_during_faults_of_the_platform() {
    let cluster = open_booking().await;
    let log = |fault| FaultCommand::Log(fault);
    let list = |fault| FaultCommand::VmList(fault);
    let faults = [
        (
            "the list is down",
            list(VmListFault {
                down: true,
                ..VmListFault::default()
            }),
        ),
        (
            "the list is empty",
            list(VmListFault {
                empty: true,
                ..VmListFault::default()
            }),
        ),
        (
            "the list lags",
            list(VmListFault {
                lag_ms: Some(10_000),
                ..VmListFault::default()
            }),
        ),
        (
            "the log is down",
            log(LogFault {
                down: true,
                ..LogFault::default()
            }),
        ),
        (
            "the log is slow",
            log(LogFault {
                delay_ms: 3_000,
                ..LogFault::default()
            }),
        ),
        (
            "answers are lost",
            log(LogFault {
                lose_all_answers: true,
                ..LogFault::default()
            }),
        ),
    ];
    for (what, fault) in faults {
        let load = load(&cluster);
        cluster.switch(&fault);
        sleep(Duration::from_secs(3)).await;
        cluster.switch(&list(VmListFault {
            lag_ms: Some(1_000),
            ..VmListFault::default()
        }));
        cluster.switch(&log(LogFault::default()));
        let replies = load.stop().await;
        assert_all_served(&replies, what);
        cluster.assert_promises_held(&replies);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_key_is_refused_while_the_log_is_down_and_runs_afterwards() {
    let cluster = open_booking().await;
    let down = LogFault {
        down: true,
        ..LogFault::default()
    };
    cluster.switch(&FaultCommand::Log(down));
    let key = Caller::next_id();
    let reply = post_keyed(&cluster, 1, "", &key).await;
    // Without the log, the daemon can't check whether an earlier request with this key ran.
    assert_eq!(
        (reply.status, reply.slug.as_str()),
        (503, "key-unchecked"),
        "{reply:?}"
    );
    assert_eq!(cluster.runs_of(&key), 0);
    let ticket = new_key(&cluster, KeyKind::Ticket).await;
    let reply = post_keyed(&cluster, 0, "", &ticket).await;
    assert!(reply.is_served(), "a ticket needs no log: {reply:?}");
    cluster.switch(&FaultCommand::Log(LogFault::default()));
    within(Duration::from_secs(10), "the key runs", async || {
        let reply = post_keyed(&cluster, 1, "", &key).await;
        reply.is_served().then_some(())
    })
    .await;
    assert_eq!(cluster.runs_of(&key), 1);
}
