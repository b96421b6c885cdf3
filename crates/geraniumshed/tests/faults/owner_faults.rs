//! Faults of shard owners, of the log and of their connections, while batch tasks run.

use std::time::{Duration, Instant};

use futures::future::join_all;
use geraniumshed_standin::proxy::{ProxyMode, ProxyPlan};
use geraniumshed_standin::set::{FaultCommand, LogFault};
use nix::sys::signal::Signal;
use rstest::rstest;
use serde_json::Value;
use tokio::time::sleep;

use crate::harness::{Load, LoadPlan, TASK_TIMEOUT, attempts, completed, job, open_cluster};

/// The time within which another daemon must take over the shards of a dead owner.
const TAKEOVER_LIMIT: Duration = Duration::from_secs(5);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OwnerFault {
    Killed,
    Restarted,
    PausedAndResumed,
    CutFromPeers,
    CutFromLog,
}

#[rstest]
#[case::killed(OwnerFault::Killed)]
#[case::restarted(OwnerFault::Restarted)]
#[case::paused_and_resumed(OwnerFault::PausedAndResumed)]
#[case::cut_from_peers(OwnerFault::CutFromPeers)]
#[case::cut_from_log(OwnerFault::CutFromLog)]
#[tokio::test(flavor = "multi_thread")]
async fn a_failed_owner_loses_no_task_and_repeats_none(#[case] fault: OwnerFault) {
    let mut cluster = open_cluster().await;
    cluster
        .publish(0, &job("regrade", 12, "simulate run=4s", false))
        .await;
    cluster.await_running("regrade", 12).await;
    let silent = ProxyPlan {
        mode: ProxyMode::Silent,
        ..ProxyPlan::default()
    };
    match fault {
        OwnerFault::Killed => cluster.daemons[1].process.kill(),
        OwnerFault::Restarted => {
            cluster.daemons[1].process.kill();
            cluster.daemons[1].restart();
        }
        OwnerFault::PausedAndResumed => cluster.daemons[1].process.signal(Signal::SIGSTOP),
        OwnerFault::CutFromPeers => cluster.daemons[1].peers.set_plan(silent),
        OwnerFault::CutFromLog => cluster.daemons[1].log.set_plan(silent),
    }
    // A job with tasks in every shard completes only if each shard has a working owner.
    let started = Instant::now();
    cluster
        .publish(0, &job("rebuild", 12, "simulate run=200ms", false))
        .await;
    cluster.await_completed("rebuild", 12, TASK_TIMEOUT).await;
    println!("{fault:?}: all shards act after {:?}", started.elapsed());
    // Longer than a lease, so that a paused owner resumes after its lease has expired.
    sleep(Duration::from_secs(8).saturating_sub(started.elapsed())).await;
    match fault {
        OwnerFault::Killed | OwnerFault::Restarted => {}
        OwnerFault::PausedAndResumed => cluster.daemons[1].process.signal(Signal::SIGCONT),
        OwnerFault::CutFromPeers => cluster.daemons[1].peers.set_plan(ProxyPlan::default()),
        OwnerFault::CutFromLog => cluster.daemons[1].log.set_plan(ProxyPlan::default()),
    }
    cluster.await_completed("regrade", 12, TASK_TIMEOUT).await;
    sleep(Duration::from_secs(2)).await;
    cluster.assert_ledger_promises_held(true);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_owner_is_replaced_within_five_seconds() {
    let mut cluster = open_cluster().await;
    cluster
        .publish(0, &job("warm-up", 12, "simulate run=50ms", false))
        .await;
    cluster.await_completed("warm-up", 12, TASK_TIMEOUT).await;
    cluster.daemons[2].process.kill();
    cluster
        .publish(0, &job("urgent", 12, "simulate run=10ms", false))
        .await;
    cluster
        .await_completed("urgent", 12, TAKEOVER_LIMIT + Duration::from_secs(1))
        .await;
    cluster.assert_ledger_promises_held(true);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_owner_killed_during_a_log_outage_loses_no_task_and_repeats_none() {
    let mut cluster = open_cluster().await;
    cluster
        .publish(0, &job("regrade", 12, "simulate run=8s", false))
        .await;
    cluster.await_running("regrade", 12).await;
    cluster.switch(&FaultCommand::Log(LogFault {
        down: true,
        ..LogFault::default()
    }));
    sleep(Duration::from_secs(1)).await;
    cluster.daemons[1].process.kill();
    let (status, _) = cluster
        .try_publish(0, &job("late", 2, "simulate run=100ms", false))
        .await;
    assert!(status >= 500, "published without a log: {status}");
    sleep(Duration::from_secs(14)).await;
    cluster.assert_ledger_promises_held(false);
    let record = cluster.set.recorder().snapshot();
    assert_eq!(
        attempts(&record, "regrade"),
        12,
        "something started without the log"
    );
    cluster.switch(&FaultCommand::Log(LogFault::default()));
    cluster.daemons[1].restart();
    cluster.await_completed("regrade", 12, TASK_TIMEOUT).await;
    cluster
        .publish(0, &job("after", 12, "simulate run=100ms", false))
        .await;
    cluster.await_completed("after", 12, TASK_TIMEOUT).await;
    cluster.assert_ledger_promises_held(true);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_of_the_log_repeat_no_task() {
    let cluster = open_cluster().await;
    let fault = LogFault {
        lose_all_answers: true,
        ..LogFault::default()
    };
    cluster.switch(&FaultCommand::Log(fault));
    let record = job("regrade", 12, "simulate run=300ms", false);
    let publish = cluster.try_publish(0, &record);
    drop(tokio::time::timeout(Duration::from_secs(10), publish).await);
    sleep(Duration::from_secs(4)).await;
    cluster.switch(&FaultCommand::Log(LogFault::default()));
    cluster.await_completed("regrade", 12, TASK_TIMEOUT).await;
    sleep(Duration::from_secs(1)).await;
    cluster.assert_ledger_promises_held(true);
    assert_eq!(completed(&cluster.set.recorder().snapshot(), "regrade"), 12);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_restart_of_all_daemons_fails_no_request() {
    let mut cluster = open_cluster().await;
    cluster.serve_bookings().await;
    cluster
        .publish(0, &job("regrade", 12, "simulate run=6s", false))
        .await;
    cluster.await_running("regrade", 12).await;
    let plan = LoadPlan::light("booking");
    let load = Load::spawn(cluster.caller.clone(), cluster.callers(), plan);
    for index in 0..cluster.daemons.len() {
        cluster.daemons[index].process.signal(Signal::SIGTERM);
        let limit = Duration::from_secs(30);
        let status = cluster.daemons[index].process.wait_exit(limit).await;
        assert!(status.success(), "{status}\n{}", cluster.last_lines());
        cluster.daemons[index].restart();
        cluster.await_healthy(index).await;
    }
    let replies = load.stop().await;
    let unserved = replies.iter().filter(|timed| !timed.reply.is_served());
    let unserved: Vec<_> = unserved.map(|timed| &timed.reply).collect();
    assert!(
        unserved.is_empty(),
        "{} of {}: {:?}",
        unserved.len(),
        replies.len(),
        unserved[0]
    );
    cluster.await_completed("regrade", 12, TASK_TIMEOUT).await;
    cluster.assert_promises_held(&replies);
    cluster.assert_ledger_promises_held(true);
}

#[tokio::test(flavor = "multi_thread")]
async fn all_daemons_recover_from_the_log() {
    let mut cluster = open_cluster().await;
    cluster.serve_bookings().await;
    cluster
        .publish(0, &job("regrade", 12, "simulate run=3s", false))
        .await;
    cluster.await_running("regrade", 12).await;
    for daemon in &mut cluster.daemons {
        daemon.process.kill();
    }
    sleep(Duration::from_secs(1)).await;
    for daemon in &mut cluster.daemons {
        daemon.restart();
    }
    cluster.await_service("booking").await;
    cluster.await_completed("regrade", 12, TASK_TIMEOUT).await;
    cluster.assert_ledger_promises_held(true);
    let record = cluster.set.recorder().snapshot();
    assert_eq!(
        attempts(&record, "booking"),
        3,
        "replicas were started again"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn of_concurrent_publishes_one_is_accepted_and_the_others_conflict() {
    let cluster = open_cluster().await;
    for round in 0..5 {
        let record = job(&format!("race-{round}"), 1, "simulate run=10ms", false);
        let publishes = (0..3).map(|daemon| {
            let record = format!("{record}replaces: 0\n");
            let cluster = &cluster;
            async move { cluster.try_publish(daemon, &record).await }
        });
        let answers = join_all(publishes).await;
        let won = answers.iter().filter(|(status, _)| *status < 300).count();
        let lost = answers.iter().filter(|(status, _)| *status == 409);
        let lost: Vec<&Value> = lost.map(|(_, answer)| answer).collect();
        assert_eq!((won, lost.len()), (1, 2), "{answers:?}");
    }
    cluster.assert_ledger_promises_held(true);
}
