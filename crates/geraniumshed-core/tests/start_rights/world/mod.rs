//! Leaders, the store and workers, and the calls between them, which a test delivers step by step.

mod appends;
mod calls;
mod leaders;
mod machines;
mod pending;
mod steps;
mod time;

use std::net::SocketAddr;
use std::time::Duration;

use geraniumshed_core::assignment::PlannerTime;
use geraniumshed_core::job::{JobId, JobRequest, QueueName, StepRequest, TaskKey, WorkerId};
use geraniumshed_core::worker::{
    FenceToken, RenewRequest, SentRenewal, StartOrder, StopOrder, WorkerCall, WorkerFailure,
    WorkerListing,
};
use geraniumshed_model::prelude::{
    AcceleratorCount, MemorySize, ProcessorShare, ResourceSize, TimePoint,
};

use crate::checker::{ProcessId, RunChecker};
use crate::leader::{Leader, LeaderInput, RenewOutcome};
use crate::step::{CallId, Step};
use crate::store::{SentAppend, StoreModel};
use crate::worker::WorkerProcess;

/// The length of a tick.
const TICK: Duration = Duration::from_millis(100);
/// The number of ticks in a pass.
const TICKS_PER_PASS: usize = 10;
/// The time that each delivery takes.
const MOMENT: Duration = Duration::from_millis(1);
/// The time without an answer after which a call fails, in addition to its own wait.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// The time without an answer after which an append is sent again.
const APPEND_TIMEOUT: Duration = Duration::from_millis(500);
/// The system time at the start of a test, in milliseconds of Unix time.
const START_UNIX_MS: u64 = 1_700_000_000_000;
/// What the clocks of the first processes show at the start of a test.
const FIRST_READING: u64 = 100_000;
/// The limit of deliveries within a tick.
const MAX_ROUNDS: usize = 12;
/// The job of all tests.
pub const JOB: JobId = JobId(1);

/// What a test assumes where the platform's protocol leaves a choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Assumptions {
    /// Whether the store checks an append's epoch only when the append arrives.
    pub checks_epoch_on_arrival: bool,
    /// Whether a call is carried out only by the process that it names, since it goes over a connection on
    /// which that process has answered.
    pub binds_named_calls: bool,
    /// Whether any other late call that was sent to a process reaches a later process with the same id.
    pub reaches_later_process: bool,
    /// Whether a process that starts under the id of an earlier one has seen no fencing token.
    pub forgets_token: bool,
    /// What the clock of a process that starts again shows first, in milliseconds.
    pub later_reading: u64,
}

impl Assumptions {
    /// What calls over connections promise: one that names a process is carried out by no other, however late. The
    /// rest is the hardest reading of the protocol.
    pub const PROTOCOL: Self = Self {
        checks_epoch_on_arrival: false,
        binds_named_calls: true,
        reaches_later_process: true,
        forgets_token: true,
        later_reading: 40_000,
    };
    /// Like [`Self::PROTOCOL`], but calls are carried out by any process: those of a leader of an earlier release,
    /// or one that a worker has received before it started again. Clocks start at zero.
    pub const UNBOUND_CALLS: Self = Self {
        binds_named_calls: false,
        later_reading: 0,
        ..Self::PROTOCOL
    };
    /// Like [`Self::UNBOUND_CALLS`], with clocks that don't start at zero: a later process shows less than the one
    /// before it, and more than the longest lease.
    pub const RUNNING_CLOCKS: Self = Self {
        later_reading: 40_000,
        ..Self::UNBOUND_CALLS
    };
    /// Like [`Self::UNBOUND_CALLS`], but calls are bound to the process that was up when they were sent.
    pub const BOUND_CALLS: Self = Self {
        checks_epoch_on_arrival: false,
        binds_named_calls: false,
        reaches_later_process: false,
        forgets_token: true,
        later_reading: 0,
    };
    /// Like [`Self::BOUND_CALLS`], with a store that checks the epoch only on arrival.
    pub const EPOCH_ON_ARRIVAL: Self = Self {
        checks_epoch_on_arrival: true,
        binds_named_calls: false,
        reaches_later_process: false,
        forgets_token: true,
        later_reading: 0,
    };
}

/// What a call asks for.
#[derive(Debug, Clone)]
enum CallBody {
    Start(StartOrder),
    Stop(StopOrder),
    Renew(RenewRequest, SentRenewal),
}

impl CallBody {
    /// Returns what the leader gets if there is no answer.
    fn failure(&self, worker: &WorkerId, failure: WorkerFailure) -> LeaderInput {
        let worker = worker.clone();
        match self {
            Self::Start(order) => LeaderInput::Start(worker, order.task, order.run, Err(failure)),
            Self::Stop(_) => LeaderInput::Stop(worker, Err(failure)),
            Self::Renew(_, sent) => LeaderInput::Renew(worker, *sent, RenewOutcome::Failed),
        }
    }

    fn wait(&self) -> Duration {
        match self {
            Self::Renew(request, _) => request.wait,
            Self::Start(_) | Self::Stop(_) => Duration::ZERO,
        }
    }
}

/// A call on its way.
#[derive(Debug, Clone)]
struct SentCall {
    id: CallId,
    call: WorkerCall<CallBody>,
    sent_at: TimePoint,
    /// The process that was up when the call was sent.
    process: Option<ProcessId>,
    is_held: bool,
    /// Whether the leader still waits for the answer.
    is_awaited: bool,
}

