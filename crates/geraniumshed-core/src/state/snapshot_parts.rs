//! Splits snapshots into parts and reassembles them. Other entries of the stream may stand between
//! the parts.

use std::collections::BTreeMap;

use geraniumshed_model::prelude::{DaemonIncarnation, SnapshotPart};

/// The maximum number of parts of a snapshot.
const PART_LIMIT: u32 = 4096;

/// The maximum number of snapshots that are reassembled at the same time.
const OPEN_LIMIT: usize = 4;

/// Splits an encoded snapshot into parts of at most `part_bytes` bytes.
///
/// # Panics
///
/// Panics if `part_bytes` is zero.
pub fn split_snapshot(number: u64, bytes: &[u8], part_bytes: usize) -> Vec<SnapshotPart> {
    let chunks: Vec<_> = bytes.chunks(part_bytes).collect();
    let count = u32::try_from(chunks.len()).unwrap_or(u32::MAX);
    (0..)
        .zip(chunks)
        .map(|(index, chunk)| SnapshotPart {
            snapshot: number,
            index,
            count,
            bytes: chunk.to_vec(),
        })
        .collect()
}

/// Reassembles snapshots from their parts.
#[derive(Debug, Clone, Default)]
pub struct SnapshotParts {
    open: BTreeMap<(u64, DaemonIncarnation), OpenSnapshot>,
}

/// A snapshot of which not all parts have been read.
#[derive(Debug, Clone)]
struct OpenSnapshot {
    /// The number of parts.
    count: u32,
    /// The bytes of the parts read so far.
    bytes: Vec<u8>,
    /// The index of the next part.
    next: u32,
}

impl SnapshotParts {
    /// Adds a part that a writer appended. Returns the number and the bytes of the snapshot if the
    /// part completes it.
    ///
    /// A writer appends the parts in order. A snapshot whose parts arrive out of order is dropped.
    pub fn add(
        &mut self,
        writer: DaemonIncarnation,
        part: &SnapshotPart,
    ) -> Option<(u64, Vec<u8>)> {
        let key = (part.snapshot, writer);
        if part.index == 0 {
            self.begin(key, part);
        }
        let open = self.open.get_mut(&key)?;
        if part.index != open.next || part.count != open.count {
            self.open.remove(&key);
            return None;
        }
        open.bytes.extend_from_slice(&part.bytes);
        open.next += 1;
        if open.next < open.count {
            return None;
        }
        let whole = self.open.remove(&key)?;
        Some((part.snapshot, whole.bytes))
    }

    fn begin(&mut self, key: (u64, DaemonIncarnation), part: &SnapshotPart) {
        if part.count == 0 || part.count > PART_LIMIT {
            return;
        }
        let open = OpenSnapshot {
            count: part.count,
            bytes: Vec::new(),
            next: 0,
        };
        self.open.insert(key, open);
        if self.open.len() > OPEN_LIMIT {
            self.open.pop_first();
        }
    }
}
