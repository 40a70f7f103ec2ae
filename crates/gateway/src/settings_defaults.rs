//! Defaults of settings whose tables have no default as a whole.

/// A call takes 4 ms on a well store; a slow one answers within a second.
pub(crate) fn store_timeout_ms() -> u64 {
    1_000
}
/// A third of the shortest bound on revoked keys known (5 s).
pub(crate) fn configuration_watch_ms() -> u64 {
    1_500
}
/// Under the longest wait that a store grants (30 s).
pub(crate) fn other_watch_ms() -> u64 {
    20_000
}
