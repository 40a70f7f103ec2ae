//! Who succeeds the holder of a lease, and after how long.

use crate::peers::roles::{role, Role};
use crate::state::Gateway;
use ploverlift_balancing::peer_loads::PeerId;

/// Nodes that stand by to succeed the holder of the lease.
const SUCCESSORS: u64 = 4;
/// Time between two of them, in milliseconds, so that not all ask at once.
const SUCCESSION_STEP_MS: u64 = 100;
/// The wait of the last one that stands by, in milliseconds.
pub const LAST_SUCCESSOR_DELAY_MS: u64 = SUCCESSORS * SUCCESSION_STEP_MS;
/// The wait of all other nodes, in milliseconds.
const NON_SUCCESSOR_DELAY_MS: u64 = 1_500;

/// Time by which this node waits longer than the holder before it asks for the
/// lease, in milliseconds. The relays, or in a small fleet the nodes that hear of
/// each other, are ordered by their names; the first few succeed one after the
/// other, and the many others neither look at the lease nor ask for it unless all
/// of those fail.
pub fn succession_delay_ms(gateway: &Gateway) -> u64 {
    match succession_rank(gateway) {
        Some(position) if position < SUCCESSORS => position * SUCCESSION_STEP_MS,
        _ => NON_SUCCESSOR_DELAY_MS,
    }
}

/// Whether this node is among the first to succeed a holder, and knows its role: at the
/// start all nodes would take themselves for the first.
pub fn is_lease_candidate(gateway: &Gateway) -> bool {
    let role = role(gateway, gateway.clock.now());
    let is_settled = matches!(role, Role::Direct | Role::Relay);
    is_settled && succession_delay_ms(gateway) <= LAST_SUCCESSOR_DELAY_MS
}

/// This node's place in the order of the relays, or in a small fleet of the nodes that
/// hear of each other; nothing when it follows relays.
pub fn succession_rank(gateway: &Gateway) -> Option<u64> {
    let own = PeerId::of(&gateway.settings().node.name);
    let now = gateway.clock.now();
    let rank = match role(gateway, now) {
        Role::Relay => gateway.address_book().relay_rank(own, now),
        Role::Follower => None,
        Role::Direct | Role::Undecided => Some(gateway.beliefs().peer_loads.rank(own)),
    };
    rank.and_then(|rank| u64::try_from(rank).ok())
}
