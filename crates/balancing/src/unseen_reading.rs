//! What other nodes have sent to engines since their loads were told.
//!
//! Loads are a quarter of a second old. Where few engines attract most requests, as
//! the first ones that have a new version, that is enough for all nodes to send there
//! what only some should. So each node takes the others for alike: what it sent itself
//! to engines of a version, the others have sent too, each, and it is spread over these
//! engines.

use ploverlift_policy::ids::Millis;
use std::collections::HashMap;

/// Time in which past requests lose weight by a factor of e, in milliseconds: a node of
/// a large fleet sends a few requests in it.
const DECAY_MS: f64 = 1_000.0;
/// Versions that are remembered; roll-outs overlap by one or two.
const MAX_VERSIONS: usize = 8;

#[derive(Clone, Copy, Debug, Default)]
struct Decaying {
    tokens: f64,
    noted_at: Millis,
}

impl Decaying {
    fn at(&self, now: Millis) -> f64 {
        let age_ms = now.since(self.noted_at) as f64;
        self.tokens * (-age_ms / DECAY_MS).exp()
    }

    fn note(&mut self, tokens: f64, now: Millis) {
        self.tokens = self.at(now) + tokens;
        self.noted_at = now;
    }
}

/// Prompt tokens that this node gave engines to read lately, by the version of their
/// weights.
#[derive(Clone, Debug, Default)]
pub struct RecentReading {
    by_version: HashMap<u64, Decaying>,
}

impl RecentReading {
    /// A request with so many tokens to read goes to an engine with this version.
    pub fn note(&mut self, version: u64, tokens: u64, now: Millis) {
        if self.by_version.len() >= MAX_VERSIONS {
            self.by_version
                .retain(|_, reading| now.since(reading.noted_at) < DECAY_MS as u64);
        }
        let reading = self.by_version.entry(version).or_default();
        reading.note(tokens as f64, now);
    }

    /// Tokens that this node gives engines of a version to read, in a millisecond.
    pub fn tokens_per_ms(&self, version: u64, now: Millis) -> f64 {
        let reading = self.by_version.get(&version);
        reading.map_or(0.0, |reading| reading.at(now) / DECAY_MS)
    }
}

/// How much of what nodes send is not seen yet.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Unseen {
    /// Nodes besides this one.
    pub other_nodes: f64,
    /// Age of the loads, in milliseconds.
    pub age_ms: f64,
}

impl Unseen {
    /// Tokens that wait unseen at each of `engines` engines, where this node gives all
    /// of them so many in a millisecond.
    pub fn tokens_at_each(&self, own_tokens_per_ms: f64, engines: usize) -> f64 {
        own_tokens_per_ms * self.other_nodes * self.age_ms / engines.max(1) as f64
    }
}
