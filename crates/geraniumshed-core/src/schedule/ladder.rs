//! The reaction to services that miss their latency goal: throttle batch tasks, then move them.

use std::time::Duration;

use geraniumshed_model::prelude::{TaskSignal, TimePoint, UsageReport, VmId};

use super::interference::attempt_load;
use super::scheduler::ShardScheduler;
use super::wanted::TaskGroup;
use super::worker_entry::{AttemptKey, FULL_SHARE_PERCENT, StopReason};

/// How the scheduler reacts to services that miss their latency goal.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ReactionPolicy {
    /// The scheduler does nothing.
    Off,
    /// The scheduler throttles first and evicts only if that does not help.
    #[default]
    Ladder,
    /// The scheduler evicts at each report above the goal; the baseline of measurements.
    EvictOnBreach,
}

/// How the scheduler reacts to services that miss their latency goal.
#[derive(Debug, Clone)]
pub struct LadderSettings {
    /// The kind of reaction.
    pub reaction: ReactionPolicy,
    /// The share of its processors that a throttled batch task keeps, in percent.
    pub throttle_percent: u32,
    /// The number of reports in a row above the goal that lead to the next step.
    pub reports_up: u32,
    /// The number of reports in a row well below the goal that lead one step back.
    pub reports_down: u32,
    /// The share of the goal below which a report is well below it, in percent.
    pub calm_percent: u32,
    /// The shortest time between two steps on one worker.
    pub step_interval: Duration,
}

impl Default for LadderSettings {
    fn default() -> Self {
        Self {
            reaction: ReactionPolicy::default(),
            throttle_percent: 40,
            reports_up: 2,
            reports_down: 3,
            calm_percent: 80,
            step_interval: Duration::from_secs(20),
        }
    }
}

/// How far a worker's services are from their latency goals.
#[derive(Debug, Clone, Copy, Default)]
pub struct WorkerStrain {
    above: u32,
    calm: u32,
    stepped: Option<TimePoint>,
}

/// What one report says of the worker's services.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum GoalReading {
    Above,
    Near,
    Calm,
}

impl ShardScheduler {
    /// Reacts to what a report says of a worker's services.
    pub(super) fn react(&mut self, now: TimePoint, id: &VmId, report: &UsageReport) {
        let Some(reading) = self.read_goals(report) else {
            return;
        };
        match self.settings.ladder.reaction {
            ReactionPolicy::Off => {}
            ReactionPolicy::EvictOnBreach => {
                if reading == GoalReading::Above {
                    self.evict_worst(now, id);
                }
            }
            ReactionPolicy::Ladder => self.climb(now, id, reading),
        }
    }

    /// Returns the worst reading of the report's services, if it shows any.
    fn read_goals(&self, report: &UsageReport) -> Option<GoalReading> {
        let calm_percent = self.settings.ladder.calm_percent;
        let readings = report.tasks.iter().filter_map(|usage| {
            let TaskSignal::Latency(latency) = usage.signal else {
                return None;
            };
            let wanted = self.wanted.group(&TaskGroup::of(&usage.task))?;
            let goal = wanted.latency_goal?;
            Some(if latency.0 > goal {
                GoalReading::Above
            } else if latency.0 * 100 < goal * calm_percent {
                GoalReading::Calm
            } else {
                GoalReading::Near
            })
        });
        readings.min_by_key(|reading| match reading {
            GoalReading::Above => 0,
            GoalReading::Near => 1,
            GoalReading::Calm => 2,
        })
    }

    fn climb(&mut self, now: TimePoint, id: &VmId, reading: GoalReading) {
        let ladder = self.settings.ladder.clone();
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let strain = &mut worker.strain;
        match reading {
            GoalReading::Above => {
                strain.above += 1;
                strain.calm = 0;
            }
            GoalReading::Near => strain.above = 0,
            GoalReading::Calm => {
                strain.above = 0;
                strain.calm += 1;
            }
        }
        let waits = strain
            .stepped
            .is_some_and(|at| now.since(at) < ladder.step_interval);
        if waits {
            return;
        }
        let stepped = if strain.above >= ladder.reports_up {
            self.step_up(now, id)
        } else if strain.calm >= ladder.reports_down {
            self.step_down(id)
        } else {
            false
        };
        if stepped && let Some(worker) = self.workers.get_mut(id) {
            worker.strain = WorkerStrain {
                stepped: Some(now),
                ..WorkerStrain::default()
            };
        }
    }

    /// Throttles the batch task that disturbs most, or evicts it if all are throttled.
    fn step_up(&mut self, now: TimePoint, id: &VmId) -> bool {
        let percent = self.settings.ladder.throttle_percent;
        if let Some(key) = self.most_disturbing(now, id, false) {
            self.counters.throttled += 1;
            return self.set_throttle(id, &key, percent);
        }
        self.evict_worst(now, id)
    }

    fn evict_worst(&mut self, now: TimePoint, id: &VmId) -> bool {
        let throttled = self.most_disturbing(now, id, true);
        let Some(key) = throttled.or_else(|| self.most_disturbing(now, id, false)) else {
            return false;
        };
        self.counters.evicted += 1;
        self.stop_attempt(now, id, &key, StopReason::Interfering);
        true
    }

    /// Lifts the throttle of one task.
    fn step_down(&mut self, id: &VmId) -> bool {
        let worker = self.workers.get(id);
        let mut attempts = worker.into_iter().flat_map(|w| w.attempts.iter());
        let throttled = attempts.find(|(_, known)| known.throttle < FULL_SHARE_PERCENT);
        let Some(key) = throttled.map(|(key, _)| key.clone()) else {
            return false;
        };
        self.set_throttle(id, &key, FULL_SHARE_PERCENT)
    }

    fn set_throttle(&mut self, id: &VmId, key: &AttemptKey, percent: u32) -> bool {
        let worker = self.workers.get_mut(id);
        let Some(known) = worker.and_then(|worker| worker.attempts.get_mut(key)) else {
            return false;
        };
        known.throttle = percent;
        true
    }

    /// Returns the running batch attempt that slows the worker's services down most.
    fn most_disturbing(&self, now: TimePoint, id: &VmId, throttled: bool) -> Option<AttemptKey> {
        let worker = self.workers.get(id)?;
        let half_life = self.settings.interference.half_life;
        let services = worker.attempts.values().filter_map(|known| {
            let spec = known.spec.as_ref()?;
            (known.is_live() && spec.class.is_latency_critical()).then_some(spec)
        });
        let services: Vec<_> = services.collect();
        let batch = worker.attempts.iter().filter(|(_, known)| {
            known.is_batch()
                && known.is_held()
                && known.stop.is_none()
                && (known.throttle < FULL_SHARE_PERCENT) == throttled
        });
        let ranked = batch.map(|(key, known)| {
            let load = attempt_load(worker, known);
            let pairs = services.iter().filter_map(|service| {
                let spec = known.spec.as_ref()?;
                let table = &self.interference;
                Some(table.pair(now, &service.group, &spec.group, half_life))
            });
            let slowdown: f64 = pairs.sum();
            (slowdown * load, load, key)
        });
        ranked
            .max_by(|a, b| a.0.total_cmp(&b.0).then(a.1.total_cmp(&b.1)))
            .map(|(_, _, key)| key.clone())
    }
}
