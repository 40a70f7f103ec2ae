//! A directory of the engines that are believed to hold each prompt block.
//!
//! Placements are recorded when they are decided, so that the second request of a burst
//! goes to the same engine as the first. Cache events and the cached token counts in
//! answers correct them later. An entry is bound to the engine's incarnation: entries of
//! an earlier incarnation never match.

use crate::chain::PromptChain;
use crate::fleet::EngineKey;
use crate::ids::{BlockHash, Incarnation, Millis};
use std::collections::{HashMap, VecDeque};

/// Most holders that are recorded for one block; the least recently used is replaced.
pub const MAX_HOLDERS: usize = 8;
/// Most engines that a lookup returns.
pub const MAX_MATCHES: usize = 16;

/// One engine's copy of one block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The engine that holds the block.
    pub engine: EngineKey,
    /// The engine's incarnation when the block was stored.
    pub incarnation: Incarnation,
    /// When the block was last used.
    pub used_at: Millis,
}

/// An engine that holds a prefix of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixMatch {
    /// The engine.
    pub engine: EngineKey,
    /// The engine's incarnation when the blocks were stored.
    pub incarnation: Incarnation,
    /// Full blocks that it holds, counted from the start of the prompt.
    pub blocks: u32,
    /// When the last of these blocks was last used.
    pub used_at: Millis,
}

#[derive(Clone, Debug, Default)]
struct Holders {
    placements: Vec<Placement>,
    queued: bool,
}

/// A bounded table from block hash to holders.
#[derive(Clone, Debug)]
pub struct Directory {
    entries: HashMap<BlockHash, Holders>,
    /// Blocks in eviction order, by the second-chance algorithm.
    order: VecDeque<(BlockHash, Millis)>,
    capacity: usize,
}

impl Directory {
    /// Creates a table of at most `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            entries: HashMap::new(),
            order: VecDeque::new(),
            capacity: capacity.max(1),
        }
    }

    /// Blocks in the table.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records that `engine` holds `blocks` as of `now`.
    pub fn record(
        &mut self,
        blocks: &[BlockHash],
        engine: EngineKey,
        incarnation: Incarnation,
        now: Millis,
    ) {
        for block in blocks {
            let placement = Placement {
                engine,
                incarnation,
                used_at: now,
            };
            self.record_one(*block, placement);
        }
        self.evict_over_capacity();
    }

    fn record_one(&mut self, block: BlockHash, placement: Placement) {
        let holders = self.entries.entry(block).or_default();
        if !holders.queued {
            holders.queued = true;
            self.order.push_back((block, placement.used_at));
        }
        let known = holders
            .placements
            .iter_mut()
            .find(|known| known.engine == placement.engine);
        if let Some(known) = known {
            if placement.incarnation >= known.incarnation {
                *known = placement;
            }
            return;
        }
        if holders.placements.len() >= MAX_HOLDERS {
            let oldest = holders
                .placements
                .iter()
                .enumerate()
                .min_by_key(|(_, known)| known.used_at)
                .map(|(position, _)| position);
            if let Some(position) = oldest {
                holders.placements.swap_remove(position);
            }
        }
        holders.placements.push(placement);
    }

    fn evict_over_capacity(&mut self) {
        while self.entries.len() > self.capacity {
            let Some((block, queued_at)) = self.order.pop_front() else {
                return;
            };
            let Some(holders) = self.entries.get(&block) else {
                continue;
            };
            let last_use = holders.placements.iter().map(|known| known.used_at).max();
            match last_use {
                Some(used_at) if used_at > queued_at => self.order.push_back((block, used_at)),
                _ => {
                    self.entries.remove(&block);
                }
            }
        }
    }

    /// Removes the entry of one engine for one block.
    pub fn forget_block(&mut self, block: BlockHash, engine: EngineKey) {
        if let Some(holders) = self.entries.get_mut(&block) {
            holders.placements.retain(|known| known.engine != engine);
        }
    }

    /// Removes all entries of an engine, for example after a gap in its cache events or a
    /// crash.
    pub fn forget_engine(&mut self, engine: EngineKey) {
        for holders in self.entries.values_mut() {
            holders.placements.retain(|known| known.engine != engine);
        }
    }

    /// Finds engines that hold a prefix of the chain, longest prefix first.
    ///
    /// `current` returns an engine's current incarnation; placements of another incarnation
    /// do not match.
    pub fn lookup(
        &self,
        chain: &PromptChain,
        current: impl Fn(EngineKey) -> Option<Incarnation>,
    ) -> Vec<PrefixMatch> {
        let mut matches: Vec<PrefixMatch> = Vec::with_capacity(MAX_MATCHES);
        for (depth, block) in chain.blocks.iter().enumerate().rev() {
            let Some(holders) = self.entries.get(block) else {
                continue;
            };
            for placement in &holders.placements {
                if matches.len() >= MAX_MATCHES {
                    return matches;
                }
                let seen = matches.iter().any(|found| found.engine == placement.engine);
                if seen || current(placement.engine) != Some(placement.incarnation) {
                    continue;
                }
                matches.push(PrefixMatch {
                    engine: placement.engine,
                    incarnation: placement.incarnation,
                    blocks: depth as u32 + 1,
                    used_at: placement.used_at,
                });
            }
        }
        matches
    }
}
