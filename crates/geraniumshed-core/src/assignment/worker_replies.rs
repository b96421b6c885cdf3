//! Handling of workers' replies and of failed calls.

use std::collections::BTreeMap;

use geraniumshed_model::prelude::TimePoint;

use super::action::{PlannerAction, PlannerTime};
use super::event::{
    AdoptedWorker, MissingRuns, NewProcess, PlannerEvent, RestartSign, SkippedEnds, StartDelay,
    UnlistedEnds,
};
use super::pacing::{pace_worker, recent_share};
use super::planner::JobPlanner;
use super::run_end::RunEndCause;
use super::supervision::WHOLE_PERCENT;
use super::worker_loss::LossCause;
use crate::job::{JobEntry, JobId, TaskEntry, TaskKey, WorkerId};
use crate::worker::{
    EndKind, ProcessMatch, ProgressMark, RenewReply, RunEntry, RunPhase, RunReport, SentRenewal,
    StartAnswer, StartReply, WorkerCall, WorkerEntry, WorkerFailure,
};

impl JobPlanner {
    /// Handles the reply to the start of a task.
    pub fn start_answered(
        &mut self,
        now: PlannerTime,
        worker: &WorkerId,
        task: TaskKey,
        run: u32,
        answer: Result<StartAnswer, WorkerFailure>,
    ) {
        self.start_window.record_answered(now.point);
        if matches!(&answer, Ok(answer) if answer.reply == StartReply::Started) {
            self.record_job_start(task.job);
        }
        self.is_placement_due |= self.is_window_full;
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(current) = entry.runs.get_mut(&task) else {
            return;
        };
        let token = match current.phase {
            RunPhase::Ordered(token) if current.run == run => token,
            _ => return,
        };
        match answer.map(|answer| (answer.reply, answer.process)) {
            Ok((StartReply::Started, process)) => {
                let matched = self.match_started(now.point, worker, process);
                self.confirm_start(now.point, worker, task, matched);
            }
            Ok((StartReply::NoRoom | StartReply::Late | StartReply::Rejected, _)) => {
                self.drop_run(now, worker, task, run, "refused");
            }
            Ok((StartReply::NoTicket, _)) => {
                self.advice.drop_ticket(task.into(), worker);
                self.drop_run(now, worker, task, run, "ticket refused");
            }
            Ok((StartReply::Unhealthy, _)) => {
                entry.quarantine.start(now.point);
                self.drop_run(now, worker, task, run, "unhealthy");
            }
            Ok((StartReply::Fenced | StartReply::Outdated | StartReply::OtherLife, _)) => {
                // The worker's list of runs will show whether the run exists.
                current.phase = RunPhase::Unsettled(token);
                self.force_renewal(worker);
            }
            Err(WorkerFailure::NotSent) => {
                entry.unanswered_calls += 1;
                self.report_silence(now.point, worker);
                self.drop_run(now, worker, task, run, "not sent");
                self.force_renewal(worker);
            }
            Err(WorkerFailure::Unanswered) => {
                entry.unanswered_calls += 1;
                current.phase = RunPhase::Unsettled(token);
                self.report_silence(now.point, worker);
                self.force_renewal(worker);
            }
        }
    }

    /// Handles that a worker has confirmed the start of a task. If a later process than the known one
    /// has, its list of runs settles the start.
    fn confirm_start(
        &mut self,
        now: TimePoint,
        worker: &WorkerId,
        task: TaskKey,
        matched: ProcessMatch,
    ) {
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        let entry_clock = entry.clock.map(|clock| clock.earliest(now));
        let Some(run) = entry.runs.get_mut(&task) else {
            return;
        };
        if matched == ProcessMatch::Later {
            return;
        }
        run.phase = RunPhase::Running(now);
        run.is_in_known_process = matched == ProcessMatch::Known;
        run.progressed_at = now;
        // A run with a checkpoint begins at a progress that its first report shows.
        let begins_anew = job_task(&self.jobs, task).is_some_and(|one| one.checkpoint.is_none());
        run.progress.mark = begins_anew.then_some(ProgressMark {
            percent: 0,
            at: now,
            clock: entry_clock,
        });
        let stops = run.is_stopping();
        let (placed_at, ordered_at) = (run.placed_at, run.ordered_at);
        self.report_start(now, task, placed_at, ordered_at);
        if stops {
            self.send_stop(now, worker, task);
        }
    }

