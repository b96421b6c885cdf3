//! The planner's actions as calls to workers, and the delivery of their answers.

use geraniumshed_core::assignment::{PlannerAction, PlannerEvent};
use geraniumshed_core::job::{TaskKey, WorkerId};
use geraniumshed_core::worker::{
    AdviceRequest, PaceOrder, SentRenewal, StartReply, WorkerCall, WorkerFailure,
};

use super::event::{LeaderEvent, LeaderHandle};
use crate::courier::{CourierOrder, CourierReply};
use crate::site::{RenewOutcome, WorkerCaller};

/// The call that an answer belongs to.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum CallOrigin {
    /// The start of a run of a task.
    Start(WorkerId, TaskKey, u32),
    /// The stop of a run.
    Stop(WorkerId),
    /// A change of a run's speed.
    Pace(WorkerId, PaceOrder),
    /// The renewal of a lease.
    Renew(WorkerId, SentRenewal),
}

impl CallOrigin {
    /// Returns the reply of a call without an answer.
    pub(crate) fn failed(&self, failure: WorkerFailure) -> CourierReply {
        match self {
            Self::Start(..) => CourierReply::Started(Err(failure)),
            Self::Stop(_) | Self::Pace(..) => CourierReply::Done(Err(failure)),
            Self::Renew(..) => CourierReply::Renewed(RenewOutcome::Failed(failure)),
        }
    }
}

/// An action of the planner, by how it is executed.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum LeaderAction {
    /// A call to a worker.
    Call(WorkerCall<CourierOrder>, CallOrigin),
    /// A request for advice.
    Advise(AdviceRequest),
    /// An event for logs and metrics.
    Event(PlannerEvent),
}

impl From<PlannerAction> for LeaderAction {
    fn from(action: PlannerAction) -> Self {
        match action {
            PlannerAction::Start(call) => {
                let (call, order) = call.split();
                let origin = CallOrigin::Start(call.worker.clone(), order.task, order.run);
                Self::Call(call.with_body(CourierOrder::Start(order)), origin)
            }
            PlannerAction::Stop(call) => {
                let (call, order) = call.split();
                let origin = CallOrigin::Stop(call.worker.clone());
                Self::Call(call.with_body(CourierOrder::Stop(order)), origin)
            }
            PlannerAction::Pace(call) => {
                let (call, order) = call.split();
                let origin = CallOrigin::Pace(call.worker.clone(), order);
                Self::Call(call.with_body(CourierOrder::Pace(order)), origin)
            }
            PlannerAction::Renew(call, sent) => {
                let (call, request) = call.split();
                let origin = CallOrigin::Renew(call.worker.clone(), sent);
                Self::Call(call.with_body(CourierOrder::Renew(request)), origin)
            }
            PlannerAction::Advise(request) => Self::Advise(request),
            PlannerAction::Event(event) => Self::Event(event),
        }
    }
}

/// Delivers the answer to a call to the leader task.
pub(crate) fn deliver_reply(handle: &LeaderHandle, origin: CallOrigin, reply: CourierReply) {
    match (origin, reply) {
        (CallOrigin::Start(worker, task, run), CourierReply::Started(reply)) => {
            if !reply.is_ok_and(|answer| answer.reply == StartReply::Started) {
                log::info!(
                    job:% = task.job, task:% = task, run = run, worker:% = worker, reply:? = reply;
                    "worker did not confirm the start of a task"
                );
            }
            handle.send(LeaderEvent::StartAnswered(worker, task, run, reply));
        }
        (CallOrigin::Stop(worker), CourierReply::Done(reply)) => {
            handle.send(LeaderEvent::StopAnswered(worker, reply));
        }
        (CallOrigin::Pace(worker, order), CourierReply::Done(reply)) => {
            if let Err(error) = reply {
                log::info!(
                    job:% = order.task.job, task:% = order.task, worker:% = worker,
                    percent = order.percent, error:? = error;
                    "could not change the speed of a run"
                );
            }
        }
        (CallOrigin::Renew(worker, sent), CourierReply::Renewed(outcome)) => {
            handle.send(LeaderEvent::RenewAnswered(worker, sent, outcome));
        }
        (origin, reply) => {
            log::error!(origin:? = origin, reply:? = reply; "courier answered another kind of call");
            let reply = origin.failed(WorkerFailure::Unanswered);
            deliver_reply(handle, origin, reply);
        }
    }
}

/// Requests advice, and delivers it to the leader task.
pub(super) async fn advise<W: WorkerCaller>(
    caller: W,
    handle: LeaderHandle,
    request: AdviceRequest,
) {
    let answer = caller.advise(&request).await;
    if let Err(error) = &answer {
        log::info!(job:% = request.step.job, step = request.step.step, error:? = error; "could not get advice on the workers for a step");
    }
    handle.send(LeaderEvent::AdviceAnswered(request, answer.ok()));
}
