//! The nodes that relays listed recently.
//!
//! A relay that has just started lists few nodes, and one that is gone lists none; neither
//! shows that the other nodes have left. A node therefore counts until no relay has listed
//! it for `KEPT_MS`.

use crate::names::{PeerId, ZoneTag};
use ploverlift_policy::ids::Millis;
use std::collections::HashMap;

/// Time for which a node counts after a relay last listed it, in milliseconds. New relays
/// are in place 1 s after the former ones have gone, and list all nodes within 1 s more.
/// For this time, a node that has left costs its engines one of their four followers.
const KEPT_MS: u64 = 5_000;

/// Nodes of the own zone and zones that have any node, each with the time at which it was
/// last listed.
#[derive(Clone, Debug, Default)]
pub struct NamedNodes {
    members: HashMap<PeerId, Millis>,
    zones: HashMap<ZoneTag, Millis>,
}

impl NamedNodes {
    /// Records the nodes of the own zone and the zones with nodes that a relay has listed.
    pub fn note_named(&mut self, members: &[PeerId], zones: &[ZoneTag], now: Millis) {
        self.expire(now);
        let members = members.iter().map(|member| (*member, now));
        self.members.extend(members);
        let zones = zones.iter().map(|zone| (*zone, now));
        self.zones.extend(zones);
    }

    /// Removes the nodes and zones that no relay has listed recently.
    pub fn expire(&mut self, now: Millis) {
        self.members.retain(|_, named_at| is_kept(*named_at, now));
        self.zones.retain(|_, named_at| is_kept(*named_at, now));
    }

    /// Number of nodes of the own zone.
    pub fn member_count(&self) -> usize {
        self.members.len()
    }

    /// Nodes of the own zone; empty when no relay has listed any recently.
    pub fn members(&self, now: Millis) -> impl Iterator<Item = PeerId> + '_ {
        let members = self.members.iter();
        let kept = members.filter(move |(_, named_at)| is_kept(**named_at, now));
        kept.map(|(member, _)| *member)
    }

    /// Zones that have a node.
    pub fn zones(&self, now: Millis) -> impl Iterator<Item = ZoneTag> + '_ {
        let zones = self.zones.iter();
        let kept = zones.filter(move |(_, named_at)| is_kept(**named_at, now));
        kept.map(|(zone, _)| *zone)
    }
}

fn is_kept(named_at: Millis, now: Millis) -> bool {
    now.since(named_at) < KEPT_MS
}
