//! A simulation of nodes, the store and workers on a clock of its own, with faults at given times.
//!
//! Nodes elect leaders and lead as the tasks of the batch crate do, with the real election and planner.

mod calls;
pub mod fault;
mod leading;
mod machines;
mod member;
pub mod random;
mod store;

use std::collections::BTreeMap;
use std::time::Duration;

use geraniumshed_core::assignment::PlannerTime;
use geraniumshed_core::job::{JobId, JobRequest, QueueName, StepRequest, TaskKey};
use geraniumshed_core::leadership::{LeaderRecord, MemberIdentity};
use geraniumshed_model::prelude::{
    AcceleratorCount, MemorySize, ProcessorShare, ResourceSize, TimePoint,
};

use self::calls::{MachineCall, ParkedRenewal};
use self::fault::{Fault, FaultKind, FaultPlan};
use self::machines::Machine;
use self::member::{MemberAnswer, Node, ProbeResult};
use self::store::{StoreAnswer, StoreRequest};
use crate::checker::{RunChecker, Violation};
use crate::leader::LeaderInput;
use crate::store::StoreModel;

/// The system time at the start, in milliseconds of Unix time.
const START_UNIX_MS: u64 = 1_700_000_000_000;

/// What takes part in a simulation.
#[derive(Debug, Clone)]
pub struct Setup {
    pub nodes: usize,
    pub machines: usize,
    /// The longest lease that workers grant.
    pub longest_lease: Duration,
    /// The jobs, with the time at which each is submitted.
    pub jobs: Vec<(u64, JobKind)>,
    /// The length of the simulation.
    pub length: Duration,
    /// Whether a call is carried out only by the process that it names.
    pub binds_named_calls: bool,
}

/// A kind of job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobKind {
    /// This many tasks that run until the end.
    LongRunning(u32),
    /// This many tasks that each run for this many milliseconds.
    Batch(u32, u64),
    /// A gang of this many tasks that run for this many milliseconds.
    Gang(u32, u64),
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            nodes: 3,
            machines: 4,
            longest_lease: Duration::from_secs(6),
            jobs: vec![
                (0, JobKind::LongRunning(4)),
                (0, JobKind::Batch(4, 9_000)),
                (4_000, JobKind::Gang(3, 6_000)),
                (6_000, JobKind::Batch(4, 3_000)),
                (9_000, JobKind::LongRunning(4)),
                (12_000, JobKind::Batch(4, 5_000)),
            ],
            length: Duration::from_secs(40),
            binds_named_calls: false,
        }
    }
}

/// Something that happens at a time.
#[derive(Debug, Clone)]
enum Event {
    Submit(usize),
    /// A process of a node starts, and takes part in elections.
    Boot(usize),
    Member(usize, u64),
    MemberAnswer(usize, u64, u64, MemberAnswer),
    BecomeLeader(usize, geraniumshed_core::leadership::LeaderTerm),
    Join(usize, u64),
    Poll(usize, u64),
    Listed(usize, u64, Vec<geraniumshed_core::worker::WorkerListing>),
    Step(usize, u64, u64),
    Probe(usize, u64, ProbeResult),
    Resign(usize),
    Kill(usize),
    StoreRequest(StoreRequest),
    StoreAnswer(usize, u64, u64, StoreAnswer),
    Call(MachineCall),
    Answer(usize, u64, u64, LeaderInput),
    Parked(usize, u64),
    RunDone(usize, u64, TaskKey, u32),
    StopDone(usize, u64, TaskKey, u32),
    CheckGang(usize, u32, TimePoint),
    Crash(usize),
    Return(usize),
}

impl Event {
    /// Returns the node that has to run for the event to be handled, with its process if it matters.
    fn node(&self) -> Option<(usize, Option<u64>)> {
        match self {
            Self::Member(node, process)
            | Self::MemberAnswer(node, process, ..)
            | Self::Join(node, process)
            | Self::Poll(node, process)
            | Self::Listed(node, process, _)
            | Self::Step(node, process, _)
            | Self::Probe(node, process, _)
            | Self::StoreAnswer(node, process, ..)
            | Self::Answer(node, process, ..) => Some((*node, Some(*process))),
            Self::Resign(node) | Self::BecomeLeader(node, _) => Some((*node, None)),
            _ => None,
        }
    }
}

