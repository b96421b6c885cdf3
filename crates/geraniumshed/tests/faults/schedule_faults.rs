//! Faults of owners, workers and the log while batch tasks run.

use std::time::{Duration, Instant};

use futures::future::join_all;
use geraniumshed_model::prelude::{VmId, VmPhase};
use geraniumshed_standin::StandinSettings;
use geraniumshed_standin::proxy::{ProxyMode, ProxyPlan};
use geraniumshed_standin::set::{FaultCommand, LogFault, WorkerSettings};
use geraniumshed_standin::truth::{PlacementEnd, PlacementRecord, TruthRecord};
use geraniumshed_standin::worker::WorkerSwitch;
use nix::sys::signal::Signal;
use rstest::rstest;
use serde_json::Value;
use tokio::time::sleep;

use crate::harness::{
    BOOKING, Cluster, ClusterPlan, Load, LoadPlan, TEAM, completed, is_of, job, within,
};

/// Long enough for every task of a test to be placed, run and reported, with takeovers.
const PATIENCE: Duration = Duration::from_secs(45);

/// The time within which another daemon takes a dead owner's shards over.
const TAKEOVER_LIMIT: Duration = Duration::from_secs(5);

/// Leases and bounds so short that a test sees them pass.
const SHORT_LEASES: [(&str, &str); 4] = [
    ("scheduler", "lease: 6s"),
    ("scheduler", "renewal: 2s"),
    ("scheduler", "list_lag: 3s"),
    ("scheduler", "drift_margin: 1s"),
];

fn short_plan() -> ClusterPlan {
    ClusterPlan {
        settings: SHORT_LEASES.to_vec(),
        ..ClusterPlan::default()
    }
}

async fn open_cluster() -> Cluster {
    let cluster = Cluster::open(short_plan()).await;
    cluster.publish(0, TEAM).await;
    cluster
}

fn running_vm(record: &TruthRecord, name: &str) -> Option<VmId> {
    let mut running = record.placements.iter().filter(|p| is_of(&p.task, name));
    let placement = running.find(|p| p.end.is_none())?;
    Some(placement.vm.parse().unwrap())
}

