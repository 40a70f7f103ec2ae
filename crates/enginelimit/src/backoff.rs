//! Backoff of the nodes that request tokens of an engine or a group.
//!
//! A node that is denied retries after a random delay that grows with the number of
//! requesting nodes. All nodes together thus send a few requests per available token,
//! however many they are.

use ploverlift_balancing::names::PeerId;
use ploverlift_policy::ids::Millis;
use std::collections::HashMap;

/// Time for which a node counts as requesting after a request, in milliseconds.
const REQUESTING_MS: u64 = 5_000;
/// Requests per available token that all nodes together may send.
const REQUESTS_PER_TOKEN: f64 = 4.0;
/// Longest backoff, in milliseconds. It bounds the time until a node learns of changes.
const MAX_BACKOFF_MS: f64 = 30_000.0;
/// Milliseconds in a second.
const MS_PER_SECOND: f64 = 1_000.0;

/// The nodes that requested tokens recently.
#[derive(Clone, Debug, Default)]
pub struct RequestingNodes {
    last_requests: HashMap<PeerId, Millis>,
    expired_at: Millis,
}

impl RequestingNodes {
    /// Records a request of a node.
    pub fn note(&mut self, node: PeerId, now: Millis) {
        self.last_requests.insert(node, now);
        if now.since(self.expired_at) >= REQUESTING_MS {
            self.expired_at = now;
            self.last_requests
                .retain(|_, at| now.since(*at) < REQUESTING_MS);
        }
    }

    /// Range of the random delay after which a denied node retries, in milliseconds, at a
    /// rate of `per_second` tokens a second. Up to `undelayed` nodes may retry without a
    /// delay.
    pub fn spread_ms(&self, per_second: f64, undelayed: usize) -> u64 {
        let waiting = self.last_requests.len().saturating_sub(undelayed) as f64;
        let mean_ms = waiting / (REQUESTS_PER_TOKEN * per_second) * MS_PER_SECOND;
        (2.0 * mean_ms).min(MAX_BACKOFF_MS) as u64
    }

    /// The number of nodes that requested tokens recently.
    pub fn count(&self) -> usize {
        self.last_requests.len()
    }
}