/// A simulation.
pub struct Simulation {
    setup: Setup,
    plan: FaultPlan,
    now: TimePoint,
    queue: BTreeMap<(TimePoint, u64), Event>,
    event_count: u64,
    message_count: u64,
    nodes: Vec<Node>,
    store: StoreModel,
    claims: Vec<LeaderRecord>,
    /// The members of the group of leaders, with the end of each membership.
    members: Vec<(MemberIdentity, TimePoint)>,
    machines: Vec<Machine>,
    parked: BTreeMap<u64, ParkedRenewal>,
    checker: RunChecker,
    has_log: bool,
    pub log: Vec<String>,
}

/// A violation with what happened before it.
#[derive(Debug)]
pub struct FoundFault {
    pub violation: Violation,
    pub log: Vec<String>,
}

/// Runs a simulation, and returns the first violation.
pub fn simulate(setup: &Setup, faults: &[Fault], has_log: bool) -> Option<FoundFault> {
    let mut simulation = Simulation::open(setup, faults, has_log);
    simulation.run();
    let violation = simulation.checker.violation?;
    Some(FoundFault {
        violation,
        log: simulation.log,
    })
}

/// Runs a simulation, and returns what happened in it.
pub fn trace(setup: &Setup, faults: &[Fault]) -> Vec<String> {
    let mut simulation = Simulation::open(setup, faults, true);
    simulation.run();
    simulation.log
}

impl Simulation {
    fn open(setup: &Setup, faults: &[Fault], has_log: bool) -> Self {
        let start = TimePoint::default() + Duration::from_mins(10);
        let mut simulation = Self {
            setup: setup.clone(),
            plan: FaultPlan {
                start,
                faults: faults.to_vec(),
            },
            now: start,
            queue: BTreeMap::new(),
            event_count: 0,
            message_count: 0,
            nodes: Vec::new(),
            store: StoreModel::default(),
            claims: Vec::new(),
            members: Vec::new(),
            machines: Vec::new(),
            parked: BTreeMap::new(),
            checker: RunChecker::default(),
            has_log,
            log: Vec::new(),
        };
        for machine in 0..setup.machines {
            simulation.machines.push(Machine::default());
            simulation.start_process(machine);
        }
        for node in 0..setup.nodes {
            simulation.nodes.push(Node::new(node, start));
            simulation.push(start, Event::Member(node, 0));
        }
        for (job, (at_ms, _)) in setup.jobs.iter().enumerate() {
            let at = start + Duration::from_millis(*at_ms);
            simulation.push(at, Event::Submit(job));
        }
        for fault in faults {
            simulation.plan_fault(*fault);
        }
        simulation
    }

    fn plan_fault(&mut self, fault: Fault) {
        let (begin, end) = (
            fault.begins_at(self.plan.start),
            fault.ends_at(self.plan.start),
        );
        match fault.kind {
            FaultKind::Kill(node) => {
                self.push(begin, Event::Kill(node));
                self.push(end, Event::Boot(node));
            }
            FaultKind::Resign(node) => self.push(begin, Event::Resign(node)),
            FaultKind::Crash(machine) => {
                self.push(begin, Event::Crash(machine));
                self.push(end, Event::Return(machine));
            }
            _ => {}
        }
    }

    fn run(&mut self) {
        let end = self.plan.start + self.setup.length;
        while let Some(((at, number), event)) = self.queue.pop_first() {
            if at > end || self.checker.violation.is_some() {
                return;
            }
            if let Some((node, process)) = event.node() {
                let one = &self.nodes[node];
                if !one.is_up || process.is_some_and(|process| process != one.process) {
                    continue;
                }
                let awake_at = self.plan.awake_at(node, at);
                if awake_at > at {
                    self.queue.insert((awake_at, number), event);
                    continue;
                }
            }
            self.now = at;
            self.check_leases();
            self.handle(event);
        }
    }

