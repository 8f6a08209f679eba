//! Non-cryptographic hashes for placement. Their values are the same in every process and
//! build.

/// Hashes bytes with 64-bit FNV-1a.
pub fn fnv1a(bytes: impl IntoIterator<Item = u8>) -> u64 {
    bytes
        .into_iter()
        .fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        })
}

/// Mixes a hash so that every input bit affects every output bit (the SplitMix64
/// finalizer).
pub fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

/// Maps a hash uniformly to the interval from 0 (inclusive) to 1 (exclusive).
pub fn to_unit_interval(hash: u64) -> f64 {
    const BITS: u32 = f64::MANTISSA_DIGITS;
    (hash >> (u64::BITS - BITS)) as f64 / (1_u64 << BITS) as f64
}
