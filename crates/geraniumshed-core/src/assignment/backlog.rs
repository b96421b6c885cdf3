//! The backlog: steps that wait because the workers can't take all tasks.
//!
//! While tasks of a service and a priority wait, they are under pressure. Capacity is then divided
//! among their queues by fair shares, and within a queue among the classes of its jobs. All state is
//! about the last seconds, and a new planner builds it again.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;

use super::action::PlannerTime;
use super::event::{EndedPressure, PlannerEvent, PressureGroup};
use super::fair_share::{FairShare, Flow, FlowPart};
use super::planner::JobPlanner;
use super::queue_load::QueueLoad;
use super::rank::{ReadyStep, StepClass, startable_count};
use super::run_time::RunTimeFactor;
use super::step_placement::StartableStep;
use super::timely_set::OccurrenceKey;
use crate::job::{JobId, QueueName};
use crate::worker::RunEntry;

/// How long tasks have to wait until they count as under pressure. Tasks often wait for some tens of
/// milliseconds, until the ends of other runs are reported.
const PRESSURE_DELAY: Duration = Duration::from_millis(100);
/// How long no task has to wait until the pressure is over, so that it doesn't begin and end with each
/// run that ends.
const RELIEF_DELAY: Duration = Duration::from_millis(500);
/// The interval between two choices of the jobs that are kept in time. Rates hardly change within it.
const CHOICE_INTERVAL: Duration = Duration::from_millis(250);
/// The starts that are placed for one queue before the next one has its turn, as the time in which the
/// capacity for them becomes free.
const TURN_SPAN: Duration = Duration::from_millis(50);
/// The time for which a queue whose tasks fit nowhere keeps its claim to its share.
const CLAIM_SPAN: Duration = Duration::from_secs(2);
/// The number of parts into which a step is split at most for its turns in one pass. A pass places no
/// more than is free at that moment.
const PART_LIMIT: u32 = 8;

/// The part of a queue's starts that goes to jobs of each class, if all classes wait. A quarter goes to
/// late and expired jobs, so that none starves.
pub(super) const fn class_weight(class: StepClass) -> f64 {
    match class {
        StepClass::InTime => 0.75,
        StepClass::Late => 0.1875,
        StepClass::Expired => 0.0625,
    }
}

/// The steps that wait, and how capacity is divided among them.
#[derive(Debug, Default)]
pub(super) struct Backlog {
    /// The services and priorities with tasks that wait.
    groups: BTreeMap<PressureGroup, GroupBacklog>,
    /// The number of waiting steps by priority and class, as counted in the present pass.
    counting: BTreeMap<(u32, StepClass), usize>,
    /// The same after the newest pass.
    counts: BTreeMap<(u32, StepClass), usize>,
    /// How long runs of each queue take.
    run_times: BTreeMap<QueueName, RunTimeFactor>,
}

/// The backlog of a service and a priority.
#[derive(Debug)]
struct GroupBacklog {
    waiting_since: TimePoint,
    last_waiting: TimePoint,
    /// Whether tasks have waited for long enough to count as under pressure.
    is_active: bool,
    next_choice: TimePoint,
    queues: FairShare<QueueName>,
    classes: BTreeMap<QueueName, FairShare<StepClass>>,
    /// The processors that run tasks of the group.
    busy_processors: f64,
    let_late: BTreeSet<OccurrenceKey>,
}

impl GroupBacklog {
    fn new(now: TimePoint) -> Self {
        Self {
            waiting_since: now,
            last_waiting: now,
            is_active: false,
            next_choice: now,
            queues: FairShare::default(),
            classes: BTreeMap::new(),
            busy_processors: 0.0,
            let_late: BTreeSet::new(),
        }
    }

    /// Records that a queue started work of jobs of a class.
    fn record_started(&mut self, queue: &QueueName, class: StepClass, work: f64) {
        self.queues.charge(queue, 1.0, work);
        let classes = self.classes.entry(queue.clone()).or_default();
        classes.charge(&class, class_weight(class), work);
    }

