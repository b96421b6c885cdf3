//! The command `standin`, run as a separate process.

use std::fs;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use rstest::rstest;

fn settings_file(name: &str, text: &str) -> PathBuf {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = directory.join(format!("standin-{}-{name}.yaml", std::process::id()));
    fs::write(&path, text).unwrap();
    path
}

fn spawn(settings: &PathBuf) -> Child {
    Command::new(env!("CARGO_BIN_EXE_geraniumshed"))
        .args(["standin", "--settings"])
        .arg(settings)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap()
}

/// Returns the example settings of the manual, with all ports set to 0.
fn documented_settings() -> String {
    let manual = include_str!("../../../docs/STANDIN.md");
    let (_, rest) = manual.split_once("```yaml\n").unwrap();
    let (example, _) = rest.split_once("```").unwrap();
    example.replace("76", "0 # 76")
}

#[test]
fn the_documented_settings_work_until_sigterm() {
    let settings = settings_file("documented", &documented_settings());
    let mut child = spawn(&settings);
    let lines = BufReader::new(child.stdout.take().unwrap()).lines();
    let lines: Vec<String> = lines.take(4).map(Result::unwrap).collect();
    assert_eq!(lines.last().map(String::as_str), Some("workers  4"));
    let control = lines[2].split_whitespace().last().unwrap();
    std::net::TcpStream::connect(control).unwrap();
    let id = i32::try_from(child.id()).unwrap();
    kill(Pid::from_raw(id), Signal::SIGTERM).unwrap();
    assert_eq!(child.wait().unwrap().code(), Some(0));
}

#[rstest]
#[case::unknown_field("sed: 7", "sed")]
#[case::bad_unit("vm_list_lag: 5", "such as `250ms`")]
#[case::bad_size("workers: { memory: 5GiB }", "such as `125GB`")]
#[case::no_yaml("seed: [", "can't be used")]
fn invalid_settings_are_rejected_with_a_reason(#[case] text: &str, #[case] part: &str) {
    let name: String = part.chars().filter(char::is_ascii_alphanumeric).collect();
    let settings = settings_file(&name, text);
    let output = spawn(&settings).wait_with_output().unwrap();
    let error = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(6), "{error}");
    assert!(error.contains(part), "{error}");
}
