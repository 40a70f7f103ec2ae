//! Groups of engines, and the node that holds each.

use ploverlift_balancing::names::{EngineTag, PeerId};
use ploverlift_routing::configuration::ServiceName;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Engines of a service that make up one group, about: what one node can count for while all
/// of them are limited. Small services have one group, whose holder then finds the engine
/// that has room wherever that is.
const ENGINES_PER_GROUP: usize = 256;

/// A group of engines, the same on all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GroupTag(pub u32);

/// Groups of a service with so many engines. It doubles, so that few engines change groups
/// while a service grows.
fn group_count(engines: usize) -> u32 {
    let groups = engines / ENGINES_PER_GROUP;
    groups.max(1).next_power_of_two() as u32
}

/// The group of an engine, in a service with so many.
pub fn group_of(service: &ServiceName, engine: EngineTag, engines: usize) -> GroupTag {
    let groups = group_count(engines);
    group(service, groups, engine.0 % groups)
}

/// All groups of a service with so many engines.
pub fn groups_of(service: &ServiceName, engines: usize) -> impl Iterator<Item = GroupTag> + '_ {
    let groups = group_count(engines);
    (0..groups).map(move |number| group(service, groups, number))
}

fn group(service: &ServiceName, groups: u32, number: u32) -> GroupTag {
    let seed = u64::from(groups) << u32::BITS | u64::from(number);
    GroupTag(xxh3_64_with_seed(service.0.as_bytes(), seed) as u32)
}

/// A node and where it is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeAddress {
    /// The node.
    pub node: PeerId,
    /// Where it receives messages.
    pub address: SocketAddr,
}

impl NodeAddress {
    /// A node that no other node can ask.
    pub const UNREACHABLE: Self = Self {
        node: PeerId(0),
        address: SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0),
    };
}

/// Who holds a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The node.
    pub at: NodeAddress,
    /// Rises each time that a node takes the group over.
    pub term: u64,
}

impl Holder {
    /// Whether this one holds the group where both say that they do: the later term, or of
    /// two in one term the node that the group's name prefers.
    pub fn supersedes(&self, other: &Holder, group: GroupTag) -> bool {
        let rank = |holder: &Holder| (holder.term, preference(group, holder.at.node));
        rank(self) > rank(other)
    }
}

fn preference(group: GroupTag, node: PeerId) -> u64 {
    xxh3_64(&[u64::from(group.0).to_be_bytes(), node.0.to_be_bytes()].concat())
}
