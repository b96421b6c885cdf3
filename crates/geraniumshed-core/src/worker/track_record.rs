//! What a scheduler observes of a worker: its speed and its incidents.
//!
//! All observations lose their weight within seconds, since a worker may be slow or faulty for a few
//! seconds only.

use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;

use crate::job::JobId;

/// The time constant with which observations of the speed lose their weight.
const SPEED_TIME_CONSTANT: Duration = Duration::from_secs(1);
/// The largest weight of all observations of the speed together, in seconds. It bounds the time for
/// which a worker with many runs keeps a bad record.
const MAX_WEIGHT: f64 = 1.0;
/// The weight of the assumption that a worker has its usual speed, in seconds.
const PRIOR_WEIGHT: f64 = 0.1;
/// The factor of the weight of a healthy speed. A slow worker slows all of its runs, so a single run
/// with its usual speed says more than several slow ones.
const HEALTHY_WEIGHT: f64 = 3.0;
/// The speed from which on a run counts as healthy, relative to its peers. Tasks take up to twice as
/// long as their peers for reasons of their own.
const HEALTHY_SPEED: f64 = 0.6;
/// The speed below which a worker counts as slow, relative to the peers of its runs.
pub const SLOW_SPEED: f64 = 0.33;
/// The largest slowdown that is taken into account, as a binary logarithm.
const MAX_SLOWDOWN: f64 = 4.0;
/// The slowdown that is not penalized, as a binary logarithm. Estimates are off by a factor of two.
const TOLERATED_SLOWDOWN: f64 = 0.75;
/// The time without observations after which a slow worker counts as usual again.
const FORGET_TIME: Duration = Duration::from_secs(4);
/// The time constant with which incidents lose their weight.
const INCIDENT_TIME_CONSTANT: Duration = Duration::from_secs(3);
/// The weight of an incident that may have another cause than the worker.
const DOUBTFUL_INCIDENT: f64 = 0.5;
/// The largest weight of all incidents together.
const MAX_INCIDENTS: f64 = 3.0;
/// The time within which several incidents count as one, since one cause ends many runs at once.
const INCIDENT_INTERVAL: Duration = Duration::from_millis(500);
/// The penalty, in thousandths of a processor, for each halving of the speed. The usual slow worker,
/// eight times as slow, then costs more than a place away from the preferred rack.
const SLOWDOWN_PENALTY: f64 = 40_000.0;
/// The penalty, in thousandths of a processor, for each incident.
const INCIDENT_PENALTY: f64 = 24_000.0;
/// The penalty, in thousandths of a processor, of a slow worker for each run whose speed there isn't
/// known yet. A worker is tested again with one run at a time.
const UNTESTED_PENALTY: f64 = 24_000.0;
/// The fraction of the penalty that counts where most workers of a zone or a rack have a bad record.
const PARTIAL_CREDENCE: f64 = 0.25;

/// The speed of a worker and its incidents, aged within seconds.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TrackRecord {
    /// The weight of the observed speeds, in seconds of run time.
    weight: f64,
    /// The weighted sum of the slowdowns, as binary logarithms.
    slowdown_sum: f64,
    /// When the weights were last aged.
    aged_at: TimePoint,
    /// When a speed was last observed.
    observed_at: Option<TimePoint>,
    /// When a healthy speed was last observed.
    healthy_at: Option<TimePoint>,
    /// Since when the worker counts as slow.
    slow_since: Option<TimePoint>,
    /// The weight of the incidents.
    incidents: f64,
    /// When the incidents were last aged.
    incidents_aged_at: TimePoint,
    /// The time of the newest incident.
    incident_at: Option<TimePoint>,
    /// The job of the newest failure since the last success.
    failed_job: Option<JobId>,
    /// How far the record counts.
    credence: RecordCredence,
}

/// How far the record of a worker counts. Where many workers have a bad record, they have a cause in
/// common, which is not a fault of each worker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum RecordCredence {
    /// Not at all, since so many workers look slow that it is the load or the estimates.
    None,
    /// In part, since most workers of the zone or the rack have a bad record.
    Partial,
    /// In full.
    #[default]
    Full,
}

