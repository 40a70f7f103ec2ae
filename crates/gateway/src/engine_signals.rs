//! Applies the signals that engines set in the heads of their answers to requests and to
//! orders, whatever the status of the answer.
//!
//! Answers to calls for reports and cache events do not identify the engine, and another
//! engine may have taken over the address: their signals are ignored.

use crate::engine_limits::log_limit;
use crate::peers::engine_limit_messages::ReportedObservation;
use crate::peers::messages::PeerMessage;
use crate::ports::{EngineSignals, Leaving, Signal};
use crate::state::Gateway;
use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_balancing::engine_notices::NoticeSource;
use ploverlift_balancing::names::EngineTag;
use ploverlift_enginelimit::group::group_of;
use ploverlift_enginelimit::limits::ObservationOutcome;
use ploverlift_enginelimit::observation::Observation;
use ploverlift_policy::ids::Millis;

/// Maximum number of unknown headers and values that are remembered, so that each is logged
/// only once.
const MAX_UNREAD: usize = 64;

/// Origin of an answer that is proven to come from this engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AnswerOrigin<'a> {
    pub(crate) instance: &'a InstanceId,
    /// When the request for this answer was sent.
    pub(crate) sent_at: Millis,
}

/// Applies the signals in one answer of an engine.
pub(crate) fn apply_signals(gateway: &Gateway, origin: AnswerOrigin<'_>, signals: &EngineSignals) {
    apply_limit(gateway, origin, &signals.limit);
    apply_leaving(gateway, origin, &signals.leaving);
    apply_backoff(gateway, origin, &signals.backoff_ms);
    note_unread(gateway, origin, &signals.unread);
}

fn apply_limit(gateway: &Gateway, origin: AnswerOrigin<'_>, signal: &Signal<f64>) {
    let limit = match signal {
        Signal::Absent => None,
        Signal::Value(per_second) => Some(*per_second),
        Signal::Invalid { text } => {
            note_invalid(gateway, origin, "limit", text);
            return;
        }
    };
    if limit.is_some() {
        gateway.metrics.limited_answers.inc();
    }
    let now = gateway.clock.now();
    let engine = EngineTag::of(origin.instance);
    let observation = Observation {
        engine,
        limit,
        sent_at: origin.sent_at,
        head_at: now,
    };
    let beliefs = &mut *gateway.beliefs();
    let before = beliefs.engine_limits.limit_of(engine);
    if limit.is_none() && before.is_none() {
        return;
    }
    let group = beliefs.engine_limits.group_of(engine).or_else(|| {
        let service = &beliefs.engines.get(origin.instance)?.record.service;
        Some(group_of(service, engine, beliefs.engines.count_of(service)))
    });
    let Some(group) = group else {
        return;
    };
    let buckets = &mut beliefs.engines.rate_limits;
    let effect = beliefs
        .engine_limits
        .observe(&observation, group, buckets, now);
    if beliefs.engine_limits.limit_of(engine) != before {
        log_limit(gateway, beliefs, engine, before, "answer");
    }
    match effect {
        ObservationOutcome::Unchanged => {}
        ObservationOutcome::Changed => {
            gateway.engine_signals_changed.notify(usize::MAX);
        }
        ObservationOutcome::ForwardToHolder(holder) => {
            let message = PeerMessage::EngineLimitObserved(ReportedObservation {
                engine,
                group,
                limit,
                sent_age_ms: now.since(origin.sent_at),
                head_age_ms: 0,
            });
            gateway.outbox.put(holder.address, &message);
        }
    }
}

fn apply_leaving(gateway: &Gateway, origin: AnswerOrigin<'_>, signal: &Signal<Leaving>) {
    match signal {
        Signal::Absent => return,
        Signal::Value(Leaving) => {}
        Signal::Invalid { text } => return note_invalid(gateway, origin, "leaving", text),
    }
    gateway.metrics.leaving_answers.inc();
    let now = gateway.clock.now();
    let mut beliefs = gateway.beliefs();
    let Some(engine) = beliefs.engines.get(origin.instance) else {
        return;
    };
    let (life, is_recorded) = (engine.life(), engine.record.is_leaving);
    let is_new = beliefs.engines.notices.note_leaving(life, now);
    drop(beliefs);
    if is_new {
        gateway.engine_signals_changed.notify(usize::MAX);
        slog::info!(gateway.log, "engine leaves";
            "engine" => &origin.instance.0, "born_ms" => life.born_ms,
            "from" => NoticeSource::Answer.name(), "recorded" => is_recorded);
    }
}

fn apply_backoff(gateway: &Gateway, origin: AnswerOrigin<'_>, signal: &Signal<u64>) {
    let duration_ms = match signal {
        Signal::Absent => return,
        Signal::Value(duration_ms) => *duration_ms,
        Signal::Invalid { text } => return note_invalid(gateway, origin, "backoff", text),
    };
    gateway.metrics.backoff_answers.inc();
    let now = gateway.clock.now();
    let mut beliefs = gateway.beliefs();
    let Some(engine) = beliefs.engines.get(origin.instance) else {
        return;
    };
    let life = engine.life();
    let draw = fastrand::u64(..);
    let notices = &mut beliefs.engines.notices;
    notices.note_backoff(life, duration_ms, draw, now);
    drop(beliefs);
    slog::debug!(gateway.log, "engine requested backoff";
        "engine" => &origin.instance.0, "for_ms" => duration_ms);
}

fn note_invalid(gateway: &Gateway, origin: AnswerOrigin<'_>, signal: &'static str, text: &str) {
    gateway.metrics.count_invalid_signal(signal);
    if is_first_seen(gateway, format!("{signal}: {text}")) {
        slog::warn!(gateway.log, "engine's signal not read";
            "engine" => &origin.instance.0, "signal" => signal, "text" => text);
    }
}

fn note_unread(gateway: &Gateway, origin: AnswerOrigin<'_>, names: &[String]) {
    for name in names {
        gateway.metrics.unread_headers.inc();
        if is_first_seen(gateway, name.to_ascii_lowercase()) {
            slog::warn!(gateway.log, "engines set a header that is not read";
                "header" => name, "engine" => &origin.instance.0);
        }
    }
}

/// Whether an unreadable signal or unknown header occurs for the first time: each is logged
/// once and counted every time.
fn is_first_seen(gateway: &Gateway, signal: String) -> bool {
    let seen = &mut gateway.beliefs().unread_signals;
    seen.len() < MAX_UNREAD && seen.insert(signal)
}
