//! Numbers in headers of other parties: decimal digits alone.

/// Longest number that is read, in bytes.
const MAX_NUMBER_BYTES: usize = 24;
/// Milliseconds in a second.
const MS_PER_SECOND: f64 = 1_000.0;

/// Reads digits with at most one point: no sign, exponent or word is a number here.
pub fn read_decimal(text: &str) -> Option<f64> {
    let is_decimal = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    let is_bounded = text.len() <= MAX_NUMBER_BYTES;
    text.parse().ok().filter(|_| is_decimal && is_bounded)
}

/// Reads seconds as such a number; in milliseconds.
pub fn read_seconds_as_ms(text: &str) -> Option<u64> {
    read_decimal(text).map(|seconds| (seconds * MS_PER_SECOND) as u64)
}
