//! The fixed assignment of workers and tasks to shards.

use std::fmt::{self, Write};

use geraniumshed_model::prelude::{ShardId, TaskId, VmId};

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
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShardMap {
    shards: u16,
}

impl ShardMap {
    /// Creates the map of a number of shards.
    ///
    /// # Panics
    ///
    /// Panics if the number is zero.
    pub fn new(shards: u16) -> Self {
        assert!(shards > 0, "a cluster has at least one shard");
        Self { shards }
    }

    /// Returns all shards.
    pub fn shards(self) -> impl Iterator<Item = ShardId> {
        (0..self.shards).map(ShardId)
    }

    /// Returns the shard that a worker belongs to.
    pub fn worker_shard(self, worker: &VmId) -> ShardId {
        self.pick(stable_hash(worker))
    }

    /// Returns the shard in which a task starts its life.
    pub fn home_shard(self, task: &TaskId) -> ShardId {
        self.pick(stable_hash(task))
    }

    /// Returns the shard that a task goes to with the move number `hop`.
    ///
    /// Over as many moves as there are shards, a task visits each of them once.
    pub fn hop_shard(self, task: &TaskId, hop: u32) -> ShardId {
        let home = u64::from(self.home_shard(task).0);
        let next = (home + u64::from(hop)) % u64::from(self.shards);
        ShardId(u16::try_from(next).unwrap_or_default())
    }

    fn pick(self, hash: u64) -> ShardId {
        let shard = hash % u64::from(self.shards);
        ShardId(u16::try_from(shard).unwrap_or_default())
    }
}
