//! Rate limits that engines advertise: handling of reports of other nodes, and granting of
//! tokens on request.

use super::engine_limit_messages::{NumberedAnswer, ReportedObservation};
use super::engine_signals::limit_reports;
use super::messages::PeerMessage;
use crate::beliefs::Beliefs;
use crate::engine_limits::{answer_request, log_limit};
use crate::state::Gateway;
use ploverlift_balancing::peer_loads::EngineTag;
use ploverlift_enginelimit::node_messages::{GroupUpdate, TokenAnswer, TokenRequest};
use ploverlift_enginelimit::observation::Observation;
use ploverlift_policy::ids::Millis;
use std::collections::HashSet;
use std::net::SocketAddr;

/// Removes limits of engines that are gone.
pub(super) fn remove_gone_limits(gateway: &Gateway, now: Millis) {
    let beliefs = &mut *gateway.beliefs();
    if beliefs.engine_limits.is_empty() {
        return;
    }
    let engines = &beliefs.engines;
    let limited = beliefs.engine_limits.limited();
    let present: HashSet<EngineTag> = limited
        .map(|(engine, _, _)| engine)
        .filter(|engine| engines.by_tag(*engine).is_some())
        .collect();
    let is_known = |engine| present.contains(&engine);
    let engine_rate_limits = &mut beliefs.engines.rate_limits;
    beliefs
        .engine_limits
        .expire(is_known, engine_rate_limits, now);
}

/// Applies the report of another node on one group; returns whether it changed anything.
pub(super) fn apply_limit_group(
    gateway: &Gateway,
    update: &GroupUpdate,
    passes_on: bool,
    now: Millis,
) -> bool {
    let beliefs = &mut *gateway.beliefs();
    let limits_of = |beliefs: &Beliefs| -> Vec<Option<f64>> {
        let reported = update.limits.iter();
        reported
            .map(|reported| beliefs.engine_limits.limit_of(reported.engine))
            .collect()
    };
    let before = limits_of(beliefs);
    let holder_before = beliefs.engine_limits.holder(update.group);
    let engine_rate_limits = &mut beliefs.engines.rate_limits;
    let is_new = beliefs
        .engine_limits
        .apply_update(update, passes_on, engine_rate_limits, now);
    let after = limits_of(beliefs);
    for ((reported, before), after) in update.limits.iter().zip(before).zip(after) {
        if before != after {
            log_limit(gateway, beliefs, reported.engine, before, "holder");
        }
    }
    let holder = beliefs.engine_limits.holder(update.group);
    if holder != holder_before {
        slog::info!(gateway.log, "holder of engine limits";
            "group" => format!("{:08x}", update.group.0),
            "node" => holder.map(|holder| format!("{:016x}", holder.at.node.0)),
            "term" => holder.map(|holder| holder.term));
    }
    is_new
}

/// Applies the limit that another node read from an answer of its engine.
pub fn handle_observation(gateway: &Gateway, reported: &ReportedObservation) {
    let now = gateway.clock.now();
    let observed = Observation {
        engine: reported.engine,
        limit: reported.limit,
        sent_at: now.before(reported.sent_age_ms),
        head_at: now.before(reported.head_age_ms),
    };
    let beliefs = &mut *gateway.beliefs();
    let before = beliefs.engine_limits.limit_of(reported.engine);
    let engine_rate_limits = &mut beliefs.engines.rate_limits;
    let limits = &mut beliefs.engine_limits;
    if limits.apply_observation(&observed, reported.group, engine_rate_limits, now) {
        log_limit(
            gateway,
            beliefs,
            reported.engine,
            before,
            "another node's answer",
        );
        gateway.engine_signals_changed.notify(usize::MAX);
    }
}

/// Answers a request for a token.
pub fn answer_token_request(gateway: &Gateway, request: &TokenRequest, from: SocketAddr) {
    let now = gateway.clock.now();
    let answer = answer_request(gateway, request, now);
    if answer == TokenAnswer::NotHolder {
        let update = gateway.beliefs().engine_limits.holder_update(request.group);
        for report in limit_reports(gateway, update) {
            gateway
                .outbox
                .put(from, &PeerMessage::EngineSignals(report));
        }
    }
    let numbered = NumberedAnswer {
        number: request.number,
        answer,
    };
    gateway
        .outbox
        .put(from, &PeerMessage::TokenAnswer(numbered));
}

/// Handles the return of a token that was granted here and not used.
pub fn handle_returned_token(gateway: &Gateway, engine: EngineTag) {
    let now = gateway.clock.now();
    gateway.beliefs().engine_limits.return_token(engine, now);
}