    /// Chooses the jobs that are kept in time, and updates the shares.
    fn choose(&mut self, loads: &BTreeMap<QueueName, QueueLoad>) {
        self.busy_processors = loads.values().map(|load| load.busy_processors).sum();
        let waiting = loads
            .values()
            .filter(|load| load.waiting_work > 0.0)
            .count();
        #[expect(clippy::cast_precision_loss, reason = "there are few queues")]
        let equal_share = self.busy_processors / waiting.max(1) as f64;
        let limit = self.busy_processors * CLAIM_SPAN.as_secs_f64();
        let has_work = |queue: &QueueName| {
            let load = loads.get(queue);
            load.is_some_and(|load| load.waiting_work > 0.0)
        };
        self.queues.limit_lag(limit, has_work);
        for classes in self.classes.values_mut() {
            classes.limit_lag(limit, |_| true);
        }
        self.let_late.clear();
        for load in loads.values() {
            // A queue that gets less than its share will get it.
            let processors = load.busy_processors.max(equal_share);
            self.let_late.extend(load.choose_late(processors));
        }
    }

    /// Returns the order in which the steps of the group are placed.
    fn order(&self, steps: Vec<WaitingStep>) -> Vec<ReadyStep> {
        let turn_work = self.busy_processors * TURN_SPAN.as_secs_f64();
        let mut queues: BTreeMap<QueueName, BTreeMap<StepClass, Vec<WaitingStep>>> =
            BTreeMap::new();
        for step in steps {
            let classes = queues.entry(step.queue.clone()).or_default();
            classes.entry(step.flow).or_default().push(step);
        }
        let flows = queues.into_iter().map(|(queue, classes)| Flow {
            weight: 1.0,
            parts: self.order_classes(&queue, classes, turn_work),
            key: queue,
        });
        let merged = self.queues.merge(flows.collect());
        let turns = (0..).zip(merged);
        let turns = turns.map(|(turn, part)| {
            let mut ready: ReadyStep = part.item;
            ready.rank.turn = turn;
            ready
        });
        turns.collect()
    }

    /// Returns the order in which the steps of a queue are placed.
    fn order_classes(
        &self,
        queue: &QueueName,
        classes: BTreeMap<StepClass, Vec<WaitingStep>>,
        turn_work: f64,
    ) -> Vec<FlowPart<ReadyStep>> {
        let flows = classes.into_iter().map(|(class, mut steps)| {
            steps.sort_by_key(|step| step.ready);
            let parts = steps.iter().flat_map(|step| step.parts(turn_work));
            Flow {
                key: class,
                weight: class_weight(class),
                parts: parts.collect(),
            }
        });
        let flows = flows.collect();
        match self.classes.get(queue) {
            Some(shares) => shares.merge(flows),
            None => FairShare::default().merge(flows),
        }
    }
}

/// A ready step of a group under pressure.
#[derive(Debug)]
struct WaitingStep {
    ready: ReadyStep,
    queue: QueueName,
    /// The class whose part of the starts it uses.
    flow: StepClass,
    /// The number of startable tasks.
    task_count: u32,
    /// The work of each task in processor-seconds.
    task_work: f64,
    is_gang: bool,
}

impl WaitingStep {
    /// Returns the parts of the step that are placed one after the other, with the steps of other
    /// queues between them.
    fn parts(&self, turn_work: f64) -> impl Iterator<Item = FlowPart<ReadyStep>> + '_ {
        let per_turn = self.tasks_per_turn(turn_work);
        let whole = self.task_count.max(1);
        let count = whole.div_ceil(per_turn).min(PART_LIMIT);
        (0..count).map(move |part| {
            let is_last = part + 1 == count;
            let tasks = if is_last {
                whole.saturating_sub(part.saturating_mul(per_turn))
            } else {
                per_turn
            };
            let max_tasks = if is_last { u32::MAX } else { per_turn };
            FlowPart {
                work: f64::from(tasks) * self.task_work,
                item: ReadyStep {
                    max_tasks,
                    ..self.ready
                },
            }
        })
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the quotient is positive and is limited to the number of tasks"
    )]
    fn tasks_per_turn(&self, turn_work: f64) -> u32 {
        if self.is_gang {
            return self.task_count.max(1);
        }
        let count = turn_work / self.task_work.max(f64::EPSILON);
        count.clamp(1.0, f64::from(self.task_count.max(1))) as u32
    }
}

