//! The key of a claim, and the quorums of its replicas.

use ploverlift_wire::messages::ClaimKey as ClaimKeyMessage;
use xxhash_rust::xxh3::xxh3_128;

/// Identity of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimKey(pub u128);

impl ClaimKey {
    /// The key of a request of one tenant on one route.
    pub fn of(tenant: &str, route: &str, idempotency_key: &str) -> Self {
        let text = format!("{tenant}\u{1f}{route}\u{1f}{idempotency_key}");
        Self(xxh3_128(text.as_bytes()))
    }

    pub(crate) fn to_message(self) -> ClaimKeyMessage {
        ClaimKeyMessage {
            high: (self.0 >> 64) as u64,
            low: self.0 as u64,
        }
    }

    pub(crate) fn from_message(message: Option<&ClaimKeyMessage>) -> Option<Self> {
        let message = message?;
        Some(Self(
            (u128::from(message.high) << 64) | u128::from(message.low),
        ))
    }
}

/// Number of complete replicas from which a replica that lost its votes must
/// recover, so that at least one of them is in every majority that it was part
/// of.
pub fn recovery_quorum(replicas: usize) -> usize {
    replicas - majority(replicas).min(replicas) + 1
}

/// Number of votes that form a majority of `replicas`.
pub fn majority(replicas: usize) -> usize {
    replicas / 2 + 1
}
