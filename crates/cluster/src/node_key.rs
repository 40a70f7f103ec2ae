//! Identity of nodes in messages, and rendezvous hashing over them.

use ploverlift_policy::ids::NodeName;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Hash of a node's name: the compact form used in messages.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct NodeKey(pub u64);

impl NodeKey {
    /// The key of a node's name.
    pub fn of(name: &NodeName) -> Self {
        Self(xxh3_64(name.0.as_bytes()))
    }

    /// Digest of this node in one incarnation, for digests over sets of nodes.
    pub fn digest(self, life: u64) -> u64 {
        xxh3_64_with_seed(&life.to_le_bytes(), self.0)
    }

    /// The weight of this node for `item`; the node with the highest weight has
    /// the duty.
    fn weight(self, item: u64) -> u64 {
        xxh3_64_with_seed(&self.0.to_le_bytes(), item)
    }
}

/// The node among `nodes` that has the duty for `item`, by rendezvous hashing:
/// adding or removing one node moves only that node's share.
pub fn rendezvous_first(item: u64, nodes: impl Iterator<Item = NodeKey>) -> Option<NodeKey> {
    nodes.max_by_key(|node| node.weight(item))
}

/// The `count` nodes with the highest weights for `item`, the highest first.
pub fn rendezvous_top(
    item: u64,
    nodes: impl Iterator<Item = NodeKey>,
    count: usize,
) -> Vec<NodeKey> {
    let mut ranked: Vec<(u64, NodeKey)> = nodes.map(|node| (node.weight(item), node)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.truncate(count);
    ranked.into_iter().map(|(_, node)| node).collect()
}
