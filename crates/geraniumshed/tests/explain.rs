//! The timeline of a job, built from the logs of several nodes.

use geraniumshed::explain::{JobTimeline, LogLine};
use rstest::rstest;

const JOB: &str = "9c0e7a21d94b36f8";

fn line(second: u32, node: &str, text: &str, fields: &str) -> String {
    format!(
        r#"  {second}.5 {node} {{"level":"INFO","timestamp":"2026-05-12 03:46:{second:02}.000000 +00:00","kv":{{{fields}}},"text":"{text}"}}"#
    )
}

fn job_fields(fields: &str) -> String {
    format!(r#""job":"{JOB}"{fields}"#)
}

fn select(lines: &[String]) -> Vec<(String, String)> {
    let parsed = lines
        .iter()
        .filter_map(|line| LogLine::parse(line, "f.log"));
    let timeline = JobTimeline::select(JOB, parsed.collect());
    let selected = timeline.lines().iter();
    selected
        .map(|line| (line.origin.clone(), line.text.clone()))
        .collect()
}

#[test]
fn lines_of_all_nodes_are_sorted_by_time() {
    let lines = [
        line(7, "b", "job ended", &job_fields(r#","in_time":"no""#)),
        line(3, "a", "job was handed in", &job_fields("")),
        line(4, "b", "tasks got workers", r#""job":"other""#),
        line(
            5,
            "b",
            "run ended without success",
            &job_fields(r#","worker":"w1""#),
        ),
    ];
    let expected = [
        ("a", "job was handed in"),
        ("b", "run ended without success"),
        ("b", "job ended"),
    ];
    let expected = expected.map(|(node, text)| (node.to_owned(), text.to_owned()));
    assert_eq!(select(&lines), expected);
}

/// Guards against a rejected job that can't be explained: it leaves no other line than these.
#[test]
fn rejection_is_shown_with_its_inputs() {
    let inputs = job_fields(
        r#","queue":"q","forecast_wait_ms":22000,"forecast_age_ms":90,"allowed_ms":5000"#,
    );
    let text = "job is rejected, since it would start too late to be of use";
    let lines = [
        line(3, "a", text, &inputs),
        line(
            3,
            "a",
            "job was handed in",
            &job_fields(r#","outcome":"overloaded""#),
        ),
    ];
    let parsed = lines
        .iter()
        .filter_map(|line| LogLine::parse(line, "f.log"));
    let timeline = JobTimeline::select(JOB, parsed.collect());
    let rejection = &timeline.lines()[0];
    assert_eq!(rejection.text, text);
    assert_eq!(rejection.fields["forecast_wait_ms"], 22_000);
    assert_eq!(rejection.fields["allowed_ms"], 5_000);
}

#[rstest]
#[case::own_worker(5, "worker is given up", r#""worker":"w1""#, true)]
#[case::other_worker(5, "worker is given up", r#""worker":"w2""#, false)]
#[case::own_silent(5, "worker with runs is silent", r#""worker":"w1","runs":2"#, true)]
#[case::other_silent(5, "worker with runs is silent", r#""worker":"w2","runs":2"#, false)]
#[case::silent_before(2, "worker with runs is silent", r#""worker":"w1","runs":2"#, false)]
#[case::own_answering(
    5,
    "silent worker answers again",
    r#""worker":"w1","silent_ms":9"#,
    true
)]
#[case::other_answering(
    5,
    "silent worker answers again",
    r#""worker":"w2","silent_ms":9"#,
    false
)]
#[case::own_leaving(
    5,
    "worker with runs is leaving",
    r#""worker":"w1","registration":"draining""#,
    true
)]
#[case::other_leaving(
    5,
    "worker with runs is leaving",
    r#""worker":"w2","registration":"draining""#,
    false
)]
#[case::leaving_after(
    9,
    "worker with runs is leaving",
    r#""worker":"w1","registration":"removed""#,
    false
)]
#[case::leader(5, "elected to lead", r#""term":"4""#, true)]
#[case::leader_before(1, "elected to lead", r#""term":"3""#, false)]
#[case::store(6, "dependency is lost", r#""dependency":"store""#, true)]
#[case::zone(5, "zone evacuation started", r#""zone":"z""#, true)]
#[case::store_after(9, "dependency is back", r#""dependency":"store""#, false)]
fn events_of_workers_and_nodes_during_the_job_are_included(
    #[case] second: u32,
    #[case] text: &str,
    #[case] fields: &str,
    #[case] expected: bool,
) {
    let lines = [
        line(3, "a", "job was handed in", &job_fields("")),
        line(
            4,
            "b",
            "run ended without success",
            &job_fields(r#","worker":"w1""#),
        ),
        line(8, "b", "job ended", &job_fields("")),
        line(second, "c", text, fields),
    ];
    let is_selected = select(&lines).iter().any(|(_, found)| found == text);
    assert_eq!(is_selected, expected);
}

#[rstest]
#[case::bare(r#"{"timestamp":"t","text":"x"}"#, Some("f.log"))]
#[case::collected(r#"12.5 edge-1 {"timestamp":"t","text":"x"}"#, Some("edge-1"))]
#[case::no_json("12.5 edge-1 panicked", None)]
#[case::other_json(r#"{"a":1}"#, None)]
#[case::cut(r#"{"timestamp":"t","te"#, None)]
fn only_log_lines_of_nodes_are_parsed(#[case] text: &str, #[case] origin: Option<&str>) {
    let parsed = LogLine::parse(text, "f.log");
    assert_eq!(parsed.as_ref().map(|line| line.origin.as_str()), origin);
}
