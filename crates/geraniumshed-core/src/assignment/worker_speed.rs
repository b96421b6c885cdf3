//! Observation of the workers' speeds and incidents.

use std::collections::BTreeMap;
use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;
use smol_str::SmolStr;

use super::action::PlannerTime;
use super::event::{PlannerEvent, SlowWorker, UsualWorker};
use super::pacing::PACE_DELAY;
use super::planner::JobPlanner;
use crate::job::{JobEntry, StepRequest, TaskKey, WorkerId};
use crate::worker::{
    FULL_PERCENT, ProgressMark, RecordCredence, RunEntry, RunPhase, RunSpeed, SpeedChange,
    WorkerEntry, WorkerTime, whole_percent,
};

/// The progress, as a fraction of the task, that a run has to be expected to make in an observation.
/// Progress is reported in whole percents.
const MIN_EXPECTED: f64 = 0.08;
/// The resolution of reported progress, as a fraction of the task.
const RESOLUTION: f64 = 0.01;
/// The shortest observation. In a shorter one, delays in the worker count too much.
const MIN_SPAN: Duration = Duration::from_millis(150);
/// The speed below which the progress of a throttled run isn't observed, as a fraction.
const MIN_PACE: f64 = 0.3;
/// The weight of an observed slow best-effort run, which may lack idle processors.
const BEST_EFFORT_WEIGHT: f64 = 0.5;
/// The speed from which on the end of a run is an observation. Ends may be learned late, which makes
/// a run look slow.
const MIN_END_SPEED: f64 = 0.6;
/// The interval between two assessments of all workers.
const ASSESSMENT_INTERVAL: Duration = Duration::from_millis(100);
/// The time within which a worker has to be observed to count in an assessment.
const OBSERVATION_WINDOW: Duration = Duration::from_secs(10);
/// The number of observed workers in a zone or a rack from which on it is assessed by itself.
const MIN_GROUP_SIZE: usize = 4;
/// The number of observed workers from which on a slow one can be told from a slow load.
const MIN_FLEET_SIZE: usize = 4;

/// The number of workers that have to be found healthy, for each slow one, before runs are stopped.
const HEALTHY_PER_SLOW: usize = 3;

/// What the assessment of all workers has shown.
#[derive(Debug, Default)]
pub(super) struct FleetAssessment {
    /// Whether some workers are slow, but not so many that it is the load.
    pub(super) has_slow_workers: bool,
    next_at: TimePoint,
}

/// The number of workers that were observed, and of those with a bad record.
#[derive(Debug, Default, Clone, Copy)]
struct GroupCount {
    all: usize,
    bad: usize,
}

impl GroupCount {
    fn add(&mut self, is_bad: bool) {
        self.all += 1;
        self.bad += usize::from(is_bad);
    }

    /// Returns whether so many workers look slow that it is the load or the estimates.
    fn is_load(self) -> bool {
        self.bad > 1 && self.bad * 3 > self.all
    }

    /// Returns whether most workers of a zone or a rack have a bad record.
    fn has_common_cause(self) -> bool {
        self.all >= MIN_GROUP_SIZE && self.bad * 2 > self.all
    }
}

impl JobPlanner {
    /// Observes the speed of a worker's runs by their newest reports.
    pub(super) fn observe_runs(&mut self, now: TimePoint, worker: &WorkerId, clock: WorkerTime) {
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        let rack = entry.listing.rack.clone();
        let mut observed = Vec::new();
        for (key, run) in &mut entry.runs {
            let Some(job) = self.jobs.get(&key.job) else {
                continue;
            };
            if !is_observable(run, job, *key, rack.as_ref()) {
                run.progress.mark = None;
                continue;
            }
            let step = (*key).into();
            if !is_due(run, now, clock) {
                continue;
            }
            let usual = self.peer_speeds.usual(step, &job.request.queue);
            let Some(observation) = observe_run(run, now, clock, usual) else {
                continue;
            };
            let speed = observation.speed.relative * usual;
            let queue = &job.request.queue;
            self.peer_speeds
                .observe(step, queue, observation.work, speed);
            observed.push(observation);
        }
        for observation in observed {
            let weight = observation.weight();
            let span = observation.span.mul_f64(weight);
            entry
                .track
                .observe_speed(now, observation.speed.relative, span);
        }
        self.assess_worker(now, worker);
    }