    /// Emits the event about the stages of a run's start.
    fn report_start(
        &mut self,
        now: TimePoint,
        task: TaskKey,
        placed_at: TimePoint,
        ordered_at: Option<TimePoint>,
    ) {
        let job = self.jobs.get(&task.job);
        let policy = job.and_then(|job| self.queues.policy(&job.request.queue));
        let Some((policy, ordered_at)) = policy.zip(ordered_at) else {
            return;
        };
        self.emit(PlannerEvent::RunStarted(StartDelay {
            priority: policy.priority,
            stored: ordered_at.since(placed_at),
            confirmed: now.since(ordered_at),
        }));
    }

    /// Handles the reply to the stop of a run.
    pub fn stop_answered(
        &mut self,
        now: PlannerTime,
        worker: &WorkerId,
        reply: Result<(), WorkerFailure>,
    ) {
        if let (Some(entry), Err(_)) = (self.workers.get_mut(worker), reply) {
            entry.unanswered_calls += 1;
            self.report_silence(now.point, worker);
        }
    }

    /// Handles the reply to a renewal.
    pub fn renewal_answered(
        &mut self,
        now: PlannerTime,
        worker: &WorkerId,
        sent: SentRenewal,
        reply: RenewReply,
    ) {
        let is_new_process = self.is_new_process(now, reply.incarnation);
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        let is_latest = entry.renewal == Some(sent);
        // The process that answers the newest renewal is the newest one, even if its system clock has been set back.
        if let (Some(known), Some(incarnation)) = (entry.incarnation, reply.incarnation)
            && incarnation < known
            && !is_latest
        {
            return;
        }
        if is_latest {
            entry.renewal = None;
            entry.next_renewal_at = now.point;
            entry.read_at = now.point;
            entry.listed_end = reply.last_end();
            // The process that answers now is the newest one, whatever was seen before the call.
            entry.later_process_seen_at = entry
                .later_process_seen_at
                .filter(|seen_at| *seen_at > sent.sent_at);
        }
        let before = entry.incarnation;
        let has_restarted =
            before.is_some() && reply.incarnation.is_some() && before != reply.incarnation;
        if has_restarted {
            self.handle_worker_restart(now, worker, sent, &reply);
        } else if entry.unanswered_calls > 0 {
            self.silence_log.withdraw(worker);
            self.unproved_losses.disprove(worker);
        }
        self.report_answer(now.point, worker);
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        let was_unknown = entry.incarnation.is_none();
        entry.incarnation = reply.incarnation.or(entry.incarnation);
        entry.unanswered_calls = 0;
        if was_unknown && entry.is_registered_as_later() {
            self.expect_restart(now.point, worker, RestartSign::Registration);
        }
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        if entry.clock.is_none() && (entry.has_restarted || is_new_process) {
            self.assume_longest_lease(now.point, worker);
        }
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        if is_latest {
            entry.read_clock(reply.clock, sent.sent_at, now.point);
        }
        let lease_remaining = entry.lease_expires_at.since(now.point);
        if has_restarted {
            let restarted = NewProcess {
                worker: worker.clone(),
                before,
                process: reply.incarnation,
                clock: reply.clock,
                token: sent.token,
                kept: entry.runs.len(),
                lease_remaining,
            };
            self.emit(PlannerEvent::WorkerRestarted(restarted));
        }
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        if !entry.is_adopted {
            entry.is_adopted = true;
            self.is_placement_due = true;
            let adopted = AdoptedWorker {
                worker: worker.clone(),
                process: reply.incarnation,
                clock: reply.clock,
                token: sent.token,
                lease_remaining,
                expected: entry.runs.len(),
                running: reply.running.len(),
                ended: reply.ended.len(),
            };
            self.emit(PlannerEvent::WorkerAdopted(adopted));
        }
        self.report_skipped_ends(worker, has_restarted, &reply);
        self.process_ends(now, worker, &reply);
        self.process_reports(now.point, worker, &reply.running, is_latest);
        self.settle_trial(now.point, worker);
        if is_latest {
            self.settle_missing_runs(now, worker, sent, &reply);
            if !has_restarted {
                self.clear_suspicions(worker);
            }
            self.delay_renewal(now.point, worker);
        }
        self.adjust_pace(now.point, worker);
        self.observe_runs(now.point, worker, reply.clock);
        self.move_stragglers(now, worker);
    }

