//! Deterministic random numbers: the same seed and labels give the same sequence.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// The offset basis of the FNV-1a hash.
const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;

/// The prime of the FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Derives a new seed from a seed and labels.
pub fn mix_seed(seed: u64, parts: &[&str]) -> u64 {
    let mut hash = FNV_BASIS ^ seed.wrapping_mul(FNV_PRIME);
    for part in parts {
        for byte in part.bytes().chain([0xff]) {
            hash = (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        }
    }
    // Folds the upper bits into the lower ones, since the low bits of FNV-1a depend only on the low
    // bits of the input.
    hash ^ (hash >> 29)
}

/// Creates a random number generator from a seed and labels.
pub fn seeded_rng(seed: u64, parts: &[&str]) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(mix_seed(seed, parts))
}
