//! Tests of the stored form of records.

use std::time::Duration;

use geraniumshed_batch::wire::{WaitSnapshotWire, decode, encode};
use geraniumshed_core::assignment::{IdleRun, StepWait, WaitSnapshot, WorkerHold};
use geraniumshed_core::job::{JobId, TaskKey};

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
