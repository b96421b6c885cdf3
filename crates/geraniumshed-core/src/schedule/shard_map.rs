//! The fixed assignment of workers and tasks to shards.

use std::fmt::{self, Write};

use geraniumshed_model::prelude::{RegionName, ShardId, TaskId, VmId};

/// The offset basis of the 64-bit FNV-1a hash.
const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// The prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// A 64-bit FNV-1a hash with a final mix, the same in every process and version.
#[derive(Debug, Clone, Copy)]
pub struct StableHasher(u64);

impl StableHasher {
    /// Creates a hasher that has read nothing.
    pub fn new() -> Self {
        Self(FNV_BASIS)
    }

    /// Reads bytes.
    pub fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
    }

    /// Returns the hash, mixed so that each of its bits depends on each bit read.
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
    // Writing into a hasher can't fail.
    let _: fmt::Result = write!(hasher, "{value}");
    hasher.finish()
}

/// The assignment of workers and tasks to a fixed number of shards, the same in all daemons.
///
/// A shard never spans regions: the shards go round the regions in turn.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardMap {
    shards: u16,
    regions: Vec<RegionName>,
}

impl ShardMap {
    /// Creates the map of a number of shards over regions, in an order that all daemons share.
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

    /// Returns the shard that a worker belongs to, unless its region is not in the settings.
    pub fn worker_shard(&self, worker: &VmId, region: &RegionName) -> Option<ShardId> {
        let own: Vec<_> = self
            .shards()
            .filter(|shard| self.region(*shard) == region)
            .collect();
        let index = pick(stable_hash(worker), own.len())?;
        own.get(index).copied()
    }

    /// Returns the shard in which a task starts its life.
    pub fn home_shard(&self, task: &TaskId) -> ShardId {
        self.hop_shard(task, 0)
    }

    /// Returns the shard that a task goes to with the move number `hop`.
    ///
    /// Over as many moves as there are shards, a task visits each of them once.
    pub fn hop_shard(&self, task: &TaskId, hop: u32) -> ShardId {
        let shards = u64::from(self.shards);
        let home = stable_hash(task) % shards;
        let next = (home + u64::from(hop)) % shards;
        ShardId(u16::try_from(next).unwrap_or_default())
    }
}

/// Picks one of `count` things by a hash.
fn pick(hash: u64, count: usize) -> Option<usize> {
    let count = u64::try_from(count).ok().filter(|count| *count > 0)?;
    usize::try_from(hash % count).ok()
}
