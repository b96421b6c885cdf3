//! The faults that a proxy injects.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// The delay that a lost chunk causes, which simulates a TCP retransmission.
const RETRANSMISSION_DELAY: Duration = Duration::from_millis(200);

/// How a proxy handles connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProxyMode {
    /// Connections are forwarded.
    #[default]
    Pass,
    /// New connections are reset at once.
    Refuse,
    /// Connections are accepted, but nothing is forwarded.
    Silent,
}

/// A direction of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProxyDirection {
    /// From the client to the server.
    ToServer,
    /// From the server to the client.
    ToClient,
}

/// The faults that a proxy injects into its connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ProxyPlan {
    /// How connections are handled.
    pub mode: ProxyMode,
    /// The delay added in each direction, in microseconds.
    pub delay_us: u64,
    /// The maximum random addition to the delay, in microseconds.
    pub jitter_us: u64,
    /// The probability that a chunk is lost and retransmitted.
    pub loss: f64,
    /// The direction in which nothing is forwarded, if any.
    pub blocked: Option<ProxyDirection>,
}

impl ProxyPlan {
    /// Draws the delay of a chunk.
    pub(super) fn draw_delay(&self, rng: &mut ChaCha8Rng) -> Duration {
        let jitter = match self.jitter_us {
            0 => 0,
            limit => rng.random_range(0..=limit),
        };
        let delay = Duration::from_micros(self.delay_us + jitter);
        let loss = self.loss.clamp(0.0, 1.0);
        if loss > 0.0 && rng.random_bool(loss) {
            return delay + RETRANSMISSION_DELAY;
        }
        delay
    }
}
