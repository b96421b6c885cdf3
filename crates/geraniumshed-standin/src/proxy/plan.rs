//! What a proxy does to its connections.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// The time by which a lost packet delays what follows it, as a retransmission would.
const RETRANSMISSION: Duration = Duration::from_millis(200);

/// How a proxy treats new connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProxyMode {
    /// Connections are passed on.
    #[default]
    Pass,
    /// Connections are closed at once.
    Refuse,
    /// Connections are accepted and nothing is passed on.
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

/// What a proxy does to its connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ProxyPlan {
    /// How new connections are treated.
    pub mode: ProxyMode,
    /// The delay of each direction, in microseconds.
    pub delay_us: u64,
    /// What is added to the delay at most, by chance, in microseconds.
    pub jitter_us: u64,
    /// The chance that a chunk is lost and sent again.
    pub loss: f64,
    /// A direction in which nothing is passed on.
    pub blocked: Option<ProxyDirection>,
}

impl ProxyPlan {
    /// Draws the delay of one chunk.
    pub(super) fn draw_delay(&self, rng: &mut ChaCha8Rng) -> Duration {
        let jitter = match self.jitter_us {
            0 => 0,
            limit => rng.random_range(0..=limit),
        };
        let delay = Duration::from_micros(self.delay_us + jitter);
        let loss = self.loss.clamp(0.0, 1.0);
        if loss > 0.0 && rng.random_bool(loss) {
            return delay + RETRANSMISSION;
        }
        delay
    }
}