impl Backlog {
    /// Returns whether a job was let late in favour of others.
    pub(super) fn is_let_late(&self, job: JobId, occurrence: u32) -> bool {
        let mut groups = self.groups.values();
        groups.any(|group| group.let_late.contains(&(job, occurrence)))
    }

    /// Records the time of a run that has ended with success.
    pub(super) fn record_run_time(&mut self, now: TimePoint, queue: &QueueName, run: &RunEntry) {
        // The starts that an earlier planner ordered are unknown.
        let Some(ordered_at) = run.ordered_at.filter(|_| !run.is_long_running) else {
            return;
        };
        let elapsed = now.since(ordered_at);
        if let Some(factor) = self.run_times.get_mut(queue) {
            factor.record(elapsed, run.estimate);
            return;
        }
        let mut factor = RunTimeFactor::default();
        factor.record(elapsed, run.estimate);
        self.run_times.insert(queue.clone(), factor);
    }

    /// Records that tasks of a step wait because no worker takes them.
    fn record_waiting(&mut self, now: TimePoint, startable: &StartableStep<'_>) {
        let rank = startable.ready.rank;
        *self
            .counting
            .entry((rank.priority, rank.class))
            .or_default() += 1;
        // Long-running tasks may wait for any time without a lack of capacity for others.
        if startable.step.is_long_running {
            return;
        }
        let group = PressureGroup::of(startable.policy);
        let entry = self.groups.entry(group);
        entry.or_insert_with(|| GroupBacklog::new(now)).last_waiting = now;
    }
}

impl JobPlanner {
    /// Returns the number of steps that wait by priority and class, as of the newest placement pass.
    pub fn backlog(&self) -> &BTreeMap<(u32, StepClass), usize> {
        &self.backlog.counts
    }

    /// Records the outcome of placing tasks of a step.
    pub(super) fn record_backlog(
        &mut self,
        now: PlannerTime,
        startable: &StartableStep<'_>,
        placed: usize,
    ) {
        if placed < startable.keys.len() {
            self.backlog.record_waiting(now.point, startable);
        }
        if placed == 0 || self.backlog.groups.is_empty() || startable.step.is_long_running {
            return;
        }
        let group = PressureGroup::of(startable.policy);
        let group = self.backlog.groups.get_mut(&group);
        let job = self.jobs.get(&startable.ready.job);
        if let (Some(group), Some(job)) = (group, job) {
            #[expect(clippy::cast_precision_loss, reason = "a step has few tasks")]
            let work = placed as f64 * startable.step.task_work();
            let class = startable.ready.rank.starts_class();
            group.record_started(&job.request.queue, class, work);
        }
    }

    /// Updates the groups under pressure before a placement pass.
    pub(super) fn update_backlog(&mut self, now: PlannerTime) {
        if self.backlog.groups.is_empty() {
            return;
        }
        let mut groups = std::mem::take(&mut self.backlog.groups);
        groups.retain(|key, group| self.update_group(now, key, group));
        self.backlog.groups = groups;
    }

    /// Updates a group and returns whether it is kept.
    fn update_group(
        &mut self,
        now: PlannerTime,
        key: &PressureGroup,
        group: &mut GroupBacklog,
    ) -> bool {
        let unix_ms = now.unix_ms;
        let now = now.point;
        if group.is_active && now.since(group.last_waiting) >= RELIEF_DELAY {
            self.emit(PlannerEvent::PressureEnded(EndedPressure {
                group: key.clone(),
                lasted: group.last_waiting.since(group.waiting_since),
            }));
            return false;
        }
        if !group.is_active && now.since(group.waiting_since) >= PRESSURE_DELAY {
            group.is_active = true;
            self.emit(PlannerEvent::PressureBegan(key.clone()));
        }
        if group.is_active && group.next_choice <= now {
            group.next_choice = now + CHOICE_INTERVAL;
            let loads = self.queue_loads(unix_ms, key, &group.let_late);
            group.choose(&loads);
        }
        true
    }

