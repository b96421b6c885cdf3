//! A planner with simulated workers and a simulated store, driven in steps of simulated time.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use geraniumshed_core::assignment::{
    InterferenceSnapshot, JobPlanner, JobStatus, LeaseSnapshot, PlannerAction, PlannerEvent,
    PlannerSettings, PlannerTime, StoreChange, WaitSnapshot,
};
use geraniumshed_core::job::{
    AdvicePolicy, JobId, JobPhase, JobRequest, QueueName, QueuePolicy, StepRequest, StoredJob,
    TaskKey, WorkerId,
};
use geraniumshed_core::worker::{
    EndKind, FenceToken, RenewReply, RenewRequest, SentRenewal, StartOrder, StartReply,
    WorkerFailure, WorkerIncarnation, WorkerListing, WorkerTime,
};
use geraniumshed_model::prelude::{ResourceSize, TimePoint};
use smol_str::SmolStr;

use crate::adviser::{ADVISED_QUEUE, DECISION_TIME, SimulatedAdviser, WORKER_TIME, is_valid};
use crate::builders::size;
use crate::simulation::{SimulatedRun, SimulatedWorker, TAIL_STEPS, Workload};

/// The length of a time step.
pub const STEP: Duration = Duration::from_millis(10);
/// The delay until a change of speed takes effect.
const PACE_DELAY: Duration = Duration::from_millis(100);
/// The system time at the start of a test, in milliseconds of Unix time.
const START_UNIX_MS: u64 = 1_700_000_000_000;
/// A queue of lower priority than the default queue.
pub const BACKGROUND_QUEUE: &str = "background";
/// The fencing token of the first planner.
pub const FIRST_TOKEN: FenceToken = FenceToken(1 << 24);

/// The start of a run on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ObservedStart {
    pub task: TaskKey,
    pub run: u32,
    pub worker: WorkerId,
    pub at: TimePoint,
}

/// A planner with simulated workers and a simulated store.
pub struct Cluster {
    pub planner: JobPlanner,
    settings: PlannerSettings,
    /// The number of planners so far.
    planner_count: u64,
    pub workers: BTreeMap<WorkerId, SimulatedWorker>,
    pub now: TimePoint,
    pub starts: Vec<ObservedStart>,
    /// The runs whose ends the planner acknowledged to the worker.
    pub acknowledged: BTreeSet<(TaskKey, u32)>,
    /// The acknowledged runs that ended with success.
    pub acknowledged_done: BTreeSet<(TaskKey, u32)>,
    /// Whether the store accepts batches.
    pub is_store_up: bool,
    pub stored: BTreeMap<JobId, StoredJob>,
    pub requests: BTreeMap<JobId, JobRequest>,
    pub interference: InterferenceSnapshot,
    /// The stored leases, which only the next planner may use.
    pub leases: Option<LeaseSnapshot>,
    /// The waits of long-running tasks and the runs without progress.
    pub waits: WaitSnapshot,
    /// The pressure per processor that a best-effort image (second) adds to an image with a latency
    /// target (first).
    pub pressures: BTreeMap<(SmolStr, SmolStr), f64>,
    /// The number of reported tail latencies, and of those above their targets.
    pub tail_counts: (usize, usize),
    /// The tasks of which two runs were active at the same time on workers that are up.
    pub duplicated: Vec<TaskKey>,
    /// The newest speed of each task whose speed was changed, in percent.
    pub paces: BTreeMap<TaskKey, u32>,
    pub adviser: SimulatedAdviser,
    /// The number of orders to stop a run.
    pub stop_order_count: usize,
    /// The number of renewals that workers received.
    pub renewal_count: usize,
    /// The time after its start from which on a long-running task is at work.
    pub startup: Duration,
    /// The events that the planner emitted.
    pub events: Vec<PlannerEvent>,
    /// The changes of speed that haven't taken effect yet.
    pending_paces: VecDeque<(TimePoint, TaskKey, u32)>,
    /// The renewals that workers hold back, with the times of their replies.
    held_renewals: Vec<(TimePoint, WorkerId, SentRenewal)>,
    unstored_batches: Vec<(u64, Vec<StoreChange>)>,
    run_length: fn(&StepRequest) -> Duration,
}

impl Cluster {
    /// Creates a cluster of equal workers, with four workers per rack.
    pub fn with_workers(count: usize) -> Self {
        Self::with_settings(count, PlannerSettings::default())
    }

