//! Nodes as in a list from the store.

use crate::reports::address;
use ploverlift_balancing::peer_loads::{PeerId, ZoneTag};
use ploverlift_gateway::peers::address_book::{Capacity, ListedNode};

pub const OWN_ZONE: ZoneTag = ZoneTag(1);
pub const OTHER_ZONE: ZoneTag = ZoneTag(2);

pub fn listed(port: u16, zone: ZoneTag, cpu_thousandths: u32) -> ListedNode {
    ListedNode {
        tunnels: None,
        id: PeerId(u64::from(port)),
        address: address(port),
        zone,
        capacity: Capacity {
            cpu_thousandths,
            link_mbps: 100,
        },
    }
}
