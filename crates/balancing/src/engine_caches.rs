//! What the engines keep of prompts, as their own events tell.
//!
//! A node follows the events of as many engines as have room for its calls. Of
//! the others it knows only where prompts were sent ([`crate::prefix_holders`]),
//! and not what has given way there since.

use crate::cache_contents::CacheContents;
use crate::peer_loads::{EngineTag, PeerId};
use std::collections::HashMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Contents of the engines whose events are followed.
#[derive(Clone, Debug, Default)]
pub struct EngineCaches {
    followed: HashMap<EngineTag, CacheContents>,
}

impl EngineCaches {
    /// What an engine keeps; nothing when its events are not followed.
    pub fn of(&self, engine: EngineTag) -> Option<&CacheContents> {
        self.followed.get(&engine)
    }

    /// What a followed engine keeps, to be changed.
    pub fn of_mut(&mut self, engine: EngineTag) -> Option<&mut CacheContents> {
        self.followed.get_mut(&engine)
    }

    /// The engine's events are followed from now on.
    pub fn follow(&mut self, engine: EngineTag) -> &mut CacheContents {
        self.followed.entry(engine).or_default()
    }

    /// The engine's events are no longer followed.
    pub fn forget(&mut self, engine: EngineTag) {
        self.followed.remove(&engine);
    }

    /// Forgets the engines that `is_followed` does not name.
    pub fn retain(&mut self, is_followed: impl Fn(EngineTag) -> bool) {
        self.followed.retain(|engine, _| is_followed(*engine));
    }

    /// Engines whose events are followed.
    pub fn len(&self) -> usize {
        self.followed.len()
    }

    /// Whether no engine's events are followed.
    pub fn is_empty(&self) -> bool {
        self.followed.is_empty()
    }
}

/// Whether a node is among the `limit` nodes that follow an engine's events. An
/// engine holds a limited number of waiting calls, so in a large fleet each node
/// follows some of the engines; all nodes agree on which, by rendezvous hashing
/// over the nodes that were heard of lately.
pub fn is_follower(
    own: PeerId,
    peers: impl Iterator<Item = PeerId>,
    engine: EngineTag,
    limit: usize,
) -> bool {
    let weight = |node: PeerId| xxh3_64_with_seed(&node.0.to_le_bytes(), u64::from(engine.0));
    let before = peers.filter(|peer| weight(*peer) > weight(own));
    before.take(limit).count() < limit
}
