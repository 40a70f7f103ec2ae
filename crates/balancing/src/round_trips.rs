//! Measures round-trip times to other zones from the connections that requests open
//! anyway.
//!
//! Opening a connection takes one round trip plus any delay on either side. The shortest
//! of many is the distance. It expires after a while, so that a path that has become
//! longer is noticed.

use ploverlift_policy::ids::{Millis, ZoneName};
use std::collections::BTreeMap;

/// Length of the window over which the shortest round trip is taken, in milliseconds. The
/// previous window counts as well.
const WINDOW_MS: u64 = 10_000;
/// Maximum number of zones that are tracked.
const MAX_ZONES: usize = 64;

/// The shortest round trips to one zone, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Shortest {
    window_began_at: Millis,
    current_ms: f64,
    previous_ms: Option<f64>,
}

/// The shortest round trips from this node, by zone.
#[derive(Clone, Debug, Default)]
pub struct RoundTrips {
    by_zone: BTreeMap<ZoneName, Shortest>,
}

impl RoundTrips {
    /// Records the duration of a round trip to a zone.
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
            current_ms: round_trip_ms,
            previous_ms: None,
        };
        self.by_zone.insert(zone.clone(), first);
    }

    /// The shortest round trip to a zone, in milliseconds; `None` when none was measured
    /// recently. A zone that seemed far, and therefore gets no requests, is then tried
    /// again.
    pub fn shortest_ms(&self, zone: &ZoneName, now: Millis) -> Option<f64> {
        let known = self.by_zone.get(zone)?;
        let age_ms = now.since(known.window_began_at);
        if age_ms >= 2 * WINDOW_MS {
            return None;
        }
        let previous_ms = known.previous_ms.unwrap_or(known.current_ms);
        Some(known.current_ms.min(previous_ms))
    }

    /// Number of zones to which a round trip was measured.
    pub fn len(&self) -> usize {
        self.by_zone.len()
    }

    /// Whether no round trip was measured.
    pub fn is_empty(&self) -> bool {
        self.by_zone.is_empty()
    }
}

impl Shortest {
    fn observe(&mut self, round_trip_ms: f64, now: Millis) {
        if now.since(self.window_began_at) < WINDOW_MS {
            self.current_ms = self.current_ms.min(round_trip_ms);
            return;
        }
        let is_recent = now.since(self.window_began_at) < 2 * WINDOW_MS;
        self.previous_ms = is_recent.then_some(self.current_ms);
        self.current_ms = round_trip_ms;
        self.window_began_at = now;
    }
}
