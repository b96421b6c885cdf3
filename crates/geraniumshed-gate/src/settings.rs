//! The settings of a gate.

use std::time::Duration;

/// The settings of a gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GateSettings {
    /// What the gate serves, in log lines.
    pub peer: &'static str,
    /// The memory in bytes that all connections may hold together.
    pub memory_limit: usize,
    /// The memory in bytes up to which a connection's request is counted. Handlers keep no more of a
    /// request in memory than this.
    pub connection_memory: usize,
    /// The number of connections.
    pub connection_limit: usize,
    /// The size in bytes of a request's line and headers, and of what is read ahead of a request.
    pub header_bytes: usize,
    /// The number of a request's headers.
    pub header_count: usize,
    /// The time from the first byte of a request within which its headers have to arrive.
    pub header_timeout: Duration,
    /// The time within which the next bytes of a request's body have to arrive.
    pub body_timeout: Duration,
    /// The time after which a connection without a request is closed.
    pub idle_timeout: Duration,
    /// The time within which a client has to take the next bytes of an answer.
    pub write_timeout: Duration,
}

impl Default for GateSettings {
    /// Returns settings for a listener with few and small requests, such as readiness checks.
    fn default() -> Self {
        Self {
            peer: "client",
            memory_limit: 1_000_000,
            connection_memory: 32_768,
            connection_limit: 16,
            header_bytes: 24_576,
            header_count: 100,
            header_timeout: Duration::from_secs(3),
            body_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
            write_timeout: Duration::from_secs(5),
        }
    }
}
