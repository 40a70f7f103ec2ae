//! Numbered log of changes of the engines, for the followers of this node.
//!
//! A relay sends its recent changes with each of its reports. A follower that misses a
//! number requests a snapshot of all engines.

use crate::peers::relay_messages::EngineChange;
use ploverlift_policy::ids::Millis;
use std::collections::VecDeque;

/// Maximum number of changes in the log: enough for a rollout over hundreds of engines.
const MAX_CHANGES: usize = 512;

#[derive(Clone, Debug)]
struct NumberedChange {
    noted_at: Millis,
    change: EngineChange,
}

/// The latest changes, in order.
#[derive(Clone, Debug, Default)]
pub struct CatalogueLog {
    changes: VecDeque<NumberedChange>,
    through: u64,
}

/// A part of the log: the changes with the numbers after `after` up to `through`.
#[derive(Clone, Debug, PartialEq)]
pub struct LogPart {
    /// Number of the change before the first one in this part.
    pub after: u64,
    /// Number of the last change in this part.
    pub through: u64,
    /// The changes.
    pub changes: Vec<EngineChange>,
}

impl CatalogueLog {
    /// Adds a change.
    pub fn append(&mut self, change: EngineChange, now: Millis) {
        if self.changes.len() >= MAX_CHANGES {
            self.changes.pop_front();
        }
        self.through += 1;
        self.changes.push_back(NumberedChange {
            noted_at: now,
            change,
        });
    }

    /// Number of the last change, 0 before the first.
    pub fn through(&self) -> u64 {
        self.through
    }

    /// The changes with numbers above `number`, as far as they are still in the log.
    pub fn after(&self, number: u64) -> Vec<EngineChange> {
        let count = self.through.saturating_sub(number) as usize;
        let known = self.changes.len().saturating_sub(count);
        let changes = self.changes.iter().skip(known);
        changes.map(|known| known.change.clone()).collect()
    }

    /// The changes of the last `window_ms` milliseconds. The part is empty when there were
    /// more than the log holds, as after a first list: followers lack earlier ones anyway, and
    /// request a snapshot of all engines at once.
    pub fn latest(&self, window_ms: u64, now: Millis) -> LogPart {
        let is_old = |known: &&NumberedChange| now.since(known.noted_at) > window_ms;
        let old = self.changes.iter().take_while(is_old).count();
        let has_overflowed = old == 0 && self.changes.len() >= MAX_CHANGES;
        let skipped = if has_overflowed {
            self.changes.len()
        } else {
            old
        };
        let latest = self.changes.iter().skip(skipped);
        let changes: Vec<EngineChange> = latest.map(|known| known.change.clone()).collect();
        LogPart {
            after: self.through - changes.len() as u64,
            through: self.through,
            changes,
        }
    }
}

impl LogPart {
    /// Splits the part into pieces of at most `size` changes; one empty piece when there are
    /// none.
    pub fn pieces(&self, size: usize) -> Vec<LogPart> {
        if self.changes.is_empty() {
            return vec![self.clone()];
        }
        let mut after = self.after;
        let pieces = self.changes.chunks(size).map(|changes| {
            let piece = LogPart {
                after,
                through: after + changes.len() as u64,
                changes: changes.to_vec(),
            };
            after = piece.through;
            piece
        });
        pieces.collect()
    }
}
