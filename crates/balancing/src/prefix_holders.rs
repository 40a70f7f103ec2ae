//! Which engines hold which parts of prompts in their prefix caches.
//!
//! Known from this node's traffic and from other nodes' reports of theirs. An engine may
//! have evicted a part since; a node that follows the engine's cache events reports this
//! to the others. Relying on an evicted part costs a look-up at the engine and the
//! processing of the prompt. It can never give a wrong answer, because the key of a part
//! includes the weights and the scope of the cache.

use crate::names::EngineTag;
use ploverlift_policy::ids::Millis;
use ploverlift_routing::prompt::PartKey;
use std::collections::{HashMap, VecDeque};

/// Time after the last use for which an engine counts as a holder of a part, in
/// milliseconds.
const HELD_MS: u64 = 15_000;
/// Time after which a holder that is still in use is reported again, in milliseconds.
const REPORT_AGAIN_MS: u64 = 5_000;
/// Time after which a relay forwards a repeated report of a holder, in milliseconds. It is
/// shorter than the period in which nodes repeat reports, so that each repetition is
/// forwarded once.
const RELAY_AGAIN_MS: u64 = REPORT_AGAIN_MS / 2;
/// Maximum number of engines that are remembered for each part, the latest ones. A part
/// that many prompts begin with is held by most engines.
const MAX_HOLDERS: usize = 128;
/// Maximum number of parts that are remembered.
const MAX_PARTS: usize = 20_000;
/// Maximum number of changes that are kept for reports, the latest ones.
const MAX_CHANGES: usize = 256;
/// Delay of an engine's cache events, in milliseconds: an eviction event does not concern
/// a part that was used again within this time.
const EVENT_LAG_MS: u64 = 80;
/// Time between two removals of expired holders, in milliseconds.
const SWEEP_PERIOD_MS: u64 = 5_000;

/// An engine that holds a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Holder {
    engine: EngineTag,
    used_at: Millis,
}

/// A change of an engine's cache: it now holds a part or has evicted it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The part.
    pub part: PartKey,
    /// The engine.
    pub engine: EngineTag,
    /// True when the engine has read the part, false when it has evicted it.
    pub is_kept: bool,
}

/// The change that another node's placement report makes to the known holders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementChange {
    /// No change.
    Known,
    /// The engine holds the part.
    Kept {
        /// Number of engines that hold the part, including this one.
        holders: usize,
    },
    /// The engine no longer holds the part.
    Dropped,
}

/// The known holders by part, and the changes to report to other nodes.
#[derive(Clone, Debug, Default)]
pub struct PrefixHolders {
    holders: HashMap<PartKey, Vec<Holder>>,
    changes: VecDeque<Placement>,
    changes_dropped: u64,
    swept_at: Millis,
}

impl PrefixHolders {
    /// Records that an engine has read these parts for a request of this node.
    pub fn note_own(&mut self, parts: &[PartKey], engine: EngineTag, now: Millis) {
        for part in parts {
            let before = self.note_read(*part, engine, now);
            let is_change = before.is_none_or(|used_at| now.since(used_at) >= REPORT_AGAIN_MS);
            if is_change {
                self.add_change(Placement {
                    part: *part,
                    engine,
                    is_kept: true,
                });
            }
        }
    }

    /// Records that an engine whose cache events this node follows has evicted these parts.
    /// With `is_reported`, evictions of parts that any request has used are reported to the
    /// other nodes.
    pub fn note_dropped(
        &mut self,
        parts: &[PartKey],
        engine: EngineTag,
        is_reported: bool,
        now: Millis,
    ) {
        for part in parts {
            if self.forget(*part, engine, now) && is_reported {
                self.add_change(Placement {
                    part: *part,
                    engine,
                    is_kept: false,
                });
            }
        }
    }

