//! A planner with modelled workers and a modelled store, driven in simulated time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use geraniumshed_core::assignment::{JobPlanner, PlannerAction, PlannerSettings, PlannerTime};
use geraniumshed_core::job::{JobId, JobRequest, TaskKey, WorkerId};
use geraniumshed_core::worker::{
    EndKind, FenceToken, RenewReply, RenewRequest, RunEnd, RunReport, SentRenewal, StartReply,
    WorkerCall, WorkerIncarnation, WorkerTime,
};
use geraniumshed_model::prelude::TimePoint;
use hdrhistogram::Histogram;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::parts::{PartTimes, PlannerPart};
use super::workload::{JobSource, LoadShape};

/// The interval between two steps of the leader.
const STEP: Duration = Duration::from_millis(3);
/// The time from a call to a worker until its answer.
const CALL_DELAY: Duration = Duration::from_millis(8);
/// The time that an append to the store takes.
const APPEND_DELAY: Duration = Duration::from_millis(8);
/// The time for which the long-running tasks start before anything is timed.
const WARM_UP: Duration = Duration::from_secs(5);
/// The tail latency that workers report for runs with a latency target.
const TAIL_LATENCY: Duration = Duration::from_millis(6);
/// The system time at the start, in milliseconds of Unix time.
const START_UNIX_MS: u64 = 1_700_000_000_000;

/// What a run of the planner took.
#[derive(Debug)]
pub(super) struct JobsReport {
    /// The number of starts.
    pub(super) starts: u64,
    times: PartTimes,
    compared_workers: u64,
    /// The times from submission to the first start of urgent jobs, in milliseconds.
    urgent_waits: Vec<u64>,
}

impl JobsReport {
    /// Returns the processor time of a part per start, in microseconds.
    pub(super) fn micros_per_start(&self, part: PlannerPart) -> f64 {
        self.times.of(part).as_secs_f64() * 1e6 / self.starts.max(1) as f64
    }

    /// Returns the processor time of all parts per start, in microseconds.
    pub(super) fn all_micros_per_start(&self) -> f64 {
        let parts = PlannerPart::ALL.into_iter();
        parts.map(|part| self.micros_per_start(part)).sum()
    }

    /// Returns the number of workers that were compared per start.
    pub(super) fn compared_per_start(&self) -> f64 {
        self.compared_workers as f64 / self.starts.max(1) as f64
    }

    /// Returns a percentile of the time to the first start of urgent jobs, in milliseconds.
    pub(super) fn urgent_wait_ms(&self, percent: f64) -> u64 {
        let Ok(mut histogram) = Histogram::<u64>::new(2) else {
            return 0;
        };
        for wait in &self.urgent_waits {
            histogram.saturating_record(*wait);
        }
        histogram.value_at_percentile(percent)
    }
}

/// Runs a planner for a simulated time after its warm-up, and returns what that took.
pub(super) fn run_planner(shape: LoadShape, seed: u64, span: Duration) -> JobsReport {
    let mut model = PlannerModel::open(shape, seed);
    model.begin();
    model.advance(WARM_UP, false);
    model.reset();
    model.advance(span, true);
    model.report()
}

/// Something that reaches the planner or a worker at a later time.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ModelEvent {
    RunEnds(WorkerId, TaskKey, u32),
    StartAnswered(WorkerId, TaskKey, u32),
    RenewalDue(WorkerId, u64),
    BatchStored(u64),
}

/// A modelled worker.
#[derive(Debug, Default)]
struct ModelWorker {
    /// The runs in progress, each with whether it has a latency target.
    running: BTreeMap<TaskKey, (u32, bool)>,
    ended: Vec<RunEnd>,
    end_count: u64,
    /// The renewal that is held back, with the highest end that it acknowledges and its number.
    held: Option<(SentRenewal, u64)>,
}

struct PlannerModel {
    planner: JobPlanner,
    source: JobSource,
    now: TimePoint,
    workers: BTreeMap<WorkerId, ModelWorker>,
    requests: BTreeMap<JobId, JobRequest>,
    events: BinaryHeap<Reverse<(TimePoint, u64, ModelEvent)>>,
    event_count: u64,
    is_append_in_flight: bool,
    times: PartTimes,
    starts: u64,
    compared_before: u64,
    urgent_waits: BTreeMap<JobId, u64>,
}

