//! Rendezvous (highest random weight) hashing: every node orders the engines of a service
//! for a prompt in the same way, and the loss of an engine moves only its own prompts.

use crate::names::InstanceId;
use ploverlift_routing::prompt::ChainKey;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The weight of an engine for a prompt. The engine with the highest weight is the
/// prompt's home.
pub fn weight(key: ChainKey, instance: &InstanceId) -> u64 {
    xxh3_64_with_seed(instance.0.as_bytes(), key.0)
}