/// A bad record, as it is stored for a successor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoredTrack {
    /// Whether the worker counts as slow.
    pub is_slow: bool,
    /// The speed relative to the peers of its runs, in percent.
    pub speed_percent: u32,
    /// The weight of the incidents, in percent.
    pub incident_percent: u32,
}

/// A change of what a record says about the speed of its worker.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SpeedChange {
    /// The worker is slow, at this speed relative to the peers of its runs.
    Slow(f64),
    /// The worker isn't known to be slow any longer, after this time.
    Usual(Duration),
}

impl TrackRecord {
    /// Records the speed of a run relative to its peers, which was observed over a span.
    pub fn observe_speed(&mut self, now: TimePoint, speed: f64, span: Duration) {
        self.age(now);
        self.observed_at = Some(now);
        let factor = if speed >= HEALTHY_SPEED {
            self.healthy_at = Some(now);
            HEALTHY_WEIGHT
        } else {
            1.0
        };
        let weight = span.as_secs_f64() * factor;
        let slowdown = -speed.max(f64::MIN_POSITIVE).log2();
        self.weight += weight;
        self.slowdown_sum += weight * slowdown.clamp(0.0, MAX_SLOWDOWN);
        if self.weight > MAX_WEIGHT {
            self.slowdown_sum *= MAX_WEIGHT / self.weight;
            self.weight = MAX_WEIGHT;
        }
    }

    /// Records a run that failed. Another failure of the same job may be the job's fault.
    pub fn record_failure(&mut self, now: TimePoint, job: JobId) {
        let weight = match self.failed_job.replace(job) {
            None => DOUBTFUL_INCIDENT,
            Some(earlier) if earlier != job => 1.0,
            Some(_) => 0.0,
        };
        self.add_incident(now, weight);
    }

    /// Records a run that succeeded.
    pub fn record_success(&mut self, now: TimePoint) {
        if self.incidents > 0.0 {
            self.incidents = self.incidents(now) / 2.0;
            self.incidents_aged_at = now;
        }
        self.failed_job = None;
    }

    /// Records that the worker's lease has lapsed or that a call got no answer.
    pub fn record_lost_contact(&mut self, now: TimePoint) {
        let is_new = self
            .incident_at
            .is_none_or(|at| now.since(at) >= INCIDENT_INTERVAL);
        if is_new {
            self.add_incident(now, DOUBTFUL_INCIDENT);
        }
    }

    /// Decides whether the worker counts as slow, and returns whether that has changed.
    pub fn assess(&mut self, now: TimePoint) -> Option<SpeedChange> {
        let speed = self.speed(now);
        let Some(since) = self.slow_since else {
            let is_slow = speed < SLOW_SPEED;
            self.slow_since = is_slow.then_some(now);
            return is_slow.then_some(SpeedChange::Slow(speed));
        };
        let newest = self.observed_at.unwrap_or(since);
        let is_forgotten = now.since(newest) >= FORGET_TIME;
        let is_healthy = speed >= HEALTHY_SPEED && self.observed_at == Some(now);
        if !is_forgotten && !is_healthy {
            return None;
        }
        self.slow_since = None;
        Some(SpeedChange::Usual(now.since(since)))
    }

    /// Returns whether the worker counts as slow.
    pub fn is_slow(&self) -> bool {
        self.slow_since.is_some()
    }

    /// Returns since when the worker counts as slow.
    pub fn slow_since(&self) -> Option<TimePoint> {
        self.slow_since
    }

    /// Returns whether a run was observed to have a healthy speed since a point in time.
    pub fn is_healthy_since(&self, since: TimePoint) -> bool {
        self.healthy_at.is_some_and(|at| at >= since)
    }

    /// Returns whether the worker is to be treated as slow, which it isn't while many others look slow
    /// too.
    pub fn is_credibly_slow(&self) -> bool {
        self.is_slow() && self.credence == RecordCredence::Full
    }

    /// Returns whether a speed was observed within a time span.
    pub fn was_observed_within(&self, now: TimePoint, span: Duration) -> bool {
        self.observed_at.is_some_and(|at| now.since(at) <= span)
    }

    /// Returns whether the incidents still weigh at least half as much as a new one.
    pub fn has_incidents(&self, now: TimePoint) -> bool {
        self.incidents(now) >= DOUBTFUL_INCIDENT / 2.0
    }

