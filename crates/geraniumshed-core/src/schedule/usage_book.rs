//! What tasks really use and how long they really run, learned from workers' reports.

use std::collections::BTreeMap;
use std::time::Duration;

use geraniumshed_model::prelude::{
    ClassName, EndedReport, MemorySize, ProcessorShare, ResourceSize, TaskId, TaskOutcome,
    TimePoint,
};

use super::scheduler::ShardScheduler;
use super::wanted::TaskGroup;
use super::worker_entry::AttemptKey;

/// The share of the distance by which an observed size above the estimate raises it.
const RAISE_DIVISOR: u32 = 2;
/// The share of the distance by which an observed size below the estimate lowers it.
const LOWER_DIVISOR: u32 = 64;

/// What the tasks of one class were seen to do.
#[derive(Debug, Clone, Default)]
struct ClassUsage {
    size: Option<ResourceSize>,
    run_time: Option<Duration>,
}

/// What tasks really use and how long they really run, by class.
#[derive(Debug, Clone, Default)]
pub struct UsageBook {
    classes: BTreeMap<ClassName, ClassUsage>,
}

impl UsageBook {
    /// Returns a high percentile of the size that tasks of a class used.
    pub fn observed(&self, class: &ClassName) -> Option<ResourceSize> {
        self.classes.get(class)?.size
    }

    /// Returns the time after which a task of a class is expected to end.
    pub fn run_time(&self, class: &ClassName) -> Option<Duration> {
        self.classes.get(class)?.run_time
    }

    /// Takes in the size that a task of a class used.
    ///
    /// The estimate rises fast and falls slowly, so that it stays near the highest use.
    pub fn learn_size(&mut self, class: &ClassName, used: &ResourceSize) {
        let usage = self.classes.entry(class.clone()).or_default();
        let old = usage.size.unwrap_or(*used);
        usage.size = Some(ResourceSize {
            processors: ProcessorShare(
                u32::try_from(track(old.processors.0.into(), used.processors.0.into()))
                    .unwrap_or(u32::MAX),
            ),
            memory: MemorySize(track(old.memory.0, used.memory.0)),
            accelerators: old.accelerators.max(used.accelerators),
        });
    }

    /// Takes in the time for which a completed task of a class ran.
    ///
    /// The estimate follows short runs fast, so that ends are looked for soon enough.
    pub fn learn_run_time(&mut self, class: &ClassName, run_time: Duration) {
        let usage = self.classes.entry(class.clone()).or_default();
        usage.run_time = Some(match usage.run_time {
            None => run_time,
            Some(old) if run_time < old => (old + run_time) / 2,
            Some(old) => old + run_time.saturating_sub(old) / 8,
        });
    }
}

fn track(old: u64, used: u64) -> u64 {
    if used > old {
        old + (used - old).div_ceil(RAISE_DIVISOR.into())
    } else {
        old - (old - used) / u64::from(LOWER_DIVISOR)
    }
}

impl ShardScheduler {
    /// Takes in how long a completed task ran.
    pub(super) fn learn_run_time(&mut self, task: &TaskId, report: &EndedReport) {
        let Some(wanted) = self.wanted.group(&TaskGroup::of(task)) else {
            return;
        };
        if report.ended.outcome == TaskOutcome::Completed {
            let class = &wanted.template.group;
            self.usage.learn_run_time(class, report.run_time.0);
        }
    }

    /// Returns when an attempt that starts now is expected to end.
    pub(super) fn expect_end(&self, now: TimePoint, key: &AttemptKey) -> Option<TimePoint> {
        let wanted = self.wanted.group(&TaskGroup::of(&key.0))?;
        if wanted.template.class.is_latency_critical() {
            return None;
        }
        let run_time = self.usage.run_time(&wanted.template.group)?;
        Some(now + run_time)
    }
}
