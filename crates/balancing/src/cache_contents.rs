//! What an engine or a KV cache store holds, as its events tell.
//!
//! Events come late and some never come. A part that is believed to be kept and
//! is not costs a look-up; one that is kept and not believed to be costs a
//! second copy. Neither can give a wrong answer: a part is found only under the
//! salt that names its weights and its scope.

use ploverlift_routing::prompt::{PartKey, PromptPart};
use std::collections::{HashMap, HashSet};

/// Parts that are remembered; beyond it nothing more is taken in.
const MAX_PARTS: usize = 200_000;

/// One change of what is kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheEvent {
    /// The name under which the part is filed.
    pub salt: String,
    /// The part.
    pub part: u64,
    /// Tokens of it that are kept from now on; 0 when it is dropped whole.
    pub kept_tokens: u64,
}

/// A batch of changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CacheEvents {
    /// The life of the store: another one began empty.
    pub epoch: u64,
    /// Where the next batch begins.
    pub next: u64,
    /// Whether changes before this batch are missing.
    pub has_gap: bool,
    /// Changes in order.
    pub events: Vec<CacheEvent>,
}

/// Tokens that a part may lack and still count as kept whole: memory is given
/// out in blocks, and the last block of a part need not be full.
const BLOCK_TOKENS: u64 = 16;

/// A share of all parts, by their keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyShare {
    /// Shares that all parts are divided into; at least 1.
    pub shares: u32,
    /// Which of them.
    pub share: u32,
}

impl KeyShare {
    fn has(self, part: PartKey) -> bool {
        part.0 % u64::from(self.shares.max(1)) == u64::from(self.share)
    }
}

/// What one engine or one store holds.
#[derive(Clone, Debug, Default)]
pub struct CacheContents {
    epoch: Option<u64>,
    /// The life before, of which a node that lags behind may still tell.
    ended_epoch: Option<u64>,
    next: u64,
    kept_tokens: HashMap<PartKey, u32>,
    total_tokens: u64,
}

impl CacheContents {
    /// Where the next batch of events begins.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Takes in a batch; tells the parts of which fewer tokens are kept than
    /// before. After a gap nothing that was believed before counts.
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

    /// Sets how much of a part is kept; tells what was believed before.
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

    /// This node has had a part read or saved there. It counts as kept until an
    /// event says otherwise, or for good where events are not followed.
    pub fn note_kept(&mut self, salt: &str, part: &PromptPart) {
        if self.kept_tokens.len() >= MAX_PARTS {
            self.clear();
        }
        self.set(PartKey::of(salt, part.id), saturated(part.tokens));
    }

    /// Its life, once an event or another node has told of it.
    pub fn epoch(&self) -> Option<u64> {
        self.epoch
    }

    /// Takes in what another node that follows the events knows of some parts. Where
    /// these are a whole share of all, the others of the share are not kept.
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
        let told: HashSet<PartKey> = parts.iter().map(|(part, _)| *part).collect();
        let known = self.kept_tokens.keys();
        let dropped = known.filter(|part| share.has(**part) && !told.contains(part));
        for part in dropped.copied().collect::<Vec<PartKey>>() {
            self.set(part, 0);
        }
    }

    /// The parts of a share that are kept.
    pub fn kept_in(&self, share: KeyShare) -> impl Iterator<Item = (PartKey, u32)> + '_ {
        let kept = self.kept_tokens.iter();
        let of_share = kept.filter(move |(part, _)| share.has(**part));
        of_share.map(|(part, tokens)| (*part, *tokens))
    }

    /// The engine or the store was lost: it may come back empty.
    pub fn forget(&mut self) {
        *self = Self::default();
    }

    /// Whether a whole part is believed to be kept under a salt.
    pub fn has(&self, salt: &str, part: &PromptPart) -> bool {
        self.has_part(PartKey::of(salt, part.id), part.tokens)
    }

    /// Whether a part of so many tokens is believed to be kept whole.
    pub fn has_part(&self, part: PartKey, tokens: u64) -> bool {
        let known = self.kept_tokens.get(&part);
        known.is_some_and(|kept| u64::from(*kept) + BLOCK_TOKENS > tokens)
    }

    /// Tokens at the beginning of a prompt that are believed to be kept: a part is
    /// of use only when every part before it is kept whole.
    pub fn prefix_tokens(&self, salt: &str, parts: &[PromptPart]) -> u64 {
        let whole = parts.iter().take_while(|part| self.has(salt, part));
        whole.map(|part| part.tokens).sum()
    }

    /// Tokens of all parts that are believed to be kept.
    pub fn total_tokens(&self) -> u64 {
        self.total_tokens
    }

    /// Parts that are believed to be kept.
    pub fn len(&self) -> usize {
        self.kept_tokens.len()
    }

    /// Whether nothing is believed to be kept.
    pub fn is_empty(&self) -> bool {
        self.kept_tokens.is_empty()
    }
}

fn saturated(tokens: u64) -> u32 {
    u32::try_from(tokens).unwrap_or(u32::MAX)
}
