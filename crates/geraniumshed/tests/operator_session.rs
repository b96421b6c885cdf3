//! An operator's session with a development cluster that the binary runs.

use std::fs;
use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Output, Stdio};

use geraniumshed::logging::parse_level;
use rstest::rstest;

const SECRET: &str = "development-only";

/// A development cluster, killed when dropped.
struct Cluster {
    process: Child,
    urls: String,
}

impl Cluster {
    fn spawn() -> Self {
        let mut process = Command::new(env!("CARGO_BIN_EXE_geraniumshed"))
            .args(["dev", "--seed", "5"])
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut urls = Vec::new();
        let output = BufReader::new(process.stdout.take().unwrap());
        for line in output.lines() {
            let line = line.unwrap();
            let words: Vec<&str> = line.split_whitespace().collect();
            if words.get(1) == Some(&"operators") {
                urls.push(words[2].to_owned());
            }
            if line.starts_with("try:") {
                break;
            }
        }
        Self {
            process,
            urls: urls.join(","),
        }
    }

    fn call(&self, secret: &str, args: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_geraniumshed"))
            .args(args)
            .env("GERANIUMSHED_OPERATOR_URL", &self.urls)
            .env("GERANIUMSHED_OPERATOR_SECRET", secret)
            .current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."))
            .output()
            .unwrap()
    }

    /// Runs a command, checks its exit code and output, and returns its standard output.
    fn expect(&self, args: &[&str], code: i32, expected: &str) -> String {
        let output = self.call(SECRET, args);
        let printed = String::from_utf8_lossy(&output.stdout).into_owned();
        let errors = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(
            output.status.code(),
            Some(code),
            "{args:?}\n{printed}{errors}"
        );
        assert!(
            format!("{printed}{errors}").contains(expected),
            "{args:?}\n{printed}{errors}"
        );
        printed
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        drop(self.process.kill());
        drop(self.process.wait());
    }
}

#[test]
fn a_cluster_keeps_running_if_its_standard_output_is_closed() {
    let mut process = Command::new(env!("CARGO_BIN_EXE_geraniumshed"))
        .args(["dev", "--seed", "6"])
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    drop(process.stdout.take());
    let errors = BufReader::new(process.stderr.take().unwrap());
    let line = errors
        .lines()
        .map(Result::unwrap)
        .find(|line| line.contains("addresses") || line.contains("panicked"));
    process.kill().unwrap();
    process.wait().unwrap();
    let line = line.expect("the cluster logs the failed write");
    assert!(
        line.contains("nobody reads the cluster's addresses"),
        "{line}"
    );
}

#[test]
fn an_operator_publishes_changes_and_withdraws() {
    let cluster = Cluster::spawn();
    assert_eq!(
        cluster
            .call("another secret altogether", &["status"])
            .status
            .code(),
        Some(7)
    );
    let wait = ["--wait", "--timeout", "2m"];
    let files = ["publish", "examples/camara.yaml", "examples/yildiz.yaml"];
    cluster.expect(
        &[&files[..], &wait[..]].concat(),
        0,
        "in force everywhere (3 daemons)",
    );
    cluster.expect(&["list", "service"], 0, "callback-booking  1");
    let text = cluster.expect(&["get", "service/callback-booking"], 0, "replaces: 1");

    // Two operators change the same generation; the second gets a conflict that names both
    // generations.
    let file =
        std::env::temp_dir().join(format!("geraniumshed-session-{}.yaml", std::process::id()));
    fs::write(&file, text.replace("replicas: 3", "replicas: 2")).unwrap();
    let path = file.to_str().unwrap();
    cluster.expect(
        &["publish", path, "--wait", "--timeout", "2m"],
        0,
        "callback-booking  2",
    );
    cluster.expect(&["publish", path], 3, "is at generation 2, not at 1");
    let history = cluster.expect(&["history", "callback-booking"], 0, "conflict");
    assert_eq!(history.matches("accepted").count(), 2, "{history}");
    fs::remove_file(file).unwrap();

    cluster.expect(
        &["get", "service/nothing"],
        8,
        "no record `service/nothing`",
    );
    cluster.expect(&["stop", "nothing"], 8, "no record `service/nothing`");
    cluster.expect(&["cancel", "nothing"], 8, "no record `job/nothing`");
    cluster.expect(&["withdraw", "binding/nothing"], 8, "binding/nothing");
    cluster.expect(
        &["resolve", "regrade/1/0", "--completed"],
        8,
        "does not wait for a decision",
    );
    cluster.expect(
        &["loglevel", "nonsense"],
        6,
        "`nonsense` is not a level of the log",
    );
    cluster.expect(&["drain", "--zone", "nowhere"], 0, "zone-nowhere  1");
    cluster.expect(
        &["drain", "--zone", "nowhere", "--undo"],
        0,
        "zone-nowhere  2",
    );
    cluster.expect(&["stop", "queue-listener"], 0, "queue-listener  1");
    cluster.expect(&["withdraw", "binding/quotes"], 0, "quotes");
    let status = cluster.expect(&["status", "--output", "json"], 0, "callback-booking");
    let status: serde_json::Value = serde_json::from_str(&status).unwrap();
    assert_eq!(status["peers"].as_array().unwrap().len(), 2);
}

#[rstest]
#[case::level("debug", true)]
#[case::modules("info, geraniumshed_core=debug, tarpc=off", true)]
#[case::word("nonsense", false)]
#[case::module_alone("geraniumshed_core", false)]
#[case::module("geraniumshed_core=loud", false)]
#[case::empty("", false)]
fn only_valid_log_levels_are_parsed(#[case] level: &str, #[case] valid: bool) {
    assert_eq!(parse_level(level).is_ok(), valid);
}
