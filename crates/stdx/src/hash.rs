//! Hash functions with the same result in every process, so that entries agree on the numbers that
//! they derive from names without exchanging messages.

/// 64-bit FNV-1a hash of a name.
pub fn fnv1a(name: &str) -> u64 {
    name.bytes().fold(0xCBF2_9CE4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01B3)
    })
}

/// Mixes the bits of a number with the finalizer of splitmix64.
pub const fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    number ^ (number >> 31)
}
