//! The cost of the control plane at the current cluster sizes and at the target size.

use std::error::Error;
use std::fmt::Write as _;
use std::fs;

use gumdrop::Options;
use serde::Serialize;

use super::cost_model::{CostModel, LinearFit, fit_costs};
use super::snapshot::CapacitySnapshot;

/// The number of seconds in a day.
const DAY_SECONDS: f64 = 86_400.0;

/// The options of `bench capacity fit`.
#[derive(Debug, Options)]
pub struct FitArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "file with the snapshots", meta = "FILE")]
    file: String,
    #[options(no_short, help = "print JSON instead of tables")]
    json: bool,
}

/// The size of a cluster and of its load.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct ClusterSize {
    /// The name.
    pub name: &'static str,
    /// The number of daemons.
    pub daemons: f64,
    /// The number of shards.
    pub shards: f64,
    /// The number of workers.
    pub workers: f64,
    /// The number of running tasks.
    pub tasks: f64,
    /// The task starts per second at peak load.
    pub peak_starts: f64,
    /// The task starts on an ordinary day.
    pub day_starts: f64,
    /// The configuration changes on an ordinary day, including submitted jobs.
    pub day_changes: f64,
}

/// The current cluster sizes and the target size.
pub const CLUSTER_SIZES: [ClusterSize; 3] = [
    ClusterSize {
        name: "Cámara",
        daemons: 6.0,
        shards: 12.0,
        workers: 50.0,
        tasks: 500.0,
        peak_starts: 10.0,
        day_starts: 5_000.0,
        day_changes: 500.0,
    },
    ClusterSize {
        name: "Yıldız",
        daemons: 7.0,
        shards: 14.0,
        workers: 65.0,
        tasks: 650.0,
        peak_starts: 10.0,
        day_starts: 5_000.0,
        day_changes: 500.0,
    },
    ClusterSize {
        name: "target",
        daemons: 24.0,
        shards: 48.0,
        workers: 840.0,
        tasks: 14_500.0,
        peak_starts: 230.0,
        day_starts: 300_000.0,
        day_changes: 12_900.0,
    },
];

/// The cost of the control plane for one daemon at one cluster size.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct SizeCost {
    /// The size.
    pub size: ClusterSize,
    /// The processor time when idle, in percent of a core.
    pub idle_processor: f64,
    /// The processor time averaged over a day, in percent of a core.
    pub day_processor: f64,
    /// The processor time at the peak rate of starts, in percent of a core.
    pub peak_processor: f64,
    /// The resident memory, in megabytes (10^6 bytes).
    pub memory: f64,
    /// The control traffic when idle, in bytes per second.
    pub idle_bytes: f64,
    /// The control traffic averaged over a day, in bytes per second.
    pub day_bytes: f64,
    /// The control traffic at the peak rate of starts, in bytes per second.
    pub peak_bytes: f64,
    /// The log entries per second of all daemons at the peak rate of starts.
    pub peak_appends: f64,
}

/// Computes the cost of the control plane for one daemon at a cluster size.
pub fn size_cost(model: &CostModel, size: ClusterSize) -> SizeCost {
    let own_workers = size.workers / size.daemons;
    let own_tasks = size.tasks / size.daemons;
    let idle_bytes = model.worker_bytes.at(own_workers, own_tasks)
        + model.log_bytes.at(size.shards / size.daemons)
        + model.list_bytes
        + model.peer_bytes;
    let change_bytes = model.change_bytes.at(size.daemons) / size.daemons;
    let day = |starts: f64, changes: f64| {
        (size.day_starts / DAY_SECONDS / size.daemons) * starts
            + (size.day_changes / DAY_SECONDS) * changes
    };
    let peak = size.peak_starts / size.daemons;
    let change_processor = model.change_processor.at(size.daemons) / size.daemons;
    let idle_processor = model.idle_processor.at(own_workers, own_tasks) / 10.0;
    SizeCost {
        size,
        idle_processor,
        day_processor: idle_processor + day(model.start_processor, change_processor) / 10.0,
        peak_processor: idle_processor + peak * model.start_processor / 10.0,
        memory: model.resident.at(own_workers, own_tasks) / 1e6,
        idle_bytes,
        day_bytes: idle_bytes + day(model.start_bytes, change_bytes),
        peak_bytes: idle_bytes + peak * model.start_bytes,
        peak_appends: size.daemons * model.idle_appends + size.peak_starts * model.start_appends,
    }
}

