//! Executes the planner's actions: calls to workers, and events for logs and metrics.

use geraniumshed_core::assignment::PlannerAction;

use super::event::{LeaderEvent, LeaderHandle};
use crate::site::WorkerCaller;
use crate::telemetry::{NodeMetrics, log_event};

/// Executes an action. Calls run in the background, and their answers come back as events.
pub(super) fn execute_action<W: WorkerCaller>(
    caller: &W,
    handle: &LeaderHandle,
    metrics: &NodeMetrics,
    action: PlannerAction,
) {
    let caller = caller.clone();
    let handle = handle.clone();
    match action {
        PlannerAction::Start(call) => {
            tokio::spawn(async move {
                let (worker, task, run) = (call.worker.clone(), call.body.task, call.body.run);
                let reply = caller.start(call).await;
                if !matches!(reply, Ok(geraniumshed_core::worker::StartReply::Started)) {
                    log::info!(
                        job:% = task.job, task:% = task, run = run, worker:% = worker, reply:? = reply;
                        "worker did not confirm the start of a task"
                    );
                }
                handle.send(LeaderEvent::StartAnswered(worker, task, run, reply));
            });
        }
        PlannerAction::Stop(call) => {
            tokio::spawn(async move {
                let worker = call.worker.clone();
                let reply = caller.stop(call).await;
                handle.send(LeaderEvent::StopAnswered(worker, reply));
            });
        }
        PlannerAction::Pace(call) => {
            tokio::spawn(async move {
                let (worker, body) = (call.worker.clone(), call.body);
                if let Err(error) = caller.pace(call).await {
                    log::info!(
                        job:% = body.task.job, task:% = body.task, worker:% = worker,
                        percent = body.percent, error:? = error;
                        "could not change the speed of a run"
                    );
                }
            });
        }
        PlannerAction::Renew(call, sent) => {
            tokio::spawn(async move {
                let worker = call.worker.clone();
                let outcome = caller.renew(call).await;
                handle.send(LeaderEvent::RenewAnswered(worker, sent, outcome));
            });
        }
        PlannerAction::Advise(request) => {
            tokio::spawn(async move {
                let answer = caller.advise(&request).await;
                if let Err(error) = &answer {
                    log::info!(job:% = request.step.job, step = request.step.step, error:? = error; "could not get advice on the workers for a step");
                }
                handle.send(LeaderEvent::AdviceAnswered(request, answer.ok()));
            });
        }
        PlannerAction::Event(event) => {
            metrics.record_event(&event);
            log_event(&event);
        }
    }
}
