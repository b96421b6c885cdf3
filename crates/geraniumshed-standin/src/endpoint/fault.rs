//! The injected faults of an endpoint.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// An injected fault of an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointFault {
    /// The endpoint works normally.
    #[default]
    None,
    /// Connections are refused.
    Refuse,
    /// Connections are accepted but requests get no response.
    Silent,
    /// Each request runs, but its response is delayed.
    Late {
        /// The delay of each response, in milliseconds.
        by_ms: u64,
    },
    /// Each request runs, but its response is truncated half-way.
    CutBody,
    /// Each request runs, but its response names another request.
    WrongRequest,
    /// The service time of each request is multiplied.
    Slow {
        /// The factor.
        factor: u32,
    },
    /// The endpoint alternates between refusing and accepting connections.
    Flap {
        /// The length of each phase, in milliseconds.
        period_ms: u64,
    },
}

impl EndpointFault {
    /// Returns the factor on the service time.
    pub(super) fn factor(self) -> u32 {
        match self {
            Self::Slow { factor } => factor,
            _ => 1,
        }
    }

    /// Returns the delay added to each response.
    pub(super) fn response_delay(self) -> Duration {
        match self {
            Self::Late { by_ms } => Duration::from_millis(by_ms),
            _ => Duration::ZERO,
        }
    }
}
