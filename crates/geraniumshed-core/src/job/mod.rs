//! Batch jobs: the requests of clients, the progress of each job, and the stored form of both.
//!
//! A job consists of steps, and a step of equal tasks. Each attempt to execute a task is a run. A
//! repeating job executes all of its steps once per occurrence.

mod chain;
mod crash;
mod diagnostics;
mod entry;
mod id;
mod queue;
mod request;
mod stored;
mod task;

pub use chain::chains_from;
pub use crash::{CrashEvidence, CrashHistory, RunSuspicion, TaskCrashes};
pub use diagnostics::JobDiagnostics;
pub use entry::{JobEntry, JobPhase, Occurrence};
pub use id::{JobId, QueueName, ServiceName, StepKey, TaskKey, WorkerId};
pub use queue::{AdvicePolicy, QueuePolicy, QueueTable, USABLE_FACTOR};
pub use request::{JobRequest, MAX_JOB_TASKS, RepeatPlan, StepRequest};
pub use stored::{StoredJob, StoredOccurrence, StoredTask, TaskStage};
pub use task::{TaskEntry, TaskPhase};
