//! Short constructors for the values that tests use.

use std::time::Duration;

use geraniumshed_core::assignment::PlannerSettings;
use geraniumshed_core::job::{JobId, StepRequest, TaskKey, WorkerId};
use geraniumshed_model::prelude::{AcceleratorCount, MemorySize, ProcessorShare, ResourceSize};

pub fn size(processors: u32, memory_gb: u64) -> ResourceSize {
    ResourceSize {
        processors: ProcessorShare(processors),
        memory: MemorySize(memory_gb * 1_000_000_000),
        accelerators: AcceleratorCount(0),
    }
}

/// Creates a step of tasks that each take a second on two processors.
pub fn step(task_count: u32) -> StepRequest {
    StepRequest {
        task_count,
        size: size(2_000, 2),
        estimate: Duration::from_secs(1),
        ..StepRequest::default()
    }
}

pub fn task(job: JobId, step: u32, index: u32) -> TaskKey {
    TaskKey {
        job,
        occurrence: 0,
        step,
        index,
    }
}

pub fn worker(number: usize) -> WorkerId {
    WorkerId(format!("w{number:02}").into())
}

/// Returns settings for workers that grant leases of up to the given length.
pub fn settings_with_longest_lease(longest_lease: Duration) -> PlannerSettings {
    PlannerSettings {
        longest_lease,
        ..PlannerSettings::default()
    }
}
