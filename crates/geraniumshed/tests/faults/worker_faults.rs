//! Faults of workers, racks and availability zones, while batch tasks run.

use std::time::Duration;

use geraniumshed_model::prelude::{VmId, VmPhase};
use geraniumshed_standin::StandinSettings;
use geraniumshed_standin::history::{PlacementEnd, PlacementRecord};
use geraniumshed_standin::proxy::{ProxyMode, ProxyPlan};
use geraniumshed_standin::set::WorkerSettings;
use geraniumshed_standin::worker::WorkerSwitch;
use rstest::rstest;
use tokio::time::sleep;

use crate::harness::{
    Cluster, ClusterPlan, Load, LoadPlan, TASK_TIMEOUT, TEAM, attempts, belongs_to, busy_zone, job,
    open_cluster, running_vm, short_lease_plan, within, workers_in,
};

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
    cluster.await_completed("regrade", 18, TASK_TIMEOUT).await;
    cluster.assert_ledger_promises_held(true);
    assert_eq!(attempts(&cluster.set.recorder().snapshot(), "regrade"), 18);
}

#[rstest]
#[case::killed(WorkerSwitch::Kill)]
#[case::rebooted(WorkerSwitch::Reboot)]
#[tokio::test(flavor = "multi_thread")]
async fn after_a_worker_dies_only_idempotent_tasks_run_again(#[case] switch: WorkerSwitch) {
    let cluster = open_cluster().await;
    cluster
        .publish(0, &job("archive", 6, "simulate run=3s", true))
        .await;
    cluster
        .publish(0, &job("regrade", 6, "simulate run=3s", false))
        .await;
    cluster.await_running("archive", 6).await;
    cluster.await_running("regrade", 6).await;
    let vm = running_vm(&cluster.set.recorder().snapshot(), "regrade").unwrap();
    match switch {
        WorkerSwitch::Kill => cluster.set.kill_worker(&vm).unwrap(),
        _ => cluster.set.worker(&vm).unwrap().switch(switch),
    }
    cluster.await_completed("archive", 6, TASK_TIMEOUT).await;
    let record = cluster.set.recorder().snapshot();
    let lost = record
        .placements
        .iter()
        .filter(|p| belongs_to(&p.task, "regrade"));
    let lost = lost
        .filter(|p| p.outcome == Some(PlacementEnd::Killed))
        .count();
    assert!(lost > 0, "no regrade ran on the worker");
    cluster
        .await_completed("regrade", 6 - lost, TASK_TIMEOUT)
        .await;
    within(
        TASK_TIMEOUT,
        "operators see the unknown tasks",
        async || {
            let tasks = cluster.open_tasks().await;
            let unknown = tasks.iter().filter(|task| task["state"] == "unknown");
            (unknown.count() == lost).then_some(())
        },
    )
    .await;
    cluster.assert_ledger_promises_held(false);
    assert_eq!(attempts(&cluster.set.recorder().snapshot(), "regrade"), 6);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_partitioned_worker_breaks_no_promise() {
    let cluster = open_cluster().await;
    cluster
        .publish(0, &job("archive", 12, "simulate run=5s", true))
        .await;
    cluster.await_running("archive", 12).await;
    let vm = running_vm(&cluster.set.recorder().snapshot(), "archive").unwrap();
    cluster
        .set
        .worker(&vm)
        .unwrap()
        .switch(WorkerSwitch::Partition);
    sleep(Duration::from_secs(12)).await;
    cluster.assert_ledger_promises_held(false);
    cluster.set.worker(&vm).unwrap().switch(WorkerSwitch::Heal);
    cluster.await_completed("archive", 12, TASK_TIMEOUT).await;
    cluster.assert_ledger_promises_held(true);
}

#[tokio::test(flavor = "multi_thread")]
async fn tasks_of_a_drained_vm_are_checkpointed_and_moved() {
    let cluster = open_cluster().await;
    cluster.serve_bookings().await;
    cluster
        .publish(0, &job("regrade", 12, "simulate run=6s", false))
        .await;
    cluster.await_running("regrade", 12).await;
    let plan = LoadPlan::light("booking");
    let load = Load::spawn(cluster.caller.clone(), cluster.callers(), plan);
    let vm = running_vm(&cluster.set.recorder().snapshot(), "regrade").unwrap();
    let drain = format!("schema: 2\nkind: drain\nname: maintenance\nspec: {{vm: {vm}}}\n");
    cluster.publish(1, &drain).await;
    cluster
        .await_record("the VM is empty", TASK_TIMEOUT, |record| {
            let on_vm = record.placements.iter().filter(|p| p.vm == vm.as_str());
            on_vm.filter(|p| p.end.is_none()).count() == 0
        })
        .await;
    cluster.await_completed("regrade", 12, TASK_TIMEOUT).await;
    let replies = load.stop().await;
    cluster.assert_promises_held(&replies);
    cluster.assert_ledger_promises_held(true);
    let record = cluster.set.recorder().snapshot();
    let stopped = record
        .placements
        .iter()
        .filter(|p| belongs_to(&p.task, "regrade"));
    let stopped = stopped.filter(|p| matches!(p.outcome, Some(PlacementEnd::Stopped { .. })));
    assert!(stopped.count() > 0, "nothing was moved");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_failing_worker_and_an_infeasible_job_block_no_other_job() {
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
        ..short_lease_plan()
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
            .await_completed(&format!("archive-{index}"), 4, TASK_TIMEOUT)
            .await;
    }
    cluster.assert_ledger_promises_held(true);
    within(
        TASK_TIMEOUT,
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
async fn a_leaving_vm_fails_no_request_and_breaks_no_promise() {
    let cluster = open_cluster().await;
    cluster.serve_bookings().await;
    let plan = LoadPlan::light("booking");
    let load = Load::spawn(cluster.caller.clone(), cluster.callers(), plan);
    let vm = running_vm(&cluster.set.recorder().snapshot(), "booking").unwrap();
    sleep(Duration::from_secs(1)).await;
    cluster.set.set_phase(&vm, VmPhase::Leaving).unwrap();
    sleep(Duration::from_secs(8)).await;
    let replies = load.stop().await;
    let unserved = replies.iter().find(|timed| !timed.reply.is_served());
    assert!(unserved.is_none(), "{unserved:?}");
    cluster.assert_promises_held(&replies);
    let record = cluster.set.recorder().snapshot();
    assert!(
        record.executions.iter().any(|run| run.vm == vm.as_str()),
        "nothing ran there"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_rack_fails_no_request_and_loses_no_idempotent_task() {
    let cluster = open_cluster().await;
    cluster.serve_bookings().await;
    cluster
        .publish(0, &job("archive", 12, "simulate run=2s", true))
        .await;
    cluster.await_service("booking").await;
    cluster.await_replicas("booking", 3).await;
    cluster.await_running("archive", 12).await;
    // All workers of a zone are in one rack.
    for vm in workers_in(&cluster, busy_zone(&cluster, "archive")) {
        cluster.set.kill_worker(&vm).unwrap();
    }
    let record = cluster.set.recorder().snapshot();
    let killed = |p: &PlacementRecord| p.outcome == Some(PlacementEnd::Killed);
    assert!(
        record.placements.iter().any(killed),
        "nothing ran in the rack"
    );
    sleep(Duration::from_secs(2)).await;
    let plan = LoadPlan::light("booking");
    let load = Load::spawn(cluster.caller.clone(), cluster.callers(), plan);
    cluster.await_completed("archive", 12, TASK_TIMEOUT).await;
    let replies = load.stop().await;
    let unserved = replies.iter().find(|timed| !timed.reply.is_served());
    assert!(unserved.is_none(), "{unserved:?}");
    cluster.assert_promises_held(&replies);
    cluster.await_replicas("booking", 3).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_partitioned_zone_repeats_no_task_and_reverts_no_record() {
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
    // Longer than a lease, so that the leases of the zone expire.
    sleep(Duration::from_secs(8)).await;
    cluster
        .publish(other, &job("rebuild", 4, "simulate run=100ms", false))
        .await;
    cluster.assert_ledger_promises_held(false);
    set_zone(ProxyPlan::default(), WorkerSwitch::Heal);
    cluster.await_completed("archive", 12, TASK_TIMEOUT).await;
    cluster.await_completed("rebuild", 4, TASK_TIMEOUT).await;
    let record = job("rebuild", 4, "simulate run=100ms", false);
    let (status, answer) = cluster
        .try_publish(zone, &format!("{record}replaces: 0\n"))
        .await;
    assert_eq!(
        status, 409,
        "the daemon of the zone does not know the record: {answer}"
    );
    cluster.assert_ledger_promises_held(true);
}
