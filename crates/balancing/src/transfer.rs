//! Which shared prompts the cache store is believed to hold.
//!
//! The belief is of this node alone and comes from its own requests. A wrong
//! belief costs a look-up that finds nothing, or a second save; never a wrong
//! answer, because the salt of a part names its weights and its scope.

use ploverlift_policy::ids::Millis;
use ploverlift_routing::prompt::ChainKey;
use std::collections::HashMap;

/// Shared prompts that are remembered; the oldest are forgotten beyond it.
const MAX_REMEMBERED: usize = 4_096;

/// Prompts that were saved, with the version of their weights.
#[derive(Clone, Debug, Default)]
pub struct SavedPrompts {
    saved: HashMap<(ChainKey, u64), Millis>,
}

impl SavedPrompts {
    /// Whether the prompt was saved or used from the store within `lifetime_ms`.
    pub fn is_saved(&self, key: ChainKey, weights: u64, lifetime_ms: u64, now: Millis) -> bool {
        let last = self.saved.get(&(key, weights));
        last.is_some_and(|last| now.since(*last) < lifetime_ms)
    }

    /// The prompt was saved to the store, or read from it.
    pub fn note(&mut self, key: ChainKey, weights: u64, now: Millis) {
        if self.saved.len() >= MAX_REMEMBERED {
            self.forget_older_half();
        }
        self.saved.insert((key, weights), now);
    }

    fn forget_older_half(&mut self) {
        let mut times: Vec<Millis> = self.saved.values().copied().collect();
        times.sort();
        let middle = times[times.len() / 2];
        self.saved.retain(|_, last| *last > middle);
    }
}
