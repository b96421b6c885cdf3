//! The settings of the log's followers and writers.

use std::time::Duration;

/// The settings of the log's followers and writers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogSettings {
    /// The maximum time that a read waits for a new entry.
    pub poll_wait: Duration,
    /// The maximum number of appends per second of one daemon, over all its streams.
    pub append_rate: u32,
    /// The number of appends that may be sent at once after an idle time.
    pub append_burst: u32,
    /// The time after which an unconfirmed append fails.
    pub append_patience: Duration,
    /// The minimum delay before a failed call is retried.
    pub retry_floor: Duration,
    /// The maximum delay before a failed call is retried.
    pub retry_ceiling: Duration,
    /// The maximum number of events in one entry, unless a single append has more.
    pub batch_limit: usize,
    /// The maximum number of appends that wait for a writer, and of entries that wait for a reader.
    pub queue_limit: usize,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            poll_wait: Duration::from_secs(4),
            append_rate: 15,
            append_burst: 5,
            append_patience: Duration::from_secs(5),
            retry_floor: Duration::from_millis(50),
            retry_ceiling: Duration::from_secs(1),
            batch_limit: 512,
            queue_limit: 256,
        }
    }
}
