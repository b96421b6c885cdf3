//! The processors that a worker's runs request, by image.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;

use super::run::RunEntry;

/// The runs with a latency target of one image on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServedLoad {
    /// The strictest latency target of the runs.
    pub target: Duration,
    /// The number of runs.
    pub count: usize,
    /// The processors that the runs request, in thousandths.
    pub processors: u64,
}

/// The processors that a worker's runs request, by image.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WorkerLoad {
    /// The runs with a latency target, by image.
    pub served: BTreeMap<SmolStr, ServedLoad>,
    /// The processors of best-effort runs by image, in thousandths.
    pub best_effort: BTreeMap<SmolStr, u64>,
    /// The processors of all other runs, in thousandths.
    pub other: u64,
    /// The sum of the processors in `served`, in thousandths.
    pub served_sum: u64,
    /// The sum of the processors in `best_effort`, in thousandths.
    pub best_effort_sum: u64,
}

impl WorkerLoad {
    /// Adds a run.
    pub fn add(&mut self, run: &RunEntry) {
        let processors = u64::from(run.processors.0);
        let image = run.image.clone().unwrap_or_default();
        if let Some(target) = run.latency_target {
            let load = self.served.entry(image).or_insert(ServedLoad {
                target,
                count: 0,
                processors: 0,
            });
            load.target = load.target.min(target);
            load.count += 1;
            load.processors += processors;
            self.served_sum += processors;
        } else if run.is_best_effort {
            self.best_effort_sum += processors;
            *self.best_effort.entry(image).or_default() += processors;
        } else {
            self.other += processors;
        }
    }

    /// Removes a run that was added before.
    pub fn remove(&mut self, run: &RunEntry) {
        let processors = u64::from(run.processors.0);
        let image = run.image.clone().unwrap_or_default();
        if run.latency_target.is_some() {
            if let Some(load) = self.served.get_mut(&image) {
                load.count = load.count.saturating_sub(1);
                load.processors = load.processors.saturating_sub(processors);
            }
            self.served.retain(|_, load| load.count > 0);
            self.served_sum = self.served_sum.saturating_sub(processors);
        } else if run.is_best_effort {
            self.best_effort_sum = self.best_effort_sum.saturating_sub(processors);
            if let Some(load) = self.best_effort.get_mut(&image) {
                *load = load.saturating_sub(processors);
            }
            self.best_effort.retain(|_, load| *load > 0);
        } else {
            self.other = self.other.saturating_sub(processors);
        }
    }
}
