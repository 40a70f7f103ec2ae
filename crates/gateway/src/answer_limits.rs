//! Limits on answers that this node reads, from engines, from the store and on event calls.
//!
//! Each read is also limited in time, by the request or the call that it belongs to. The limits
//! on framing are those of [`ploverlift_http1::limits`].

/// Maximum sizes, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerLimits {
    /// Head of an answer, with all interim answers before it.
    pub head_bytes: usize,
    /// Answer that is held until it is complete. A larger one is forwarded piece by piece, and
    /// the caller's answer breaks off when the engine's does.
    pub buffered_bytes: usize,
    /// One event of a stream.
    pub event_bytes: usize,
    /// Body of an engine's answer to a request, whichever way it is forwarded.
    pub body_bytes: u64,
    /// Answer of an engine to an order, a request for a report or a liveness probe.
    pub report_bytes: usize,
    /// Answer to a call for cache events.
    pub cache_events_bytes: usize,
    /// Answer of the object store.
    pub store_bytes: usize,
}

/// The limits of all connections.
pub const ANSWER_LIMITS: AnswerLimits = AnswerLimits {
    head_bytes: 32 * 1_024,
    buffered_bytes: 256 * 1_024,
    event_bytes: 256 * 1_024,
    body_bytes: 256 * 1_024 * 1_024,
    report_bytes: 64 * 1_024,
    cache_events_bytes: 4 * 1_024 * 1_024,
    store_bytes: 16 * 1_024 * 1_024,
};
