//! What a node tells the others of engines that leave, and what it takes in from them.
//!
//! That an engine leaves holds for all. A backoff was asked of one node alone, and is told to
//! nobody.

use super::{EngineLife, EngineNotices, LeavingNotice, NoticeSource, KEPT_MS};
use crate::names::EngineTag;
use ploverlift_policy::ids::Millis;
use ploverlift_policy::update_broadcast::UpdateBroadcast;

/// Engines in one message: with them it stays within one datagram.
pub const MAX_TOLD: usize = 32;
/// Engines that are told of at one time, beyond which the others wait for the next one.
const MAX_DUE: usize = 16 * MAX_TOLD;
/// Engines that are told of again in one period, though nothing has changed.
const MAX_REPEATED: usize = 8 * MAX_TOLD;
/// Time for which a notice is told again now and then, in milliseconds: nodes may be cut off.
const TOLD_FOR_MS: u64 = 30_000;

/// An engine that leaves, as one node tells another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ToldLeaving {
    /// The life that said so.
    pub life: EngineLife,
    /// Time since a node first had it, in milliseconds.
    pub age_ms: u64,
}

/// When something is told.
#[derive(Clone, Copy, Debug, Default)]
pub struct Occasion {
    /// Whether some of what has not changed is told again, in turn.
    pub is_period: bool,
    /// Whether this node passes on what others tell.
    pub passes_on: bool,
}

impl EngineNotices {
    /// What is told now: what is due, and in each period some of what this node has heard
    /// from the engine itself, or passes on.
    pub fn news(&mut self, occasion: Occasion, now: Millis) -> Vec<ToldLeaving> {
        let mut told = self.due(now);
        for engine in &told {
            let leaving = self.notices.get_mut(engine);
            if let Some(leaving) = leaving.and_then(|known| known.leaving.as_mut()) {
                leaving.telling.record_broadcast(now);
            }
        }
        if occasion.is_period {
            told.extend(self.next_in_turn(occasion.passes_on, now));
            told.sort();
            told.dedup();
        }
        let told = told.into_iter();
        told.filter_map(|engine| self.told(engine, now)).collect()
    }

    /// All engines that are known to leave, for a node that knows nothing yet.
    pub fn everything(&self, now: Millis) -> Vec<ToldLeaving> {
        let engines = self.notices.keys();
        engines
            .filter_map(|engine| self.told(*engine, now))
            .collect()
    }

    fn due(&self, now: Millis) -> Vec<EngineTag> {
        let leaving = self.leaving_engines();
        let due = leaving.filter(|(_, leaving)| leaving.telling.is_due(now));
        due.map(|(engine, _)| engine).take(MAX_DUE).collect()
    }

    fn next_in_turn(&mut self, passes_on: bool, now: Millis) -> Vec<EngineTag> {
        let leaving = self.leaving_engines();
        let is_told = |leaving: &LeavingNotice| {
            let is_witness = leaving.source == NoticeSource::Answer;
            (is_witness || passes_on) && now.since(leaving.since) < TOLD_FOR_MS
        };
        let repeated = leaving.filter(|(_, leaving)| is_told(leaving));
        let mut repeated: Vec<EngineTag> = repeated.map(|(engine, _)| engine).collect();
        let first = self.next_told % repeated.len().max(1);
        self.next_told = first + MAX_REPEATED;
        repeated.rotate_left(first);
        repeated.truncate(MAX_REPEATED);
        repeated
    }

    fn leaving_engines(&self) -> impl Iterator<Item = (EngineTag, LeavingNotice)> + '_ {
        let notices = self.notices.iter();
        notices.filter_map(|(engine, known)| Some((*engine, known.leaving?)))
    }

    fn told(&self, engine: EngineTag, now: Millis) -> Option<ToldLeaving> {
        let known = self.notices.get(&engine)?;
        Some(ToldLeaving {
            life: EngineLife {
                engine,
                born_ms: known.born_ms,
            },
            age_ms: now.since(known.leaving?.since),
        })
    }

    /// Takes in what another node tells; tells whether it was news. A relay `passes_on` what
    /// is. What is older than an engine is remembered would never be forgotten otherwise.
    pub fn hear(&mut self, told: &ToldLeaving, passes_on: bool, now: Millis) -> bool {
        if told.age_ms >= KEPT_MS {
            return false;
        }
        let notice = LeavingNotice {
            since: now.before(told.age_ms),
            source: NoticeSource::Node,
            telling: match passes_on {
                true => UpdateBroadcast::begin(now),
                false => UpdateBroadcast::default(),
            },
        };
        self.take_leaving(told.life, notice, now)
    }
}
