//! The scheduler: decides which worker runs which task.

pub mod shard_map;

pub use self::shard_map::{ShardMap, StableHasher, stable_hash};
