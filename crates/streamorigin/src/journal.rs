//! The running streams whose sources a node stores, so that they outlive all nodes: which of
//! them are new since the last write, and how often the node may write.

use crate::source::StreamSource;
use crate::stream_key::StreamKey;
use ploverlift_policy::ids::Millis;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Maximum number of streams of one journal. Encoded they take 64 KiB.
pub const MAX_STREAMS: usize = 4_096;
/// Time after its end for which a stream is kept, in milliseconds: its caller may not have
/// received the last events.
const KEPT_AFTER_END_MS: u64 = 2_000;
/// Minimum period of a node's writes, in milliseconds.
const MIN_PERIOD_MS: u64 = 100;
/// Share of the store's rate of writes that all journals together use at most.
const WRITES_SHARE: f64 = 0.2;

/// Period of each node's writes, in milliseconds, with which `writers` nodes together stay
/// within their share of the store's `writes_per_second`.
pub fn write_period_ms(writers: usize, writes_per_second: u64) -> u64 {
    let used_per_second = writes_per_second as f64 * WRITES_SHARE;
    let period_ms = (writers as f64 * 1_000.0 / used_per_second).ceil();
    (period_ms as u64).max(MIN_PERIOD_MS)
}

/// A stream in a journal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JournalledStream {
    /// The stream.
    pub stream: StreamKey,
    /// Its source.
    pub source: Arc<StreamSource>,
    /// When its caller stops taking it up.
    pub expires_at: Millis,
}

/// What is to be written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JournalContents {
    /// The streams, the newest first.
    pub streams: Vec<JournalledStream>,
    /// Number of the newest stream.
    through: u64,
}

#[derive(Clone, Debug)]
struct Entry {
    journalled: JournalledStream,
    noted_at: Millis,
}

/// Number before that of the first stream; lower ones are for streams of stored journals.
const NUMBER_BEFORE_FIRST: u64 = 1 << 32;

/// The running streams of a node, and of the nodes for which it writes.
#[derive(Clone, Debug)]
pub struct Journal {
    /// By number, which rises with each stream.
    entries: BTreeMap<u64, Entry>,
    numbers: HashMap<StreamKey, u64>,
    /// Number of the newest stream.
    last: u64,
    /// Number of the newest stream that is stored.
    written: u64,
}

impl Default for Journal {
    fn default() -> Self {
        Self {
            entries: BTreeMap::new(),
            numbers: HashMap::new(),
            last: NUMBER_BEFORE_FIRST,
            written: NUMBER_BEFORE_FIRST,
        }
    }
}

impl Journal {
    /// Adds a stream that is to be written. Returns the number of streams that were dropped for
    /// it, the oldest ones. If its request's id was used for a stream of another source, both are
    /// written, so that who reads them relies on neither.
    pub fn note_began(&mut self, journalled: JournalledStream, now: Millis) -> usize {
        let number = self.numbers.get(&journalled.stream);
        if let Some(entry) = number.and_then(|number| self.entries.get_mut(number)) {
            let known = &mut entry.journalled;
            if known.expires_at > now && known.source == journalled.source {
                known.expires_at = known.expires_at.max(journalled.expires_at);
                return 0;
            }
        }
        self.last += 1;
        self.insert(self.last, journalled, now);
        self.bound(now)
    }

    /// Adds the streams of a stored journal, the newest first, as older than all others; they need
    /// not be written for themselves. Returns the number of streams that were not known.
    pub fn restore(&mut self, stored: Vec<JournalledStream>, now: Millis) -> usize {
        let first = self.entries.keys().next().copied();
        let mut number = first.unwrap_or(self.last + 1);
        let mut added = 0;
        for stored in stored {
            if !self.numbers.contains_key(&stored.stream) {
                number -= 1;
                added += 1;
                self.insert(number, stored, now);
            }
        }
        self.bound(now);
        added
    }

    /// Records that a stream's answer is complete: it leaves the journal soon.
    pub fn note_ended(&mut self, stream: StreamKey, now: Millis) {
        let number = self.numbers.get(&stream);
        if let Some(entry) = number.and_then(|number| self.entries.get_mut(number)) {
            let kept_until = now.plus(KEPT_AFTER_END_MS);
            entry.journalled.expires_at = entry.journalled.expires_at.min(kept_until);
        }
    }

    /// Whether there are streams that have not been written.
    pub fn has_unwritten(&self) -> bool {
        self.entries.range(self.written + 1..).next().is_some()
    }

    /// Records that what was written is lost, or that it is not known to be stored.
    pub fn note_lost(&mut self) {
        self.written = 0;
    }

    /// What is to be written now.
    pub fn contents(&mut self, now: Millis) -> JournalContents {
        self.expire(now);
        let newest_first = self.entries.values().rev();
        JournalContents {
            streams: newest_first.map(|entry| entry.journalled.clone()).collect(),
            through: self.last,
        }
    }

    /// Records that contents are stored. Returns how long the streams that are stored for the
    /// first time had been noted, in milliseconds.
    pub fn note_written(&mut self, contents: &JournalContents, now: Millis) -> Vec<u64> {
        let from = self.written + 1;
        self.written = self.written.max(contents.through);
        if from > contents.through {
            return Vec::new();
        }
        let new = self.entries.range(from..=contents.through);
        new.map(|(_, entry)| now.since(entry.noted_at)).collect()
    }

    /// Number of streams, including those that have expired since the last write.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no streams.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn insert(&mut self, number: u64, journalled: JournalledStream, noted_at: Millis) {
        self.numbers.insert(journalled.stream, number);
        let entry = Entry {
            journalled,
            noted_at,
        };
        self.entries.insert(number, entry);
    }

    /// Drops expired streams if there are too many, and then the oldest ones.
    fn bound(&mut self, now: Millis) -> usize {
        if self.entries.len() <= MAX_STREAMS {
            return 0;
        }
        self.expire(now);
        let mut dropped = 0;
        while self.entries.len() > MAX_STREAMS {
            let Some((number, entry)) = self.entries.pop_first() else {
                break;
            };
            remove_number(&mut self.numbers, &entry, number);
            dropped += 1;
        }
        dropped
    }

    fn expire(&mut self, now: Millis) {
        let numbers = &mut self.numbers;
        self.entries.retain(|number, entry| {
            let is_kept = entry.journalled.expires_at > now;
            if !is_kept {
                remove_number(numbers, entry, *number);
            }
            is_kept
        });
    }
}

fn remove_number(numbers: &mut HashMap<StreamKey, u64>, entry: &Entry, number: u64) {
    let stream = entry.journalled.stream;
    if numbers.get(&stream) == Some(&number) {
        numbers.remove(&stream);
    }
}
