//! The settings file: the example is complete, environment variables override fields, and all
//! problems are reported together.

use std::collections::BTreeMap;

use geraniumshed_daemon::settings::{DaemonSettings, read_settings};
use geraniumshed_wire::document::{DocumentNode, NodeValue, parse_document};
use rstest::rstest;

const EXAMPLE: &str = include_str!("../../../settings.example.yaml");

/// The fields of the example that have no default.
const REQUIRED: &str = "\
daemon: {id: entry-1, region: montevideo, zone: mvd-1}
platform: {log: '10.0.0.2:7000', vm_list: '10.0.0.2:7001'}
callers: {listen: '10.0.0.11:8080'}
operators: {listen: '10.0.0.11:8081'}
peers: {listen: '10.0.0.11:8082'}
";

const SECRET: &str = "a secret of enough letters";

fn environment(variables: &[(&str, &str)]) -> impl Iterator<Item = (String, String)> {
    let mut all: BTreeMap<String, String> = variables
        .iter()
        .map(|(name, value)| ((*name).to_owned(), (*value).to_owned()))
        .collect();
    all.entry("GERANIUMSHED_OPERATOR_SECRET".to_owned())
        .or_insert_with(|| SECRET.to_owned());
    all.into_iter()
}

fn read(text: &str) -> DaemonSettings {
    read_settings(text, environment(&[])).unwrap().settings
}

fn problems(text: &str, variables: &[(&str, &str)]) -> String {
    let problems = read_settings(text, environment(variables)).unwrap_err();
    problems.to_string()
}

/// Returns the paths of all fields of a document that are not sections.
fn leaf_paths(path: &str, node: &DocumentNode) -> Vec<String> {
    let NodeValue::Section(fields) = &node.value else {
        return vec![path.to_owned()];
    };
    let mut paths = Vec::new();
    for (name, field) in fields {
        let path = if path.is_empty() {
            name.to_string()
        } else {
            format!("{path}.{name}")
        };
        paths.extend(leaf_paths(&path, field));
    }
    paths
}

#[test]
fn the_example_lists_every_field() {
    let read = read_settings(EXAMPLE, environment(&[])).unwrap();
    let mut listed = leaf_paths("", &parse_document(EXAMPLE).unwrap());
    listed.sort();
    assert_eq!(listed, read.fields);
}

#[test]
fn the_example_shows_the_defaults() {
    // The settings are compared by their debug form, which contains every field.
    assert_eq!(
        format!("{:#?}", read(EXAMPLE)),
        format!("{:#?}", read(REQUIRED))
    );
}

#[test]
fn each_field_of_the_example_has_a_comment() {
    let mut previous = "";
    for line in EXAMPLE.lines() {
        if line
            .trim_start()
            .starts_with(|letter: char| letter.is_ascii_lowercase())
        {
            assert!(
                previous.trim_start().starts_with('#'),
                "no comment above: {line}"
            );
        }
        previous = line;
    }
}

#[test]
fn environment_variables_override_fields() {
    let variables = [
        ("GERANIUMSHED_DAEMON_ZONE", "mvd-3"),
        ("GERANIUMSHED_CALLERS_LISTEN", "10.0.0.99:80"),
        ("GERANIUMSHED_CLUSTER_SHARDS", "4"),
        ("GERANIUMSHED_PEERS_SEEDS", "10.0.0.12:8082, 10.0.0.13:8082"),
        ("PATH", "/bin"),
    ];
    let settings = read_settings(EXAMPLE, environment(&variables))
        .unwrap()
        .settings;
    assert_eq!(settings.identity.zone.as_str(), "mvd-3");
    assert_eq!(settings.entry.listen.to_string(), "10.0.0.99:80");
    assert_eq!(settings.cluster.shards, 4);
    assert_eq!(settings.peers.seeds.len(), 2);
}

#[rstest]
#[case::unknown(
    "GERANIUMSHED_DAEMON_ZONR",
    "x",
    "did you mean `GERANIUMSHED_DAEMON_ZONE`?"
)]
#[case::wrong(
    "GERANIUMSHED_CLUSTER_SHARDS",
    "0",
    "as set by GERANIUMSHED_CLUSTER_SHARDS"
)]
#[case::short("GERANIUMSHED_OPERATOR_SECRET", "short", "too short")]
fn invalid_variables_are_reported(#[case] name: &str, #[case] value: &str, #[case] expected: &str) {
    let found = problems(EXAMPLE, &[(name, value)]);
    assert!(found.contains(expected), "{found}");
}

#[test]
fn all_problems_are_reported_together() {
    let text = "\
daemon: {id: entry 1, region: r}
platform:
  log: somewhere
  vm_list: 10.0.0.2:7001
  answer_timeout: 2
callers:
  listen: 10.0.0.11:8080
  body_limit: 1GiB
  conection_limit: 5
peers: []
telemetry:
  log_format: xml
";
    let found = problems(text, &[]);
    for expected in [
        "line 1: daemon.id: `entry 1` is not valid here",
        "line 1: daemon.zone: is missing",
        "line 3: platform.log: `somewhere` is not valid here; allowed: an IP number and a port",
        "line 5: platform.answer_timeout: `2` can't be read",
        "line 8: callers.body_limit: `1GiB` can't be read",
        "line 9: callers.conection_limit: is not a field of this section",
        "did you mean `connection_limit`?",
        "line 10: peers: `(a list)` is not a section",
        "operators.listen: is missing",
        "line 12: telemetry.log_format: `xml` is not one of the choices; allowed: text, json",
    ] {
        assert!(found.contains(expected), "{expected}\n{found}");
    }
}

#[test]
fn a_secret_is_never_shown() {
    let settings = read(EXAMPLE);
    assert!(!format!("{settings:?}").contains(SECRET));
    let found = problems(
        "operators: {}",
        &[("GERANIUMSHED_OPERATOR_SECRET", "sesame")],
    );
    assert!(!found.contains("sesame"), "{found}");
}

#[rstest]
#[case::renewal(
    "scheduler: {lease: 10s, renewal: 6s}",
    "scheduler.renewal: `6s` leaves no time"
)]
#[case::retry(
    "log: {retry_floor: 2s, retry_ceiling: 1s}",
    "log.retry_floor: `2s` is longer"
)]
#[case::regions("cluster: {regions: [ankara]}", "cluster.regions: `(a list)` lacks")]
#[case::tls(
    "operators: {tls: {key: a.pem}}",
    "operators.tls.certificate: and `key` belong"
)]
fn inconsistent_fields_are_reported(#[case] section: &str, #[case] expected: &str) {
    let name = section.split(':').next().unwrap();
    let rest: Vec<&str> = REQUIRED
        .lines()
        .filter(|line| !line.starts_with(name))
        .collect();
    let found = problems(&format!("{}\n{section}\n", rest.join("\n")), &[]);
    assert!(found.contains(expected), "{found}");
}

#[test]
fn operators_need_a_secret_or_certificates() {
    let problems = read_settings(EXAMPLE, std::iter::empty()).unwrap_err();
    assert_eq!(problems.problems.len(), 1, "{problems}");
    assert_eq!(problems.problems[0].path, "operators.secret_file");
}
