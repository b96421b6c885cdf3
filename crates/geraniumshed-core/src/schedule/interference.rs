//! Estimates of the pairwise interference between colocated tasks, from usage reports that lag.

use std::collections::BTreeMap;
use std::time::Duration;

use geraniumshed_model::prelude::{GroupName, TaskSignal, TaskSpec, TimePoint, UsageReport, VmId};

use super::placement::dominant_share;
use super::scheduler::ShardScheduler;
use super::settings::PlacementPolicy;
use super::worker_entry::{WorkerAttempt, WorkerEntry};

/// How the interference between colocated tasks is estimated and weighted.
#[derive(Debug, Clone)]
pub struct InterferenceSettings {
    /// The fraction of the prediction error by which an observation corrects the estimates.
    pub learning_rate: f64,
    /// The half-life of an estimate without new observations.
    pub half_life: Duration,
    /// The weight of a service's predicted slowdown in the score of a worker.
    pub service_weight: f64,
    /// The weight of a batch task's predicted slowdown in the score of a worker.
    pub batch_weight: f64,
    /// The predicted slowdown of a service up to which batch tasks are placed beside it; 0 is no
    /// slowdown.
    pub service_limit: f64,
}

impl Default for InterferenceSettings {
    fn default() -> Self {
        Self {
            learning_rate: 0.3,
            half_life: Duration::from_mins(30),
            service_weight: 8.0,
            batch_weight: 1.0,
            service_limit: 0.2,
        }
    }
}

/// The estimated slowdown of one group by another at full load.
#[derive(Debug, Clone, Copy, Default)]
struct PairEstimate {
    slowdown: f64,
    learned: TimePoint,
}

/// The load of each group beside a task, as a share of the worker.
pub type NeighbourLoads = BTreeMap<GroupName, f64>;

/// The estimated interference between each pair of groups.
///
/// The model is linear: the slowdown of a task is the sum of each neighbour's load, multiplied by
/// the estimate for the pair. Estimates decay without new observations, so that a pair is
/// eventually colocated again.
#[derive(Debug, Clone, Default)]
pub struct InterferenceTable {
    pairs: BTreeMap<(GroupName, GroupName), PairEstimate>,
    /// The latency of each group without neighbours, in seconds.
    baselines: BTreeMap<GroupName, f64>,
}

impl InterferenceTable {
    /// Returns the predicted slowdown of a group by its neighbours; 0 is no slowdown.
    pub fn predict(
        &self,
        now: TimePoint,
        group: &GroupName,
        loads: &NeighbourLoads,
        half_life: Duration,
    ) -> f64 {
        let parts = loads
            .iter()
            .map(|(neighbour, load)| self.pair(now, group, neighbour, half_life) * load);
        parts.sum()
    }

    /// Returns the estimated slowdown of a group by a neighbour at full load, after decay.
    pub fn pair(
        &self,
        now: TimePoint,
        group: &GroupName,
        neighbour: &GroupName,
        half_life: Duration,
    ) -> f64 {
        let key = (group.clone(), neighbour.clone());
        let Some(estimate) = self.pairs.get(&key) else {
            return 0.0;
        };
        let age = now.since(estimate.learned).as_secs_f64();
        estimate.slowdown * 0.5_f64.powf(age / half_life.as_secs_f64())
    }

    /// Corrects the estimates by one observed slowdown beside neighbours.
    pub fn learn(
        &mut self,
        now: TimePoint,
        group: &GroupName,
        loads: &NeighbourLoads,
        observed: f64,
        settings: &InterferenceSettings,
    ) {
        let predicted = self.predict(now, group, loads, settings.half_life);
        let norm: f64 = loads.values().map(|load| load * load).sum();
        if norm <= f64::EPSILON {
            return;
        }
        let step = settings.learning_rate * (observed - predicted) / norm;
        for (neighbour, load) in loads {
            let old = self.pair(now, group, neighbour, settings.half_life);
            let key = (group.clone(), neighbour.clone());
            let estimate = self.pairs.entry(key).or_default();
            estimate.slowdown = (old + step * load).max(0.0);
            estimate.learned = now;
        }
    }

    /// Returns the slowdown of a group from a latency in seconds.
    ///
    /// Reports don't contain the latency without neighbours. The lowest one observed stands in for
    /// it; this baseline rises slowly, so that it can follow a lasting change.
    pub fn latency_slowdown(&mut self, group: &GroupName, latency: f64) -> f64 {
        let baseline = self.baselines.entry(group.clone()).or_insert(latency);
        if latency < *baseline {
            *baseline = latency;
        } else {
            *baseline += (latency - *baseline) * BASELINE_RISE;
        }
        if *baseline > 0.0 {
            (latency / *baseline - 1.0).max(0.0)
        } else {
            0.0
        }
    }
}

/// The fraction of the difference by which a higher latency raises the baseline.
const BASELINE_RISE: f64 = 0.002;
/// The progress rate of a batch task without neighbours, in thousandths.
const FULL_PROGRESS: f64 = 1000.0;

