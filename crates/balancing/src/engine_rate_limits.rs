//! Which engines that advertise a rate limit have state for another request, as far as this
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
const NOT_SCARCE_TOKENS: f64 = 1.5;
/// Cost of the last token of an engine, in milliseconds: it falls to nothing as the bucket
/// fills, so a token goes to whom it saves this much, or else to anyone.
const SCARCITY_MS: f64 = 120.0;
/// Longest time for which an engine is taken to have no token without asking, in
/// milliseconds.
const MAX_ASSUMED_EMPTY_MS: f64 = 1_000.0;
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

/// What is known of the state at one engine.
#[derive(Clone, Copy, Debug, PartialEq)]
struct RateLimitState {
    rate: GrantedRate,
    /// Tokens that were left at `known_at`.
    tokens: f64,
    known_at: Millis,
    /// Before this moment it is not asked for.
    not_before: Millis,
    /// Whether the limit has ended: the entry is kept until `not_before`.
    is_lifted: bool,
}

/// The state at all engines that advertise a limit, or did so a moment ago.
#[derive(Clone, Debug, Default)]
pub struct EngineRateLimits {
    states: HashMap<EngineTag, RateLimitState>,
}

impl EngineRateLimits {
    /// Engines that are listed here.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Whether no engine has a limit.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// An engine advertises this rate, in requests a second; 0 is a rate. What was known of
    /// its tokens does not hold any more.
    pub fn limit(&mut self, engine: EngineTag, limit: f64, now: Millis) {
        let state = RateLimitState {
            rate: GrantedRate::under(limit),
            tokens: 0.0,
            known_at: now,
            not_before: now,
            is_lifted: false,
        };
        self.states.insert(engine, state);
    }

    /// So many tokens are left at an engine, and it is not asked for before then.
    pub fn note_tokens(&mut self, engine: EngineTag, tokens: f64, not_before: Millis, now: Millis) {
        if let Some(state) = self.states.get_mut(&engine) {
            state.tokens = tokens;
            state.known_at = now;
            state.not_before = not_before;
        }
    }

    /// A token of an engine is used: it is not asked for before the next one has come.
    pub fn note_spent(&mut self, engine: EngineTag, now: Millis) {
        if let Some(state) = self
            .states
            .get_mut(&engine)
            .filter(|state| !state.is_lifted)
        {
            let missing = (1.0 - state.tokens).max(0.0);
            let wait_ms =
                (missing / state.rate.per_second * MS_PER_SECOND).min(MAX_ASSUMED_EMPTY_MS);
            state.not_before = state.not_before.max(now.plus(wait_ms as u64));
        }
    }

    /// An engine is not asked for before then.
    pub fn back_off(&mut self, engine: EngineTag, not_before: Millis) {
        if let Some(state) = self.states.get_mut(&engine) {
            state.not_before = state.not_before.max(not_before);
        }
    }

    /// An engine has no limit any more, and is sent to from then on.
    pub fn lift(&mut self, engine: EngineTag, from: Millis, now: Millis) {
        if let Some(state) = self.states.get_mut(&engine) {
            state.is_lifted = true;
            state.not_before = from;
        }
        self.states
            .retain(|_, state| !state.is_lifted || state.not_before > now);
    }

    /// Whether the engine advertises a limit.
    pub fn is_limited(&self, engine: EngineTag) -> bool {
        let state = self.states.get(&engine);
        state.is_some_and(|state| !state.is_lifted)
    }

    /// Whether the engine may be chosen now.
    pub fn has_token(&self, engine: EngineTag, now: Millis) -> bool {
        let state = self.states.get(&engine);
        state.is_none_or(|state| state.not_before <= now)
    }

    /// Cost of taking a token of the engine from those who gain more there, in
    /// milliseconds.
    pub fn scarcity_ms(&self, engine: EngineTag, now: Millis) -> f64 {
        let state = self.states.get(&engine);
        let Some(state) = state.filter(|state| !state.is_lifted) else {
            return 0.0;
        };
        let refill = state.rate.per_second * now.since(state.known_at) as f64 / MS_PER_SECOND;
        let not_scarce = state.rate.burst.min(NOT_SCARCE_TOKENS);
        let share = (state.tokens + refill).clamp(0.0, not_scarce) / not_scarce;
        SCARCITY_MS * (1.0 - share)
    }
}