    /// Returns whether nothing is held against the worker.
    pub fn is_unremarkable(&self, now: TimePoint) -> bool {
        !self.is_slow() && !self.has_incidents(now) && self.credence == RecordCredence::Full
    }

    /// Returns the record to store, if it is a bad one.
    pub fn stored(&self, now: TimePoint) -> Option<StoredTrack> {
        let is_bad = self.is_slow() || self.has_incidents(now);
        is_bad.then(|| StoredTrack {
            is_slow: self.is_slow(),
            speed_percent: whole_percent(self.speed(now)),
            incident_percent: whole_percent(self.incidents(now)),
        })
    }

    /// Continues the record that an earlier planner has stored.
    pub fn restore(&mut self, now: TimePoint, stored: StoredTrack) {
        self.incidents = (f64::from(stored.incident_percent) / 100.0).min(MAX_INCIDENTS);
        self.incidents_aged_at = now;
        if stored.is_slow {
            let speed = f64::from(stored.speed_percent.max(1)) / 100.0;
            self.observe_speed(now, speed, Duration::from_secs(1));
            // The worker isn't compared with others before it is observed again.
            self.observed_at = None;
            self.slow_since = Some(now);
        }
    }

    /// Returns how far the record counts.
    pub fn credence(&self) -> RecordCredence {
        self.credence
    }

    /// Sets how far the record counts.
    pub fn set_credence(&mut self, credence: RecordCredence) {
        self.credence = credence;
    }

    /// Returns the worker's speed relative to the peers of its runs, where 1 is the usual one.
    pub fn speed(&self, now: TimePoint) -> f64 {
        (-self.slowdown(now)).exp2()
    }

    /// Returns the penalty of the worker for a new run, in thousandths of a processor, given how to
    /// count its runs whose speed isn't known yet.
    pub fn penalty(&self, now: TimePoint, count_untested: impl FnOnce() -> usize) -> f64 {
        if self.weight == 0.0 && self.incidents == 0.0 {
            return 0.0;
        }
        let slowdown = (self.slowdown(now) - TOLERATED_SLOWDOWN).max(0.0);
        let untested = if self.is_slow() {
            f64::from(u32::try_from(count_untested() + 1).unwrap_or(u32::MAX))
        } else {
            0.0
        };
        let penalty = slowdown * SLOWDOWN_PENALTY
            + untested * UNTESTED_PENALTY
            + self.incidents(now) * INCIDENT_PENALTY;
        match self.credence {
            RecordCredence::None => 0.0,
            RecordCredence::Partial => penalty * PARTIAL_CREDENCE,
            RecordCredence::Full => penalty,
        }
    }

    /// Returns the mean slowdown as a binary logarithm, which nears 0 as observations age.
    fn slowdown(&self, now: TimePoint) -> f64 {
        let decay = decay(now.since(self.aged_at), SPEED_TIME_CONSTANT);
        self.slowdown_sum * decay / (self.weight * decay + PRIOR_WEIGHT)
    }

    fn age(&mut self, now: TimePoint) {
        let decay = decay(now.since(self.aged_at), SPEED_TIME_CONSTANT);
        self.weight *= decay;
        self.slowdown_sum *= decay;
        self.aged_at = now;
    }

    fn add_incident(&mut self, now: TimePoint, weight: f64) {
        self.incidents = (self.incidents(now) + weight).min(MAX_INCIDENTS);
        self.incidents_aged_at = now;
        self.incident_at = Some(now);
    }

    fn incidents(&self, now: TimePoint) -> f64 {
        if self.incidents == 0.0 {
            return 0.0;
        }
        self.incidents * decay(now.since(self.incidents_aged_at), INCIDENT_TIME_CONSTANT)
    }
}

fn decay(span: Duration, time_constant: Duration) -> f64 {
    (-span.as_secs_f64() / time_constant.as_secs_f64()).exp()
}

/// Returns a fraction as a whole number of percents.
pub(crate) fn whole_percent(fraction: f64) -> u32 {
    let percent = (0..=400_u32)
        .rev()
        .find(|one| f64::from(*one) <= fraction * 100.0);
    percent.unwrap_or(0)
}
