//! What a store of kept cache holds, as its events tell.
//!
//! Events come late and some never come. A part that is believed to be kept and
//! is not costs a look-up; one that is kept and not believed to be costs a
//! second save. Neither can give a wrong answer: a part is found only under the
//! salt that names its weights and its scope.

use std::collections::HashSet;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Parts that are remembered; beyond it nothing more is taken in.
const MAX_PARTS: usize = 200_000;

/// One change of what is kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheEvent {
    /// Whether the part is kept from now on, or no longer.
    pub is_kept: bool,
    /// The name under which it is filed.
    pub salt: String,
    /// The part.
    pub part: u64,
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

/// What one store holds.
#[derive(Clone, Debug, Default)]
pub struct CacheContents {
    epoch: Option<u64>,
    next: u64,
    kept: HashSet<u64>,
}

impl CacheContents {
    /// Where the next batch of events begins.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Takes in a batch.
    pub fn apply(&mut self, batch: &CacheEvents) {
        if self.epoch != Some(batch.epoch) {
            self.epoch = Some(batch.epoch);
            self.kept.clear();
        }
        self.next = batch.next;
        for event in &batch.events {
            let name = part_name(&event.salt, event.part);
            if !event.is_kept {
                self.kept.remove(&name);
            } else if self.kept.len() < MAX_PARTS {
                self.kept.insert(name);
            }
        }
    }

    /// This node has had a part saved. It counts as kept until an event says
    /// otherwise, or for good where events are not followed.
    pub fn note_saved(&mut self, salt: &str, part: u64) {
        if self.kept.len() >= MAX_PARTS {
            self.kept.clear();
        }
        self.kept.insert(part_name(salt, part));
    }

    /// The store was lost: it may come back empty.
    pub fn forget(&mut self) {
        *self = Self::default();
    }

    /// Whether a part is believed to be kept under a salt.
    pub fn has(&self, salt: &str, part: u64) -> bool {
        self.kept.contains(&part_name(salt, part))
    }

    /// Parts that are believed to be kept.
    pub fn len(&self) -> usize {
        self.kept.len()
    }

    /// Whether nothing is believed to be kept.
    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }
}

fn part_name(salt: &str, part: u64) -> u64 {
    xxh3_64_with_seed(salt.as_bytes(), part)
}
