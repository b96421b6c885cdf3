//! The OpenAPI file matches the routes and the wire types.

use std::collections::BTreeSet;

use geraniumshed_daemon::operator::OPERATOR_ROUTES;
use geraniumshed_model::prelude::{ErrorKind, ProblemError};
use geraniumshed_wire::document::{DocumentNode, FieldProblem, NodeValue, parse_document};
use geraniumshed_wire::operator::{
    CheckReply, CheckedRecord, ClusterStatus, HistoryEntry, LevelRequest, PeerState,
    ProblemDocument, PublishReply, ResolveRequest, ServiceState, ShardState, TaskDecision,
    TaskState,
};
use rstest::rstest;
use serde_json::{Value, json, to_value};

const FILE: &str = include_str!("../../../docs/openapi.yaml");

/// Returns the fields of the section at a path of names.
fn section<'a>(node: &'a DocumentNode, path: &[&str]) -> &'a [(smol_str::SmolStr, DocumentNode)] {
    let NodeValue::Section(fields) = &node.value else {
        panic!("no section at {path:?}");
    };
    let Some((first, rest)) = path.split_first() else {
        return fields;
    };
    let found = fields.iter().find(|(name, _)| name == first);
    section(&found.unwrap_or_else(|| panic!("no `{first}`")).1, rest)
}

#[test]
fn the_openapi_file_lists_all_routes() {
    let document = parse_document(FILE).unwrap();
    let mut listed = BTreeSet::new();
    for (path, item) in section(&document, &["paths"]) {
        for (method, operation) in section(item, &[]) {
            listed.insert((method.to_uppercase(), path.to_string()));
            let fields: Vec<_> = section(operation, &[])
                .iter()
                .map(|(name, _)| name)
                .collect();
            assert!(
                fields.iter().any(|name| *name == "summary"),
                "{method} {path}"
            );
            assert_eq!(
                section(operation, &["responses"]).len(),
                2,
                "{method} {path}"
            );
        }
    }
    let routes: BTreeSet<_> = OPERATOR_ROUTES
        .iter()
        .map(|entry| (entry.method.to_owned(), entry.path.to_owned()))
        .collect();
    assert_eq!(listed, routes);
}

#[rstest]
#[case("ClusterStatus", to_value(ClusterStatus::default()).unwrap())]
#[case("DaemonState", to_value(ClusterStatus::default().daemon).unwrap())]
#[case("ConfigProgress", to_value(ClusterStatus::default().config).unwrap())]
#[case("LogState", to_value(ClusterStatus::default().log).unwrap())]
#[case("PeerState", to_value(PeerState::default()).unwrap())]
#[case("ShardState", to_value(ShardState::default()).unwrap())]
#[case("ServiceState", to_value(ServiceState::default()).unwrap())]
#[case("TaskState", to_value(TaskState::default()).unwrap())]
#[case("PublishReply", to_value(PublishReply { kind: "job".into(), name: "a".into(), generation: 1, offset: 1 }).unwrap())]
#[case("CheckReply", to_value(CheckReply { records: Vec::new() }).unwrap())]
#[case("CheckedRecord", to_value(CheckedRecord { kind: "job".into(), name: "a".into(), schema: 1, current: 0 }).unwrap())]
#[case("HistoryEntry", to_value(HistoryEntry { offset: 0, action: "publish".into(), schema: 1, replaces: 0, verdict: "held".into(), generation: 0 }).unwrap())]
#[case("LevelRequest", to_value(LevelRequest { level: "info".into() }).unwrap())]
#[case("ResolveRequest", to_value(ResolveRequest { decision: TaskDecision::Rerun }).unwrap())]
#[case("ProblemDocument", problem())]
#[case("RecordDocument", json!({"schema": 1, "kind": "job", "name": "a", "replaces": 1, "spec": {}}))]
fn schemas_and_wire_types_have_the_same_fields(#[case] name: &str, #[case] value: Value) {
    let document = parse_document(FILE).unwrap();
    let path = ["components", "schemas", name, "properties"];
    let listed: BTreeSet<_> = section(&document, &path)
        .iter()
        .map(|(name, _)| name.to_string())
        .collect();
    let encoded: BTreeSet<_> = value.as_object().unwrap().keys().cloned().collect();
    assert_eq!(listed, encoded);
}

/// Encodes a problem document that contains a problem of a field.
fn problem() -> Value {
    let error = ProblemError::new(ErrorKind::InvalidRecord, "wrong", "mend it");
    let mut document = ProblemDocument::from(&error);
    document.problems.push(FieldProblem {
        line: 1,
        path: "spec".into(),
        value: "x".into(),
        problem: "is wrong".into(),
        allowed: "y".into(),
        hint: "z".into(),
    });
    to_value(document).unwrap()
}
