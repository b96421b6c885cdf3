//! Throttling and eviction of batch tasks on workers whose services miss their latency goal.

use std::time::Duration;

use geraniumshed_model::prelude::{TaskSignal, TimePoint, UsageReport, VmId};

use super::desired::TaskGroup;
use super::interference::attempt_load;
use super::scheduler::ShardScheduler;
use super::worker_entry::{AttemptKey, FULL_SHARE_PERCENT, StopReason};

/// The reaction to services that miss their latency goal.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ReactionPolicy {
    /// No reaction.
    Off,
    /// Throttles batch tasks one by one, and evicts one only if all are throttled.
    #[default]
    ThrottleThenEvict,
    /// Evicts a batch task at each report above the goal; the baseline in benchmarks.
    EvictOnBreach,
}

/// The settings of the reaction to services that miss their latency goal.
#[derive(Debug, Clone)]
pub struct LatencyControlSettings {
    /// The kind of reaction.
    pub reaction: ReactionPolicy,
    /// The share of its processors that a throttled batch task may use, in percent.
    pub throttle_percent: u32,
    /// The number of consecutive reports above the goal after which a task is throttled or evicted.
    pub escalate_after_reports: u32,
    /// The number of reports well below the goal, without one above it in between, after which a
    /// throttle is lifted.
    pub relax_after_reports: u32,
    /// The latency that counts as well below the goal, in percent of the goal.
    pub well_below_percent: u32,
    /// The shortest time between two changes on one worker.
    pub step_interval: Duration,
}

impl Default for LatencyControlSettings {
    fn default() -> Self {
        Self {
            reaction: ReactionPolicy::default(),
            throttle_percent: 40,
            escalate_after_reports: 2,
            relax_after_reports: 3,
            well_below_percent: 80,
            step_interval: Duration::from_secs(20),
        }
    }
}

/// The recent reports of a worker's services in relation to their latency goals.
#[derive(Debug, Clone, Copy, Default)]
pub struct LatencyStreak {
    /// The number of consecutive reports above a goal.
    above: u32,
    /// The number of reports well below all goals since the last one above a goal.
    well_below: u32,
    /// When a batch task was last throttled, evicted or released from its throttle.
    last_step: Option<TimePoint>,
}

/// A latency in relation to its goal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LatencyLevel {
    Above,
    Near,
    WellBelow,
}

impl ShardScheduler {
    /// Reacts to the latencies of a worker's services in a usage report.
    pub(super) fn react_to_latency(&mut self, now: TimePoint, id: &VmId, report: &UsageReport) {
        let Some(level) = self.worst_latency_level(report) else {
            return;
        };
        match self.settings.latency_control.reaction {
            ReactionPolicy::Off => {}
            ReactionPolicy::EvictOnBreach => {
                if level == LatencyLevel::Above {
                    self.evict_worst(now, id);
                }
            }
            ReactionPolicy::ThrottleThenEvict => self.adjust_throttling(now, id, level),
        }
    }

    /// Returns the worst latency level of the services in a report, if it has any.
    fn worst_latency_level(&self, report: &UsageReport) -> Option<LatencyLevel> {
        let well_below_percent = self.settings.latency_control.well_below_percent;
        let levels = report.tasks.iter().filter_map(|usage| {
            let TaskSignal::Latency(latency) = usage.signal else {
                return None;
            };
            let desired = self.desired.group(&TaskGroup::of(&usage.task))?;
            let goal = desired.latency_goal?;
            Some(if latency.0 > goal {
                LatencyLevel::Above
            } else if latency.0 * 100 < goal * well_below_percent {
                LatencyLevel::WellBelow
            } else {
                LatencyLevel::Near
            })
        });
        levels.min_by_key(|level| match level {
            LatencyLevel::Above => 0,
            LatencyLevel::Near => 1,
            LatencyLevel::WellBelow => 2,
        })
    }

