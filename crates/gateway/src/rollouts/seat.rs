//! Identity of this node and its seat in the fleet.

use ploverlift_balancing::peer_loads::PeerId;
use ploverlift_rollout::credits::Seat;

/// Identity of this node in the counts of the fleet.
#[derive(Clone, Copy, Debug)]
pub struct OwnSeat {
    /// The node.
    pub node: PeerId,
    /// Its incarnation.
    pub life: u64,
    /// Its seat among the nodes that may use canary credits.
    pub seat: Seat,
}
