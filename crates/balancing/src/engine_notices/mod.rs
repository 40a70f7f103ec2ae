//! What engines said of themselves in answers and what outlasts the answer: that they leave,
//! and until when this node is to back off.
//!
//! Kept beside the records of the catalogue and by life: no record of the same life undoes
//! it, whether it lags behind, lapses or comes back. A life that is known to have begun later
//! ends it. Where engines do not tell when their lives began, a name is one life.

pub mod exchange;

use crate::heartbeat::Heartbeat;
use crate::names::EngineTag;
use ploverlift_policy::ids::Millis;
use ploverlift_policy::update_broadcast::UpdateBroadcast;
use std::collections::BTreeMap;

/// Time for which a notice is remembered after its engine was known last, in milliseconds:
/// an entry that lapses while the store is away comes back with it.
const KEPT_MS: u64 = 120_000;
/// Notices that are kept at most: more than a fleet has engines.
const MAX_NOTICES: usize = 16_384;
/// Longest backoff that is believed, in milliseconds.
const LONGEST_BACKOFF_MS: u64 = 24 * 60 * 60 * 1_000;
/// Part of a time to back off within which nodes send to the engine again, each from a moment
/// of its own: all at once would fill it.
const RAMP_SHARE: u64 = 4;
/// Longest time within which they do, in milliseconds.
const LONGEST_RAMP_MS: u64 = 500;

/// Who told that an engine leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoticeSource {
    /// The engine, in an answer to this node.
    Answer,
    /// Another node.
    Node,
}

impl NoticeSource {
    /// The name, for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Answer => "answer",
            Self::Node => "node",
        }
    }
}

/// One life of an engine, as a notice names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineLife {
    /// The engine.
    pub engine: EngineTag,
    /// When the life began, in Unix milliseconds; 0 where that is not told.
    pub born_ms: u64,
}

/// An engine's notice that it leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeavingNotice {
    /// When a node first had it.
    pub since: Millis,
    /// Who told this node.
    pub source: NoticeSource,
    telling: UpdateBroadcast,
}

/// A time for which this node sends an engine nothing, as the engine asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// When this node first had it.
    pub since: Millis,
    /// The end of the time that it named, the latest one of several.
    pub until: Millis,
    /// When this node sends to it again.
    pub resumes_at: Millis,
}

/// What one life of an engine said.
#[derive(Clone, Copy, Debug)]
struct Notice {
    born_ms: u64,
    leaving: Option<LeavingNotice>,
    backoff: Option<Backoff>,
    /// When the engine was last known to be in the catalogue.
    known_at: Millis,
}

impl Notice {
    fn begin(born_ms: u64, now: Millis) -> Self {
        Self {
            born_ms,
            leaving: None,
            backoff: None,
            known_at: now,
        }
    }

    /// Whether it was said by the life of this heartbeat, or a later one.
    fn holds_for(&self, heartbeat: Heartbeat) -> bool {
        let said_by = Heartbeat {
            born_ms: self.born_ms,
            sequence: 0,
        };
        !heartbeat.is_of_later_start(said_by)
    }
}

/// The notices of all engines.
#[derive(Clone, Debug, Default)]
pub struct EngineNotices {
    notices: BTreeMap<EngineTag, Notice>,
    next_told: usize,
}

