//! Fitting the cost of the control plane to snapshots.

use std::collections::BTreeMap;

use serde::Serialize;
use smol_str::SmolStr;

use super::snapshot::CapacitySnapshot;

/// A line fitted to measured points.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct LinearFit {
    /// The value at zero.
    pub base: f64,
    /// The growth of the value per unit.
    pub slope: f64,
    /// The standard error of the slope.
    pub error: f64,
}

impl LinearFit {
    /// Fits a line by least squares. Without two different positions, the line is flat and its
    /// error infinite.
    pub fn least_squares(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        if points.len() < 2 {
            let base = points.first().map_or(0.0, |(_, y)| *y);
            return Self {
                base,
                slope: 0.0,
                error: f64::INFINITY,
            };
        }
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let x_squares: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        if x_squares == 0.0 {
            return Self {
                base: mean_y,
                slope: 0.0,
                error: f64::INFINITY,
            };
        }
        let xy_products: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let slope = xy_products / x_squares;
        let base = mean_y - slope * mean_x;
        let squared_residuals: f64 = points
            .iter()
            .map(|(x, y)| (y - base - slope * x).powi(2))
            .sum();
        let degrees_of_freedom = (count - 2.0).max(1.0);
        Self {
            base,
            slope,
            error: (squared_residuals / degrees_of_freedom / x_squares).sqrt(),
        }
    }

    /// Returns the fitted value at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}

/// A plane fitted to measured points: a base and one slope for each of two sizes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct PlaneFit {
    /// The value at zero.
    pub base: f64,
    /// The growth per unit of the first size.
    pub first: f64,
    /// The growth per unit of the second size.
    pub second: f64,
    /// The root mean square of the residuals.
    pub error: f64,
}

/// A measured point: two sizes and the value measured at them.
pub type PlanePoint = (f64, f64, f64);

impl PlaneFit {
    /// Fits a plane by least squares; if the points don't determine one, it is flat.
    pub fn least_squares(points: &[PlanePoint]) -> Self {
        let count = (points.len() as f64).max(1.0);
        let mean = |read: fn(&PlanePoint) -> f64| points.iter().map(read).sum::<f64>() / count;
        let cross_sum = |left: fn(&PlanePoint) -> f64, right: fn(&PlanePoint) -> f64| {
            let (mean_left, mean_right) = (mean(left), mean(right));
            let products = points
                .iter()
                .map(|p| (left(p) - mean_left) * (right(p) - mean_right));
            products.sum::<f64>()
        };
        let (first_squares, second_squares) =
            (cross_sum(|p| p.0, |p| p.0), cross_sum(|p| p.1, |p| p.1));
        let cross_products = cross_sum(|p| p.0, |p| p.1);
        let (first_products, second_products) =
            (cross_sum(|p| p.0, |p| p.2), cross_sum(|p| p.1, |p| p.2));
        let determinant = first_squares * second_squares - cross_products * cross_products;
        if determinant == 0.0 {
            let base = mean(|p| p.2);
            return Self {
                base,
                ..Self::default()
            };
        }
        let first =
            (first_products * second_squares - second_products * cross_products) / determinant;
        let second =
            (second_products * first_squares - first_products * cross_products) / determinant;
        let base = mean(|p| p.2) - first * mean(|p| p.0) - second * mean(|p| p.1);
        let squared_residuals = points
            .iter()
            .map(|(x, y, z)| (z - base - first * x - second * y).powi(2));
        let error = (squared_residuals.sum::<f64>() / count).sqrt();
        Self {
            base,
            first,
            second,
            error,
        }
    }

    /// Returns the fitted value at a pair of sizes.
    pub fn at(&self, first: f64, second: f64) -> f64 {
        self.base + self.first * first + self.second * second
    }
}

/// The cost of the control plane for one daemon, as a function of the cluster's size.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct CostModel {
    /// The processor time of an idle daemon, in milliseconds per second, by the workers and the
    /// tasks of its shards.
    pub idle_processor: PlaneFit,
    /// The resident memory of a daemon, in bytes, by the workers and the tasks of its shards.
    pub resident: PlaneFit,
    /// The bytes per second between an idle daemon and its workers, by the workers and the tasks of
    /// its shards.
    pub worker_bytes: PlaneFit,
    /// The bytes per second between an idle daemon and the log, by the shards that it owns.
    pub log_bytes: LinearFit,
    /// The bytes per second between an idle daemon and the VM list.
    pub list_bytes: f64,
    /// The highest measured bytes per second between an idle daemon and its peers.
    pub peer_bytes: f64,
    /// The log entries per second that an idle daemon appends.
    pub idle_appends: f64,
    /// The control traffic of all daemons per task start, in bytes.
    pub start_bytes: f64,
    /// The processor time of all daemons per task start, in milliseconds.
    pub start_processor: f64,
    /// The log entries per task start.
    pub start_appends: f64,
    /// The log traffic of all daemons per configuration change, in bytes, by the number of daemons.
    pub change_bytes: LinearFit,
    /// The processor time of all daemons per configuration change, in milliseconds, by the number
    /// of daemons.
    pub change_processor: LinearFit,
}

/// The increase of the counters between two snapshots of a run.
#[derive(Debug, Clone)]
struct PhaseCost {
    run: SmolStr,
    phase: SmolStr,
    workers: f64,
    daemons: f64,
    tasks: f64,
    seconds: f64,
    processor_ms: f64,
    resident: f64,
    log_bytes: f64,
    list_bytes: f64,
    worker_bytes: f64,
    peer_bytes: f64,
    appends: f64,
}

