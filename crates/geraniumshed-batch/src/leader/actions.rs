//! The planner's actions as calls to workers, and the delivery of their answers.

use geraniumshed_core::assignment::PlannerAction;
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

/// An action as the call to a worker that it is.
///
/// # Errors
///
/// Returns the action if it is none.
pub(super) fn worker_call(
    action: PlannerAction,
) -> Result<(WorkerCall<CourierOrder>, CallOrigin), PlannerAction> {
    match action {
        PlannerAction::Start(call) => {
            let (call, order) = call.split();
            let origin = CallOrigin::Start(call.worker.clone(), order.task, order.run);
            Ok((call.with_body(CourierOrder::Start(order)), origin))
        }
        PlannerAction::Stop(call) => {
            let (call, order) = call.split();
            let origin = CallOrigin::Stop(call.worker.clone());
            Ok((call.with_body(CourierOrder::Stop(order)), origin))
        }
        PlannerAction::Pace(call) => {
            let (call, order) = call.split();
            let origin = CallOrigin::Pace(call.worker.clone(), order);
            Ok((call.with_body(CourierOrder::Pace(order)), origin))
        }
        PlannerAction::Renew(call, sent) => {
            let (call, request) = call.split();
            let origin = CallOrigin::Renew(call.worker.clone(), sent);
            Ok((call.with_body(CourierOrder::Renew(request)), origin))
        }
        PlannerAction::Advise(_) | PlannerAction::Event(_) => Err(action),
    }
}

/// Delivers the answer to a call to the leader task.
pub(crate) fn deliver_reply(handle: &LeaderHandle, origin: CallOrigin, reply: CourierReply) {
    match (origin, reply) {
        (CallOrigin::Start(worker, task, run), CourierReply::Started(reply)) => {
            if !matches!(reply, Ok(StartReply::Started)) {
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
            deliver_failure(handle, origin);
        }
    }
}

/// Tells the leader task that a call has no usable answer.
fn deliver_failure(handle: &LeaderHandle, origin: CallOrigin) {
    let failure = WorkerFailure::Unanswered;
    let event = match origin {
        CallOrigin::Start(worker, task, run) => {
            LeaderEvent::StartAnswered(worker, task, run, Err(failure))
        }
        CallOrigin::Stop(worker) => LeaderEvent::StopAnswered(worker, Err(failure)),
        CallOrigin::Renew(worker, sent) => {
            LeaderEvent::RenewAnswered(worker, sent, RenewOutcome::Failed(failure))
        }
        CallOrigin::Pace(..) => return,
    };
    handle.send(event);
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