impl EngineNotices {
    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.notices.is_empty()
    }

    /// Engines that have some.
    pub fn len(&self) -> usize {
        self.notices.len()
    }

    /// The engines that have some.
    pub(crate) fn engines(&self) -> impl Iterator<Item = EngineTag> + '_ {
        self.notices.keys().copied()
    }

    /// The notice of the engine in the life of this heartbeat that it leaves.
    pub fn leaving(&self, engine: EngineTag, heartbeat: Heartbeat) -> Option<LeavingNotice> {
        self.of(engine, heartbeat)?.leaving
    }

    /// The backoff that the engine in the life of this heartbeat asked for, while it lasts.
    pub fn backoff(&self, engine: EngineTag, heartbeat: Heartbeat, now: Millis) -> Option<Backoff> {
        let backoff = self.of(engine, heartbeat)?.backoff?;
        (now < backoff.resumes_at).then_some(backoff)
    }

    fn of(&self, engine: EngineTag, heartbeat: Heartbeat) -> Option<&Notice> {
        let notice = self.notices.get(&engine)?;
        notice.holds_for(heartbeat).then_some(notice)
    }

    /// The engine said in an answer to this node that it leaves; tells whether that is news.
    pub fn note_leaving(&mut self, life: EngineLife, now: Millis) -> bool {
        let notice = LeavingNotice {
            since: now,
            source: NoticeSource::Answer,
            telling: UpdateBroadcast::begin(now),
        };
        self.take_leaving(life, notice, now)
    }

    /// Takes in that an engine leaves; tells whether that is news.
    fn take_leaving(&mut self, life: EngineLife, notice: LeavingNotice, now: Millis) -> bool {
        let Some(known) = self.entry(life, now) else {
            return false;
        };
        let Some(leaving) = &mut known.leaving else {
            known.leaving = Some(notice);
            return true;
        };
        leaving.since = leaving.since.min(notice.since);
        if notice.source == NoticeSource::Answer {
            leaving.source = NoticeSource::Answer;
        }
        false
    }

    /// The engine turned a request of this node away and asked it to back off for so long.
    /// The latest end counts. `draw`, a random number, places the node among those that come
    /// back.
    pub fn note_backoff(&mut self, life: EngineLife, duration_ms: u64, draw: u64, now: Millis) {
        let duration_ms = duration_ms.min(LONGEST_BACKOFF_MS);
        let until = now.plus(duration_ms);
        let ramp_ms = (duration_ms / RAMP_SHARE).min(LONGEST_RAMP_MS);
        let Some(known) = self.entry(life, now) else {
            return;
        };
        let running = known.backoff.filter(|backoff| now < backoff.resumes_at);
        if running.is_some_and(|backoff| backoff.until >= until) {
            return;
        }
        known.backoff = Some(Backoff {
            since: running.map_or(now, |backoff| backoff.since),
            until,
            resumes_at: until.plus(draw % (ramp_ms + 1)),
        });
    }

    /// What this life said; begun anew when it is a later one than was known. Nothing for an
    /// earlier life, and when too many engines have notices.
    fn entry(&mut self, life: EngineLife, now: Millis) -> Option<&mut Notice> {
        let is_full = self.notices.len() >= MAX_NOTICES;
        let begun = Notice::begin(life.born_ms, now);
        let Some(known) = self.notices.get(&life.engine) else {
            return match is_full {
                true => None,
                false => Some(self.notices.entry(life.engine).or_insert(begun)),
            };
        };
        let told = Heartbeat {
            born_ms: life.born_ms,
            sequence: 0,
        };
        if told.is_of_earlier_start(Heartbeat {
            born_ms: known.born_ms,
            sequence: 0,
        }) {
            return None;
        }
        if !known.holds_for(told) {
            self.notices.insert(life.engine, begun);
        }
        let known = self.notices.get_mut(&life.engine)?;
        known.born_ms = known.born_ms.max(life.born_ms);
        Some(known)
    }

    /// Forgets what does not hold any more. `heartbeat_of` tells the last heartbeat of an
    /// engine that is in the catalogue.
    pub fn expire(&mut self, heartbeat_of: impl Fn(EngineTag) -> Option<Heartbeat>, now: Millis) {
        self.notices.retain(|engine, notice| {
            match heartbeat_of(*engine) {
                Some(heartbeat) if !notice.holds_for(heartbeat) => return false,
                Some(_) => notice.known_at = now,
                None => {}
            }
            notice.backoff = notice.backoff.filter(|backoff| now < backoff.resumes_at);
            let says_anything = notice.leaving.is_some() || notice.backoff.is_some();
            says_anything && now.since(notice.known_at) < KEPT_MS
        });
    }
}
