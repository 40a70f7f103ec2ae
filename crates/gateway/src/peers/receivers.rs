//! Receivers of changes that concern all nodes: all nodes of a small fleet, otherwise the
//! relays, which forward them.

use super::roles::{peer_relays, role, Role};
use crate::state::Gateway;
use ploverlift_balancing::peer_loads::{PeerId, ZoneTag};
use ploverlift_policy::ids::Millis;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// The nodes to which this node sends such changes.
pub(super) fn broadcast_receivers(gateway: &Gateway, now: Millis) -> BTreeSet<SocketAddr> {
    let own = PeerId::of(&gateway.settings().node.name);
    let role = role(gateway, now);
    let book = gateway.address_book();
    let mut receivers: BTreeSet<SocketAddr> = match role {
        Role::Direct | Role::Undecided => {
            let listed = book.listed().filter(|node| node.id != own);
            listed
                .map(|node| node.address)
                .chain(book.live(now))
                .collect()
        }
        Role::Relay => BTreeSet::new(),
        Role::Follower => {
            let relays = book.relays_of(ZoneTag::of(&gateway.zone), now);
            relays.iter().map(|relay| relay.address).collect()
        }
    };
    drop(book);
    if role == Role::Relay {
        receivers.extend(peer_relays(gateway, now));
        let beliefs = gateway.beliefs();
        let members = beliefs.relaying.receivers();
        receivers.extend(members.into_iter().map(|(member, _)| member));
        receivers.extend(beliefs.relaying.zone_reporters());
    }
    receivers
}
