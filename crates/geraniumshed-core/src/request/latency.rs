//! Estimates of a latency's mean and quantiles, updated with each sample.

use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;

/// The maximum weight of a new sample in the moving mean.
const MAX_SAMPLE_WEIGHT: f64 = 1.0 / 32.0;

/// The minimum weight of a new sample in the moving mean.
const MIN_SAMPLE_WEIGHT: f64 = 1.0 / 1024.0;

/// The time constant of the moving mean, as long as the samples' weights are within their bounds.
const MEAN_WINDOW: Duration = Duration::from_secs(1);

/// The value at which samples are clipped for the mean, in multiples of the mean.
///
/// After a pause of the daemon, all attempts in flight look slow at once. Clipping keeps them from
/// being mistaken for a new latency of the service.
const OUTLIER_RATIO: f64 = 8.0;

/// The step by which a sample moves the quantile estimates, as a share of the mean.
const QUANTILE_STEP: f64 = 0.2;

/// The number of samples from which on the estimates are reliable.
const MIN_SAMPLES: u32 = 20;

/// A streaming estimate of a latency's mean, 95th and 99th percentile.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LatencyEstimate {
    mean: f64,
    p95: f64,
    p99: f64,
    samples: u32,
    last_recorded: TimePoint,
}

impl LatencyEstimate {
    /// Updates the estimates with a sample.
    pub fn record(&mut self, now: TimePoint, sample: Duration) {
        let micros = sample.as_secs_f64() * 1e6;
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            *self = Self {
                mean: micros,
                p95: micros,
                p99: micros,
                samples: 1,
                last_recorded: now,
            };
            return;
        }
        let weight = self.weight(now);
        let clipped = micros.min(self.mean * OUTLIER_RATIO);
        self.mean += (clipped - self.mean) * weight;
        self.last_recorded = now;
        self.p95 = step_quantile(self.p95, micros, 0.95, self.mean);
        self.p99 = step_quantile(self.p99, micros, 0.99, self.mean);
    }

    /// Moves the mean towards another one by a share of their difference.
    ///
    /// Lets an estimate that gets no samples lose its influence.
    pub fn decay_towards(&mut self, mean: Duration, share: f64) {
        self.mean += (mean.as_secs_f64() * 1e6 - self.mean) * share;
    }

    /// Returns the mean, or zero before the first sample.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean / 1e6)
    }

    /// Returns the 95th percentile, or `None` while there are too few samples.
    pub fn p95(&self) -> Option<Duration> {
        self.if_reliable(self.p95)
    }

    /// Returns the 99th percentile, or `None` while there are too few samples.
    pub fn p99(&self) -> Option<Duration> {
        self.if_reliable(self.p99)
    }

    /// Returns the weight of a new sample.
    ///
    /// The weight is proportional to the time since the last sample, within its bounds. The first
    /// samples weigh at least as much as in a plain average.
    fn weight(&self, now: TimePoint) -> f64 {
        let share = now.since(self.last_recorded).as_secs_f64() / MEAN_WINDOW.as_secs_f64();
        let weight = share.clamp(MIN_SAMPLE_WEIGHT, MAX_SAMPLE_WEIGHT);
        if self.samples < MIN_SAMPLES {
            return weight.max(1.0 / f64::from(self.samples));
        }
        weight
    }

    fn if_reliable(&self, micros: f64) -> Option<Duration> {
        (self.samples >= MIN_SAMPLES).then(|| Duration::from_secs_f64(micros.max(0.0) / 1e6))
    }
}

/// Moves a quantile's estimate up or down by one sample.
///
/// The steps are weighted so that they cancel out on average once the estimate is at the quantile.
fn step_quantile(estimate: f64, sample: f64, quantile: f64, mean: f64) -> f64 {
    let step = mean * QUANTILE_STEP;
    if sample > estimate {
        estimate + step * quantile
    } else {
        estimate - step * (1.0 - quantile)
    }
}
