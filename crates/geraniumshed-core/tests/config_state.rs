//! The records in force: generations, conflicting publications, held records and finished jobs.

use geraniumshed_core::state::{ConfigState, EndedCount, PublishVerdict};
use geraniumshed_model::prelude::*;
use rstest::rstest;

fn key(kind: RecordKind, name: &str) -> RecordKey {
    RecordKey {
        kind,
        name: name.parse().unwrap(),
    }
}

fn job(tasks: u32) -> RecordSpec {
    RecordSpec::Job(JobSpec {
        team: "t".parse().unwrap(),
        tasks,
        size: ResourceSize::default(),
        group: "g".parse().unwrap(),
        command: "run".into(),
        urgency: UrgencyClass::Normal,
        idempotent: false,
        failure_limit: 1,
    })
}

fn publish(name: &str, replaces: u64, spec: RecordSpec) -> ConfigEvent {
    ConfigEvent::Publish {
        key: key(spec.kind(), name),
        schema: SchemaVersion::V2,
        replaces: RecordGeneration(replaces),
        body: RecordBody::Known(spec),
    }
}

fn hold(kind: RecordKind, name: &str, replaces: u64) -> ConfigEvent {
    ConfigEvent::Publish {
        key: key(kind, name),
        schema: SchemaVersion(3),
        replaces: RecordGeneration(replaces),
        body: RecordBody::Held("schema: 3".into()),
    }
}

fn withdraw(kind: RecordKind, name: &str, replaces: u64) -> ConfigEvent {
    ConfigEvent::Withdraw {
        key: key(kind, name),
        replaces: RecordGeneration(replaces),
    }
}

fn progress(name: &str, generation: u64, shard: u16, completed: u32, failed: u32) -> ConfigEvent {
    ConfigEvent::Progress {
        shard: ShardId(shard),
        job: key(RecordKind::Job, name),
        generation: RecordGeneration(generation),
        completed,
        failed,
    }
}

/// Applies events at offsets counted from zero.
fn apply_all(events: &[ConfigEvent]) -> (ConfigState, Vec<PublishVerdict>) {
    let mut state = ConfigState::default();
    let verdicts = events
        .iter()
        .zip(0..)
        .map(|(event, offset)| state.apply(LogOffset(offset), event))
        .collect();
    (state, verdicts)
}

fn accepted(generation: u64) -> PublishVerdict {
    PublishVerdict::Accepted(RecordGeneration(generation))
}

fn conflict(current: u64, replaces: u64) -> PublishVerdict {
    PublishVerdict::Conflict {
        current: RecordGeneration(current),
        replaces: RecordGeneration(replaces),
    }
}

#[rstest]
#[case::first_and_next(
    vec![publish("a", 0, job(1)), publish("a", 1, job(2))],
    vec![accepted(1), accepted(2)]
)]
#[case::conflict(
    vec![publish("a", 0, job(1)), publish("a", 0, job(2)), publish("a", 1, job(3))],
    vec![accepted(1), conflict(1, 0), accepted(2)]
)]
#[case::future_generation(vec![publish("a", 4, job(1))], vec![conflict(0, 4)])]
#[case::generations_continue_after_withdrawal(
    vec![
        publish("a", 0, job(1)),
        withdraw(RecordKind::Job, "a", 1),
        publish("a", 0, job(1)),
        publish("b", 0, job(1)),
    ],
    vec![accepted(1), accepted(2), accepted(3), accepted(3)]
)]
#[case::withdrawn_twice(
    vec![
        publish("a", 0, job(1)),
        withdraw(RecordKind::Job, "a", 1),
        withdraw(RecordKind::Job, "a", 1),
    ],
    vec![accepted(1), accepted(2), conflict(0, 1)]
)]
#[case::held_record_takes_a_generation(
    vec![
        publish("a", 0, job(1)),
        hold(RecordKind::Job, "a", 1),
        publish("a", 1, job(2)),
        publish("a", 2, job(3)),
    ],
    vec![
        accepted(1),
        PublishVerdict::Held(RecordGeneration(2)),
        conflict(2, 1),
        accepted(3),
    ]
)]
fn generations_decide_conflicting_publications(
    #[case] events: Vec<ConfigEvent>,
    #[case] expected: Vec<PublishVerdict>,
) {
    assert_eq!(apply_all(&events).1, expected);
}

#[test]
fn a_held_record_leaves_the_previous_one_in_force() {
    let (state, _) = apply_all(&[publish("a", 0, job(1)), hold(RecordKind::Job, "a", 1)]);
    let record = state.record(&key(RecordKind::Job, "a")).unwrap();
    assert_eq!(record.generation, RecordGeneration(1));
    let held: Vec<_> = state.held().collect();
    assert_eq!(held.len(), 1);
    assert_eq!(held[0].generation, RecordGeneration(2));
    let (state, _) = apply_all(&[hold(RecordKind::Job, "a", 0)]);
    assert_eq!(state.records(RecordKind::Job).count(), 0);
    assert_eq!(
        state.generation(&key(RecordKind::Job, "a")),
        RecordGeneration(1)
    );
}

#[test]
fn progress_is_cumulative_and_removes_a_finished_job_with_its_cancellation() {
    let cancel = RecordSpec::Cancel(CancelSpec {
        generation: RecordGeneration(1),
    });
    let mut events = vec![
        publish("a", 0, job(10)),
        publish("a", 0, cancel),
        progress("a", 1, 0, 3, 0),
        progress("a", 1, 1, 2, 2),
        progress("a", 1, 0, 3, 0),
        progress("a", 1, 0, 1, 0),
        progress("a", 7, 0, 9, 9),
    ];
    let (state, _) = apply_all(&events);
    let name = "a".parse().unwrap();
    let ended = state.progress().job(&name).unwrap().ended();
    assert_eq!((ended.completed, ended.failed), (5, 2));

    events.push(progress("a", 1, 1, 5, 2));
    let (state, _) = apply_all(&events);
    assert!(state.record(&key(RecordKind::Job, "a")).is_none());
    assert!(state.record(&key(RecordKind::Cancel, "a")).is_none());
    let finished = state.progress().finished().next().unwrap();
    assert_eq!(
        finished.ended,
        EndedCount {
            completed: 8,
            failed: 2
        }
    );

    events.push(progress("a", 1, 1, 5, 2));
    events.push(publish("a", 0, job(1)));
    let (state, verdicts) = apply_all(&events);
    assert_eq!(state.progress().finished().count(), 1);
    assert_eq!(verdicts.last(), Some(&accepted(3)));
}

#[test]
fn the_applied_offset_never_decreases() {
    let mut state = ConfigState::default();
    state.apply(LogOffset(9), &publish("a", 0, job(1)));
    state.advance(LogOffset(4));
    assert_eq!(state.applied(), LogOffset(10));
}
