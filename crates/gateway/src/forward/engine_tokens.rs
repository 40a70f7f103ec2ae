//! Tokens for engines with a rate limit: each send to such an engine spends one.
//!
//! A token is acquired right before each send, on a new connection or a kept one. Requests
//! do not wait for tokens: when the chosen engine has none, another engine is chosen, and
//! when no engine has one, the request is rejected at once.

use super::choice::ChosenEngine;
use super::load_shedding::Unservable;
use super::Forwarding;
use crate::engine_limits::answer_request;
use crate::peers::messages::PeerMessage;
use crate::state::Gateway;
use ploverlift_balancing::names::{EngineTag, PeerId};
use ploverlift_balancing::overload::Urgency;
use ploverlift_enginelimit::group::{groups_of, GroupTag};
use ploverlift_enginelimit::node_messages::{TokenAnswer, TokenRequest, Wanted};
use ploverlift_enginelimit::tokens::Granter;
use ploverlift_policy::ids::Millis;
use std::sync::Arc;

/// Time for which a token may be used, in milliseconds. A connection is established sooner.
/// An older token would count in another time span than the one in which it was granted.
const TOKEN_VALIDITY_MS: u64 = 1_000;
/// Number of denials after which a request asks for a token of any engine instead of that of
/// the chosen one.
const DENIALS_BEFORE_ANY: u32 = 3;
/// Number of denials after which a request is rejected.
const MAX_DENIALS: u32 = 6;
/// Number of engine groups of a large service that are asked for a token of any engine.
const MAX_GROUPS_ASKED: usize = 2;
/// Shortest retry time, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 20;

/// The right to send one request to an engine. An unused token is returned to the limit
/// holder when it is dropped.
pub(super) struct EngineToken {
    gateway: Arc<Gateway>,
    engine: EngineTag,
    group: GroupTag,
    granted_at: Millis,
    is_used: bool,
}

impl Drop for EngineToken {
    fn drop(&mut self) {
        if self.is_used {
            return;
        }
        let now = self.gateway.clock.now();
        let limits = &mut self.gateway.beliefs().engine_limits;
        match limits.granter(self.group) {
            Granter::Here => limits.return_token(self.engine, now),
            Granter::At(holder) => {
                let message = PeerMessage::TokenReturn(self.engine);
                self.gateway.outbox.put(holder.address, &message);
            }
            Granter::Nobody => {}
        }
    }
}

impl Forwarding {
    /// Acquires a token of the chosen engine, if the engine has a limit; returns false when no
    /// token is available now.
    pub(super) async fn acquire_token(&mut self, chosen: &ChosenEngine) -> bool {
        if self.holds_token_of(chosen) {
            return true;
        }
        // A token of another engine is returned.
        self.token = None;
        let group = {
            let beliefs = self.gateway.beliefs();
            let limits = &beliefs.engine_limits;
            match (limits.limit_of(chosen.tag), limits.group_of(chosen.tag)) {
                (Some(_), Some(group)) => group,
                _ => return true,
            }
        };
        self.token = self.request_token(group, Wanted::Engine(chosen.tag)).await;
        self.token.is_some() || !self.is_limited(chosen)
    }

    fn is_limited(&self, chosen: &ChosenEngine) -> bool {
        let beliefs = self.gateway.beliefs();
        beliefs.engine_limits.limit_of(chosen.tag).is_some()
    }

    fn holds_token_of(&self, chosen: &ChosenEngine) -> bool {
        let now = self.gateway.clock.now();
        self.token.as_ref().is_some_and(|token| {
            token.engine == chosen.tag && now.since(token.granted_at) < TOKEN_VALIDITY_MS
        })
    }

    /// Whether the engine's limit permits the request, checked right before it is sent.
    pub(super) fn has_valid_token(&self, chosen: &ChosenEngine) -> bool {
        self.holds_token_of(chosen) || !self.is_limited(chosen)
    }

    /// Spends the token; called right before the request is sent.
    pub(super) fn use_token(&mut self) {
        if let Some(mut token) = self.token.take() {
            token.is_used = true;
            let now = self.gateway.clock.now();
            let engine_rate_limits = &mut self.gateway.beliefs().engines.rate_limits;
            engine_rate_limits.note_spent(token.engine, now);
        }
    }

    /// Whether too many limited engines had no token for the request. It is then sent to an
    /// engine without a limit, or to the one that a limit holder selects.
    pub(super) fn avoids_limited(&self) -> bool {
        self.progress.denials >= DENIALS_BEFORE_ANY && self.token.is_none()
    }