impl PhaseCost {
    fn between(begin: &CapacitySnapshot, end: &CapacitySnapshot) -> Self {
        let increase = |begin: u64, end: u64| end.saturating_sub(begin) as f64;
        Self {
            run: begin.run.clone(),
            phase: begin.phase.clone(),
            workers: f64::from(begin.workers),
            daemons: f64::from(begin.daemons),
            tasks: f64::from(begin.tasks),
            seconds: increase(begin.at_ms, end.at_ms) / 1000.0,
            processor_ms: increase(begin.processor_ms, end.processor_ms),
            resident: end.resident as f64,
            log_bytes: increase(begin.log_bytes, end.log_bytes),
            list_bytes: increase(begin.list_bytes, end.list_bytes),
            worker_bytes: increase(begin.worker_bytes, end.worker_bytes),
            peer_bytes: increase(begin.peer_bytes, end.peer_bytes),
            appends: increase(begin.appends, end.appends),
        }
    }

    /// Returns a cost per daemon and second.
    fn rate(&self, cost: f64) -> f64 {
        cost / self.daemons / self.seconds
    }

    fn control_bytes(&self) -> f64 {
        self.log_bytes + self.list_bytes + self.worker_bytes + self.peer_bytes
    }
}

/// The number of shards of the clusters that `scripts/capacity.sh` runs.
pub const MEASURED_SHARDS: f64 = 24.0;

/// The number of records that the phase `config` publishes.
pub const CONFIG_CHANGES: f64 = 60.0;

/// Fits a cost model to the snapshots of several runs.
pub fn fit_costs(snapshots: &[CapacitySnapshot]) -> CostModel {
    let phases = phase_costs(snapshots);
    let in_phase = |name: &str| -> Vec<&PhaseCost> {
        phases.iter().filter(|phase| phase.phase == name).collect()
    };
    let idle = in_phase("idle");
    let start = in_phase("start");
    let config = in_phase("config");
    let log_points: Vec<_> = idle
        .iter()
        .map(|p| (MEASURED_SHARDS / p.daemons, p.rate(p.log_bytes)))
        .collect();
    let plane = |cost: fn(&PhaseCost) -> f64| {
        let points = idle
            .iter()
            .map(|p| (p.workers / p.daemons, p.tasks / p.daemons, cost(p)));
        PlaneFit::least_squares(&points.collect::<Vec<_>>())
    };
    let above_idle = |cost: fn(&PhaseCost) -> f64| mean_above_idle(&start, &idle, cost);
    CostModel {
        idle_processor: plane(|p| p.rate(p.processor_ms)),
        resident: plane(|p| p.resident),
        worker_bytes: plane(|p| p.rate(p.worker_bytes)),
        log_bytes: LinearFit::least_squares(&log_points),
        list_bytes: mean(idle.iter().map(|p| p.rate(p.list_bytes))),
        peer_bytes: idle
            .iter()
            .map(|p| p.rate(p.peer_bytes))
            .fold(0.0, f64::max),
        idle_appends: mean(idle.iter().map(|p| p.rate(p.appends))),
        start_bytes: above_idle(PhaseCost::control_bytes),
        start_processor: above_idle(|p| p.processor_ms),
        start_appends: above_idle(|p| p.appends),
        change_bytes: change_line(&config, &idle, |p| p.log_bytes),
        change_processor: change_line(&config, &idle, |p| p.processor_ms),
    }
}

/// Returns the cost of each phase, from consecutive snapshots of each run.
fn phase_costs(snapshots: &[CapacitySnapshot]) -> Vec<PhaseCost> {
    let mut runs: BTreeMap<&SmolStr, Vec<&CapacitySnapshot>> = BTreeMap::new();
    for snapshot in snapshots {
        runs.entry(&snapshot.run).or_default().push(snapshot);
    }
    let pairs = runs.values().flat_map(|run| run.windows(2));
    pairs
        .map(|pair| PhaseCost::between(pair[0], pair[1]))
        .collect()
}

/// Returns the idle cost of a phase's run per second, for all daemons together.
fn idle_rate(phase: &PhaseCost, idle: &[&PhaseCost], cost: fn(&PhaseCost) -> f64) -> f64 {
    let same_run = idle.iter().filter(|other| other.run == phase.run);
    mean(same_run.map(|other| cost(other) / other.seconds))
}

/// Returns the mean cost of a task start above the idle cost of the cluster.
fn mean_above_idle(start: &[&PhaseCost], idle: &[&PhaseCost], cost: fn(&PhaseCost) -> f64) -> f64 {
    mean(start.iter().map(|phase| {
        let idle_cost = idle_rate(phase, idle, cost) * phase.seconds;
        ((cost(phase) - idle_cost) / phase.tasks).max(0.0)
    }))
}

/// Fits a line to the cost of a configuration change above the idle cost, by the number of daemons.
fn change_line(
    config: &[&PhaseCost],
    idle: &[&PhaseCost],
    cost: fn(&PhaseCost) -> f64,
) -> LinearFit {
    let points: Vec<_> = config
        .iter()
        .map(|phase| {
            let idle_cost = idle_rate(phase, idle, cost) * phase.seconds;
            (
                phase.daemons,
                ((cost(phase) - idle_cost) / CONFIG_CHANGES).max(0.0),
            )
        })
        .collect();
    LinearFit::least_squares(&points)
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = values.fold((0.0, 0.0), |(sum, count), value| (sum + value, count + 1.0));
    if count == 0.0 { 0.0 } else { sum / count }
}
