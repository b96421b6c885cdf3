//! Recovery of records from snapshots whose parts are interleaved with other entries.

use geraniumshed_core::state::{ConfigReplica, ConfigState, split_snapshot};
use geraniumshed_model::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn batch(sequence: u64, events: Vec<ConfigEvent>) -> LogBatch<ConfigEvent> {
    LogBatch {
        mark: WriterMark {
            incarnation: DaemonIncarnation(1),
            sequence,
        },
        term: ShardTerm(0),
        events,
    }
}

fn key(kind: RecordKind, number: u8) -> RecordKey {
    RecordKey {
        kind,
        name: format!("n-{number}").parse().unwrap(),
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

/// The next event to append.
#[derive(Debug, Clone)]
enum Step {
    Publish(u8, u64),
    Hold(u8, u64),
    Withdraw(u8, u64),
    Progress(u8, u64, u16, u32),
    BeginSnapshot,
    Part,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        5 => (0..4_u8, 0..6_u64).prop_map(|(n, g)| Step::Publish(n, g)),
        1 => (0..4_u8, 0..6_u64).prop_map(|(n, g)| Step::Hold(n, g)),
        2 => (0..4_u8, 0..6_u64).prop_map(|(n, g)| Step::Withdraw(n, g)),
        3 => (0..4_u8, 1..6_u64, 0..2_u16, 0..4_u32)
            .prop_map(|(n, g, s, c)| Step::Progress(n, g, s, c)),
        1 => Just(Step::BeginSnapshot),
        4 => Just(Step::Part),
    ]
}

/// A stream, the state after each of its entries, and the states of which snapshots were taken.
#[derive(Default)]
struct Stream {
    entries: Vec<LogBatch<ConfigEvent>>,
    states: Vec<ConfigState>,
    live: ConfigReplica,
    parts: Vec<SnapshotPart>,
    snapshots: Vec<ConfigState>,
}

impl Stream {
    fn push(&mut self, event: ConfigEvent) {
        let offset = LogOffset(self.entries.len() as u64);
        let entry = batch(offset.0 + 1, vec![event]);
        self.entries.push(entry.clone());
        self.live.apply(offset, entry);
        self.states.push(self.live.config().clone());
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Publish(name, replaces) => self.push(ConfigEvent::Publish {
                key: key(RecordKind::Job, name),
                schema: SchemaVersion::V2,
                replaces: RecordGeneration(replaces),
                body: RecordBody::Known(job(5)),
            }),
            Step::Hold(name, replaces) => self.push(ConfigEvent::Publish {
                key: key(RecordKind::Job, name),
                schema: SchemaVersion(9),
                replaces: RecordGeneration(replaces),
                body: RecordBody::Held("schema: 9".into()),
            }),
            Step::Withdraw(name, replaces) => self.push(ConfigEvent::Withdraw {
                key: key(RecordKind::Job, name),
                replaces: RecordGeneration(replaces),
            }),
            Step::Progress(name, generation, shard, completed) => {
                self.push(ConfigEvent::Progress {
                    shard: ShardId(shard),
                    job: key(RecordKind::Job, name),
                    generation: RecordGeneration(generation),
                    completed,
                    failed: 0,
                });
            }
            // The bytes contain only the snapshot's index, since the encoding is tested separately.
            Step::BeginSnapshot => {
                let state = self.live.config().clone();
                let index = self.snapshots.len().to_string().repeat(6);
                self.parts = split_snapshot(state.applied().0, index.as_bytes(), 2);
                self.parts.reverse();
                self.snapshots.push(state);
            }
            Step::Part => {
                if let Some(part) = self.parts.pop() {
                    self.push(ConfigEvent::Snapshot(part));
                }
            }
        }
    }

    /// Reads from an offset as a daemon that misses the entries before it, and checks each state.
    fn check_reader(&self, first: usize, reader: ConfigReplica) -> ConfigReplica {
        let mut reader = reader;
        reader.record_gap(LogOffset(first as u64));
        for (index, entry) in self.entries.iter().enumerate().skip(first) {
            let applied = reader.config().applied();
            let (_, whole) = reader.apply(LogOffset(index as u64), entry.clone());
            if let Some(whole) = whole {
                let text = String::from_utf8(whole.bytes).unwrap();
                let number: usize = text[..text.len() / 6].parse().unwrap();
                let image = self.snapshots[number].to_snapshot();
                reader.restore(ConfigState::from_snapshot(image));
            }
            assert!(
                reader.config().applied() >= applied,
                "the applied offset decreased"
            );
            if reader.is_complete() {
                assert_eq!(*reader.config(), self.states[index], "at {index}");
            }
        }
        reader
    }
}

#[test]
fn all_readers_reach_the_same_records() {
    let config = Config {
        cases: 200,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]);
    let steps = prop::collection::vec(step(), 10..80);
    let mut recovered = 0;
    TestRunner::new_with_rng(config, rng)
        .run(&(steps, any::<prop::sample::Index>()), |(steps, first)| {
            let mut stream = Stream::default();
            for step in steps {
                stream.apply(step);
            }
            if stream.entries.is_empty() {
                return Ok(());
            }
            let first = first.index(stream.entries.len());
            stream.check_reader(first, ConfigReplica::default());

            let mut lagging = ConfigReplica::default();
            for (index, entry) in stream.entries.iter().enumerate().take(first / 2) {
                lagging.apply(LogOffset(index as u64), entry.clone());
            }
            stream.check_reader(first, lagging);
            Ok(())
        })
        .unwrap();
    // A fixed sequence ensures that readers do recover, so that the property isn't vacuous.
    let mut stream = Stream::default();
    let publish = |number| Step::Publish(number, 0);
    for step in [publish(0), publish(1), Step::BeginSnapshot, publish(2)] {
        stream.apply(step);
    }
    for _ in 0..3 {
        stream.apply(Step::Part);
        stream.apply(publish(3));
    }
    for first in 0..=2 {
        recovered += usize::from(
            stream
                .check_reader(first, ConfigReplica::default())
                .is_complete(),
        );
    }
    assert_eq!(recovered, 3);
    assert!(
        !stream
            .check_reader(3, ConfigReplica::default())
            .is_complete()
    );
}

#[test]
fn without_a_snapshot_records_stay_in_force_and_generations_are_not_reused() {
    let mut stream = Stream::default();
    for number in 0..4 {
        stream.apply(Step::Publish(number, 0));
    }
    let mut reader = ConfigReplica::default();
    reader.apply(LogOffset(0), stream.entries[0].clone());
    reader.record_gap(LogOffset(3));
    reader.apply(LogOffset(3), stream.entries[3].clone());
    reader.continue_without_snapshot();
    assert!(!reader.is_complete(), "the stream wasn't read to its end");
    reader.reach_end(LogOffset(4));
    reader.continue_without_snapshot();
    assert!(reader.is_complete());
    let names: Vec<_> = reader
        .config()
        .records(RecordKind::Job)
        .map(|record| (record.key.name.to_string(), record.generation.0))
        .collect();
    assert_eq!(names, [("n-0".to_owned(), 1), ("n-3".to_owned(), 4)]);
}
