//! Events of KV cache stores.

use ploverlift_balancing::cache_contents::CacheEvents;
use ploverlift_http1::{RequestHead, ResponseHead};

/// Answer of a KV cache store to a request for events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CacheAnswer {
    /// Events.
    Events(CacheEvents),
    /// The store is serving its maximum number of waiting calls; it is not faulty.
    TooManyCalls,
    /// Not a valid answer to this call.
    Invalid,
}

/// The protocol by which a KV cache store reports its contents.
pub trait CacheProtocol: Send + Sync {
    /// Head of a long poll for events from position `since`; the store waits up to `wait_ms`
    /// milliseconds for some.
    fn cache_events_head(&self, since: u64, wait_ms: u64) -> RequestHead;

    /// Decodes the answer to a request for events.
    fn read_cache_answer(&self, head: &ResponseHead, body: &[u8]) -> CacheAnswer;
}
