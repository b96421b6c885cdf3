//! The settings of the interface between daemons.

use std::time::Duration;

use geraniumshed_core::member::PeerTiming;

/// The settings of the interface between daemons.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerSettings {
    /// How often peers are asked, and when they count as dead.
    pub timing: PeerTiming,
    /// The time within which a heartbeat has to be answered.
    pub beat_timeout: Duration,
    /// The time to make a connection.
    pub connect_timeout: Duration,
    /// The time after which a connection whose data is not acknowledged is given up.
    pub silence_timeout: Duration,
    /// The bytes that one call or answer may have.
    pub frame_limit: usize,
    /// The connections that are accepted at once.
    pub connection_limit: usize,
    /// The calls that one connection may have in flight.
    pub call_limit: usize,
}

impl Default for PeerSettings {
    fn default() -> Self {
        Self {
            timing: PeerTiming::default(),
            beat_timeout: Duration::from_millis(700),
            connect_timeout: Duration::from_millis(500),
            silence_timeout: Duration::from_secs(3),
            frame_limit: 16 * 1024 * 1024,
            connection_limit: 256,
            call_limit: 256,
        }
    }
}
