//! A plot of the 99th percentile of the latency over the load, with one line per policy.

use std::collections::BTreeMap;
use std::error::Error;
use std::path::Path;

use plotters::prelude::*;

use super::summary::RunSummary;

/// The size of the plot, in pixels.
const PLOT_SIZE: (u32, u32) = (900, 560);

/// Draws the plot into an SVG file.
///
/// # Errors
///
/// Returns an error if the file can't be written.
pub fn plot_latencies(path: &Path, summaries: &[RunSummary]) -> Result<(), Box<dyn Error>> {
    let lines = lines_of(summaries);
    let highest = lines
        .values()
        .flatten()
        .map(|(_, latency)| *latency)
        .fold(1.0, f64::max);
    let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(
            "99th percentile of the callers' latency",
            ("sans-serif", 20),
        )
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(60)
        .build_cartesian_2d(45_u32..125_u32, (10.0..highest * 1.1).log_scale())?;
    chart
        .configure_mesh()
        .x_desc("load, % of slot capacity")
        .y_desc("ms")
        .draw()?;
    for (index, (policy, points)) in lines.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(
                points.iter().copied(),
                color.stroke_width(2),
            ))?
            .label(policy.as_str())
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], color));
    }
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .background_style(WHITE.mix(0.8))
        .position(SeriesLabelPosition::UpperLeft)
        .draw()?;
    area.present()?;
    Ok(())
}

/// Groups the results of runs without slow endpoints by policy, as load and latency.
fn lines_of(summaries: &[RunSummary]) -> BTreeMap<String, Vec<(u32, f64)>> {
    let mut lines: BTreeMap<String, Vec<(u32, f64)>> = BTreeMap::new();
    for summary in summaries.iter().filter(|s| !s.policy.ends_with("+slow")) {
        let line = lines.entry(summary.policy.clone()).or_default();
        line.push((summary.load_percent, summary.p99_ms));
    }
    lines
}
