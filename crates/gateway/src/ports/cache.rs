//! Events of KV cache stores.

use ploverlift_balancing::cache_contents::CacheEvents;
use ploverlift_http1::{RequestHead, ResponseHead};

/// A store's answer to a call for events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CacheAnswer {
    /// Events.
    Events(CacheEvents),
    /// The store holds as many calls as it may; it works all the same.
    TooManyCalls,
    /// Not an answer to this call.
    Invalid,
}

/// The protocol by which a KV cache store tells what it keeps.
pub trait CacheProtocol: Send + Sync {
    /// The head that asks for events from a position, and waits for some.
    fn cache_events_head(&self, since: u64, wait_ms: u64) -> RequestHead;

    /// Reads the answer to a call for events.
    fn read_cache_answer(&self, head: &ResponseHead, body: &[u8]) -> CacheAnswer;
}
