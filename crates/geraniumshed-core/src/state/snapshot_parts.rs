//! Snapshots in parts that stand between other entries of their stream.

use std::collections::BTreeMap;

use geraniumshed_model::prelude::{DaemonIncarnation, SnapshotPart};

/// The parts that a snapshot may have.
const PART_LIMIT: u32 = 4096;

/// The snapshots that are put together at once.
const OPEN_LIMIT: usize = 4;

/// Splits an encoded snapshot.
///
/// # Panics
///
/// Panics if the parts are to have no bytes.
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

/// Snapshots of which not all parts have been read.
#[derive(Debug, Clone, Default)]
pub struct SnapshotParts {
    open: BTreeMap<(u64, DaemonIncarnation), OpenSnapshot>,
}

#[derive(Debug, Clone)]
struct OpenSnapshot {
    count: u32,
    bytes: Vec<u8>,
    next: u32,
}

impl SnapshotParts {
    /// Adds a part that a writer appended, and returns the number and the bytes of its snapshot
    /// if this was the last one.
    ///
    /// A writer appends the parts in order; a snapshot whose parts come otherwise is dropped.
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