    /// Handles a renewal that failed or got an unusable reply.
    pub fn renewal_failed(
        &mut self,
        now: PlannerTime,
        worker: &WorkerId,
        sent: SentRenewal,
        is_other_worker: bool,
    ) {
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        if entry.renewal != Some(sent) {
            return;
        }
        entry.renewal = None;
        entry.unanswered_calls += 1;
        entry.next_renewal_at = now.point + self.settings.renewal_retry;
        // Another worker replies at this address, so this one is gone, unless the address is outdated.
        let is_gone = is_other_worker && entry.has_known_address();
        entry.is_listed &= !is_other_worker;
        if is_gone {
            self.release_worker(now, worker, LossCause::Replaced);
        } else {
            self.report_silence(now.point, worker);
        }
    }

    /// Marks the ends whose batches are stored as ready to be acknowledged.
    pub(super) fn ends_stored(&mut self, now: TimePoint, number: u64) {
        let workers = &mut self.workers;
        self.storing_workers.retain(|id| {
            let Some(entry) = workers.get_mut(id) else {
                return false;
            };
            entry.ends_stored(number, now);
            !entry.storing_ends.is_empty()
        });
    }

    /// Reports ends that the process has dropped before this planner learned of them. At its first answer,
    /// an earlier planner may have acknowledged some, unless the process is new.
    fn report_skipped_ends(&mut self, worker: &WorkerId, is_new: bool, reply: &RenewReply) {
        let first = reply.ended.first().map(|end| end.number);
        let Some((entry, listed)) = self.workers.get(worker).zip(first) else {
            return;
        };
        let processed = entry.processed_end;
        let is_known = is_new || processed > 0;
        if is_known && listed > processed + 1 {
            let skipped = SkippedEnds {
                worker: worker.clone(),
                process: reply.incarnation,
                processed,
                listed,
            };
            self.emit(PlannerEvent::EndsSkipped(skipped));
        }
    }

    /// Processes the reported ends of runs that weren't processed before.
    fn process_ends(&mut self, now: PlannerTime, worker: &WorkerId, reply: &RenewReply) {
        for end in &reply.ended {
            self.record_job_start(end.task.job);
            let Some(entry) = self.workers.get_mut(worker) else {
                return;
            };
            if end.number <= entry.processed_end {
                continue;
            }
            entry.processed_end = end.number;
            let removed = entry.remove_run(end.task, end.run);
            if let Some(run) = removed.as_ref().filter(|_| end.kind == EndKind::Done)
                && let Some(job) = self.jobs.get(&end.task.job)
            {
                self.backlog
                    .record_run_time(now.point, &job.request.queue, run);
            }
            if let Some(run) = removed.as_ref().filter(|run| run.is_best_effort) {
                entry
                    .ended_loads
                    .push((recent_share(run, now.point), now.point));
            }
            match (end.kind, removed) {
                (EndKind::Done, Some(run)) => {
                    self.observe_success(now.point, worker, end.task, &run);
                }
                (EndKind::Lapsed, Some(_)) => entry.track.record_lost_contact(now.point),
                _ => {}
            }
            let outcome = RunEndCause::Ended(end.kind);
            let checkpoint = end.checkpoint.clone();
            let batch = self.finish_run(now, worker, end.task, end.run, outcome, checkpoint);
            let Some(entry) = self.workers.get_mut(worker) else {
                return;
            };
            entry.end_processed(end.number, batch);
            if !entry.storing_ends.is_empty() {
                self.storing_workers.insert(worker.clone());
            }
        }
    }