impl SentCall {
    /// Returns what the leader gets if there is no answer.
    fn failure(&self) -> LeaderInput {
        self.call.body.failure(&self.call.worker, UNANSWERED)
    }
}

/// An answer on its way.
#[derive(Debug, Clone)]
struct SentAnswer {
    leader: usize,
    input: LeaderInput,
}

/// An append on its way.
#[derive(Debug, Clone)]
struct PendingAppend {
    leader: usize,
    append: SentAppend,
    sent_at: TimePoint,
    is_held: bool,
}

/// A machine with the process of its worker, if that is up.
#[derive(Debug, Clone)]
struct Machine {
    /// The id of its newest worker.
    worker: WorkerId,
    is_listed: bool,
    process: Option<WorkerProcess>,
    /// The highest token that an earlier process with this id has seen.
    last_token: FenceToken,
}

/// All that takes part.
#[derive(Debug)]
pub struct World {
    assumptions: Assumptions,
    job_retention: Duration,
    now: TimePoint,
    pub store: StoreModel,
    pub leaders: Vec<Leader>,
    machines: Vec<Machine>,
    worker_count: usize,
    calls: Vec<SentCall>,
    answers: Vec<SentAnswer>,
    appends: Vec<PendingAppend>,
    call_counts: Vec<CallId>,
    cuts: Vec<(usize, usize)>,
    store_cuts: Vec<usize>,
    pub checker: RunChecker,
    /// What happened, for messages.
    pub log: Vec<String>,
}

impl World {
    /// Creates a world with a leader that leads, two workers that know it, and a job that has just
    /// been submitted.
    pub fn open(assumptions: Assumptions, task_count: u32, job_retention: Duration) -> Self {
        let mut world = Self {
            assumptions,
            job_retention,
            now: TimePoint::default() + Duration::from_mins(10),
            store: StoreModel::default(),
            leaders: Vec::new(),
            machines: Vec::new(),
            worker_count: 0,
            calls: Vec::new(),
            answers: Vec::new(),
            appends: Vec::new(),
            call_counts: Vec::new(),
            cuts: Vec::new(),
            store_cuts: Vec::new(),
            checker: RunChecker::default(),
            log: Vec::new(),
        };
        for _ in 0..2 {
            let worker = world.next_worker();
            let process =
                WorkerProcess::new(worker.clone(), START_UNIX_MS, world.now, FIRST_READING);
            world.machines.push(Machine {
                worker,
                is_listed: true,
                process: Some(process),
                last_token: FenceToken(0),
            });
        }
        world.take(Step::Claim);
        world.take(Step::Pass);
        world.submit(task_count);
        world
    }

    /// Takes a step, and returns whether it was possible.
    pub fn take(&mut self, step: Step) -> bool {
        self.now = self.now + MOMENT;
        let is_taken = self.try_take(step).is_some();
        if is_taken {
            self.log(format!("-- {step:?}"));
            self.check_leases();
        }
        is_taken
    }

    /// Adds the job to the store and tells the leaders of it.
    fn submit(&mut self, task_count: u32) {
        let step = StepRequest {
            task_count,
            size: size(2_000, 2),
            estimate: Duration::from_secs(10),
            ..StepRequest::default()
        };
        let request = JobRequest {
            queue: QueueName::from("q"),
            payload: "p".into(),
            steps: vec![step],
            repeat: None,
            submitted_unix_ms: self.planner_time().unix_ms,
        };
        self.store.requests.insert(JOB, request.clone());
        for leader in 0..self.leaders.len() {
            self.leaders[leader].planner.submit(JOB, request.clone());
            self.step_leader(leader);
        }
    }

    fn planner_time(&self) -> PlannerTime {
        PlannerTime {
            point: self.now,
            unix_ms: START_UNIX_MS + self.now.0 / 1000,
        }
    }

    fn log(&mut self, line: String) {
        self.log.push(format!("{:>9} {line}", self.now.0 / 1000));
    }
}

const UNANSWERED: WorkerFailure = WorkerFailure::Unanswered;

/// Returns a task of the job.
fn task(index: u32) -> TaskKey {
    TaskKey {
        job: JOB,
        occurrence: 0,
        step: 0,
        index,
    }
}

fn with_body<T>(call: WorkerCall<T>, wrap: impl FnOnce(T) -> CallBody) -> WorkerCall<CallBody> {
    WorkerCall {
        worker: call.worker,
        address: call.address,
        process: call.process,
        token: call.token,
        body: wrap(call.body),
    }
}

fn worker_number(worker: &WorkerId) -> usize {
    worker.0.trim_start_matches('w').parse().unwrap_or_default()
}

fn address_of(machine: usize) -> SocketAddr {
    format!("10.0.0.{}:80", machine + 1).parse().unwrap()
}

fn listing(machine: usize, id: WorkerId) -> WorkerListing {
    WorkerListing {
        id,
        service: "s".into(),
        address: address_of(machine),
        zone: "z".into(),
        incarnation: None,
        capacity: size(8_000, 16),
        labels: Vec::new(),
        rack: None,
        is_draining: false,
        leaves_in: None,
    }
}

fn size(processors: u32, memory_gb: u64) -> ResourceSize {
    ResourceSize {
        processors: ProcessorShare(processors),
        memory: MemorySize(memory_gb * 1_000_000_000),
        accelerators: AcceleratorCount(0),
    }
}
