//! Durations of a lease.

/// Durations of a lease. Actions of two holders are at least
/// `duration_ms - stop_acting_after_ms` apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTiming {
    /// Time without a renewal after which a lease expires, in milliseconds.
    pub duration_ms: u64,
    /// Time after a renewal at which the holder renews again, in milliseconds.
    pub renew_after_ms: u64,
    /// Time without a renewal after which the holder stops acting, in milliseconds.
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
