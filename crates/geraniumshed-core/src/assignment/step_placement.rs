//! Placement of the ready steps, in the order of their ranks.

use std::cell::OnceCell;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;
use smol_str::SmolStr;

use super::action::PlannerTime;
use super::event::{PlacementSummary, PlannerEvent};
use super::gang::GangOutcome;
use super::placement_pass::PlacementPass;
use super::placement_query::{PlacementQuery, StepPermission};
use super::planner::JobPlanner;
use super::rank::{ReadyStep, allowed_time, ready_indices, startable_keys, step_rank};
use crate::job::{JobEntry, QueuePolicy, StepRequest, TaskKey, TaskPhase, WorkerId};

/// The job age up to which best-effort tasks wait for a worker where they cause little
/// interference, in milliseconds.
const WAIT_LIMIT_MS: u64 = 45_000;
/// The same while most of the workers' capacity is idle, in milliseconds.
const IDLE_WAIT_LIMIT_MS: u64 = 8_000;

/// The least fraction of full speed that a best-effort run needs while its job is younger than the
/// wait limit.
const MIN_SPEED: f64 = 0.3;

/// The fraction of full speed that another worker has to offer for a run to be moved.
const MOVE_MIN_SPEED: f64 = 0.8;

/// A ready step with its startable tasks.
#[derive(Debug)]
pub(super) struct StartableStep<'a> {
    pub(super) ready: ReadyStep,
    pub(super) policy: &'a QueuePolicy,
    pub(super) step: &'a StepRequest,
    pub(super) keys: Vec<TaskKey>,
    /// The fraction of full speed that a best-effort task needs on its worker.
    pub(super) min_speed: f64,
    /// The pressure that a best-effort task adds to each served image, once a query needs it.
    pub(super) pressures: OnceCell<BTreeMap<SmolStr, f64>>,
}

/// How many tasks of a step were placed one by one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct SinglePlacements {
    /// The number of placed tasks.
    placed: usize,
    /// The number of tasks that wait for a place in their rack.
    near_waits: usize,
}

impl JobPlanner {
    /// Places all tasks that can start now and find a worker, and evacuates workers that are about
    /// to leave. What capacity remains may go to the long-running tasks in evacuated zones.
    ///
    /// Within a priority, evacuations go before waiting tasks, since the workers exit soon.
    pub(super) fn place_tasks(&mut self, now: PlannerTime) {
        self.sync_workers(now.point);
        self.sync_resting_workers(now.point);
        self.release_stale_holds(now);
        self.forget_locality_waits();
        self.work.passes += 1;
        self.update_backlog(now);
        let steps = self.ready_steps(now);
        self.work.ready_steps += steps.len() as u64;
        let mut steps = self.order_backlog(now, steps);
        steps.sort_unstable();
        let mut evacuations = self.due_evacuations(now);
        let leaving = self.services_of(evacuations.iter());
        let unstored = self.change_tracker.deferred_count();
        let mut pass = PlacementPass::with_starts(self.start_window.available(unstored));
        for step in steps {
            let priority = step.rank.priority;
            while let Some(due) = evacuations.pop_front_if(|due| due.step.rank.priority <= priority)
            {
                self.evacuate(now, &due, &mut pass);
            }
            self.sync_workers(now.point);
            self.place_step(now, step, &mut pass);
        }
        self.is_window_full = pass.is_exhausted();
        self.finish_backlog_pass(now.point);
        for due in evacuations {
            self.evacuate(now, &due, &mut pass);
        }
        self.move_from_evacuated_zones(now, &mut pass, &leaving);
        self.update_forecast(now, pass.has_no_starts_left());
    }

    /// Returns the steps with tasks that can start now, and forgets the jobs without tasks to place
    /// until one of their runs ends or an occurrence begins.
    fn ready_steps(&mut self, now: PlannerTime) -> Vec<ReadyStep> {
        let mut steps = Vec::new();
        self.work.examined_jobs += self.jobs_to_place.len() as u64;
        self.jobs_to_place.retain(|id| {
            let Some(job) = self.jobs.get_mut(id) else {
                return false;
            };
            // The queue may be part of a configuration that is yet to come.
            let Some(policy) = self.queues.policy(&job.request.queue) else {
                return true;
            };
            let known = steps.len();
            for occurrence in &job.occurrences {
                let ready = ready_indices(job, occurrence, now.point);
                steps.extend(ready.map(|step| ReadyStep {
                    rank: step_rank(
                        job,
                        policy,
                        occurrence.number,
                        step,
                        now.unix_ms,
                        &self.backlog,
                    ),
                    job: *id,
                    occurrence: occurrence.number,
                    step,
                    max_tasks: u32::MAX,
                }));
            }
            for ready in &steps[known..] {
                job.diagnostics
                    .record_ready(ready.occurrence, ready.step, now.unix_ms);
            }
            // Without a step that is ready, tasks may still wait for the end of a retry delay.
            steps.len() > known || job.has_tasks_to_place()
        });
        steps
    }