    /// Throttles, evicts or releases a batch task once enough reports agree.
    fn adjust_throttling(&mut self, now: TimePoint, id: &VmId, level: LatencyLevel) {
        let latency_control = self.settings.latency_control.clone();
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let latency_streak = &mut worker.latency_streak;
        match level {
            LatencyLevel::Above => {
                latency_streak.above += 1;
                latency_streak.well_below = 0;
            }
            LatencyLevel::Near => latency_streak.above = 0,
            LatencyLevel::WellBelow => {
                latency_streak.above = 0;
                latency_streak.well_below += 1;
            }
        }
        let waits = latency_streak
            .last_step
            .is_some_and(|at| now.since(at) < latency_control.step_interval);
        if waits {
            return;
        }
        let is_adjusted = if latency_streak.above >= latency_control.escalate_after_reports {
            self.escalate(now, id)
        } else if latency_streak.well_below >= latency_control.relax_after_reports {
            self.relax(id)
        } else {
            false
        };
        if is_adjusted && let Some(worker) = self.workers.get_mut(id) {
            worker.latency_streak = LatencyStreak {
                last_step: Some(now),
                ..LatencyStreak::default()
            };
        }
    }

    /// Throttles the most interfering batch task, or evicts one if all are throttled.
    fn escalate(&mut self, now: TimePoint, id: &VmId) -> bool {
        let percent = self.settings.latency_control.throttle_percent;
        if let Some(key) = self.most_interfering(now, id, false) {
            self.counters.throttled += 1;
            return self.set_throttle(id, &key, percent);
        }
        self.evict_worst(now, id)
    }

    /// Evicts the most interfering batch task; throttled ones come first.
    fn evict_worst(&mut self, now: TimePoint, id: &VmId) -> bool {
        let throttled = self.most_interfering(now, id, true);
        let Some(key) = throttled.or_else(|| self.most_interfering(now, id, false)) else {
            return false;
        };
        self.counters.evicted += 1;
        self.stop_attempt(now, id, &key, StopReason::Interfering);
        true
    }

    /// Lifts the throttle of one task.
    fn relax(&mut self, id: &VmId) -> bool {
        let worker = self.workers.get(id);
        let mut attempts = worker.into_iter().flat_map(|w| w.attempts.iter());
        let throttled =
            attempts.find(|(_, worker_attempt)| worker_attempt.throttle < FULL_SHARE_PERCENT);
        let Some(key) = throttled.map(|(key, _)| key.clone()) else {
            return false;
        };
        self.set_throttle(id, &key, FULL_SHARE_PERCENT)
    }

    fn set_throttle(&mut self, id: &VmId, key: &AttemptKey, percent: u32) -> bool {
        let worker = self.workers.get_mut(id);
        let Some(worker_attempt) = worker.and_then(|worker| worker.attempts.get_mut(key)) else {
            return false;
        };
        worker_attempt.throttle = percent;
        true
    }

    /// Returns the batch attempt that slows the worker's services down most, among those that are
    /// throttled or among those that are not.
    fn most_interfering(&self, now: TimePoint, id: &VmId, throttled: bool) -> Option<AttemptKey> {
        let worker = self.workers.get(id)?;
        let half_life = self.settings.interference.half_life;
        let services = worker.attempts.values().filter_map(|worker_attempt| {
            let spec = worker_attempt.spec.as_ref()?;
            (worker_attempt.is_live() && spec.class.is_latency_critical()).then_some(spec)
        });
        let services: Vec<_> = services.collect();
        let batch = worker.attempts.iter().filter(|(_, worker_attempt)| {
            worker_attempt.is_batch()
                && worker_attempt.is_confirmed()
                && worker_attempt.stop.is_none()
                && (worker_attempt.throttle < FULL_SHARE_PERCENT) == throttled
        });
        let ranked = batch.map(|(key, worker_attempt)| {
            let load = attempt_load(worker, worker_attempt);
            let pairs = services.iter().filter_map(|service| {
                let spec = worker_attempt.spec.as_ref()?;
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
