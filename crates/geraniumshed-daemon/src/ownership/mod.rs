//! The shards that this daemon owns.
//!
//! The [`OwnershipHandle`] follows the `claims` stream and claims, holds and releases shards. The
//! [`ShardKeeper`] starts and stops what runs for each of them.

mod actor;
pub mod handle;
pub mod shard_keeper;

pub use self::handle::{OwnershipContext, OwnershipHandle};
pub use self::shard_keeper::{ShardKeeper, ShardRunner};
