//! The interference model.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;

use super::fit::LinearFit;
use super::snapshot::{InterferenceSnapshot, ServedImageRecord};

/// The initial estimate of an image's peak pressure.
const INITIAL_PEAK: f64 = 0.6;
/// The fraction of readings that are above the peak, which makes the peak a quantile.
const PEAK_SHARE: f64 = 0.08;
/// The step size of the peak's update with a reading of full weight.
const PEAK_STEP: f64 = 0.02;
/// The headroom that is granted to best-effort runs beside any image, as a pressure.
const MIN_HEADROOM: f64 = 0.06;
/// The number of processors of a typical best-effort run.
const TYPICAL_PROCESSORS: f64 = 3.5;

/// The processors that best-effort runs of one image use.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadShare {
    /// The image.
    pub image: SmolStr,
    /// The number of processors in use. May be fractional.
    pub processors: f64,
}

impl LoadShare {
    /// Returns a fraction of the load.
    #[must_use]
    pub fn scaled(&self, fraction: f64) -> Self {
        Self {
            image: self.image.clone(),
            processors: self.processors * fraction,
        }
    }
}

/// The estimates for a served image.
#[derive(Debug, Clone)]
struct ServedImage {
    /// The lowest tail latency that was observed, in seconds.
    lowest_tail: f64,
    /// The pressure that best-effort images add per processor in use.
    fit: LinearFit,
    /// The high quantile of the pressure without best-effort runs.
    peak: f64,
}

/// An online model of how best-effort runs raise the tail latencies of runs on the same worker.
///
/// It works with _pressure_, which is 0 at the lowest tail latency and approaches 1 as the tail
/// latency grows without bound, like the utilization of a queue. The pressure on a run is the sum
/// of the pressure from its own load and of that from each best-effort run on the same worker.
#[derive(Debug, Clone, Default)]
pub struct InterferenceModel {
    images: BTreeMap<SmolStr, ServedImage>,
}

impl InterferenceModel {
    /// Restores the model from its stored state.
    pub fn restore(snapshot: InterferenceSnapshot) -> Self {
        let images = snapshot.served.into_iter().map(|record| {
            let served = ServedImage {
                lowest_tail: record.lowest_tail,
                fit: LinearFit::restore(record.slopes),
                peak: record.peak,
            };
            (record.image, served)
        });
        Self {
            images: images.collect(),
        }
    }

    /// Returns the state to store.
    pub fn snapshot(&self) -> InterferenceSnapshot {
        let record = |(image, served): (&SmolStr, &ServedImage)| ServedImageRecord {
            image: image.clone(),
            lowest_tail: served.lowest_tail,
            peak: served.peak,
            slopes: served.fit.slope_records(),
        };
        InterferenceSnapshot {
            served: self.images.iter().map(record).collect(),
        }
    }

    /// Records a tail latency, and returns the pressure that corresponds to it.
    pub fn observe_tail(&mut self, served: &SmolStr, tail: Duration) -> f64 {
        let tail = tail.as_secs_f64();
        let image = self.image_mut(served, tail);
        if tail > 0.0 {
            image.lowest_tail = image.lowest_tail.min(tail);
        }
        image.pressure(tail)
    }

    /// Records a change of the pressure on an image together with the change of the best-effort
    /// load beside it.
    pub fn observe_change(
        &mut self,
        served: &SmolStr,
        change: f64,
        load: &[LoadShare],
        weight: f64,
    ) {
        if let Some(image) = self.images.get_mut(served) {
            image.fit.observe(load, change, weight);
        }
    }

    /// Records the pressure from an image's own load.
    pub fn observe_own_pressure(&mut self, served: &SmolStr, pressure: f64, weight: f64) {
        if let Some(image) = self.images.get_mut(served) {
            image.update_peak(pressure, weight);
        }
    }

    /// Returns the pressure that corresponds to a tail latency.
    pub fn pressure(&self, served: &SmolStr, tail: Duration) -> f64 {
        let image = self.images.get(served);
        image.map_or(0.0, |image| image.pressure(tail.as_secs_f64()))
    }

    /// Returns the pressure that a best-effort image adds per processor.
    pub fn slope(&self, served: &SmolStr, image: &SmolStr) -> f64 {
        match self.images.get(served) {
            Some(one) => one.fit.slope(image),
            None => LinearFit::default().slope(image),
        }
    }

    /// Returns the pressure that a run of a best-effort image adds to each known served image.
    pub fn pressures(&self, image: &SmolStr, processors: f64) -> BTreeMap<SmolStr, f64> {
        let pressure = |(served, known): (&SmolStr, &ServedImage)| {
            (served.clone(), known.fit.slope(image) * processors)
        };
        self.images.iter().map(pressure).collect()
    }

    /// Returns the pressure that a best-effort load adds to a served image.
    pub fn added_pressure(&self, served: &SmolStr, loads: &[LoadShare]) -> f64 {
        let slope = |share: &LoadShare| self.slope(served, &share.image) * share.processors;
        loads.iter().map(slope).sum()
    }

    /// Returns the pressure that best-effort runs may add without raising tail latencies above a
    /// target at peak pressure.
    pub fn headroom(&self, served: &SmolStr, target: Duration) -> f64 {
        let image = self.images.get(served);
        let peak = image.map_or(INITIAL_PEAK, |image| image.peak);
        (self.pressure(served, target) - peak).max(MIN_HEADROOM)
    }

    /// Returns the number of best-effort images of which not even a typical single run fits into
    /// the headroom of a served image.
    pub fn excluded_count(&self, served: &SmolStr, target: Duration) -> usize {
        let headroom = self.headroom(served, target);
        let slopes = self.images.get(served).map(|image| image.fit.slopes());
        let is_excluded = |slope: &f64| slope * TYPICAL_PROCESSORS > headroom;
        slopes.into_iter().flatten().filter(is_excluded).count()
    }

    /// Returns the number of times that the slopes of any served image were solved for.
    pub fn solution_count(&self) -> u64 {
        let fits = self.images.values().map(|image| &image.fit);
        fits.map(LinearFit::solution_count).sum()
    }

    fn image_mut(&mut self, served: &SmolStr, tail: f64) -> &mut ServedImage {
        let new = || ServedImage {
            lowest_tail: if tail > 0.0 { tail } else { f64::MAX },
            fit: LinearFit::default(),
            peak: INITIAL_PEAK,
        };
        self.images.entry(served.clone()).or_insert_with(new)
    }
}

impl ServedImage {
    fn pressure(&self, tail: f64) -> f64 {
        1.0 - self.lowest_tail / tail.max(self.lowest_tail)
    }

    fn update_peak(&mut self, own: f64, weight: f64) {
        let is_above = f64::from(u8::from(own > self.peak));
        self.peak += PEAK_STEP * weight * (is_above - PEAK_SHARE);
    }
}
