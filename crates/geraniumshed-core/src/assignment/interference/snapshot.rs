//! The state of the interference model, as it is stored.

use smol_str::SmolStr;

/// The state of the interference model, as it is stored.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct InterferenceSnapshot {
    /// The estimates for each served image.
    pub served: Vec<ServedImageRecord>,
}

/// The estimates for a served image.
#[derive(Debug, Clone, PartialEq)]
pub struct ServedImageRecord {
    /// The image.
    pub image: SmolStr,
    /// The lowest tail latency that was observed, in seconds.
    pub lowest_tail: f64,
    /// The high quantile of the pressure without best-effort runs.
    pub peak: f64,
    /// The pressure that each best-effort image adds.
    pub slopes: Vec<SlopeRecord>,
}

/// The pressure that a best-effort image adds to a served image.
#[derive(Debug, Clone, PartialEq)]
pub struct SlopeRecord {
    /// The best-effort image.
    pub image: SmolStr,
    /// The pressure per processor in use.
    pub slope: f64,
    /// The weight of the evidence for the slope.
    pub weight: f64,
}
