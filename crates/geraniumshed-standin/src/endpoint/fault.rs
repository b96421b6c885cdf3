//! The faults of an endpoint.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How an endpoint fails.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointFault {
    /// The endpoint works.
    #[default]
    None,
    /// Connections are refused.
    Refuse,
    /// Connections are accepted and nothing is ever answered.
    Silent,
    /// Each request runs and is answered late.
    Late {
        /// The time by which each answer is late, in milliseconds.
        by_ms: u64,
    },
    /// Each request runs and its answer is cut off half-way.
    CutBody,
    /// Each request runs and is answered as if it were another one.
    WrongRequest,
    /// Each request takes this many times as long.
    Slow {
        /// The factor.
        factor: u32,
    },
    /// Connections are refused and taken in turn.
    Flap {
        /// The length of each turn, in milliseconds.
        period_ms: u64,
    },
}

impl EndpointFault {
    /// Returns the factor on the time to serve.
    pub(super) fn factor(self) -> u32 {
        match self {
            Self::Slow { factor } => factor,
            _ => 1,
        }
    }

    /// Returns the time by which an answer is late.
    pub(super) fn lateness(self) -> Duration {
        match self {
            Self::Late { by_ms } => Duration::from_millis(by_ms),
            _ => Duration::ZERO,
        }
    }
}
