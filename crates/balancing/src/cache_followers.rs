//! Assignment of engines to the nodes that follow the events of their caches.
//!
//! Nodes do not negotiate: each one ranks itself among the nodes that it knows of, and
//! therefore has to know them. Silence does not prove that there are no other nodes. A node
//! that knows no other node, from recent reports or from the list of the site's nodes,
//! follows no engine and does without the information from cache events.

use crate::engine_caches::{followers_before, FOLLOWERS};
use crate::names::{EngineTag, PeerId, ZoneTag};
use std::collections::{HashMap, HashSet};

/// The nodes among which the engines are divided, as known to one of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FollowingNodes {
    /// This node.
    pub own: PeerId,
    /// Its zone.
    pub zone: ZoneTag,
    /// The other nodes of its zone.
    pub near: Vec<PeerId>,
    /// Nodes of other zones that share the engines of zones without a node with it.
    pub far: Vec<PeerId>,
    /// Zones that have a node.
    pub zones: HashSet<ZoneTag>,
    /// Whether this node follows engines of zones without a node.
    pub follows_other_zones: bool,
}

/// The engines that a node may follow now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FollowDuty {
    /// Its share among these nodes.
    Shared(FollowingNodes),
    /// The engines that it already follows and no others, because it is shutting down.
    Kept,
    /// None, because it knows no other node or no longer serves requests.
    Nothing,
}

/// A node's role in following an engine's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// The node's rank among the engine's followers, 0 for the first.
    pub rank: usize,
}

impl Assignment {
    /// Whether this node reports the engine's evictions to the other nodes; the first
    /// follower does.
    pub fn reports_evictions(self) -> bool {
        self.rank == 0
    }
}

/// Maximum number of event feeds for a node with one core. Each feed takes about two calls
/// per second, estimated (not measured) at 0.02% of a core, so that feeds take 2% of a node's
/// CPU time regardless of the number of engines.
const FEEDS_PER_CORE: f64 = 100.0;

/// Maximum number of feeds of a node; unlimited when its share of CPU cores is not known.
pub fn max_feeds(cpu_cores: f64) -> usize {
    match cpu_cores > 0.0 {
        true => (cpu_cores * FEEDS_PER_CORE).ceil() as usize,
        false => usize::MAX,
    }
}

/// Limits the assigned engines to `most`, preferring those for which the node has a low
/// rank among the followers.
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

    /// This node's role in following an engine; `None` when other nodes follow it.
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

    /// The node's rank among an engine's followers, counted up to the last follower only: of
    /// 200 nodes of a zone about 20 are examined on average. Engines are followed by nodes of
    /// their own zone, and engines of a zone without a node by nodes of other zones.
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
