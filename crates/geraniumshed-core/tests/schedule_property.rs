//! A property test with random interleavings of lost replies, retries, pauses, restarts and
//! takeovers.
//!
//! The runs that the workers recorded must show no batch task on two workers at once, no worker
//! beyond its size and no task out of order.

mod schedule_support;

use std::time::Duration;

use geraniumshed_core::schedule::{SchedulerSettings, TaskPhase};
use geraniumshed_model::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use schedule_support::fixture::{job, service, workers};
use schedule_support::{ActionOutcome, FakeCluster, find_violations};

/// One step of an interleaving.
#[derive(Debug, Clone)]
enum ClusterStep {
    Perform(usize, ActionOutcome),
    Read(usize),
    Advance(u64),
    Tick(usize),
    TakeOver,
    Kill(usize),
    Reboot(usize),
    RemoveVm(usize),
    ToggleListed(usize),
    ToggleReachable(usize),
    Complete(usize),
    ListVms,
    ToggleLog,
    ToggleDrain,
}

fn step() -> impl Strategy<Value = ClusterStep> {
    let outcome = prop_oneof![
        12 => Just(ActionOutcome::Done),
        1 => Just(ActionOutcome::Refused),
        2 => Just(ActionOutcome::AnswerLost),
        1 => Just(ActionOutcome::RequestLost),
    ];
    prop_oneof![
        30 => (0_usize..4, outcome)
            .prop_map(|(index, outcome)| ClusterStep::Perform(index, outcome)),
        20 => (0_usize..4).prop_map(ClusterStep::Read),
        10 => (1_u64..2_000).prop_map(ClusterStep::Advance),
        2 => (2_000_u64..30_000).prop_map(ClusterStep::Advance),
        12 => (0_usize..4).prop_map(ClusterStep::Tick),
        2 => Just(ClusterStep::TakeOver),
        1 => (0_usize..4).prop_map(ClusterStep::Kill),
        1 => (0_usize..3).prop_map(ClusterStep::Reboot),
        1 => (0_usize..3).prop_map(ClusterStep::RemoveVm),
        1 => (0_usize..3).prop_map(ClusterStep::ToggleListed),
        1 => (0_usize..3).prop_map(ClusterStep::ToggleReachable),
        3 => (0_usize..3).prop_map(ClusterStep::Complete),
        3 => Just(ClusterStep::ListVms),
        1 => Just(ClusterStep::ToggleLog),
        1 => Just(ClusterStep::ToggleDrain),
    ]
}

/// The number of daemons that may own the shard in one interleaving.
const OWNER_LIMIT: usize = 4;

fn apply(cluster: &mut FakeCluster, step: &ClusterStep) {
    let owners = cluster.owners.len();
    let ids: Vec<VmId> = cluster.workers.keys().cloned().collect();
    match step {
        ClusterStep::Perform(index, outcome) => {
            let pending = cluster.pending.len();
            if pending > 0 {
                cluster.perform(index % pending, *outcome);
            }
        }
        ClusterStep::Read(owner) => {
            cluster.read_next(owner % owners);
        }
        ClusterStep::Advance(millis) => {
            cluster.now = cluster.now + Duration::from_millis(*millis);
            for worker in cluster.workers.values_mut() {
                worker.advance(cluster.now);
            }
        }
        ClusterStep::Tick(owner) => {
            cluster.input(
                owner % owners,
                geraniumshed_core::schedule::ShardInput::Tick,
            );
        }
        ClusterStep::TakeOver => {
            if owners < OWNER_LIMIT {
                cluster.take_over();
            }
        }
        ClusterStep::Kill(owner) => cluster.owners[owner % owners].alive = false,
        ClusterStep::Reboot(index) => {
            let worker = cluster.workers.get_mut(&ids[*index]).expect("a worker");
            worker.reboot();
        }
        ClusterStep::RemoveVm(index) => {
            let worker = cluster.workers.get_mut(&ids[*index]).expect("a worker");
            worker.remove_vm();
        }
        ClusterStep::ToggleListed(index) => {
            let worker = cluster.workers.get_mut(&ids[*index]).expect("a worker");
            worker.hidden = !worker.hidden;
        }
        ClusterStep::ToggleReachable(index) => {
            let worker = cluster.workers.get_mut(&ids[*index]).expect("a worker");
            worker.reachable = worker.exists && !worker.reachable;
        }
        ClusterStep::Complete(index) => {
            let now = cluster.now;
            let worker = cluster.workers.get_mut(&ids[*index]).expect("a worker");
            worker.complete_batch(now);
        }
        ClusterStep::ListVms => cluster.list_vms(),
        ClusterStep::ToggleLog => cluster.log_down = !cluster.log_down,
        ClusterStep::ToggleDrain => toggle_drain(cluster),
    }
}