    fn place_step(&mut self, now: PlannerTime, ready: ReadyStep, pass: &mut PlacementPass) {
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
        if pass.is_stuck(ready.into()) {
            return;
        }
        let mut keys = startable_keys(job, ready, now.point);
        if !step.is_gang {
            keys.truncate(ready.max_tasks as usize);
            keys.truncate(pass.allow_starts(keys.len()));
        }
        if keys.is_empty() {
            return;
        }
        let mut startable = StartableStep {
            ready,
            policy: &policy,
            step,
            keys,
            min_speed: self.min_speed(now, job, &policy, ready, pass),
            pressures: OnceCell::new(),
        };
        let placed = if step.is_gang {
            self.place_gang_step(now, &startable)
        } else {
            let outcome = self.place_single_tasks(now, &startable, pass);
            // Tasks that wait for a near place don't lack capacity.
            let others = startable.keys.len() - outcome.near_waits;
            startable.keys.truncate(others);
            Some(outcome.placed)
        };
        let has_forecast = step.is_best_effort && startable.pressures.get().is_some();
        self.work.pressure_forecasts += u64::from(has_forecast);
        if let Some(placed) = placed {
            pass.use_starts(placed);
            if placed < startable.keys.len() {
                pass.record_waiting(ready);
                pass.record_stuck(ready.into());
            }
            self.observe_placement(now, &startable, placed);
            self.record_backlog(now, &startable, placed);
            // The last turn of a step reports its remaining tasks.
            let has_further_turn = startable.keys.len() == ready.max_tasks as usize;
            if !has_further_turn || placed < startable.keys.len() {
                self.report_placement(now, &startable, placed);
            }
        }
    }

    /// Places all tasks of a gang or none. Returns the number of placed tasks, or `None` if some
    /// tasks can't start yet.
    fn place_gang_step(
        &mut self,
        now: PlannerTime,
        startable: &StartableStep<'_>,
    ) -> Option<usize> {
        match self.place_gang(now, startable) {
            GangOutcome::Placed => Some(startable.keys.len()),
            GangOutcome::Incomplete | GangOutcome::Waits => None,
            GangOutcome::NoRoom => {
                self.request_permission(now.point, startable, 0);
                Some(0)
            }
        }
    }

    /// Places the tasks of a step one by one.
    fn place_single_tasks(
        &mut self,
        now: PlannerTime,
        startable: &StartableStep<'_>,
        pass: &mut PlacementPass,
    ) -> SinglePlacements {
        let StartableStep { policy, step, .. } = *startable;
        let min_speed = startable.min_speed;
        let service = &policy.service;
        // Advice is given per step, so a failed query of another step says nothing about this one.
        let mut has_failed = policy.advice.is_none() && pass.has_failed(service, step, min_speed);
        let mut search = self.open_search(now.point, startable);
        let mut outcome = SinglePlacements::default();
        for (position, key) in startable.keys.iter().copied().enumerate() {
            // All tasks of a step have the same requirements in the end, but for those that have a
            // worker held for them: workers to avoid are taken if there are no others.
            let has_held_worker = self.has_held_worker(key);
            if has_failed && !has_held_worker {
                self.try_hold_worker(now, startable, key);
                continue;
            }
            if !self.allows_trials(&[key]) {
                continue;
            }
            self.work.searches += 1;
            if let Some(worker) = self.find_worker(now.point, startable, key, &mut search) {
                if self.waits_for_rack(now, startable, key, &worker, pass) {
                    outcome.near_waits += 1;
                } else {
                    self.place_task(now.point, step, key, &worker);
                    outcome.placed += 1;
                }
                self.note_placed(now.point, startable, key, &mut search);
                continue;
            }
            self.try_hold_worker(now, startable, key);
            if !has_held_worker {
                if policy.advice.is_none() {
                    pass.record_failure(service, step, min_speed);
                    self.record_failed_search(now.point, startable, search.scope);
                }
                self.request_permission(now.point, startable, position);
                has_failed = true;
            }
        }
        if !has_failed {
            self.failed_searches.remove(&startable.ready.into());
        }
        outcome
    }