    fn push(&mut self, at: TimePoint, event: Event) {
        self.event_count += 1;
        self.queue.insert((at, self.event_count), event);
    }

    fn push_in(&mut self, delay: Duration, event: Event) {
        self.push(self.now + delay, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Submit(job) => self.submit(job),
            Event::Boot(node) => self.boot(node),
            Event::Member(node, _) => self.act_as_member(node),
            Event::MemberAnswer(node, _, operation, answer) => {
                self.handle_member_answer(node, operation, answer);
            }
            Event::BecomeLeader(node, term) => self.handle_lead_request(node, term),
            Event::Join(node, process) => self.join(node, process),
            Event::Poll(node, process) => self.poll_workers(node, process),
            Event::Listed(node, _, listings) => {
                self.pass_input(node, LeaderInput::Listed(listings));
            }
            Event::Step(node, _, number) => self.step_if_newest(node, number),
            Event::Probe(node, _, result) => self.handle_probe(node, result),
            Event::Resign(node) => self.resign(node),
            Event::Kill(node) => self.kill(node),
            Event::StoreRequest(request) => self.carry_out_at_store(request),
            Event::StoreAnswer(node, _, operation, answer) => {
                self.handle_store_answer(node, operation, answer);
            }
            Event::Call(call) => self.carry_out(call),
            Event::Answer(node, _, call, input) => self.handle_answer(node, call, input),
            Event::Parked(machine, call) => self.answer_parked(machine, call),
            Event::RunDone(machine, process, task, run) => {
                self.finish_run(machine, process, task, run);
            }
            Event::StopDone(machine, process, task, run) => {
                self.finish_stop(machine, process, task, run);
            }
            Event::CheckGang(job, run, started) => self.check_gang(job, run, started),
            Event::Crash(machine) => self.crash(machine),
            Event::Return(machine) => self.start_process(machine),
        }
    }

    /// Adds a job to the store. Leaders learn of it at their next poll.
    fn submit(&mut self, job: usize) {
        let request = self.request(job);
        self.store.requests.insert(job_id(job), request);
    }

    fn request(&self, job: usize) -> JobRequest {
        let kind = self.setup.jobs[job].1;
        let (task_count, estimate_ms) = match kind {
            JobKind::LongRunning(count) => (count, 1_000),
            JobKind::Batch(count, time_ms) | JobKind::Gang(count, time_ms) => (count, time_ms),
        };
        let step = StepRequest {
            task_count,
            size: size(1_000, 1),
            estimate: Duration::from_millis(estimate_ms),
            is_gang: matches!(kind, JobKind::Gang(..)),
            is_long_running: matches!(kind, JobKind::LongRunning(_)),
            ..StepRequest::default()
        };
        JobRequest {
            queue: QueueName::from("q"),
            payload: "p".into(),
            steps: vec![step],
            repeat: None,
            submitted_unix_ms: self.planner_time().unix_ms,
        }
    }

    fn kind_of(&self, id: JobId) -> JobKind {
        self.setup.jobs[usize::try_from(id.0).unwrap_or_default() - 1].1
    }

    fn planner_time(&self) -> PlannerTime {
        PlannerTime {
            point: self.now,
            unix_ms: START_UNIX_MS + self.now.0 / 1000,
        }
    }

    fn log(&mut self, line: impl FnOnce() -> String) {
        if self.has_log {
            let time = self.now.since(self.plan.start).as_millis();
            self.log.push(format!("{time:>6} {}", line()));
        }
    }
}

fn job_id(job: usize) -> JobId {
    JobId(job as u64 + 1)
}

fn size(processors: u32, memory_gb: u64) -> ResourceSize {
    ResourceSize {
        processors: ProcessorShare(processors),
        memory: MemorySize(memory_gb * 1_000_000_000),
        accelerators: AcceleratorCount(0),
    }
}
