//! Duration of KV cache moves by distance, and the moves in progress.
//!
//! Moves to one engine run one after another, so a move waits for those that were begun
//! before it. A node knows only the moves that its own requests began.

use crate::names::EngineTag;
use ploverlift_policy::ids::Millis;
use ploverlift_routing::topology::Distance;
use std::collections::HashMap;

/// Factor by which a move takes longer between zones of a region, as the platform
/// documents.
const OTHER_ZONE_FACTOR: f64 = 2.0;
/// Factor by which a move takes longer between regions, as the platform documents.
const OTHER_REGION_FACTOR: f64 = 10.0;
/// Longest wait after which an engine still begins a move, in milliseconds, as the
/// platform documents.
pub const MAX_WAIT_MS: f64 = 2_000.0;
/// Maximum number of engines whose moves are tracked. Those without a move in progress
/// are dropped first.
const MAX_ENGINES: usize = 1_024;

/// Factor by which a move takes longer than within a zone.
pub fn move_factor(distance: Distance) -> f64 {
    match distance {
        Distance::SameZone => 1.0,
        Distance::SameRegion => OTHER_ZONE_FACTOR,
        Distance::OtherRegion => OTHER_REGION_FACTOR,
    }
}

/// Moves of KV cache that this node's requests have begun, by destination engine.
#[derive(Clone, Debug, Default)]
pub struct MovesUnderWay {
    done_at: HashMap<EngineTag, Millis>,
}

impl MovesUnderWay {
    /// Records that a request makes an engine begin a move, which takes `move_ms` without
    /// waiting.
    pub fn begin(&mut self, engine: EngineTag, move_ms: f64, now: Millis) {
        if self.done_at.len() >= MAX_ENGINES {
            self.done_at.retain(|_, done_at| *done_at > now);
        }
        if move_ms < 1.0 || self.done_at.len() >= MAX_ENGINES {
            return;
        }
        let done_at = self.done_at.entry(engine).or_insert(now);
        *done_at = (*done_at).max(now).plus(move_ms as u64);
    }

    /// Drops the moves to an engine that has restarted.
    pub fn forget(&mut self, engine: EngineTag) {
        self.done_at.remove(&engine);
    }

    /// Time until a new move to the engine would begin, in milliseconds.
    pub fn wait_ms(&self, engine: EngineTag, now: Millis) -> f64 {
        let done_at = self.done_at.get(&engine);
        done_at.map_or(0.0, |done_at| done_at.since(now) as f64)
    }
}
