//! The start of a task, from its placement to the call to the worker.

use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;

use super::action::{PlannerAction, PlannerTime};
use super::change_tracker::DeferredStart;
use super::placement_query::StepPermission;
use super::planner::JobPlanner;
use crate::job::{StepRequest, TaskKey, TaskPhase, WorkerId};
use crate::worker::{FULL_PERCENT, RunEntry, RunPhase, RunProgress, StartOrder, WorkerCall};

impl JobPlanner {
    /// Places a task on a worker as its next run.
    pub(super) fn place_task(
        &mut self,
        now: TimePoint,
        step: &StepRequest,
        key: TaskKey,
        worker: &WorkerId,
    ) {
        let task = self.jobs.get(&key.job).and_then(|job| job.task(key));
        let run = task.map_or(1, |task| task.run.saturating_add(1));
        self.reserve(now, step, key, worker, run);
        self.commit_placement(key, worker, run);
    }

    /// Reserves capacity for a run on a worker.
    pub(super) fn reserve(
        &mut self,
        now: TimePoint,
        step: &StepRequest,
        key: TaskKey,
        worker: &WorkerId,
        run: u32,
    ) {
        let is_trial = self.needs_trial(key);
        let reading_wait = self.settings.latency_renewal_wait;
        if let Some(entry) = self.workers.get_mut(worker) {
            let had_interference = entry.has_interference();
            entry.add_run(key, run_entry(step, run, RunPhase::Storing, now));
            if entry.has_interference() && !had_interference {
                entry.read_soon(now + reading_wait);
            } else if self.fleet.has_slow_workers && step.can_be_moved() {
                // While some workers are slow, it has to be known soon whether this one is.
                entry.read_soon(now + reading_wait);
            }
        }
        if is_trial {
            self.begin_trial(key, worker);
        }
    }

    /// Records a placement. The start is sent to the worker once the placement is stored.
    pub(super) fn commit_placement(&mut self, key: TaskKey, worker: &WorkerId, run: u32) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        self.work.placed_tasks += 1;
        if let Some(task) = job.task_mut(key) {
            task.run = run;
            task.phase = TaskPhase::Placed(worker.clone());
        }
        self.change_tracker.mark_changed(key.job);
        self.change_tracker.defer_start(DeferredStart {
            worker: worker.clone(),
            task: key,
            run,
        });
    }

    /// Sends the start of a run whose placement is stored.
    pub(super) fn send_start(&mut self, now: PlannerTime, start: DeferredStart) {
        let Some(job) = self.jobs.get(&start.task.job) else {
            return;
        };
        let is_final = job.phase.is_final();
        let needs_ticket = !matches!(
            self.permission(job, start.task.into()),
            StepPermission::Anywhere
        );
        let lease = self.lease_length(now.point);
        let longest_lease_end = self.longest_lease_end(now.point);
        let Some(worker) = self.workers.get_mut(&start.worker) else {
            return;
        };
        let advice = self.advice.step(start.task.into());
        let ticket =
            advice.and_then(|advice| advice.ticket(&start.worker, worker.incarnation, now.point));
        let ticket = ticket.cloned();
        let deadline =
            lease.and_then(|length| worker.extend_lease(now.point, length, longest_lease_end));
        let Some(run) = worker.runs.get_mut(&start.task) else {
            return;
        };
        if run.run != start.run || run.phase != RunPhase::Storing {
            return;
        }
        // Nothing was sent yet, so the run can be dropped without a stop.
        let (false, false, Some(deadline)) = (run.is_stopping(), is_final, deadline) else {
            self.drop_run(now, &start.worker, start.task, start.run, "not wanted");
            return;
        };
        let others = worker.reserved.minus(&run.reserved);
        if !run.reserved.fits(&worker.listing.capacity.minus(&others)) {
            // The worker has shrunk while the placement was being stored.
            self.drop_run(now, &start.worker, start.task, start.run, "worker shrank");
            return;
        }
        if needs_ticket && ticket.is_none() {
            self.drop_run(now, &start.worker, start.task, start.run, "ticket ran out");
            return;
        }
        run.phase = RunPhase::Ordered(worker.token);
        run.ordered_at = Some(now.point);
        let order = StartOrder {
            task: start.task,
            run: start.run,
            payload: job.request.payload.clone(),
            deadline,
            checkpoint: job
                .task(start.task)
                .and_then(|task| task.checkpoint.clone()),
            ticket,
        };
        self.start_window.record_sent();
        self.actions.push(PlannerAction::Start(WorkerCall {
            worker: start.worker,
            address: worker.listing.address,
            process: worker.incarnation,
            token: worker.token,
            body: order,
        }));
    }
}

/// Creates the entry for a run of a step's task.
pub(super) fn run_entry(step: &StepRequest, run: u32, phase: RunPhase, now: TimePoint) -> RunEntry {
    // Only a run of an earlier planner begins with an unsettled state.
    let is_adopted = matches!(phase, RunPhase::Unsettled(_));
    RunEntry {
        run,
        phase,
        is_reported: false,
        is_in_known_process: false,
        unconfirmed_until: None,
        ordered_at: None,
        placed_at: now,
        reserved: step.reserved_size(),
        processors: step.size.processors,
        image: step.image.clone(),
        is_best_effort: step.is_best_effort,
        latency_target: step.latency_target,
        tail_latency: Duration::ZERO,
        smoothed_pressure: None,
        smoothed_own_pressure: None,
        estimate: step.estimate,
        is_long_running: step.is_long_running,
        pace_percent: FULL_PERCENT,
        is_pace_known: !step.is_best_effort || !is_adopted,
        previous_percent: FULL_PERCENT,
        paced_at: now,
        percent: 0,
        progressed_at: now,
        earlier_idle_time: Duration::ZERO,
        stop_sent_at: None,
        progress: RunProgress::default(),
    }
}
