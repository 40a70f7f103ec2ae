//! Which engines that advertise a rate limit have room for another request, as far as this
//! node knows: whoever counts for the fleet told it when it asked last.

use crate::names::EngineTag;
use ploverlift_policy::ids::Millis;
use std::collections::HashMap;

/// Tokens that an engine's bucket holds at most.
const BURST_TOKENS: f64 = 2.0;
/// Rate below which an engine is asked now and then whether its limit still holds, in
/// requests a second: an engine that gets nothing says nothing.
const LOWEST_PER_SECOND: f64 = 1.0;
/// Tokens beyond which none is scarce: a full bucket wastes what comes next.
const PLENTY_TOKENS: f64 = 1.5;
/// Cost of the last token of an engine, in milliseconds: it falls to nothing as the bucket
/// fills, so a token goes to whom it saves this much, or else to anyone.
const SCARCITY_MS: f64 = 120.0;
/// Longest time for which an engine is taken to have no token without asking, in
/// milliseconds.
const LONGEST_GUESS_MS: f64 = 1_000.0;
/// Milliseconds in a second, as a factor of rates.
const MS_PER_SECOND: f64 = 1_000.0;

/// What is granted under a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GrantedRate {
    /// Requests a second.
    pub per_second: f64,
    /// Tokens that the bucket holds at most.
    pub burst: f64,
}

impl GrantedRate {
    /// What is granted under this limit, in requests a second. At a limit of zero the bucket
    /// holds one token: five requests in four seconds, and never two at once.
    pub fn under(limit: f64) -> Self {
        Self {
            per_second: limit.max(LOWEST_PER_SECOND),
            burst: match limit >= LOWEST_PER_SECOND {
                true => BURST_TOKENS,
                false => 1.0,
            },
        }
    }
}

/// What is known of the room at one engine.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Room {
    rate: GrantedRate,
    /// Tokens that were left at `known_at`.
    tokens: f64,
    known_at: Millis,
    /// Before this moment it is not asked for.
    not_before: Millis,
    /// Whether the limit has ended: the entry is kept until `not_before`.
    is_lifted: bool,
}

/// The room at all engines that advertise a limit, or did so a moment ago.
#[derive(Clone, Debug, Default)]
pub struct EngineRooms {
    rooms: HashMap<EngineTag, Room>,
}

impl EngineRooms {
    /// Engines that are listed here.
    pub fn len(&self) -> usize {
        self.rooms.len()
    }

    /// Whether no engine has a limit.
    pub fn is_empty(&self) -> bool {
        self.rooms.is_empty()
    }

    /// An engine advertises this rate, in requests a second; 0 is a rate. What was known of
    /// its tokens does not hold any more.
    pub fn limit(&mut self, engine: EngineTag, limit: f64, now: Millis) {
        let room = Room {
            rate: GrantedRate::under(limit),
            tokens: 0.0,
            known_at: now,
            not_before: now,
            is_lifted: false,
        };
        self.rooms.insert(engine, room);
    }

    /// So many tokens are left at an engine, and it is not asked for before then.
    pub fn note_tokens(&mut self, engine: EngineTag, tokens: f64, not_before: Millis, now: Millis) {
        if let Some(room) = self.rooms.get_mut(&engine) {
            room.tokens = tokens;
            room.known_at = now;
            room.not_before = not_before;
        }
    }

    /// A token of an engine is used: it is not asked for before the next one has come.
    pub fn note_spent(&mut self, engine: EngineTag, now: Millis) {
        if let Some(room) = self.rooms.get_mut(&engine).filter(|room| !room.is_lifted) {
            let missing = (1.0 - room.tokens).max(0.0);
            let wait_ms = (missing / room.rate.per_second * MS_PER_SECOND).min(LONGEST_GUESS_MS);
            room.not_before = room.not_before.max(now.plus(wait_ms as u64));
        }
    }

    /// An engine is not asked for before then.
    pub fn back_off(&mut self, engine: EngineTag, not_before: Millis) {
        if let Some(room) = self.rooms.get_mut(&engine) {
            room.not_before = room.not_before.max(not_before);
        }
    }

    /// An engine has no limit any more, and is sent to from then on.
    pub fn lift(&mut self, engine: EngineTag, from: Millis, now: Millis) {
        if let Some(room) = self.rooms.get_mut(&engine) {
            room.is_lifted = true;
            room.not_before = from;
        }
        self.rooms
            .retain(|_, room| !room.is_lifted || room.not_before > now);
    }

    /// Whether the engine advertises a limit.
    pub fn is_limited(&self, engine: EngineTag) -> bool {
        let room = self.rooms.get(&engine);
        room.is_some_and(|room| !room.is_lifted)
    }

    /// Whether the engine may be chosen now.
    pub fn has_room(&self, engine: EngineTag, now: Millis) -> bool {
        let room = self.rooms.get(&engine);
        room.is_none_or(|room| room.not_before <= now)
    }

    /// Cost of taking a token of the engine from those who gain more there, in
    /// milliseconds.
    pub fn scarcity_ms(&self, engine: EngineTag, now: Millis) -> f64 {
        let room = self.rooms.get(&engine);
        let Some(room) = room.filter(|room| !room.is_lifted) else {
            return 0.0;
        };
        let refill = room.rate.per_second * now.since(room.known_at) as f64 / MS_PER_SECOND;
        let plenty = room.rate.burst.min(PLENTY_TOKENS);
        let share = (room.tokens + refill).clamp(0.0, plenty) / plenty;
        SCARCITY_MS * (1.0 - share)
    }
}
