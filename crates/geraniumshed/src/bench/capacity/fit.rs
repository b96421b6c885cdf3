//! Unit costs and slopes from snapshots.

use std::collections::BTreeMap;

use serde::Serialize;
use smol_str::SmolStr;

use super::snapshot::CapacitySnapshot;

/// A straight line through measured points.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct LinearFit {
    /// The value at zero.
    pub base: f64,
    /// The growth of the value with each unit.
    pub slope: f64,
    /// The standard error of the slope.
    pub error: f64,
}

impl LinearFit {
    /// Fits a line by least squares.
    pub fn through(points: &[(f64, f64)]) -> Self {
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
        let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        if spread == 0.0 {
            return Self {
                base: mean_y,
                slope: 0.0,
                error: f64::INFINITY,
            };
        }
        let joint: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let slope = joint / spread;
        let base = mean_y - slope * mean_x;
        let residue: f64 = points
            .iter()
            .map(|(x, y)| (y - base - slope * x).powi(2))
            .sum();
        let freedom = (count - 2.0).max(1.0);
        Self {
            base,
            slope,
            error: (residue / freedom / spread).sqrt(),
        }
    }

    /// Returns the value at a point.
    pub fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}

/// A plane through measured points: a base and a slope for each of two sizes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct PlaneFit {
    /// The value at zero.
    pub base: f64,
    /// The growth with each unit of the first size.
    pub first: f64,
    /// The growth with each unit of the second size.
    pub second: f64,
    /// The root of the mean squared distance of the points from the plane.
    pub error: f64,
}

/// A measured point: two sizes and the value.
pub type PlanePoint = (f64, f64, f64);

impl PlaneFit {
    /// Fits a plane by least squares; without enough points it is flat.
    pub fn through(points: &[PlanePoint]) -> Self {
        let count = (points.len() as f64).max(1.0);
        let mean = |read: fn(&PlanePoint) -> f64| points.iter().map(read).sum::<f64>() / count;
        let joint = |left: fn(&PlanePoint) -> f64, right: fn(&PlanePoint) -> f64| {
            let (mean_left, mean_right) = (mean(left), mean(right));
            let products = points
                .iter()
                .map(|p| (left(p) - mean_left) * (right(p) - mean_right));
            products.sum::<f64>()
        };
        let (first_spread, second_spread) = (joint(|p| p.0, |p| p.0), joint(|p| p.1, |p| p.1));
        let shared = joint(|p| p.0, |p| p.1);
        let (first_joint, second_joint) = (joint(|p| p.0, |p| p.2), joint(|p| p.1, |p| p.2));
        let determinant = first_spread * second_spread - shared * shared;
        if determinant == 0.0 {
            let base = mean(|p| p.2);
            return Self {
                base,
                ..Self::default()
            };
        }
        let first = (first_joint * second_spread - second_joint * shared) / determinant;
        let second = (second_joint * first_spread - first_joint * shared) / determinant;
        let base = mean(|p| p.2) - first * mean(|p| p.0) - second * mean(|p| p.1);
        let residues = points
            .iter()
            .map(|(x, y, z)| (z - base - first * x - second * y).powi(2));
        let error = (residues.sum::<f64>() / count).sqrt();
        Self {
            base,
            first,
            second,
            error,
        }
    }

    /// Returns the value at a point.
    pub fn at(&self, first: f64, second: f64) -> f64 {
        self.base + self.first * first + self.second * second
    }
}

/// What control costs one daemon.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct CostModel {
    /// The processor time of a daemon at rest, in milliseconds a second, by the workers and the
    /// tasks of its shards.
    pub idle_processor: PlaneFit,
    /// The memory of a daemon, in bytes, by the workers and the tasks of its shards.
    pub resident: PlaneFit,
    /// The bytes a second at rest between a daemon and its workers, by the workers and the tasks of
    /// its shards.
    pub worker_bytes: PlaneFit,
    /// The bytes a second at rest between a daemon and the log, by the shards that it owns.
    pub log_bytes: LinearFit,
    /// The bytes a second at rest between a daemon and the list of VMs.
    pub list_bytes: f64,
    /// The most bytes a second at rest between a daemon and its peers.
    pub peer_bytes: f64,
    /// The entries a second that a daemon appends at rest.
    pub idle_appends: f64,
    /// The bytes of control for each start of a task, over all daemons.
    pub start_bytes: f64,
    /// The processor time for each start of a task, over all daemons, in milliseconds.
    pub start_processor: f64,
    /// The entries for each start of a task.
    pub start_appends: f64,
    /// The bytes of control for each change of the configuration, by the number of daemons.
    pub change_bytes: LinearFit,
    /// The processor time for each change, over all daemons, in milliseconds.
    pub change_processor: LinearFit,
}

