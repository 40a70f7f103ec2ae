//! Fencing tokens, as ballots: a term that rises, and the node that took it.
//!
//! A token is one integer under 2^53, which every JSON reader keeps whole: 25 bits of term
//! above 28 bits of node. The first term of an era of the store is the era times 2^16, so
//! tokens rise over a restoration even where the whole fleet has forgotten the last one.
//! Terms that were used up carry over into those of later eras; what nodes know of the
//! highest token keeps the order then.
//!
//! Tokens of releases before this scheme were small counters. They read as term 0 and sort
//! below all others; such a release, when it takes over, adds one to a token, which stays in
//! the term and below the next one.

use ploverlift_policy::ids::{NodeName, StoreEra};
use std::fmt;
use xxhash_rust::xxh3::xxh3_64;

/// Bits of a token that name its node.
const NODE_BITS: u32 = 28;
/// Bits of a term that count within one era.
const ERA_TERM_BITS: u32 = 16;
/// The highest term that leaves a token under 2^53.
const MAX_TERM: u64 = (1 << 25) - 1;

/// A node as fencing tokens name it. Two names may share a number, one pair in 2^28; see
/// [`NodeNumber::is_shared_by`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeNumber(u32);

impl NodeNumber {
    /// The number of a node.
    pub fn of(name: &NodeName) -> Self {
        Self::of_hash(xxh3_64(name.0.as_bytes()))
    }

    /// The number of a node whose name has this hash (XXH3, 64 bits).
    pub fn of_hash(hash: u64) -> Self {
        Self((hash & ((1 << NODE_BITS) - 1)) as u32)
    }

    /// Whether another node's name, of this hash, has the same number.
    pub fn is_shared_by(self, hash: u64) -> bool {
        self == Self::of_hash(hash)
    }
}

/// Rises with every change of holder; engines refuse orders with a lower one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FencingToken(pub u64);

impl FencingToken {
    /// The lowest token of a node in an era above `known`; nothing when terms are used up.
    pub fn next(known: FencingToken, era: StoreEra, node: NodeNumber) -> Option<Self> {
        let term = (known.term() + 1).max(first_term(era));
        (term <= MAX_TERM).then(|| Self(term << NODE_BITS | u64::from(node.0)))
    }

    /// The node that took it; nothing for a token of an earlier release.
    pub fn node(self) -> Option<NodeNumber> {
        let number = (self.0 & ((1 << NODE_BITS) - 1)) as u32;
        (self.term() > 0).then_some(NodeNumber(number))
    }

    fn term(self) -> u64 {
        self.0 >> NODE_BITS
    }
}

impl fmt::Display for FencingToken {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// The first term of an era; eras beyond those that fit share the last one.
fn first_term(era: StoreEra) -> u64 {
    let last_era = MAX_TERM >> ERA_TERM_BITS;
    era.0.min(last_era) << ERA_TERM_BITS
}
