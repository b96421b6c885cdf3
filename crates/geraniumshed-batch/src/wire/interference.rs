//! The stored form of the learned interference between images.

use geraniumshed_core::assignment::{InterferenceSnapshot, ServedImageRecord, SlopeRecord};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The learned interference between images, as it is stored.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InterferenceWire {
    served: Vec<ServedWire>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct ServedWire {
    image: SmolStr,
    lowest_tail: f64,
    peak: f64,
    /// The image, slope and weight of each best-effort image.
    slopes: Vec<(SmolStr, f32, f32)>,
}

impl From<InterferenceSnapshot> for InterferenceWire {
    fn from(snapshot: InterferenceSnapshot) -> Self {
        Self {
            served: snapshot.served.into_iter().map(ServedWire::from).collect(),
        }
    }
}

/// Leaves out what isn't finite or in range: it can't have been learned, and all that is learned later
/// would depend on it.
impl From<InterferenceWire> for InterferenceSnapshot {
    fn from(wire: InterferenceWire) -> Self {
        let served = wire.served.into_iter().filter(ServedWire::is_valid);
        Self {
            served: served.map(ServedImageRecord::from).collect(),
        }
    }
}

impl ServedWire {
    fn is_valid(&self) -> bool {
        let is_tail = self.lowest_tail.is_finite() && self.lowest_tail > 0.0;
        let is_valid = is_tail && self.peak.is_finite();
        if !is_valid {
            log::warn!(image:% = self.image, lowest_tail = self.lowest_tail, peak = self.peak; "stored interference is out of range; learning it again");
        }
        is_valid
    }
}

/// Returns whether a stored slope and its weight can have been learned.
fn is_valid_slope((image, slope, weight): &(SmolStr, f32, f32)) -> bool {
    let is_valid = slope.is_finite() && weight.is_finite() && *weight >= 0.0;
    if !is_valid {
        log::warn!(image:% = image, slope = slope, weight = weight; "stored slope is out of range; learning it again");
    }
    is_valid
}

impl From<ServedImageRecord> for ServedWire {
    #[expect(
        clippy::cast_possible_truncation,
        reason = "estimates don't need the precision, and records should stay small"
    )]
    fn from(record: ServedImageRecord) -> Self {
        let slope = |one: SlopeRecord| (one.image, one.slope as f32, one.weight as f32);
        Self {
            image: record.image,
            lowest_tail: record.lowest_tail,
            peak: record.peak,
            slopes: record.slopes.into_iter().map(slope).collect(),
        }
    }
}

impl From<ServedWire> for ServedImageRecord {
    fn from(wire: ServedWire) -> Self {
        let slope = |(image, slope, weight)| SlopeRecord {
            image,
            slope: f64::from(slope),
            weight: f64::from(weight),
        };
        let slopes = wire.slopes.into_iter().filter(is_valid_slope);
        Self {
            image: wire.image,
            lowest_tail: wire.lowest_tail,
            peak: wire.peak,
            slopes: slopes.map(slope).collect(),
        }
    }
}
