//! The scheduler of one shard: placement, quotas, interference, attempts and evictions.