    /// Returns how much the queues of a group run and have to start.
    fn queue_loads(
        &self,
        now_unix_ms: u64,
        group: &PressureGroup,
        let_late: &BTreeSet<OccurrenceKey>,
    ) -> BTreeMap<QueueName, QueueLoad> {
        let mut loads: BTreeMap<QueueName, QueueLoad> = BTreeMap::new();
        for job in self.open_jobs.iter().filter_map(|id| self.jobs.get(id)) {
            let policy = self.queues.policy(&job.request.queue);
            let Some(policy) = policy.filter(|policy| group.is_of(policy)) else {
                continue;
            };
            let queue = &job.request.queue;
            let factor = || {
                let known = self.backlog.run_times.get(queue);
                known.copied().unwrap_or_default()
            };
            let load = loads
                .entry(queue.clone())
                .or_insert_with(|| QueueLoad::new(factor()));
            load.add_job(job, policy, now_unix_ms, let_late);
        }
        loads
    }

    /// Gives the steps of groups under pressure their turns.
    pub(super) fn order_backlog(
        &self,
        now: PlannerTime,
        mut steps: Vec<ReadyStep>,
    ) -> Vec<ReadyStep> {
        for (key, group) in &self.backlog.groups {
            if !group.is_active {
                continue;
            }
            let (of_group, others): (Vec<_>, Vec<_>) = steps
                .into_iter()
                .partition(|ready| self.is_shared_step(key, *ready));
            steps = others;
            let of_group = of_group.into_iter();
            let waiting: Vec<_> = of_group
                .filter_map(|ready| self.waiting_step(now, ready))
                .collect();
            if has_contention(&waiting) {
                steps.extend(group.order(waiting));
            } else {
                steps.extend(waiting.into_iter().map(|step| step.ready));
            }
        }
        steps
    }

    /// Returns whether a step is one of those among which a group's capacity is shared. Long-running
    /// tasks are not: they go first, as those of a queue with the lowest tag.
    fn is_shared_step(&self, group: &PressureGroup, ready: ReadyStep) -> bool {
        let Some(job) = self.jobs.get(&ready.job) else {
            return false;
        };
        let step = job.request.steps.get(ready.step as usize);
        let policy = self.queues.policy(&job.request.queue);
        step.is_some_and(|step| !step.is_long_running)
            && policy.is_some_and(|policy| group.is_of(policy))
    }

    fn waiting_step(&self, now: PlannerTime, ready: ReadyStep) -> Option<WaitingStep> {
        let job = self.jobs.get(&ready.job)?;
        let step = job.request.steps.get(ready.step as usize)?;
        Some(WaitingStep {
            ready,
            queue: job.request.queue.clone(),
            flow: ready.rank.starts_class(),
            task_count: u32::try_from(startable_count(job, ready, now.point)).unwrap_or(u32::MAX),
            task_work: step.task_work(),
            is_gang: step.is_gang,
        })
    }

    /// Ends the count of waiting steps after a placement pass, and forgets the groups whose tasks
    /// waited only for a moment.
    pub(super) fn finish_backlog_pass(&mut self, now: TimePoint) {
        let backlog = &mut self.backlog;
        backlog.counts = std::mem::take(&mut backlog.counting);
        let is_waiting = |group: &GroupBacklog| group.is_active || group.last_waiting == now;
        backlog.groups.retain(|_, group| is_waiting(group));
    }
}

/// Returns whether steps of several queues or classes compete.
fn has_contention(steps: &[WaitingStep]) -> bool {
    let Some(first) = steps.first() else {
        return false;
    };
    let mut others = steps.iter();
    others.any(|step| step.queue != first.queue || step.flow != first.flow)
}
