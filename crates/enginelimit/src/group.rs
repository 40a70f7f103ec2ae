//! Groups of engines and their holders.

use ploverlift_balancing::names::{EngineTag, PeerId};
use ploverlift_routing::configuration::ServiceName;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Approximate number of engines in a group: as many as one node can account for when all
/// of them are limited. A small service has one group, so its holder can grant a token of
/// any engine with free capacity.
const ENGINES_PER_GROUP: usize = 256;

/// The identifier of a group of engines, the same on all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GroupTag(pub u32);

/// The number of groups of a service. It is a power of two, so that few engines change
/// groups while a service grows.
fn group_count(engines: usize) -> u32 {
    let groups = engines / ENGINES_PER_GROUP;
    groups.max(1).next_power_of_two() as u32
}

/// The group of an engine in a service with `engines` engines.
pub fn group_of(service: &ServiceName, engine: EngineTag, engines: usize) -> GroupTag {
    let groups = group_count(engines);
    group(service, groups, engine.0 % groups)
}

/// All groups of a service with `engines` engines.
pub fn groups_of(service: &ServiceName, engines: usize) -> impl Iterator<Item = GroupTag> + '_ {
    let groups = group_count(engines);
    (0..groups).map(move |number| group(service, groups, number))
}

fn group(service: &ServiceName, groups: u32, number: u32) -> GroupTag {
    let seed = u64::from(groups) << u32::BITS | u64::from(number);
    GroupTag(xxh3_64_with_seed(service.0.as_bytes(), seed) as u32)
}

/// A node and its address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeAddress {
    /// The node.
    pub node: PeerId,
    /// The address at which it receives messages.
    pub address: SocketAddr,
}

impl NodeAddress {
    /// A placeholder for a node that other nodes cannot reach.
    pub const UNREACHABLE: Self = Self {
        node: PeerId(0),
        address: SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0),
    };
}

/// The holder of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The node.
    pub at: NodeAddress,
    /// Increases with each takeover of the group.
    pub term: u64,
}

impl Holder {
    /// Whether this holder wins when both claim the group: the later term wins, and in the
    /// same term the node preferred by a hash of group and node.
    pub fn supersedes(&self, other: &Holder, group: GroupTag) -> bool {
        let rank = |holder: &Holder| (holder.term, preference(group, holder.at.node));
        rank(self) > rank(other)
    }
}

fn preference(group: GroupTag, node: PeerId) -> u64 {
    xxh3_64(&[u64::from(group.0).to_be_bytes(), node.0.to_be_bytes()].concat())
}
