//! How many requests a node may send to the target by itself, so that the fleet keeps
//! a share exactly without asking anybody.
//!
//! The share of the requests known so far is a number of credits, numbered from 0; each
//! credit belongs to one seat of the fleet, in turn. Counts only rise, so a node that
//! knows less of the fleet uses fewer credits, and no two nodes ever use the same one:
//! the sum over the fleet is never more than the share of all requests.

/// A node's seat among those that may use credits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seat {
    /// Its place in the order of all nodes (by the hash of their names), from 0.
    pub rank: u32,
    /// Nodes that there are: all that the platform lists, silent ones too.
    pub nodes: u32,
}

/// The place of a seat in the turn of a rollout: another node begins in each rollout.
fn rotated_rank(seat: Seat, rollout: u64) -> u64 {
    let nodes = u64::from(seat.nodes.max(1));
    (u64::from(seat.rank) + rollout % nodes) % nodes
}

/// How many of the fleet's credits belong to a seat.
pub fn owned_credits(fleet_credits: u64, seat: Seat, rollout: u64) -> u64 {
    let nodes = u64::from(seat.nodes.max(1));
    fleet_credits.saturating_add(nodes - 1 - rotated_rank(seat, rollout)) / nodes
}

/// The fleet's credits for so many requests.
pub fn fleet_credits(requests: u64, share_ppm: u64, start: u64) -> u64 {
    let earned = requests.saturating_mul(share_ppm) / crate::stage::MILLION;
    start.saturating_add(earned)
}
