//! The contents of the engines' prefix caches, as known from their events.
//!
//! A node follows the events of engines of its zone. One follower of each engine reports
//! evictions to the other nodes, which know the parts that were read from the reports that
//! nodes exchange anyway ([`crate::prefix_holders`]). This takes far fewer bytes than the
//! events themselves.

use crate::cache_contents::CacheContents;
use crate::cache_followers::Assignment;
use crate::names::{EngineTag, PeerId};
use std::collections::HashMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The engines assigned to this node, and the contents of those whose events are followed.
#[derive(Clone, Debug, Default)]
pub struct EngineCaches {
    assigned: HashMap<EngineTag, Assignment>,
    followed: HashMap<EngineTag, CacheContents>,
}

impl EngineCaches {
    /// The contents of an engine's cache; `None` when its events are not followed.
    pub fn of(&self, engine: EngineTag) -> Option<&CacheContents> {
        self.followed.get(&engine)
    }

    /// The contents of an engine's cache, mutable; `None` when its events are not followed.
    pub fn of_mut(&mut self, engine: EngineTag) -> Option<&mut CacheContents> {
        self.followed.get_mut(&engine)
    }

    /// Begins to follow the engine's events.
    pub fn follow(&mut self, engine: EngineTag) -> &mut CacheContents {
        self.followed.entry(engine).or_default()
    }

    /// Stops following the engine's events and drops its contents.
    pub fn forget(&mut self, engine: EngineTag) {
        self.followed.remove(&engine);
    }

    /// Sets the engines that this node follows; drops the contents of all others.
    pub fn assign(&mut self, assigned: HashMap<EngineTag, Assignment>) {
        self.followed
            .retain(|engine, _| assigned.contains_key(engine));
        self.assigned = assigned;
    }

    /// The engines that are assigned to this node.
    pub fn assignments(&self) -> &HashMap<EngineTag, Assignment> {
        &self.assigned
    }

    /// This node's role in following an engine; `None` when the engine is not assigned to it.
    pub fn assignment(&self, engine: EngineTag) -> Option<Assignment> {
        self.assigned.get(&engine).copied()
    }

    /// Number of engines whose events are followed.
    pub fn len(&self) -> usize {
        self.followed.len()
    }

    /// Whether no engine's events are followed.
    pub fn is_empty(&self) -> bool {
        self.followed.is_empty()
    }
}

/// Number of nodes that follow one engine's events, if its zone has that many.
pub const FOLLOWERS: usize = 4;

/// The nodes that precede this one as followers of an engine; their number is this node's
/// rank among the followers, 0 for the first. The order results from rendezvous hashing, so
/// all nodes that know the same nodes agree on it.
pub fn followers_before(
    own: PeerId,
    others: impl Iterator<Item = PeerId>,
    engine: EngineTag,
) -> impl Iterator<Item = PeerId> {
    let weight = move |node: PeerId| xxh3_64_with_seed(&node.0.to_le_bytes(), u64::from(engine.0));
    let own_weight = weight(own);
    others.filter(move |other| weight(*other) > own_weight)
}
