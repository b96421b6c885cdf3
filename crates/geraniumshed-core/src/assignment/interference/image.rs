//! What the store keeps of interference.

use smol_str::SmolStr;

/// What was learned of interference, as it is stored.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct InterferenceImage {
    /// What is known of each image with a latency target.
    pub served: Vec<ServedImageRecord>,
}

/// What is known of an image with a latency target.
#[derive(Debug, Clone, PartialEq)]
pub struct ServedImageRecord {
    /// The image.
    pub image: SmolStr,
    /// The lowest tail that was seen, in seconds.
    pub lowest_tail: f64,
    /// The pressure without best-effort runs that is rarely exceeded.
    pub peak: f64,
    /// How the best-effort images press on it.
    pub slopes: Vec<SlopeImage>,
}

/// How a best-effort image presses on an image with a latency target.
#[derive(Debug, Clone, PartialEq)]
pub struct SlopeImage {
    /// The best-effort image.
    pub image: SmolStr,
    /// The pressure that each processor adds.
    pub slope: f64,
    /// The weight of the evidence.
    pub weight: f64,
}
