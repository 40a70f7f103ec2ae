//! What the engines keep of prompts, as their own events tell.
//!
//! A node follows the events of engines of its zone. What those drop, one node
//! tells the others, who know of what is read by the reports that they exchange
//! anyway ([`crate::prefix_holders`]): far fewer bytes than the events themselves.

use crate::cache_contents::CacheContents;
use crate::cache_followers::Assignment;
use crate::names::{EngineTag, PeerId};
use std::collections::HashMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Contents of the engines whose events are followed.
#[derive(Clone, Debug, Default)]
pub struct EngineCaches {
    assigned: HashMap<EngineTag, Assignment>,
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

    /// This node follows these engines from now on; what the others keep is forgotten.
    pub fn assign(&mut self, assigned: HashMap<EngineTag, Assignment>) {
        self.followed
            .retain(|engine, _| assigned.contains_key(engine));
        self.assigned = assigned;
    }

    /// The engines that this node follows.
    pub fn assignments(&self) -> &HashMap<EngineTag, Assignment> {
        &self.assigned
    }

    /// This node's part in following an engine; nothing when it does not.
    pub fn assignment(&self, engine: EngineTag) -> Option<Assignment> {
        self.assigned.get(&engine).copied()
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

/// Nodes that follow one engine's events, when there are so many in its zone.
pub const FOLLOWERS: usize = 4;

/// The nodes that follow an engine before this one does; as many as there are give its
/// place among the followers, 0 for the first. All nodes agree on it, by rendezvous hashing
/// over the nodes that they know.
pub fn followers_before(
    own: PeerId,
    others: impl Iterator<Item = PeerId>,
    engine: EngineTag,
) -> impl Iterator<Item = PeerId> {
    let weight = move |node: PeerId| xxh3_64_with_seed(&node.0.to_le_bytes(), u64::from(engine.0));
    let own_weight = weight(own);
    others.filter(move |other| weight(*other) > own_weight)
}
