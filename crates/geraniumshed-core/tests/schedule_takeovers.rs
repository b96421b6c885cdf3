//! Tests of the scheduler with owners that follow each other faster than a wait that each of them
//! has to observe: a wait must not start anew with each owner.

mod schedule_support;

use std::sync::Arc;
use std::time::Duration;

use geraniumshed_core::schedule::{SchedulerSettings, TaskPhase};
use geraniumshed_model::prelude::*;
use rstest::rstest;
use schedule_support::fake_worker::FakeWorker;
use schedule_support::fixture::{job, service, task, worker, workers};
use schedule_support::{FakeCluster, find_violations};

const SECOND: Duration = Duration::from_secs(1);
/// The time between two takeovers: more than a daemon leaves between two takeovers of a shard, less
/// than each of the waits.
const TENURE: Duration = Duration::from_secs(12);
/// The largest number of takeovers in one run.
const MOST_TAKEOVERS: u32 = 15;
/// The time that detection, append and start may take beside a wait.
const MARGIN: Duration = Duration::from_secs(3);

/// Which process takes over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NextOwner {
    /// Another daemon that has run all the while.
    Running,
    /// A daemon that was just restarted and has read the list of VMs for the first time.
    Restarted,
}

fn started(count: u32, name: &str, spec: RecordSpec) -> FakeCluster {
    let mut cluster = FakeCluster::new(SchedulerSettings::default(), workers(count));
    cluster.publish(name, spec);
    cluster.take_over();
    cluster.run(5 * SECOND);
    cluster
}

fn take_over(cluster: &mut FakeCluster, next: NextOwner) {
    for owner in &mut cluster.owners {
        owner.alive = false;
    }
    if next == NextOwner::Restarted {
        cluster.vms = Arc::default();
        cluster.list_vms();
    }
    cluster.take_over();
}

/// Runs the cluster for the same time in any case; each of the owners is in office for a part.
fn run_with_takeovers(cluster: &mut FakeCluster, takeovers: u32, next: NextOwner) {
    let tenure = TENURE * (MOST_TAKEOVERS + 1) / (takeovers + 1);
    for _ in 0..takeovers {
        cluster.run(tenure);
        take_over(cluster, next);
    }
    cluster.run(tenure);
}

fn add_spare_worker(cluster: &mut FakeCluster) {
    let spare = worker(1);
    cluster.workers.insert(spare.vm.vm.clone(), spare);
}

fn first_worker(cluster: &mut FakeCluster) -> &mut FakeWorker {
    let id: VmId = "worker-0".parse().expect("a valid id");
    cluster.workers.get_mut(&id).expect("a worker")
}

fn death_timeout(settings: &SchedulerSettings) -> Duration {
    settings.list_lag + settings.lease + settings.drift_margin
}

// Guards against a task that never runs again, because each owner counted the time that its worker
// is gone from its own takeover.
#[rstest]
#[case::one_owner(0, NextOwner::Running)]
#[case::running_daemons(MOST_TAKEOVERS, NextOwner::Running)]
#[case::restarted_daemons(MOST_TAKEOVERS, NextOwner::Restarted)]
fn task_of_a_removed_worker_reruns_within_one_wait(
    #[case] takeovers: u32,
    #[case] next: NextOwner,
) {
    let spec = JobSpec {
        command: "run=600s".into(),
        ..job(1, 8, true)
    };
    let mut cluster = started(1, "regrade", RecordSpec::Job(spec));
    assert_eq!(cluster.runs("regrade").len(), 1);
    add_spare_worker(&mut cluster);
    // The platform's list drops the worker, but the task runs there until its lease expires.
    let lost = first_worker(&mut cluster);
    lost.hidden = true;
    lost.reachable = false;
    let lost_at = cluster.now;
    run_with_takeovers(&mut cluster, takeovers, next);

    assert_eq!(find_violations(&cluster, true), Vec::<String>::new());
    let runs = cluster.runs("regrade");
    let again = runs.get(1).expect("the task runs again");
    let away = again.begin.since(lost_at);
    assert!(
        away <= death_timeout(&cluster.settings) + MARGIN,
        "{away:?}"
    );
}

