//! Running estimates of latency.

use std::time::Duration;

/// The weight of a new sample in the running mean.
const MEAN_WEIGHT: f64 = 1.0 / 32.0;

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
}

impl LatencyEstimate {
    /// Takes one sample into the estimates.
    pub fn record(&mut self, sample: Duration) {
        let micros = sample.as_secs_f64() * 1e6;
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            *self = Self {
                mean: micros,
                p95: micros,
                p99: micros,
                samples: 1,
            };
            return;
        }
        let weight = MEAN_WEIGHT.max(1.0 / f64::from(self.samples));
        self.mean += (micros - self.mean) * weight;
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