    /// Processes the reported runs: updates those that are expected, and continues or stops all others,
    /// unless the list may be older than what is known.
    fn process_reports(
        &mut self,
        now: TimePoint,
        worker: &WorkerId,
        running: &[RunReport],
        is_latest: bool,
    ) {
        self.record_listed_starts(worker, running);
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        let mut unwanted = Vec::new();
        for report in running {
            if !update_run(entry, &mut self.jobs, report, now) {
                unwanted.push(report);
            }
        }
        if !is_latest {
            return;
        }
        for report in unwanted {
            self.settle_unwanted(now, worker, report);
        }
    }

    /// Gives up runs that are missing in the worker's reply to a renewal, unless they may have ended and
    /// the reply leaves out some ends.
    fn settle_missing_runs(
        &mut self,
        now: PlannerTime,
        worker: &WorkerId,
        sent: SentRenewal,
        reply: &RenewReply,
    ) {
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        let had_unlisted_ends = entry.has_unlisted_ends;
        entry.has_unlisted_ends = !reply.has_all_ends;
        if reply.has_all_ends {
            self.drop_missing_runs(now, worker, sent, reply);
        } else if !had_unlisted_ends {
            let unlisted = UnlistedEnds {
                worker: worker.clone(),
                listed: reply.ended.len(),
                runs: entry.runs.len(),
            };
            self.emit(PlannerEvent::EndsUnlisted(unlisted));
        }
    }

    /// Gives up runs that are missing in the worker's reply to a renewal, if the renewal was sent
    /// late enough to show them.
    fn drop_missing_runs(
        &mut self,
        now: PlannerTime,
        worker: &WorkerId,
        sent: SentRenewal,
        reply: &RenewReply,
    ) {
        let is_new_process = self.is_new_process(now, reply.incarnation);
        let Some(entry) = self.workers.get(worker) else {
            return;
        };
        let is_missing = |phase: RunPhase| match phase {
            RunPhase::Storing | RunPhase::Ordered(_) => false,
            RunPhase::Unsettled(token) => token < sent.token,
            RunPhase::Running(since) => since < sent.sent_at,
        };
        let runs = entry.runs.iter();
        let missing =
            runs.filter(|(key, run)| is_missing(run.phase) && !reply.lists(**key, run.run));
        let missing: Vec<_> = missing.map(|(key, run)| (*key, run.clone())).collect();
        if missing.is_empty() {
            return;
        }
        // A run that was started by an earlier process of the worker is lost with it.
        let up_since = entry.up_since;
        let is_lost = |(_, run): &(TaskKey, RunEntry)| {
            run.ordered_at.map_or(is_new_process, |at| at < up_since)
        };
        let missing_runs = MissingRuns {
            worker: worker.clone(),
            process: reply.incarnation,
            clock: reply.clock,
            token: sent.token,
            asked: now.point.since(sent.sent_at),
            listed: reply.running.len() + reply.ended.len(),
            missing: missing.len(),
        };
        let (lost, missing): (Vec<_>, Vec<_>) = missing.into_iter().partition(is_lost);
        self.emit(PlannerEvent::RunsMissing(missing_runs));
        self.lose_runs(now, worker, LossCause::Restarted, &lost);
        for (key, run) in missing {
            // Another start on this worker would likely be lost too.
            let job = self.jobs.get_mut(&key.job);
            if let Some(task) = job.and_then(|job| job.task_mut(key)) {
                task.avoid(worker.clone());
            }
            self.drop_run(now, worker, key, run.run, "not there");
        }
    }

