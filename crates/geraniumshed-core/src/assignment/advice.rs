//! Advice on the workers that may run a step, for queues whose policy requires it.
//!
//! The advice consists of tickets. A worker accepts a start only with a valid ticket.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;
use smol_str::SmolStr;

use super::action::{PlannerAction, PlannerTime};
use super::placement_query::StepPermission;
use super::planner::JobPlanner;
use crate::job::{AdvicePolicy, JobEntry, JobId, StepKey, WorkerId};
use crate::worker::{AdviceReply, AdviceRequest, WorkerIncarnation};

/// The remaining validity that a ticket needs when a task is placed.
const TICKET_MARGIN: Duration = Duration::from_millis(400);
/// The target for the duration of a call, which limits how many workers it names.
const CALL_TIME_LIMIT: Duration = Duration::from_millis(600);
/// The number of workers in a call for each waiting task.
const WORKERS_PER_TASK: usize = 2;
/// The least number of workers in a call, if there are as many.
const MIN_WORKERS_PER_CALL: usize = 4;
/// The largest number of workers in a call.
const MAX_WORKERS_PER_CALL: usize = 100;
/// The delay before a failed call is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// A permission to start a step's tasks on a worker. It doesn't apply after a restart of the
/// worker.
#[derive(Debug, Clone, PartialEq, Eq)]
struct StartTicket {
    text: SmolStr,
    incarnation: Option<WorkerIncarnation>,
    valid_until: TimePoint,
}

/// The known advice on a step.
#[derive(Debug, Clone, Default)]
pub(super) struct StepAdvice {
    tickets: BTreeMap<WorkerId, StartTicket>,
    /// The workers that may never run the step.
    excluded: BTreeSet<WorkerId>,
    is_call_pending: bool,
    retry_at: TimePoint,
}

impl StepAdvice {
    /// Returns the ticket for a worker with the given incarnation, if there is one that is valid.
    pub(super) fn ticket(
        &self,
        worker: &WorkerId,
        incarnation: Option<WorkerIncarnation>,
        now: TimePoint,
    ) -> Option<&SmolStr> {
        let ticket = self.tickets.get(worker)?;
        let is_valid = ticket.incarnation == incarnation && now < ticket.valid_until;
        is_valid.then_some(&ticket.text)
    }

    /// Returns whether a task may be placed on a worker now.
    pub(super) fn allows(
        &self,
        worker: &WorkerId,
        incarnation: Option<WorkerIncarnation>,
        now: TimePoint,
    ) -> bool {
        self.ticket(worker, incarnation, now + TICKET_MARGIN)
            .is_some()
    }
}

/// The known advice by step.
#[derive(Debug, Clone, Default)]
pub(super) struct AdviceTable {
    steps: BTreeMap<StepKey, StepAdvice>,
}

impl AdviceTable {
    /// Returns the advice on a step.
    pub(super) fn step(&self, step: StepKey) -> Option<&StepAdvice> {
        self.steps.get(&step)
    }

    /// Drops a ticket that a worker refused.
    pub(super) fn drop_ticket(&mut self, step: StepKey, worker: &WorkerId) {
        if let Some(advice) = self.steps.get_mut(&step) {
            advice.tickets.remove(worker);
        }
    }

    /// Removes the advice on all steps of a job.
    pub(super) fn forget(&mut self, job: JobId) {
        self.steps.retain(|step, _| step.job != job);
    }
}

impl JobPlanner {
    /// Returns the workers on which a queue's policy allows a step to run.
    pub(super) fn permission(&self, job: &JobEntry, step: StepKey) -> StepPermission<'_> {
        let policy = self.queues.policy(&job.request.queue);
        if policy.is_none_or(|policy| policy.advice.is_none()) {
            return StepPermission::Anywhere;
        }
        match self.advice.steps.get(&step) {
            Some(advice) => StepPermission::Advised(advice),
            None => StepPermission::Unknown,
        }
    }

    /// Requests advice on which of the given workers may run a step, unless a call is pending or
    /// has just failed.
    ///
    /// `workers` are those that could take a task, best first.
    pub(super) fn request_advice(
        &mut self,
        now: TimePoint,
        policy: AdvicePolicy,
        step: StepKey,
        mut workers: Vec<WorkerId>,
        task_count: usize,
    ) {
        let advice = self.advice.steps.entry(step).or_default();
        if advice.is_call_pending || now < advice.retry_at {
            return;
        }
        workers.retain(|worker| !advice.excluded.contains(worker));
        workers.truncate(call_size(policy, task_count));
        if workers.is_empty() {
            return;
        }
        advice.is_call_pending = true;
        let request = AdviceRequest { step, workers };
        self.actions.push(PlannerAction::Advise(request));
    }

    /// Handles the reply to a call for advice, or its failure if there is no reply.
    pub fn advice_answered(
        &mut self,
        now: PlannerTime,
        request: &AdviceRequest,
        reply: Option<AdviceReply>,
    ) {
        let Some(advice) = self.advice.steps.get_mut(&request.step) else {
            return;
        };
        advice.is_call_pending = false;
        let Some(reply) = reply else {
            advice.retry_at = now.point + RETRY_DELAY;
            return;
        };
        let excluded = request
            .workers
            .iter()
            .filter(|worker| !reply.tickets.iter().any(|(allowed, _)| allowed == *worker));
        advice.excluded.extend(excluded.cloned());
        for (worker, text) in reply.tickets {
            let incarnation = self
                .workers
                .get(&worker)
                .and_then(|entry| entry.incarnation);
            let ticket = StartTicket {
                text,
                incarnation,
                valid_until: now.point + reply.validity,
            };
            advice.tickets.insert(worker, ticket);
        }
        self.is_placement_due = true;
    }
}

/// Returns the number of workers to name in a call. The call takes longer with each worker.
fn call_size(policy: AdvicePolicy, task_count: usize) -> usize {
    let time = CALL_TIME_LIMIT.saturating_sub(policy.decision_time);
    let in_time_limit = time.as_micros() / policy.worker_time.as_micros().max(1);
    let in_time_limit = usize::try_from(in_time_limit).unwrap_or(MAX_WORKERS_PER_CALL);
    let wanted = task_count.saturating_mul(WORKERS_PER_TASK);
    wanted
        .min(in_time_limit)
        .clamp(MIN_WORKERS_PER_CALL, MAX_WORKERS_PER_CALL)
}
