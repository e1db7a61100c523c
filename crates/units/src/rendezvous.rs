//! Rendezvous (highest random weight) hashing.
//!
//! All VMs with the same list of candidates choose the same owner for a resource. Adding or
//! removing a candidate reassigns only the resources that this candidate owns.

use sha2::{Digest, Sha256};

/// Returns a 64-bit hash of `parts` that is the same on every VM and in every process.
///
/// Each part is hashed with its length, so that different splits of the same bytes differ.
pub fn hash64<T: AsRef<[u8]>>(parts: &[T]) -> u64 {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.as_ref().len() as u64).to_le_bytes());
        hasher.update(part.as_ref());
    }
    let digest: [u8; 32] = hasher.finalize().into();
    u64::from_le_bytes(digest[..8].try_into().expect("a digest has 32 bytes"))
}

/// Returns the upper 32 bits of [`hash64`], for compact messages.
pub fn hash32<T: AsRef<[u8]>>(parts: &[T]) -> u32 {
    (hash64(parts) >> 32) as u32
}

/// Mixes the bits of `x` with the finalizer of SplitMix64.
fn splitmix64(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Returns the 64-bit FNV-1a hash of `text`.
fn fnv1a64(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

fn weight(resource_hash: u64, candidate: &str) -> u64 {
    splitmix64(resource_hash ^ splitmix64(fnv1a64(candidate)))
}

/// Returns the candidate with the highest weight for `resource`, or `None` without candidates.
///
/// If several candidates have the highest weight, the last of them is returned.
pub fn owner<'a, T: AsRef<str> + ?Sized + 'a>(
    resource: &str,
    candidates: impl Iterator<Item = &'a T>,
) -> Option<&'a T> {
    let resource_hash = splitmix64(fnv1a64(resource));
    candidates.max_by_key(|candidate| weight(resource_hash, (*candidate).as_ref()))
}

/// Returns all candidates by descending weight for `resource`, so that the owner is the first.
///
/// Candidates of equal weight keep their order. This differs from [`owner`], which returns the last
/// of several candidates with the highest weight.
pub fn rank_candidates<'a, T: AsRef<str> + 'a>(
    resource: &str,
    candidates: impl Iterator<Item = &'a T>,
) -> Vec<&'a T> {
    let resource_hash = splitmix64(fnv1a64(resource));
    let mut ranked: Vec<&T> = candidates.collect();
    ranked.sort_by_key(|candidate| std::cmp::Reverse(weight(resource_hash, (*candidate).as_ref())));
    ranked
}