    /// Acquires a token of any limited engine of the service that has not been tried; otherwise
    /// returns when the caller may retry.
    pub(super) async fn acquire_any_token(&mut self) -> Result<(), Unservable> {
        let groups = self.groups_to_ask();
        if self.progress.denials >= MAX_DENIALS {
            return Err(self.reject_for_limits(&groups));
        }
        for group in &groups {
            let is_token_likely = {
                let now = self.gateway.clock.now();
                let limits = &self.gateway.beliefs().engine_limits;
                limits.may_have_token(*group, now)
            };
            if is_token_likely {
                let excluded = self.progress.attempts.tried().iter().map(EngineTag::of);
                let wanted = Wanted::AnyBut(excluded.collect());
                self.token = self.request_token(*group, wanted).await;
            }
            if self.token.is_some() {
                return Ok(());
            }
        }
        Err(self.reject_for_limits(&groups))
    }

    /// Rejects the request because no engine of these groups has a token for it.
    fn reject_for_limits(&self, groups: &[GroupTag]) -> Unservable {
        self.gateway.metrics.rejected_for_limits.inc();
        let now = self.gateway.clock.now();
        let limits = &mut self.gateway.beliefs().engine_limits;
        let retry_times = groups.iter();
        let retry_times = retry_times.filter_map(|group| limits.retry_after_ms(*group, now));
        Unservable {
            reason: "all engines get as many requests as they take".to_owned(),
            retry_after_ms: retry_times.min().unwrap_or(0).max(MIN_RETRY_AFTER_MS),
        }
    }

    fn groups_to_ask(&self) -> Vec<GroupTag> {
        let service = &self.received.admission.service;
        let engines = self.gateway.beliefs().engines.count_of(service);
        let mut groups: Vec<GroupTag> = groups_of(service, engines).collect();
        fastrand::shuffle(&mut groups);
        groups.truncate(MAX_GROUPS_ASKED);
        groups
    }

    async fn request_token(&self, group: GroupTag, wanted: Wanted) -> Option<EngineToken> {
        let gateway = &self.gateway;
        let request = TokenRequest {
            sender: PeerId::of(&gateway.settings().node.name),
            number: gateway.token_questions.next_number(),
            group,
            wanted,
            is_urgent: self.urgency() == Urgency::Higher,
        };
        let granter = gateway.beliefs().engine_limits.granter(group);
        let answer = match granter {
            Granter::Nobody => return None,
            Granter::Here => {
                let now = gateway.clock.now();
                Some(answer_request(gateway, &request, now))
            }
            Granter::At(holder) => {
                let questions = &gateway.token_questions;
                questions
                    .request_token(&gateway.outbox, holder.address, &request)
                    .await
            }
        };
        let Some(answer) = answer else {
            self.note_unanswered_token_request(&request);
            return None;
        };
        self.accept_token_answer(&request, answer)
    }

    fn accept_token_answer(
        &self,
        request: &TokenRequest,
        answer: TokenAnswer,
    ) -> Option<EngineToken> {
        let now = self.gateway.clock.now();
        let draw = fastrand::f64();
        let beliefs = &mut *self.gateway.beliefs();
        let engine_rate_limits = &mut beliefs.engines.rate_limits;
        let limits = &mut beliefs.engine_limits;
        let engine = limits.take_answer(request, answer, engine_rate_limits, draw, now)?;
        Some(EngineToken {
            gateway: Arc::clone(&self.gateway),
            engine,
            group: request.group,
            granted_at: now,
            is_used: false,
        })
    }

    fn note_unanswered_token_request(&self, request: &TokenRequest) {
        let gateway = &self.gateway;
        gateway.metrics.unanswered_tokens.inc();
        let now = gateway.clock.now();
        let is_taken_over = {
            let beliefs = &mut *gateway.beliefs();
            let engine_rate_limits = &mut beliefs.engines.rate_limits;
            let limits = &mut beliefs.engine_limits;
            limits.note_unanswered(request.group, engine_rate_limits, now)
        };
        if is_taken_over {
            slog::warn!(gateway.log, "engine limits taken over";
                "group" => format!("{:08x}", request.group.0),
                "reason" => "the limit holder does not answer");
            gateway.engine_signals_changed.notify(usize::MAX);
        }
    }
}
