//! An engine's bounded LRU cache of prompt blocks.

use ploverlift_policy::ids::{BlockHash, Millis};
use std::collections::{BTreeMap, HashMap};

/// A bounded set of blocks, ordered by last use.
#[derive(Clone, Debug)]
pub struct BlockCache {
    capacity: usize,
    used: HashMap<BlockHash, (u64, Millis)>,
    order: BTreeMap<u64, BlockHash>,
    tick: u64,
}

/// An evicted block and the time since its last use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evicted {
    /// The block.
    pub block: BlockHash,
    /// Time since its last use, in milliseconds.
    pub idle_ms: u64,
}

impl BlockCache {
    /// An empty cache of at most `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity: capacity.max(1),
            used: HashMap::new(),
            order: BTreeMap::new(),
            tick: 0,
        }
    }

    /// Number of blocks in the longest cached prefix of a chain.
    pub fn cached_prefix(&self, blocks: &[BlockHash]) -> usize {
        let cached = blocks
            .iter()
            .take_while(|block| self.used.contains_key(block));
        cached.count()
    }

    /// Stores or refreshes a chain and returns the evicted blocks. The first block is
    /// refreshed last, so that leaves are evicted before the prefixes they need.
    pub fn store(&mut self, blocks: &[BlockHash], now: Millis) -> Vec<Evicted> {
        for block in blocks.iter().rev() {
            self.touch(*block, now);
        }
        let mut evicted = Vec::new();
        while self.used.len() > self.capacity {
            let Some((_, block)) = self.order.pop_first() else {
                break;
            };
            if let Some((_, used_at)) = self.used.remove(&block) {
                let idle_ms = now.since(used_at);
                evicted.push(Evicted { block, idle_ms });
            }
        }
        evicted
    }

    fn touch(&mut self, block: BlockHash, now: Millis) {
        self.tick += 1;
        if let Some((tick, _)) = self.used.insert(block, (self.tick, now)) {
            self.order.remove(&tick);
        }
        self.order.insert(self.tick, block);
    }

    /// Whether the block is cached.
    pub fn contains(&self, block: BlockHash) -> bool {
        self.used.contains_key(&block)
    }

    /// Removes all blocks.
    pub fn clear(&mut self) {
        self.used.clear();
        self.order.clear();
    }

    /// Number of blocks in the cache.
    pub fn len(&self) -> usize {
        self.used.len()
    }

    /// Whether the cache is empty.
    pub fn is_empty(&self) -> bool {
        self.used.is_empty()
    }
}
