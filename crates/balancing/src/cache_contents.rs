//! The contents of an engine's cache or a KV cache store, as known from its events.
//!
//! Events arrive late and some are lost. A part that is assumed to be held but is not costs
//! a look-up; a part that is held but not assumed to be costs a second copy. Neither can
//! give a wrong answer: a part is found only under the salt that identifies its weights and
//! its scope.

use ploverlift_routing::prompt::{PartKey, PromptPart};
use std::collections::{HashMap, HashSet};

/// Maximum number of parts that are remembered; once it is reached, events only remove parts.
const MAX_PARTS: usize = 200_000;

/// A change of the tokens that are held of one part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheEvent {
    /// The salt under which the part is stored.
    pub salt: String,
    /// The ID of the part.
    pub part: u64,
    /// Tokens of the part that are held after the change; 0 when it was evicted entirely.
    pub kept_tokens: u64,
}

/// A batch of changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CacheEvents {
    /// The epoch of the cache or store; each new epoch begins with empty contents.
    pub epoch: u64,
    /// The position at which the next batch begins.
    pub next: u64,
    /// Whether changes before this batch are missing.
    pub has_gap: bool,
    /// The changes, in order.
    pub events: Vec<CacheEvent>,
}

/// Block size of the cache memory, in tokens. A part that lacks fewer tokens than this still
/// counts as complete, since its last block need not be full.
const BLOCK_TOKENS: u64 = 16;

/// One of several equal shares of all parts, divided by their keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyShare {
    /// Number of shares that all parts are divided into; at least 1.
    pub shares: u32,
    /// Index of this share.
    pub share: u32,
}

impl KeyShare {
    fn has(self, part: PartKey) -> bool {
        part.0 % u64::from(self.shares.max(1)) == u64::from(self.share)
    }
}

/// The known contents of one engine's cache or one store.
#[derive(Clone, Debug, Default)]
pub struct CacheContents {
    epoch: Option<u64>,
    /// The previous epoch, which nodes that lag behind may still report.
    ended_epoch: Option<u64>,
    next: u64,
    kept_tokens: HashMap<PartKey, u32>,
    total_tokens: u64,
}

impl CacheContents {
    /// The position at which the next batch of events begins.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Applies a batch; returns the parts of which fewer tokens are held than before. After
    /// a gap or in a new epoch the former contents are discarded first.
    pub fn apply(&mut self, batch: &CacheEvents) -> Vec<PartKey> {
        if self.epoch != Some(batch.epoch) || batch.has_gap {
            self.epoch = Some(batch.epoch);
            self.clear();
        }
        self.next = batch.next;
        let dropped = batch.events.iter().filter_map(|event| {
            let part = PartKey::of(&event.salt, event.part);
            let kept_tokens = saturated(event.kept_tokens);
            let before = self.set(part, kept_tokens);
            before
                .is_some_and(|before| before > kept_tokens)
                .then_some(part)
        });
        dropped.collect()
    }

    /// Sets the tokens that are held of a part; returns the former value, if known.
    fn set(&mut self, part: PartKey, kept_tokens: u32) -> Option<u32> {
        let before = match kept_tokens {
            0 => self.kept_tokens.remove(&part),
            _ if self.kept_tokens.len() >= MAX_PARTS => return None,
            _ => self.kept_tokens.insert(part, kept_tokens),
        };
        self.total_tokens += u64::from(kept_tokens);
        self.total_tokens -= u64::from(before.unwrap_or(0));
        before
    }

    fn clear(&mut self) {
        self.kept_tokens.clear();
        self.total_tokens = 0;
    }

    /// Records that this node has had a part read or saved there. It counts as held until an
    /// event reports otherwise, or permanently when events are not followed.
    pub fn note_kept(&mut self, salt: &str, part: &PromptPart) {
        if self.kept_tokens.len() >= MAX_PARTS {
            self.clear();
        }
        self.set(PartKey::of(salt, part.id), saturated(part.tokens));
    }

    /// The epoch, once it is known from an event or another node.
    pub fn epoch(&self) -> Option<u64> {
        self.epoch
    }

    /// Applies what another node that follows the events reports of some parts. When the
    /// report covers a whole `share`, parts of that share that it lacks are not held.
    pub fn apply_parts(&mut self, epoch: u64, parts: &[(PartKey, u32)], share: Option<KeyShare>) {
        if self.ended_epoch == Some(epoch) {
            return;
        }
        if self.epoch != Some(epoch) {
            self.ended_epoch = self.epoch.replace(epoch);
            self.clear();
        }
        for (part, kept_tokens) in parts {
            self.set(*part, *kept_tokens);
        }
        let Some(share) = share else {
            return;
        };
        let reported: HashSet<PartKey> = parts.iter().map(|(part, _)| *part).collect();
        let known = self.kept_tokens.keys();
        let dropped = known.filter(|part| share.has(**part) && !reported.contains(part));
        for part in dropped.copied().collect::<Vec<PartKey>>() {
            self.set(part, 0);
        }
    }

    /// The parts of a share that are held, with their tokens.
    pub fn kept_in(&self, share: KeyShare) -> impl Iterator<Item = (PartKey, u32)> + '_ {
        let kept = self.kept_tokens.iter();
        let of_share = kept.filter(move |(part, _)| share.has(**part));
        of_share.map(|(part, tokens)| (*part, *tokens))
    }

    /// Discards everything, because the engine or store was lost and may come back empty.
    pub fn forget(&mut self) {
        *self = Self::default();
    }

    /// Whether a part is assumed to be held completely under a salt.
    pub fn has(&self, salt: &str, part: &PromptPart) -> bool {
        self.has_part(PartKey::of(salt, part.id), part.tokens)
    }

    /// Whether a part with this number of tokens is assumed to be held completely.
    pub fn has_part(&self, part: PartKey, tokens: u64) -> bool {
        let known = self.kept_tokens.get(&part);
        known.is_some_and(|kept| u64::from(*kept) + BLOCK_TOKENS > tokens)
    }

    /// Number of tokens at the beginning of a prompt that are assumed to be held. A part can
    /// only be used when all parts before it are held completely.
    pub fn prefix_tokens(&self, salt: &str, parts: &[PromptPart]) -> u64 {
        let whole = parts.iter().take_while(|part| self.has(salt, part));
        whole.map(|part| part.tokens).sum()
    }

    /// Number of tokens of all parts that are assumed to be held.
    pub fn total_tokens(&self) -> u64 {
        self.total_tokens
    }

    /// Number of parts that are assumed to be held.
    pub fn len(&self) -> usize {
        self.kept_tokens.len()
    }

    /// Whether no part is assumed to be held.
    pub fn is_empty(&self) -> bool {
        self.kept_tokens.is_empty()
    }
}

fn saturated(tokens: u64) -> u32 {
    u32::try_from(tokens).unwrap_or(u32::MAX)
}
