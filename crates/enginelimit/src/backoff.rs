//! How many nodes ask for tokens of one engine or group, and how long each backs off.
//!
//! Each node that is denied asks again after a time of its own, the longer the more nodes
//! ask: all together they ask a few times as often as tokens come, however many they are.

use ploverlift_balancing::names::PeerId;
use ploverlift_policy::ids::Millis;
use std::collections::HashMap;

/// Time for which a node that asked counts as one that asks, in milliseconds.
const REQUESTING_MS: u64 = 5_000;
/// Times as often as tokens come that they are asked for.
const REQUESTS_PER_TOKEN: f64 = 4.0;
/// Longest backoff, in milliseconds: after it a node finds out what has changed.
const MAX_BACKOFF_MS: f64 = 30_000.0;
/// Milliseconds in a second, as a factor of rates.
const MS_PER_SECOND: f64 = 1_000.0;

/// The nodes that asked lately.
#[derive(Clone, Debug, Default)]
pub struct RequestingNodes {
    asked: HashMap<PeerId, Millis>,
    expired_at: Millis,
}

impl RequestingNodes {
    /// A node asks.
    pub fn note(&mut self, node: PeerId, now: Millis) {
        self.asked.insert(node, now);
        if now.since(self.expired_at) >= REQUESTING_MS {
            self.expired_at = now;
            self.asked.retain(|_, at| now.since(*at) < REQUESTING_MS);
        }
    }

    /// Time within which a node that was denied asks again, at a random moment, in
    /// milliseconds, where so many tokens come in a second. Up to `undelayed` nodes may ask at
    /// once.
    pub fn spread_ms(&self, per_second: f64, undelayed: usize) -> u64 {
        let waiting = self.asked.len().saturating_sub(undelayed) as f64;
        let mean_ms = waiting / (REQUESTS_PER_TOKEN * per_second) * MS_PER_SECOND;
        (2.0 * mean_ms).min(MAX_BACKOFF_MS) as u64
    }

    /// Nodes that asked lately.
    pub fn count(&self) -> usize {
        self.asked.len()
    }
}
