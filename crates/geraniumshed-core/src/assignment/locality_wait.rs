//! How long a task waits for a place near its data, or a gang for a rack of its own.
//!
//! Away from its rack a task takes longer by a known factor. Waiting pays if the expected wait is
//! shorter than the time that a near place saves. A fixed delay, as in delay scheduling, waits too
//! long for a rack that many tasks want, and not long enough for a place that is free in a moment.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;
use smol_str::SmolStr;

use super::action::PlannerTime;
use super::event::{EndedLocalityWait, LocalityWait, PlannerEvent};
use super::placement_pass::PlacementPass;
use super::placement_query::PlacementQuery;
use super::planner::JobPlanner;
use super::step_placement::StartableStep;
use crate::job::{StepKey, TaskKey, WorkerId};
use crate::worker::{RunEntry, RunPhase, WorkerEntry};

/// The factor on a forecast wait. Clients' estimates, on which it rests, are off by up to two.
const FORECAST_MARGIN: f64 = 1.5;
/// The part of its estimate that a run is expected to take at least, also once it has overrun it.
const MIN_REMAINING_DIVISOR: u32 = 4;

/// What speaks for waiting and against it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct LocalityTrade {
    /// The time that a near place saves.
    pub(super) saved: Duration,
    /// The forecast time until a near place is free for this task, if any becomes free.
    pub(super) wait: Option<Duration>,
    /// The time that the step has waited for a near place.
    pub(super) waited: Duration,
    /// The time until the latest start near its rack with which the job is in time.
    pub(super) slack: Duration,
}

/// Why a task doesn't wait for a near place, or waits no longer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LocalityOutcome {
    /// A near place was free.
    Near,
    /// No run that ends makes room near the rack.
    NoPlace,
    /// The forecast wait is longer than the time that it saves.
    LongWait,
    /// The step has waited for as long as a near place would have saved.
    WaitSpent,
    /// The job would be late.
    NoSlack,
}

impl LocalityOutcome {
    /// Returns the outcome's name in the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::Near => "near",
            Self::NoPlace => "no place becomes free",
            Self::LongWait => "wait is too long",
            Self::WaitSpent => "wait is spent",
            Self::NoSlack => "no slack",
        }
    }
}

/// Whether a task waits for a near place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LocalityVerdict {
    /// It waits, for about this time.
    Wait(Duration),
    /// It takes another place.
    TakeOther(LocalityOutcome),
}

impl LocalityTrade {
    /// Decides whether waiting pays.
    ///
    /// In total, a step never waits for longer than it can save, so that it takes at most twice as
    /// long as with the better of both choices, however wrong the forecasts are.
    pub(super) fn judge(&self) -> LocalityVerdict {
        let Some(wait) = self.wait else {
            return LocalityVerdict::TakeOther(LocalityOutcome::NoPlace);
        };
        let expected = wait.mul_f64(FORECAST_MARGIN);
        if expected >= self.saved {
            LocalityVerdict::TakeOther(LocalityOutcome::LongWait)
        } else if self.waited.saturating_add(wait) >= self.saved {
            LocalityVerdict::TakeOther(LocalityOutcome::WaitSpent)
        } else if expected > self.slack {
            LocalityVerdict::TakeOther(LocalityOutcome::NoSlack)
        } else {
            LocalityVerdict::Wait(wait)
        }
    }
}

/// A step that waits for near places.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct WaitingStep {
    since: TimePoint,
    rack: Option<SmolStr>,
}

impl JobPlanner {
    /// Returns whether a task waits for a place in the rack of its data rather than take a worker
    /// that was chosen for it.
    pub(super) fn waits_for_rack(
        &mut self,
        now: PlannerTime,
        startable: &StartableStep<'_>,
        key: TaskKey,
        chosen: &WorkerId,
        pass: &mut PlacementPass,
    ) -> bool {
        let Some(rack) = startable.step.data_rack.as_ref() else {
            return false;
        };
        let Some(saved) = self.time_saved_near(startable) else {
            return false;
        };
        let step = StepKey::from(startable.ready);
        let worker = self.workers.get(chosen);
        if worker.is_some_and(|worker| worker.listing.rack.as_ref() == Some(rack)) {
            self.end_locality_wait(now.point, step, LocalityOutcome::Near);
            return false;
        }
        if pass.rack_places(step).is_none() {
            let racks = self.places_near(now.point, startable, key, saved);
            pass.set_rack_places(step, racks.get(rack).cloned().unwrap_or_default());
        }
        let places = pass.rack_places(step).unwrap_or_default();
        let wait = places.get(pass.rack_waits(rack)).copied();
        let waits = self.judge_locality(now, startable, Some(rack), saved, wait);
        if waits {
            pass.add_rack_wait(rack);
        }
        waits
    }

    /// Returns whether a gang waits until one rack has room for all its members rather than take the
    /// workers that were chosen for it, which must not be reserved any more.
    pub(super) fn gang_waits_for_rack(
        &mut self,
        now: PlannerTime,
        startable: &StartableStep<'_>,
        placed: &[(TaskKey, WorkerId)],
    ) -> bool {
        let rack_of = |worker: &WorkerId| self.workers.get(worker)?.listing.rack.clone();
        let taken: BTreeSet<_> = placed.iter().map(|(_, worker)| rack_of(worker)).collect();
        let step = StepKey::from(startable.ready);
        if taken.len() < 2 {
            self.end_locality_wait(now.point, step, LocalityOutcome::Near);
            return false;
        }
        let (Some(saved), Some((key, _))) = (self.time_saved_near(startable), placed.first())
        else {
            return false;
        };
        let last = placed.len() - 1;
        let racks = self.places_near(now.point, startable, *key, saved);
        let wait = racks.values().filter_map(|rack| rack.get(last)).min();
        let wait = wait.copied();
        self.judge_locality(now, startable, None, saved, wait)
    }

