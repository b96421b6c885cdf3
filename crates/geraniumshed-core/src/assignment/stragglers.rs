//! Moves of runs that are held up by a slow worker.
//!
//! A step waits for its slowest task. A run whose worker is known to be slow is stopped and placed
//! elsewhere if that is clearly sooner done, even if it has to begin anew.

use std::time::Duration;

use geraniumshed_model::prelude::{ResourceSize, TimePoint};

use super::action::PlannerTime;
use super::event::{MoveCause, MovedRun, PlannerEvent};
use super::planner::JobPlanner;
use crate::job::{TaskKey, WorkerId};
use crate::worker::{FULL_PERCENT, RunEntry, RunPhase, SLOW_SPEED, whole_percent};

/// The longest time that a stop takes, which is up to half a second, and that the next start takes.
pub(super) const MOVE_TIME: Duration = Duration::from_millis(700);
/// The factor by which the remaining time has to exceed the time elsewhere. Estimates are off, and
/// the worker may recover.
const MIN_GAIN_FACTOR: f64 = 1.5;
/// The number of the last run of a task that may be moved for its slow worker.
const MOVED_RUN_LIMIT: u32 = 2;
/// The number of workers for each of which one run may be moving at a time.
const WORKERS_PER_MOVE: usize = 8;
/// The number of runs that may be moving at a time, in addition.
const MIN_MOVES: usize = 4;

/// A run that is being stopped to be placed on another worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct ActiveMove {
    worker: WorkerId,
    task: TaskKey,
    run: u32,
}

/// The time that a run still takes, where it is and elsewhere.
#[derive(Debug, Clone, Copy)]
pub(super) struct RemainingTimes {
    /// The time on its worker.
    pub(super) here: Duration,
    /// The time until it is done if it is stopped now and placed on another worker.
    pub(super) elsewhere: Duration,
}

impl JobPlanner {
    /// Moves the runs of a worker that are held up because the worker is slow.
    pub(super) fn move_stragglers(&mut self, now: PlannerTime, worker: &WorkerId) {
        let Some(entry) = self.workers.get(worker) else {
            return;
        };
        let slow_since = entry.track.slow_since();
        let Some(slow_since) = slow_since.filter(|_| entry.track.is_credibly_slow()) else {
            return;
        };
        if entry.has_unlisted_ends {
            // The runs may have ended.
            return;
        }
        let read_for = now.point.since(entry.read_at);
        let runs = entry.runs.iter();
        let held_up = runs.filter(|(_, run)| is_held_up(run));
        let mut due: Vec<(u32, TaskKey, RemainingTimes)> = held_up
            .filter_map(|(key, run)| {
                let times = self.remaining_times(read_for, *key, run)?;
                let is_gain = times.here > times.elsewhere.mul_f64(MIN_GAIN_FACTOR);
                is_gain.then_some((self.priority_of(*key), *key, times))
            })
            .collect();
        if due.is_empty() || !self.has_healthy_peers(slow_since) {
            return;
        }
        due.sort_by_key(|(priority, key, _)| (*priority, *key));
        self.sync_workers(now.point);
        let mut claims = TargetClaims::default();
        for (_, key, times) in due {
            if self.active_move_count() >= self.move_limit() {
                return;
            }
            if let Some(target) = self.claim_target(now.point, key, worker, &mut claims) {
                self.move_run(now.point, worker, key, Some(target), times, MoveCause::Slow);
            }
        }
    }

    /// Returns the time that a run still takes, here and elsewhere, if its speed was observed and it may
    /// be moved. Its newest report has this age.
    pub(super) fn remaining_times(
        &self,
        read_for: Duration,
        key: TaskKey,
        run: &RunEntry,
    ) -> Option<RemainingTimes> {
        let job = self
            .jobs
            .get(&key.job)
            .filter(|job| !job.phase.is_final())?;
        let step = job.request.steps.get(key.step as usize)?;
        let speed = run.progress.speed?;
        if step.is_gang || speed.rate <= 0.0 {
            return None;
        }
        let done = f64::from(run.percent.min(FULL_PERCENT)) / f64::from(FULL_PERCENT);
        let usual = self.peer_speeds.usual(key.into(), &job.request.queue);
        let whole = run.estimate.as_secs_f64() / usual.max(f64::EPSILON);
        let left = if step.has_checkpoints {
            1.0 - done
        } else {
            1.0
        };
        let here = seconds((1.0 - done) / speed.rate);
        Some(RemainingTimes {
            here: here.saturating_sub(read_for),
            elsewhere: MOVE_TIME + seconds(whole * left),
        })
    }

