//! Snapshot parts on the wire.

use geraniumshed_model::prelude::SnapshotPart;
use serde::{Deserialize, Serialize};

/// A [`SnapshotPart`] on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotPartWire {
    snapshot: u64,
    index: u32,
    count: u32,
    bytes: Vec<u8>,
}

impl From<SnapshotPart> for SnapshotPartWire {
    fn from(part: SnapshotPart) -> Self {
        Self {
            snapshot: part.snapshot,
            index: part.index,
            count: part.count,
            bytes: part.bytes,
        }
    }
}

impl From<SnapshotPartWire> for SnapshotPart {
    fn from(part: SnapshotPartWire) -> Self {
        Self {
            snapshot: part.snapshot,
            index: part.index,
            count: part.count,
            bytes: part.bytes,
        }
    }
}
