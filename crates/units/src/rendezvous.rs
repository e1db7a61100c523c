//! Highest-random-weight hashing: all who know the same candidates pick the same one for a
//! resource, and a candidate that comes or goes moves only its own resources.

use sha2::{Digest, Sha256};

/// A stable 64-bit hash of `parts`, the same on every VM.
pub fn hash64<T: AsRef<[u8]>>(parts: &[T]) -> u64 {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.as_ref().len() as u64).to_le_bytes());
        hasher.update(part.as_ref());
    }
    let digest: [u8; 32] = hasher.finalize().into();
    u64::from_le_bytes(digest[..8].try_into().expect("a digest has 32 bytes"))
}

/// The first 32 bits of [`hash64`], for compact messages.
pub fn hash32<T: AsRef<[u8]>>(parts: &[T]) -> u32 {
    (hash64(parts) >> 32) as u32
}

fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

fn short_hash(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

fn weight(resource_hash: u64, candidate: &str) -> u64 {
    mix(resource_hash ^ mix(short_hash(candidate)))
}

/// The candidate that owns `resource`; ties go to the first one.
pub fn owner<'a, T: AsRef<str> + ?Sized + 'a>(
    resource: &str,
    candidates: impl Iterator<Item = &'a T>,
) -> Option<&'a T> {
    let resource_hash = mix(short_hash(resource));
    candidates.max_by_key(|candidate| weight(resource_hash, (*candidate).as_ref()))
}

/// All candidates, the owner of `resource` first.
pub fn ranked<'a, T: AsRef<str> + 'a>(
    resource: &str,
    candidates: impl Iterator<Item = &'a T>,
) -> Vec<&'a T> {
    let resource_hash = mix(short_hash(resource));
    let mut ranked: Vec<&T> = candidates.collect();
    ranked.sort_by_key(|candidate| std::cmp::Reverse(weight(resource_hash, (*candidate).as_ref())));
    ranked
}