    /// Ends the waits of jobs that have ended.
    pub(super) fn forget_locality_waits(&mut self) {
        let open = &self.open_jobs;
        self.locality_waits
            .retain(|step, _| open.contains(&step.job));
    }

    /// Returns the time that a task of a step saves near its rack, if that matters here.
    fn time_saved_near(&self, startable: &StartableStep<'_>) -> Option<Duration> {
        let step = startable.step;
        let factor = self.settings.remote_run_factor;
        let matters = factor > 1.0 && !step.is_long_running && !step.estimate.is_zero();
        matters.then(|| step.estimate.mul_f64(factor - 1.0))
    }

    /// Judges whether a step waits, and records when a wait begins and ends.
    fn judge_locality(
        &mut self,
        now: PlannerTime,
        startable: &StartableStep<'_>,
        rack: Option<&SmolStr>,
        saved: Duration,
        wait: Option<Duration>,
    ) -> bool {
        let step = StepKey::from(startable.ready);
        let known = self.locality_waits.get(&step);
        let slack_ms = startable
            .ready
            .rank
            .latest_start_unix_ms
            .saturating_sub(now.unix_ms);
        let trade = LocalityTrade {
            saved,
            wait,
            waited: known.map_or(Duration::ZERO, |known| now.point.since(known.since)),
            slack: Duration::from_millis(slack_ms),
        };
        match trade.judge() {
            LocalityVerdict::TakeOther(outcome) => {
                self.end_locality_wait(now.point, step, outcome);
                false
            }
            LocalityVerdict::Wait(expected) => {
                if known.is_none() {
                    let waiting = WaitingStep {
                        since: now.point,
                        rack: rack.cloned(),
                    };
                    self.locality_waits.insert(step, waiting);
                    self.emit(PlannerEvent::LocalityWaitBegan(LocalityWait {
                        job: step.job,
                        occurrence: step.occurrence,
                        step: step.step,
                        rack: rack.cloned(),
                        expected,
                        saved,
                    }));
                }
                true
            }
        }
    }

    fn end_locality_wait(&mut self, now: TimePoint, step: StepKey, outcome: LocalityOutcome) {
        let Some(waiting) = self.locality_waits.remove(&step) else {
            return;
        };
        self.emit(PlannerEvent::LocalityWaitEnded(EndedLocalityWait {
            job: step.job,
            occurrence: step.occurrence,
            step: step.step,
            rack: waiting.rack,
            waited: now.since(waiting.since),
            outcome,
        }));
    }

    /// Returns, by rack, when each place for a task of a step becomes free, soonest first, as far as
    /// it does within a time.
    fn places_near(
        &self,
        now: TimePoint,
        startable: &StartableStep<'_>,
        key: TaskKey,
        horizon: Duration,
    ) -> BTreeMap<SmolStr, Vec<Duration>> {
        let mut places: BTreeMap<SmolStr, Vec<Duration>> = BTreeMap::new();
        let Some(query) = self.query(now, startable, key, None) else {
            return places;
        };
        let wanted = startable.step.data_rack.as_ref();
        for worker in self.workers.values() {
            let rack = worker.listing.rack.as_ref();
            let Some(rack) = rack.filter(|rack| wanted.is_none_or(|wanted| wanted == *rack)) else {
                continue;
            };
            if query.takes_eventually(worker) {
                let times = places_on(worker, &query, now, horizon);
                places.entry(rack.clone()).or_default().extend(times);
            }
        }
        for times in places.values_mut() {
            times.sort_unstable();
        }
        places
    }
}

/// Returns when each place for a task becomes free on a worker, as far as it does within a time.
fn places_on(
    worker: &WorkerEntry,
    query: &PlacementQuery<'_>,
    now: TimePoint,
    horizon: Duration,
) -> Vec<Duration> {
    let size = query.step.reserved_size();
    let mut free = worker.free_size();
    let mut ends: Vec<_> = worker
        .runs
        .values()
        .filter(|run| !run.is_long_running)
        .map(|run| (remaining_time(run, now), run.reserved))
        .filter(|(remaining, _)| *remaining < horizon)
        .collect();
    ends.sort_unstable_by_key(|(remaining, _)| *remaining);
    let limit = query.free_task_count(worker);
    let mut times = Vec::new();
    let present = (Duration::ZERO, None);
    for (time, freed) in
        std::iter::once(present).chain(ends.into_iter().map(|(time, freed)| (time, Some(freed))))
    {
        if let Some(freed) = freed {
            free = free.plus(&freed);
        }
        while times.len() < limit && size.fits(&free) {
            free = free.minus(&size);
            times.push(time);
        }
    }
    times
}

/// Returns the time that a run is expected to take still.
fn remaining_time(run: &RunEntry, now: TimePoint) -> Duration {
    let elapsed = match run.phase {
        RunPhase::Running(since) => now.since(since),
        RunPhase::Storing | RunPhase::Ordered(_) | RunPhase::Unsettled(_) => Duration::ZERO,
    };
    let least = run.estimate / MIN_REMAINING_DIVISOR;
    run.estimate.saturating_sub(elapsed).max(least)
}
