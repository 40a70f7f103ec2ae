//! Which nodes succeed the holder of a lease, and after which delay.

use crate::peers::roles::{role, Role};
use crate::state::Gateway;
use ploverlift_balancing::peer_loads::PeerId;

/// Number of nodes on standby to succeed the holder of the lease.
const SUCCESSORS: u64 = 4;
/// Delay between two successors, in milliseconds, so that they do not all try to acquire
/// the lease at once.
const SUCCESSION_STEP_MS: u64 = 100;
/// Delay of the last standby node, in milliseconds.
pub const LAST_SUCCESSOR_DELAY_MS: u64 = SUCCESSORS * SUCCESSION_STEP_MS;
/// Delay of all other nodes, in milliseconds.
const NON_SUCCESSOR_DELAY_MS: u64 = 1_500;

/// Additional delay of this node, compared with the holder, before it tries to acquire the
/// lease, in milliseconds. The relays, or in a small fleet the nodes that exchange
/// reports, are ordered by their names. The first few try one after the other; all others
/// neither read the lease nor try to acquire it unless all of those fail.
pub fn succession_delay_ms(gateway: &Gateway) -> u64 {
    match succession_rank(gateway) {
        Some(position) if position < SUCCESSORS => position * SUCCESSION_STEP_MS,
        _ => NON_SUCCESSOR_DELAY_MS,
    }
}

/// Whether this node is among the first successors of a holder and knows its role. Without
/// a known role, all nodes would rank themselves first at their start.
pub fn is_lease_candidate(gateway: &Gateway) -> bool {
    let role = role(gateway, gateway.clock.now());
    let is_settled = matches!(role, Role::Direct | Role::Relay);
    is_settled && succession_delay_ms(gateway) <= LAST_SUCCESSOR_DELAY_MS
}

/// This node's rank among the relays, or in a small fleet among the nodes that exchange
/// reports; `None` when it follows relays.
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
