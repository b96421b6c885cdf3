//! Reports of the progress of a shard's jobs.

use std::collections::{BTreeMap, BTreeSet};

use geraniumshed_model::prelude::{ConfigEvent, RecordKey, RecordKind, TimePoint};

use super::desired::TaskGroup;
use super::message::ShardAction;
use super::scheduler::ShardScheduler;
use super::task_entry::TaskPhase;

/// The number of a job's tasks that have ended in the shard.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct JobProgress {
    /// The number of tasks that completed.
    pub completed: u32,
    /// The number of tasks that used up their attempts or were cancelled.
    pub failed: u32,
}

/// The progress that was reported for each job, and the jobs to report next.
#[derive(Debug, Clone, Default)]
pub struct ProgressFeed {
    reported: BTreeMap<TaskGroup, JobProgress>,
    changed_groups: BTreeSet<TaskGroup>,
    due: TimePoint,
}

impl ProgressFeed {
    /// Marks that a job's progress may have changed.
    pub fn mark_changed(&mut self, group: &TaskGroup) {
        self.changed_groups.insert(group.clone());
    }

    /// Marks all jobs to be reported again, since an append was not confirmed.
    pub fn report_all_again(&mut self) {
        let reported = std::mem::take(&mut self.reported);
        self.changed_groups.extend(reported.into_keys());
    }
}

impl ShardScheduler {
    /// Reports the jobs whose progress changed, at most once per interval.
    pub(super) fn report_progress(&mut self, now: TimePoint) {
        if self.progress.changed_groups.is_empty() || now < self.progress.due {
            return;
        }
        self.progress.due = now + self.settings.progress_interval;
        let mut events = Vec::new();
        for group in std::mem::take(&mut self.progress.changed_groups) {
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
        let desired = self.desired.group(group)?;
        if desired.template.class.is_latency_critical() {
            return None;
        }
        let mut progress = JobProgress::default();
        let logged = self.state.tasks_of(&group.record, group.generation);
        let mut logged_home = 0;
        for (task, entry) in logged {
            logged_home += u32::from(desired.home.binary_search(&task.index).is_ok());
            match entry.phase {
                TaskPhase::Completed => progress.completed += 1,
                TaskPhase::Cancelled => progress.failed += 1,
                TaskPhase::Open if desired.is_failed(entry) => progress.failed += 1,
                TaskPhase::Open | TaskPhase::Unknown | TaskPhase::MovedOut { .. } => {}
            }
        }
        if self.state.is_cancelled(&group.record, group.generation) {
            let home = u32::try_from(desired.home.len()).unwrap_or(u32::MAX);
            progress.failed += home.saturating_sub(logged_home);
        }
        Some(progress)
    }
}
