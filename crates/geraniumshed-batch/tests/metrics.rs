//! Checks the list of metrics in the documentation.

use geraniumshed_batch::NodeMetrics;

const PAGE: &str = include_str!("../../../docs/METRICS-PLATFORM.md");

#[test]
fn the_page_lists_exactly_the_metrics_of_a_node() {
    let text = NodeMetrics::open().text();
    let mut served: Vec<&str> = text
        .lines()
        .filter_map(|line| line.strip_prefix("# HELP "))
        .filter_map(|line| line.split_whitespace().next())
        .collect();
    let mut listed: Vec<&str> = PAGE
        .lines()
        .filter_map(|line| line.strip_prefix("| `geraniumshed_"))
        .filter_map(|line| line.split('`').next())
        .collect();
    served.sort_unstable();
    listed.sort_unstable();
    let listed: Vec<String> = listed
        .iter()
        .map(|name| format!("geraniumshed_{name}"))
        .collect();
    assert_eq!(served, listed);
}
