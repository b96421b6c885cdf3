//! Why connections and requests are refused.

use std::sync::atomic::{AtomicU64, Ordering};

/// Why a connection or a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalCause {
    /// Too many connections are open, and none can be closed.
    Connections,
    /// The memory for requests is used up, and no connection can be closed for it.
    Memory,
    /// The connection was closed because it held most for longest while others needed room.
    Shed,
    /// The headers did not arrive in time.
    SlowHeader,
    /// The body did not arrive in time.
    SlowBody,
    /// No request arrived in time.
    Idle,
    /// The client did not take its answer in time.
    SlowReader,
    /// The body is too large.
    LargeBody,
    /// The body has too many or too deeply nested values.
    ManyFields,
}

impl RefusalCause {
    /// All causes.
    pub const ALL: [Self; 9] = [
        Self::Connections,
        Self::Memory,
        Self::Shed,
        Self::SlowHeader,
        Self::SlowBody,
        Self::Idle,
        Self::SlowReader,
        Self::LargeBody,
        Self::ManyFields,
    ];

    /// Returns the name in metrics and log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Connections => "connections",
            Self::Memory => "memory",
            Self::Shed => "shed",
            Self::SlowHeader => "slow-header",
            Self::SlowBody => "slow-body",
            Self::Idle => "idle",
            Self::SlowReader => "slow-reader",
            Self::LargeBody => "large-body",
            Self::ManyFields => "many-fields",
        }
    }
}

/// Counts refusals by cause.
#[derive(Debug, Default)]
pub(crate) struct RefusalCounts([AtomicU64; RefusalCause::ALL.len()]);

impl RefusalCounts {
    pub(crate) fn add(&self, cause: RefusalCause) {
        self.0[cause as usize].fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn get(&self, cause: RefusalCause) -> u64 {
        self.0[cause as usize].load(Ordering::Relaxed)
    }
}
