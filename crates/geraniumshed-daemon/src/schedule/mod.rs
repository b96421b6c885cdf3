//! The drivers of the shards that this daemon owns.
