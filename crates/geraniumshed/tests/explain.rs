//! What befell a job, from the logs of nodes.

use geraniumshed::explain::{JobTimeline, LogLine};
use rstest::rstest;

const JOB: &str = "9c0e7a21d94b36f8";

fn line(second: u32, node: &str, text: &str, fields: &str) -> String {
    format!(
        r#"  {second}.5 {node} {{"level":"INFO","timestamp":"2026-05-12 03:46:{second:02}.000000 +00:00","kv":{{{fields}}},"text":"{text}"}}"#
    )
}

fn own(fields: &str) -> String {
    format!(r#""job":"{JOB}"{fields}"#)
}

fn pick(lines: &[String]) -> Vec<(String, String)> {
    let read = lines.iter().filter_map(|line| LogLine::read(line, "f.log"));
    let timeline = JobTimeline::pick(JOB, read.collect());
    let told = timeline.lines().iter();
    told.map(|line| (line.origin.clone(), line.text.clone()))
        .collect()
}

#[test]
fn the_lines_of_all_nodes_stand_in_order_of_time() {
    let lines = [
        line(7, "b", "job ended", &own(r#","in_time":"no""#)),
        line(3, "a", "job was handed in", &own("")),
        line(4, "b", "tasks got workers", r#""job":"other""#),
        line(
            5,
            "b",
            "run ended without success",
            &own(r#","worker":"w1""#),
        ),
    ];
    let expected = [
        ("a", "job was handed in"),
        ("b", "run ended without success"),
        ("b", "job ended"),
    ];
    let expected = expected.map(|(node, text)| (node.to_owned(), text.to_owned()));
    assert_eq!(pick(&lines), expected);
}

#[rstest]
#[case::own_worker(5, "worker is given up", r#""worker":"w1""#, true)]
#[case::other_worker(5, "worker is given up", r#""worker":"w2""#, false)]
#[case::leader(5, "elected to lead", r#""term":"4""#, true)]
#[case::leader_before(1, "elected to lead", r#""term":"3""#, false)]
#[case::store(6, "dependency is lost", r#""dependency":"store""#, true)]
#[case::store_after(9, "dependency is back", r#""dependency":"store""#, false)]
fn what_befell_workers_and_nodes_meanwhile_is_told_too(
    #[case] second: u32,
    #[case] text: &str,
    #[case] fields: &str,
    #[case] is_told: bool,
) {
    let lines = [
        line(3, "a", "job was handed in", &own("")),
        line(
            4,
            "b",
            "run ended without success",
            &own(r#","worker":"w1""#),
        ),
        line(8, "b", "job ended", &own("")),
        line(second, "c", text, fields),
    ];
    let told = pick(&lines).iter().any(|(_, told)| told == text);
    assert_eq!(told, is_told);
}

#[rstest]
#[case::bare(r#"{"timestamp":"t","text":"x"}"#, Some("f.log"))]
#[case::collected(r#"12.5 edge-1 {"timestamp":"t","text":"x"}"#, Some("edge-1"))]
#[case::no_json("12.5 edge-1 panicked", None)]
#[case::other_json(r#"{"a":1}"#, None)]
#[case::cut(r#"{"timestamp":"t","te"#, None)]
fn only_lines_of_nodes_are_read(#[case] text: &str, #[case] origin: Option<&str>) {
    let read = LogLine::read(text, "f.log");
    assert_eq!(read.as_ref().map(|line| line.origin.as_str()), origin);
}
