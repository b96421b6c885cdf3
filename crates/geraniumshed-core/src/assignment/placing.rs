//! The order in which tasks get workers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use geraniumshed_model::prelude::{TimePoint, whole_millis};
use smol_str::SmolStr;

use super::action::{PlannerAction, PlannerMoment};
use super::ledger::GatedStart;
use super::pacing::FULL_PERCENT;
use super::pass::PlacementPass;
use super::placement::{PlacementQuery, StepPermission, idle_processors};
use super::planner::JobPlanner;
use crate::job::{
    JobEntry, JobId, JobPhase, Occurrence, QueuePolicy, ServiceName, StepRequest, TaskEntry,
    TaskKey, TaskPhase, WorkerId,
};
use crate::worker::{RunEntry, RunPhase, StartOrder, WorkerCall, WorkerEntry};

/// The age up to which a job waits for workers that its image doesn't disturb, in milliseconds.
const PATIENCE_MS: u64 = 45_000;
/// The same while most of the workers' room is free.
const IDLE_PATIENCE_MS: u64 = 8_000;

/// The speed that a best-effort run has to find at the least while its job can still be in time.
const LEAST_SPEED: f64 = 0.3;

/// The distance between the workers at which the search for two tasks of a step begins.
const FIRST_STRIDE: u64 = 37;
/// The speed that a run has to find elsewhere to be moved there.
const MOVE_SPEED: f64 = 0.8;

/// The place of a step among all steps whose turn has come; the smallest goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct StepRank {
    priority: u32,
    /// Whether the job can't meet its objective any more.
    is_late: bool,
    /// When the step has to start for the job to be in time, in milliseconds of Unix time.
    latest_start_unix_ms: u64,
}

/// A step with tasks that may start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ReadyStep {
    rank: StepRank,
    job: JobId,
    occurrence: u32,
    step: u32,
}

impl JobPlanner {
    /// Gives workers to all tasks that can start now.
    pub(super) fn place_tasks(&mut self, now: PlannerMoment) {
        let mut steps = self.ready_steps(now);
        steps.sort_unstable();
        let mut pass = PlacementPass::default();
        for step in steps {
            self.place_step(now, step, &mut pass);
        }
    }

    fn ready_steps(&self, now: PlannerMoment) -> Vec<ReadyStep> {
        let mut steps = Vec::new();
        for id in &self.open_jobs {
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            let Some(policy) = self.queues.policy(&job.request.queue) else {
                continue;
            };
            for occurrence in &job.occurrences {
                let ready = ready_indices(job, occurrence, now.point);
                steps.extend(ready.map(|step| ReadyStep {
                    rank: step_rank(job, policy, occurrence.number, step, now.unix_ms),
                    job: *id,
                    occurrence: occurrence.number,
                    step,
                }));
            }
        }
        steps
    }

    fn place_step(&mut self, now: PlannerMoment, ready: ReadyStep, pass: &mut PlacementPass) {
        let Some(job) = self.jobs.get(&ready.job) else {
            return;
        };
        let Some(policy) = self.queues.policy(&job.request.queue) else {
            return;
        };
        let policy = policy.clone();
        let service = policy.service.clone();
        let request = Arc::clone(&job.request);
        let Some(step) = request.steps.get(ready.step as usize) else {
            return;
        };
        let keys = startable_keys(job, ready, now.point);
        let least_speed = self.least_speed(now, job, &policy, ready, pass);
        if step.is_gang {
            if !self.place_gang(now, &service, step, &keys, least_speed) {
                self.seek_permission(now.point, &policy, step, &keys);
            }
            return;
        }
        // What other steps are advised says nothing of this one.
        let has_failed = policy.advice.is_none() && pass.has_failed(&service, step, least_speed);
        let mut rack = self.step_rack(step, ready);
        for (place, key) in keys.iter().copied().enumerate() {
            if has_failed && !self.has_history(key) {
                continue;
            }
            let rack_name = rack.as_ref();
            let chosen = self.choose_worker(now.point, &service, step, key, rack_name, least_speed);
            let Some(worker) = chosen else {
                // All tasks of a step ask for the same; those with a history may fit elsewhere.
                if self.has_history(key) {
                    continue;
                }
                if policy.advice.is_none() {
                    pass.query_failed(&service, step, least_speed);
                }
                self.seek_permission(now.point, &policy, step, &keys[place..]);
                break;
            };
            self.place_task(now.point, step, key, &worker);
            rack = rack.or_else(|| self.step_rack(step, ready));
        }
    }

