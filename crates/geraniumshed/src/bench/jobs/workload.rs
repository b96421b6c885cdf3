//! The jobs of a large deployment.

use std::collections::BTreeMap;
use std::time::Duration;

use geraniumshed_core::job::{
    JobId, JobRequest, QueueName, QueuePolicy, ServiceName, StepRequest, WorkerId,
};
use geraniumshed_core::worker::{WorkerIncarnation, WorkerListing};
use geraniumshed_model::prelude::{AcceleratorCount, MemorySize, ProcessorShare, ResourceSize};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use smol_str::{SmolStr, format_smolstr};

/// The processors of a worker, in thousandths.
const WORKER_PROCESSORS: u32 = 32_000;
/// The memory of a worker.
const WORKER_MEMORY: MemorySize = MemorySize(128_000_000_000);
/// The number of workers in a rack.
const RACK_SIZE: usize = 12;
/// The service of all workers.
const SERVICE: &str = "bench";
/// The share of the processors that long-running tasks request.
const SERVED_SHARE: f64 = 0.3;
/// The number of images with a latency target.
const SERVED_IMAGES: u32 = 16;
/// The number of best-effort images.
const FILLER_IMAGES: u32 = 30;
/// The share of the starts that belong to urgent jobs.
const URGENT_SHARE: f64 = 0.15;
/// The number of tasks in a step of an urgent job.
const URGENT_WIDTH: u32 = 13;
/// The number of tasks in a step of a best-effort job.
const FILLER_WIDTH: u32 = 40;
/// The number of tasks of a long-running job.
const SERVED_WIDTH: u32 = 24;
/// The mean run time of an urgent task.
const URGENT_TIME: Duration = Duration::from_millis(640);
/// The mean run time of a best-effort task.
const FILLER_TIME: Duration = Duration::from_millis(1_700);

/// How many workers there are, and what the jobs ask of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct LoadShape {
    /// The number of workers.
    pub(super) workers: usize,
    /// The number of tasks that should start in a second.
    pub(super) starts_per_second: u32,
    /// The share of the processors that all jobs request, in percent.
    pub(super) load_percent: u32,
}

/// The queues of the jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum JobClass {
    /// Narrow jobs that must start at once.
    Urgent,
    /// Wide jobs that use idle processors.
    Filler,
    /// Long-running jobs with a latency target.
    Served,
}

impl JobClass {
    const ALL: [Self; 3] = [Self::Urgent, Self::Filler, Self::Served];

    fn queue(self) -> QueueName {
        QueueName::from(match self {
            Self::Urgent => "urgent",
            Self::Filler => "filler",
            Self::Served => "served",
        })
    }

    fn policy(self) -> QueuePolicy {
        let (priority, objective_ms) = match self {
            Self::Urgent => (0, 300),
            Self::Filler => (2, 1_000),
            Self::Served => (0, 2_500),
        };
        QueuePolicy {
            service: ServiceName::from(SERVICE),
            priority,
            attempt_limit: 4,
            stretch: 1.5,
            latency_objective: Duration::from_millis(objective_ms),
            advice: None,
        }
    }
}

/// Draws jobs with a seed.
#[derive(Debug)]
pub(super) struct JobSource {
    shape: LoadShape,
    random: ChaCha8Rng,
    next_id: u64,
}

impl JobSource {
    /// Creates a source of jobs.
    pub(super) fn open(shape: LoadShape, random: ChaCha8Rng) -> Self {
        Self {
            shape,
            random,
            next_id: 1,
        }
    }

    /// Returns the policies of all queues.
    pub(super) fn policies() -> BTreeMap<QueueName, QueuePolicy> {
        let classes = JobClass::ALL.into_iter();
        classes
            .map(|class| (class.queue(), class.policy()))
            .collect()
    }

    /// Returns the registrations of all workers.
    pub(super) fn listings(&self) -> Vec<WorkerListing> {
        (0..self.shape.workers).map(listing).collect()
    }

    /// Returns the long-running jobs that exist from the start.
    pub(super) fn served_jobs(&mut self, unix_ms: u64) -> Vec<(JobId, JobRequest)> {
        let processors = self.shape.workers as f64 * f64::from(WORKER_PROCESSORS) * SERVED_SHARE;
        let task_processors = 6_400.0;
        let jobs = processors / task_processors / f64::from(SERVED_WIDTH);
        let jobs = (0..).take_while(|number| f64::from(*number) < jobs);
        jobs.map(|number: u32| {
            let step = StepRequest {
                task_count: SERVED_WIDTH,
                size: task_size(task_processors, 13),
                estimate: Duration::from_secs(70),
                is_long_running: true,
                image: Some(format_smolstr!("served-{}", number % SERVED_IMAGES)),
                latency_target: Some(Duration::from_millis(18)),
                ..StepRequest::default()
            };
            self.job(JobClass::Served, vec![step], unix_ms)
        })
        .collect()
    }

