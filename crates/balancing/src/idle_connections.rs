//! How many idle connections a node keeps to one engine.

/// Largest number of idle connections to an engine whose service sets no limit.
const MAX_IDLE: u64 = 4;

/// A node among all nodes of the fleet, ordered in the same way by each of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetPosition {
    /// Position of this node, from 0.
    pub rank: u64,
    /// Number of nodes.
    pub nodes: u64,
}

/// Number of idle connections that a node may keep to one engine. All nodes together keep less
/// than half of what the engine admits: after a loss of power they count against it until its
/// time-out, and the nodes need the rest. `rotation` differs between engines, so that the nodes
/// that may keep one more differ, too.
pub fn idle_share(max_connections: Option<u32>, position: FleetPosition, rotation: u64) -> usize {
    let Some(max_connections) = max_connections else {
        return MAX_IDLE as usize;
    };
    let nodes = position.nodes.max(1);
    let of_fleet = u64::from(max_connections.saturating_sub(1) / 2);
    let rank = (position.rank + rotation % nodes) % nodes;
    let share = of_fleet / nodes + u64::from(rank < of_fleet % nodes);
    share.min(MAX_IDLE) as usize
}
