//! Reading of record files in both schemas, and the problems reported for invalid ones.

use geraniumshed_model::prelude::{
    MemorySize, OperatorRecord, ProcessorShare, RecordBody, RecordGeneration, RecordKind,
    RecordSpec, SchemaVersion,
};
use geraniumshed_wire::record::{RecordDocument, RecordDraft, read_records};
use rstest::rstest;

const CAMARA: &str = include_str!("../../../examples/camara.yaml");
const YILDIZ: &str = include_str!("../../../examples/yildiz.yaml");

/// Reads an invalid record file and returns its problems as text.
fn problems(file: &str) -> Vec<String> {
    let list = read_records(file).unwrap_err();
    list.problems.iter().map(ToString::to_string).collect()
}

/// Returns the record that the draft becomes when it is published as generation 7.
fn in_force(draft: &RecordDraft) -> OperatorRecord {
    let RecordBody::Known(spec) = &draft.body else {
        panic!("the schema is unknown");
    };
    OperatorRecord {
        key: draft.key.clone(),
        schema: draft.schema,
        generation: RecordGeneration(7),
        spec: spec.clone(),
    }
}

#[rstest]
#[case::new_schema(CAMARA, SchemaVersion::V2, 6)]
#[case::old_schema(YILDIZ, SchemaVersion::V1, 6)]
fn example_records_round_trip_through_json(
    #[case] file: &str,
    #[case] schema: SchemaVersion,
    #[case] count: usize,
) {
    let drafts = read_records(file).unwrap();
    assert_eq!(drafts.len(), count);
    for draft in &drafts {
        assert_eq!(draft.schema, schema);
        assert_eq!(draft.replaces, None);
        let json = serde_json::to_string_pretty(&RecordDocument::from(&in_force(draft))).unwrap();
        let again = read_records(&json).unwrap();
        assert_eq!(again[0].key, draft.key);
        assert_eq!(again[0].schema, draft.schema);
        assert_eq!(again[0].body, draft.body);
        assert_eq!(again[0].replaces, Some(RecordGeneration(7)));
    }
}

#[test]
fn both_schemas_convert_to_the_same_model() {
    let old = "schema: 1\nkind: job\nname: sync\nspec: {team: t, cpus: 0.5, memory_mb: 512, command: run}\n";
    let new = "schema: 2\nkind: job\nname: sync\nspec: {team: t, processors: 500m, memory: 512MB, command: run}\n";
    let (old, new) = (read_records(old).unwrap(), read_records(new).unwrap());
    assert_eq!(old[0].body, new[0].body);
    let RecordBody::Known(RecordSpec::Job(job)) = &old[0].body else {
        panic!("not a job");
    };
    assert_eq!(job.size.processors, ProcessorShare(500));
    assert_eq!(job.size.memory, MemorySize(512_000_000));
    assert_eq!((job.tasks, job.idempotent), (1, false));
}

#[test]
fn all_problems_are_reported_with_their_lines() {
    let file = "\
schema: 2
kind: service
name: bookings
spec:
  replicas: 0
  processors: 500q
  memory: 2GB
  comand: serve
  deadline: 250
  idempotent: \"yes\"
---
schema: 2
kind: job
name: -bad
spec:
  team: t
  processors: 1
  memory: 1GB
  command: run
  tasks: many
";
    let found = problems(file);
    let expected = [
        (5, "spec.team: is missing"),
        (5, "spec.command: is missing"),
        (
            5,
            "spec.replicas: `0` is out of range; allowed: whole numbers from 1 to 10000",
        ),
        (6, "spec.processors: `500q` can't be read"),
        (8, "spec.comand: is not a field of this section"),
        (9, "spec.deadline: `250` can't be read"),
        (
            10,
            "spec.idempotent: `yes` is not a boolean; allowed: true or false",
        ),
        (14, "name: `-bad` is not valid here"),
        (20, "spec.tasks: `many` is not a whole number"),
    ];
    assert_eq!(found.len(), expected.len(), "{found:#?}");
    for (line, text) in expected {
        let start = format!("line {line}: {text}");
        assert!(
            found.iter().any(|line| line.starts_with(&start)),
            "{start}\n{found:#?}"
        );
    }
    assert!(
        found
            .iter()
            .any(|line| line.contains("did you mean `command`?"))
    );
}

#[rstest]
#[case::connections(
    "slots: 8, connections: 4",
    "spec.connections: `4` is less than the number of slots"
)]
#[case::goal(
    "deadline: 100ms, latency_goal: 1s",
    "spec.latency_goal: `1s` is longer than the deadline"
)]
#[case::old_names("cpus: 2", "spec.cpus: is not a field of this section")]
#[case::negative("queue_limit: -1", "spec.queue_limit: `-1` is out of range")]
#[case::list("urgency: [urgent]", "spec.urgency: `(a list)` is not a single value")]
#[case::word(
    "urgency: urgnt",
    "spec.urgency: `urgnt` is not one of the choices; allowed: background, normal, urgent (hint: did you mean `urgent`?)"
)]
fn an_invalid_service_field_is_reported(#[case] extra: &str, #[case] expected: &str) {
    let file = format!(
        "schema: 2\nkind: service\nname: s\nspec: {{team: t, replicas: 1, processors: 1, memory: 1GB, command: serve, {extra}}}\n"
    );
    let found = problems(&file);
    assert_eq!(found.len(), 1, "{found:#?}");
    assert!(found[0].contains(expected), "{found:#?}");
}

#[rstest]
#[case::two_scopes("{vm: a, rack: b}")]
#[case::no_scope("{}")]
fn a_drain_without_exactly_one_scope_is_reported(#[case] spec: &str) {
    let found = problems(&format!("schema: 2\nkind: drain\nname: d\nspec: {spec}\n"));
    assert!(
        found[0].contains("exactly one of `vm`, `rack` and `zone`"),
        "{found:#?}"
    );
}

#[rstest]
#[case::unix("\n")]
#[case::dos("\r\n")]
#[case::bare_returns("\r")]
fn line_numbers_do_not_depend_on_the_line_ending(#[case] end: &str) {
    let file = "schema: 2\nkind: stop\nname: a\n---\nschema: 2\nkind: stop\nname: \"-\"\n";
    let found = problems(&file.replace('\n', end));
    assert!(found[0].starts_with("line 7: name: "), "{found:#?}");
    assert_eq!(found.len(), 1);
}

#[test]
fn a_record_of_an_unknown_schema_is_kept_as_text() {
    let file = "schema: 3\nkind: service\nname: s\nreplaces: 4\nspec:\n  anything: at all\n";
    let drafts = read_records(file).unwrap();
    assert_eq!(drafts[0].key.kind, RecordKind::Service);
    assert_eq!(drafts[0].replaces, Some(RecordGeneration(4)));
    assert_eq!(drafts[0].body, RecordBody::Held(file.into()));
}

#[rstest]
#[case::syntax("schema: 2\nkind: [team\nname: t\n", "line ")]
#[case::later(
    "schema: 2\nkind: stop\nname: a\n---\nschema: 2\nname: -\n",
    "line 6: block sequence entries are not allowed in this context (hint"
)]
#[case::not_a_section("just text\n", "is not a section")]
#[case::duplicate("schema: 2\nschema: 1\nkind: stop\nname: s\n", "duplicate")]
#[case::empty_name("schema: 2\nkind: stop\nname:\n", "name: is missing")]
fn an_invalid_document_is_reported(#[case] file: &str, #[case] expected: &str) {
    let found = problems(file);
    assert!(
        found.iter().any(|line| line.contains(expected)),
        "{found:#?}"
    );
}