impl PlannerModel {
    fn open(shape: LoadShape, seed: u64) -> Self {
        let source = JobSource::open(shape, ChaCha8Rng::seed_from_u64(seed));
        let mut planner = JobPlanner::new(PlannerSettings::default(), FenceToken(1));
        planner.replace_queues(JobSource::policies());
        Self {
            planner,
            source,
            now: TimePoint(1_000_000),
            workers: BTreeMap::new(),
            requests: BTreeMap::new(),
            events: BinaryHeap::new(),
            event_count: 0,
            is_append_in_flight: false,
            times: PartTimes::default(),
            starts: 0,
            compared_before: 0,
            urgent_waits: BTreeMap::new(),
        }
    }

    /// Registers the workers and submits the long-running jobs.
    fn begin(&mut self) {
        let now = self.time();
        self.planner.restore_leases(now, now.point, None);
        let listings = self.source.listings();
        for listing in &listings {
            self.workers
                .insert(listing.id.clone(), ModelWorker::default());
        }
        self.planner.replace_workers(now, listings);
        let jobs = self.source.served_jobs(now.unix_ms);
        self.submit(jobs);
    }

    /// Forgets what was timed so far.
    fn reset(&mut self) {
        self.times = PartTimes::default();
        self.starts = 0;
        self.compared_before = self.planner.work().compared_workers;
    }

    fn report(self) -> JobsReport {
        JobsReport {
            starts: self.starts,
            times: self.times,
            compared_workers: self.planner.work().compared_workers - self.compared_before,
            urgent_waits: self.urgent_waits.into_values().collect(),
        }
    }

    fn time(&self) -> PlannerTime {
        PlannerTime {
            point: self.now,
            unix_ms: START_UNIX_MS + self.now.0 / 1000,
        }
    }

