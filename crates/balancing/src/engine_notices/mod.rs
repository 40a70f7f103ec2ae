//! Notices that engines sent in answers and that remain valid after the answer: that the
//! engine leaves, and until when this node has to back off.
//!
//! Notices are kept separately from the catalogue's records, by the engine's life. No record
//! of the same life overrides them, whether it lags behind, expires or reappears; they end
//! with a life that is known to have begun later. If an engine does not report when its life
//! began, all lives under its name count as one.

pub mod exchange;

use crate::heartbeat::Heartbeat;
use crate::names::EngineTag;
use ploverlift_policy::ids::Millis;
use ploverlift_policy::update_broadcast::UpdateBroadcast;
use std::collections::BTreeMap;

/// Time for which a notice is kept after its engine was last in the catalogue, in
/// milliseconds: a record that expires while the store is down reappears with the store.
const KEPT_MS: u64 = 120_000;
/// Maximum number of engines with notices: more than a fleet has engines.
const MAX_NOTICES: usize = 16_384;
/// Maximum backoff, in milliseconds; longer ones are cut to it.
const MAX_BACKOFF_MS: u64 = 24 * 60 * 60 * 1_000;
/// Divisor of the backoff that gives the ramp after it. Nodes resume at random times within
/// the ramp, because the engine would be overloaded if all resumed at once.
const RAMP_SHARE: u64 = 4;
/// Maximum length of that ramp, in milliseconds.
const MAX_RAMP_MS: u64 = 500;

/// The source of a notice that an engine leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoticeSource {
    /// The engine itself, in an answer to this node.
    Answer,
    /// Another node.
    Node,
}

impl NoticeSource {
    /// The name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Answer => "answer",
            Self::Node => "node",
        }
    }
}

/// One life of an engine, as identified in notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineLife {
    /// The engine.
    pub engine: EngineTag,
    /// Start of the life, in Unix milliseconds; 0 when the engine does not report it.
    pub born_ms: u64,
}

/// A notice that an engine leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeavingNotice {
    /// The time at which any node first received the notice.
    pub since: Millis,
    /// The source from which this node has the notice.
    pub source: NoticeSource,
    broadcast: UpdateBroadcast,
}

/// A backoff that an engine asked for: this node sends it no requests during that time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// The time at which this node was first asked to back off.
    pub since: Millis,
    /// The end of the requested backoff; the latest end if there were several.
    pub until: Millis,
    /// The time at which this node resumes sending requests.
    pub resumes_at: Millis,
}

/// The notices of one life of an engine.
#[derive(Clone, Copy, Debug)]
struct Notice {
    born_ms: u64,
    leaving: Option<LeavingNotice>,
    backoff: Option<Backoff>,
    /// The time at which the engine was last in the catalogue.
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

    /// Whether the notice is from the life of this heartbeat, or from a later one.
    fn holds_for(&self, heartbeat: Heartbeat) -> bool {
        let notice_heartbeat = Heartbeat {
            born_ms: self.born_ms,
            sequence: 0,
        };
        !heartbeat.is_of_later_start(notice_heartbeat)
    }
}

/// The notices of all engines.
#[derive(Clone, Debug, Default)]
pub struct EngineNotices {
    notices: BTreeMap<EngineTag, Notice>,
    next_repeated: usize,
}

impl EngineNotices {
    /// Whether no engine has a notice.
    pub fn is_empty(&self) -> bool {
        self.notices.is_empty()
    }

    /// Number of engines that have notices.
    pub fn len(&self) -> usize {
        self.notices.len()
    }

    /// The engines that have notices.
    pub(crate) fn engines(&self) -> impl Iterator<Item = EngineTag> + '_ {
        self.notices.keys().copied()
    }

    /// The engine's notice of leaving that applies to the life of this heartbeat.
    pub fn leaving(&self, engine: EngineTag, heartbeat: Heartbeat) -> Option<LeavingNotice> {
        self.of(engine, heartbeat)?.leaving
    }

    /// The backoff that applies to the life of this heartbeat, if it is still in effect.
    pub fn backoff(&self, engine: EngineTag, heartbeat: Heartbeat, now: Millis) -> Option<Backoff> {
        let backoff = self.of(engine, heartbeat)?.backoff?;
        (now < backoff.resumes_at).then_some(backoff)
    }

    fn of(&self, engine: EngineTag, heartbeat: Heartbeat) -> Option<&Notice> {
        let notice = self.notices.get(&engine)?;
        notice.holds_for(heartbeat).then_some(notice)
    }

    /// Records that the engine announced in an answer to this node that it leaves; returns
    /// whether that is new.
    pub fn note_leaving(&mut self, life: EngineLife, now: Millis) -> bool {
        let notice = LeavingNotice {
            since: now,
            source: NoticeSource::Answer,
            broadcast: UpdateBroadcast::begin(now),
        };
        self.take_leaving(life, notice, now)
    }

    /// Records a notice of leaving; returns whether it is new.
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

    /// The engine rejected a request of this node and asked it to back off for `duration_ms`.
    /// Of several backoffs the latest end counts. `draw` is a random number that determines
    /// this node's resumption time within the ramp.
    pub fn note_backoff(&mut self, life: EngineLife, duration_ms: u64, draw: u64, now: Millis) {
        let duration_ms = duration_ms.min(MAX_BACKOFF_MS);
        let until = now.plus(duration_ms);
        let ramp_ms = (duration_ms / RAMP_SHARE).min(MAX_RAMP_MS);
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

    /// The entry for this life; replaced by an empty one when the life is later than the
    /// known one. `None` for an earlier life, and when too many engines have notices.
    fn entry(&mut self, life: EngineLife, now: Millis) -> Option<&mut Notice> {
        let is_full = self.notices.len() >= MAX_NOTICES;
        let begun = Notice::begin(life.born_ms, now);
        let Some(known) = self.notices.get(&life.engine) else {
            return match is_full {
                true => None,
                false => Some(self.notices.entry(life.engine).or_insert(begun)),
            };
        };
        let reported = Heartbeat {
            born_ms: life.born_ms,
            sequence: 0,
        };
        if reported.is_of_earlier_start(Heartbeat {
            born_ms: known.born_ms,
            sequence: 0,
        }) {
            return None;
        }
        if !known.holds_for(reported) {
            self.notices.insert(life.engine, begun);
        }
        let known = self.notices.get_mut(&life.engine)?;
        known.born_ms = known.born_ms.max(life.born_ms);
        Some(known)
    }

    /// Removes notices that no longer apply. `heartbeat_of` returns the last heartbeat of an
    /// engine that is in the catalogue.
    pub fn expire(&mut self, heartbeat_of: impl Fn(EngineTag) -> Option<Heartbeat>, now: Millis) {
        self.notices.retain(|engine, notice| {
            match heartbeat_of(*engine) {
                Some(heartbeat) if !notice.holds_for(heartbeat) => return false,
                Some(_) => notice.known_at = now,
                None => {}
            }
            notice.backoff = notice.backoff.filter(|backoff| now < backoff.resumes_at);
            let has_content = notice.leaving.is_some() || notice.backoff.is_some();
            has_content && now.since(notice.known_at) < KEPT_MS
        });
    }
}