    /// Creates a cluster like [`Self::with_workers`], whose planners have the given settings.
    pub fn with_settings(count: usize, settings: PlannerSettings) -> Self {
        let mut cluster = Self {
            planner: new_planner(&settings, FIRST_TOKEN),
            settings,
            planner_count: 1,
            workers: BTreeMap::new(),
            now: TimePoint(1_000_000),
            starts: Vec::new(),
            acknowledged: BTreeSet::new(),
            acknowledged_done: BTreeSet::new(),
            is_store_up: true,
            stored: BTreeMap::new(),
            requests: BTreeMap::new(),
            interference: InterferenceSnapshot::default(),
            leases: None,
            waits: WaitSnapshot::default(),
            pressures: BTreeMap::new(),
            tail_counts: (0, 0),
            duplicated: Vec::new(),
            paces: BTreeMap::new(),
            adviser: SimulatedAdviser::default(),
            stop_order_count: 0,
            renewal_count: 0,
            startup: Duration::ZERO,
            events: Vec::new(),
            pending_paces: VecDeque::new(),
            held_renewals: Vec::new(),
            unstored_batches: Vec::new(),
            run_length: |step| step.estimate,
        };
        for number in 0..count {
            let listing = listing(number);
            cluster
                .workers
                .insert(listing.id.clone(), SimulatedWorker::new(listing));
        }
        let now = cluster.planner_time();
        cluster.planner.restore_leases(now, now.point, None);
        cluster.replace_workers();
        cluster.advance(Duration::from_millis(100));
        cluster
    }

    pub fn planner_time(&self) -> PlannerTime {
        PlannerTime {
            point: self.now,
            unix_ms: START_UNIX_MS + self.now.0 / 1000,
        }
    }

    /// Passes the registrations of all workers to the planner.
    pub fn replace_workers(&mut self) {
        let listings = self.workers.values().map(|one| one.listing.clone());
        let listings = listings.collect();
        self.planner.replace_workers(self.planner_time(), listings);
    }

    /// Adds a worker and registers it.
    pub fn add_worker(&mut self, number: usize, capacity: ResourceSize) -> WorkerId {
        let listing = WorkerListing {
            capacity,
            ..listing(number)
        };
        let id = listing.id.clone();
        self.workers
            .insert(id.clone(), SimulatedWorker::new(listing));
        self.replace_workers();
        id
    }

    /// Removes a worker with all its runs, as if its process had exited.
    pub fn remove_worker(&mut self, worker: &WorkerId) {
        self.workers.remove(worker);
        self.replace_workers();
    }

    /// Submits a job to the default queue.
    pub fn submit(&mut self, number: u64, steps: Vec<StepRequest>) -> JobId {
        self.submit_to("q", number, steps)
    }

    /// Submits a job to a queue.
    pub fn submit_to(&mut self, queue: &str, number: u64, steps: Vec<StepRequest>) -> JobId {
        let id = JobId(number);
        let request = JobRequest {
            queue: QueueName::from(queue),
            payload: "p".into(),
            steps,
            repeat: None,
            submitted_unix_ms: self.planner_time().unix_ms,
        };
        self.requests.insert(id, request.clone());
        self.planner.submit(id, request);
        id
    }

    /// Makes the planner hand over to a successor, which leads after a delay.
    pub fn hand_over(&mut self, delay: Duration) {
        self.planner.hand_over(self.planner_time());
        self.carry_out_actions();
        if let Some(batch) = self.planner.take_final_batch(self.planner_time()) {
            self.unstored_batches.push((batch.number, batch.changes));
            self.store_batches();
        }
        let requested_at = self.now;
        self.advance_without_planner(delay);
        self.replace_planner_after(requested_at);
        self.replace_workers();
    }

    /// Replaces the planner by a successor that knows only the stored state and the registered
    /// workers.
    pub fn replace_planner(&mut self) {
        self.replace_planner_before_listing();
        self.replace_workers();
    }

    /// Replaces the planner by a successor that hasn't read the registrations of workers yet.
    pub fn replace_planner_before_listing(&mut self) {
        self.replace_planner_after(self.now);
    }