    /// Stops a run, so that its task is placed on another worker.
    pub(super) fn move_run(
        &mut self,
        now: TimePoint,
        worker: &WorkerId,
        key: TaskKey,
        target: Option<WorkerId>,
        times: RemainingTimes,
        cause: MoveCause,
    ) {
        let run = self.workers.get(worker).and_then(|one| one.runs.get(&key));
        let Some(run) = run else {
            return;
        };
        let moved = MovedRun {
            task: key,
            run: run.run,
            worker: worker.clone(),
            target,
            cause,
            percent: run.percent,
            speed_percent: run
                .progress
                .speed
                .map(|speed| whole_percent(speed.relative)),
            here: times.here,
            elsewhere: times.elsewhere,
        };
        self.active_moves.push(ActiveMove {
            worker: worker.clone(),
            task: key,
            run: run.run,
        });
        let job = self.jobs.get_mut(&key.job);
        if let Some(task) = job.and_then(|job| job.task_mut(key)) {
            task.avoid(worker.clone());
        }
        self.stop_run(now, worker, key);
        self.emit(PlannerEvent::RunMoved(moved));
    }

    /// Returns the worker that would take a task from its present one, unless the room there is claimed
    /// by other runs that move.
    pub(super) fn claim_target(
        &self,
        now: TimePoint,
        key: TaskKey,
        current: &WorkerId,
        claims: &mut TargetClaims,
    ) -> Option<WorkerId> {
        let target = self.faster_worker(now, key, current)?;
        let entry = self.workers.get(&target)?;
        let run = self.workers.get(current)?.runs.get(&key)?;
        let claimed = claims.size_on(&target).plus(&run.reserved);
        if entry.track.is_slow() || !claimed.fits(&entry.free_size()) {
            return None;
        }
        claims.0.push((target.clone(), run.reserved));
        Some(target)
    }

    /// Returns the number of runs that are being stopped to be moved.
    fn active_move_count(&mut self) -> usize {
        let workers = &self.workers;
        self.active_moves.retain(|moving| {
            let entry = workers.get(&moving.worker);
            let run = entry.and_then(|entry| entry.runs.get(&moving.task));
            run.is_some_and(|run| run.run == moving.run && run.is_stopping())
        });
        self.active_moves.len()
    }

    fn move_limit(&self) -> usize {
        self.workers.len() / WORKERS_PER_MOVE + MIN_MOVES
    }

    fn priority_of(&self, key: TaskKey) -> u32 {
        let job = self.jobs.get(&key.job);
        let policy = job.and_then(|job| self.queues.policy(&job.request.queue));
        policy.map_or(u32::MAX, |policy| policy.priority)
    }
}

/// The room that runs which are about to move take on other workers.
#[derive(Debug, Default)]
pub(super) struct TargetClaims(Vec<(WorkerId, ResourceSize)>);

impl TargetClaims {
    fn size_on(&self, worker: &WorkerId) -> ResourceSize {
        let claims = self.0.iter().filter(|(target, _)| target == worker);
        claims.fold(ResourceSize::default(), |sum, (_, size)| sum.plus(size))
    }
}

/// Returns whether a run progresses slowly and may be moved.
fn is_held_up(run: &RunEntry) -> bool {
    let is_slow = run
        .progress
        .speed
        .is_some_and(|speed| speed.relative < SLOW_SPEED);
    is_slow && may_move(run) && run.run <= MOVED_RUN_LIMIT
}

/// Returns whether a run may be stopped to be placed on another worker.
pub(super) fn may_move(run: &RunEntry) -> bool {
    let is_running = matches!(run.phase, RunPhase::Running(_));
    is_running && !run.is_stopping() && !run.is_long_running
}

/// Returns a number of seconds as a time span.
fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}