    /// Returns the jobs that come within a time step.
    pub(super) fn draw(&mut self, span: Duration, unix_ms: u64) -> Vec<(JobId, JobRequest)> {
        let starts = f64::from(self.shape.starts_per_second) * span.as_secs_f64();
        // Jobs have two steps.
        let urgent = starts * URGENT_SHARE / f64::from(2 * URGENT_WIDTH);
        let filler = starts * (1.0 - URGENT_SHARE) / f64::from(2 * FILLER_WIDTH);
        let mut jobs = Vec::new();
        for _ in 0..self.round(urgent) {
            jobs.push(self.urgent_job(unix_ms));
        }
        for _ in 0..self.round(filler) {
            jobs.push(self.filler_job(unix_ms));
        }
        jobs
    }

    /// Returns the run time of a task of a step.
    pub(super) fn run_time(&mut self, step: &StepRequest) -> Duration {
        step.estimate.mul_f64(self.random.random_range(0.5..1.6))
    }

    /// Rounds up or down at random, so that the mean is the value.
    fn round(&mut self, mean: f64) -> usize {
        let draw: f64 = self.random.random();
        let mut count = 0;
        while mean - f64::from(count) > draw {
            count += 1;
        }
        usize::try_from(count).unwrap_or_default()
    }

    fn urgent_job(&mut self, unix_ms: u64) -> (JobId, JobRequest) {
        let size = task_size(1.8 * self.task_processors(), 4);
        let steps = two_steps(StepRequest {
            task_count: URGENT_WIDTH,
            size,
            estimate: URGENT_TIME,
            ..StepRequest::default()
        });
        self.job(JobClass::Urgent, steps, unix_ms)
    }

    fn filler_job(&mut self, unix_ms: u64) -> (JobId, JobRequest) {
        let image = self.random.random_range(0..FILLER_IMAGES);
        let steps = two_steps(StepRequest {
            task_count: FILLER_WIDTH,
            size: task_size(self.task_processors(), 1),
            estimate: FILLER_TIME,
            image: Some(format_smolstr!("filler-{image}")),
            is_best_effort: true,
            ..StepRequest::default()
        });
        self.job(JobClass::Filler, steps, unix_ms)
    }

    /// Returns the processors of a best-effort task with which all jobs together request the wanted
    /// share, in thousandths.
    fn task_processors(&self) -> f64 {
        let all = self.shape.workers as f64 * f64::from(WORKER_PROCESSORS);
        // Long-running tasks use half of what they request.
        let share = f64::from(self.shape.load_percent) / 100.0 - SERVED_SHARE / 2.0;
        let starts = f64::from(self.shape.starts_per_second);
        let urgent = URGENT_SHARE * URGENT_TIME.as_secs_f64() * 1.8;
        let filler = (1.0 - URGENT_SHARE) * FILLER_TIME.as_secs_f64();
        all * share / (starts * (urgent + filler))
    }

    fn job(
        &mut self,
        class: JobClass,
        steps: Vec<StepRequest>,
        unix_ms: u64,
    ) -> (JobId, JobRequest) {
        let id = JobId(self.next_id.wrapping_mul(0x9E37_79B9_7F4A_7C15));
        self.next_id += 1;
        let request = JobRequest {
            queue: class.queue(),
            payload: SmolStr::new("payload"),
            steps,
            repeat: None,
            submitted_unix_ms: unix_ms,
        };
        (id, request)
    }
}

/// Returns two equal steps, the second of which follows the first.
fn two_steps(step: StepRequest) -> Vec<StepRequest> {
    let second = StepRequest {
        after: vec![0],
        ..step.clone()
    };
    vec![step, second]
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the processors of a task are positive and below those of a worker"
)]
fn task_size(processors: f64, memory_gb: u64) -> ResourceSize {
    ResourceSize {
        processors: ProcessorShare(processors.clamp(10.0, 16_000.0) as u32),
        memory: MemorySize(memory_gb * 1_000_000_000),
        accelerators: AcceleratorCount(0),
    }
}

fn listing(number: usize) -> WorkerListing {
    let rack = format_smolstr!("rack-{}", number / RACK_SIZE);
    let [high, low] = u16::try_from(number).unwrap_or(u16::MAX).to_be_bytes();
    WorkerListing {
        id: WorkerId(format_smolstr!("i-{number:010x}")),
        service: ServiceName::from(SERVICE),
        address: ([10, 0, high, low], 80).into(),
        zone: SmolStr::new("zone"),
        incarnation: Some(WorkerIncarnation(1)),
        capacity: ResourceSize {
            processors: ProcessorShare(WORKER_PROCESSORS),
            memory: WORKER_MEMORY,
            accelerators: AcceleratorCount(0),
        },
        labels: vec![SmolStr::new("a"), rack.clone()],
        rack: Some(rack),
        is_draining: false,
        leaves_in: None,
    }
}
