//! Credits: how many requests a node may send to the target on its own, so that the
//! fleet keeps an exact share without coordination between nodes.
//!
//! The share of the requests known so far is a number of credits, numbered from 0; each
//! credit belongs to one seat of the fleet, in rotation. Counts only rise, so a node
//! that knows less of the fleet uses fewer credits, and no two nodes ever use the same
//! one: the sum over the fleet never exceeds the share of all requests.

/// A node's seat among the nodes that may use credits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seat {
    /// Position of the node when all nodes are ordered by the hash of their names, from
    /// 0.
    pub rank: u32,
    /// Number of all nodes that the platform lists, including silent ones.
    pub nodes: u32,
}

/// The seat's rank in the rotation of a rollout; each rollout starts with another node.
fn rotated_rank(seat: Seat, rollout: u64) -> u64 {
    let nodes = u64::from(seat.nodes.max(1));
    (u64::from(seat.rank) + rollout % nodes) % nodes
}

/// Number of the fleet's credits that belong to a seat.
pub fn owned_credits(fleet_credits: u64, seat: Seat, rollout: u64) -> u64 {
    let nodes = u64::from(seat.nodes.max(1));
    fleet_credits.saturating_add(nodes - 1 - rotated_rank(seat, rollout)) / nodes
}

/// The fleet's credits after this many requests: `start` plus the share of the requests.
pub fn fleet_credits(requests: u64, share_ppm: u64, start: u64) -> u64 {
    let earned = requests.saturating_mul(share_ppm) / crate::stage::MILLION;
    start.saturating_add(earned)
}
