//! How nodes divide among themselves which engines' caches each of them follows.
//!
//! No node asks another one: each ranks itself among those that it knows of. So it has
//! to know them. Hearing nobody shows no absence: a node that knows nobody, by what it
//! was told lately or by the list of the site's nodes, follows no engine and does
//! without what their caches would tell.

use crate::engine_caches::{follower_rank, FOLLOWERS};
use crate::names::{EngineTag, PeerId, ZoneTag};
use std::collections::HashSet;

/// The nodes that divide the engines, as one of them knows the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FollowingNodes {
    /// This node.
    pub own: PeerId,
    /// Its zone.
    pub zone: ZoneTag,
    /// The others of its zone.
    pub near: Vec<PeerId>,
    /// Nodes of other zones that divide with it the engines of zones without a node.
    pub far: Vec<PeerId>,
    /// Zones that have a node.
    pub zones: HashSet<ZoneTag>,
    /// Whether this node follows engines of zones without a node.
    pub follows_other_zones: bool,
}

/// What a node may follow now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FollowDuty {
    /// Its share among these nodes.
    Shared(FollowingNodes),
    /// What it follows already, and nothing more: it is about to stop.
    Kept,
    /// Nothing: it knows of no other node, or serves no requests any more.
    Nothing,
}

/// An engine whose cache a node follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// Whether this node tells the others what the engine has dropped: the first of
    /// its followers does.
    pub tells_drops: bool,
}

impl FollowingNodes {
    /// Adds a node of a zone.
    pub fn add(&mut self, node: PeerId, zone: ZoneTag) {
        self.zones.insert(zone);
        match zone == self.zone {
            true => self.near.push(node),
            false => self.far.push(node),
        }
    }

    /// This node's part in following an engine; nothing when others follow it.
    pub fn assignment(
        &self,
        engine: EngineTag,
        zone: ZoneTag,
        followers: usize,
    ) -> Option<Assignment> {
        let rank = self.rank(engine, zone)?;
        let is_follower = rank < followers.min(FOLLOWERS);
        is_follower.then_some(Assignment {
            tells_drops: rank == 0,
        })
    }

    /// Engines are followed from their own zone; those of a zone without a node from
    /// elsewhere.
    fn rank(&self, engine: EngineTag, zone: ZoneTag) -> Option<usize> {
        let near = self.near.iter().copied();
        if zone == self.zone {
            return Some(follower_rank(self.own, near, engine));
        }
        let all = near.chain(self.far.iter().copied());
        let is_orphan = self.follows_other_zones && !self.zones.contains(&zone);
        is_orphan.then(|| follower_rank(self.own, all, engine))
    }
}
