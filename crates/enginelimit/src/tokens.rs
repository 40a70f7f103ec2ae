//! Requesting and granting tokens.

use crate::account::Account;
use crate::group::{GroupTag, NodeAddress};
use crate::limits::EngineLimits;
use crate::node_messages::{Denial, TokenAnswer, TokenRequest, Wanted};
use ploverlift_balancing::engine_rate_limits::EngineRateLimits;
use ploverlift_balancing::names::EngineTag;
use ploverlift_policy::ids::Millis;

/// Time for which an answer is kept for a retransmitted request, in milliseconds.
const ANSWER_RETENTION_MS: u64 = 1_000;
/// Number of kept answers from which expired ones are removed.
const MAX_ANSWERS: usize = 256;
/// Number of nodes that may request a token for any engine of a group without a random
/// delay, so that no token stays unused while requests are rejected.
const UNDELAYED_NODES: usize = 16;
/// Milliseconds in a second.
const MS_PER_SECOND: f64 = 1_000.0;

/// The node that grants the tokens of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Granter {
    /// This node.
    Here,
    /// Another node.
    At(NodeAddress),
    /// The group has no holder.
    Nobody,
}

impl EngineLimits {
    /// The node that grants the tokens of a group.
    pub fn granter(&self, group: GroupTag) -> Granter {
        match self.groups.get(&group) {
            Some(known) if known.is_held => Granter::Here,
            Some(known) => Granter::At(known.holder.at),
            None => Granter::Nobody,
        }
    }

    /// Answers a token request. A retransmitted request gets the same answer.
    pub fn answer(&mut self, request: &TokenRequest, now: Millis) -> TokenAnswer {
        let group = self.groups.get_mut(&request.group);
        let Some(group) = group.filter(|group| group.is_held) else {
            return TokenAnswer::NotHolder;
        };
        let request_key = (request.sender, request.number);
        let answered = group.answered.get(&request_key);
        let recent = answered.filter(|(at, _)| now.since(*at) < ANSWER_RETENTION_MS);
        if let Some((_, answer)) = recent {
            return *answer;
        }
        group.requesting_nodes.note(request.sender, now);
        if group.answered.len() >= MAX_ANSWERS {
            let answered = &mut group.answered;
            answered.retain(|_, (at, _)| now.since(*at) < ANSWER_RETENTION_MS);
        }
        let answer = match &request.wanted {
            Wanted::Engine(engine) => self.grant(request, *engine, now),
            Wanted::AnyBut(excluded) => self.grant_any(request, excluded, now),
        };
        if let Some(group) = self.groups.get_mut(&request.group) {
            group.answered.insert(request_key, (now, answer));
        }
        answer
    }

    fn grant(&mut self, request: &TokenRequest, engine: EngineTag, now: Millis) -> TokenAnswer {
        let account = self.known.get_mut(&engine);
        let Some(account) = account.and_then(|known| known.account.as_mut()) else {
            return TokenAnswer::Unlimited;
        };
        if account.take(request.is_urgent, now) {
            let left = account.level(now);
            return TokenAnswer::Granted { engine, left };
        }
        let wait_ms = account.wait_ms(request.is_urgent, now);
        let per_second = account.per_second();
        self.denial(request, wait_ms, per_second, 1)
    }

    /// Grants a token from the fullest bucket of the group.
    fn grant_any(
        &mut self,
        request: &TokenRequest,
        excluded: &[EngineTag],
        now: Millis,
    ) -> TokenAnswer {
        let in_group = self.known.iter_mut().filter_map(|(engine, known)| {
            let is_wanted = known.group == request.group && !excluded.contains(engine);
            let account = known.account.as_mut().filter(|_| is_wanted)?;
            Some((*engine, account))
        });
        let mut accounts: Vec<(EngineTag, &mut Account)> = in_group.collect();
        accounts.sort_by(|(_, a), (_, b)| a.level(now).total_cmp(&b.level(now)));
        let Some((engine, account)) = accounts.last_mut() else {
            return TokenAnswer::Unlimited;
        };
        if account.take(request.is_urgent, now) {
            let left = account.level(now);
            let engine = *engine;
            return TokenAnswer::Granted { engine, left };
        }
        let waits = accounts.iter_mut();
        let waits = waits.map(|(_, account)| account.wait_ms(request.is_urgent, now));
        let wait_ms = waits.min().unwrap_or(0);
        let rates = accounts.iter().map(|(_, account)| account.per_second());
        let per_second = rates.sum();
        self.denial(request, wait_ms, per_second, UNDELAYED_NODES)
    }

