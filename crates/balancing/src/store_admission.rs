//! Admission to the KV cache store: which prompts are worth saving.
//!
//! An engine that saves a prompt saves its own last part along with the shared parts, and
//! no other request uses that part. Saving every prompt of which the store lacks a part
//! would evict shared parts before they are used.

/// Maximum number of own tokens of a saved prompt per shared token that the store lacks.
const LARGEST_OWN_SHARE: f64 = 0.4;
/// The same while the store has free capacity.
const LARGEST_OWN_SHARE_WITH_FREE_CAPACITY: f64 = 1.5;
/// Fill ratio of the store below which it has free capacity.
const MAX_FREE_CAPACITY_FILL: f64 = 0.7;

/// A prompt that may be saved, and the part of it that the store contains, in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SaveCandidate {
    /// Tokens of the prompt's shared parts.
    pub shared_tokens: u64,
    /// Tokens of the part that the prompt does not share.
    pub own_tokens: u64,
    /// Tokens of the shared parts that the store contains.
    pub stored_tokens: u64,
}

/// Fill level of the store, in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreFill {
    /// Tokens that the store is assumed to contain.
    pub kept_tokens: u64,
    /// Capacity of the store.
    pub capacity_tokens: u64,
}

/// Whether the store has free capacity for copies of what is cached elsewhere.
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
