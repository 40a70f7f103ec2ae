//! Assignment of engines to the nodes that follow the events of their caches.
//!
//! The scenario is a zone of 200 small nodes and 1,935 engines, few of which process prompts:
//! a node that followed all engines assigned to it would call 39 engines twice per second.

use ploverlift_balancing::cache_followers::{max_feeds, within_budget, Assignment, FollowingNodes};
use ploverlift_balancing::peer_loads::{EngineTag, PeerId, ZoneTag};
use std::collections::{HashMap, HashSet};

const ZONE: ZoneTag = ZoneTag(1);
const OTHER_ZONE: ZoneTag = ZoneTag(2);
const NODES: u64 = 200;
const ENGINES: u32 = 1_935;
const FOLLOWERS: usize = 4;

fn node(own: u64) -> FollowingNodes {
    FollowingNodes {
        own: PeerId(own),
        zone: ZONE,
        near: (0..NODES).filter(|id| *id != own).map(PeerId).collect(),
        far: Vec::new(),
        zones: HashSet::from([ZONE]),
        follows_other_zones: true,
    }
}

fn assigned(own: u64) -> HashMap<EngineTag, Assignment> {
    let nodes = node(own);
    let engines = (0..ENGINES).map(EngineTag);
    let assigned = engines.filter_map(|engine| {
        let assignment = nodes.assignment(engine, ZONE, FOLLOWERS)?;
        Some((engine, assignment))
    });
    assigned.collect()
}

#[test]
fn each_engine_has_four_followers_with_distinct_ranks() {
    let mut followers: HashMap<EngineTag, Vec<usize>> = HashMap::new();
    for own in 0..NODES {
        for (engine, assignment) in assigned(own) {
            followers.entry(engine).or_default().push(assignment.rank);
        }
    }
    assert_eq!(followers.len(), ENGINES as usize);
    for ranks in followers.values_mut() {
        ranks.sort_unstable();
        assert_eq!(*ranks, [0, 1, 2, 3]);
    }
}

#[test]
fn a_small_node_limits_its_feeds_and_prefers_engines_that_it_follows_first() {
    let all = assigned(7);
    let most = max_feeds(0.12);
    let followed = within_budget(all.clone(), most);
    assert_eq!(followed.len(), most);
    let firsts = |assigned: &HashMap<EngineTag, Assignment>| {
        let first = assigned.values().filter(|known| known.reports_evictions());
        first.count()
    };
    assert_eq!(firsts(&followed), firsts(&all).min(most));
    assert_eq!(within_budget(all.clone(), max_feeds(0.0)).len(), all.len());
}

#[test]
fn engines_of_a_zone_without_a_node_are_followed_from_other_zones() {
    let mut nodes = node(7);
    let is_any_assigned = |nodes: &FollowingNodes| {
        let mut engines = (0..ENGINES).map(EngineTag);
        engines.any(|engine| nodes.assignment(engine, OTHER_ZONE, FOLLOWERS).is_some())
    };
    assert!(is_any_assigned(&nodes));
    nodes.follows_other_zones = false;
    assert!(!is_any_assigned(&nodes));
    nodes.follows_other_zones = true;
    nodes.zones.insert(OTHER_ZONE);
    assert!(!is_any_assigned(&nodes));
}
