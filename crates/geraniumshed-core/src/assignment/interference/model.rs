//! The model of interference.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;

use super::fit::LinearFit;
use super::image::{InterferenceImage, ServedImageRecord};

/// The first guess of the pressure that tails stay below nearly always.
const FIRST_PEAK: f64 = 0.6;
/// The part of all readings that is above the peak.
const PEAK_SHARE: f64 = 0.08;
/// The step by which the peak follows a reading.
const PEAK_STEP: f64 = 0.02;
/// The room that is left for best-effort runs beside any image, as a pressure.
const LEAST_ROOM: f64 = 0.06;
/// The processors of a typical best-effort run.
const TYPICAL_PROCESSORS: f64 = 3.5;

/// Processors in use by best-effort runs of one image.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadShare {
    /// The image.
    pub image: SmolStr,
    /// The processors, in whole ones.
    pub processors: f64,
}

impl LoadShare {
    /// Returns a part of the load.
    #[must_use]
    pub fn scaled(&self, part: f64) -> Self {
        Self {
            image: self.image.clone(),
            processors: self.processors * part,
        }
    }
}

/// What is known of an image with a latency target.
#[derive(Debug, Clone)]
struct ServedImage {
    /// The lowest tail that was seen, in seconds.
    lowest_tail: f64,
    /// The pressure that best-effort runs add, for each processor in use.
    fit: LinearFit,
    /// The pressure without best-effort runs that is rarely exceeded.
    peak: f64,
}

/// How best-effort runs raise the tail latencies of the runs beside them.
///
/// The pressure on a run is 0 at its lowest tail and approaches 1 as the tail grows without bound,
/// like the utilization of a queue. A run's own load and the best-effort runs beside it add to it.
#[derive(Debug, Clone, Default)]
pub struct InterferenceModel {
    images: BTreeMap<SmolStr, ServedImage>,
}

impl InterferenceModel {
    /// Restores what an earlier planner had learned.
    pub fn restore(image: InterferenceImage) -> Self {
        let images = image.served.into_iter().map(|record| {
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

    /// Returns what the store keeps.
    pub fn image(&self) -> InterferenceImage {
        let record = |(image, served): (&SmolStr, &ServedImage)| ServedImageRecord {
            image: image.clone(),
            lowest_tail: served.lowest_tail,
            peak: served.peak,
            slopes: served.fit.slope_images(),
        };
        InterferenceImage {
            served: self.images.iter().map(record).collect(),
        }
    }

    /// Takes note of a tail, and returns the pressure that it shows.
    pub fn saw_tail(&mut self, served: &SmolStr, tail: Duration) -> f64 {
        let tail = tail.as_secs_f64();
        let image = self.image_mut(served, tail);
        if tail > 0.0 {
            image.lowest_tail = image.lowest_tail.min(tail);
        }
        image.pressure(tail)
    }

    /// Takes note of a change of pressure, and of the change of load beside it.
    pub fn saw_change(&mut self, served: &SmolStr, change: f64, load: &[LoadShare], weight: f64) {
        if let Some(image) = self.images.get_mut(served) {
            image.fit.observe(load, change, weight);
        }
    }

    /// Takes note of the pressure that an image's own load makes.
    pub fn saw_own_pressure(&mut self, served: &SmolStr, pressure: f64, weight: f64) {
        if let Some(image) = self.images.get_mut(served) {
            image.follow_peak(pressure, weight);
        }
    }

    /// Returns the pressure that a tail shows.
    pub fn pressure(&self, served: &SmolStr, tail: Duration) -> f64 {
        let image = self.images.get(served);
        image.map_or(0.0, |image| image.pressure(tail.as_secs_f64()))
    }

    /// Returns the pressure that each processor of a best-effort image adds.
    pub fn slope(&self, served: &SmolStr, image: &SmolStr) -> f64 {
        match self.images.get(served) {
            Some(one) => one.fit.slope(image),
            None => LinearFit::default().slope(image),
        }
    }

    /// Returns the pressure that a run of a best-effort image adds to each image that is known.
    pub fn pressures(&self, image: &SmolStr, processors: f64) -> BTreeMap<SmolStr, f64> {
        let pressure = |(served, known): (&SmolStr, &ServedImage)| {
            (served.clone(), known.fit.slope(image) * processors)
        };
        self.images.iter().map(pressure).collect()
    }

    /// Returns the pressure that best-effort runs add.
    pub fn added(&self, served: &SmolStr, beside: &[LoadShare]) -> f64 {
        let slope = |share: &LoadShare| self.slope(served, &share.image) * share.processors;
        beside.iter().map(slope).sum()
    }

    /// Returns the pressure that best-effort runs may add without raising tails above a target.
    pub fn room(&self, served: &SmolStr, target: Duration) -> f64 {
        let image = self.images.get(served);
        let peak = image.map_or(FIRST_PEAK, |image| image.peak);
        (self.pressure(served, target) - peak).max(LEAST_ROOM)
    }

    /// Returns the number of best-effort images of which not even a single run fits beside an image.
    pub fn closed_count(&self, served: &SmolStr, target: Duration) -> usize {
        let room = self.room(served, target);
        let slopes = self.images.get(served).map(|image| image.fit.slopes());
        let is_closed = |slope: &f64| slope * TYPICAL_PROCESSORS > room;
        slopes.into_iter().flatten().filter(is_closed).count()
    }

    fn image_mut(&mut self, served: &SmolStr, tail: f64) -> &mut ServedImage {
        let new = || ServedImage {
            lowest_tail: if tail > 0.0 { tail } else { f64::MAX },
            fit: LinearFit::default(),
            peak: FIRST_PEAK,
        };
        self.images.entry(served.clone()).or_insert_with(new)
    }
}

impl ServedImage {
    fn pressure(&self, tail: f64) -> f64 {
        1.0 - self.lowest_tail / tail.max(self.lowest_tail)
    }

    fn follow_peak(&mut self, own: f64, weight: f64) {
        let is_above = f64::from(u8::from(own > self.peak));
        self.peak += PEAK_STEP * weight * (is_above - PEAK_SHARE);
    }
}
