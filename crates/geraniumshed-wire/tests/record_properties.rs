//! Properties of reading records: written records are read back unchanged, and arbitrary text is
//! either read or rejected with valid line numbers.

use std::time::Duration;

use geraniumshed_model::prelude::{
    AcceleratorCount, BindingSpec, CancelSpec, DrainScope, DrainSpec, JobSpec, MemorySize,
    OperatorRecord, ProcessorShare, RecordBody, RecordGeneration, RecordKey, RecordSpec,
    RequestRate, ResourceSize, SchemaVersion, ServiceSpec, SlotCount, TeamSpec, TimeSpan,
    UrgencyClass,
};
use geraniumshed_wire::record::{RecordDocument, read_records};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const EXAMPLES: [&str; 2] = [
    include_str!("../../../examples/camara.yaml"),
    include_str!("../../../examples/yildiz.yaml"),
];

/// The default number of cases, which `PROPTEST_CASES` overrides.
const CASES: u32 = 2000;

fn config() -> ProptestConfig {
    let cases = std::env::var("PROPTEST_CASES")
        .ok()
        .and_then(|text| text.parse().ok());
    ProptestConfig {
        cases: cases.unwrap_or(CASES),
        rng_seed: RngSeed::Fixed(20),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn name() -> impl Strategy<Value = String> {
    "[a-zA-Z][a-zA-Z0-9._-]{0,40}[a-z]"
}

/// Generates sizes that both schemas can represent.
fn size() -> impl Strategy<Value = ResourceSize> {
    (1..200_000u32, 1..2_000_000u64, 0..9u32).prop_map(|(processors, memory, accelerators)| {
        ResourceSize {
            processors: ProcessorShare(processors),
            memory: MemorySize(memory * 1_000_000),
            accelerators: AcceleratorCount(accelerators),
        }
    })
}

/// Generates durations that both schemas can represent.
fn span() -> impl Strategy<Value = TimeSpan> {
    (1..86_400_000u64).prop_map(|millis| TimeSpan(Duration::from_millis(millis)))
}

fn urgency() -> impl Strategy<Value = UrgencyClass> {
    prop_oneof![
        Just(UrgencyClass::Background),
        Just(UrgencyClass::Normal),
        Just(UrgencyClass::Urgent)
    ]
}

fn service() -> impl Strategy<Value = RecordSpec> {
    let counts = (1..100u32, 1..50u32, 0..50u32, 0..1000u32);
    let names = (name(), name(), "[!-~]{1,80}");
    let flags = (any::<bool>(), any::<bool>());
    (names, counts, size(), span(), 1..=100u32, urgency(), flags).prop_map(
        |(
            (team, group, command),
            (replicas, slots, spare, queue_limit),
            size,
            deadline,
            percent,
            urgency,
            (idempotent, listener),
        )| {
            let millis = u64::try_from(deadline.0.as_millis()).unwrap();
            let goal = (millis * u64::from(percent) / 100).max(1);
            RecordSpec::Service(ServiceSpec {
                team: team.parse().unwrap(),
                replicas,
                size,
                group: group.parse().unwrap(),
                command: command.into(),
                slots: SlotCount(slots),
                connections: slots + spare,
                deadline,
                latency_goal: TimeSpan(Duration::from_millis(goal)),
                urgency,
                queue_limit,
                idempotent,
                listener,
            })
        },
    )
}

fn job() -> impl Strategy<Value = RecordSpec> {
    (
        name(),
        name(),
        "[!-~]{1,80}",
        1..1000u32,
        size(),
        urgency(),
        any::<bool>(),
        1..10u32,
    )
        .prop_map(
            |(team, group, command, tasks, size, urgency, idempotent, failure_limit)| {
                RecordSpec::Job(JobSpec {
                    team: team.parse().unwrap(),
                    tasks,
                    size,
                    group: group.parse().unwrap(),
                    command: command.into(),
                    urgency,
                    idempotent,
                    failure_limit,
                })
            },
        )
}

/// Generates records other than services and jobs.
fn other() -> impl Strategy<Value = RecordSpec> {
    let team = (size(), 1..1000u32, proptest::option::of(1..10_000u32)).prop_map(
        |(quota, weight, rate)| {
            RecordSpec::Team(TeamSpec {
                quota,
                weight,
                rate: rate.map(RequestRate),
            })
        },
    );
    let binding = (name(), name(), urgency(), proptest::option::of(span())).prop_map(
        |(service, team, urgency, deadline)| {
            RecordSpec::Binding(BindingSpec {
                service: service.parse().unwrap(),
                team: team.parse().unwrap(),
                urgency,
                deadline,
            })
        },
    );
    let drain = (name(), 0..3u8).prop_map(|(name, scope)| {
        let scope = match scope {
            0 => DrainScope::Vm(name.parse().unwrap()),
            1 => DrainScope::Rack(name.parse().unwrap()),
            _ => DrainScope::Zone(name.parse().unwrap()),
        };
        RecordSpec::Drain(DrainSpec { scope })
    });
    let cancel = (1..1_000_000u64).prop_map(|generation| {
        RecordSpec::Cancel(CancelSpec {
            generation: RecordGeneration(generation),
        })
    });
    prop_oneof![team, binding, drain, cancel, Just(RecordSpec::Stop)]
}

fn record() -> impl Strategy<Value = OperatorRecord> {
    let spec = prop_oneof![service(), job(), other()];
    (name(), spec, 1..=2u16, 1..1000u64).prop_map(|(name, spec, schema, generation)| {
        OperatorRecord {
            key: RecordKey {
                kind: spec.kind(),
                name: name.parse().unwrap(),
            },
            schema: SchemaVersion(schema),
            generation: RecordGeneration(generation),
            spec,
        }
    })
}

/// Generates an example file with a few characters replaced, removed or inserted.
fn mutated_example() -> impl Strategy<Value = String> {
    let edit = (
        any::<prop::sample::Index>(),
        0..12usize,
        "[ -~\\n:\\-{}\\[\\]'\"&*#]{0,6}",
    );
    let edits = proptest::collection::vec(edit, 1..4);
    (0..EXAMPLES.len(), edits).prop_map(|(example, edits)| {
        let mut text: Vec<char> = EXAMPLES[example].chars().collect();
        for (index, removed, added) in edits {
            let start = index.index(text.len());
            let end = (start + removed).min(text.len());
            text.splice(start..end, added.chars());
        }
        text.into_iter().collect()
    })
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn written_records_are_read_back(record in record()) {
        let document = RecordDocument::from(&record);
        let json = serde_json::to_string(&document).unwrap();
        let yaml = serde_saphyr::to_string(&document).unwrap();
        for text in [json, yaml] {
            let drafts = read_records(&text).map_err(|problems| {
                TestCaseError::fail(format!("{problems}\n{text}"))
            })?;
            prop_assert_eq!(drafts.len(), 1);
            prop_assert_eq!(&drafts[0].key, &record.key);
            prop_assert_eq!(drafts[0].schema, record.schema);
            prop_assert_eq!(drafts[0].replaces, Some(record.generation));
            prop_assert_eq!(&drafts[0].body, &RecordBody::Known(record.spec.clone()));
        }
    }

    #[test]
    fn problems_of_arbitrary_text_have_valid_lines(text in prop_oneof![mutated_example(), ".{0,200}"]) {
        // In YAML, a line ends with a line feed, a carriage return, or both.
        let breaks = text.replace("\r\n", "\n").replace('\r', "\n");
        let lines = u32::try_from(breaks.lines().count()).unwrap();
        if let Err(problems) = read_records(&text) {
            prop_assert!(!problems.is_empty());
            for problem in &problems.problems {
                prop_assert!(problem.line >= 1 && problem.line <= lines + 1, "{problem}\n{text}");
            }
        }
    }
}
