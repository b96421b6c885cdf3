//! Running estimates of latency.

use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;

/// The highest weight of a new sample in the running mean.
const MOST_WEIGHT: f64 = 1.0 / 32.0;

/// The lowest weight of a new sample in the running mean.
const LEAST_WEIGHT: f64 = 1.0 / 1024.0;

/// The time over which the mean follows its samples when there are many.
const MEAN_SPAN: Duration = Duration::from_secs(1);

/// The most that a sample counts for, in multiples of the mean.
///
/// After a pause of the daemon, all attempts in flight look slow at once; they must not pass for
/// the service's new latency.
const OUTLIER_RATIO: f64 = 8.0;

/// The step by which quantile estimates move, as a share of the mean.
const QUANTILE_STEP: f64 = 0.2;

/// The samples after which the estimates count as known.
const KNOWN_SAMPLES: u32 = 20;

/// A running estimate of the mean and of upper quantiles of a latency.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LatencyEstimate {
    mean: f64,
    p95: f64,
    p99: f64,
    samples: u32,
    recorded: TimePoint,
}

impl LatencyEstimate {
    /// Takes one sample into the estimates.
    pub fn record(&mut self, now: TimePoint, sample: Duration) {
        let micros = sample.as_secs_f64() * 1e6;
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            *self = Self {
                mean: micros,
                p95: micros,
                p99: micros,
                samples: 1,
                recorded: now,
            };
            return;
        }
        let weight = self.weight(now);
        let clipped = micros.min(self.mean * OUTLIER_RATIO);
        self.mean += (clipped - self.mean) * weight;
        self.recorded = now;
        self.p95 = step_quantile(self.p95, micros, 0.95, self.mean);
        self.p99 = step_quantile(self.p99, micros, 0.99, self.mean);
    }

    /// Moves the mean towards another one, for an estimate that gets no samples.
    pub fn decay_towards(&mut self, mean: Duration, share: f64) {
        self.mean += (mean.as_secs_f64() * 1e6 - self.mean) * share;
    }

    /// Returns the mean, or zero before the first sample.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean / 1e6)
    }

    /// Returns the 95th percentile, or `None` while too few samples are known.
    pub fn p95(&self) -> Option<Duration> {
        self.known(self.p95)
    }

    /// Returns the 99th percentile, or `None` while too few samples are known.
    pub fn p99(&self) -> Option<Duration> {
        self.known(self.p99)
    }

    /// Returns the weight of a new sample: the less, the sooner it follows the one before.
    fn weight(&self, now: TimePoint) -> f64 {
        let share = now.since(self.recorded).as_secs_f64() / MEAN_SPAN.as_secs_f64();
        let weight = share.clamp(LEAST_WEIGHT, MOST_WEIGHT);
        if self.samples < KNOWN_SAMPLES {
            return weight.max(1.0 / f64::from(self.samples));
        }
        weight
    }

    fn known(&self, micros: f64) -> Option<Duration> {
        (self.samples >= KNOWN_SAMPLES).then(|| Duration::from_secs_f64(micros.max(0.0) / 1e6))
    }
}

/// Moves a quantile's estimate up or down, so that it rests where the quantile is.
fn step_quantile(estimate: f64, sample: f64, quantile: f64, mean: f64) -> f64 {
    let step = mean * QUANTILE_STEP;
    if sample > estimate {
        estimate + step * quantile
    } else {
        estimate - step * (1.0 - quantile)
    }
}
