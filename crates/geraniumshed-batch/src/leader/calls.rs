//! Carries the planner's calls to workers out.

use geraniumshed_core::assignment::{PlannerAction, PlannerNote};

use super::event::{LeaderEvent, LeaderHandle};
use crate::site::WorkerCaller;

/// Carries an action out; the answer comes back as an event.
pub(super) fn carry_out<W: WorkerCaller>(caller: &W, handle: &LeaderHandle, action: PlannerAction) {
    let caller = caller.clone();
    let handle = handle.clone();
    match action {
        PlannerAction::Start(call) => {
            tokio::spawn(async move {
                let (worker, task, run) = (call.worker.clone(), call.body.task, call.body.run);
                let reply = caller.start(call).await;
                if !matches!(reply, Ok(geraniumshed_core::worker::StartReply::Started)) {
                    log::info!(
                        "task {task} run {run} on worker {worker}: start answered {reply:?}"
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
                        "task {} on worker {worker}: pace {} failed: {error:?}",
                        body.task,
                        body.percent
                    );
                }
            });
        }
        PlannerAction::Renew(call, mark) => {
            tokio::spawn(async move {
                let worker = call.worker.clone();
                let outcome = caller.renew(call).await;
                handle.send(LeaderEvent::RenewAnswered(worker, mark, outcome));
            });
        }
        PlannerAction::Advise(request) => {
            tokio::spawn(async move {
                let answer = caller.advise(&request).await;
                if let Err(error) = &answer {
                    log::info!("step {}: no advice: {error:?}", request.step);
                }
                handle.send(LeaderEvent::Advised(request, answer.ok()));
            });
        }
        PlannerAction::Note(note) => write_note(&note),
    }
}

fn write_note(note: &PlannerNote) {
    match note {
        PlannerNote::RunLost(task, run, reason) => {
            log::info!("task {task} run {run} ended without success: {reason}");
        }
        PlannerNote::JobEnded(job, phase) => log::info!("job {job} ended as {phase:?}"),
        PlannerNote::WorkerPaused(worker) => {
            log::info!("worker {worker} gets no tasks for a while, since those it had failed");
        }
        PlannerNote::WorkerLapsed(worker) => {
            log::info!("worker {worker} is given up: its leases have run out or it was replaced");
        }
        PlannerNote::WorkerReborn(worker) => {
            log::info!("worker {worker} has started anew and lost its runs");
        }
    }
}
