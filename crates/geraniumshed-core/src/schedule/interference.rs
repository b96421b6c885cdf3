//! Pairwise interference of colocated tasks, learned from lagging usage reports.

use std::collections::BTreeMap;
use std::time::Duration;

use geraniumshed_model::prelude::{ClassName, TaskSignal, TaskSpec, TimePoint, UsageReport, VmId};

use super::placement::dominant_share;
use super::scheduler::ShardScheduler;
use super::settings::PlacementPolicy;
use super::worker_entry::{WorkerAttempt, WorkerEntry};

/// How colocated tasks' interference is learned and weighed.
#[derive(Debug, Clone)]
pub struct InterferenceSettings {
    /// The share of an observation's error by which the estimates are corrected.
    pub learning_rate: f64,
    /// The time after which an unconfirmed estimate has halved.
    pub half_life: Duration,
    /// The weight of a service's predicted slowdown against packing when a worker is chosen.
    pub service_weight: f64,
    /// The weight of a batch task's predicted slowdown against packing.
    pub batch_weight: f64,
    /// The predicted slowdown of a service beyond which a worker gets no batch task; 0 means none.
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

/// The slowdown that full load of one class brings to another.
#[derive(Debug, Clone, Copy, Default)]
struct PairEstimate {
    slowdown: f64,
    learned: TimePoint,
}

/// The load of the classes beside a task, as shares of their worker.
pub type NeighbourLoads = BTreeMap<ClassName, f64>;

/// The interference of classes of tasks, pair by pair.
///
/// A task's slowdown is taken as the sum over its neighbours of the pair's estimate times the
/// neighbour's load. Estimates that no report confirms decay, so that pairs are tried again.
#[derive(Debug, Clone, Default)]
pub struct InterferenceTable {
    pairs: BTreeMap<(ClassName, ClassName), PairEstimate>,
    alone: BTreeMap<ClassName, f64>,
}

impl InterferenceTable {
    /// Returns the slowdown that neighbours bring to a class; 0 means none.
    pub fn predict(
        &self,
        now: TimePoint,
        class: &ClassName,
        loads: &NeighbourLoads,
        half_life: Duration,
    ) -> f64 {
        let parts = loads
            .iter()
            .map(|(neighbour, load)| self.pair(now, class, neighbour, half_life) * load);
        parts.sum()
    }

    /// Returns the slowdown that full load of a neighbour brings to a class.
    pub fn pair(
        &self,
        now: TimePoint,
        class: &ClassName,
        neighbour: &ClassName,
        half_life: Duration,
    ) -> f64 {
        let key = (class.clone(), neighbour.clone());
        let Some(estimate) = self.pairs.get(&key) else {
            return 0.0;
        };
        let age = now.since(estimate.learned).as_secs_f64();
        estimate.slowdown * 0.5_f64.powf(age / half_life.as_secs_f64())
    }

    /// Learns from one observed slowdown beside neighbours.
    pub fn learn(
        &mut self,
        now: TimePoint,
        class: &ClassName,
        loads: &NeighbourLoads,
        observed: f64,
        settings: &InterferenceSettings,
    ) {
        let predicted = self.predict(now, class, loads, settings.half_life);
        let norm: f64 = loads.values().map(|load| load * load).sum();
        if norm <= f64::EPSILON {
            return;
        }
        let step = settings.learning_rate * (observed - predicted) / norm;
        for (neighbour, load) in loads {
            let old = self.pair(now, class, neighbour, settings.half_life);
            let key = (class.clone(), neighbour.clone());
            let estimate = self.pairs.entry(key).or_default();
            estimate.slowdown = (old + step * load).max(0.0);
            estimate.learned = now;
        }
    }

