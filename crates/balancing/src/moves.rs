//! How long moves of KV cache take over a distance, and those under way.
//!
//! The moves to one engine go one after another, so a move waits for those that were
//! begun before it. A node knows of the moves that its own requests began.

use crate::names::EngineTag;
use ploverlift_policy::ids::Millis;
use ploverlift_routing::topology::Distance;
use std::collections::HashMap;

/// How much longer a move takes between two zones of a region, as the platform tells.
const OTHER_ZONE_FACTOR: f64 = 2.0;
/// How much longer a move takes between regions, as the platform tells.
const OTHER_REGION_FACTOR: f64 = 10.0;
/// Wait after which an engine does not begin a move, in milliseconds, as the platform
/// tells.
pub const LONGEST_WAIT_MS: f64 = 2_000.0;
/// Engines whose moves are remembered. Those with nothing under way go first.
const MAX_ENGINES: usize = 1_024;

/// How much longer a move takes than within a zone.
pub fn move_factor(distance: Distance) -> f64 {
    match distance {
        Distance::SameZone => 1.0,
        Distance::SameRegion => OTHER_ZONE_FACTOR,
        Distance::OtherRegion => OTHER_REGION_FACTOR,
    }
}

/// Moves of KV cache that this node's requests have begun, by the engine that they
/// go to.
#[derive(Clone, Debug, Default)]
pub struct MovesUnderWay {
    over_at: HashMap<EngineTag, Millis>,
}

impl MovesUnderWay {
    /// A request has an engine begin a move that takes so long by itself.
    pub fn begin(&mut self, engine: EngineTag, move_ms: f64, now: Millis) {
        if self.over_at.len() >= MAX_ENGINES {
            self.over_at.retain(|_, over_at| *over_at > now);
        }
        if move_ms < 1.0 || self.over_at.len() >= MAX_ENGINES {
            return;
        }
        let over_at = self.over_at.entry(engine).or_insert(now);
        *over_at = (*over_at).max(now).plus(move_ms as u64);
    }

    /// The engine has started again: no move to it is under way.
    pub fn forget(&mut self, engine: EngineTag) {
        self.over_at.remove(&engine);
    }

    /// Time that a move to the engine waits before it begins, in milliseconds.
    pub fn wait_ms(&self, engine: EngineTag, now: Millis) -> f64 {
        let over_at = self.over_at.get(&engine);
        over_at.map_or(0.0, |over_at| over_at.since(now) as f64)
    }
}
