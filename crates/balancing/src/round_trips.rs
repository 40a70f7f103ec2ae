//! How long round trips to other zones take, learned from connections that requests
//! open anyway.
//!
//! Opening a connection takes one round trip and whatever delays either side. The
//! shortest of many is the distance; it is forgotten after a while, so that a path
//! that has become longer is noticed.

use ploverlift_policy::ids::{Millis, ZoneName};
use std::collections::BTreeMap;

/// Time over which the shortest round trip is taken, in milliseconds. The window
/// before the present one counts as well.
const WINDOW_MS: u64 = 10_000;
/// Zones that are remembered.
const MAX_ZONES: usize = 64;

/// The shortest round trips to one zone, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Shortest {
    window_began_at: Millis,
    present_ms: f64,
    previous_ms: Option<f64>,
}

/// The shortest round trips from this node, by zone.
#[derive(Clone, Debug, Default)]
pub struct RoundTrips {
    by_zone: BTreeMap<ZoneName, Shortest>,
}

impl RoundTrips {
    /// A round trip to a zone took so long.
    pub fn observe(&mut self, zone: &ZoneName, round_trip_ms: f64, now: Millis) {
        if let Some(known) = self.by_zone.get_mut(zone) {
            known.observe(round_trip_ms, now);
            return;
        }
        if self.by_zone.len() >= MAX_ZONES {
            return;
        }
        let first = Shortest {
            window_began_at: now,
            present_ms: round_trip_ms,
            previous_ms: None,
        };
        self.by_zone.insert(zone.clone(), first);
    }

    /// The shortest round trip to a zone, in milliseconds; nothing where none was seen
    /// lately. A zone that looked far, and so gets no requests, is tried again then.
    pub fn to_ms(&self, zone: &ZoneName, now: Millis) -> Option<f64> {
        let known = self.by_zone.get(zone)?;
        let age_ms = now.since(known.window_began_at);
        if age_ms >= 2 * WINDOW_MS {
            return None;
        }
        let previous_ms = known.previous_ms.unwrap_or(known.present_ms);
        Some(known.present_ms.min(previous_ms))
    }

    /// Zones to which a round trip was seen.
    pub fn len(&self) -> usize {
        self.by_zone.len()
    }

    /// Whether no round trip was seen.
    pub fn is_empty(&self) -> bool {
        self.by_zone.is_empty()
    }
}

impl Shortest {
    fn observe(&mut self, round_trip_ms: f64, now: Millis) {
        if now.since(self.window_began_at) < WINDOW_MS {
            self.present_ms = self.present_ms.min(round_trip_ms);
            return;
        }
        let is_recent = now.since(self.window_began_at) < 2 * WINDOW_MS;
        self.previous_ms = is_recent.then_some(self.present_ms);
        self.present_ms = round_trip_ms;
        self.window_began_at = now;
    }
}
