//! Which nodes share the following of engine caches, as known to this node in its role.

use crate::peers::roles::{role, Role};
use crate::state::Gateway;
use ploverlift_balancing::cache_followers::{FollowDuty, FollowingNodes};
use ploverlift_balancing::peer_loads::{PeerId, ZoneTag};
use ploverlift_policy::ids::Millis;
use std::collections::HashSet;

/// Time after the start from which engines of zones without any node are followed, in
/// milliseconds: before it, other nodes may not have been discovered yet.
const OTHER_ZONES_AFTER_MS: u64 = 3_000;

/// Which engines this node may follow now.
pub(super) fn follow_duty(gateway: &Gateway, now: Millis) -> FollowDuty {
    if gateway.is_refusing() {
        return FollowDuty::Nothing;
    }
    if gateway.is_stopping() {
        return FollowDuty::Kept;
    }
    let nodes = match role(gateway, now) {
        Role::Undecided => None,
        Role::Follower => reported_by_relays(gateway, now),
        Role::Relay => Some(reporting_and_listed(gateway)),
        Role::Direct => Some(reporting_or_listed(gateway)),
    };
    let Some(mut nodes) = nodes else {
        return FollowDuty::Nothing;
    };
    nodes.near.retain(|near| *near != nodes.own);
    nodes.follows_other_zones = now.since(gateway.started_at) >= OTHER_ZONES_AFTER_MS;
    FollowDuty::Shared(nodes)
}

/// The nodes of a follower's zone; `None` when no relay has recently reported any.
fn reported_by_relays(gateway: &Gateway, now: Millis) -> Option<FollowingNodes> {
    let beliefs = gateway.beliefs();
    let named = &beliefs.peer_loads.relayed.named_nodes;
    let near: Vec<PeerId> = named.members(now).collect();
    (!near.is_empty()).then(|| FollowingNodes {
        near,
        zones: named.zones(now).collect(),
        ..only_own_node(gateway)
    })
}

/// The nodes of a relay's zone. A relay that has just started has received few reports, so
/// it also counts all nodes listed in the store.
fn reporting_and_listed(gateway: &Gateway) -> FollowingNodes {
    let mut nodes = listed(gateway);
    let reporting = reporting(gateway);
    nodes.near.extend(reporting.near);
    nodes.near.sort_unstable();
    nodes.near.dedup();
    nodes.zones.extend(reporting.zones);
    nodes
}

/// The nodes of a small site. A node that receives no reports may itself be cut off, so it
/// uses the nodes listed in the store.
fn reporting_or_listed(gateway: &Gateway) -> FollowingNodes {
    let reporting = reporting(gateway);
    match reporting.near.is_empty() && reporting.far.is_empty() {
        true => listed(gateway),
        false => reporting,
    }
}

fn reporting(gateway: &Gateway) -> FollowingNodes {
    let beliefs = gateway.beliefs();
    let mut nodes = only_own_node(gateway);
    for (peer, zone) in beliefs.peer_loads.peers() {
        nodes.add(peer, zone);
    }
    nodes
}

fn listed(gateway: &Gateway) -> FollowingNodes {
    let mut nodes = only_own_node(gateway);
    for node in gateway.address_book().listed() {
        nodes.add(node.id, node.zone);
    }
    nodes
}

fn only_own_node(gateway: &Gateway) -> FollowingNodes {
    let zone = ZoneTag::of(&gateway.zone);
    FollowingNodes {
        own: PeerId::of(&gateway.settings().node.name),
        zone,
        near: Vec::new(),
        far: Vec::new(),
        zones: HashSet::from([zone]),
        follows_other_zones: false,
    }
}