    /// Returns how much slower than alone a class runs, by a latency in seconds.
    ///
    /// The latency alone is not reported: it is taken as the lowest one seen, which rises slowly.
    pub fn latency_slowdown(&mut self, class: &ClassName, latency: f64) -> f64 {
        let alone = self.alone.entry(class.clone()).or_insert(latency);
        if latency < *alone {
            *alone = latency;
        } else {
            *alone += (latency - *alone) * ALONE_RISE;
        }
        if *alone > 0.0 {
            (latency / *alone - 1.0).max(0.0)
        } else {
            0.0
        }
    }
}

/// The share of the distance by which a higher latency raises the latency alone.
const ALONE_RISE: f64 = 0.002;
/// The progress of a batch task that runs alone, in thousandths.
const FULL_PROGRESS: f64 = 1000.0;

impl ShardScheduler {
    /// Returns the weighted slowdown that a task is predicted to suffer and to cause on a worker.
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
        let live = worker.attempts.values().filter(|known| known.is_live());
        let caused = live.filter_map(|known| known.spec.as_ref()).map(|other| {
            let pair = self
                .interference
                .pair(now, &other.group, &spec.group, half_life);
            pair * own_load * self.slowdown_weight(other)
        });
        caused.sum::<f64>() + suffered * self.slowdown_weight(spec)
    }

    /// Tells whether a worker's services are predicted to bear a task beside them.
    pub(super) fn tolerates(&self, now: TimePoint, worker: &WorkerEntry, spec: &TaskSpec) -> bool {
        if spec.class.is_latency_critical() || self.settings.policy == PlacementPolicy::FirstFit {
            return true;
        }
        let settings = &self.settings.interference;
        let own_load = dominant_share(&spec.size, &worker.size);
        let mut services = worker.attempts.iter().filter(|(_, known)| {
            let other = known.spec.as_ref();
            known.is_live() && other.is_some_and(|other| other.class.is_latency_critical())
        });
        services.all(|(key, known)| {
            let Some(other) = &known.spec else {
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

    /// Learns from what a worker's tasks used, and reacts to services above their latency goal.
    pub(super) fn take_usage(&mut self, now: TimePoint, id: &VmId, report: &UsageReport) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        for usage in &report.tasks {
            let key = (usage.task.clone(), usage.attempt);
            let Some(known) = worker.attempts.get_mut(&key) else {
                continue;
            };
            known.size = known.size.max(&usage.used);
            known.used = Some(usage.used);
            if let Some(spec) = &known.spec {
                self.usage.learn_size(&spec.group, &usage.used);
            }
        }
        // A report from before the neighbours changed says nothing of the present ones.
        let measured = now - report.age.0;
        if measured >= worker.changed {
            self.learn_signals(now, id, report);
        }
        self.react(now, id, report);
    }

    fn learn_signals(&mut self, now: TimePoint, id: &VmId, report: &UsageReport) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let settings = &self.settings.interference;
        for usage in &report.tasks {
            let key = (usage.task.clone(), usage.attempt);
            let known = worker.attempts.get(&key);
            let Some(known) = known.filter(|known| known.throttle_done == 100) else {
                continue;
            };
            let Some(spec) = &known.spec else {
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

/// Returns the load of each class on a worker, without one attempt.
pub(super) fn neighbour_loads(
    worker: &WorkerEntry,
    without: Option<&super::worker_entry::AttemptKey>,
) -> NeighbourLoads {
    let mut loads = NeighbourLoads::new();
    for (key, known) in &worker.attempts {
        if Some(key) == without || !known.is_live() {
            continue;
        }
        if let Some(spec) = &known.spec {
            *loads.entry(spec.group.clone()).or_default() += attempt_load(worker, known);
        }
    }
    loads
}

/// Returns the share of its worker that an attempt uses, or is to use until it is reported.
pub(super) fn attempt_load(worker: &WorkerEntry, known: &WorkerAttempt) -> f64 {
    let used = known.used.unwrap_or(known.size);
    dominant_share(&used, &worker.size) * f64::from(known.throttle_done) / 100.0
}
