//! Rendezvous (highest random weight) hashing.
//!
//! Every host assigns a key to the same member if it knows the same members.

use std::hash::Hasher;

/// Returns the weight of `member` for `key`. The key is assigned to the member with the largest
/// weight, its home.
pub fn weight(key: &str, member: &str) -> u64 {
    let mut hasher = rustc_hash::FxHasher::default();
    hasher.write(key.as_bytes());
    hasher.write_u8(0xff);
    hasher.write(member.as_bytes());
    mix(hasher.finish())
}

/// Returns the members in descending order of weight for `key`. Equal weights are ordered by name.
pub fn ranked<'a, M: AsRef<str>>(key: &str, members: &'a [M]) -> Vec<&'a M> {
    let mut ranked: Vec<&M> = members.iter().collect();
    ranked.sort_by(|a, b| {
        let by_weight = weight(key, b.as_ref()).cmp(&weight(key, a.as_ref()));
        by_weight.then_with(|| a.as_ref().cmp(b.as_ref()))
    });
    ranked
}

/// Mixes the bits of the hash (the finalizer of SplitMix64).
fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