    /// Observes the speed of a run that has succeeded.
    pub(super) fn observe_success(
        &mut self,
        now: TimePoint,
        worker: &WorkerId,
        key: TaskKey,
        run: &RunEntry,
    ) {
        let Some((entry, job)) = self.workers.get_mut(worker).zip(self.jobs.get(&key.job)) else {
            return;
        };
        entry.track.record_success(now);
        let Some(mark) = run.progress.mark else {
            return;
        };
        if !is_observable(run, job, key, entry.listing.rack.as_ref()) {
            return;
        }
        let span = now.since(mark.at);
        let work = f64::from(FULL_PERCENT.saturating_sub(mark.percent)) / f64::from(FULL_PERCENT);
        let pace = pace_over(run, now, span);
        let estimated = span.as_secs_f64() / run.estimate.as_secs_f64() * pace;
        if span < MIN_SPAN || pace < MIN_PACE || estimated <= 0.0 {
            return;
        }
        let queue = &job.request.queue;
        let usual = self.peer_speeds.usual(key.into(), queue);
        let speed = work / estimated;
        self.peer_speeds.observe(key.into(), queue, work, speed);
        if speed / usual >= MIN_END_SPEED {
            entry.track.observe_speed(now, speed / usual, span);
            self.assess_worker(now, worker);
        }
    }

    /// Assesses all workers, if that is due.
    pub(super) fn assess_fleet(&mut self, time: PlannerTime) {
        let now = time.point;
        if now < self.fleet.next_at {
            return;
        }
        self.fleet.next_at = now + ASSESSMENT_INTERVAL;
        let slow = self.workers.values().filter(|one| one.track.is_slow());
        let slow: Vec<WorkerId> = slow.map(|one| one.id().clone()).collect();
        for worker in &slow {
            self.assess_worker(now, worker);
        }
        let credences = self.credences(now);
        self.fleet.has_slow_workers = self.has_slow_workers(now);
        for (worker, credence) in credences {
            if let Some(entry) = self.workers.get_mut(&worker) {
                entry.track.set_credence(credence);
            }
        }
        for worker in slow {
            self.move_stragglers(time, &worker);
        }
    }

    /// Returns whether enough workers were found healthy since a worker was found slow. Otherwise, the
    /// others may just not have been observed since the load or the estimates slowed all of them.
    pub(super) fn has_healthy_peers(&self, slow_since: TimePoint) -> bool {
        let listed = || self.workers.values().filter(|entry| entry.is_listed);
        let slow = listed().filter(|entry| entry.track.is_slow()).count();
        let healthy = listed().filter(|entry| entry.track.is_healthy_since(slow_since));
        healthy.count() >= (slow * HEALTHY_PER_SLOW).max(MIN_FLEET_SIZE)
    }

    /// Returns the workers whose records count in another way from now on.
    fn credences(&self, now: TimePoint) -> Vec<(WorkerId, RecordCredence)> {
        // Almost always, no worker has a bad record.
        let mut tracks = self.workers.values().map(|entry| &entry.track);
        if tracks.all(|track| track.is_unremarkable(now)) {
            return Vec::new();
        }
        let speeds = self.count_slow(now);
        let mut groups: BTreeMap<&SmolStr, GroupCount> = BTreeMap::new();
        for entry in self.workers.values().filter(|entry| entry.is_listed) {
            let track = &entry.track;
            let is_observed = track.was_observed_within(now, OBSERVATION_WINDOW);
            let is_bad = track.is_slow() || track.has_incidents(now);
            if is_observed || is_bad {
                for group in groups_of(entry) {
                    groups.entry(group).or_default().add(is_bad);
                }
            }
        }
        let credence = |entry: &WorkerEntry| {
            let mut own = groups_of(entry).filter_map(|group| groups.get(group));
            if speeds.is_load() && entry.track.is_slow() {
                RecordCredence::None
            } else if own.any(|group| group.has_common_cause()) {
                RecordCredence::Partial
            } else {
                RecordCredence::Full
            }
        };
        let all = self.workers.values().map(|entry| (entry, credence(entry)));
        let changed = all.filter(|(entry, credence)| entry.track.credence() != *credence);
        changed
            .map(|(entry, credence)| (entry.id().clone(), credence))
            .collect()
    }

    /// Returns whether some workers are slow, but not so many that it is the load.
    fn has_slow_workers(&self, now: TimePoint) -> bool {
        let count = self.count_slow(now);
        count.bad > 0 && !count.is_load()
    }