    /// Tells whether another worker would let a run work faster than the one that it is on.
    pub(super) fn has_better_place(
        &self,
        now: TimePoint,
        key: TaskKey,
        current: &WorkerId,
    ) -> bool {
        let Some(job) = self.jobs.get(&key.job) else {
            return false;
        };
        let policy = self.queues.policy(&job.request.queue);
        let step = job.request.steps.get(key.step as usize);
        let (Some(policy), Some(step)) = (policy, step) else {
            return false;
        };
        if step.is_gang {
            return false;
        }
        let chosen = self.choose_worker(now, &policy.service, step, key, None, MOVE_SPEED);
        chosen.is_some_and(|worker| worker != *current)
    }

    pub(super) fn choose_worker(
        &self,
        now: TimePoint,
        service: &ServiceName,
        step: &StepRequest,
        key: TaskKey,
        rack: Option<&SmolStr>,
        least_speed: f64,
    ) -> Option<WorkerId> {
        let job = self.jobs.get(&key.job)?;
        let task = job.task(key)?;
        let query = PlacementQuery {
            service,
            step,
            task: key,
            avoided: &task.avoided,
            rack,
            interference: &self.interference,
            pressures: self.pressures_of(step),
            advice: self.permission(job, key.into()),
            least_speed,
            now,
        };
        let chosen = query.choose(self.workers_from(key));
        if chosen.is_some() || task.avoided.is_empty() {
            return chosen;
        }
        let query = PlacementQuery {
            avoided: &[],
            ..query
        };
        query.choose(self.workers_from(key))
    }

    /// Returns all workers, beginning at a place that differs between tasks.
    fn workers_from(&self, key: TaskKey) -> impl Iterator<Item = &WorkerEntry> {
        let count = self.workers.len().max(1);
        let first = (u64::from(key.index) * FIRST_STRIDE).wrapping_add(key.job.0);
        let first = usize::try_from(first % count as u64).unwrap_or_default();
        let workers = self.workers.values();
        workers.clone().skip(first).chain(workers.take(first))
    }

    /// Returns the pressure that a task of a step adds to each served image.
    fn pressures_of(&self, step: &StepRequest) -> BTreeMap<SmolStr, f64> {
        if !step.is_best_effort {
            return BTreeMap::new();
        }
        let image = step.image.clone().unwrap_or_default();
        let processors = f64::from(step.size.processors.0) / 1000.0;
        self.interference.pressures(&image, processors)
    }

    /// Asks where tasks may run that found no worker, if their queue's policy has a say.
    fn seek_permission(
        &mut self,
        now: TimePoint,
        policy: &QueuePolicy,
        step: &StepRequest,
        keys: &[TaskKey],
    ) {
        let (Some(advice), Some(key)) = (policy.advice, keys.first()) else {
            return;
        };
        let query = PlacementQuery {
            service: &policy.service,
            step,
            task: *key,
            avoided: &[],
            rack: None,
            interference: &self.interference,
            pressures: self.pressures_of(step),
            advice: StepPermission::Anywhere,
            least_speed: 0.0,
            now,
        };
        let workers = query.ranked(self.workers.values());
        self.ask_for_advice(now, advice, (*key).into(), workers, keys.len());
    }