    /// Removes a run that certainly isn't running from its worker, and gives it up.
    pub(super) fn drop_run(
        &mut self,
        now: PlannerTime,
        worker: &WorkerId,
        key: TaskKey,
        run: u32,
        reason: &'static str,
    ) {
        if let Some(entry) = self.workers.get_mut(worker) {
            entry.remove_run(key, run);
        }
        self.finish_run(now, worker, key, run, RunEndCause::Lost(reason), None);
    }

    /// Changes the speed of a worker's best-effort runs or moves them, to protect tail latencies.
    fn adjust_pace(&mut self, now: TimePoint, worker: &WorkerId) {
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        let plan = pace_worker(entry, &mut self.interference, now);
        for body in plan.orders {
            self.actions.push(PlannerAction::Pace(WorkerCall {
                worker: worker.clone(),
                address: entry.listing.address,
                process: entry.incarnation,
                token: entry.token,
                body,
            }));
        }
        if !plan.moves.is_empty() {
            self.sync_workers(now);
        }
        for key in plan.moves {
            if self.faster_worker(now, key, worker).is_some() {
                self.stop_run(now, worker, key);
            }
        }
    }
}

/// Returns a task of a known job.
fn job_task(jobs: &BTreeMap<JobId, JobEntry>, task: TaskKey) -> Option<&TaskEntry> {
    jobs.get(&task.job)?.task(task)
}

/// Updates a run by its worker's report. Returns whether it is the current run of its task there and
/// its job hasn't ended.
fn update_run(
    entry: &mut WorkerEntry,
    jobs: &mut BTreeMap<JobId, JobEntry>,
    report: &RunReport,
    now: TimePoint,
) -> bool {
    let run = entry.runs.get_mut(&report.task);
    let Some(run) = run.filter(|run| run.run == report.run) else {
        return false;
    };
    run.is_reported = true;
    run.is_in_known_process = true;
    if !matches!(run.phase, RunPhase::Running(_)) {
        run.phase = RunPhase::Running(now);
        run.progressed_at = now;
    }
    if run.percent != report.percent {
        run.record_progress(report.percent, now);
    }
    if run.is_long_running && run.percent >= WHOLE_PERCENT && entry.quarantine.is_probe(report.task)
    {
        entry.quarantine.record_success();
    }
    run.tail_latency = report.tail_latency;
    let Some(job) = jobs.get_mut(&report.task.job) else {
        return true;
    };
    if let Some(task) = job.task_mut(report.task)
        && report.checkpoint.is_some()
    {
        task.checkpoint.clone_from(&report.checkpoint);
    }
    !job.phase.is_final()
}

impl WorkerEntry {
    /// Records that an end was processed and which batch, if any, has to be stored before the end
    /// may be acknowledged.
    fn end_processed(&mut self, number: u64, batch: Option<u64>) {
        match (batch, self.storing_ends.back()) {
            (Some(batch), _) => self.storing_ends.push_back((batch, number)),
            // This end needs no batch, but ends have to be acknowledged in order.
            (None, Some((batch, _))) => self.storing_ends.push_back((*batch, number)),
            (None, None) => self.stored_end = number,
        }
    }

    /// Marks the ends whose batches are stored as ready to be acknowledged, and makes the next
    /// renewal due, which acknowledges them.
    fn ends_stored(&mut self, number: u64, now: TimePoint) {
        while let Some((batch, end)) = self.storing_ends.front().copied() {
            if batch > number {
                return;
            }
            self.stored_end = end;
            self.storing_ends.pop_front();
            self.next_renewal_at = self.next_renewal_at.min(now);
        }
    }
}