fn attempts(record: &TruthRecord, name: &str) -> usize {
    record
        .placements
        .iter()
        .filter(|p| is_of(&p.task, name))
        .count()
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OwnerFault {
    Killed,
    Restarted,
    PausedAndWoken,
    CutFromPeers,
    CutFromLog,
}

#[rstest]
#[case::killed(OwnerFault::Killed)]
#[case::restarted(OwnerFault::Restarted)]
#[case::paused_and_woken(OwnerFault::PausedAndWoken)]
#[case::cut_from_peers(OwnerFault::CutFromPeers)]
#[case::cut_from_log(OwnerFault::CutFromLog)]
#[tokio::test(flavor = "multi_thread")]
async fn a_failed_owner_neither_loses_nor_doubles_tasks(#[case] fault: OwnerFault) {
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
        OwnerFault::PausedAndWoken => cluster.daemons[1].process.signal(Signal::SIGSTOP),
        OwnerFault::CutFromPeers => cluster.daemons[1].peers.set_plan(silent),
        OwnerFault::CutFromLog => cluster.daemons[1].log.set_plan(silent),
    }
    // A job that needs every shard shows that all have an owner that acts.
    let started = Instant::now();
    cluster
        .publish(0, &job("rebuild", 12, "simulate run=200ms", false))
        .await;
    cluster.await_completed("rebuild", 12, PATIENCE).await;
    println!("{fault:?}: all shards act after {:?}", started.elapsed());
    // Longer than a lease, so that a paused owner wakes after it has lapsed.
    sleep(Duration::from_secs(8).saturating_sub(started.elapsed())).await;
    match fault {
        OwnerFault::Killed | OwnerFault::Restarted => {}
        OwnerFault::PausedAndWoken => cluster.daemons[1].process.signal(Signal::SIGCONT),
        OwnerFault::CutFromPeers => cluster.daemons[1].peers.set_plan(ProxyPlan::default()),
        OwnerFault::CutFromLog => cluster.daemons[1].log.set_plan(ProxyPlan::default()),
    }
    cluster.await_completed("regrade", 12, PATIENCE).await;
    sleep(Duration::from_secs(2)).await;
    cluster.assert_record_held(true);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_owner_is_replaced_within_five_seconds() {
    let mut cluster = open_cluster().await;
    cluster
        .publish(0, &job("warm-up", 12, "simulate run=50ms", false))
        .await;
    cluster.await_completed("warm-up", 12, PATIENCE).await;
    cluster.daemons[2].process.kill();
    cluster
        .publish(0, &job("urgent", 12, "simulate run=10ms", false))
        .await;
    cluster
        .await_completed("urgent", 12, TAKEOVER_LIMIT + Duration::from_secs(1))
        .await;
    cluster.assert_record_held(true);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_start_whose_answer_is_lost_runs_once() {
    let cluster = open_cluster().await;
    for _ in 0..4 {
        for vm in cluster.set.worker_ids() {
            let switch = WorkerSwitch::LoseAnswer;
            cluster.set.worker(vm).unwrap().switch(switch);
        }
        sleep(Duration::from_millis(50)).await;
    }
    cluster
        .publish(0, &job("regrade", 18, "simulate run=300ms", false))
        .await;
    cluster.await_completed("regrade", 18, PATIENCE).await;
    cluster.assert_record_held(true);
    assert_eq!(attempts(&cluster.set.ledger().snapshot(), "regrade"), 18);
}

#[rstest]
#[case::killed(WorkerSwitch::Kill)]
#[case::rebooted(WorkerSwitch::Reboot)]
#[tokio::test(flavor = "multi_thread")]
async fn a_dead_worker_runs_idempotent_tasks_again_and_others_never(#[case] switch: WorkerSwitch) {
    let cluster = open_cluster().await;
    cluster
        .publish(0, &job("archive", 6, "simulate run=3s", true))
        .await;
    cluster
        .publish(0, &job("regrade", 6, "simulate run=3s", false))
        .await;
    cluster.await_running("archive", 6).await;
    cluster.await_running("regrade", 6).await;
    let vm = running_vm(&cluster.set.ledger().snapshot(), "regrade").unwrap();
    match switch {
        WorkerSwitch::Kill => cluster.set.kill_worker(&vm).unwrap(),
        _ => cluster.set.worker(&vm).unwrap().switch(switch),
    }
    cluster.await_completed("archive", 6, PATIENCE).await;
    let record = cluster.set.ledger().snapshot();
    let lost = record
        .placements
        .iter()
        .filter(|p| is_of(&p.task, "regrade"));
    let lost = lost
        .filter(|p| p.outcome == Some(PlacementEnd::Killed))
        .count();
    assert!(lost > 0, "no regrade ran on the worker");
    cluster.await_completed("regrade", 6 - lost, PATIENCE).await;
    within(PATIENCE, "operators see the unknown tasks", async || {
        let tasks = cluster.open_tasks().await;
        let unknown = tasks.iter().filter(|task| task["state"] == "unknown");
        (unknown.count() == lost).then_some(())
    })
    .await;
    cluster.assert_record_held(false);
    assert_eq!(attempts(&cluster.set.ledger().snapshot(), "regrade"), 6);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_partitioned_worker_keeps_its_tasks_to_itself() {
    let cluster = open_cluster().await;
    cluster
        .publish(0, &job("archive", 12, "simulate run=5s", true))
        .await;
    cluster.await_running("archive", 12).await;
    let vm = running_vm(&cluster.set.ledger().snapshot(), "archive").unwrap();
    cluster
        .set
        .worker(&vm)
        .unwrap()
        .switch(WorkerSwitch::Partition);
    sleep(Duration::from_secs(12)).await;
    cluster.assert_record_held(false);
    cluster.set.worker(&vm).unwrap().switch(WorkerSwitch::Heal);
    cluster.await_completed("archive", 12, PATIENCE).await;
    cluster.assert_record_held(true);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_log_outage_with_the_death_of_an_owner_inside_loses_and_doubles_nothing() {
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
    cluster.assert_record_held(false);
    let record = cluster.set.ledger().snapshot();
    assert_eq!(
        attempts(&record, "regrade"),
        12,
        "something started without the log"
    );
    cluster.switch(&FaultCommand::Log(LogFault::default()));
    cluster.daemons[1].restart();
    cluster.await_completed("regrade", 12, PATIENCE).await;
    cluster
        .publish(0, &job("after", 12, "simulate run=100ms", false))
        .await;
    cluster.await_completed("after", 12, PATIENCE).await;
    cluster.assert_record_held(true);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_of_the_log_double_nothing() {
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
    cluster.await_completed("regrade", 12, PATIENCE).await;
    sleep(Duration::from_secs(1)).await;
    cluster.assert_record_held(true);
    assert_eq!(completed(&cluster.set.ledger().snapshot(), "regrade"), 12);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_replacement_of_every_daemon_under_load_cuts_nothing() {
    let mut cluster = open_cluster().await;
    cluster
        .publish(0, BOOKING.split_once("---\n").unwrap().1)
        .await;
    cluster.await_service("booking").await;
    cluster
        .publish(0, &job("regrade", 12, "simulate run=6s", false))
        .await;
    cluster.await_running("regrade", 12).await;
    let plan = LoadPlan::of("booking");
    let load = Load::spawn(cluster.caller.clone(), cluster.callers(), plan);
    for index in 0..cluster.daemons.len() {
        cluster.daemons[index].process.signal(Signal::SIGTERM);
        let limit = Duration::from_secs(30);
        let status = cluster.daemons[index].process.ended(limit).await;
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
    cluster.await_completed("regrade", 12, PATIENCE).await;
    cluster.assert_held(&replies);
    cluster.assert_record_held(true);
}

#[tokio::test(flavor = "multi_thread")]
async fn all_daemons_start_again_from_the_log_alone() {
    let mut cluster = open_cluster().await;
    cluster
        .publish(0, BOOKING.split_once("---\n").unwrap().1)
        .await;
    cluster.await_service("booking").await;
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
    cluster.await_completed("regrade", 12, PATIENCE).await;
    cluster.assert_record_held(true);
    let record = cluster.set.ledger().snapshot();
    assert_eq!(
        attempts(&record, "booking"),
        3,
        "replicas were started anew"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drained_vm_gives_its_tasks_away_with_their_checkpoints() {
    let cluster = open_cluster().await;
    cluster
        .publish(0, BOOKING.split_once("---\n").unwrap().1)
        .await;
    cluster.await_service("booking").await;
    cluster
        .publish(0, &job("regrade", 12, "simulate run=6s", false))
        .await;
    cluster.await_running("regrade", 12).await;
    let plan = LoadPlan::of("booking");
    let load = Load::spawn(cluster.caller.clone(), cluster.callers(), plan);
    let vm = running_vm(&cluster.set.ledger().snapshot(), "regrade").unwrap();
    let drain = format!("schema: 2\nkind: drain\nname: maintenance\nspec: {{vm: {vm}}}\n");
    cluster.publish(1, &drain).await;
    cluster
        .await_record("the VM is empty", PATIENCE, |record| {
            let on_vm = record.placements.iter().filter(|p| p.vm == vm.as_str());
            on_vm.filter(|p| p.end.is_none()).count() == 0
        })
        .await;
    cluster.await_completed("regrade", 12, PATIENCE).await;
    let replies = load.stop().await;
    cluster.assert_held(&replies);
    cluster.assert_record_held(true);
    let record = cluster.set.ledger().snapshot();
    let stopped = record
        .placements
        .iter()
        .filter(|p| is_of(&p.task, "regrade"));
    let stopped = stopped.filter(|p| matches!(p.outcome, Some(PlacementEnd::Stopped { .. })));
    assert!(stopped.count() > 0, "nothing was moved");
}

#[tokio::test(flavor = "multi_thread")]
async fn of_racing_operators_one_wins_and_the_others_are_told() {
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
    cluster.assert_record_held(true);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_worker_that_fails_everything_and_a_job_that_fits_nowhere_stop_nobody() {
    let standins = StandinSettings {
        proxied: true,
        interference: false,
        workers: WorkerSettings {
            count: 4,
            ..WorkerSettings::default()
        },
        ..StandinSettings::default()
    };
    let plan = ClusterPlan {
        standins,
        ..short_plan()
    };
    let cluster = Cluster::open(plan).await;
    cluster.publish(0, TEAM).await;
    let vm: VmId = "worker-0".parse().unwrap();
    cluster
        .set
        .worker(&vm)
        .unwrap()
        .switch(WorkerSwitch::FailEverything);
    let huge = job("huge", 1, "simulate run=1s", false);
    cluster
        .publish(0, &huge.replace("processors: 1", "processors: 300"))
        .await;
    for index in 0..6 {
        let record = job(&format!("archive-{index}"), 4, "simulate run=100ms", true);
        cluster.publish(index % 3, &record).await;
    }
    for index in 0..6 {
        cluster
            .await_completed(&format!("archive-{index}"), 4, PATIENCE)
            .await;
    }
    cluster.assert_record_held(true);
    within(
        PATIENCE,
        "operators see that the job fits nowhere",
        async || {
            let tasks = cluster.open_tasks().await;
            let mut huge = tasks.iter().filter(|task| {
                task["task"]
                    .as_str()
                    .is_some_and(|t| t.starts_with("huge/"))
            });
            huge.any(|task| task["state"] == "infeasible").then_some(())
        },
    )
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_vm_that_the_list_shows_as_leaving_gets_nothing_new_after_seconds() {
    let cluster = open_cluster().await;
    cluster
        .publish(0, BOOKING.split_once("---\n").unwrap().1)
        .await;
    cluster.await_service("booking").await;
    cluster.await_replicas("booking", 3).await;
    let plan = LoadPlan::of("booking");
    let load = Load::spawn(cluster.caller.clone(), cluster.callers(), plan);
    let vm = running_vm(&cluster.set.ledger().snapshot(), "booking").unwrap();
    sleep(Duration::from_secs(1)).await;
    cluster.set.set_phase(&vm, VmPhase::Leaving).unwrap();
    sleep(Duration::from_secs(8)).await;
    let replies = load.stop().await;
    let unserved = replies.iter().find(|timed| !timed.reply.is_served());
    assert!(unserved.is_none(), "{unserved:?}");
    cluster.assert_held(&replies);
    let record = cluster.set.ledger().snapshot();
    assert!(
        record.executions.iter().any(|run| run.vm == vm.as_str()),
        "nothing ran there"
    );
}

/// Returns the index of an availability zone in which tasks of a record run.
fn busy_zone(cluster: &Cluster, name: &str) -> usize {
    let vm = running_vm(&cluster.set.ledger().snapshot(), name).unwrap();
    let workers = cluster.set.status().workers;
    let worker = workers.iter().find(|worker| worker.vm == vm.as_str());
    let zones = &cluster.set.settings().zones;
    let zone = worker.unwrap().zone.clone();
    zones
        .iter()
        .position(|each| each.name.as_str() == zone)
        .unwrap()
}

/// Returns the workers of an availability zone.
fn workers_in(cluster: &Cluster, zone: usize) -> Vec<VmId> {
    let zone = cluster.set.settings().zones[zone].name.as_str();
    let workers = cluster.set.status().workers;
    let of_zone = workers.iter().filter(|worker| worker.zone == zone);
    of_zone.map(|worker| worker.vm.parse().unwrap()).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_rack_costs_neither_bookings_nor_idempotent_tasks() {
    let cluster = open_cluster().await;
    cluster
        .publish(0, BOOKING.split_once("---\n").unwrap().1)
        .await;
    cluster
        .publish(0, &job("archive", 12, "simulate run=2s", true))
        .await;
    cluster.await_service("booking").await;
    cluster.await_replicas("booking", 3).await;
    cluster.await_running("archive", 12).await;
    // All workers of a zone stand in one rack.
    for vm in workers_in(&cluster, busy_zone(&cluster, "archive")) {
        cluster.set.kill_worker(&vm).unwrap();
    }
    let record = cluster.set.ledger().snapshot();
    let killed = |p: &PlacementRecord| p.outcome == Some(PlacementEnd::Killed);
    assert!(
        record.placements.iter().any(killed),
        "nothing ran in the rack"
    );
    sleep(Duration::from_secs(2)).await;
    let plan = LoadPlan::of("booking");
    let load = Load::spawn(cluster.caller.clone(), cluster.callers(), plan);
    cluster.await_completed("archive", 12, PATIENCE).await;
    let replies = load.stop().await;
    let unserved = replies.iter().find(|timed| !timed.reply.is_served());
    assert!(unserved.is_none(), "{unserved:?}");
    cluster.assert_held(&replies);
    cluster.await_replicas("booking", 3).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_zone_that_is_cut_off_and_comes_back_doubles_nothing_and_reverts_nothing() {
    let cluster = open_cluster().await;
    cluster
        .publish(0, &job("archive", 12, "simulate run=3s", true))
        .await;
    cluster.await_running("archive", 12).await;
    let zone = busy_zone(&cluster, "archive");
    let other = (zone + 1) % cluster.daemons.len();
    let silent = ProxyPlan {
        mode: ProxyMode::Silent,
        ..ProxyPlan::default()
    };
    let set_zone = |plan: ProxyPlan, switch: WorkerSwitch| {
        let daemon = &cluster.daemons[zone];
        for proxy in [&daemon.peers, &daemon.log, &daemon.vm_list] {
            proxy.set_plan(plan);
        }
        for vm in workers_in(&cluster, zone) {
            cluster.set.worker(&vm).unwrap().switch(switch);
        }
    };
    set_zone(silent, WorkerSwitch::Partition);
    // The cut lasts longer than a lease.
    sleep(Duration::from_secs(8)).await;
    cluster
        .publish(other, &job("rebuild", 4, "simulate run=100ms", false))
        .await;
    cluster.assert_record_held(false);
    set_zone(ProxyPlan::default(), WorkerSwitch::Heal);
    cluster.await_completed("archive", 12, PATIENCE).await;
    cluster.await_completed("rebuild", 4, PATIENCE).await;
    let record = job("rebuild", 4, "simulate run=100ms", false);
    let (status, answer) = cluster
        .try_publish(zone, &format!("{record}replaces: 0\n"))
        .await;
    assert_eq!(
        status, 409,
        "the daemon of the zone does not know the record: {answer}"
    );
    cluster.assert_record_held(true);
}
