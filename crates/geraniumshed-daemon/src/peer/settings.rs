//! The settings of the interface between daemons.

use std::time::Duration;

use geraniumshed_core::member::PeerTiming;

/// The settings of the interface between daemons.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerSettings {
    /// The interval of heartbeats, and the time after which a silent peer is suspected.
    pub timing: PeerTiming,
    /// The timeout of a heartbeat.
    pub heartbeat_timeout: Duration,
    /// The timeout of connecting.
    pub connect_timeout: Duration,
    /// The time after which a connection with unacknowledged data is closed.
    pub silence_timeout: Duration,
    /// The maximum size in bytes of a call or an answer.
    pub frame_limit: usize,
    /// The maximum number of accepted connections.
    pub connection_limit: usize,
    /// The maximum number of calls in flight on one connection.
    pub call_limit: usize,
}

impl Default for PeerSettings {
    fn default() -> Self {
        Self {
            timing: PeerTiming::default(),
            heartbeat_timeout: Duration::from_millis(700),
            connect_timeout: Duration::from_millis(500),
            silence_timeout: Duration::from_secs(3),
            frame_limit: 16 * 1024 * 1024,
            connection_limit: 256,
            call_limit: 256,
        }
    }
}