    fn advance(&mut self, span: Duration, has_arrivals: bool) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            if has_arrivals {
                let jobs = self.source.draw(STEP, self.time().unix_ms);
                self.submit(jobs);
            }
            self.deliver();
            self.step();
        }
    }

    fn submit(&mut self, jobs: Vec<(JobId, JobRequest)>) {
        for (id, request) in jobs {
            self.requests.insert(id, request.clone());
            let planner = &mut self.planner;
            let submit = || planner.submit(id, request);
            self.times.time(PlannerPart::Submit, submit);
        }
    }

    /// Delivers the events that are due.
    fn deliver(&mut self) {
        while let Some(Reverse((at, ..))) = self.events.peek()
            && *at <= self.now
            && let Some(Reverse((_, _, event))) = self.events.pop()
        {
            match event {
                ModelEvent::RunEnds(worker, task, run) => self.end_run(&worker, task, run),
                ModelEvent::StartAnswered(worker, task, run) => {
                    let now = self.time();
                    let planner = &mut self.planner;
                    self.times.time(PlannerPart::Start, || {
                        planner.start_answered(
                            now,
                            &worker,
                            task,
                            run,
                            Ok(StartReply::Started.into()),
                        );
                    });
                }
                ModelEvent::RenewalDue(worker, sent) => self.answer_renewal(&worker, sent),
                ModelEvent::BatchStored(number) => {
                    self.is_append_in_flight = false;
                    let now = self.time();
                    let planner = &mut self.planner;
                    let store = || planner.batch_stored(now, number);
                    self.times.time(PlannerPart::Store, store);
                }
            }
        }
    }

    /// Takes a step like the leader task.
    fn step(&mut self) {
        let now = self.time();
        let planner = &mut self.planner;
        self.times.time(PlannerPart::Plan, || planner.advance(now));
        if !self.is_append_in_flight {
            let planner = &mut self.planner;
            let batch = self
                .times
                .time(PlannerPart::Store, || planner.take_batch(now));
            if let Some(batch) = batch {
                self.is_append_in_flight = true;
                self.schedule(APPEND_DELAY, ModelEvent::BatchStored(batch.number));
            }
        }
        for action in self.planner.take_actions() {
            match action {
                PlannerAction::Start(call) => {
                    self.start(call.worker, call.body.task, call.body.run);
                }
                PlannerAction::Stop(call) => {
                    let (task, run) = (call.body.task, call.body.run);
                    self.end_run_as(&call.worker, task, run, EndKind::Stopped);
                }
                PlannerAction::Renew(call, sent) => self.renew(call, sent),
                PlannerAction::Pace(_) | PlannerAction::Advise(_) | PlannerAction::Event(_) => {}
            }
        }
    }

    fn schedule(&mut self, delay: Duration, event: ModelEvent) {
        self.event_count += 1;
        let entry = (self.now + delay, self.event_count, event);
        self.events.push(Reverse(entry));
    }

    fn start(&mut self, worker: WorkerId, task: TaskKey, run: u32) {
        let Some(request) = self.requests.get(&task.job) else {
            return;
        };
        let submitted = request.submitted_unix_ms;
        let Some(step) = request.steps.get(task.step as usize).cloned() else {
            return;
        };
        self.starts += 1;
        if !step.is_best_effort && !step.is_long_running {
            let wait = self.time().unix_ms - submitted;
            self.urgent_waits.entry(task.job).or_insert(wait);
        }
        let is_served = step.latency_target.is_some();
        if let Some(model) = self.workers.get_mut(&worker) {
            model.running.insert(task, (run, is_served));
        }
        if !step.is_long_running {
            let length = self.source.run_time(&step);
            let end = ModelEvent::RunEnds(worker.clone(), task, run);
            self.schedule(CALL_DELAY + length, end);
        }
        let answer = ModelEvent::StartAnswered(worker, task, run);
        self.schedule(CALL_DELAY, answer);
    }

    fn end_run(&mut self, worker: &WorkerId, task: TaskKey, run: u32) {
        self.end_run_as(worker, task, run, EndKind::Done);
    }

    /// Ends a run, and answers a renewal that is held back.
    fn end_run_as(&mut self, worker: &WorkerId, task: TaskKey, run: u32, kind: EndKind) {
        let Some(model) = self.workers.get_mut(worker) else {
            return;
        };
        let is_same = model.running.get(&task).is_some_and(|(own, _)| *own == run);
        if !is_same {
            return;
        }
        model.running.remove(&task);
        model.end_count += 1;
        model.ended.push(RunEnd {
            number: model.end_count,
            task,
            run,
            kind,
            checkpoint: None,
        });
        if let Some((_, number)) = model.held {
            let due = ModelEvent::RenewalDue(worker.clone(), number);
            self.schedule(CALL_DELAY / 2, due);
        }
    }

    /// Holds a renewal back until a run ends or its time is over.
    fn renew(&mut self, call: WorkerCall<RenewRequest>, sent: SentRenewal) {
        self.event_count += 1;
        let number = self.event_count;
        let Some(model) = self.workers.get_mut(&call.worker) else {
            return;
        };
        model
            .ended
            .retain(|end| end.number > call.body.last_stored_end);
        model.held = Some((sent, number));
        let delay = if model.ended.is_empty() {
            CALL_DELAY + call.body.wait
        } else {
            CALL_DELAY
        };
        self.schedule(delay, ModelEvent::RenewalDue(call.worker, number));
    }

    fn answer_renewal(&mut self, worker: &WorkerId, number: u64) {
        let now = self.time();
        let Some(model) = self.workers.get_mut(worker) else {
            return;
        };
        let Some((sent, _)) = model.held.take_if(|(_, held)| *held == number) else {
            return;
        };
        let report = |(task, (run, is_served)): (&TaskKey, &(u32, bool))| RunReport {
            task: *task,
            run: *run,
            checkpoint: None,
            percent: 100,
            tail_latency: if *is_served {
                TAIL_LATENCY
            } else {
                Duration::ZERO
            },
        };
        let reply = RenewReply {
            clock: WorkerTime(now.point.0 / 1000),
            incarnation: Some(WorkerIncarnation(1)),
            running: model.running.iter().map(report).collect(),
            ended: model.ended.clone(),
            has_all_ends: true,
        };
        let planner = &mut self.planner;
        self.times.time(PlannerPart::Renew, || {
            planner.renewal_answered(now, worker, sent, reply);
        });
    }
}