fn toggle_drain(cluster: &mut FakeCluster) {
    let vm: VmId = "worker-0".parse().expect("a valid id");
    let key = RecordKey {
        kind: RecordKind::Drain,
        name: "worker-0".parse().expect("a valid name"),
    };
    if cluster.config.record(&key).is_some() {
        cluster.withdraw(RecordKind::Drain, "worker-0");
    } else {
        let scope = DrainScope::Vm(vm);
        cluster.publish("worker-0", RecordSpec::Drain(DrainSpec { scope }));
    }
}

fn start(idempotent: bool, checkpoints: bool) -> FakeCluster {
    let mut cluster = FakeCluster::new(SchedulerSettings::default(), workers(3));
    for worker in cluster.workers.values_mut() {
        worker.checkpoints = checkpoints;
    }
    let tasks = JobSpec {
        command: "run=20s".into(),
        ..job(6, 3, idempotent)
    };
    cluster.publish("regrade", RecordSpec::Job(tasks));
    cluster.publish("bookings", RecordSpec::Service(service(2, 1)));
    cluster.take_over();
    cluster
}

/// Ends all faults, and runs the cluster under a new owner until the work is done.
fn heal(cluster: &mut FakeCluster) {
    cluster.log_down = false;
    for worker in cluster.workers.values_mut() {
        worker.reachable = worker.exists;
        worker.hidden = false;
    }
    cluster.list_vms();
    cluster.take_over();
    cluster.run_in_steps(Duration::from_secs(400), Duration::from_millis(500));
}

/// Returns a number from the environment, which allows longer manual runs.
fn env_number<N: std::str::FromStr>(name: &str, usual: N) -> N {
    let text = std::env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(usual)
}

proptest! {
    #![proptest_config(Config {
        cases: env_number("SCHEDULE_CASES", 160),
        rng_seed: RngSeed::Fixed(env_number("SCHEDULE_SEED", 17)),
        failure_persistence: None,
        max_shrink_iters: 400,
        ..Config::default()
    })]

    #[test]
    fn random_steps_cause_no_violation(
        steps in prop::collection::vec(step(), 40..220),
        idempotent in any::<bool>(),
        checkpoints in any::<bool>(),
    ) {
        let mut cluster = start(idempotent, checkpoints);
        for step in &steps {
            apply(&mut cluster, step);
        }
        let violations = find_violations(&cluster, idempotent);
        prop_assert!(violations.is_empty(), "before healing: {:?}", violations);
        heal(&mut cluster);
        let violations = find_violations(&cluster, idempotent);
        prop_assert!(violations.is_empty(), "after healing: {:?}", violations);
        if cluster.workers.values().all(|worker| worker.exists) {
            assert_settled(&cluster);
        }
    }
}

/// Asserts that every task is completed or waits for an operator.
fn assert_settled(cluster: &FakeCluster) {
    let state = cluster.ready_owner().state();
    for index in 0..6 {
        let task = schedule_support::fixture::task("regrade", 1, index);
        let phase = state.task(&task).map(|entry| entry.phase.clone());
        let settled = matches!(phase, Some(TaskPhase::Completed | TaskPhase::Unknown));
        assert!(settled, "{task} is {phase:?}");
    }
}
