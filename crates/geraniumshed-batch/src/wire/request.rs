//! The stored form of a job's request.

use std::time::Duration;

use geraniumshed_core::job::{JobRequest, MAX_JOB_TASKS, QueueName, RepeatPlan, StepRequest};
use geraniumshed_model::prelude::{
    AcceleratorCount, MemorySize, ProcessorShare, ResourceSize, whole_millis,
};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::codec::WireDecodeError;

/// A job as it is stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRequestWire {
    queue: SmolStr,
    payload: SmolStr,
    steps: Vec<StepWire>,
    repeat: Option<RepeatWire>,
    submitted_unix_ms: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct RepeatWire {
    first_unix_ms: u64,
    interval_ms: u64,
    count: u32,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct StepWire {
    task_count: u32,
    processors: u32,
    memory: u64,
    accelerators: u32,
    estimate_ms: u64,
    after: Vec<u32>,
    flags: StepFlags,
    required_label: Option<SmolStr>,
    data_rack: Option<SmolStr>,
    worker_limit: Option<u32>,
    image: Option<SmolStr>,
    latency_target_ms: Option<u64>,
    unavailable_limit: Option<u32>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct StepFlags {
    has_checkpoints: bool,
    is_gang: bool,
    wants_one_rack: bool,
    allows_copies: bool,
    is_long_running: bool,
    is_best_effort: bool,
}

impl From<&JobRequest> for JobRequestWire {
    fn from(request: &JobRequest) -> Self {
        Self {
            queue: request.queue.0.clone(),
            payload: request.payload.clone(),
            steps: request.steps.iter().map(StepWire::from).collect(),
            repeat: request.repeat.map(|repeat| RepeatWire {
                first_unix_ms: repeat.first_unix_ms,
                interval_ms: whole_millis(repeat.interval),
                count: repeat.count,
            }),
            submitted_unix_ms: request.submitted_unix_ms,
        }
    }
}

impl TryFrom<JobRequestWire> for JobRequest {
    type Error = WireDecodeError;

    fn try_from(wire: JobRequestWire) -> Result<Self, Self::Error> {
        if wire.steps.is_empty() {
            return Err(WireDecodeError::Invalid("the job has no steps"));
        }
        let tasks = wire.steps.iter().map(|step| u64::from(step.task_count));
        if tasks.sum::<u64>() > MAX_JOB_TASKS {
            return Err(WireDecodeError::Invalid("the job has too many tasks"));
        }
        Ok(Self {
            queue: QueueName(wire.queue),
            payload: wire.payload,
            steps: wire.steps.into_iter().map(StepRequest::from).collect(),
            repeat: wire.repeat.map(|repeat| RepeatPlan {
                first_unix_ms: repeat.first_unix_ms,
                interval: Duration::from_millis(repeat.interval_ms),
                count: repeat.count,
            }),
            submitted_unix_ms: wire.submitted_unix_ms,
        })
    }
}

impl From<&StepRequest> for StepWire {
    fn from(step: &StepRequest) -> Self {
        Self {
            task_count: step.task_count,
            processors: step.size.processors.0,
            memory: step.size.memory.0,
            accelerators: step.size.accelerators.0,
            estimate_ms: whole_millis(step.estimate),
            after: step.after.clone(),
            flags: StepFlags {
                has_checkpoints: step.has_checkpoints,
                is_gang: step.is_gang,
                wants_one_rack: step.wants_one_rack,
                allows_copies: step.allows_copies,
                is_long_running: step.is_long_running,
                is_best_effort: step.is_best_effort,
            },
            required_label: step.required_label.clone(),
            data_rack: step.data_rack.clone(),
            worker_limit: step.worker_limit,
            image: step.image.clone(),
            latency_target_ms: step.latency_target.map(whole_millis),
            unavailable_limit: step.unavailable_limit,
        }
    }
}

impl From<StepWire> for StepRequest {
    fn from(wire: StepWire) -> Self {
        Self {
            task_count: wire.task_count,
            size: ResourceSize {
                processors: ProcessorShare(wire.processors),
                memory: MemorySize(wire.memory),
                accelerators: AcceleratorCount(wire.accelerators),
            },
            estimate: Duration::from_millis(wire.estimate_ms),
            after: wire.after,
            has_checkpoints: wire.flags.has_checkpoints,
            is_gang: wire.flags.is_gang,
            wants_one_rack: wire.flags.wants_one_rack,
            required_label: wire.required_label,
            data_rack: wire.data_rack,
            worker_limit: wire.worker_limit,
            allows_copies: wire.flags.allows_copies,
            is_long_running: wire.flags.is_long_running,
            image: wire.image,
            latency_target: wire.latency_target_ms.map(Duration::from_millis),
            is_best_effort: wire.flags.is_best_effort,
            unavailable_limit: wire.unavailable_limit,
        }
    }
}
