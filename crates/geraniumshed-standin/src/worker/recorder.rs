//! Records a worker's attempts in the shared history.

use geraniumshed_model::prelude::{
    AttemptNumber, BootId, ResourceSize, TaskId, TaskOutcome, TaskSpec, TimePoint,
};
use smol_str::{SmolStr, ToSmolStr};

use super::attempt::{ResumePoint, WorkerAttempt};
use super::state::WorkerConfig;
use crate::clock::micros;
use crate::command::SimulateCommand;
use crate::history::{
    HistoryRecorder, OverloadRecord, PlacementEnd, PlacementIndex, PlacementRecord,
};

/// Writes the attempts of one worker to the history.
#[derive(Debug)]
pub(super) struct WorkerRecorder {
    recorder: HistoryRecorder,
    vm: SmolStr,
}

/// The parameters of an attempt that starts.
#[derive(Debug)]
pub(super) struct AttemptBegin<'a> {
    pub(super) spec: &'a TaskSpec,
    pub(super) attempt: AttemptNumber,
    pub(super) size: ResourceSize,
    pub(super) boot: BootId,
    pub(super) command: &'a SimulateCommand,
    pub(super) resume: &'a ResumePoint,
}

impl WorkerRecorder {
    pub(super) fn new(config: &WorkerConfig) -> Self {
        Self {
            recorder: config.recorder.clone(),
            vm: config.vm.as_str().into(),
        }
    }

    pub(super) fn begin(&self, now: TimePoint, begin: &AttemptBegin<'_>) -> PlacementIndex {
        let work = micros(begin.resume.work);
        let checkpoint = begin.resume.checkpoint.as_ref();
        self.recorder.begin_placement(PlacementRecord {
            task: begin.spec.task.to_smolstr(),
            attempt: begin.attempt.0,
            vm: self.vm.clone(),
            boot: begin.boot.0,
            batch: !begin.spec.class.is_latency_critical(),
            idempotent: begin.spec.idempotent,
            size: begin.size.into(),
            resumed_from: checkpoint.map(ToSmolStr::to_smolstr),
            work_before: work,
            work_after: work,
            work_total: micros(begin.command.run.unwrap_or_default()),
            begin: now.0,
            end: None,
            outcome: None,
        })
    }

    pub(super) fn end(&self, now: TimePoint, attempt: &WorkerAttempt, outcome: &TaskOutcome) {
        let end = match outcome {
            TaskOutcome::Completed => PlacementEnd::Completed,
            TaskOutcome::Failed { .. } | TaskOutcome::NotStarted { .. } => PlacementEnd::Failed,
            TaskOutcome::Stopped { checkpoint } => PlacementEnd::Stopped {
                checkpoint: checkpoint.as_ref().map(ToSmolStr::to_smolstr),
            },
        };
        self.end_as(now, attempt, end);
    }

    pub(super) fn kill(&self, now: TimePoint, attempt: &WorkerAttempt) {
        self.end_as(now, attempt, PlacementEnd::Killed);
    }

    pub(super) fn overload(&self, now: TimePoint, task: &TaskId, attempt: AttemptNumber) {
        self.recorder.add_overload(OverloadRecord {
            vm: self.vm.clone(),
            task: task.to_smolstr(),
            attempt: attempt.0,
            at: now.0,
        });
    }

    fn end_as(&self, now: TimePoint, attempt: &WorkerAttempt, end: PlacementEnd) {
        let work = micros(attempt.work);
        self.recorder
            .end_placement(attempt.placement, now, work, end);
    }
}
