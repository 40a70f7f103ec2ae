//! Messages that a proposer sends to the replicas of a claim group.

use crate::claims::ClaimKey;
use ploverlift_wire::messages::envelope::Body;
use ploverlift_wire::messages::{ClaimComplete, ClaimRelease, ClaimRequest};

/// Requests a vote.
pub fn request(group: &str, generation: u64, key: ClaimKey, owner: u64, fingerprint: u64) -> Body {
    Body::ClaimRequest(ClaimRequest {
        group: group.to_owned(),
        generation,
        key: Some(key.to_message()),
        owner,
        fingerprint,
    })
}

/// Releases a claim.
pub fn release(group: &str, key: ClaimKey, owner: u64) -> Body {
    Body::ClaimRelease(ClaimRelease {
        group: group.to_owned(),
        key: Some(key.to_message()),
        owner,
    })
}

/// Records an answer.
pub fn complete(group: &str, key: ClaimKey, owner: u64, answer: Vec<u8>) -> Body {
    Body::ClaimComplete(ClaimComplete {
        group: group.to_owned(),
        key: Some(key.to_message()),
        owner,
        answer,
    })
}