// Guards against a replica that never moves, because an owner that never reached its worker did
// not count the worker as silent.
#[rstest]
#[case::one_owner(0)]
#[case::one_takeover(1)]
#[case::many_takeovers(MOST_TAKEOVERS)]
fn replica_of_a_silent_worker_is_replaced_within_one_wait(#[case] takeovers: u32) {
    let mut cluster = started(1, "bookings", RecordSpec::Service(service(1, 1)));
    assert_eq!(cluster.runs("bookings").len(), 1);
    add_spare_worker(&mut cluster);
    first_worker(&mut cluster).reachable = false;
    let lost_at = cluster.now;
    for _ in 0..takeovers {
        cluster.run(TENURE);
        take_over(&mut cluster, NextOwner::Running);
    }
    cluster.run(60 * SECOND);

    let runs = cluster.runs("bookings");
    let again = runs.get(1).expect("the replica is replaced");
    let away = again.begin.since(lost_at);
    assert!(away <= cluster.settings.lease + TENURE + MARGIN, "{away:?}");
}

// Guards against replicas of a withdrawn service that run on, because each owner waited for the
// lag of the `config` stream from its own takeover.
#[rstest]
#[case::one_takeover(0)]
#[case::many_takeovers(MOST_TAKEOVERS)]
fn withdrawn_service_stops_within_one_wait(#[case] takeovers: u32) {
    let mut cluster = started(2, "bookings", RecordSpec::Service(service(2, 1)));
    assert_eq!(cluster.ready_endpoints("bookings").len(), 2);
    take_over(&mut cluster, NextOwner::Running);
    cluster.withdraw(RecordKind::Service, "bookings");
    run_with_takeovers(&mut cluster, takeovers, NextOwner::Running);

    let live: usize = cluster.workers.values().map(FakeWorker::live_count).sum();
    assert_eq!(live, 0, "no replica of the withdrawn service runs");
}

// Guards against a drain that never ends, because each owner waited for a replacement, for which
// there is no room, from its own takeover.
#[rstest]
#[case::one_owner(0)]
#[case::many_takeovers(MOST_TAKEOVERS)]
fn drained_replica_without_replacement_stops_within_one_wait(#[case] takeovers: u32) {
    let mut cluster = started(1, "bookings", RecordSpec::Service(service(1, 8)));
    assert_eq!(cluster.ready_endpoints("bookings").len(), 1);
    first_worker(&mut cluster).vm.phase = VmPhase::Leaving;
    run_with_takeovers(&mut cluster, takeovers, NextOwner::Running);

    let live = first_worker(&mut cluster).live_count();
    assert_eq!(live, 0, "the drained replica has stopped");
}

// Guards against a new wait of an owner that reads the log again: the end of a task is logged, so
// a takeover does not run it a second time.
#[rstest]
#[case::running_daemons(NextOwner::Running)]
#[case::restarted_daemons(NextOwner::Restarted)]
fn completed_task_of_a_removed_worker_does_not_rerun_under_takeovers(#[case] next: NextOwner) {
    let mut cluster = started(2, "regrade", RecordSpec::Job(job(2, 2, false)));
    cluster.run(10 * SECOND);
    first_worker(&mut cluster).remove_vm();
    run_with_takeovers(&mut cluster, MOST_TAKEOVERS, next);

    assert_eq!(cluster.runs("regrade").len(), 2);
    let state = cluster.ready_owner().state();
    for index in 0..2 {
        let entry = state
            .task(&task("regrade", 1, index))
            .expect("a known task");
        assert_eq!(entry.phase, TaskPhase::Completed);
    }
    assert_eq!(find_violations(&cluster, false), Vec::<String>::new());
}
