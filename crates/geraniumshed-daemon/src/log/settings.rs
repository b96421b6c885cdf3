//! The settings of the log's followers and writers.

use std::time::Duration;

/// The settings of the log's followers and writers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogSettings {
    /// The longest time that a read waits for a new entry.
    pub poll_wait: Duration,
    /// The appends a second that one daemon sends, over all its streams.
    pub append_rate: u32,
    /// The appends that may go at once after a quiet time.
    pub append_burst: u32,
    /// The time after which an append that is not confirmed is given up.
    pub append_patience: Duration,
    /// The shortest delay before a failed call is tried again.
    pub retry_floor: Duration,
    /// The longest delay before a failed call is tried again.
    pub retry_ceiling: Duration,
    /// The events that one entry may hold, unless a single append brings more.
    pub batch_limit: usize,
    /// The appends that may wait for their writer, and the entries for their reader.
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