    /// Emits the events about the placement of a step's startable tasks.
    fn report_placement(&mut self, now: PlannerTime, startable: &StartableStep<'_>, placed: usize) {
        let ReadyStep {
            job: id,
            occurrence,
            step,
            rank,
            ..
        } = startable.ready;
        let waiting = startable.keys.len() - placed;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if placed > 0 {
            job.diagnostics.record_placement(now.unix_ms);
        }
        let is_newly_waiting = if waiting > 0 {
            job.diagnostics
                .record_waiting(occurrence, step, now.unix_ms)
        } else {
            job.diagnostics.clear_waiting(occurrence, step);
            false
        };
        let age_ms = now.unix_ms.saturating_sub(job.request.submitted_unix_ms);
        let ready_unix_ms = job.diagnostics.ready_since(occurrence, step);
        let ready_ms = now
            .unix_ms
            .saturating_sub(ready_unix_ms.unwrap_or(now.unix_ms));
        let summary = PlacementSummary {
            job: id,
            occurrence,
            step,
            placed,
            waiting,
            priority: rank.priority,
            class: rank.class,
            ready_for: Duration::from_millis(ready_ms),
            age: Duration::from_millis(age_ms),
            slack_ms: rank.latest_start_unix_ms.cast_signed() - now.unix_ms.cast_signed(),
        };
        if placed > 0 {
            self.emit(PlannerEvent::StepPlaced(summary));
        }
        if is_newly_waiting && let Some(key) = startable.keys.last() {
            let query = self.query(now.point, startable, *key, None);
            let refusals = query.map(|query| query.refusals(self.workers.values()));
            self.emit(PlannerEvent::StepWaiting(
                summary,
                refusals.unwrap_or_default(),
            ));
        }
    }

    /// Returns the worker to which a run should move because it offers enough speed, if there is one.
    pub(super) fn faster_worker(
        &self,
        now: TimePoint,
        key: TaskKey,
        current: &WorkerId,
    ) -> Option<WorkerId> {
        let job = self.jobs.get(&key.job)?;
        let policy = self.queues.policy(&job.request.queue)?;
        let step = job.request.steps.get(key.step as usize)?;
        if step.is_gang {
            return None;
        }
        let startable = StartableStep {
            ready: ReadyStep::unranked(key),
            policy,
            step,
            keys: vec![key],
            min_speed: MOVE_MIN_SPEED,
            pressures: OnceCell::new(),
        };
        let chosen = self.choose_worker(now, &startable, key, None);
        chosen.filter(|worker| worker != current)
    }

    /// Creates the query for a worker for a task.
    pub(super) fn query<'a>(
        &'a self,
        now: TimePoint,
        startable: &'a StartableStep<'a>,
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
            pressures: self.pressures_of(startable),
            advice: self.permission(job, key.into()),
            min_speed: startable.min_speed,
            zones: &self.zones,
            is_trial: self.needs_trial(key),
            now,
        })
    }

    /// Returns the pressure that a best-effort task of a step adds to each served image. It is the
    /// same for all tasks of the step, and computed once.
    fn pressures_of<'a>(&self, startable: &'a StartableStep<'_>) -> &'a BTreeMap<SmolStr, f64> {
        let compute = || self.step_pressures(startable.step);
        startable.pressures.get_or_init(compute)
    }

    fn step_pressures(&self, step: &StepRequest) -> BTreeMap<SmolStr, f64> {
        if !step.is_best_effort {
            return BTreeMap::new();
        }
        let image = step.image.clone().unwrap_or_default();
        let processors = f64::from(step.size.processors.0) / 1000.0;
        self.interference.pressures(&image, processors)
    }

    /// Requests advice on where a step's tasks from index `first` on may run, if the queue's policy
    /// requires advice.
    pub(super) fn request_permission(
        &mut self,
        now: TimePoint,
        startable: &StartableStep<'_>,
        first: usize,
    ) {
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
            pressures: self.pressures_of(startable),
            advice: StepPermission::Anywhere,
            min_speed: 0.0,
            zones: &self.zones,
            is_trial: false,
            now,
        };
        let workers = query.ranked(self.workers.values());
        self.request_advice(now, advice, (*key).into(), workers, keys.len());
    }

    /// Returns the fraction of full speed that a best-effort run needs on its worker. A worker that
    /// offers less would have to slow the run down to protect the runs beside it.
    ///
    /// The fraction falls as the job's slack is used up. Beyond the wait limit, any worker will do.
    pub(super) fn min_speed(
        &self,
        now: PlannerTime,
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
        let is_idle = pass.is_mostly_idle(service, || self.worker_index.is_mostly_idle(service));
        let wait_limit_ms = if is_idle {
            IDLE_WAIT_LIMIT_MS
        } else {
            WAIT_LIMIT_MS
        };
        let submitted_unix_ms = job.request.submitted_unix_ms;
        if now.unix_ms >= submitted_unix_ms.saturating_add(wait_limit_ms) {
            return 0.0;
        }
        let slack = allowed_time(job, policy).saturating_sub(job.longest_chain());
        let latest_start = ready.rank.latest_start_unix_ms;
        let left = Duration::from_millis(latest_start.saturating_sub(now.unix_ms));
        let fraction = (left.as_secs_f64() / slack.as_secs_f64().max(f64::EPSILON)).min(1.0);
        MIN_SPEED + (1.0 - MIN_SPEED) * fraction
    }

    /// Returns the rack of a step's placed tasks, if the step asks for a single rack.
    pub(super) fn step_rack(&self, step: &StepRequest, ready: ReadyStep) -> Option<SmolStr> {
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
