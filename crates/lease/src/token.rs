//! Fencing tokens, built like ballot numbers: a rising term and the node that took it.
//!
//! A token is an integer below 2^53, which every JSON parser represents exactly: 25 bits of
//! term above 28 bits of node number. The first term of a store era is the era times 2^16,
//! so tokens rise across a restoration of the store even if no node remembers the last one.
//! If an era uses all its terms, it continues with those of later eras; the order is then
//! kept only by the nodes' knowledge of the highest token.
//!
//! Releases before this scheme used small counters as tokens. These decode as term 0 and
//! sort below all others. When such a release takes over a lease, it adds one to the token;
//! the result keeps the term and is below the token of the next term.

use ploverlift_policy::ids::{NodeName, StoreEra};
use std::fmt;
use xxhash_rust::xxh3::xxh3_64;

/// Bits of a token that hold the node number.
const NODE_BITS: u32 = 28;
/// Bits of a term that count within one store era.
const ERA_TERM_BITS: u32 = 16;
/// The highest term for which a token is below 2^53.
const MAX_TERM: u64 = (1 << 25) - 1;

/// The number of a node in fencing tokens, derived from its name. Two names have the same
/// number with a probability of 1 in 2^28; see [`NodeNumber::is_shared_by`].
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

    /// Whether another node, whose name has this hash, has the same number.
    pub fn is_shared_by(self, hash: u64) -> bool {
        self == Self::of_hash(hash)
    }
}

/// A fencing token: rises with every change of holder. Engines refuse orders with a token
/// lower than one that they have seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FencingToken(pub u64);

impl FencingToken {
    /// The lowest token of a node in an era that is above `known`; `None` when all terms are
    /// used up.
    pub fn next(known: FencingToken, era: StoreEra, node: NodeNumber) -> Option<Self> {
        let term = (known.term() + 1).max(first_term(era));
        (term <= MAX_TERM).then(|| Self(term << NODE_BITS | u64::from(node.0)))
    }

    /// The node that took the token; `None` for a token of an earlier release.
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

/// The first term of an era. Eras too large for a term share the first term of the last
/// era that fits.
fn first_term(era: StoreEra) -> u64 {
    let last_era = MAX_TERM >> ERA_TERM_BITS;
    era.0.min(last_era) << ERA_TERM_BITS
}
