//! Estimates of the resources and run times of tasks, from workers' reports.

use std::collections::BTreeMap;
use std::time::Duration;

use geraniumshed_model::prelude::{
    EndedReport, GroupName, MemorySize, ProcessorShare, ResourceSize, TaskId, TaskOutcome,
    TimePoint,
};

use super::desired::TaskGroup;
use super::scheduler::ShardScheduler;
use super::worker_entry::AttemptKey;

/// A larger observed size raises the estimate by the difference divided by this number.
const RAISE_DIVISOR: u32 = 2;
/// A smaller observed size lowers the estimate by the difference divided by this number.
const LOWER_DIVISOR: u32 = 64;

/// The estimates for the tasks of one group (see [`GroupName`]).
#[derive(Debug, Clone, Default)]
struct GroupUsage {
    size: Option<ResourceSize>,
    run_time: Option<Duration>,
}

/// The estimated sizes and run times of tasks, by group.
#[derive(Debug, Clone, Default)]
pub struct UsageEstimates {
    groups: BTreeMap<GroupName, GroupUsage>,
}

impl UsageEstimates {
    /// Returns the estimated size of a group, which is near the largest use observed.
    pub fn size_estimate(&self, group: &GroupName) -> Option<ResourceSize> {
        self.groups.get(group)?.size
    }

    /// Returns the estimated run time of a group.
    pub fn run_time(&self, group: &GroupName) -> Option<Duration> {
        self.groups.get(group)?.run_time
    }

    /// Updates the size of a group with the use of one of its tasks.
    ///
    /// The estimate rises fast and falls slowly, so that it stays near the largest use.
    pub fn learn_size(&mut self, group: &GroupName, used: &ResourceSize) {
        let usage = self.groups.entry(group.clone()).or_default();
        let old = usage.size.unwrap_or(*used);
        usage.size = Some(ResourceSize {
            processors: ProcessorShare(
                u32::try_from(updated_estimate(
                    old.processors.0.into(),
                    used.processors.0.into(),
                ))
                .unwrap_or(u32::MAX),
            ),
            memory: MemorySize(updated_estimate(old.memory.0, used.memory.0)),
            accelerators: old.accelerators.max(used.accelerators),
        });
    }

    /// Updates the run time of a group with that of a completed task.
    ///
    /// The estimate follows shorter runs fast, so that workers are polled early enough for ends.
    pub fn learn_run_time(&mut self, group: &GroupName, run_time: Duration) {
        let usage = self.groups.entry(group.clone()).or_default();
        usage.run_time = Some(match usage.run_time {
            None => run_time,
            Some(old) if run_time < old => (old + run_time) / 2,
            Some(old) => old + run_time.saturating_sub(old) / 8,
        });
    }
}

/// Moves an estimate towards an observed value, fast upwards and slowly downwards.
fn updated_estimate(old: u64, used: u64) -> u64 {
    if used > old {
        old + (used - old).div_ceil(RAISE_DIVISOR.into())
    } else {
        old - (old - used) / u64::from(LOWER_DIVISOR)
    }
}

impl ShardScheduler {
    /// Updates the estimated run time of a task's group if the task completed.
    pub(super) fn learn_run_time(&mut self, task: &TaskId, report: &EndedReport) {
        let Some(desired) = self.desired.group(&TaskGroup::of(task)) else {
            return;
        };
        if report.ended.outcome == TaskOutcome::Completed {
            let group = &desired.template.group;
            self.usage.learn_run_time(group, report.run_time.0);
        }
    }

    /// Returns when an attempt that starts now is expected to end, if it is a batch task's and its
    /// group has an estimate.
    pub(super) fn expect_end(&self, now: TimePoint, key: &AttemptKey) -> Option<TimePoint> {
        let desired = self.desired.group(&TaskGroup::of(&key.0))?;
        if desired.template.class.is_latency_critical() {
            return None;
        }
        let run_time = self.usage.run_time(&desired.template.group)?;
        Some(now + run_time)
    }
}