/// Fits the cost model to a file of snapshots and prints the cost at all sizes.
///
/// # Errors
///
/// Returns an error if the file can't be read or parsed.
pub fn execute(arguments: &FitArguments) -> Result<(), Box<dyn Error>> {
    let text = fs::read_to_string(&arguments.file)?;
    let snapshots: Result<Vec<CapacitySnapshot>, _> =
        text.lines().map(serde_json::from_str).collect();
    let model = fit_costs(&snapshots?);
    let costs: Vec<_> = CLUSTER_SIZES
        .iter()
        .map(|size| size_cost(&model, *size))
        .collect();
    if arguments.json {
        let document = serde_json::json!({ "model": model, "sizes": costs });
        println!("{}", serde_json::to_string_pretty(&document)?);
    } else {
        print!("{}", model_table(&model)?);
        println!();
        print!("{}", cost_table(&costs)?);
    }
    Ok(())
}

/// Formats the fitted costs as tables.
fn model_table(model: &CostModel) -> Result<String, std::fmt::Error> {
    let mut text = String::from("| cost of one daemon | base | slope | error of the slope |\n");
    text.push_str("| --- | --- | --- | --- |\n");
    let mut row = |name: &str, fit: &LinearFit, scale: f64| {
        let (base, slope, error) = (fit.base * scale, fit.slope * scale, fit.error * scale);
        writeln!(text, "| {name} | {base:.4} | {slope:.6} | {error:.6} |")
    };
    row(
        "bytes/s with the log at rest, by own shard",
        &model.log_bytes,
        1.0,
    )?;
    row(
        "log bytes of a change, all daemons, by daemon",
        &model.change_bytes,
        1.0,
    )?;
    row(
        "processor ms of a change, all daemons, by daemon",
        &model.change_processor,
        1.0,
    )?;
    text.push_str(&idle_table(model)?);
    writeln!(
        text,
        "Each start of a task costs {:.0} bytes, {:.3} ms of processor time and {:.4}",
        model.start_bytes, model.start_processor, model.start_appends
    )?;
    writeln!(
        text,
        "log entries. A daemon at rest appends {:.3} entries a second.",
        model.idle_appends
    )?;
    Ok(text)
}

/// Formats the cost of an idle daemon, by the workers and the tasks of its shards.
fn idle_table(model: &CostModel) -> Result<String, std::fmt::Error> {
    let mut text = String::from(
        "\n| cost of one daemon at rest | base | by own worker | by own task | error |\n\
         | --- | --- | --- | --- | --- |\n",
    );
    let rows = [
        ("processor, % of a core", &model.idle_processor, 0.1),
        ("memory, MB", &model.resident, 1e-6),
        ("bytes/s with workers", &model.worker_bytes, 1.0),
    ];
    for (name, fit, scale) in rows {
        let values = [fit.base, fit.first, fit.second, fit.error].map(|value| value * scale);
        let [base, first, second, error] = values;
        writeln!(
            text,
            "| {name} | {base:.3} | {first:.5} | {second:.5} | {error:.3} |"
        )?;
    }
    writeln!(
        text,
        "\nAt rest a daemon spends {:.0} bytes/s with the list of VMs and at most {:.0} with peers.",
        model.list_bytes, model.peer_bytes
    )?;
    Ok(text)
}

/// Formats the costs at all sizes as a table.
fn cost_table(costs: &[SizeCost]) -> Result<String, std::fmt::Error> {
    let mut text = String::from(
        "| size | CPU % rest/day/peak | memory MB | bytes/s rest/day/peak | appends/s peak, all |\n\
         | --- | --- | --- | --- | --- |\n",
    );
    for cost in costs {
        writeln!(
            text,
            "| {} | {:.2} / {:.2} / {:.2} | {:.0} | {:.0} / {:.0} / {:.0} | {:.0} |",
            cost.size.name,
            cost.idle_processor,
            cost.day_processor,
            cost.peak_processor,
            cost.memory,
            cost.idle_bytes,
            cost.day_bytes,
            cost.peak_bytes,
            cost.peak_appends,
        )?;
    }
    Ok(text)
}