    /// Replaces the planner by a successor that counts stored leases from the given time.
    fn replace_planner_after(&mut self, stored_at: TimePoint) {
        self.planner_count += 1;
        self.planner = new_planner(
            &self.settings,
            FenceToken(FIRST_TOKEN.0 * self.planner_count),
        );
        self.planner.restore_interference(self.interference.clone());
        self.unstored_batches.clear();
        self.held_renewals.clear();
        let now = self.planner_time();
        self.planner
            .restore_leases(now, stored_at, self.leases.take());
        for (id, request) in &self.requests {
            match self.stored.get(id) {
                Some(image) => {
                    let (request, image) = (request.clone(), image.clone());
                    self.planner.restore(now, *id, request, image);
                }
                None => self.planner.submit(*id, request.clone()),
            }
        }
        self.planner.restore_waits(now, self.waits.clone());
        let withdrawn = self.stored.iter();
        for (id, image) in withdrawn.filter(|(id, _)| !self.requests.contains_key(id)) {
            self.planner.restore_withdrawn(*id, image.ended_unix_ms);
        }
    }

    /// Advances the time.
    pub fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            self.run_workers();
            self.answer_held_renewals();
            self.apply_pressure();
            self.advise();
            self.planner.request_placement();
            self.planner.advance(self.planner_time());
            self.store();
            self.carry_out_actions();
        }
    }

    /// Advances the time while no planner is active.
    pub fn advance_without_planner(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            self.run_workers();
        }
    }

    pub fn carry_out_actions(&mut self) {
        for action in self.planner.take_actions() {
            self.carry_out(action);
        }
    }

    pub fn phase(&self, id: JobId) -> Option<JobPhase> {
        match self.planner.status(id) {
            JobStatus::Unknown => None,
            JobStatus::Known(phase) => Some(phase),
        }
    }

    /// Returns the starts of a task.
    pub fn starts_of(&self, task: TaskKey) -> Vec<&ObservedStart> {
        let starts = self.starts.iter();
        starts.filter(|start| start.task == task).collect()
    }

    /// Returns the tasks that were started again after the successful end of a run was
    /// acknowledged.
    pub fn restarted_after_end(&self) -> Vec<TaskKey> {
        let restarted = self.acknowledged_done.iter().filter(|(task, run)| {
            let starts = self.starts_of(*task);
            starts.iter().any(|start| start.run > *run)
        });
        restarted.map(|(task, _)| *task).collect()
    }

    /// Returns the tasks that run on several workers, also on such that don't reply.
    pub fn tasks_running_twice(&self) -> Vec<TaskKey> {
        let mut seen = BTreeSet::new();
        let running = self.workers.values().flat_map(|worker| worker.runs.keys());
        running
            .filter(|task| !seen.insert(**task))
            .copied()
            .collect()
    }

    pub fn running_on(&self, worker: &WorkerId) -> usize {
        self.workers[worker].runs.len()
    }

    fn store(&mut self) {
        if let Some(batch) = self.planner.take_batch(self.planner_time()) {
            self.unstored_batches.push((batch.number, batch.changes));
        }
        self.store_batches();
    }

    /// Stores the batches that were taken, if the store is up.
    fn store_batches(&mut self) {
        if !self.is_store_up {
            return;
        }
        for (number, changes) in std::mem::take(&mut self.unstored_batches) {
            for change in changes {
                match change {
                    StoreChange::Progress(id, stored) => {
                        self.stored.insert(id, stored);
                    }
                    StoreChange::Interference(snapshot) => self.interference = snapshot,
                    StoreChange::Leases(snapshot) => self.leases = Some(snapshot),
                    StoreChange::Waits(snapshot) => self.waits = snapshot,
                    StoreChange::Forget(id) => {
                        self.stored.remove(&id);
                        self.requests.remove(&id);
                    }
                }
            }
            self.planner.batch_stored(self.planner_time(), number);
        }
    }

    fn carry_out(&mut self, action: PlannerAction) {
        match action {
            PlannerAction::Start(call) => {
                let reply = self.start(&call.worker, call.token, &call.body);
                let (task, run) = (call.body.task, call.body.run);
                let now = self.planner_time();
                self.planner
                    .start_answered(now, &call.worker, task, run, reply);
            }
            PlannerAction::Stop(call) => {
                self.stop_order_count += 1;
                let Some(worker) = self.workers.get_mut(&call.worker) else {
                    return;
                };
                if !worker.fault.is_silent && call.token >= worker.token {
                    worker.stop(call.body.task, call.body.run, self.now);
                }
            }
            PlannerAction::Renew(call, sent) => self.renew(&call.worker, sent, &call.body),
            PlannerAction::Pace(call) => {
                let due = self.now + PACE_DELAY;
                let (task, percent) = (call.body.task, call.body.percent);
                self.pending_paces.push_back((due, task, percent));
            }
            PlannerAction::Advise(request) => self.adviser.call(request, self.now),
            PlannerAction::Event(event) => self.events.push(event),
        }
    }

    fn start(
        &mut self,
        id: &WorkerId,
        token: FenceToken,
        order: &StartOrder,
    ) -> Result<StartReply, WorkerFailure> {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(id) else {
            return Err(WorkerFailure::NotSent);
        };
        if worker.fault.is_silent {
            return Err(WorkerFailure::Unanswered);
        }
        if let Some(delay) = worker.fault.start_delay {
            worker.delayed.push((now + delay, token, order.clone()));
            return Err(WorkerFailure::Unanswered);
        }
        let loses_replies = worker.fault.loses_replies;
        let reply = self.begin(id, token, order);
        if loses_replies {
            return Err(WorkerFailure::Unanswered);
        }
        Ok(reply)
    }

    fn begin(&mut self, id: &WorkerId, token: FenceToken, order: &StartOrder) -> StartReply {
        let now = self.now;
        let step = &self.requests[&order.task.job].steps[order.task.step as usize];
        let length = (self.run_length)(step);
        let is_duplicate = self.workers.iter().any(|(other, worker)| {
            other != id && !worker.fault.is_silent && worker.runs.contains_key(&order.task)
        });
        let Some(worker) = self.workers.get_mut(id) else {
            return StartReply::Rejected;
        };
        if token < worker.token {
            return StartReply::Fenced;
        }
        if order.deadline.0 < worker.clock(now).0 / 1000 {
            return StartReply::Late;
        }
        let is_advised = self.requests[&order.task.job].queue == QueueName::from(ADVISED_QUEUE);
        if is_advised && !is_valid(order.ticket.as_ref(), id, now) {
            self.adviser.refused_starts += 1;
            return StartReply::NoTicket;
        }
        worker.token = token;
        worker.extend_lease(order.deadline, now, self.settings.longest_lease);
        let run = SimulatedRun {
            run: order.run,
            started_at: now,
            length,
            pressures: VecDeque::new(),
        };
        self.paces.remove(&order.task);
        worker.runs.insert(order.task, run);
        if is_duplicate {
            self.duplicated.push(order.task);
        }
        self.starts.push(ObservedStart {
            task: order.task,
            run: order.run,
            worker: id.clone(),
            at: now,
        });
        StartReply::Started
    }

    fn renew(&mut self, id: &WorkerId, sent: SentRenewal, request: &RenewRequest) {
        let now = self.planner_time();
        let Some(worker) = self.workers.get_mut(id) else {
            self.planner.renewal_failed(now, id, sent, false);
            return;
        };
        if worker.fault.is_silent || sent.token < worker.token {
            self.planner.renewal_failed(now, id, sent, false);
            return;
        }
        worker.token = sent.token;
        self.renewal_count += 1;
        if let Some(deadline) = request.deadline {
            worker.extend_lease(deadline, self.now, self.settings.longest_lease);
        }
        let seen = request.last_stored_end;
        for end in worker.ended.iter().filter(|end| end.number <= seen) {
            self.acknowledged.insert((end.task, end.run));
            if end.kind == EndKind::Done {
                self.acknowledged_done.insert((end.task, end.run));
            }
        }
        worker.ended.retain(|end| end.number > seen);
        if worker.fault.holds_renewals && !request.wait.is_zero() {
            let due = self.now + request.wait;
            self.held_renewals.push((due, id.clone(), sent));
            return;
        }
        self.answer_renewal(id, sent);
    }

    /// Replies to the renewals that were held back for long enough.
    fn answer_held_renewals(&mut self) {
        let now = self.now;
        let (due, held): (Vec<_>, Vec<_>) = std::mem::take(&mut self.held_renewals)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.held_renewals = held;
        for (_, id, sent) in due {
            self.answer_renewal(&id, sent);
        }
    }

    fn answer_renewal(&mut self, id: &WorkerId, sent: SentRenewal) {
        let now = self.planner_time();
        let Some(worker) = self.workers.get(id) else {
            self.planner.renewal_failed(now, id, sent, false);
            return;
        };
        if worker.fault.is_silent || worker.fault.loses_replies {
            self.planner.renewal_failed(now, id, sent, false);
            return;
        }
        let workload = Workload {
            requests: &self.requests,
            pressures: &self.pressures,
            paces: &self.paces,
            startup: self.startup,
        };
        let running = workload.reports(worker, self.now);
        let (all, high) = workload.tail_counts(&running);
        self.tail_counts.0 += all;
        self.tail_counts.1 += high;
        let reply = RenewReply {
            clock: WorkerTime(worker.clock(self.now).0 / 1000),
            incarnation: Some(worker.incarnation),
            running,
            ended: worker.ended.clone(),
        };
        self.planner.renewal_answered(now, id, sent, reply);
    }

    /// Replies to the calls for advice that are due.
    fn advise(&mut self) {
        let now = self.planner_time();
        while let Some((_, request)) = self
            .adviser
            .calls
            .pop_front_if(|(due, _)| *due <= now.point)
        {
            let reply = self.adviser.reply(&request, now.point);
            self.planner.advice_answered(now, &request, Some(reply));
        }
    }

    /// Applies the interference between the runs on each worker for a time step.
    fn apply_pressure(&mut self) {
        while let Some((_, task, percent)) = self
            .pending_paces
            .pop_front_if(|(due, ..)| *due <= self.now)
        {
            self.paces.insert(task, percent);
        }
        if self.pressures.is_empty() {
            return;
        }
        let workload = Workload {
            requests: &self.requests,
            pressures: &self.pressures,
            paces: &self.paces,
            startup: self.startup,
        };
        for worker in self.workers.values_mut() {
            for (task, pressure) in workload.pressures(worker, self.now) {
                if let Some(run) = worker.runs.get_mut(&task) {
                    run.pressures.push_back(pressure);
                    if run.pressures.len() > TAIL_STEPS {
                        run.pressures.pop_front();
                    }
                }
            }
        }
    }

    /// Ends runs that are due or whose lease has expired, and carries out delayed starts.
    fn run_workers(&mut self) {
        let now = self.now;
        let mut delayed = Vec::new();
        for (id, worker) in &mut self.workers {
            worker.end_stopped(now);
            let due: Vec<TaskKey> = worker
                .runs
                .iter()
                .filter(|(_, run)| !worker.fault.stalls && run.started_at + run.length <= now)
                .map(|(task, _)| *task)
                .collect();
            for task in due {
                let is_long_running_task =
                    self.requests[&task.job].steps[task.step as usize].is_long_running;
                match (worker.fault.fails, is_long_running_task) {
                    (true, _) => worker.end(task, EndKind::Failed),
                    (false, true) => {}
                    (false, false) => worker.end(task, EndKind::Done),
                }
            }
            if worker.deadline < worker.clock(now) {
                for task in worker.runs.keys().copied().collect::<Vec<_>>() {
                    worker.end(task, EndKind::Lapsed);
                }
            }
            let (due, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut worker.delayed)
                .into_iter()
                .partition(|(at, ..)| *at <= now);
            worker.delayed = waiting;
            delayed.extend(
                due.into_iter()
                    .map(|(_, token, order)| (id.clone(), token, order)),
            );
        }
        for (id, token, order) in delayed {
            self.begin(&id, token, &order);
        }
    }
}