/// What happened between two snapshots of a run.
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
        let grown = |begin: u64, end: u64| end.saturating_sub(begin) as f64;
        Self {
            run: begin.run.clone(),
            phase: begin.phase.clone(),
            workers: f64::from(begin.workers),
            daemons: f64::from(begin.daemons),
            tasks: f64::from(begin.tasks),
            seconds: grown(begin.at_ms, end.at_ms) / 1000.0,
            processor_ms: grown(begin.processor_ms, end.processor_ms),
            resident: end.resident as f64,
            log_bytes: grown(begin.log_bytes, end.log_bytes),
            list_bytes: grown(begin.list_bytes, end.list_bytes),
            worker_bytes: grown(begin.worker_bytes, end.worker_bytes),
            peer_bytes: grown(begin.peer_bytes, end.peer_bytes),
            appends: grown(begin.appends, end.appends),
        }
    }

    /// Returns a cost by daemon and second.
    fn rate(&self, cost: f64) -> f64 {
        cost / self.daemons / self.seconds
    }

    fn control_bytes(&self) -> f64 {
        self.log_bytes + self.list_bytes + self.worker_bytes + self.peer_bytes
    }
}

/// The shards of the clusters that `scripts/capacity.sh` runs.
pub const MEASURED_SHARDS: f64 = 24.0;

/// The records that the phase `config` publishes.
pub const CONFIG_CHANGES: f64 = 60.0;

/// Fits the costs to the snapshots of several runs.
pub fn fit_costs(snapshots: &[CapacitySnapshot]) -> CostModel {
    let phases = phase_costs(snapshots);
    let of = |name: &str| -> Vec<&PhaseCost> {
        phases.iter().filter(|phase| phase.phase == name).collect()
    };
    let idle = of("idle");
    let start = of("start");
    let config = of("config");
    let log_points: Vec<_> = idle
        .iter()
        .map(|p| (MEASURED_SHARDS / p.daemons, p.rate(p.log_bytes)))
        .collect();
    let plane = |cost: fn(&PhaseCost) -> f64| {
        let points = idle
            .iter()
            .map(|p| (p.workers / p.daemons, p.tasks / p.daemons, cost(p)));
        PlaneFit::through(&points.collect::<Vec<_>>())
    };
    let extra = |cost: fn(&PhaseCost) -> f64| mean_extra(&start, &idle, cost);
    CostModel {
        idle_processor: plane(|p| p.rate(p.processor_ms)),
        resident: plane(|p| p.resident),
        worker_bytes: plane(|p| p.rate(p.worker_bytes)),
        log_bytes: LinearFit::through(&log_points),
        list_bytes: mean(idle.iter().map(|p| p.rate(p.list_bytes))),
        peer_bytes: idle
            .iter()
            .map(|p| p.rate(p.peer_bytes))
            .fold(0.0, f64::max),
        idle_appends: mean(idle.iter().map(|p| p.rate(p.appends))),
        start_bytes: extra(PhaseCost::control_bytes),
        start_processor: extra(|p| p.processor_ms),
        start_appends: extra(|p| p.appends),
        change_bytes: change_line(&config, &idle, |p| p.log_bytes),
        change_processor: change_line(&config, &idle, |p| p.processor_ms),
    }
}

/// Pairs the snapshots of each run in the order in which they were taken.
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

/// Returns the cost at rest, by second over all daemons, of a phase's run.
fn idle_rate(phase: &PhaseCost, idle: &[&PhaseCost], cost: fn(&PhaseCost) -> f64) -> f64 {
    let alike = idle.iter().filter(|other| other.run == phase.run);
    mean(alike.map(|other| cost(other) / other.seconds))
}

/// Returns what each start cost above what the cluster costs at rest.
fn mean_extra(start: &[&PhaseCost], idle: &[&PhaseCost], cost: fn(&PhaseCost) -> f64) -> f64 {
    mean(start.iter().map(|phase| {
        let rest = idle_rate(phase, idle, cost) * phase.seconds;
        ((cost(phase) - rest) / phase.tasks).max(0.0)
    }))
}

/// Fits what each change of the configuration costs to the number of daemons.
fn change_line(
    config: &[&PhaseCost],
    idle: &[&PhaseCost],
    cost: fn(&PhaseCost) -> f64,
) -> LinearFit {
    let points: Vec<_> = config
        .iter()
        .map(|phase| {
            let rest = idle_rate(phase, idle, cost) * phase.seconds;
            (
                phase.daemons,
                ((cost(phase) - rest) / CONFIG_CHANGES).max(0.0),
            )
        })
        .collect();
    LinearFit::through(&points)
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = values.fold((0.0, 0.0), |(sum, count), value| (sum + value, count + 1.0));
    if count == 0.0 { 0.0 } else { sum / count }
}
