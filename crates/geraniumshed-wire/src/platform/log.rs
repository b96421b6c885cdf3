//! Calls to the log on the wire.

use serde::{Deserialize, Serialize};

/// The answer to an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendReplyWire {
    /// The offset of the entry.
    pub offset: u64,
}

/// An entry of a page.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntryWire {
    /// The offset.
    pub offset: u64,
    /// The bytes that were appended.
    pub body: Vec<u8>,
}

/// The answer to a read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPageWire {
    /// The first offset that the log retains.
    pub first: u64,
    /// The offset after the last entry of the stream.
    pub end: u64,
    /// The entries, in order.
    pub entries: Vec<LogEntryWire>,
}
