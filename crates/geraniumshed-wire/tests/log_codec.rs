//! Encoding and decoding of log entries, including invalid ones.

use std::fmt::Debug;
use std::time::Duration;

use geraniumshed_model::prelude::*;
use geraniumshed_wire::log::{DecodeError, StreamEvent, decode_batch, encode_batch};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rstest::rstest;

fn name<T: std::str::FromStr<Err: Debug>>(text: &str) -> T {
    text.parse().unwrap()
}

fn task() -> TaskId {
    name("regrade-17/3/41")
}

fn size() -> ResourceSize {
    ResourceSize {
        processors: ProcessorShare(2_500),
        memory: MemorySize(125_000_000_000),
        accelerators: AcceleratorCount(1),
    }
}

fn part() -> SnapshotPart {
    SnapshotPart {
        snapshot: u64::MAX,
        index: 1,
        count: 2,
        bytes: vec![0, 255, 7],
    }
}

fn specs() -> Vec<RecordSpec> {
    vec![
        RecordSpec::Team(TeamSpec {
            quota: size(),
            weight: 3,
            rate: Some(RequestRate(200)),
        }),
        RecordSpec::Service(ServiceSpec {
            team: name("bookings"),
            replicas: 50,
            size: size(),
            group: name("web"),
            command: "serve".into(),
            slots: SlotCount(8),
            connections: 60,
            deadline: TimeSpan(Duration::from_millis(250)),
            latency_goal: TimeSpan(Duration::from_micros(u64::MAX)),
            urgency: UrgencyClass::Urgent,
            queue_limit: 100,
            idempotent: false,
            listener: true,
        }),
        RecordSpec::Binding(BindingSpec {
            service: name("booking"),
            team: name("bookings"),
            urgency: UrgencyClass::Background,
            deadline: None,
        }),
        RecordSpec::Job(JobSpec {
            team: name("patterns"),
            tasks: 40,
            size: size(),
            group: name("regrade"),
            command: "regrade --gown".into(),
            urgency: UrgencyClass::Normal,
            idempotent: false,
            failure_limit: 2,
        }),
        RecordSpec::Drain(DrainSpec {
            scope: DrainScope::Vm(name("vm-1")),
        }),
        RecordSpec::Drain(DrainSpec {
            scope: DrainScope::Rack(name("rack-1")),
        }),
        RecordSpec::Drain(DrainSpec {
            scope: DrainScope::Zone(name("zone-1")),
        }),
        RecordSpec::Cancel(CancelSpec {
            generation: RecordGeneration(9),
        }),
        RecordSpec::Stop,
    ]
}

fn config_events() -> Vec<ConfigEvent> {
    let key = |kind| RecordKey {
        kind,
        name: name("any.name_1"),
    };
    let mut events: Vec<_> = specs()
        .into_iter()
        .map(|spec| ConfigEvent::Publish {
            key: key(spec.kind()),
            schema: SchemaVersion::V2,
            replaces: RecordGeneration(1),
            body: RecordBody::Known(spec),
        })
        .collect();
    events.push(ConfigEvent::Publish {
        key: key(RecordKind::Team),
        schema: SchemaVersion(9),
        replaces: RecordGeneration(0),
        body: RecordBody::Held("schema: 9\nquota: whatever\n".into()),
    });
    events.push(ConfigEvent::Withdraw {
        key: key(RecordKind::Drain),
        replaces: RecordGeneration(4),
    });
    events.push(ConfigEvent::Progress {
        shard: ShardId(3),
        job: key(RecordKind::Job),
        generation: RecordGeneration(2),
        completed: 7,
        failed: 1,
    });
    events.push(ConfigEvent::Snapshot(part()));
    events
}

fn claim_events() -> Vec<ClaimEvent> {
    vec![
        ClaimEvent::Claim {
            shard: ShardId(1),
            daemon: name("d-1"),
            incarnation: DaemonIncarnation(u64::MAX),
        },
        ClaimEvent::Hold {
            shard: ShardId(1),
            daemon: name("d-1"),
            incarnation: DaemonIncarnation(5),
            term: ShardTerm(12),
        },
        ClaimEvent::Release {
            shard: ShardId(1),
            term: ShardTerm(12),
        },
    ]
}

fn endpoint_events() -> Vec<EndpointEvent> {
    let entry = |address: &str, phase| EndpointEntry {
        endpoint: EndpointId {
            task: task(),
            attempt: AttemptNumber(2),
        },
        service: name("booking"),
        address: address.parse().unwrap(),
        vm: name("vm-1"),
        zone: name("zone-1"),
        slots: SlotCount(8),
        connections: 60,
        phase,
    };
    vec![
        EndpointEvent::Full {
            shard: ShardId(1),
            entries: vec![entry("10.0.0.1:80", EndpointPhase::Ready)],
        },
        EndpointEvent::Changed {
            shard: ShardId(1),
            entry: entry("[::1]:80", EndpointPhase::Leaving),
        },
        EndpointEvent::Removed {
            shard: ShardId(1),
            endpoint: EndpointId {
                task: task(),
                attempt: AttemptNumber(2),
            },
        },
    ]
}

