//! Events of stores of kept cache.

use ploverlift_balancing::cache_contents::CacheEvents;
use ploverlift_http1::{RequestHead, ResponseHead};

/// The protocol by which a store of kept cache tells what it keeps.
pub trait CacheProtocol: Send + Sync {
    /// The head that asks for events from a position, and waits for some.
    fn cache_events_head(&self, since: u64, wait_ms: u64) -> RequestHead;

    /// Reads events; nothing when the answer does not fit.
    fn read_cache_events(&self, head: &ResponseHead, body: &[u8]) -> Option<CacheEvents>;
}