impl ShardScheduler {
    /// Returns the weighted sum of the slowdowns that a task is predicted to suffer and to cause on
    /// a worker.
    pub(super) fn predicted_slowdown(
        &self,
        now: TimePoint,
        worker: &WorkerEntry,
        spec: &TaskSpec,
    ) -> f64 {
        let settings = &self.settings.interference;
        let half_life = settings.half_life;
        let loads = neighbour_loads(worker, None);
        let suffered = self
            .interference
            .predict(now, &spec.group, &loads, half_life);
        let own_load = dominant_share(&spec.size, &worker.size);
        let live = worker
            .attempts
            .values()
            .filter(|worker_attempt| worker_attempt.is_live());
        let caused = live
            .filter_map(|worker_attempt| worker_attempt.spec.as_ref())
            .map(|other| {
                let pair = self
                    .interference
                    .pair(now, &other.group, &spec.group, half_life);
                pair * own_load * self.slowdown_weight(other)
            });
        caused.sum::<f64>() + suffered * self.slowdown_weight(spec)
    }

    /// Returns whether the predicted slowdown of a worker's services stays within the limit if a
    /// task is placed beside them.
    ///
    /// A task that is predicted to add no slowdown is always allowed.
    pub(super) fn services_tolerate(
        &self,
        now: TimePoint,
        worker: &WorkerEntry,
        spec: &TaskSpec,
    ) -> bool {
        if spec.class.is_latency_critical() || self.settings.policy == PlacementPolicy::FirstFit {
            return true;
        }
        let settings = &self.settings.interference;
        let own_load = dominant_share(&spec.size, &worker.size);
        let mut services = worker.attempts.iter().filter(|(_, worker_attempt)| {
            let other = worker_attempt.spec.as_ref();
            worker_attempt.is_live() && other.is_some_and(|other| other.class.is_latency_critical())
        });
        services.all(|(key, worker_attempt)| {
            let Some(other) = &worker_attempt.spec else {
                return true;
            };
            let table = &self.interference;
            let half_life = settings.half_life;
            let added = table.pair(now, &other.group, &spec.group, half_life) * own_load;
            let loads = neighbour_loads(worker, Some(key));
            let present = table.predict(now, &other.group, &loads, half_life);
            added <= f64::EPSILON || present + added <= settings.service_limit
        })
    }

    fn slowdown_weight(&self, spec: &TaskSpec) -> f64 {
        if spec.class.is_latency_critical() {
            self.settings.interference.service_weight
        } else {
            self.settings.interference.batch_weight
        }
    }

    /// Updates the estimates from a worker's usage report, and reacts to its services' latencies.
    pub(super) fn handle_usage_report(&mut self, now: TimePoint, id: &VmId, report: &UsageReport) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        for usage in &report.tasks {
            let key = (usage.task.clone(), usage.attempt);
            let Some(worker_attempt) = worker.attempts.get_mut(&key) else {
                continue;
            };
            worker_attempt.size = worker_attempt.size.max(&usage.used);
            worker_attempt.used = Some(usage.used);
            if let Some(spec) = &worker_attempt.spec {
                self.usage.learn_size(&spec.group, &usage.used);
            }
        }
        // A report that was measured before the set of attempts changed doesn't apply any more.
        let measured = now - report.age.0;
        if measured >= worker.attempts_changed {
            self.learn_signals(now, id, report);
        }
        self.react_to_latency(now, id, report);
    }

    fn learn_signals(&mut self, now: TimePoint, id: &VmId, report: &UsageReport) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let settings = &self.settings.interference;
        for usage in &report.tasks {
            let key = (usage.task.clone(), usage.attempt);
            let worker_attempt = worker.attempts.get(&key);
            let Some(worker_attempt) =
                worker_attempt.filter(|worker_attempt| worker_attempt.confirmed_throttle == 100)
            else {
                continue;
            };
            let Some(spec) = &worker_attempt.spec else {
                continue;
            };
            let observed = match usage.signal {
                TaskSignal::Latency(latency) => {
                    let seconds = latency.0.as_secs_f64();
                    self.interference.latency_slowdown(&spec.group, seconds)
                }
                TaskSignal::Progress(rate) => {
                    (FULL_PROGRESS / f64::from(rate.max(1)) - 1.0).max(0.0)
                }
            };
            let loads = neighbour_loads(worker, Some(&key));
            self.interference
                .learn(now, &spec.group, &loads, observed, settings);
        }
    }
}

/// Returns the load of each group on a worker, except that of one attempt.
pub(super) fn neighbour_loads(
    worker: &WorkerEntry,
    without: Option<&super::worker_entry::AttemptKey>,
) -> NeighbourLoads {
    let mut loads = NeighbourLoads::new();
    for (key, worker_attempt) in &worker.attempts {
        if Some(key) == without || !worker_attempt.is_live() {
            continue;
        }
        if let Some(spec) = &worker_attempt.spec {
            *loads.entry(spec.group.clone()).or_default() += attempt_load(worker, worker_attempt);
        }
    }
    loads
}

/// Returns the share of its worker that an attempt uses, or reserves until usage is reported.
pub(super) fn attempt_load(worker: &WorkerEntry, worker_attempt: &WorkerAttempt) -> f64 {
    let used = worker_attempt.used.unwrap_or(worker_attempt.size);
    dominant_share(&used, &worker.size) * f64::from(worker_attempt.confirmed_throttle) / 100.0
}
