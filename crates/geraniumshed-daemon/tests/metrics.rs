//! The list of metrics, and their reports to a `StatsD` server.

use std::collections::BTreeSet;
use std::net::UdpSocket;
use std::time::Duration;

use geraniumshed_daemon::telemetry::{
    METRIC_LIST, MetricKind, MetricName, MetricReporter, MetricSet,
};

const PAGE: &str = include_str!("../../../docs/METRICS.md");

#[test]
fn the_metrics_page_matches_the_list() {
    let listed: Vec<&str> = PAGE
        .lines()
        .filter(|line| line.starts_with("| `"))
        .collect();
    let expected: Vec<String> = METRIC_LIST
        .iter()
        .map(|entry| {
            let kind = match entry.kind {
                MetricKind::Counter => "counter",
                MetricKind::Gauge => "gauge",
            };
            format!(
                "| `geraniumshed.{}` | {kind} | {} |",
                entry.name, entry.meaning
            )
        })
        .collect();
    assert_eq!(listed, expected);
}

#[test]
fn each_metric_maps_to_its_own_entry() {
    let names: BTreeSet<&str> = METRIC_LIST.iter().map(|entry| entry.name).collect();
    assert_eq!(names.len(), METRIC_LIST.len());
    for entry in METRIC_LIST {
        assert_eq!(entry.metric.entry().name, entry.name);
    }
}

#[test]
fn counters_report_increments_and_gauges_report_values() {
    let server = UdpSocket::bind("127.0.0.1:0").unwrap();
    server
        .set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    let mut reporter = MetricReporter::open(server.local_addr().unwrap()).unwrap();
    let mut set = MetricSet::default();
    for (received, active) in [(5, 2), (5, 1), (9, 0)] {
        set.count(MetricName::EntryReceived, received);
        set.count(MetricName::EntryActive, active);
        reporter.report(&set);
    }
    let mut lines = Vec::new();
    while lines.len() < 5 {
        let mut buffer = [0; 1500];
        let size = server.recv(&mut buffer).unwrap();
        let text = std::str::from_utf8(&buffer[..size]).unwrap();
        lines.extend(text.lines().map(str::to_owned));
    }
    let expected = [
        "geraniumshed.entry.received:5|c",
        "geraniumshed.entry.active:2|g",
        "geraniumshed.entry.active:1|g",
        "geraniumshed.entry.received:4|c",
        "geraniumshed.entry.active:0|g",
    ];
    assert_eq!(lines, expected);
}