    fn denial(
        &self,
        request: &TokenRequest,
        wait_ms: u64,
        per_second: f64,
        undelayed: usize,
    ) -> TokenAnswer {
        let requesting_nodes = &self.groups[&request.group].requesting_nodes;
        let turn_ms = requesting_nodes.count() as f64 / per_second * MS_PER_SECOND;
        TokenAnswer::Denied(Denial {
            wait_ms,
            spread_ms: requesting_nodes.spread_ms(per_second, undelayed),
            turn_ms: turn_ms as u64,
        })
    }

    /// Returns an unused token that this node granted.
    pub fn return_token(&mut self, engine: EngineTag, now: Millis) {
        let known = self.known.get_mut(&engine);
        if let Some(account) = known.and_then(|known| known.account.as_mut()) {
            account.return_token(now);
        }
    }

    /// Applies the answer to a token request of this node. Returns the engine to which the
    /// request may be sent. `draw`, from 0 to 1, selects the random part of the backoff.
    pub fn take_answer(
        &mut self,
        request: &TokenRequest,
        answer: TokenAnswer,
        rate_limits: &mut EngineRateLimits,
        draw: f64,
        now: Millis,
    ) -> Option<EngineTag> {
        let group = self.groups.get_mut(&request.group);
        if let Some(group) = group.filter(|_| answer != TokenAnswer::NotHolder) {
            group.unanswered = None;
        }
        match answer {
            TokenAnswer::Granted { engine, left } => {
                rate_limits.note_tokens(engine, left, now, now);
                Some(engine)
            }
            TokenAnswer::Denied(denial) => {
                let backoff_ms = denial.wait_ms + (denial.spread_ms as f64 * draw) as u64;
                self.back_off(request, denial, now.plus(backoff_ms), rate_limits, now);
                None
            }
            TokenAnswer::Unlimited => {
                self.forget_requested(request, rate_limits, now);
                None
            }
            TokenAnswer::NotHolder => {
                // An update that names another holder is on its way to this node or to the
                // other one. Taking the group over at once would cause repeated takeovers
                // in a large fleet.
                self.note_unanswered(request.group, rate_limits, now);
                None
            }
        }
    }

    fn back_off(
        &mut self,
        request: &TokenRequest,
        denial: Denial,
        until: Millis,
        rate_limits: &mut EngineRateLimits,
        now: Millis,
    ) {
        if let Some(group) = self.groups.get_mut(&request.group) {
            group.turn_ms = denial.turn_ms;
            if matches!(request.wanted, Wanted::AnyBut(_)) {
                group.no_tokens_before = until;
            }
        }
        if let Wanted::Engine(engine) = request.wanted {
            rate_limits.note_tokens(engine, 0.0, until, now);
        }
    }

    /// Removes the requested limits. The holder no longer knows them, because it has
    /// learned of their end.
    fn forget_requested(
        &mut self,
        request: &TokenRequest,
        rate_limits: &mut EngineRateLimits,
        now: Millis,
    ) {
        let group = request.group;
        self.known.retain(|engine, known| {
            let is_requested = match &request.wanted {
                Wanted::Engine(wanted) => wanted == engine,
                Wanted::AnyBut(excluded) => known.group == group && !excluded.contains(engine),
            };
            if is_requested {
                rate_limits.lift(*engine, now, now);
            }
            !is_requested
        });
    }

    /// Whether any engine of the group may have a token for this node.
    pub fn may_have_token(&self, group: GroupTag, now: Millis) -> bool {
        let group = self.groups.get(&group);
        group.is_some_and(|group| group.no_tokens_before <= now)
    }

    /// Time after which a caller that was rejected for lack of tokens may retry, in
    /// milliseconds.
    pub fn retry_after_ms(&mut self, group: GroupTag, now: Millis) -> Option<u64> {
        let group = self.groups.get_mut(&group)?;
        let token_ms = group.no_tokens_before.since(now);
        Some(group.retries.next_ms(token_ms, group.turn_ms, now))
    }
}