    /// Counts the observed workers, and those that are slow.
    fn count_slow(&self, now: TimePoint) -> GroupCount {
        let mut count = GroupCount::default();
        for entry in self.workers.values().filter(|entry| entry.is_listed) {
            if entry.track.was_observed_within(now, OBSERVATION_WINDOW) {
                count.add(entry.track.is_slow());
            }
        }
        count
    }

    /// Decides whether a worker counts as slow, and reports a change.
    fn assess_worker(&mut self, now: TimePoint, worker: &WorkerId) {
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        let runs = entry.runs.len();
        match entry.track.assess(now) {
            None => {}
            Some(SpeedChange::Slow(speed)) => {
                self.emit(PlannerEvent::WorkerSlow(SlowWorker {
                    worker: worker.clone(),
                    speed_percent: whole_percent(speed),
                    runs,
                }));
            }
            Some(SpeedChange::Usual(slow_for)) => {
                self.emit(PlannerEvent::WorkerUsual(UsualWorker {
                    worker: worker.clone(),
                    slow_for,
                    runs,
                }));
            }
        }
    }
}

/// The progress of a run within a time span.
#[derive(Debug, Clone, Copy)]
struct Observation {
    span: Duration,
    /// The progress, in tasks.
    work: f64,
    speed: RunSpeed,
    is_best_effort: bool,
}

impl Observation {
    /// Returns the weight of the observation for the record of the worker.
    fn weight(&self) -> f64 {
        if self.is_best_effort && self.speed.relative < 1.0 {
            BEST_EFFORT_WEIGHT
        } else {
            1.0
        }
    }
}

/// Returns whether a run may be observed by now. It need not be if its last mark is too recent.
fn is_due(run: &RunEntry, now: TimePoint, clock: WorkerTime) -> bool {
    let mark = run.progress.mark.as_ref();
    mark.is_none_or(|mark| mark.span(now, clock) >= MIN_SPAN)
}

/// Observes the speed of a run since its last mark, once enough progress is expected. Sets the mark for
/// the next observation.
fn observe_run(
    run: &mut RunEntry,
    now: TimePoint,
    clock: WorkerTime,
    usual: f64,
) -> Option<Observation> {
    let next = ProgressMark {
        percent: run.percent,
        at: now,
        clock: Some(clock),
    };
    let mark = *run.progress.mark.get_or_insert(next);
    let span = mark.span(now, clock);
    let pace = pace_over(run, now, span);
    if run.percent < mark.percent || pace < MIN_PACE {
        run.progress.mark = Some(next);
        return None;
    }
    let seconds = span.as_secs_f64();
    let expected = seconds / run.estimate.as_secs_f64() * usual * pace;
    if span < MIN_SPAN || expected < MIN_EXPECTED {
        return None;
    }
    run.progress.mark = Some(next);
    let work = f64::from(run.percent - mark.percent) / f64::from(FULL_PERCENT);
    // The progress may be just short of the next percent.
    let upper = work + RESOLUTION;
    let speed = RunSpeed {
        rate: upper / seconds,
        relative: upper / expected,
    };
    run.progress.speed = Some(speed);
    Some(Observation {
        span,
        work,
        speed,
        is_best_effort: run.is_best_effort,
    })
}

/// Returns whether the progress of a run tells the speed of its worker.
///
/// Members of a gang wait for each other, and tasks are slower away from their data.
fn is_observable(run: &RunEntry, job: &JobEntry, key: TaskKey, rack: Option<&SmolStr>) -> bool {
    let is_active = matches!(run.phase, RunPhase::Running(_)) && !run.is_stopping();
    let has_progress = !run.is_long_running && run.percent + 1 < FULL_PERCENT;
    let is_near_data = |step: &StepRequest| {
        let wanted = step.data_rack.as_ref();
        wanted.is_none_or(|wanted| Some(wanted) == rack) && !step.wants_one_rack && !step.is_gang
    };
    let step = job.request.steps.get(key.step as usize);
    is_active
        && has_progress
        && run.is_pace_known
        && !run.estimate.is_zero()
        && step.is_some_and(is_near_data)
}

/// Returns the mean speed that was ordered for a run over a time span, as a fraction.
fn pace_over(run: &RunEntry, now: TimePoint, span: Duration) -> f64 {
    let window = span.max(MIN_SPAN);
    run.mean_pace(now, PACE_DELAY, window) / f64::from(FULL_PERCENT)
}

/// Returns the zone and the rack of a worker.
fn groups_of(entry: &WorkerEntry) -> impl Iterator<Item = &SmolStr> {
    [Some(&entry.listing.zone), entry.listing.rack.as_ref()]
        .into_iter()
        .flatten()
}
