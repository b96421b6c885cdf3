//! The fixed assignment of workers and tasks to shards.

use std::fmt::{self, Write};

use geraniumshed_model::prelude::{RegionName, ShardId, TaskId, VmId};

/// The offset basis of the 64-bit FNV-1a hash.
const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// The prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// A 64-bit FNV-1a hasher with the 64-bit finalizer of `MurmurHash3`.
///
/// Its hashes are the same in every process and version.
#[derive(Debug, Clone, Copy)]
pub struct StableHasher(u64);

impl StableHasher {
    /// Creates a hasher for an empty input.
    pub fn new() -> Self {
        Self(FNV_BASIS)
    }

    /// Adds bytes to the hash.
    pub fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
    }

    /// Returns the hash, mixed so that each of its bits depends on each bit of the input.
    pub fn finish(&self) -> u64 {
        let mut hash = self.0;
        hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
        hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
        hash ^ (hash >> 33)
    }
}

impl Default for StableHasher {
    fn default() -> Self {
        Self::new()
    }
}

impl Write for StableHasher {
    fn write_str(&mut self, s: &str) -> fmt::Result {
        self.write(s.as_bytes());
        Ok(())
    }
}

/// Returns the stable hash of a value's text.
pub fn stable_hash(value: &impl fmt::Display) -> u64 {
    let mut hasher = StableHasher::new();
    // Writing to a hasher can't fail.
    let _: fmt::Result = write!(hasher, "{value}");
    hasher.finish()
}

/// The assignment of workers and tasks to a fixed number of shards, the same in all daemons.
///
/// A shard never spans regions: shards are assigned to regions round-robin.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardMap {
    shards: u16,
    regions: Vec<RegionName>,
}

impl ShardMap {
    /// Creates the map for a number of shards. All daemons must pass the regions in the same order.
    ///
    /// # Panics
    ///
    /// Panics if there is no region or if there are fewer shards than regions.
    pub fn new(shards: u16, regions: Vec<RegionName>) -> Self {
        assert!(!regions.is_empty(), "a cluster has at least one region");
        assert!(
            usize::from(shards) >= regions.len(),
            "each region has at least one shard"
        );
        Self { shards, regions }
    }

    /// Returns all shards.
    pub fn shards(&self) -> impl Iterator<Item = ShardId> + use<> {
        (0..self.shards).map(ShardId)
    }

    /// Returns the region of a shard's workers.
    pub fn region(&self, shard: ShardId) -> &RegionName {
        &self.regions[usize::from(shard.0) % self.regions.len()]
    }

    /// Returns the shard of a worker, or `None` if its region is not in the map.
    pub fn worker_shard(&self, worker: &VmId, region: &RegionName) -> Option<ShardId> {
        let own: Vec<_> = self
            .shards()
            .filter(|shard| self.region(*shard) == region)
            .collect();
        let index = pick(stable_hash(worker), own.len())?;
        own.get(index).copied()
    }

    /// Returns the shard to which a task belongs before its first move.
    pub fn home_shard(&self, task: &TaskId) -> ShardId {
        self.hop_shard(task, 0)
    }

    /// Returns the shard of a task after `hop` moves.
    ///
    /// Consecutive moves visit every shard once before any shard again.
    pub fn hop_shard(&self, task: &TaskId, hop: u32) -> ShardId {
        let shards = u64::from(self.shards);
        let home = stable_hash(task) % shards;
        let next = (home + u64::from(hop)) % shards;
        ShardId(u16::try_from(next).unwrap_or_default())
    }
}

/// Picks an index below `count` by a hash, or `None` if `count` is 0.
fn pick(hash: u64, count: usize) -> Option<usize> {
    let count = u64::try_from(count).ok().filter(|count| *count > 0)?;
    usize::try_from(hash % count).ok()
}
