//! Ownership of shards by this daemon.
//!
//! The [`OwnershipHandle`] follows the `claims` stream and claims, holds and releases shards. The
//! [`ShardSupervisor`] starts and stops the scheduler of each owned shard.

mod actor;
pub mod handle;
pub mod shard_supervisor;

pub use self::handle::{OwnershipContext, OwnershipHandle};
pub use self::shard_supervisor::{ShardRunner, ShardSupervisor};
