//! Digests of idempotency keys and requests, which are the same in all daemons.

use geraniumshed_model::prelude::{KeyDigest, RecordName, RequestDigest, ShardId};
use sha2::{Digest as _, Sha256};

/// Returns the digest of a service's name and an idempotency key.
pub fn key_digest(service: &RecordName, key: &str) -> KeyDigest {
    KeyDigest(digest(&[service.as_str().as_bytes(), key.as_bytes()]))
}

/// Returns the digest of a request's method, target and body.
pub fn request_digest(method: &str, target: &str, body: &[u8]) -> RequestDigest {
    RequestDigest(digest(&[method.as_bytes(), target.as_bytes(), body]))
}

/// Returns the shard that a key belongs to.
pub fn key_shard(key: KeyDigest, shards: u16) -> ShardId {
    let index = key.0 % u128::from(shards.max(1));
    ShardId(u16::try_from(index).unwrap_or(0))
}

/// Hashes parts with their lengths, so that different lists of parts never give the same input.
///
/// Keeps the first 128 bits of the hash.
fn digest(parts: &[&[u8]]) -> u128 {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let mut short = [0; 16];
    short.copy_from_slice(&hasher.finalize()[..16]);
    u128::from_be_bytes(short)
}
