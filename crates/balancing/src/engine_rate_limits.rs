//! Token availability at engines that advertise a rate limit, as this node last learned it
//! from the holder of the engine's limit, which counts tokens for the whole fleet.

use crate::names::EngineTag;
use ploverlift_policy::ids::Millis;
use std::collections::HashMap;

/// Capacity of an engine's token bucket.
const BURST_TOKENS: f64 = 2.0;
/// Minimum granted rate, in requests per second. An engine with a lower limit still receives
/// occasional requests that show whether the limit still applies: without requests there
/// are no answers that advertise a change.
const LOWEST_PER_SECOND: f64 = 1.0;
/// Number of tokens above which tokens are not scarce: a full bucket would lose the next one.
const NOT_SCARCE_TOKENS: f64 = 1.5;
/// Cost of an engine's last token, in milliseconds. The cost falls to zero as the bucket
/// fills, so that a scarce token goes to a request that saves at least as much by it, and
/// a plentiful one to any request.
const SCARCITY_MS: f64 = 120.0;
/// Maximum time for which an engine is assumed to have no token without requesting one, in
/// milliseconds.
const MAX_ASSUMED_EMPTY_MS: f64 = 1_000.0;
/// Milliseconds per second, for conversions of rates.
const MS_PER_SECOND: f64 = 1_000.0;

/// The rate and burst that are granted under a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GrantedRate {
    /// Rate in requests per second.
    pub per_second: f64,
    /// Capacity of the bucket in tokens.
    pub burst: f64,
}

impl GrantedRate {
    /// The rate granted under `limit`, in requests per second. At a limit of zero the bucket
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

/// The known state of one engine's rate limit.
#[derive(Clone, Copy, Debug, PartialEq)]
struct RateLimitState {
    rate: GrantedRate,
    /// Tokens that were left in the bucket at `known_at`.
    tokens: f64,
    known_at: Millis,
    /// The engine is not chosen before this time.
    not_before: Millis,
    /// Whether the limit was lifted; the entry is then kept until `not_before`.
    is_lifted: bool,
}

/// The rate limits of all engines that advertise one, or did so until recently.
#[derive(Clone, Debug, Default)]
pub struct EngineRateLimits {
    states: HashMap<EngineTag, RateLimitState>,
}

impl EngineRateLimits {
    /// Number of engines with an entry.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Whether no engine has an entry.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Sets the limit that an engine advertises, in requests per second; 0 is a valid limit.
    /// Discards the known number of tokens.
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

    /// Records the tokens that are left at an engine, which is not chosen before `not_before`.
    pub fn note_tokens(&mut self, engine: EngineTag, tokens: f64, not_before: Millis, now: Millis) {
        if let Some(state) = self.states.get_mut(&engine) {
            state.tokens = tokens;
            state.known_at = now;
            state.not_before = not_before;
        }
    }

    /// A token of an engine was used: the engine is not chosen before the next one is due.
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

    /// The engine is not chosen before `not_before`.
    pub fn back_off(&mut self, engine: EngineTag, not_before: Millis) {
        if let Some(state) = self.states.get_mut(&engine) {
            state.not_before = state.not_before.max(not_before);
        }
    }

    /// An engine's limit was lifted; the engine may be chosen from `from` on.
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

    /// Cost of using a token of the engine that other requests may gain more from, in
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
