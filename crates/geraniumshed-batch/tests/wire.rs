//! Tests of the serialized form of records and of configurations.

use std::time::Duration;

use geraniumshed_batch::wire::{
    ConfigUpdateWire, WaitSnapshotWire, WireDecodeError, decode, encode,
};
use geraniumshed_core::assignment::{IdleRun, StepWait, WaitSnapshot, WorkerHold};
use geraniumshed_core::job::{AdvicePolicy, JobId, QueuePolicy, TaskKey};
use geraniumshed_core::site::{ConfigUpdate, ConfigVersion, RouteEntry, RouteKey};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

#[test]
fn waits_survive_storage() {
    let task = TaskKey {
        job: JobId(1),
        occurrence: 2,
        step: 3,
        index: 4,
    };
    let wait = StepWait {
        job: JobId(5),
        occurrence: 6,
        step: 7,
        since_unix_ms: 1_700_000_000_008,
    };
    let hold = WorkerHold {
        task,
        worker: "w".into(),
    };
    let idle = IdleRun {
        task,
        run: 9,
        percent: 10,
        idle_time: Duration::from_millis(11),
    };
    let snapshot = WaitSnapshot {
        steps: vec![wait],
        holds: vec![hold],
        idle_runs: vec![idle],
    };
    let stored = encode(&WaitSnapshotWire::from(snapshot.clone()));
    let read: WaitSnapshotWire = decode(&stored).unwrap();
    assert_eq!(WaitSnapshot::from(read), snapshot);
}

fn update(base: u64, version: u64) -> ConfigUpdate {
    let policy = QueuePolicy {
        service: "s".into(),
        priority: 2,
        attempt_limit: 4,
        stretch: 1.5,
        latency_objective: Duration::from_micros(250_500),
        advice: Some(AdvicePolicy {
            decision_time: Duration::from_millis(40),
            worker_time: Duration::from_micros(2_500),
        }),
    };
    let entry = RouteEntry {
        queue: "q".into(),
        policy,
    };
    ConfigUpdate {
        base: Some(ConfigVersion(base)),
        version: ConfigVersion(version),
        body_limit: 262_144,
        removed: vec![RouteKey::new("h.example", "/b/".into())],
        changed: vec![(RouteKey::new("h.example", "/a/".into()), entry)],
    }
}

#[test]
fn changes_of_a_configuration_survive_the_wire() {
    let update = update(7, 9);
    let sent = encode(&ConfigUpdateWire::from(update.clone()));
    let received: ConfigUpdateWire = decode(&sent).unwrap();
    assert_eq!(ConfigUpdate::try_from(received), Ok(update));
}

#[test]
fn changes_that_lead_to_no_later_version_are_rejected() {
    let wire = ConfigUpdateWire::from(update(9, 9));
    let result = ConfigUpdate::try_from(wire);
    assert!(matches!(result, Err(WireDecodeError::Invalid(_))));
}

/// Guards against a node that fails on what another one sends.
#[test]
fn damaged_changes_of_a_configuration_do_not_panic() {
    let sent = encode(&ConfigUpdateWire::from(update(7, 9)));
    let mut random = SmallRng::seed_from_u64(1);
    for _ in 0..20_000 {
        let mut damaged = sent.to_vec();
        for _ in 0..random.random_range(1..4) {
            let position = random.random_range(0..damaged.len());
            damaged[position] = random.random();
        }
        damaged.truncate(random.random_range(0..=damaged.len()));
        if let Ok(wire) = decode::<ConfigUpdateWire>(&damaged) {
            drop(ConfigUpdate::try_from(wire));
        }
    }
}