    /// Returns the speed that a best-effort run has to find, so that it doesn't disturb others.
    ///
    /// The more of its slack a job has lost, the less it asks for; in the end it takes any worker.
    fn least_speed(
        &self,
        now: PlannerMoment,
        job: &JobEntry,
        policy: &QueuePolicy,
        ready: ReadyStep,
        pass: &mut PlacementPass,
    ) -> f64 {
        if !is_best_effort(job, ready) {
            return 0.0;
        }
        let service = &policy.service;
        let is_idle = pass.is_mostly_idle(service, || self.is_mostly_idle(service));
        let patience_ms = if is_idle {
            IDLE_PATIENCE_MS
        } else {
            PATIENCE_MS
        };
        if now.unix_ms >= job.request.submitted_unix_ms + patience_ms {
            return 0.0;
        }
        let slack = allowed_time(job, policy).saturating_sub(job.longest_chain());
        let latest_start = ready.rank.latest_start_unix_ms;
        let left = Duration::from_millis(latest_start.saturating_sub(now.unix_ms));
        let part = (left.as_secs_f64() / slack.as_secs_f64().max(f64::EPSILON)).min(1.0);
        LEAST_SPEED + (1.0 - LEAST_SPEED) * part
    }

    /// Tells whether under half of the processors of a service's workers are in use.
    fn is_mostly_idle(&self, service: &ServiceName) -> bool {
        let workers = self.workers.values();
        let own = workers.filter(|one| one.is_listed && one.listing.service == *service);
        let (idle, capacity) = own.fold((0.0, 0.0), |(idle, capacity), one| {
            let room = f64::from(one.listing.capacity.processors.0);
            (idle + idle_processors(one), capacity + room)
        });
        idle * 2.0 > capacity
    }

    fn has_history(&self, key: TaskKey) -> bool {
        let task = self.jobs.get(&key.job).and_then(|job| job.task(key));
        task.is_some_and(|task| !task.avoided.is_empty())
    }

    /// Returns the rack in which a step that wants a single one has begun.
    fn step_rack(&self, step: &StepRequest, ready: ReadyStep) -> Option<SmolStr> {
        if !step.wants_one_rack {
            return None;
        }
        let job = self.jobs.get(&ready.job)?;
        let tasks = job
            .occurrence(ready.occurrence)?
            .steps
            .get(ready.step as usize)?;
        tasks.iter().find_map(|task| match &task.phase {
            TaskPhase::Placed(worker) => self.workers.get(worker)?.listing.rack.clone(),
            TaskPhase::Waiting | TaskPhase::Done => None,
        })
    }

    fn place_task(&mut self, now: TimePoint, step: &StepRequest, key: TaskKey, worker: &WorkerId) {
        let task = self.jobs.get(&key.job).and_then(|job| job.task(key));
        let run = task.map_or(1, |task| task.run + 1);
        self.reserve(now, step, key, worker, run);
        self.commit_placement(key, worker, run);
    }

    /// Reserves room for a run.
    pub(super) fn reserve(
        &mut self,
        now: TimePoint,
        step: &StepRequest,
        key: TaskKey,
        worker: &WorkerId,
        run: u32,
    ) {
        if let Some(entry) = self.workers.get_mut(worker) {
            entry.add_run(key, run_entry(step, run, RunPhase::Storing, now));
        }
    }

