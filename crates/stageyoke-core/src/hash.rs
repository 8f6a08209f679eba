//! A fast mixing function for placement and digests. It is not for secrets.

/// Mixes all bits of a word (the finaliser of SplitMix64, Steele et al. 2014).
pub fn mix(value: u64) -> u64 {
    let mut mixed = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Digest of a text as one word, the same on every node and build.
pub fn of_text(text: &str) -> u64 {
    let digest = blake3::hash(text.as_bytes());
    let mut prefix = [0_u8; 8];
    prefix.copy_from_slice(&digest.as_bytes()[..8]);
    u64::from_le_bytes(prefix)
}