    /// Removes an engine as a holder of all parts, because it has restarted.
    pub fn forget_engine(&mut self, engine: EngineTag) {
        for holders in self.holders.values_mut() {
            holders.retain(|holder| holder.engine != engine);
        }
    }

    /// Applies a placement that another node reported; returns the change that it makes.
    pub fn note(&mut self, placement: Placement, now: Millis) -> PlacementChange {
        if !placement.is_kept {
            return match self.forget(placement.part, placement.engine, now) {
                true => PlacementChange::Dropped,
                false => PlacementChange::Known,
            };
        }
        let before = self.note_read(placement.part, placement.engine, now);
        match before {
            Some(used_at) if now.since(used_at) < RELAY_AGAIN_MS => PlacementChange::Known,
            _ => PlacementChange::Kept {
                holders: self.holders_of(placement.part, now).count(),
            },
        }
    }

    /// Engines that are assumed to hold a part, in the order in which they became holders.
    pub fn holders_of(&self, part: PartKey, now: Millis) -> impl Iterator<Item = EngineTag> + '_ {
        let holders = self.holders.get(&part).into_iter().flatten();
        let live = holders.filter(move |holder| now.since(holder.used_at) < HELD_MS);
        live.map(|holder| holder.engine)
    }

    /// Records that an engine has read a part; returns the previous time of use, if known.
    fn note_read(&mut self, part: PartKey, engine: EngineTag, now: Millis) -> Option<Millis> {
        self.sweep(now);
        let holders = self.holders.entry(part).or_default();
        let known = holders.iter_mut().find(|holder| holder.engine == engine);
        if let Some(holder) = known {
            return Some(std::mem::replace(&mut holder.used_at, now));
        }
        if holders.len() >= MAX_HOLDERS {
            holders.remove(0);
        }
        holders.push(Holder {
            engine,
            used_at: now,
        });
        None
    }

    /// Records that an engine has evicted a part; returns whether it was a holder until now.
    fn forget(&mut self, part: PartKey, engine: EngineTag, now: Millis) -> bool {
        let Some(holders) = self.holders.get_mut(&part) else {
            return false;
        };
        let before = holders.len();
        holders
            .retain(|holder| holder.engine != engine || now.since(holder.used_at) < EVENT_LAG_MS);
        holders.len() < before
    }

    fn add_change(&mut self, placement: Placement) {
        self.changes.push_back(placement);
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
            self.changes_dropped += 1;
        }
    }

    /// Time since an engine last used a part, in milliseconds; `None` when it no longer
    /// counts as a holder.
    pub fn age_ms(&self, part: PartKey, engine: EngineTag, now: Millis) -> Option<u64> {
        let mut holders = self.holders.get(&part)?.iter();
        let holder = holders.find(|holder| holder.engine == engine)?;
        Some(now.since(holder.used_at)).filter(|age_ms| *age_ms < HELD_MS)
    }

    /// Changes to report that follow a position, at most `limit`, and the position after
    /// them. The first position is 0.
    pub fn changes_after(&self, position: u64, limit: usize) -> (Vec<Placement>, u64) {
        let first = position.max(self.changes_dropped);
        let skipped = (first - self.changes_dropped) as usize;
        let changes: Vec<Placement> = self
            .changes
            .iter()
            .skip(skipped)
            .take(limit)
            .copied()
            .collect();
        let next = first + changes.len() as u64;
        (changes, next)
    }

    /// Number of parts that are remembered.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Whether no part is remembered.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    fn sweep(&mut self, now: Millis) {
        let is_full = self.holders.len() >= MAX_PARTS;
        if now.since(self.swept_at) < SWEEP_PERIOD_MS && !is_full {
            return;
        }
        self.swept_at = now;
        self.holders.retain(|_, holders| {
            holders.retain(|holder| now.since(holder.used_at) < HELD_MS);
            !holders.is_empty()
        });
        if self.holders.len() >= MAX_PARTS {
            self.holders.clear();
        }
    }
}
