//! What the shard reports of its jobs' progress.

use std::collections::{BTreeMap, BTreeSet};

use geraniumshed_model::prelude::{ConfigEvent, RecordKey, RecordKind, TimePoint};

use super::message::ShardAction;
use super::scheduler::ShardScheduler;
use super::task_entry::TaskPhase;
use super::wanted::TaskGroup;

/// How many of a job's tasks have ended in the shard.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct JobProgress {
    /// The tasks that completed.
    pub completed: u32,
    /// The tasks that failed for good or were cancelled.
    pub failed: u32,
}

/// What the shard reported of its jobs' progress.
#[derive(Debug, Clone, Default)]
pub struct ProgressFeed {
    reported: BTreeMap<TaskGroup, JobProgress>,
    touched: BTreeSet<TaskGroup>,
    due: TimePoint,
}

impl ProgressFeed {
    /// Notes that a job's progress may have changed.
    pub fn touch(&mut self, group: &TaskGroup) {
        self.touched.insert(group.clone());
    }

    /// Notes that nothing of what was reported may have arrived.
    pub fn report_again(&mut self) {
        let reported = std::mem::take(&mut self.reported);
        self.touched.extend(reported.into_keys());
    }
}

impl ShardScheduler {
    /// Reports the jobs whose progress changed.
    pub(super) fn feed_progress(&mut self, now: TimePoint) {
        if self.progress.touched.is_empty() || now < self.progress.due {
            return;
        }
        self.progress.due = now + self.settings.progress_interval;
        let mut events = Vec::new();
        for group in std::mem::take(&mut self.progress.touched) {
            let Some(progress) = self.job_progress(&group) else {
                continue;
            };
            let old = self.progress.reported.get(&group);
            if old.copied().unwrap_or_default() == progress {
                continue;
            }
            self.progress.reported.insert(group.clone(), progress);
            events.push(ConfigEvent::Progress {
                shard: self.shard,
                job: RecordKey {
                    kind: RecordKind::Job,
                    name: group.record,
                },
                generation: group.generation,
                completed: progress.completed,
                failed: progress.failed,
            });
        }
        if !events.is_empty() {
            self.actions.push(ShardAction::Report(events));
        }
    }

    fn job_progress(&self, group: &TaskGroup) -> Option<JobProgress> {
        let wanted = self.wanted.group(group)?;
        if wanted.template.class.is_latency_critical() {
            return None;
        }
        let mut progress = JobProgress::default();
        let known = self.state.tasks_of(&group.record, group.generation);
        let mut known_home = 0;
        for (task, entry) in known {
            known_home += u32::from(wanted.home.binary_search(&task.index).is_ok());
            match entry.phase {
                TaskPhase::Completed => progress.completed += 1,
                TaskPhase::Cancelled => progress.failed += 1,
                TaskPhase::Open if wanted.is_failed(entry) => progress.failed += 1,
                TaskPhase::Open | TaskPhase::Unknown | TaskPhase::MovedOut { .. } => {}
            }
        }
        if self.state.is_cancelled(&group.record, group.generation) {
            let home = u32::try_from(wanted.home.len()).unwrap_or(u32::MAX);
            progress.failed += home.saturating_sub(known_home);
        }
        Some(progress)
    }
}
