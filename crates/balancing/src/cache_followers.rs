//! How nodes divide among themselves which engines' caches each of them follows.
//!
//! No node asks another one: each ranks itself among those that it knows of. So it has
//! to know them. Hearing nobody shows no absence: a node that knows nobody, by what it
//! was told lately or by the list of the site's nodes, follows no engine and does
//! without what their caches would tell.

use crate::engine_caches::{followers_before, FOLLOWERS};
use crate::names::{EngineTag, PeerId, ZoneTag};
use std::collections::{HashMap, HashSet};

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
    /// The node's place among the engine's followers, 0 for the first.
    pub rank: usize,
}

impl Assignment {
    /// Whether this node tells the others what the engine has dropped: the first of its
    /// followers does.
    pub fn reports_evictions(self) -> bool {
        self.rank == 0
    }
}

/// Feeds that a node with a whole core has. Each takes about two calls a second; at an
/// estimated 0.02% of a core, not measured, feeds take 2% of what a node has, however many
/// engines there are.
const FEEDS_PER_CORE: f64 = 100.0;

/// Feeds that a node has at most; as many as fall to it where its share of a core is not
/// known.
pub fn max_feeds(cpu_cores: f64) -> usize {
    match cpu_cores > 0.0 {
        true => (cpu_cores * FEEDS_PER_CORE).ceil() as usize,
        false => usize::MAX,
    }
}

/// The engines that a node follows of those that fall to it: those whose first follower it
/// is before the others.
pub fn within_budget(
    assigned: HashMap<EngineTag, Assignment>,
    most: usize,
) -> HashMap<EngineTag, Assignment> {
    if assigned.len() <= most {
        return assigned;
    }
    let mut ordered: Vec<(EngineTag, Assignment)> = assigned.into_iter().collect();
    ordered.sort_by_key(|(engine, assignment)| (assignment.rank, *engine));
    ordered.truncate(most);
    ordered.into_iter().collect()
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
        is_follower.then_some(Assignment { rank })
    }

    /// The node's place among an engine's followers, counted up to the last of them: of
    /// the 200 nodes of a zone some 20 are looked at on average. Engines are followed from
    /// their own zone; those of a zone without a node from elsewhere.
    fn rank(&self, engine: EngineTag, zone: ZoneTag) -> Option<usize> {
        let near = self.near.iter().copied();
        if zone == self.zone {
            let before = followers_before(self.own, near, engine);
            return Some(before.take(FOLLOWERS).count());
        }
        let all = near.chain(self.far.iter().copied());
        let is_orphan = self.follows_other_zones && !self.zones.contains(&zone);
        is_orphan.then(|| {
            let before = followers_before(self.own, all, engine);
            before.take(FOLLOWERS).count()
        })
    }
}
