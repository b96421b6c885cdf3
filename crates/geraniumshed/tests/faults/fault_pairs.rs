//! Pairs of simultaneous faults, chosen by seed, while bookings are retried with their keys.

use std::time::Duration;

use futures::future::join_all;
use geraniumshed_standin::endpoint::EndpointFault;
use geraniumshed_standin::proxy::ProxyPlan;
use geraniumshed_standin::seed::seeded_rng;
use geraniumshed_standin::set::{FaultCommand, LogFault, ProxyAction, ProxyTarget, VmListFault};
use nix::sys::signal::Signal;
use rand::seq::IndexedRandom;
use rstest::rstest;
use tokio::time::sleep;

use crate::harness::{Caller, CallerReply, Cluster, ClusterPlan, TEAM, within};

/// The number of idempotency keys.
const KEYS: usize = 60;

/// The number of times that each key is sent during the faults, each time to the next daemon.
const ROUNDS: usize = 3;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    DaemonKilled,
    DaemonPaused,
    EndpointSilent,
    EndpointCutBody,
    EndpointWrongRequest,
    ConnectionsFrozen,
    LogDown,
    LogAnswersLost,
    ListEmpty,
    NetworkLossy,
}

const FAULTS: [Fault; 10] = [
    Fault::DaemonKilled,
    Fault::DaemonPaused,
    Fault::EndpointSilent,
    Fault::EndpointCutBody,
    Fault::EndpointWrongRequest,
    Fault::ConnectionsFrozen,
    Fault::LogDown,
    Fault::LogAnswersLost,
    Fault::ListEmpty,
    Fault::NetworkLossy,
];

fn start_fault(cluster: &mut Cluster, fault: Fault) {
    let endpoint = |fault| FaultCommand::Endpoint {
        task: Some("booking/0/1".into()),
        fault,
    };
    match fault {
        Fault::DaemonKilled => cluster.daemons[1].process.kill(),
        Fault::DaemonPaused => cluster.daemons[2].process.signal(Signal::SIGSTOP),
        Fault::EndpointSilent => cluster.switch(&endpoint(EndpointFault::Silent)),
        Fault::EndpointCutBody => cluster.switch(&endpoint(EndpointFault::CutBody)),
        Fault::EndpointWrongRequest => cluster.switch(&endpoint(EndpointFault::WrongRequest)),
        Fault::ConnectionsFrozen => cluster.switch(&FaultCommand::Proxy {
            target: ProxyTarget::All,
            action: ProxyAction::Freeze,
        }),
        Fault::LogDown => cluster.switch(&FaultCommand::Log(LogFault {
            down: true,
            ..LogFault::default()
        })),
        Fault::LogAnswersLost => cluster.switch(&FaultCommand::Log(LogFault {
            lose_all_answers: true,
            ..LogFault::default()
        })),
        Fault::ListEmpty => cluster.switch(&FaultCommand::VmList(VmListFault {
            empty: true,
            ..VmListFault::default()
        })),
        Fault::NetworkLossy => cluster.switch(&FaultCommand::Proxy {
            target: ProxyTarget::All,
            action: ProxyAction::Plan(ProxyPlan {
                delay_us: 3_000,
                jitter_us: 5_000,
                loss: 0.05,
                ..ProxyPlan::default()
            }),
        }),
    }
}

fn end_fault(cluster: &mut Cluster, fault: Fault) {
    match fault {
        Fault::DaemonKilled => cluster.daemons[1].restart(),
        Fault::DaemonPaused => cluster.daemons[2].process.signal(Signal::SIGCONT),
        Fault::EndpointSilent | Fault::EndpointCutBody | Fault::EndpointWrongRequest => {
            cluster.switch(&FaultCommand::Endpoint {
                task: None,
                fault: EndpointFault::None,
            });
        }
        Fault::ConnectionsFrozen => {}
        Fault::LogDown | Fault::LogAnswersLost => {
            cluster.switch(&FaultCommand::Log(LogFault::default()));
        }
        Fault::ListEmpty => cluster.switch(&FaultCommand::VmList(VmListFault::default())),
        Fault::NetworkLossy => cluster.switch(&FaultCommand::Proxy {
            target: ProxyTarget::All,
            action: ProxyAction::Plan(ProxyPlan::default()),
        }),
    }
}

/// Sends a booking with each key, to daemons in turn, and returns the replies.
async fn send_all(cluster: &Cluster, keys: &[String], round: usize) -> Vec<CallerReply> {
    let daemons = cluster.callers();
    let posts = keys.iter().enumerate().map(|(index, key)| {
        let daemon = daemons[(index + round) % daemons.len()];
        let (caller, key) = (cluster.caller.clone(), key.clone());
        async move {
            // Spread over a second, so that the faults affect requests at every stage.
            sleep(Duration::from_millis(17 * index as u64)).await;
            caller
                .post(daemon, "booking", "serve=100ms", Some(&key))
                .await
        }
    });
    join_all(posts).await
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn two_simultaneous_faults_never_run_a_booking_twice(#[values(1, 2, 3, 4)] seed: u64) {
    let mut rng = seeded_rng(seed, &["fault pair"]);
    let pair: Vec<Fault> = FAULTS.sample(&mut rng, 2).copied().collect();
    println!("seed {seed}: {pair:?}");
    let mut cluster = Cluster::open(ClusterPlan::default()).await;
    cluster.publish(0, TEAM).await;
    cluster.serve_bookings().await;
    let mut keys: Vec<String> = (0..KEYS / 2).map(|_| Caller::next_id()).collect();
    for _ in 0..KEYS / 2 {
        keys.push(cluster.caller.ticket(cluster.daemons[0].callers).await);
    }
    let mut replies = Vec::new();
    for fault in &pair {
        start_fault(&mut cluster, *fault);
    }
    for round in 0..ROUNDS {
        replies.extend(send_all(&cluster, &keys, round).await);
    }
    for fault in &pair {
        end_fault(&mut cluster, *fault);
    }
    for daemon in cluster.callers() {
        within(
            Duration::from_secs(20),
            "bookings are served again",
            async || {
                let reply = cluster.caller.post(daemon, "booking", "", None).await;
                reply.is_served().then_some(())
            },
        )
        .await;
    }
    let last = send_all(&cluster, &keys, 0).await;
    for reply in &last {
        let runs = cluster.runs_of(reply.record.request.as_str());
        let told = reply.record.told.as_str();
        assert!(
            told != "not-run" || runs == 0,
            "{pair:?}: {reply:?} ran {runs} times"
        );
        assert!(
            told != "ran" || runs == 1,
            "{pair:?}: {reply:?} ran {runs} times"
        );
    }
    replies.extend(last);
    for key in &keys {
        let runs = cluster.runs_of(key);
        assert!(
            runs <= 1,
            "{pair:?}: {key} ran {runs} times\n{}",
            cluster.last_lines()
        );
    }
    let foreign = replies
        .iter()
        .find(|reply| reply.record.own_answer == Some(false));
    assert!(foreign.is_none(), "{pair:?}: {foreign:?}");
}
