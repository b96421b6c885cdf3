//! The command line without a cluster: help, invalid arguments, invalid files, no daemon.

use std::fs;
use std::process::{Command, Output};

use rstest::rstest;

/// Runs the program without the operator variables of the environment.
fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_geraniumshed"))
        .args(args)
        .env_remove("GERANIUMSHED_OPERATOR_SECRET")
        .env_remove("GERANIUMSHED_OPERATOR_URL")
        .current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."))
        .output()
        .unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[rstest]
fn every_command_has_help(
    #[values(
        "run", "standin", "dev", "check", "publish", "withdraw", "get", "list", "history",
        "cancel", "drain", "stop", "resolve", "status", "loglevel", "bench"
    )]
    name: &str,
) {
    let output = run(&[name, "--help"]);
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
    assert!(text(&output.stdout).contains(&format!("geraniumshed {name}")));
    let general = text(&run(&["help"]).stdout);
    assert!(general.contains(&format!("\n  {name} ")), "{general}");
}

#[rstest]
#[case::nothing(&[], "Commands:")]
#[case::command(&["pubish"], "there is no command `pubish`")]
#[case::option(&["status", "--wach"], "see `geraniumshed status --help`")]
#[case::no_file(&["check"], "no file is named")]
#[case::no_record(&["get"], "no record is named")]
#[case::no_scope(&["drain"], "exactly one of --vm, --rack and --zone")]
#[case::two_scopes(&["drain", "--vm", "a", "--zone", "b"], "exactly one of")]
#[case::no_decision(&["resolve", "a/1/0"], "exactly one of --rerun and --completed")]
#[case::output(&["list", "--output", "xml"], "`xml` is no form of output")]
#[case::span(&["publish", "x", "--timeout", "5"], "span of time")]
#[case::bench(&["bench", "nothing"], "there is no benchmark `nothing`")]
#[case::url(&["list", "--url", "nonsense"], "`nonsense` is no URL")]
fn an_invalid_command_line_exits_with_2_and_a_hint(#[case] args: &[&str], #[case] expected: &str) {
    let output = run(args);
    let errors = text(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{errors}");
    assert!(errors.contains(expected), "{errors}");
}

#[rstest]
#[case::read(&["status", "--url", "http://127.0.0.1:1"])]
#[case::change(&["publish", "examples/camara.yaml", "--url", "http://127.0.0.1:1,http://127.0.0.1:2"])]
fn without_a_daemon_the_exit_code_is_4(#[case] args: &[&str]) {
    let output = run(args);
    assert_eq!(output.status.code(), Some(4));
    assert!(text(&output.stderr).contains("no daemon can be reached"));
}

#[test]
fn the_examples_pass_the_check() {
    let output = run(&[
        "check",
        "examples/camara.yaml",
        "examples/yildiz.yaml",
        "--output",
        "json",
    ]);
    assert_eq!(output.status.code(), Some(0));
    let reply: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(reply["records"].as_array().unwrap().len(), 12);
}

#[test]
fn invalid_files_exit_with_6_and_list_every_problem() {
    let folder = std::env::temp_dir().join(format!("geraniumshed-check-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    let first = folder.join("first.yaml");
    let second = folder.join("second.yaml");
    fs::write(&first, "schema: 2\nkind: stop\nname: s\nextra: 1\n").unwrap();
    fs::write(
        &second,
        "schema: 2\nkind: team\nname: t\nspec:\n  weight: 0\n",
    )
    .unwrap();
    let files = [first.to_str().unwrap(), second.to_str().unwrap()];
    for command in ["check", "publish"] {
        // `publish` checks all files first and calls no daemon if one is invalid.
        let output = run(&[command, files[0], files[1]]);
        let errors = text(&output.stderr);
        assert_eq!(output.status.code(), Some(6), "{errors}");
        for expected in [
            "first.yaml: line 4: extra: is not a field",
            "second.yaml: line 5: spec.weight: `0` is out of range",
            "spec.quota.memory: is missing",
        ] {
            assert!(errors.contains(expected), "{errors}");
        }
    }
    fs::remove_dir_all(folder).unwrap();
}

#[test]
fn settings_are_checked_from_the_command_line() {
    let output = run(&["check", "--settings", "settings.example.yaml"]);
    assert_eq!(output.status.code(), Some(6));
    assert!(text(&output.stderr).contains("GERANIUMSHED_OPERATOR_SECRET"));
    let missing = run(&["check", "--settings", "nowhere.yaml"]);
    assert_eq!(missing.status.code(), Some(6));
    assert!(text(&missing.stderr).contains("nowhere.yaml can't be read"));
}
