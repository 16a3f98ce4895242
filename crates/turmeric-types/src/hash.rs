//! A hash that is the same in every process and build.

/// First state of the FNV-1a hash of 64 bits.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;

/// Factor of the FNV-1a hash of 64 bits.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Returns the FNV-1a hash of `bytes`.
///
/// Processes of different builds agree on it, which the standard hasher does
/// not promise.
pub fn stable_hash(bytes: impl IntoIterator<Item = u8>) -> u64 {
    bytes.into_iter().fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}
