//! The records of the history.
//!
//! All times are in microseconds of the stand-ins' shared clock.

use geraniumshed_wire::common::ResourceSizeWire;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The outcome of a request's execution.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ExecutionEnd {
    /// The endpoint sent its response.
    Answered,
    /// The endpoint aborted its response because of an injected fault.
    BrokenOff,
    /// The client closed the connection before the response.
    Abandoned,
    /// A planned stop of the endpoint interrupted the request.
    CutOff,
    /// The endpoint's worker crashed.
    Killed,
}

/// An execution of a request on an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutionRecord {
    /// The request id that the daemon sent, or an empty string.
    pub request: SmolStr,
    /// The idempotency key, if the request has one.
    pub key: Option<SmolStr>,
    /// Whether the request's method or the service's command is idempotent.
    pub idempotent: bool,
    /// The service.
    pub service: SmolStr,
    /// The endpoint, as `task@attempt`.
    pub endpoint: SmolStr,
    /// The VM.
    pub vm: SmolStr,
    /// The path and query of the request.
    pub path: SmolStr,
    /// When the execution started.
    pub begin: u64,
    /// When the execution ended, if it has.
    pub end: Option<u64>,
    /// The outcome, if the execution has ended.
    pub outcome: Option<ExecutionEnd>,
}

/// The reason why an endpoint refused a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalCause {
    /// The endpoint was leaving.
    Leaving,
    /// All slots were in use and the queue was full.
    Busy,
}

/// A request that an endpoint received but did not run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalRecord {
    /// The request id.
    pub request: SmolStr,
    /// The endpoint.
    pub endpoint: SmolStr,
    /// The VM.
    pub vm: SmolStr,
    /// When the request was refused.
    pub at: u64,
    /// The reason.
    pub cause: RefusalCause,
}

/// The outcome of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlacementEnd {
    /// The attempt completed its work.
    Completed,
    /// The attempt failed.
    Failed,
    /// The attempt was stopped, with a checkpoint or without one.
    Stopped {
        /// The checkpoint.
        checkpoint: Option<SmolStr>,
    },
    /// The worker crashed during the attempt.
    Killed,
}

/// One attempt of a task on a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementRecord {
    /// The task.
    pub task: SmolStr,
    /// The attempt.
    pub attempt: u32,
    /// The worker.
    pub vm: SmolStr,
    /// The boot id of the worker.
    pub boot: u64,
    /// Whether the task is a batch task.
    pub batch: bool,
    /// Whether the task may safely run again.
    pub idempotent: bool,
    /// The resources that the worker reserves for the attempt.
    pub size: ResourceSizeWire,
    /// The checkpoint from which the attempt resumed, if any.
    pub resumed_from: Option<SmolStr>,
    /// The work completed before the attempt, in microseconds of run time without neighbours.
    pub work_before: u64,
    /// The work completed by the end of the attempt, in the same unit.
    pub work_after: u64,
    /// The total work of the task, in the same unit.
    pub work_total: u64,
    /// When the attempt started.
    pub begin: u64,
    /// When the attempt ended, if it has.
    pub end: Option<u64>,
    /// The outcome, if the attempt has ended.
    pub outcome: Option<PlacementEnd>,
}

/// A start command that a worker refused because it would have exceeded the worker's size.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OverloadRecord {
    /// The worker.
    pub vm: SmolStr,
    /// The task.
    pub task: SmolStr,
    /// The attempt.
    pub attempt: u32,
    /// When the command was refused.
    pub at: u64,
}

/// An endpoint or a VM that is leaving, which means that it takes no new work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingRecord {
    /// The endpoint as `task@attempt`, or the VM.
    pub name: SmolStr,
    /// The earliest time at which daemons could see that it is leaving.
    pub since: u64,
}

/// A worker and its size.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRecord {
    /// The worker.
    pub vm: SmolStr,
    /// The size.
    pub size: ResourceSizeWire,
}

/// The outcome of a request as its caller observed it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerRecord {
    /// The request id in the response.
    pub request: SmolStr,
    /// The idempotency key, if the caller sent one.
    pub key: Option<SmolStr>,
    /// The outcome in the response: `ran`, `not-run` or `unknown`; empty without a response.
    pub told: SmolStr,
    /// Whether the response is complete and belongs to the request; `None` for errors.
    pub own_answer: Option<bool>,
    /// Whether the connection was cut off before a response.
    pub cut_off: bool,
}

/// The full history of one cluster's stand-ins.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunHistory {
    /// The workers.
    pub vms: Vec<VmRecord>,
    /// The executions of requests.
    pub executions: Vec<ExecutionRecord>,
    /// The requests that endpoints refused.
    pub refusals: Vec<RefusalRecord>,
    /// The attempts of tasks.
    pub placements: Vec<PlacementRecord>,
    /// The start commands that would have exceeded a worker's size.
    pub overloads: Vec<OverloadRecord>,
    /// The endpoints and VMs that began to leave.
    pub leavings: Vec<LeavingRecord>,
}
