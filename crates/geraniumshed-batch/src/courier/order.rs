//! The orders that couriers carry out.

use std::time::Duration;

use geraniumshed_core::worker::{
    PaceOrder, RenewRequest, StartAnswer, StartOrder, StopOrder, WorkerCall, WorkerFailure,
};

use crate::clock::ReadMark;
use crate::site::{RenewOutcome, WorkerCaller};

/// What a courier asks of a worker.
#[derive(Debug, Clone, PartialEq)]
pub enum CourierOrder {
    /// Starts a task.
    Start(StartOrder),
    /// Stops a run.
    Stop(StopOrder),
    /// Changes the speed of a run.
    Pace(PaceOrder),
    /// Renews the lease and reads the runs.
    Renew(RenewRequest),
}

/// A worker's answer that a courier passes back.
#[derive(Debug, Clone, PartialEq)]
pub enum CourierReply {
    /// The answer to the start of a task.
    Started(Result<StartAnswer, WorkerFailure>),
    /// The answer to the stop of a run, or to a change of its speed.
    Done(Result<(), WorkerFailure>),
    /// The answer to the renewal of a lease.
    Renewed(RenewOutcome),
}

impl CourierReply {
    /// Returns whether the worker gave no usable answer.
    pub(super) fn is_failure(&self) -> bool {
        match self {
            Self::Started(reply) => reply.is_err(),
            Self::Done(reply) => reply.is_err(),
            Self::Renewed(outcome) => matches!(outcome, RenewOutcome::Failed(_)),
        }
    }
}

impl CourierOrder {
    /// Returns the reply of a call without an answer.
    pub(crate) fn failed(&self, failure: WorkerFailure) -> CourierReply {
        match self {
            Self::Start(_) => CourierReply::Started(Err(failure)),
            Self::Stop(_) | Self::Pace(_) => CourierReply::Done(Err(failure)),
            Self::Renew(_) => CourierReply::Renewed(RenewOutcome::Failed(failure)),
        }
    }
}

/// Carries out a call, unless that is late: if the process has stood still since the call was decided on,
/// another leader may have taken over.
pub(crate) async fn carry_out_in_time<W: WorkerCaller>(
    caller: W,
    call: WorkerCall<CourierOrder>,
    decided: ReadMark,
    limit: Duration,
) -> CourierReply {
    if decided.age() >= limit {
        return call.body.failed(WorkerFailure::NotSent);
    }
    let (call, order) = call.split();
    match order {
        CourierOrder::Start(order) => {
            CourierReply::Started(caller.start(call.with_body(order)).await)
        }
        CourierOrder::Stop(order) => CourierReply::Done(caller.stop(call.with_body(order)).await),
        CourierOrder::Pace(order) => CourierReply::Done(caller.pace(call.with_body(order)).await),
        CourierOrder::Renew(request) => {
            CourierReply::Renewed(caller.renew(call.with_body(request)).await)
        }
    }
}
