//! The rate limits of engines, as one node knows them: log lines and metrics.

use crate::beliefs::Beliefs;
use crate::metrics::LimitedEngineLabel;
use crate::state::Gateway;
use ploverlift_balancing::peer_loads::EngineTag;
use ploverlift_enginelimit::news::{TokenAnswer, TokenRequest};
use ploverlift_policy::ids::Millis;

/// An engine's limit is another one from now on; `source` told it.
pub(crate) fn log_limit(
    gateway: &Gateway,
    beliefs: &Beliefs,
    engine: EngineTag,
    before: Option<f64>,
    source: &'static str,
) {
    let limits = &beliefs.engine_limits;
    let limited = limits.limited().count();
    gateway.metrics.limited_engines.set(limited as i64);
    let known = beliefs.engines.by_tag(engine);
    if let Some(known) = known {
        let instance = &known.record.instance.0;
        let limit = limits.limit_of(engine);
        gateway.metrics.note_engine_limit(instance, limit);
    }
    slog::info!(gateway.log, "engine's rate limit";
        "engine" => known.map(|known| known.record.instance.0.as_str()),
        "tag" => engine.0,
        "per_second" => limits.limit_of(engine),
        "before" => before,
        "from" => source,
        "limited" => limited);
}

/// Answers a question for a token, of another node or of this one.
pub(crate) fn answer_request(
    gateway: &Gateway,
    request: &TokenRequest,
    now: Millis,
) -> TokenAnswer {
    let beliefs = &mut *gateway.beliefs();
    let answer = beliefs.engine_limits.answer(request, now);
    gateway.metrics.count_token(&answer);
    if let TokenAnswer::Granted { engine, .. } = answer {
        if let Some(known) = beliefs.engines.by_tag(engine) {
            let engine = known.record.instance.0.clone();
            let granted = &gateway.metrics.granted_requests;
            granted.get_or_create(&LimitedEngineLabel { engine }).inc();
        }
    }
    answer
}
