//! Handling of workers that are back as a new process under the same id.

use geraniumshed_model::prelude::TimePoint;

use super::action::PlannerTime;
use super::event::{PlannerEvent, RestartSign, RestartedWorker};
use super::planner::JobPlanner;
use super::worker_loss::LossCause;
use crate::job::{TaskKey, WorkerId};
use crate::worker::{ProcessMatch, RenewReply, RunEntry, RunPhase, SentRenewal, WorkerIncarnation};

impl JobPlanner {
    /// Returns which process of a worker has confirmed a start, and prepares for the news that it has
    /// restarted unless that is the known one.
    pub(super) fn match_started(
        &mut self,
        now: TimePoint,
        worker: &WorkerId,
        process: Option<WorkerIncarnation>,
    ) -> ProcessMatch {
        let Some(entry) = self.workers.get(worker) else {
            return ProcessMatch::Unclear;
        };
        let matched = entry.match_process(process);
        match matched {
            ProcessMatch::Known => {}
            ProcessMatch::Later => self.expect_restart(now, worker, RestartSign::StartAnswer),
            ProcessMatch::Unclear => self.note_long_lease(now, worker),
        }
        matched
    }

    /// Handles a sign that a worker has a later process than the known one. It gets no orders until it
    /// has answered a renewal, which shows the runs of that process.
    pub(super) fn expect_restart(&mut self, now: TimePoint, worker: &WorkerId, sign: RestartSign) {
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        if entry.later_process_seen_at.is_none() {
            entry.later_process_seen_at = Some(now);
            let restarted = RestartedWorker {
                worker: worker.clone(),
                sign,
                runs: entry.runs.len(),
                lease_remaining: entry.last_run_expires_at().since(now),
            };
            self.emit(PlannerEvent::RestartSeen(restarted));
        }
        self.note_long_lease(now, worker);
        self.force_renewal(worker);
    }

    /// Handles the restart of a worker, which loses the runs of the earlier process.
    ///
    /// Runs that were ordered before the restart was known may be runs of the new process. They are kept
    /// until a renewal with a higher token shows whether they exist.
    pub(super) fn handle_worker_restart(
        &mut self,
        now: PlannerTime,
        worker: &WorkerId,
        sent: SentRenewal,
        reply: &RenewReply,
    ) {
        self.assess_runs(now.point, worker);
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        let runs = entry.begin_incarnation(reply.incarnation.unwrap_or_default());
        entry.up_since = now.point;
        let may_be_new =
            |(key, run): &(TaskKey, RunEntry)| may_be_of_new_process(*key, run, sent, reply);
        let (kept, lost): (Vec<_>, Vec<_>) = runs.into_iter().partition(may_be_new);
        // What was found about the runs that are kept still holds if they don't exist.
        entry.is_assessed = !kept.is_empty();
        for (key, mut run) in kept {
            run.is_in_known_process = false;
            if let RunPhase::Running(_) = run.phase {
                run.phase = RunPhase::Unsettled(entry.token);
            }
            entry.add_run(key, run);
        }
        self.lose_runs(now, worker, LossCause::Restarted, &lost);
        self.prove_losses_by_restart(now, worker);
        if let Some(entry) = self.workers.get_mut(worker) {
            entry.trial = entry.trial.filter(|trial| entry.runs.contains_key(trial));
        }
        // Renewals that were sent to the earlier process acknowledge its ends, and must not reach the new
        // one.
        self.force_renewal(worker);
    }
}

/// Returns whether a run may have been started by a worker's new process, which answered a renewal.
fn may_be_of_new_process(
    key: TaskKey,
    run: &RunEntry,
    sent: SentRenewal,
    reply: &RenewReply,
) -> bool {
    reply.lists(key, run.run)
        || reply.lists_end(key, run.run)
        || match run.phase {
            RunPhase::Storing => false,
            RunPhase::Ordered(_) | RunPhase::Unsettled(_) => true,
            RunPhase::Running(since) => {
                let may_be_unlisted = !reply.has_all_ends && !run.is_in_known_process;
                since >= sent.sent_at || may_be_unlisted
            }
        }
}
