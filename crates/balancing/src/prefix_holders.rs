//! Which engines keep the cache of which chains of prompt parts.
//!
//! Known from the traffic of this node and, by their reports, of the others. An
//! engine may have dropped a chain meanwhile; relying on it then costs a look-up
//! there and reading the prompt. It can never give a wrong answer, because a
//! chain's key spells out the weights and the scope of the cache.

use crate::peer_loads::EngineTag;
use ploverlift_policy::ids::Millis;
use ploverlift_routing::prompt::{ChainKey, PromptPart};
use std::collections::{HashMap, VecDeque};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Time for which an engine counts as a holder, in milliseconds.
const HELD_MS: u64 = 15_000;
/// Time after which a holder that is still used is reported again, in
/// milliseconds.
const REPORT_AGAIN_MS: u64 = 5_000;
/// Engines that are remembered for each chain: the latest ones.
const MAX_HOLDERS: usize = 4;
/// Chains that are remembered.
const MAX_CHAINS: usize = 20_000;
/// Placements of this node that can be reported: the latest ones.
const MAX_NEWS: usize = 256;
/// Time between two sweeps, in milliseconds.
const SWEEP_PERIOD_MS: u64 = 5_000;

/// An engine that keeps a chain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The engine.
    pub engine: EngineTag,
    /// When it last used the chain.
    pub used_at: Millis,
}

/// A chain that an engine keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The chain.
    pub chain: ChainKey,
    /// The engine.
    pub engine: EngineTag,
}

/// Holders by chain.
#[derive(Clone, Debug, Default)]
pub struct PrefixHolders {
    holders: HashMap<ChainKey, Vec<Holder>>,
    news: VecDeque<Placement>,
    news_dropped: u64,
    swept_at: Millis,
}

/// The keys of a prompt's shared parts under a salt: each names its part and all
/// before it.
pub fn chain_keys(salt: &str, parts: &[PromptPart]) -> Vec<ChainKey> {
    let mut chain = xxh3_64_with_seed(salt.as_bytes(), 0);
    let keys = parts.iter().map(|part| {
        chain = xxh3_64_with_seed(&part.id.to_le_bytes(), chain);
        ChainKey(chain)
    });
    keys.collect()
}

impl PrefixHolders {
    /// An engine has read these chains for this node.
    pub fn note_own(&mut self, chains: &[ChainKey], engine: EngineTag, now: Millis) {
        for chain in chains {
            let placement = Placement {
                chain: *chain,
                engine,
            };
            let before = self.note(placement, now);
            let is_news = before.is_none_or(|used_at| now.since(used_at) >= REPORT_AGAIN_MS);
            if is_news {
                self.news.push_back(placement);
            }
            if self.news.len() > MAX_NEWS {
                self.news.pop_front();
                self.news_dropped += 1;
            }
        }
    }

    /// An engine has read a chain; tells when it was last known to have.
    pub fn note(&mut self, placement: Placement, now: Millis) -> Option<Millis> {
        self.sweep(now);
        let holders = self.holders.entry(placement.chain).or_default();
        let known = holders
            .iter_mut()
            .find(|holder| holder.engine == placement.engine);
        if let Some(holder) = known {
            return Some(std::mem::replace(&mut holder.used_at, now));
        }
        if holders.len() >= MAX_HOLDERS {
            holders.remove(0);
        }
        holders.push(Holder {
            engine: placement.engine,
            used_at: now,
        });
        None
    }

    /// Time since an engine last used a chain, in milliseconds; nothing when it is
    /// not taken to keep it any longer.
    pub fn age_ms(&self, chain: ChainKey, engine: EngineTag, now: Millis) -> Option<u64> {
        let mut holders = self.holders.get(&chain)?.iter();
        let holder = holders.find(|holder| holder.engine == engine)?;
        Some(now.since(holder.used_at)).filter(|age_ms| *age_ms < HELD_MS)
    }

    /// Placements of this node after a position, at most so many, and the position
    /// after them. The first position is 0.
    pub fn news_after(&self, position: u64, limit: usize) -> (Vec<Placement>, u64) {
        let first = position.max(self.news_dropped);
        let skipped = (first - self.news_dropped) as usize;
        let news: Vec<Placement> = self
            .news
            .iter()
            .skip(skipped)
            .take(limit)
            .copied()
            .collect();
        let next = first + news.len() as u64;
        (news, next)
    }

    /// Chains that are remembered.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Whether no chain is remembered.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    fn sweep(&mut self, now: Millis) {
        let is_full = self.holders.len() >= MAX_CHAINS;
        if now.since(self.swept_at) < SWEEP_PERIOD_MS && !is_full {
            return;
        }
        self.swept_at = now;
        self.holders.retain(|_, holders| {
            holders.retain(|holder| now.since(holder.used_at) < HELD_MS);
            !holders.is_empty()
        });
        if self.holders.len() >= MAX_CHAINS {
            self.holders.clear();
        }
    }
}
