//! The nodes that keep the version of a stream: the first in the stream's rendezvous order, so
//! that all nodes agree without coordination and a lost node moves only its own streams.

use crate::stream_key::StreamKey;
use ploverlift_balancing::names::PeerId;
use std::cmp::Reverse;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of nodes that keep the version of a stream.
pub const KEEPERS: usize = 3;
/// Number of nodes that are asked for it: more than keep it, because nodes may list different
/// nodes while some start or end.
pub const ASKED_NODES: usize = 6;

/// The first `count` nodes of a stream's rendezvous order.
pub fn first_nodes(
    stream: StreamKey,
    nodes: impl IntoIterator<Item = PeerId>,
    count: usize,
) -> Vec<PeerId> {
    let weighted = nodes.into_iter().map(|node| (weight(stream, node), node));
    let mut weighted: Vec<(u64, PeerId)> = weighted.collect();
    if weighted.len() > count && count > 0 {
        weighted.select_nth_unstable_by_key(count - 1, |weighted| Reverse(*weighted));
        weighted.truncate(count);
    }
    weighted.sort_unstable_by_key(|weighted| Reverse(*weighted));
    weighted.into_iter().map(|(_, node)| node).collect()
}

/// Whether a node is among the first `count` of a stream's rendezvous order of `others` and
/// itself. Mostly decided after a few of the others.
pub fn is_among_first(
    stream: StreamKey,
    node: PeerId,
    others: impl IntoIterator<Item = PeerId>,
    count: usize,
) -> bool {
    let own = (weight(stream, node), node);
    let others = others
        .into_iter()
        .map(|other| (weight(stream, other), other));
    let before = others.filter(|other| *other > own).take(count);
    before.count() < count
}

fn weight(stream: StreamKey, node: PeerId) -> u64 {
    xxh3_64_with_seed(&node.0.to_be_bytes(), stream.0)
}
