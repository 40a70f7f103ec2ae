//! Which prompts are worth the room that they take in the KV cache store.
//!
//! An engine that saves a prompt saves its own last part along with the shared
//! ones, and nobody asks for that part again. Saving whatever the store lacks turns
//! it over with such parts before the shared ones are asked for.

/// Own tokens of a prompt for each shared one that the store lacks, up to which it
/// is saved.
const LARGEST_OWN_SHARE: f64 = 0.4;
/// The same while the store has room.
const LARGEST_OWN_SHARE_WITH_FREE_CAPACITY: f64 = 1.5;
/// Part of the store that is filled, up to which it counts as having room.
const MAX_FREE_CAPACITY_FILL: f64 = 0.7;

/// A prompt beside what the store keeps, in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SaveCandidate {
    /// The prompt's shared parts.
    pub shared_tokens: u64,
    /// Its own part.
    pub own_tokens: u64,
    /// Its shared parts that the store keeps.
    pub stored_tokens: u64,
}

/// How full the store is, in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreFill {
    /// What it is believed to keep.
    pub kept_tokens: u64,
    /// What it has room for.
    pub capacity_tokens: u64,
}

/// Whether the store has room for copies of what is kept elsewhere.
pub fn has_free_capacity(fill: StoreFill) -> bool {
    fill.kept_tokens as f64 / (fill.capacity_tokens.max(1) as f64) < MAX_FREE_CAPACITY_FILL
}

/// Whether the shared parts that the store lacks outweigh the prompt's own part.
pub fn is_worth_saving(candidate: SaveCandidate, fill: StoreFill) -> bool {
    let lacking_tokens = candidate
        .shared_tokens
        .saturating_sub(candidate.stored_tokens);
    if lacking_tokens == 0 {
        return false;
    }
    let largest_share = match has_free_capacity(fill) {
        true => LARGEST_OWN_SHARE_WITH_FREE_CAPACITY,
        false => LARGEST_OWN_SHARE,
    };
    candidate.own_tokens as f64 <= lacking_tokens as f64 * largest_share
}
