//! Which workers a queue's policy lets a step run on.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;
use smol_str::SmolStr;

use super::action::{PlannerAction, PlannerMoment};
use super::placement::StepPermission;
use super::planner::JobPlanner;
use crate::job::{AdvicePolicy, JobEntry, JobId, StepKey, WorkerId};
use crate::worker::{AdviceReply, AdviceRequest, WorkerLife};

/// The time for which a ticket has to be valid still when a task is placed.
const TICKET_MARGIN: Duration = Duration::from_millis(400);
/// The time that an answer may take to be worth the wait for more workers.
const ANSWER_TIME: Duration = Duration::from_millis(600);
/// The workers that are asked for, as a multiple of the tasks that wait.
const WORKERS_PER_TASK: usize = 2;
/// The least number of workers that one call names.
const LEAST_WORKERS: usize = 4;
/// The number of workers that one call may name.
const MOST_WORKERS: usize = 100;
/// The pause before a call that got no answer is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The leave to start a step's tasks on one life of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
struct StartTicket {
    text: SmolStr,
    life: Option<WorkerLife>,
    valid_until: TimePoint,
}

/// What is known of the workers that may run a step.
#[derive(Debug, Clone, Default)]
pub(super) struct StepAdvice {
    tickets: BTreeMap<WorkerId, StartTicket>,
    /// The workers that may not run the step, for good.
    excluded: BTreeSet<WorkerId>,
    is_asking: bool,
    retry_at: TimePoint,
}

impl StepAdvice {
    /// Returns the ticket for a worker's life, if it is valid for a while.
    pub(super) fn ticket(
        &self,
        worker: &WorkerId,
        life: Option<WorkerLife>,
        now: TimePoint,
    ) -> Option<&SmolStr> {
        let ticket = self.tickets.get(worker)?;
        let is_valid = ticket.life == life && now < ticket.valid_until;
        is_valid.then_some(&ticket.text)
    }

    /// Tells whether a task may be placed on a worker now.
    pub(super) fn allows(
        &self,
        worker: &WorkerId,
        life: Option<WorkerLife>,
        now: TimePoint,
    ) -> bool {
        self.ticket(worker, life, now + TICKET_MARGIN).is_some()
    }
}

/// The advice on all steps of queues that need it.
#[derive(Debug, Clone, Default)]
pub(super) struct AdviceBook {
    steps: BTreeMap<StepKey, StepAdvice>,
}

impl AdviceBook {
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

    /// Forgets the steps of a job.
    pub(super) fn forget(&mut self, job: JobId) {
        self.steps.retain(|step, _| step.job != job);
    }
}

impl JobPlanner {
    /// Tells on which workers a queue's policy lets a step run, as far as that is known.
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

    /// Asks which workers may run a step, unless that is being asked already.
    ///
    /// The workers are those that could take a task, the best first.
    pub(super) fn ask_for_advice(
        &mut self,
        now: TimePoint,
        policy: AdvicePolicy,
        step: StepKey,
        mut workers: Vec<WorkerId>,
        task_count: usize,
    ) {
        let advice = self.advice.steps.entry(step).or_default();
        if advice.is_asking || now < advice.retry_at {
            return;
        }
        workers.retain(|worker| !advice.excluded.contains(worker));
        workers.truncate(call_size(policy, task_count));
        if workers.is_empty() {
            return;
        }
        advice.is_asking = true;
        let request = AdviceRequest { step, workers };
        self.actions.push(PlannerAction::Advise(request));
    }

    /// Takes the answer to a call for advice.
    pub fn advice_answered(
        &mut self,
        now: PlannerMoment,
        request: &AdviceRequest,
        reply: Option<AdviceReply>,
    ) {
        let Some(advice) = self.advice.steps.get_mut(&request.step) else {
            return;
        };
        advice.is_asking = false;
        let Some(reply) = reply else {
            advice.retry_at = now.point + RETRY_PAUSE;
            return;
        };
        let excluded = request
            .workers
            .iter()
            .filter(|worker| !reply.tickets.iter().any(|(allowed, _)| allowed == *worker));
        advice.excluded.extend(excluded.cloned());
        for (worker, text) in reply.tickets {
            let life = self.workers.get(&worker).and_then(|entry| entry.life);
            let ticket = StartTicket {
                text,
                life,
                valid_until: now.point + reply.validity,
            };
            advice.tickets.insert(worker, ticket);
        }
        self.is_placing_due = true;
    }
}

/// Returns the number of workers that one call names, since each takes its time.
fn call_size(policy: AdvicePolicy, task_count: usize) -> usize {
    let time = ANSWER_TIME.saturating_sub(policy.decision_time);
    let in_time = time.as_micros() / policy.worker_time.as_micros().max(1);
    let in_time = usize::try_from(in_time).unwrap_or(MOST_WORKERS);
    let wanted = task_count.saturating_mul(WORKERS_PER_TASK);
    wanted.min(in_time).clamp(LEAST_WORKERS, MOST_WORKERS)
}
