//! Parses numbers in headers that are sent by other parties: plain decimal notation only.

/// Longest number that is accepted, in bytes.
const MAX_NUMBER_BYTES: usize = 24;
/// Milliseconds in a second.
const MS_PER_SECOND: f64 = 1_000.0;

/// Parses digits with at most one decimal point. Signs, exponents and words such as `inf`
/// are rejected.
pub fn read_decimal(text: &str) -> Option<f64> {
    let is_decimal = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    let is_bounded = text.len() <= MAX_NUMBER_BYTES;
    text.parse().ok().filter(|_| is_decimal && is_bounded)
}

/// Parses a number of seconds as [`read_decimal`] does and returns it in milliseconds.
pub fn read_seconds_as_ms(text: &str) -> Option<u64> {
    read_decimal(text).map(|seconds| (seconds * MS_PER_SECOND) as u64)
}