fn shard_events() -> Vec<ShardEvent> {
    let attempt = AttemptNumber(2);
    let ended = |outcome| ShardEvent::Ended {
        task: task(),
        attempt,
        outcome,
    };
    vec![
        ShardEvent::Opened,
        ShardEvent::Placed {
            task: task(),
            attempt,
            worker: name("vm-1"),
            boot: BootId(77),
        },
        ended(TaskOutcome::Completed),
        ended(TaskOutcome::Failed {
            reason: "exit 1".into(),
        }),
        ended(TaskOutcome::Stopped {
            checkpoint: Some(name("c-1")),
        }),
        ended(TaskOutcome::Stopped { checkpoint: None }),
        ended(TaskOutcome::NotStarted {
            reason: "no room".into(),
        }),
        ShardEvent::Unknown {
            task: task(),
            attempt,
        },
        ShardEvent::Resolved {
            task: task(),
            attempt,
            rerun: true,
        },
        ShardEvent::Cancelled {
            job: name("regrade-17"),
            generation: RecordGeneration(3),
        },
        ShardEvent::MovedOut {
            task: task(),
            to: ShardId(2),
            hop: 1,
            attempt,
            checkpoint: None,
        },
        ShardEvent::MovedIn {
            task: task(),
            from: ShardId(2),
            hop: 2,
            attempt,
            checkpoint: Some(name("c-1")),
        },
        ShardEvent::Snapshot(part()),
    ]
}

fn key_events() -> Vec<KeyEvent> {
    vec![
        KeyEvent::Opened,
        KeyEvent::Claimed {
            key: KeyDigest(u128::MAX),
            request: RequestDigest(1),
        },
    ]
}

fn batch<E>(events: Vec<E>) -> LogBatch<E> {
    LogBatch {
        mark: WriterMark {
            incarnation: DaemonIncarnation(u64::MAX),
            sequence: 300,
        },
        term: ShardTerm(70_000),
        events,
    }
}

/// Checks that a batch is decoded unchanged, and that truncated or extended bytes are rejected.
fn check_round_trip<E: StreamEvent + PartialEq + Debug>(events: Vec<E>) {
    let batch = batch(events);
    let body = encode_batch(&batch).unwrap();
    assert_eq!(decode_batch::<E>(&body), Ok(batch));
    for length in 0..body.len() {
        let result = decode_batch::<E>(&body[..length]);
        result.expect_err("truncated bytes must be rejected");
    }
    let mut longer = body.to_vec();
    longer.push(0);
    assert_eq!(
        decode_batch::<E>(&longer),
        Err(DecodeError::TrailingBytes(1))
    );
}

#[test]
fn batches_round_trip() {
    check_round_trip(config_events());
    check_round_trip(claim_events());
    check_round_trip(endpoint_events());
    check_round_trip(shard_events());
    check_round_trip(key_events());
    check_round_trip::<KeyEvent>(Vec::new());
}

#[rstest]
#[case::empty(&[], DecodeError::Empty)]
#[case::version(&[9, 0, 0, 0, 0], DecodeError::UnknownVersion(9))]
#[case::huge_count(&[1, 0, 0, 0, 255, 255, 255, 255, 15], DecodeError::Malformed)]
#[case::unknown_event(&[1, 0, 0, 0, 1, 99], DecodeError::Malformed)]
fn invalid_bytes_are_rejected(#[case] body: &[u8], #[case] error: DecodeError) {
    assert_eq!(decode_batch::<ShardEvent>(body), Err(error));
}

#[test]
fn a_key_kind_that_differs_from_the_content_is_rejected() {
    let body = encode_batch(&batch(vec![ConfigEvent::Publish {
        key: RecordKey {
            kind: RecordKind::Job,
            name: name("a"),
        },
        schema: SchemaVersion::V1,
        replaces: RecordGeneration(0),
        body: RecordBody::Known(RecordSpec::Stop),
    }]))
    .unwrap();
    assert_eq!(
        decode_batch::<ConfigEvent>(&body),
        Err(DecodeError::KindMismatch)
    );
}

fn decode_all(body: &[u8]) {
    drop(decode_batch::<ConfigEvent>(body));
    drop(decode_batch::<ClaimEvent>(body));
    drop(decode_batch::<EndpointEvent>(body));
    drop(decode_batch::<ShardEvent>(body));
    drop(decode_batch::<KeyEvent>(body));
}

/// Returns a test runner with a fixed seed.
fn runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]))
}

#[test]
fn random_bytes_never_panic() {
    let bytes = prop::collection::vec(any::<u8>(), 0..200);
    runner(20_000)
        .run(&bytes, |mut body| {
            decode_all(&body);
            if let Some(first) = body.first_mut() {
                *first = 1;
            }
            decode_all(&body);
            Ok(())
        })
        .unwrap();
}

#[test]
fn corrupted_entries_never_panic() {
    let bodies = [
        encode_batch(&batch(config_events())).unwrap(),
        encode_batch(&batch(claim_events())).unwrap(),
        encode_batch(&batch(endpoint_events())).unwrap(),
        encode_batch(&batch(shard_events())).unwrap(),
        encode_batch(&batch(key_events())).unwrap(),
    ];
    let corruption = (
        0..bodies.len(),
        prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..4),
    );
    runner(20_000)
        .run(&corruption, |(index, changes)| {
            let mut body = bodies[index].to_vec();
            for (at, byte) in changes {
                let at = at.index(body.len());
                body[at] = byte;
            }
            body[0] = 1;
            decode_all(&body);
            Ok(())
        })
        .unwrap();
}
