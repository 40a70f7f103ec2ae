//! Settings for the KV cache.

use serde::{Deserialize, Serialize};

/// `[cache]`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CacheSettings {
    /// Whether this node follows the cache events of engines.
    pub follow_engines: bool,
    /// Whether engines may fetch from the KV cache store and save to it.
    pub use_store: bool,
}

impl Default for CacheSettings {
    fn default() -> Self {
        Self {
            follow_engines: true,
            use_store: true,
        }
    }
}
