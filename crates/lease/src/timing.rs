//! Durations of a lease.

/// Durations of a lease. Two holders never act within
/// `duration_ms - stop_acting_after_ms` of each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTiming {
    /// A lease expires when it was not renewed for so long, in milliseconds.
    pub duration_ms: u64,
    /// The holder renews when so much has passed, in milliseconds.
    pub renew_after_ms: u64,
    /// The holder stops acting when it has not renewed for so long, in milliseconds.
    pub stop_acting_after_ms: u64,
}

impl Default for LeaseTiming {
    fn default() -> Self {
        Self {
            duration_ms: 6_000,
            renew_after_ms: 2_000,
            stop_acting_after_ms: 4_000,
        }
    }
}