fn new_planner(settings: &PlannerSettings, token: FenceToken) -> JobPlanner {
    let mut planner = JobPlanner::new(settings.clone(), token);
    let policy = QueuePolicy {
        service: "s".into(),
        priority: 0,
        attempt_limit: 3,
        stretch: 2.0,
        latency_objective: Duration::from_millis(500),
        advice: None,
    };
    let advised = QueuePolicy {
        advice: Some(AdvicePolicy {
            decision_time: DECISION_TIME,
            worker_time: WORKER_TIME,
        }),
        ..policy.clone()
    };
    let background = QueuePolicy {
        priority: 1,
        ..policy.clone()
    };
    let queues = [
        (QueueName::from("q"), policy),
        (QueueName::from(BACKGROUND_QUEUE), background),
        (QueueName::from(ADVISED_QUEUE), advised),
    ];
    planner.replace_queues(queues.into());
    planner
}

fn listing(number: usize) -> WorkerListing {
    WorkerListing {
        id: WorkerId(format!("w{number:02}").into()),
        service: "s".into(),
        address: format!("10.0.0.{}:80", number + 1).parse().unwrap(),
        zone: "z".into(),
        incarnation: Some(WorkerIncarnation(1)),
        capacity: size(32_000, 128),
        labels: vec!["a".into(), format!("r{}", number / 4).into()],
        rack: Some(format!("r{}", number / 4).into()),
        is_draining: false,
    }
}
