//! The order in which tasks get workers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;
use smol_str::SmolStr;

use super::action::PlannerMoment;
use super::gang::GangOutcome;
use super::note::{PlacementNote, PlannerNote};
use super::pass::PlacementPass;
use super::placement::{PlacementQuery, StepPermission, idle_processors};
use super::planner::JobPlanner;
use super::rank::{ReadyStep, allowed_time, ready_indices, startable_keys, step_rank};
use crate::job::{JobEntry, QueuePolicy, ServiceName, StepRequest, TaskKey, TaskPhase, WorkerId};
use crate::worker::WorkerEntry;

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

/// A step whose turn has come, with the tasks that can start.
#[derive(Debug)]
pub(super) struct StartableStep<'a> {
    pub(super) ready: ReadyStep,
    pub(super) policy: &'a QueuePolicy,
    pub(super) step: &'a StepRequest,
    pub(super) keys: Vec<TaskKey>,
    /// The part of its speed that a best-effort task has to find.
    pub(super) least_speed: f64,
}

impl JobPlanner {
    /// Gives workers to all tasks that can start now.
    pub(super) fn place_tasks(&mut self, now: PlannerMoment) {
        self.release_held(now);
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
        let request = Arc::clone(&job.request);
        let Some(step) = request.steps.get(ready.step as usize) else {
            return;
        };
        let startable = StartableStep {
            ready,
            policy: &policy,
            step,
            keys: startable_keys(job, ready, now.point),
            least_speed: self.least_speed(now, job, &policy, ready, pass),
        };
        let placed = if step.is_gang {
            self.place_gang_step(now, &startable)
        } else {
            Some(self.place_single_tasks(now, &startable, pass))
        };
        if let Some(placed) = placed {
            self.note_placement(now, &startable, placed);
        }
    }

    /// Places all tasks of a gang or none, and returns how many, if all can start.
    fn place_gang_step(
        &mut self,
        now: PlannerMoment,
        startable: &StartableStep<'_>,
    ) -> Option<usize> {
        match self.place_gang(now, startable) {
            GangOutcome::Placed => Some(startable.keys.len()),
            GangOutcome::Incomplete => None,
            GangOutcome::NoRoom => {
                self.seek_permission(now.point, startable, 0);
                Some(0)
            }
        }
    }

    /// Places the tasks of a step one by one, and returns how many.
    fn place_single_tasks(
        &mut self,
        now: PlannerMoment,
        startable: &StartableStep<'_>,
        pass: &mut PlacementPass,
    ) -> usize {
        let StartableStep { policy, step, .. } = *startable;
        let least_speed = startable.least_speed;
        let service = &policy.service;
        // What other steps are advised says nothing of this one.
        let mut has_failed = policy.advice.is_none() && pass.has_failed(service, step, least_speed);
        let mut rack = self.step_rack(step, startable.ready);
        let mut placed = 0;
        for (place, key) in startable.keys.iter().copied().enumerate() {
            // All tasks of a step ask for the same; those with a history may fit elsewhere.
            let differs = self.has_history(key) || self.is_held(key);
            if has_failed && !differs {
                self.hold_worker(now, startable, key);
                continue;
            }
            let chosen = self.choose_worker(now.point, startable, key, rack.as_ref());
            if let Some(worker) = chosen {
                self.place_task(now.point, step, key, &worker);
                placed += 1;
                rack = rack.or_else(|| self.step_rack(step, startable.ready));
                continue;
            }
            self.hold_worker(now, startable, key);
            if !differs {
                if policy.advice.is_none() {
                    pass.query_failed(service, step, least_speed);
                }
                self.seek_permission(now.point, startable, place);
                has_failed = true;
            }
        }
        placed
    }

    /// Tells what became of the tasks of a step that could start.
    fn note_placement(&mut self, now: PlannerMoment, startable: &StartableStep<'_>, placed: usize) {
        let ReadyStep {
            job: id,
            occurrence,
            step,
            rank,
        } = startable.ready;
        let waiting = startable.keys.len() - placed;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if placed > 0 {
            job.story.placed(now.unix_ms);
        }
        let begins_to_wait = if waiting > 0 {
            job.story.waits(occurrence, step, now.unix_ms)
        } else {
            job.story.waits_no_more(occurrence, step);
            false
        };
        let age_ms = now.unix_ms.saturating_sub(job.request.submitted_unix_ms);
        let note = PlacementNote {
            job: id,
            occurrence,
            step,
            placed,
            waiting,
            age: Duration::from_millis(age_ms),
            slack_ms: rank.latest_start_unix_ms.cast_signed() - now.unix_ms.cast_signed(),
        };
        if placed > 0 {
            self.note(PlannerNote::StepPlaced(note));
        }
        if begins_to_wait && let Some(key) = startable.keys.last() {
            let query = self.query(now.point, startable, *key, None);
            let refusals = query.map(|query| query.refusals(self.workers.values()));
            self.note(PlannerNote::StepWaits(note, refusals.unwrap_or_default()));
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
        let startable = StartableStep {
            ready: ReadyStep::unranked(key),
            policy,
            step,
            keys: vec![key],
            least_speed: MOVE_SPEED,
        };
        let chosen = self.choose_worker(now, &startable, key, None);
        chosen.is_some_and(|worker| worker != *current)
    }

    pub(super) fn choose_worker(
        &self,
        now: TimePoint,
        startable: &StartableStep<'_>,
        key: TaskKey,
        rack: Option<&SmolStr>,
    ) -> Option<WorkerId> {
        let query = self.query(now, startable, key, rack)?;
        let chosen = query.choose(self.workers_from(key));
        if chosen.is_some() || query.avoided.is_empty() {
            return chosen;
        }
        let query = PlacementQuery {
            avoided: &[],
            ..query
        };
        query.choose(self.workers_from(key))
    }

    /// Describes what a task asks of its worker.
    pub(super) fn query<'a>(
        &'a self,
        now: TimePoint,
        startable: &StartableStep<'a>,
        key: TaskKey,
        rack: Option<&'a SmolStr>,
    ) -> Option<PlacementQuery<'a>> {
        let job = self.jobs.get(&key.job)?;
        let task = job.task(key)?;
        Some(PlacementQuery {
            service: &startable.policy.service,
            step: startable.step,
            task: key,
            avoided: &task.avoided,
            rack,
            interference: &self.interference,
            pressures: self.pressures_of(startable.step),
            advice: self.permission(job, key.into()),
            least_speed: startable.least_speed,
            now,
        })
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

    /// Asks where the tasks of a step from one on may run, which found no worker, if their queue's
    /// policy has a say.
    fn seek_permission(&mut self, now: TimePoint, startable: &StartableStep<'_>, first: usize) {
        let keys = &startable.keys[first..];
        let (Some(advice), Some(key)) = (startable.policy.advice, keys.first()) else {
            return;
        };
        let query = PlacementQuery {
            service: &startable.policy.service,
            step: startable.step,
            task: *key,
            avoided: &[],
            rack: None,
            interference: &self.interference,
            pressures: self.pressures_of(startable.step),
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
        let step = job.request.steps.get(ready.step as usize);
        if !step.is_some_and(|step| step.is_best_effort) {
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
}