    /// Records a placement, whose order goes out once it is stored.
    pub(super) fn commit_placement(&mut self, key: TaskKey, worker: &WorkerId, run: u32) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        if job.phase == JobPhase::Queued {
            job.phase = JobPhase::Running;
        }
        if let Some(task) = job.task_mut(key) {
            task.run = run;
            task.phase = TaskPhase::Placed(worker.clone());
        }
        self.ledger.change(key.job);
        self.ledger.gate_start(GatedStart {
            worker: worker.clone(),
            task: key,
            run,
        });
    }

    /// Sends the order for a placement that is stored.
    pub(super) fn send_start(&mut self, now: PlannerMoment, start: GatedStart) {
        let Some(job) = self.jobs.get(&start.task.job) else {
            return;
        };
        let is_final = job.phase.is_final();
        let needs_ticket = !matches!(
            self.permission(job, start.task.into()),
            StepPermission::Anywhere
        );
        let Some(worker) = self.workers.get_mut(&start.worker) else {
            return;
        };
        let advice = self.advice.step(start.task.into());
        let ticket = advice.and_then(|advice| advice.ticket(&start.worker, worker.life, now.point));
        let ticket = ticket.cloned();
        let deadline = worker.extend_lease(now.point, self.settings.lease);
        let Some(run) = worker.runs.get_mut(&start.task) else {
            return;
        };
        if run.run != start.run || run.phase != RunPhase::Storing {
            return;
        }
        // Nothing was sent yet, so that nothing has to be stopped.
        let (false, false, Some(deadline)) = (run.is_stopping(), is_final, deadline) else {
            self.drop_run(now, &start.worker, start.task, start.run, "not wanted");
            return;
        };
        if needs_ticket && ticket.is_none() {
            self.drop_run(now, &start.worker, start.task, start.run, "ticket ran out");
            return;
        }
        run.phase = RunPhase::Ordered(worker.token);
        let order = StartOrder {
            task: start.task,
            run: start.run,
            payload: job.request.payload.clone(),
            deadline,
            checkpoint: job
                .task(start.task)
                .and_then(|task| task.checkpoint.clone()),
            ticket,
        };
        self.actions.push(PlannerAction::Start(WorkerCall {
            worker: start.worker,
            address: worker.listing.address,
            token: worker.token,
            body: order,
        }));
    }
}

/// Describes a run of a step's task.
pub(super) fn run_entry(step: &StepRequest, run: u32, phase: RunPhase, now: TimePoint) -> RunEntry {
    RunEntry {
        run,
        phase,
        reserved: step.reserved_size(),
        processors: step.size.processors,
        image: step.image.clone(),
        is_best_effort: step.is_best_effort,
        latency_target: step.latency_target,
        tail_latency: Duration::ZERO,
        usual_pressure: None,
        usual_own_pressure: None,
        estimate: step.estimate,
        is_long_running: step.is_long_running,
        pace_percent: FULL_PERCENT,
        former_percent: FULL_PERCENT,
        paced_at: now,
        percent: 0,
        progressed_at: now,
        stop_sent_at: None,
    }
}

fn is_best_effort(job: &JobEntry, ready: ReadyStep) -> bool {
    let step = job.request.steps.get(ready.step as usize);
    step.is_some_and(|step| step.is_best_effort)
}

fn step_rank(
    job: &JobEntry,
    policy: &QueuePolicy,
    occurrence: u32,
    step: u32,
    now_unix_ms: u64,
) -> StepRank {
    let allowed = allowed_time(job, policy);
    let latest_start_unix_ms = job
        .due_unix_ms(occurrence)
        .saturating_add(whole_millis(allowed.saturating_sub(job.chain_from(step))));
    StepRank {
        priority: policy.priority,
        is_late: latest_start_unix_ms < now_unix_ms,
        latest_start_unix_ms,
    }
}

/// Returns the time that a job may take to be in time.
fn allowed_time(job: &JobEntry, policy: &QueuePolicy) -> Duration {
    job.longest_chain().mul_f64(policy.stretch.max(1.0)) + policy.latency_objective
}

/// Returns the steps of an occurrence that have tasks to start.
fn ready_indices<'a>(
    job: &'a JobEntry,
    occurrence: &'a Occurrence,
    now: TimePoint,
) -> impl Iterator<Item = u32> + 'a {
    (0u32..)
        .zip(job.request.steps.iter().zip(&occurrence.steps))
        .filter(move |(_, (step, tasks))| {
            tasks.iter().any(|task| task.is_startable(now)) && occurrence.is_step_due(step)
        })
        .map(|(index, _)| index)
}

fn startable_keys(job: &JobEntry, ready: ReadyStep, now: TimePoint) -> Vec<TaskKey> {
    let tasks = job
        .occurrence(ready.occurrence)
        .and_then(|one| one.steps.get(ready.step as usize));
    let is_ready = |(_, task): &(u32, &TaskEntry)| task.is_startable(now);
    (0u32..)
        .zip(tasks.into_iter().flatten())
        .filter(is_ready)
        .map(|(index, _)| TaskKey {
            job: ready.job,
            occurrence: ready.occurrence,
            step: ready.step,
            index,
        })
        .collect()
}
