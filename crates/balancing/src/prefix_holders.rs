//! Where parts of prompts were read, as the nodes tell each other.
//!
//! Known from the traffic of this node and, by their reports, of the others. An
//! engine may have dropped a part meanwhile; a node that follows the engine's
//! events tells the others. Relying on a dropped part costs a look-up there and
//! reading the prompt. It can never give a wrong answer, because a part's key
//! spells out the weights and the scope of the cache.

use crate::names::EngineTag;
use ploverlift_policy::ids::Millis;
use ploverlift_routing::prompt::PartKey;
use std::collections::{HashMap, VecDeque};

/// Time for which an engine counts as a holder, in milliseconds.
const HELD_MS: u64 = 15_000;
/// Time after which a holder that is still used is reported again, in
/// milliseconds.
const REPORT_AGAIN_MS: u64 = 5_000;
/// Time after which a relay passes on a holder again that a node reported again,
/// in milliseconds. Shorter than the nodes' own period, so that each of their
/// reports passes once.
const RELAY_AGAIN_MS: u64 = REPORT_AGAIN_MS / 2;
/// Engines that are remembered for each part: the latest ones. A part with which
/// many prompts begin is kept by most engines.
const MAX_HOLDERS: usize = 128;
/// Parts that are remembered.
const MAX_PARTS: usize = 20_000;
/// Changes that can be reported: the latest ones.
const MAX_CHANGES: usize = 256;
/// Time that an engine's events lag behind, in milliseconds: a part that was read
/// again within it was not dropped since.
const EVENT_LAG_MS: u64 = 80;
/// Time between two sweeps, in milliseconds.
const SWEEP_PERIOD_MS: u64 = 5_000;

/// An engine that keeps a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Holder {
    engine: EngineTag,
    used_at: Millis,
}

/// What an engine does with a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The part.
    pub part: PartKey,
    /// The engine.
    pub engine: EngineTag,
    /// Whether it has read the part, or else has dropped it.
    pub is_kept: bool,
}

/// What a placement that another node told changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementChange {
    /// Nothing.
    Known,
    /// The engine keeps the part, as so many do with it.
    Kept {
        /// Engines that keep the part.
        holders: usize,
    },
    /// The engine no longer keeps it.
    Dropped,
}

/// Holders by part.
#[derive(Clone, Debug, Default)]
pub struct PrefixHolders {
    holders: HashMap<PartKey, Vec<Holder>>,
    changes: VecDeque<Placement>,
    changes_dropped: u64,
    swept_at: Millis,
}

impl PrefixHolders {
    /// An engine has read these parts for this node.
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

    /// An engine whose events this node follows has dropped these parts. With
    /// `tells` the other nodes hear of those that any request has used.
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

    /// The engine has started again: it keeps nothing.
    pub fn forget_engine(&mut self, engine: EngineTag) {
        for holders in self.holders.values_mut() {
            holders.retain(|holder| holder.engine != engine);
        }
    }

    /// Takes in what another node tells; says what that changes.
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

    /// Engines that are taken to keep a part, those that kept it first in front.
    pub fn holders_of(&self, part: PartKey, now: Millis) -> impl Iterator<Item = EngineTag> + '_ {
        let holders = self.holders.get(&part).into_iter().flatten();
        let live = holders.filter(move |holder| now.since(holder.used_at) < HELD_MS);
        live.map(|holder| holder.engine)
    }

    /// An engine has read a part; tells when it was last known to have.
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

    /// An engine has dropped a part; tells whether it was taken to keep it.
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

    /// Time since an engine last used a part, in milliseconds; nothing when it is
    /// not taken to keep it any longer.
    pub fn age_ms(&self, part: PartKey, engine: EngineTag, now: Millis) -> Option<u64> {
        let mut holders = self.holders.get(&part)?.iter();
        let holder = holders.find(|holder| holder.engine == engine)?;
        Some(now.since(holder.used_at)).filter(|age_ms| *age_ms < HELD_MS)
    }

    /// Changes that this node tells after a position, at most so many, and the
    /// position after them. The first position is 0.
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

    /// Parts that are remembered.
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
