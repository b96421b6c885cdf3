//! What the stand-ins write down.
//!
//! All times are microseconds of the stand-ins' own clock.

use geraniumshed_wire::common::ResourceSizeWire;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// How the run of a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ExecutionEnd {
    /// The endpoint answered.
    Answered,
    /// The endpoint broke its answer off, as it was told to.
    BrokenOff,
    /// The other side closed the connection before the answer.
    Abandoned,
    /// The endpoint was stopped as planned and cut the request off.
    CutOff,
    /// The endpoint was killed.
    Killed,
}

/// One run of a request on an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutionRecord {
    /// The request id that the daemon sent, or an empty text.
    pub request: SmolStr,
    /// The idempotency key, if one came along.
    pub key: Option<SmolStr>,
    /// Whether the request's method is idempotent.
    pub idempotent: bool,
    /// The service.
    pub service: SmolStr,
    /// The endpoint, as `task@attempt`.
    pub endpoint: SmolStr,
    /// The VM.
    pub vm: SmolStr,
    /// The path and the query.
    pub path: SmolStr,
    /// The time at which the run began.
    pub begin: u64,
    /// The time at which the run ended, if it has.
    pub end: Option<u64>,
    /// How the run ended, if it has.
    pub outcome: Option<ExecutionEnd>,
}

/// Why an endpoint did not run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalCause {
    /// The endpoint was leaving.
    Leaving,
    /// All slots and the queue were taken.
    Busy,
}

/// A request that an endpoint received and did not run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalRecord {
    /// The request id.
    pub request: SmolStr,
    /// The endpoint.
    pub endpoint: SmolStr,
    /// The VM.
    pub vm: SmolStr,
    /// The time.
    pub at: u64,
    /// Why it did not run.
    pub cause: RefusalCause,
}

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlacementEnd {
    /// All work was done.
    Completed,
    /// The attempt failed by itself.
    Failed,
    /// The attempt was stopped, with a checkpoint or without one.
    Stopped {
        /// The checkpoint.
        checkpoint: Option<SmolStr>,
    },
    /// The worker died under the attempt.
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
    /// The boot of the worker.
    pub boot: u64,
    /// Whether the task is a batch task.
    pub batch: bool,
    /// Whether a second run does no harm.
    pub idempotent: bool,
    /// The size that the worker holds for the attempt.
    pub size: ResourceSizeWire,
    /// The checkpoint from which the attempt resumed.
    pub resumed_from: Option<SmolStr>,
    /// The work that was done before the attempt, in microseconds alone on the worker.
    pub work_before: u64,
    /// The work that was done after it.
    pub work_after: u64,
    /// All of the task's work.
    pub work_total: u64,
    /// The time at which the attempt began.
    pub begin: u64,
    /// The time at which it ended, if it has.
    pub end: Option<u64>,
    /// How it ended, if it has.
    pub outcome: Option<PlacementEnd>,
}

/// A start that would have exceeded a worker's size, which the worker refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OverloadRecord {
    /// The worker.
    pub vm: SmolStr,
    /// The task.
    pub task: SmolStr,
    /// The attempt.
    pub attempt: u32,
    /// The time.
    pub at: u64,
}

/// An endpoint or a VM that leaves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingRecord {
    /// The endpoint as `task@attempt`, or the VM.
    pub name: SmolStr,
    /// The time from which daemons could know.
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

/// What a caller saw of one of its requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerRecord {
    /// The request id that the answer names.
    pub request: SmolStr,
    /// The key, if the caller sent one.
    pub key: Option<SmolStr>,
    /// The outcome that the answer names: `ran`, `not-run` or `unknown`; empty without an answer.
    pub told: SmolStr,
    /// Whether the answer is whole and belongs to the request; `None` for errors.
    pub own_answer: Option<bool>,
    /// Whether the connection was cut off before an answer.
    pub cut_off: bool,
}

/// Everything that the stand-ins wrote down.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TruthRecord {
    /// The workers.
    pub vms: Vec<VmRecord>,
    /// The runs of requests.
    pub executions: Vec<ExecutionRecord>,
    /// The requests that endpoints did not run.
    pub refusals: Vec<RefusalRecord>,
    /// The attempts.
    pub placements: Vec<PlacementRecord>,
    /// The starts that would have exceeded a worker's size.
    pub overloads: Vec<OverloadRecord>,
    /// The endpoints and VMs that left.
    pub leavings: Vec<LeavingRecord>,
}
