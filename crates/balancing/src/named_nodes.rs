//! The nodes that relays named lately.
//!
//! A relay that has just begun names few nodes, one that is gone names none, and
//! neither shows that the others left. So a node counts until nobody has named it for
//! a while.

use crate::names::{PeerId, ZoneTag};
use ploverlift_policy::ids::Millis;
use std::collections::HashMap;

/// Time for which a node counts after a relay named it last, in milliseconds: other
/// relays are in place 1 s after the former ones, and name all nodes within 1 s more. A
/// node that left costs its engines one follower of four for so long.
const KEPT_MS: u64 = 5_000;

/// Nodes of the own zone, and the zones that have any, each with when it was named last.
#[derive(Clone, Debug, Default)]
pub struct NamedNodes {
    members: HashMap<PeerId, Millis>,
    zones: HashMap<ZoneTag, Millis>,
}

impl NamedNodes {
    /// A relay names nodes of the own zone, and the zones that have any.
    pub fn note_named(&mut self, members: &[PeerId], zones: &[ZoneTag], now: Millis) {
        self.expire(now);
        let members = members.iter().map(|member| (*member, now));
        self.members.extend(members);
        let zones = zones.iter().map(|zone| (*zone, now));
        self.zones.extend(zones);
    }

    /// Forgets those that nobody has named lately.
    pub fn expire(&mut self, now: Millis) {
        self.members.retain(|_, named_at| is_kept(*named_at, now));
        self.zones.retain(|_, named_at| is_kept(*named_at, now));
    }

    /// Number of nodes of the own zone.
    pub fn member_count(&self) -> usize {
        self.members.len()
    }

    /// Nodes of the own zone; none when no relay has named any lately.
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
